"""Guard against servers that send bytes without end."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from dataclasses import dataclass, field

import anyio
import h11
import pytest

from oleanderdyke.clients import direct
from oleanderdyke.clients.buffered import fetch_body
from oleanderdyke.clients.direct import BackendConnection, make_head
from oleanderdyke.clients.http import HttpBackend, HttpError
from oleanderdyke.clients.keep_alive import KeepAliveHttp
from tests.hosted import staging
from tests.standins.endless import Pour, begin, pour
from tests.standins.replica import Peer, make_chunk, serving_replica
from tests.standins.scripts import answer_well

pytestmark = pytest.mark.anyio

_MANY = 4_000
_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'


@dataclass
class _Listener:
    """Count what a connection passes on, by turns of the loop."""

    turn: int = 0
    parts: list[int] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    ends: int = 0
    body: bytes = b''
    sizes: list[int] = field(default_factory=list)
    # How long each event of the body is; 0 if it has none.
    event_bytes: int = 0

    def find_other_request(self, headers):
        return ''

    def take_head(self, status, headers):
        """Ignore the head."""

    def take_part(self, data):
        self.parts.append(self.turn)
        self.sizes.append(len(data))
        self.body += data
        return len(data) // self.event_bytes if self.event_bytes else 0

    def take_end(self):
        self.ends += 1

    def take_failure(self, reason):
        self.failures.append(reason)

    async def count_turns(self):
        while True:
            await asyncio.sleep(0)
            self.turn += 1


class _Transport(asyncio.Transport):
    """Take what is written, and record whether reading is paused."""

    def __init__(self):
        super().__init__()
        self.is_reading = True
        self.is_closed = False

    def write(self, data):
        """Drop the request."""

    def is_closing(self):
        return self.is_closed

    def abort(self):
        self.is_closed = True

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True


@contextlib.asynccontextmanager
async def _awaiting_answer():
    """Yield a connection that awaits an answer, its listener and transport."""
    connection, transport = BackendConnection(lambda _: None), _Transport()
    listener = _Listener()
    connection.connection_made(transport)
    head = make_head('GET', '/', (), b'', 'rooms.example')
    connection.send(head, b'', listener, request='req-1')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.count_turns)
        yield connection, listener, transport
        tasks.cancel_scope.cancel()


# Guards against interim answers without end, which were dropped one by one.
async def test_interim_answers_are_limited():
    async with _awaiting_answer() as (connection, listener, transport):
        connection.data_received(_INTERIM * _MANY)
    assert listener.failures == ['the server sent too many interim answers']
    assert transport.is_closed


async def test_answer_after_a_few_interim_ones_is_taken():
    async with _awaiting_answer() as (connection, listener, _):
        connection.data_received(_INTERIM * 3 + _HEAD + make_chunk(b'done'))
        connection.data_received(b'0\r\n\r\n')
    assert (listener.body, listener.ends) == (b'done', 1)


# Guards against an answer in tiny chunks that takes a whole turn of the loop.
async def test_one_connection_parses_few_events_in_a_turn():
    async with _awaiting_answer() as (connection, listener, transport):
        connection.data_received(_HEAD + make_chunk(b'x') * _MANY)
        assert len(listener.parts) <= direct._TURN_EVENTS
        assert not transport.is_reading
        while len(listener.parts) < _MANY:
            await asyncio.sleep(0)
        assert transport.is_reading
        connection.data_received(b'0\r\n\r\n')
    assert (listener.body, listener.ends) == (b'x' * _MANY, 1)
    per_turn = [listener.parts.count(turn) for turn in set(listener.parts)]
    assert max(per_turn) <= 2 * direct._TURN_EVENTS


# Guards against tiny events in long parts that take a whole turn of the loop.
async def test_one_connection_passes_on_few_events_in_a_turn():
    async with _awaiting_answer() as (connection, listener, transport):
        listener.event_bytes = 8
        data = b'x' * direct._TURN_BYTES
        for _ in range(4):
            connection.data_received(_HEAD * (not listener.parts))
            connection.data_received(make_chunk(data))
        while len(listener.body) < 4 * len(data):
            await asyncio.sleep(0)
        assert transport.is_reading
    events = collections.Counter[int]()
    for turn, size in zip(listener.parts, listener.sizes, strict=True):
        events[turn] += size // listener.event_bytes
    # Only the first part is as long as those of few events.
    first, *others = events.values()
    assert first <= direct._TURN_BYTES / listener.event_bytes / 2
    assert max(others) <= 4 * direct._TURN_EVENTS


async def test_paused_connection_parses_nothing_until_it_is_resumed():
    async with _awaiting_answer() as (connection, listener, transport):
        connection.data_received(_HEAD + make_chunk(b'x') * _MANY)
        connection.pause_reading()
        count = len(listener.parts)
        for _ in range(20):
            await asyncio.sleep(0)
        assert len(listener.parts) == count
        connection.resume_reading()
        while len(listener.parts) < _MANY:
            await asyncio.sleep(0)
        assert transport.is_reading


async def test_bytes_after_a_long_answer_close_its_connection():
    async with _awaiting_answer() as (connection, listener, transport):
        body = make_chunk(b'x') * _MANY + b'0\r\n\r\n'
        connection.data_received(_HEAD + body + b'HTTP/1.1 200 OK\r\n')
        while not listener.ends:
            await asyncio.sleep(0)
    assert listener.body == b'x' * _MANY
    assert transport.is_closed


@contextlib.asynccontextmanager
async def _serving_pour(kind, sent):
    async def play(peer: Peer) -> None:
        sent.append(await pour(peer, kind, limit=32 * 1024 * 1024))

    async with serving_replica(play) as (_, address):
        yield address


# Guards against answers without end to calls of the store, engines and others.
@pytest.mark.parametrize('client', [HttpBackend, KeepAliveHttp])
@pytest.mark.parametrize('kind', Pour)
async def test_buffered_answer_without_end_fails_before_it_is_long(
    client, kind
):
    sent = []
    async with _serving_pour(kind, sent) as address:
        headers = (('oleanderdyke-request-id', 'req-1'),)
        with pytest.raises(HttpError), anyio.fail_after(20):
            await fetch_body(
                client(address),
                'GET',
                '/',
                headers=headers,
                body=b'',
                within=15_000.0,
                limit=256 * 1024,
            )
        while not sent:
            await anyio.sleep(0.01)
    # Tiny chunks are up to six bytes for each byte of the body.
    assert sent[0] < 8 * 1024 * 1024


# Guards against a buffered body in tiny chunks that takes the whole loop.
async def test_buffered_answer_leaves_turns_to_others():
    turns = _Listener()

    async def play(peer: Peer) -> None:
        await peer.send(begin(peer, Pour.TINY_CHUNKS))
        await peer.send(make_chunk(b'x') * 20_000 + b'0\r\n\r\n')

    async with (
        serving_replica(play) as (_, address),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(turns.count_turns)
        _, body = await fetch_body(
            KeepAliveHttp(address),
            'GET',
            '/',
            headers=(('oleanderdyke-request-id', 'req-1'),),
            body=b'',
            within=15_000.0,
            limit=256 * 1024,
        )
        tasks.cancel_scope.cancel()
    assert body == b'x' * 20_000
    assert turns.turn > 20_000 / 512


# Guards against servers whose bytes without end keep others from being served.
@pytest.mark.parametrize('kind', Pour)
async def test_requests_of_others_are_served_beside_bytes_without_end(
    tmp_path, kind
):
    poured = []

    async def play(peer: Peer) -> None:
        if 'poured' in peer.request.target:
            poured.append(await pour(peer, kind))
        else:
            await answer_well(peer)

    answers = []
    async with (
        staging(tmp_path, play, play) as stage,
        anyio.create_task_group() as tasks,
    ):
        for number in range(6):
            path = f'/{"letter" if number % 2 else "safe"}/poured'
            tasks.start_soon(_call_for(stage, path, f'poured-{number}'))
        for number in range(40):
            found = await stage.call(
                '/once/sound', oleanderdyke_request_id=f'sound-{number}'
            )
            answers.append(found.status)
        tasks.cancel_scope.cancel()
    assert answers.count(200) == 40


def _call_for(stage, path, name):
    async def call():
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, h11.ProtocolError
        ):
            await stage.call(path, oleanderdyke_request_id=name)

    return call
