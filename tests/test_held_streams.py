"""Check streams that are held for a slow caller, break, and go on elsewhere."""

from __future__ import annotations

import asyncio
import itertools
import socket
from random import Random

import anyio
import pytest

from oleanderdyke.kernel.servers import ServerStart
from tests.hosted import (
    CONFIGURATION,
    STREAM_ROUTE,
    make_request,
    prefer,
    read_answer,
    staging,
)
from tests.standins.replica import make_chunk, make_event, make_head

pytestmark = pytest.mark.anyio

_LAST = 60
# All events together exceed what the sockets between the three buffer.
_TEXT = 'x' * 160_000
_WHOLE = b''.join(make_event(each, _TEXT) for each in range(1, _LAST + 1))
_CONFIGURATION = {
    **CONFIGURATION,
    'routes': [{**STREAM_ROUTE, 'maxAttempts': 4, 'timeoutMs': 20_000}],
}


def _send_in_pieces(random, until, end):
    """Return a script that goes on up to an event, in writes of any size.

    It stops within the event behind that.
    """

    async def run(peer):
        first = int(peer.request.headers.get('last-event-id', '0')) + 1
        head = make_head(
            peer.request,
            content_type='text/event-stream',
            transfer_encoding='chunked',
        )
        events = [make_event(each, _TEXT) for each in range(first, until + 1)]
        if until < _LAST:
            events.append(make_event(until + 1, _TEXT)[:100_000])
        data = head + b''.join(map(make_chunk, _cut(random, b''.join(events))))
        for piece in _cut(random, data):
            await peer.send(piece)
        await end(peer)

    return run


def _cut(random, data):
    places = sorted(random.sample(range(1, len(data)), 40))
    return [
        data[start:stop]
        for start, stop in itertools.pairwise([0, *places, len(data)])
    ]


async def _connect(stage):
    """Connect as a caller whose machine buffers little."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    connection.settimeout(0)
    await asyncio.get_running_loop().sock_connect(connection, stage.address)
    return await asyncio.open_connection(sock=connection)


async def _finish(peer):
    await peer.send(b'0\r\n\r\n')


async def _reset(peer):
    peer.reset()


async def _close(peer):
    peer.writer.close()


async def _hang(peer):
    await peer.wait_closed()


# Guards against ORDER: pieces missing, twice or of two runs where a stream was
# held, its server broke off, and it went on elsewhere.
@pytest.mark.parametrize('pause', [0.0, 0.6])
@pytest.mark.parametrize('bound', [64_000_000, 1_000_000])
@pytest.mark.parametrize(
    ('end', 'stops'), [(_reset, [50]), (_close, [50]), (_hang, [50, 55])]
)
async def test_held_stream_that_breaks_is_whole(
    tmp_path, end, stops, bound, pause
):
    random = Random(bound)
    servers = (
        *(_send_in_pieces(random, each, end) for each in stops),
        _send_in_pieces(random, _LAST, _finish),
    )
    async with staging(
        tmp_path, *servers, configuration=_CONFIGURATION
    ) as stage:
        prefer(stage, 0)
        stage.core.backends.record_error(ServerStart(f'i-{len(stops)}'))
        stage.core.find_unread().ledger.bound = bound
        reader, writer = await _connect(stage)
        writer.write(
            make_request('/stream/1', oleanderdyke_deadline_ms='19000')
        )
        await anyio.sleep(pause)
        is_held = stage.core.find_unread().ledger.total > 0
        with anyio.fail_after(15):
            found = await read_answer(reader)
        writer.close()
        attempts = [len(each.received) for each in stage.replicas]
    numbers = [
        int(each.partition(b'\n')[0].removeprefix(b'id: '))
        for each in found.body.split(b'\n\n')[:-1]
    ]
    assert numbers == list(range(1, _LAST + 1))
    assert (found.body == _WHOLE, found.is_whole) == (True, True)
    assert is_held == (pause > 0)
    assert attempts == [1] * len(servers)


async def _end_unframed(peer):
    """Send whole events up to the 50th, and end with the connection."""
    await peer.send(make_head(peer.request, content_type='text/event-stream'))
    for number in range(1, 51):
        await peer.send(make_event(number, _TEXT))
    peer.writer.close()


async def _hold_unframed(stage, pause):
    """Return the answer to a caller that reads only after a pause."""
    prefer(stage, 0)
    reader, writer = await _connect(stage)
    writer.write(make_request('/stream/1', oleanderdyke_deadline_ms='19000'))
    await anyio.sleep(pause)
    assert stage.core.find_unread().ledger.total > 0
    with anyio.fail_after(15):
        found = await read_answer(reader)
    writer.close()
    return found


# Guards against ORDER: a stream that ended with its server passed for whole, as
# the next one listened at its address once the caller had read what was held.
async def test_held_stream_is_not_ended_by_a_server_that_starts_anew(tmp_path):
    async with staging(
        tmp_path, _end_unframed, configuration=_CONFIGURATION
    ) as stage:
        pool, find_next = stage.core.pool, stage.core.pool.outlives
        back = anyio.current_time() + 1.0

        async def find_server(address):
            is_back = anyio.current_time() >= back
            return is_back and await find_next(address)

        pool.outlives = find_server
        found = await _hold_unframed(stage, 1.5)
    assert not found.is_whole


# Guards against a stream that has ended and is taken for silent, so that its
# server counts as failed, and another one runs it again from behind its end.
async def test_held_stream_that_has_ended_is_not_silent(tmp_path):
    async with staging(
        tmp_path, _end_unframed, _end_unframed, configuration=_CONFIGURATION
    ) as stage:
        found = await _hold_unframed(stage, 2.0)
        assert [len(each.received) for each in stage.replicas] == [1, 0]
        assert 'sent nothing for too long' not in stage.log.read_text()
    assert (found.body, found.is_whole) == (_WHOLE[: len(found.body)], True)
    assert found.body.count(b'id: ') == 50
