"""Guard against servers that send bytes without end."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

import anyio
import pytest

from oleanderdyke.clients.buffered import fetch_body
from oleanderdyke.clients.direct import BackendConnection, make_head
from oleanderdyke.clients.http import HttpBackend, HttpError
from oleanderdyke.clients.keep_alive import KeepAliveHttp
from tests.standins.endless import Pour, begin, pour
from tests.standins.replica import Peer, make_chunk, serving_replica

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

    def find_other_request(self, headers):
        return ''

    def take_head(self, status, headers):
        """Ignore the head."""

    def take_part(self, data):
        self.parts.append(self.turn)
        self.body += data

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
