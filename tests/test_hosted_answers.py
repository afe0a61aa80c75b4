from __future__ import annotations

import asyncio
import contextlib

import anyio
import pytest

from tests.hosted import (
    SERVERS,
    make_record,
    read_answer,
    staging,
)
from tests.standins.replica import (
    make_answer,
    make_head,
)
from tests.standins.scripts import answer_well

pytestmark = pytest.mark.anyio


async def test_response_to_another_request_is_rejected(tmp_path):
    async def run(peer):
        await peer.answer(oleanderdyke_request_id='req-other')

    async with staging(tmp_path, run) as stage:
        found = await stage.call('/once/1')
        assert found.status == 502


async def test_refusal_of_another_request_does_not_allow_a_retry(tmp_path):
    closed = anyio.Event()

    async def run(peer):
        await peer.answer(
            503,
            oleanderdyke_request_id='req-other',
            oleanderdyke_not_executed='1',
        )
        await peer.wait_closed()
        closed.set()

    async with staging(tmp_path, run, run) as stage:
        found = await stage.call('/once/1')
        assert found.status == 502
        with anyio.fail_after(0.5):
            await closed.wait()
        assert sum(len(each.received) for each in stage.replicas) == 1


async def test_success_without_response_seal_is_rejected(tmp_path):
    async def run(peer):
        await peer.answer(oleanderdyke_response_seal='')

    async with staging(tmp_path, run) as stage:
        assert (await stage.call('/once/1')).status == 502


async def test_extra_bytes_after_a_response_close_the_connection(tmp_path):
    async def run(peer):
        extra = make_answer(peer.request, body=b'again')
        await peer.send(make_answer(peer.request) + extra)

    async with staging(tmp_path, run) as stage:
        for number in range(3):
            found = await stage.call(f'/once/{number}')
            assert (found.status, found.body) == (200, b'done')
        assert stage.replicas[0].connections == 3


async def test_late_bytes_after_a_response_close_the_connection(tmp_path):
    async def run(peer):
        await peer.answer()
        await asyncio.sleep(0.05)
        await peer.send(make_answer(peer.request, body=b'again'))

    async with staging(tmp_path, run) as stage:
        for number in range(2):
            found = await stage.call(f'/once/{number}')
            assert (found.status, found.body) == (200, b'done')
            await anyio.sleep(0.1)
        assert stage.replicas[0].connections == 2


@pytest.mark.parametrize(
    'broken',
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\nshort',
        b'this is no answer\r\n\r\n',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab',
    ],
)
async def test_malformed_or_truncated_response_is_rejected(tmp_path, broken):
    async def run(peer):
        await peer.send(broken)
        peer.writer.close()

    async with staging(tmp_path, run) as stage:
        assert (await stage.call('/once/1')).status == 502


async def test_response_delimited_by_connection_close_is_complete(tmp_path):
    async def run(peer):
        await peer.send(make_head(peer.request) + b'all of it')
        peer.writer.close()

    async with staging(tmp_path, run) as stage:
        found = await stage.call('/once/1')
        assert (found.status, found.body) == (200, b'all of it')
        assert found.is_whole


async def test_response_without_length_is_incomplete_after_a_reset(tmp_path):
    async def run(peer):
        await peer.send(make_head(peer.request) + b'some of it')
        await asyncio.sleep(0.05)
        peer.reset()

    async with staging(tmp_path, run) as stage:
        assert (await stage.call('/once/1')).status == 502


async def test_informational_response_is_skipped(tmp_path):
    async def run(peer):
        await peer.send(b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n')
        await peer.answer()

    async with staging(tmp_path, run) as stage:
        assert (await stage.call('/once/1')).status == 200


async def test_early_response_is_forwarded_and_the_body_sent_in_full(tmp_path):
    """A server may respond at once and read the rest of the body later."""
    body = bytes(range(256)) * 12_000
    found: list[bytes] = []

    async def serve(reader, writer):
        try:
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    await reader.readuntil(b'\r\n\r\n')
                    writer.write(
                        b'HTTP/1.1 413 Too Large\r\n'
                        b'oleanderdyke-request-id: req-1\r\n'
                        b'oleanderdyke-response-seal: seal\r\n'
                        b'content-length: 0\r\n\r\n'
                    )
                    await asyncio.sleep(0.05)
                    found.append(await reader.readexactly(len(body)))
        finally:
            writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    async with staging(tmp_path, answer_well) as stage:
        stage.store.drop(SERVERS, 'i-0')
        stage.store.put(SERVERS, 'i-9', make_record(f'127.0.0.1:{port}'))
        await anyio.sleep(0.7)
        for _ in range(3):
            assert (await stage.call('/once/1', body=body)).status == 413
            await anyio.sleep(0.1)
    assert all(each == body for each in found)
    listener.close()


async def test_request_inside_a_body_is_not_parsed(tmp_path):
    smuggled = b'GET /safe/2 HTTP/1.1\r\nhost: rooms.example\r\n\r\n'
    async with staging(tmp_path, answer_well) as stage:
        await stage.call('/once/1', body=smuggled)
    (seen,) = stage.replicas[0].received
    assert seen.body == smuggled


async def test_request_with_length_and_chunks_is_reframed(tmp_path):
    raw = (
        b'POST /once/1 HTTP/1.1\r\nhost: rooms.example\r\n'
        b'oleanderdyke-request-id: req-1\r\noleanderdyke-key: key-of-red\r\n'
        b'content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n'
        b'4\r\nabcd\r\n0\r\n\r\n'
    )
    async with staging(tmp_path, answer_well) as stage:
        reader, writer = await asyncio.open_connection(*stage.address)
        writer.write(raw)
        found = await read_answer(reader)
        writer.close()
    assert found.status in {200, 400}
    for seen in stage.replicas[0].received:
        assert seen.body == b'abcd'
        assert seen.headers['content-length'] == '4'
