"""HTTP exchanges over one connection, one after the other."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator
from typing import TypeAlias

import anyio
import h11

from oleanderdyke.clients.addresses import connecting, split_address

Body: TypeAlias = bytes | AsyncIterator[bytes] | None

# Errors of an exchange; a TimeoutError is an OSError.
FAILURES = (OSError, h11.ProtocolError)

_CHUNK_BYTES = 64 * 1024
_MAX_HEAD_BYTES = 100 * 1024
# Interim answers to one request, of which servers send one at most.
_MAX_INTERIM_ANSWERS = 16
_MAX_STATUS = 599
# Parts of a body that are parsed before other tasks get a turn.
_TURN_PARTS = 64


class Exchange:
    """Send a request and receive its answer, then the next.

    The timeouts `write` and `read` are in seconds. The reader buffers up to two
    chunks of unread bytes before it stops reading from the socket.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        write: float,
        read: float | None,
        chunk: int = _CHUNK_BYTES,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._write_timeout = write
        self._read_timeout = read
        self._chunk = chunk
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._needs_data = False
        self._ended = False
        # Parts that have come were left for the next turn of the loop.
        self._is_behind = False
        self.written = False

    @property
    def is_usable(self) -> bool:
        """Return whether the connection is open as far as is known."""
        return not (self._reader.at_eof() or self._writer.is_closing())

    async def send(self, head: h11.Request, body: Body) -> None:
        """Send a request; raise one of FAILURES."""
        # A server may answer and close before it has read the whole request.
        with contextlib.suppress(ConnectionError):
            await self._send(head, body)

    async def receive_head(self) -> h11.Response:
        """Return the head of the answer; raise one of FAILURES."""
        for _ in range(_MAX_INTERIM_ANSWERS + 1):
            event = await self._receive()
            if isinstance(event, h11.Response):
                return _check_status(event)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionError
        raise h11.RemoteProtocolError('too many interim answers')

    async def read_part(self) -> bytes:
        """Return the next bytes of the body, no bytes at its end.

        Raise one of FAILURES.
        """
        while not self._ended:
            if self._needs_data:
                self._http.receive_data(await self._read())
            elif self._is_behind:
                await anyio.sleep(0)
            part = self._take_data()
            if part:
                return part
        return b''

    def rewind(self) -> bool:
        """Prepare for the next request; return False if none is possible."""
        if not self.is_usable or self._http.trailing_data[0]:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._needs_data = False
        self._ended = False
        self.written = False
        return True

    def close(self) -> None:
        """Close at once, dropping bytes that were not sent yet."""
        transport = self._writer.transport
        # A TLS transport must not be closed twice: the second call aborts it.
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
        self._needs_data = False
        while len(parts) < _TURN_PARTS:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                # Return the data before the fault; the next call raises.
                if not parts:
                    raise
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                self._needs_data = event is h11.NEED_DATA
                self._ended = not self._needs_data
                break
            parts.append(bytes(event.data))
        self._is_behind = len(parts) >= _TURN_PARTS
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
            return await self._reader.read(self._chunk)
        with anyio.fail_after(self._read_timeout):
            return await self._reader.read(self._chunk)


def _check_status(head: h11.Response) -> h11.Response:
    """Return the head; raise RemoteProtocolError if its status is none."""
    if head.status_code > _MAX_STATUS:
        raise h11.RemoteProtocolError(
            f'status: found {head.status_code}; allowed: up to {_MAX_STATUS}'
        )
    return head


async def open_exchange(
    address: str,
    *,
    tls: ssl.SSLContext | None,
    connect: float,
    write: float,
    read: float | None,
    chunk: int = _CHUNK_BYTES,
) -> Exchange:
    """Open a connection, with timeouts in seconds; raise OSError."""
    with connecting(), anyio.fail_after(connect):
        host, port = split_address(address)
        reader, writer = await asyncio.open_connection(
            host, port, ssl=tls, limit=chunk
        )
    return Exchange(reader, writer, write=write, read=read, chunk=chunk)
