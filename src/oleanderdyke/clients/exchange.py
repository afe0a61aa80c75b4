"""Carry HTTP exchanges over a connection, one after the other."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator
from typing import TypeAlias

import anyio
import h11

Body: TypeAlias = bytes | AsyncIterator[bytes] | None

# What an exchange raises; a timeout counts as the first.
FAILURES = (OSError, h11.ProtocolError)

_PIECE = 64 * 1024
_HEAD_LIMIT = 100 * 1024


class Exchange:
    """Send a request and read its answer, then the next; times in seconds.

    A reader holds up to two pieces that nobody has taken, then stops the
    socket.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        write: float,
        read: float | None,
        piece: int = _PIECE,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._write_timeout = write
        self._read_timeout = read
        self._piece = piece
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_HEAD_LIMIT
        )
        self._drained = False
        self._ended = False
        self.written = False

    @property
    def is_sound(self) -> bool:
        """Return whether nothing shows that the server has left."""
        return not (self._reader.at_eof() or self._writer.is_closing())

    async def send(self, head: h11.Request, body: Body) -> None:
        """Send a request; raise one of FAILURES."""
        # A server may answer and close before it has read everything.
        with contextlib.suppress(ConnectionError):
            await self._send(head, body)

    async def receive_head(self) -> h11.Response:
        """Return the head of the answer; raise one of FAILURES."""
        while True:
            event = await self._receive()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionError

    async def read_part(self) -> bytes:
        """Return what has come of the body, nothing at its end.

        Raise one of FAILURES.
        """
        while not self._ended:
            if self._drained:
                self._http.receive_data(await self._read())
            part = self._take_data()
            if part:
                return part
        return b''

    def rewind(self) -> bool:
        """Get ready for another request; False where there can be none."""
        if not self.is_sound or self._http.trailing_data[0]:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._drained = False
        self._ended = False
        self.written = False
        return True

    def close(self) -> None:
        """Close at once; what was not sent by now is dropped."""
        transport = self._writer.transport
        # One with TLS is gone for good by the second time that it is closed.
        if transport.is_closing():
            return
        if transport.get_write_buffer_size():
            transport.abort()
        else:
            transport.close()

    async def _send(self, head: h11.Request, body: Body) -> None:
        start = self._encode(head)
        if body is None or isinstance(body, bytes):
            rest = self._encode(h11.Data(data=body)) if body else b''
            await self._write(start + rest + self._encode(h11.EndOfMessage()))
            return
        await self._write(start)
        async for data in body:
            await self._write(self._encode(h11.Data(data=data)))
        await self._write(self._encode(h11.EndOfMessage()))

    def _encode(self, event: h11.Event) -> bytes:
        return self._http.send(event) or b''

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        self.written = True
        with anyio.fail_after(self._write_timeout):
            self._writer.write(data)
            await self._writer.drain()

    def _take_data(self) -> bytes:
        parts: list[bytes] = []
        self._drained = False
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                # What came before the fault counts; the next turn raises it.
                if not parts:
                    raise
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                break
            parts.append(bytes(event.data))
        self._drained = event is h11.NEED_DATA
        self._ended = not self._drained
        return b''.join(parts)

    async def _receive(self) -> h11.Event | None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Event):
                return event
            if event is h11.PAUSED:
                return None
            self._http.receive_data(await self._read())

    async def _read(self) -> bytes:
        if self._read_timeout is None:
            return await self._reader.read(self._piece)
        with anyio.fail_after(self._read_timeout):
            return await self._reader.read(self._piece)


async def open_exchange(
    host: str,
    port: int,
    *,
    tls: ssl.SSLContext | None,
    connect: float,
    write: float,
    read: float | None,
    piece: int = _PIECE,
) -> Exchange:
    """Connect; raise OSError."""
    with anyio.fail_after(connect):
        reader, writer = await asyncio.open_connection(
            host, port, ssl=tls, limit=piece
        )
    return Exchange(reader, writer, write=write, read=read, piece=piece)
