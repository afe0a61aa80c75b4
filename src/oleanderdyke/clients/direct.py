"""Speak HTTP to backend servers over connections that are kept open."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import h11

from oleanderdyke.clients.addresses import split_address
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.links.messages import Headers

_HEAD_LIMIT = 100 * 1024
# An idle connection is given up after this share of the time for which the
# server says it keeps it, so that no request crosses the server's close.
_IDLE_SHARE = 0.6
# Where a server doesn't tell how long it keeps idle connections.
_IDLE_DEFAULT: Millis = 4 * SECOND
# Bytes that a peer doesn't acknowledge for so long have met a dead machine
# or a cut link; a lost packet is sent again within a second.
_UNACKNOWLEDGED_LIMIT = 2_000
# Lingering for no time makes the close a reset.
_RESET = struct.pack('ii', 1, 0)


class AnswerListener(Protocol):
    """Receive one answer; `take_end` or `take_failure` is the last call."""

    def take_head(self, status: int, headers: Headers) -> None:
        """Take the head."""

    def take_part(self, data: bytes) -> None:
        """Take a part of the body."""

    def take_end(self) -> None:
        """Learn that the answer is whole."""

    def take_failure(self, reason: str) -> None:
        """Learn that nothing more will come."""


class BackendConnection(asyncio.Protocol):
    """Carry one request at a time to one server."""

    def __init__(self, give_back: Callable[[BackendConnection], None]) -> None:
        self._http = _make_parser()
        self._give_back = give_back
        self._listener: AnswerListener | None = None
        self._transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.idle_limit: Millis = _IDLE_DEFAULT * _IDLE_SHARE

    @property
    def is_sound(self) -> bool:
        """Return whether nothing shows that the server has left."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound how long the peer may leave bytes unacknowledged."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport
        bound = transport.get_extra_info('socket')
        if bound is not None:
            bound.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                _UNACKNOWLEDGED_LIMIT,
            )

    def send(
        self, head: h11.Request, body: bytes, listener: AnswerListener
    ) -> None:
        """Send a request; the listener takes its answer."""
        self._listener = listener
        data = self._http.send(head) or b''
        if body:
            data += self._http.send(h11.Data(data=body)) or b''
        data += self._http.send(h11.EndOfMessage()) or b''
        if self._transport is not None:
            self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Pass on what belongs to the answer; nothing else may come."""
        if self._listener is None:
            self.close()
            return
        try:
            self._http.receive_data(data)
            self._take_events()
        except h11.RemoteProtocolError:
            self._fail('the answer is malformed')

    def eof_received(self) -> bool | None:
        """End an answer whose length is that of the connection."""
        if self._listener is None:
            return None
        try:
            self._http.receive_data(b'')
            self._take_events()
        except h11.RemoteProtocolError:
            self._fail('the server closed too early')
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell who waits for an answer."""
        reason = 'closed' if exc is None else type(exc).__name__
        self._fail(f'the connection was lost: {reason}')

    def close(self) -> None:
        """Close at once; the listener hears nothing more.

        A request under way is cancelled with a reset: an orderly end would
        still deliver what a cut link holds up, seconds after its caller left.
        """
        is_busy = self._listener is not None
        self._listener = None
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        bound = transport.get_extra_info('socket')
        if is_busy and bound is not None:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        transport.abort()

    def _take_events(self) -> None:
        while self._listener is not None:
            event = self._http.next_event()
            if not isinstance(event, h11.Event):
                return
            self._take_event(event, self._listener)

    def _take_event(self, event: h11.Event, listener: AnswerListener) -> None:
        if isinstance(event, h11.Response):
            listener.take_head(event.status_code, _decode(event))
        elif isinstance(event, h11.Data):
            listener.take_part(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._end(listener)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail('the server closed before it answered')

    def _end(self, listener: AnswerListener) -> None:
        self._listener = None
        if not self._rewind():
            self.close()
        listener.take_end()
        if self.is_sound:
            self._give_back(self)

    def _rewind(self) -> bool:
        """Get ready for another request; False where there can be none."""
        transport = self._transport
        if transport is None or transport.get_write_buffer_size():
            return False
        if self._http.trailing_data[0]:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    def _fail(self, reason: str) -> None:
        listener = self._listener
        self.close()
        if listener is not None:
            listener.take_failure(reason)


@dataclass(slots=True)
class _Address:
    """Hold the idle connections to one address, the latest last."""

    idle: list[BackendConnection] = field(default_factory=list)


class ConnectionPool:
    """Keep connections to many servers open between requests."""

    def __init__(self, connect_limit: Millis) -> None:
        self._connect_limit = connect_limit
        self._addresses: dict[str, _Address] = {}

    def take_idle(self, address: str) -> BackendConnection | None:
        """Return a kept connection that should still be good."""
        kept = self._addresses.get(address)
        now = asyncio.get_running_loop().time() * SECOND
        while kept is not None and kept.idle:
            connection = kept.idle.pop()
            if now - connection.idle_since > connection.idle_limit:
                connection.close()
            elif connection.is_sound:
                return connection
        return None

    async def open(self, address: str) -> BackendConnection:
        """Connect; raise OSError, a timeout included."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()

        def give_back(connection: BackendConnection) -> None:
            connection.idle_since = loop.time() * SECOND
            kept = self._addresses.setdefault(address, _Address())
            kept.idle.append(connection)

        with anyio.fail_after(self._connect_limit / SECOND):
            _, connection = await loop.create_connection(
                lambda: BackendConnection(give_back), host, port
            )
        return connection

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        kept = self._addresses.pop(address, None)
        for connection in kept.idle if kept is not None else ():
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in tuple(self._addresses):
            self.drop_idle(address)


def set_idle_limit(connection: BackendConnection, told: Millis | None) -> None:
    """Take how long the server says that it keeps idle connections."""
    if told is not None:
        connection.idle_limit = told * _IDLE_SHARE


def make_head(
    method: str, target: str, headers: Headers, body: bytes, host: str
) -> h11.Request:
    """Build the head of a request with the framing of its body."""
    framed = [('host', host), *headers]
    if body or method not in {'GET', 'HEAD', 'DELETE', 'OPTIONS'}:
        framed.append(('content-length', str(len(body))))
    return h11.Request(
        method=method,
        target=target.encode('ascii'),
        headers=[
            (name.encode('latin-1'), content.encode('latin-1'))
            for name, content in framed
        ],
    )


def _make_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_HEAD_LIMIT)


def _decode(head: h11.Response) -> Headers:
    return tuple(
        (name.decode('latin-1'), content.decode('latin-1'))
        for name, content in head.headers
    )
