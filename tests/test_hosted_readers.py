"""Loads: a caller who reads a byte a second, and 300 of them."""

from __future__ import annotations

import asyncio
import socket

import anyio
import pytest

from oleanderdyke.entry.hosted import shell
from oleanderdyke.entry.server import open_listener
from tests import hosted
from tests.hosted import make_request, staging
from tests.standins.replica import make_chunk, make_event, make_head

pytestmark = pytest.mark.anyio

_PART_BYTES = 32 * 1024
_PARTS = 400
_DEADLINE = '60000'
_MEGABYTE = 1024 * 1024


class _Sender:
    """Send a large answer as fast as it is read; `sent` counts its bytes."""

    def __init__(self, parts=_PARTS):
        self.parts = [
            make_event(number, 'x' * _PART_BYTES)
            for number in range(1, parts + 1)
        ]
        self.sent = 0

    @property
    def whole(self):
        return b''.join(self.parts)

    async def __call__(self, peer):
        if peer.request.target.endswith('/small'):
            await peer.answer(body=b'done')
            return
        link = peer.writer.get_extra_info('socket')
        link.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _PART_BYTES)
        await peer.send(
            make_head(
                peer.request,
                content_type='text/event-stream',
                transfer_encoding='chunked',
            )
        )
        for part in self.parts:
            await peer.send(make_chunk(part))
            self.sent += len(part)
        await peer.send(b'0\r\n\r\n')


def _configure():
    routes = [
        {**route, 'timeoutMs': 60_000}
        for route in (hosted.ROUTE, hosted.STREAM_ROUTE)
    ]
    services = [{'name': 'desk', 'maxConnections': 1_000}]
    return {
        **hosted.CONFIGURATION,
        'routes': routes,
        'services': services,
    }


@pytest.fixture(autouse=True)
def small_buffers(monkeypatch):
    """Let the operating system hold little, so that the entry must."""

    def open_small(host, port):
        listener = open_listener(host, port)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        return listener

    monkeypatch.setattr(shell, 'open_listener', open_small)


@pytest.fixture
def limit_memory(monkeypatch):
    """Return how to name the memory in the settings, in MB."""

    def limit(megabytes):
        text = f'{hosted._SETTINGS}limits.memoryMb={megabytes}\n'
        monkeypatch.setattr(hosted, '_SETTINGS', text)

    return limit


async def _open_slow(stage, number=0, path='/once/'):
    link = socket.socket()
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    link.settimeout(0)
    await asyncio.get_running_loop().sock_connect(link, stage.address)
    reader, writer = await asyncio.open_connection(sock=link, limit=4096)
    writer.transport.pause_reading()
    writer.write(
        make_request(
            f'{path}{number}',
            oleanderdyke_deadline_ms=_DEADLINE,
            oleanderdyke_request_id=f'slow-{number}',
        )
    )
    return reader, writer, link


async def _read_slowly(links):
    """Read a byte a second from each for three seconds."""
    for _ in range(3):
        for link in links:
            link.recv(1)
        await anyio.sleep(1)


async def _wait_until_steady(read, *, period=0.5):
    last = -1
    with anyio.fail_after(20):
        while (now := read()) != last or not now:
            last = now
            await anyio.sleep(period)
    return last


def _count_held(stage):
    return sum(each._inbox.unread for each in stage.core.running.values())


@pytest.mark.parametrize('path', ['/once/', '/stream/'])
async def test_a_slow_caller_pauses_its_server_and_gets_every_byte(
    tmp_path, path, limit_memory
):
    limit_memory(16)
    sender = _Sender()
    async with staging(tmp_path, sender, configuration=_configure()) as stage:
        reader, writer, link = await _open_slow(stage, path=path)
        await _wait_until_steady(lambda: sender.sent)
        assert sender.sent < len(sender.whole)
        assert 0 < _count_held(stage) <= 5 * _MEGABYTE
        await _read_slowly([link])
        # Only three bytes of the head have been read.
        writer.transport.resume_reading()
        with anyio.fail_after(20):
            found = await hosted._read_body(reader, await _read_headers(reader))
        writer.close()
        assert found == (sender.whole, True)
        assert len(stage.replicas[0].received) == 1
        assert not _count_held(stage)


async def _read_headers(reader):
    await reader.readuntil(b'\r\n\r\n')
    return {'transfer-encoding': 'chunked'}


async def test_300_slow_callers_leave_the_bound_and_others_intact(
    tmp_path, limit_memory
):
    limit_memory(256)
    sender = _Sender(parts=50)
    async with staging(
        tmp_path, sender, configuration=_configure(), slots=1_000
    ) as stage:
        slow = [await _open_slow(stage, number) for number in range(300)]
        await _wait_until_steady(lambda: sender.sent)
        await _read_slowly([link for _, _, link in slow])
        # The bound, and one part of at most 256 KiB for each stream.
        assert _count_held(stage) <= 64 * _MEGABYTE + 300 * 256 * 1024
        ended = stage.log.read_text().count('unread_ended')
        assert len(stage.core.running) + ended == 300
        with anyio.fail_after(2):
            found = await stage.call('/once/small')
        assert found.body == b'done'
        for _, writer, _ in slow:
            writer.transport.abort()


async def test_the_stalled_stream_that_holds_most_is_ended_above_the_bound(
    tmp_path, limit_memory
):
    limit_memory(16)
    sender = _Sender()
    async with staging(
        tmp_path, sender, configuration=_configure(), slots=1_000
    ) as stage:
        reader, writer, _ = await _open_slow(stage)
        await _wait_until_steady(lambda: sender.sent)
        await anyio.sleep(2)
        others = [await _open_slow(stage, each) for each in range(1, 9)]
        await _wait_until_steady(
            lambda: 'unread_ended' in stage.log.read_text()
        )
        assert b'unread_ended' in stage.core.metrics.render()
        writer.transport.resume_reading()
        with anyio.fail_after(10):
            headers = await _read_headers(reader)
            body, is_whole = await hosted._read_body(reader, headers)
        assert not is_whole
        assert sender.whole.startswith(body)
        assert 'slow-1' in stage.core.running
        for _, other, _ in others:
            other.transport.abort()
