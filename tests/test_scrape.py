from __future__ import annotations

import contextlib

import anyio
import pytest

from oleanderdyke.metrics import Count, Metrics
from oleanderdyke.scrape import MetricsServer
from tests.hosted import call
from tests.processes import Ports

pytestmark = pytest.mark.anyio


@contextlib.asynccontextmanager
async def serving(metrics, refresh=None):
    with Ports() as ports:
        port = ports.reserve()
        async with anyio.create_task_group() as tasks:
            server = MetricsServer(metrics, refresh)
            tasks.start_soon(server.serve, '127.0.0.1', port)
            await wait_open(port)
            yield ('127.0.0.1', port)
            tasks.cancel_scope.cancel()


async def wait_open(port):
    with anyio.fail_after(5):
        while True:
            with contextlib.suppress(OSError):
                stream = await anyio.connect_tcp('127.0.0.1', port)
                await stream.aclose()
                return
            await anyio.sleep(0.01)


async def test_metrics_are_those_of_the_moment():
    metrics = Metrics()

    def refresh():
        metrics.add(Count.REQUESTS, label='desk')

    async with serving(metrics, refresh) as where:
        first = await call(where, '/metrics', method='GET')
        second = await call(where, '/metrics', method='GET')
    assert first.headers['content-type'].startswith('text/plain')
    assert b'oleander_requests_total{label="desk"} 1.0' in first.body
    assert b'oleander_requests_total{label="desk"} 2.0' in second.body


async def test_other_paths_are_not_found():
    async with serving(Metrics()) as where:
        found = await call(where, '/', method='GET')
    assert (found.status, found.body) == (404, b'')


async def test_connections_that_ask_nothing_leave_room_again():
    async with serving(Metrics()) as where:
        idle = [await anyio.connect_tcp(*where) for _ in range(4)]
        refused = await anyio.connect_tcp(*where)
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await refused.receive()
        for stream in idle:
            await stream.aclose()
        await anyio.sleep(0.05)
        found = await call(where, '/metrics', method='GET')
    assert found.status == 200


async def test_a_malformed_request_ends_its_own_connection_only():
    async with serving(Metrics()) as where:
        stream = await anyio.connect_tcp(*where)
        await stream.send(b'nonsense\r\n\r\n')
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await stream.receive()
        found = await call(where, '/metrics', method='GET')
    assert found.status == 200


async def test_a_taken_port_is_told():
    async with serving(Metrics()) as (_, port):
        with pytest.raises(OSError, match='in use'):
            await MetricsServer(Metrics()).serve('127.0.0.1', port)


async def test_a_request_for_the_head_alone_gets_it_and_ends_nothing():
    async with serving(Metrics()) as where:
        stream = await anyio.connect_tcp(*where)
        await stream.send(b'HEAD /metrics HTTP/1.1\r\nhost: here\r\n\r\n')
        head = await stream.receive()
        assert head.startswith(b'HTTP/1.1 200')
        assert head.endswith(b'\r\n\r\n')
        found = await call(where, '/metrics', method='GET')
    assert found.status == 200
