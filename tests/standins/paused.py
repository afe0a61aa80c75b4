"""Simulate backend servers that leave requests unread for a time.

While one is paused its kernel takes connections and requests, which the server
reads all at once as it goes on. A server may leave only a share of its
connections unread, and a proxy in front of it may reset those while it holds
what came over them.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from random import Random

import anyio
import anyio.abc
import h11

from tests.standins.replica import MessageReceived, make_answer

_PIECE = 65_536
_REQUEST = 'oleanderdyke-request-id'
_RESET = struct.pack('ii', 1, 0)

Answer = Callable[[MessageReceived], bytes]


def refuse(request: MessageReceived) -> bytes:
    """Build the refusal of a server that is full."""
    return make_answer(request, 503, b'full', oleanderdyke_not_executed='1')


def serve(request: MessageReceived) -> bytes:
    """Build a successful answer."""
    return make_answer(request, 200, b'done')


@dataclass
class PausableServer:
    """Answer each request at once; `arrive` is called as it is read.

    During a pause each request falls with the probability `share` on a
    connection that is left unread. With `is_resetting` such connections are
    reset at once, and what came over them arrives after the pause.
    """

    arrive: Callable[[str], None]
    answer: Answer = refuse
    share: float = 1.0
    is_resetting: bool = False
    random: Random = field(default_factory=lambda: Random(1))
    _is_running: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        """Start running."""
        self._is_running.set()

    def pause(self) -> None:
        """Read nothing until `resume`."""
        self._is_running = anyio.Event()

    def resume(self) -> None:
        """Read what has come meanwhile."""
        self._is_running.set()

    async def serve(self, connection: socket.socket) -> None:
        """Serve one connection until it is closed."""
        loop = asyncio.get_running_loop()
        parser = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.RemoteProtocolError):
            while data := await loop.sock_recv(connection, _PIECE):
                if self.random.random() < self.share:
                    await self._hold(connection)
                parser.receive_data(data)
                while request := _take_request(parser):
                    self.arrive(request.headers[_REQUEST])
                    await loop.sock_sendall(connection, self.answer(request))
                    parser = _start_next(parser)
        connection.close()

    async def _hold(self, connection: socket.socket) -> None:
        if self.is_resetting and not self._is_running.is_set():
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            connection.close()
        await self._is_running.wait()


@contextlib.asynccontextmanager
async def serving_pausable(
    server: PausableServer,
) -> AsyncGenerator[str, None]:
    """Serve on loopback; yield the address."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.settimeout(0)
        host, port = listener.getsockname()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_accept, listener, server, tasks)
            yield f'{host}:{port}'
            tasks.cancel_scope.cancel()


async def _accept(
    listener: socket.socket,
    server: PausableServer,
    tasks: anyio.abc.TaskGroup,
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        connection, _ = await loop.sock_accept(listener)
        connection.settimeout(0)
        tasks.start_soon(server.serve, connection)


def _take_request(parser: h11.Connection) -> MessageReceived | None:
    """Return the next whole request; bodies must fit into one read."""
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = parser.next_event()
        if isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {
                name.decode(): text.decode('latin-1')
                for name, text in head.headers
            }
            return MessageReceived(
                head.method.decode(),
                head.target.decode(),
                headers,
                bytes(body),
                0,
            )
        else:
            return None


def _start_next(parser: h11.Connection) -> h11.Connection:
    """Return a parser for the bytes after the request just read."""
    rest, _ = parser.trailing_data
    following = h11.Connection(h11.SERVER)
    if rest:
        following.receive_data(rest)
    return following
