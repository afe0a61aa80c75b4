"""Speak HTTP to one server over a few connections that are kept open.

Only for requests that may safely run twice: one whose kept connection breaks
or stays silent is sent again, once, on a new connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass

import anyio
import h11

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import Ran
from oleanderdyke.platform.http import HttpAnswer, HttpError

_PIECE = 256 * 1024


@dataclass(frozen=True, slots=True)
class KeptSettings:
    """Bound the connections that are kept and the waits on them.

    A kept connection that gives no answer within `patience` counts as gone
    silent. One that was unused for `idle` is closed.
    """

    connections: int = 8
    connect: Millis = SECOND
    patience: Millis = 250.0
    silence: Millis = 10 * SECOND
    idle: Millis = 4 * SECOND


class KeptHttp:
    """Exchange with one server; leaving an answer early costs a connection."""

    def __init__(
        self, address: str, settings: KeptSettings | None = None
    ) -> None:
        host, _, port = address.rpartition(':')
        self._address = address
        self._host = host.strip('[]')
        self._port = int(port)
        self._settings = settings or KeptSettings()
        self._kept: list[_Connection] = []
        self._used: set[_Connection] = set()

    @asynccontextmanager
    async def request(
        self, method: str, path: str, *, body: bytes = b''
    ) -> AsyncIterator[HttpAnswer]:
        """Send and give the answer; raise HttpError."""
        sent = self._encode(method, path, body)
        connection, head = await self._begin(sent)
        pieces = connection.iterate(self._settings.silence)
        try:
            async with aclosing(pieces):
                yield HttpAnswer(head.status_code, (), pieces)
        finally:
            self._give_back(connection)

    async def close(self) -> None:
        """Break off every exchange and every kept connection."""
        for connection in (*self._kept, *self._used):
            connection.abort()
        self._kept.clear()

    def _encode(self, method: str, path: str, body: bytes) -> list[h11.Event]:
        headers = [('host', self._address), ('content-length', str(len(body)))]
        head = h11.Request(method=method, target=path, headers=headers)
        if not body:
            return [head, h11.EndOfMessage()]
        return [head, h11.Data(data=body), h11.EndOfMessage()]

    async def _begin(
        self, sent: list[h11.Event]
    ) -> tuple[_Connection, h11.Response]:
        kept = self._take_kept()
        if kept is not None:
            try:
                return await self._open(kept, sent, self._settings.patience)
            except HttpError:
                # What is kept besides may be as dead as this one.
                self._drop_kept()
        connection = await self._connect()
        return await self._open(connection, sent, self._settings.silence)

    async def _open(
        self, connection: _Connection, sent: list[h11.Event], bound: Millis
    ) -> tuple[_Connection, h11.Response]:
        self._used.add(connection)
        try:
            return connection, await connection.send(sent, bound)
        except BaseException:
            self._used.discard(connection)
            connection.abort()
            raise

    async def _connect(self) -> _Connection:
        bound = self._settings.connect / SECOND
        try:
            with anyio.fail_after(bound):
                reader, writer = await asyncio.open_connection(
                    self._host, self._port, limit=_PIECE
                )
        except OSError as error:
            raise HttpError('cannot connect', ran=Ran.NO) from error
        return _Connection(reader, writer)

    def _take_kept(self) -> _Connection | None:
        before = asyncio.get_running_loop().time()
        before -= self._settings.idle / SECOND
        while self._kept:
            connection = self._kept.pop()
            if connection.is_sound and connection.used_at >= before:
                return connection
            connection.abort()
        return None

    def _drop_kept(self) -> None:
        while self._kept:
            self._kept.pop().abort()

    def _give_back(self, connection: _Connection) -> None:
        self._used.discard(connection)
        full = len(self._kept) >= self._settings.connections
        if full or not connection.rewind():
            connection.abort()
            return
        self._kept.append(connection)


class _Connection:
    """Hold one connection and how far its exchange is."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self.used_at = 0.0

    @property
    def is_sound(self) -> bool:
        """Tell whether nothing shows that the server has left."""
        return not (self._reader.at_eof() or self._writer.is_closing())

    def abort(self) -> None:
        """Drop the connection at once."""
        self._writer.transport.abort()

    def rewind(self) -> bool:
        """Get ready for the next exchange; False where there can be none."""
        if not self.is_sound or self._http.trailing_data[0]:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.used_at = asyncio.get_running_loop().time()
        return True

    async def send(
        self, events: list[h11.Event], bound: Millis
    ) -> h11.Response:
        """Send a request and return the head of its answer."""
        data = [self._http.send(event) or b'' for event in events]
        try:
            with anyio.fail_after(bound / SECOND):
                self._writer.write(b''.join(data))
                await self._writer.drain()
                return await self._receive_head()
        except (OSError, h11.ProtocolError) as error:
            raise _make_lost(error) from error

    async def iterate(self, silence: Millis) -> AsyncGenerator[bytes, None]:
        """Yield the body; each piece comes within the bound of silence."""
        while True:
            try:
                with anyio.fail_after(silence / SECOND):
                    event = await self._receive()
            except (OSError, h11.ProtocolError) as error:
                raise _make_lost(error) from error
            if not isinstance(event, h11.Data):
                return
            yield bytes(event.data)

    async def _receive_head(self) -> h11.Response:
        while True:
            event = await self._receive()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionError

    async def _receive(self) -> h11.Event | None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Event):
                return event
            if event is h11.PAUSED:
                return None
            self._http.receive_data(await self._reader.read(_PIECE))


def _make_lost(error: Exception) -> HttpError:
    reason = type(error).__name__
    return HttpError(f'the exchange failed: {reason}', ran=Ran.MAYBE)
