"""Simulate a backend server of the users' platform at the byte level."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, field

import h11

_PIECE = 65_536


@dataclass(slots=True)
class MessageReceived:
    """Hold one received request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int


@dataclass(slots=True)
class Peer:
    """Let a script answer one request."""

    request: MessageReceived
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    async def send(self, data: bytes) -> None:
        """Write raw bytes to the connection."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Abort the connection with a TCP reset, unless it is closed."""
        if self.writer.is_closing():
            return
        connection = self.writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the caller has closed the connection."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(_PIECE):
                pass

    async def answer(
        self, status: int = 200, body: bytes = b'done', **headers: str
    ) -> None:
        """Send a complete response with the headers of a backend server."""
        await self.send(make_answer(self.request, status, body, **headers))


Script = Callable[[Peer], Awaitable[None]]


def make_answer(
    request: MessageReceived,
    status: int = 200,
    body: bytes = b'done',
    **headers: str,
) -> bytes:
    """Build a complete response; underscores in header names become dashes."""
    return (
        make_head(request, status, content_length=str(len(body)), **headers)
        + body
    )


def make_head(
    request: MessageReceived, status: int = 200, **headers: str
) -> bytes:
    """Build the status line and headers of a response."""
    named = {
        'oleanderdyke-request-id': request.headers['oleanderdyke-request-id'],
        'oleanderdyke-response-seal': 'seal',
    }
    named |= {name.replace('_', '-'): text for name, text in headers.items()}
    lines = ''.join(
        f'{name}: {text}\r\n' for name, text in named.items() if text
    )
    return f'HTTP/1.1 {status} Told\r\n{lines}\r\n'.encode()


def make_chunk(data: bytes) -> bytes:
    """Encode one chunk for chunked transfer encoding."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def make_event(number: int, text: str = 'word') -> bytes:
    """Build one event of a stream."""
    return f'id: {number}\ndata: {text}{number}\n\n'.encode()


@dataclass
class Replica:
    """Run a script for each request and record the requests."""

    script: Script
    received: list[MessageReceived] = field(default_factory=list)
    connections: int = 0
    # Listens for connections; closed, it refuses them.
    server: asyncio.Server | None = None

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it is closed."""
        self.connections += 1
        number = self.connections
        parser = h11.Connection(h11.SERVER)
        # The end of a test cancels scripts that still run.
        with contextlib.suppress(ConnectionError, h11.RemoteProtocolError):
            try:
                while request := await _read_request(parser, reader, number):
                    self.received.append(request)
                    await self.script(Peer(request, writer, reader))
                    if writer.is_closing():
                        return
                    parser = h11.Connection(h11.SERVER)
            finally:
                writer.close()


def find_host() -> str:
    """Return a loopback address that no other process uses.

    Daemons of other runs go on calling ports of theirs that were freed, which
    a stand-in at their address may get.
    """
    pid = os.getpid()
    return f'127.{64 + (pid >> 16) % 64}.{(pid >> 8) % 256}.{pid % 256}'


@contextlib.asynccontextmanager
async def serving_replica(
    script: Script,
) -> AsyncGenerator[tuple[Replica, str], None]:
    """Serve on loopback; yield the stand-in and its address."""
    replica = Replica(script)
    server = await asyncio.start_server(replica.serve, find_host(), 0)
    replica.server = server
    host, port = server.sockets[0].getsockname()[:2]
    try:
        yield replica, f'{host}:{port}'
    finally:
        server.close()


async def _read_request(
    parser: h11.Connection, reader: asyncio.StreamReader, number: int
) -> MessageReceived | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(_PIECE))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return _make_received(head, bytes(body), number)
        else:
            return None


def _make_received(
    head: h11.Request, body: bytes, number: int
) -> MessageReceived:
    headers = {
        name.decode(): text.decode('latin-1') for name, text in head.headers
    }
    return MessageReceived(
        head.method.decode(), head.target.decode(), headers, body, number
    )
