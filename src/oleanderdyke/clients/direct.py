"""HTTP to backend servers over pooled keep-alive connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import fcntl
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import h11

from oleanderdyke.clients.addresses import connecting, split_address
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.links.messages import Headers

_MAX_HEAD_BYTES = 100 * 1024
# An idle connection is closed after this share of the server's keep-alive
# timeout, so that no request is sent while the server closes it.
_IDLE_SHARE = 0.6
# For servers that send no keep-alive timeout.
_DEFAULT_KEEP_ALIVE: Millis = 4 * SECOND
# After this time without acknowledgement the peer's machine is down or the
# network is partitioned: a lost packet is resent within a second.
_USER_TIMEOUT_MS = 2_000
# SO_LINGER with a timeout of 0 makes closing send a TCP reset.
RESET = struct.pack('ii', 1, 0)
# A connection is closed after this many requests, whose ids it remembers. They
# take some 20 KiB, and a new connection costs little for so many.
_MAX_CARRIED = 256
# Bounds of the late answers to earlier requests on one connection.
_MAX_LATE_ANSWERS = 4
_MAX_LATE_BYTES = 256 * 1024
# Bounds of what one connection parses in one turn of the event loop, so that a
# server that sends without end leaves time for the other connections.
_TURN_BYTES = 64 * 1024
_PIECE_BYTES = 16 * 1024
_TURN_EVENTS = 64
# For answers with many events in one piece.
_SMALL_PIECE_BYTES = 1024
# Interim answers to one request, of which servers send one at most.
_MAX_INTERIM_ANSWERS = 16
# Bounds of the rest of an answer that nobody needs: beyond them a connection is
# closed instead of being used again.
_MAX_DRAINED_BYTES = 64 * 1024
_DRAIN_LIMIT: Millis = 2 * SECOND
# A body is passed to the transport in pieces of this size, as it would copy all
# that the system doesn't take at once.
_SENT_BYTES = 256 * 1024
_FRAMING_HEADERS = frozenset({'content-length', 'transfer-encoding'})

# A proxy whose server is gone closes a new connection within this time; a
# server waits longer for a request.
_CLOSE_LIMIT: Millis = 100.0
# The request for the bytes that a peer has not acknowledged, as the kernel's
# sockios.h defines it, and the format of the number.
_SIOCOUTQ = 0x5411
_OUTQ_FORMAT = 'i'
# What `make_head` raises for a value that no header can carry.
HEAD_FAULTS = (UnicodeError, h11.LocalProtocolError)


class Reachability(enum.StrEnum):
    """What became of a new connection without a request."""

    REFUSED = 'refused'
    CLOSED = 'closed'
    # It stayed open, or could not be established in time.
    UNCLEAR = 'unclear'


class AnswerListener(Protocol):
    """Receive an answer; the last call is `take_end` or `take_failure`."""

    def find_other_request(self, headers: Headers) -> str:
        """Return the id that the head of an answer to another request has.

        Return '' if it has none, or that of this request.
        """

    def take_head(self, status: int, headers: Headers) -> None:
        """Process the status and the headers."""

    def take_part(self, data: bytes) -> int:
        """Process the next part of the body; return the events in it."""

    def take_end(self) -> None:
        """Process the end of a complete answer."""

    def take_failure(self, reason: str) -> None:
        """Process a failure that ends the answer early."""


class BackendConnection(asyncio.Protocol):
    """Send one request at a time to one server over one connection."""

    def __init__(self, give_back: Callable[[BackendConnection], None]) -> None:
        self._http = _make_parser()
        self._give_back = give_back
        self._listener: AnswerListener | None = None
        self._transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        # Set by the user of the connection, by its own clock.
        self.opened_at: Millis | None = None
        # The server or its machine has closed the connection, unlike one that
        # stopped acknowledging, which may be behind a cut link.
        self.was_closed_by_peer = False
        # The latest answer had neither a length nor chunks.
        self.has_ended_answer = False
        self.idle_limit: Millis = _DEFAULT_KEEP_ALIVE * _IDLE_SHARE
        self._lost = asyncio.Event()
        # Hashes of the ids of all requests sent so far.
        self._carried: set[int] = set()
        self._method = b''
        # Late answers to earlier requests, and the bytes of their bodies.
        self._late_answers = 0
        self._late_bytes = 0
        self._is_answer_late = False
        self._interim_answers = 0
        # Received bytes that the parser doesn't have yet.
        self._unparsed = bytearray()
        self._turn_events = 0
        self._piece_bytes = _PIECE_BYTES
        # Bytes or events are left for the next turn of the loop.
        self._is_behind = False
        self._is_held = False
        # The rest of the request's body that the transport doesn't have yet.
        self._unsent = memoryview(b'')
        self._is_write_paused = False

    @property
    def is_usable(self) -> bool:
        """Return whether the connection is open as far as is known."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    @property
    def has_late_answers(self) -> bool:
        """Return whether late answers to earlier requests have come."""
        return bool(self._late_answers)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the timeout for bytes that the peer doesn't acknowledge."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport
        bound = transport.get_extra_info('socket')
        if bound is not None:
            bound.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                _USER_TIMEOUT_MS,
            )

    def has_carried(self, request: str) -> bool:
        """Return whether a request with this id was sent here before.

        A late copy of its answer could not be told from the next answer.
        """
        return hash(request) in self._carried

    def send(
        self,
        head: h11.Request,
        body: bytes,
        listener: AnswerListener,
        *,
        request: str,
    ) -> None:
        """Send a request with an id; the listener receives its answer."""
        self._listener = listener
        self._carried.add(hash(request))
        self._method = head.method
        self._interim_answers = 0
        self._piece_bytes = _PIECE_BYTES
        data = self._http.send(head) or b''
        if body:
            self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        if len(body) <= _SENT_BYTES:
            data += body
        else:
            self._unsent = memoryview(body)
        if self._transport is not None:
            self._transport.write(data)
            self._send_rest()

    def pause_writing(self) -> None:
        """Keep the rest of the body until the server has read enough."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Send more of the body."""
        self._is_write_paused = False
        self._send_rest()

    def data_received(self, data: bytes) -> None:
        """Pass on bytes of the answer; close on bytes without a request."""
        if self._listener is None:
            self.close()
            return
        self._unparsed += data
        if not self._is_behind:
            self._parse()

    def eof_received(self) -> bool | None:
        """End an answer that is delimited by the close of the connection."""
        if self._listener is None:
            return None
        self.was_closed_by_peer = True
        if self._is_sending():
            # A server that reset the connection a moment later would not have
            # ended its answer.
            self._fail('the server closed before it had the whole request')
            return None
        self.has_ended_answer = True
        self._turn_events = 0
        try:
            self._http.receive_data(b'')
            self._take_events()
        except h11.RemoteProtocolError:
            self._fail('the server closed the connection within its answer')
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the listener of the running request."""
        if exc is None or isinstance(exc, ConnectionError):
            self.was_closed_by_peer = True
        self._lost.set()
        reason = 'closed' if exc is None else type(exc).__name__
        self._fail(f'the connection was lost: {reason}')

    async def wait_lost(self) -> None:
        """Wait until the connection has ended at either side."""
        await self._lost.wait()

    def release(self) -> None:
        """Return a connection that has no request to its pool."""
        self._give_back(self)

    def pause_reading(self) -> None:
        """Let the answer wait, so that the server is held back."""
        self._is_held = True
        self._update_reading()

    def resume_reading(self) -> None:
        """Receive the answer again."""
        if not self._is_held:
            return
        self._is_held = False
        self._update_reading()
        if self._is_behind:
            self._parse_later()

    def close(self) -> None:
        """Close at once, without further calls of the listener.

        A running request is cancelled with a TCP reset. After an orderly close,
        bytes held up by a network partition would still be delivered, seconds
        after the caller left.
        """
        is_busy = self._listener is not None
        self._listener = None
        self._unsent = memoryview(b'')
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        bound = transport.get_extra_info('socket')
        if is_busy and bound is not None:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        transport.abort()

    def drain(self) -> None:
        """Receive the rest of an answer for nobody, within limits."""
        if self._listener is None:
            return
        drained = self._listener = _DrainedAnswer(self)
        asyncio.get_running_loop().call_later(
            _DRAIN_LIMIT / SECOND, self._end_drain, drained
        )

    def _end_drain(self, drained: _DrainedAnswer) -> None:
        if self._listener is drained:
            self.close()

    def _is_sending(self) -> bool:
        """Return whether the server's system lacks a part of the request."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if self._unsent or transport.get_write_buffer_size():
            return True
        bound = transport.get_extra_info('socket')
        left = struct.pack(_OUTQ_FORMAT, 0)
        with contextlib.suppress(OSError):
            left = fcntl.ioctl(bound.fileno(), _SIOCOUTQ, left)
        return bool(struct.unpack(_OUTQ_FORMAT, left)[0])

    def _send_rest(self) -> None:
        while self._unsent and not self._is_write_paused and self.is_usable:
            piece = self._unsent[:_SENT_BYTES]
            self._unsent = self._unsent[_SENT_BYTES:]
            if self._transport is not None:
                self._transport.write(piece)

    def _parse(self) -> None:
        """Parse what has come, up to the bounds of one turn of the loop."""
        if self._is_held:
            return
        self._turn_events = 0
        try:
            is_behind = self._parse_pieces()
        except h11.RemoteProtocolError:
            self._fail('the answer is malformed')
            return
        self._is_behind = is_behind and self._listener is not None
        self._update_reading()
        if self._is_behind and not self._is_held:
            self._parse_later()

    def _parse_later(self) -> None:
        asyncio.get_running_loop().call_soon(self._parse)

    def _parse_pieces(self) -> bool:
        """Parse bytes in small pieces; return whether something is left."""
        is_whole = self._take_events() if self._is_behind else True
        for _ in range(_TURN_BYTES // _PIECE_BYTES):
            if not (is_whole and self._unparsed) or self._is_held:
                break
            piece = bytes(self._unparsed[: self._piece_bytes])
            del self._unparsed[: self._piece_bytes]
            self._http.receive_data(piece)
            is_whole = self._take_events()
        return not is_whole or bool(self._unparsed)

    def _update_reading(self) -> None:
        transport = self._transport
        if transport is None or not self.is_usable:
            return
        if self._is_held or self._is_behind:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _take_events(self) -> bool:
        """Take the parsed events; return False if some are left."""
        while self._listener is not None:
            if self._turn_events >= _TURN_EVENTS:
                return False
            event = self._http.next_event()
            if not isinstance(event, h11.Event):
                return True
            self._turn_events += 1
            self._take_event(event, self._listener)
        return True

    def _take_event(self, event: h11.Event, listener: AnswerListener) -> None:
        if isinstance(event, h11.ConnectionClosed):
            self._fail('the server closed the connection before it answered')
        elif self._is_answer_late:
            self._drop_late(event)
        else:
            self._take_part(event, listener)

    def _take_part(self, event: h11.Event, listener: AnswerListener) -> None:
        if isinstance(event, h11.Data):
            self._count_events(listener.take_part(bytes(event.data)))
        elif isinstance(event, h11.Response):
            self._take_head(event, listener)
        elif isinstance(event, h11.EndOfMessage):
            self._end(listener)
        elif isinstance(event, h11.InformationalResponse):
            self._count_interim()

    def _count_events(self, count: int) -> None:
        """Count the events of a part; parse less at once if they are many."""
        self._turn_events += count
        if count > _TURN_EVENTS:
            self._piece_bytes = _SMALL_PIECE_BYTES

    def _count_interim(self) -> None:
        self._interim_answers += 1
        if self._interim_answers > _MAX_INTERIM_ANSWERS:
            self._fail('the server sent too many interim answers')

    def _take_head(self, head: h11.Response, listener: AnswerListener) -> None:
        headers = _decode(head)
        other = listener.find_other_request(headers)
        if not (other and self.has_carried(other)):
            listener.take_head(head.status_code, headers)
            return
        self._is_answer_late = True
        self._late_answers += 1
        if self._late_answers > _MAX_LATE_ANSWERS:
            self._fail('the server sent too many late answers')
        elif not _FRAMING_HEADERS.intersection(dict(headers)):
            self._fail('a late answer of the server has no end')

    def _drop_late(self, event: h11.Event) -> None:
        """Drop a part of a late answer to an earlier request."""
        if isinstance(event, h11.Data):
            self._late_bytes += len(event.data)
        if self._late_bytes > _MAX_LATE_BYTES:
            self._fail('the late answers of the server are too long')
        elif isinstance(event, h11.EndOfMessage):
            self._await_next_answer()

    def _await_next_answer(self) -> None:
        """Parse what follows a late answer as the one to the request."""
        rest, is_closed = self._http.trailing_data
        if is_closed:
            self._fail('the server closed the connection with a late answer')
            return
        self._is_answer_late = False
        self._http = _make_parser()
        # A parser takes answers only to requests that it has sent.
        self._http.send(make_head(self._method.decode(), '/', (), b'', '-'))
        self._http.send(h11.EndOfMessage())
        if rest:
            # No bytes would mean the end of the connection.
            self._http.receive_data(rest)

    def _end(self, listener: AnswerListener) -> None:
        self._listener = None
        if not self._start_next_cycle():
            self.close()
        listener.take_end()
        if self.has_late_answers or len(self._carried) >= _MAX_CARRIED:
            self.close()
        elif self.is_usable:
            self._give_back(self)

    def _start_next_cycle(self) -> bool:
        """Prepare for the next request; return False if none is possible."""
        transport = self._transport
        if transport is None or transport.get_write_buffer_size():
            return False
        if self._unsent:
            return False
        if self._unparsed or self._http.trailing_data[0]:
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


class _DrainedAnswer:
    """Drop the rest of an answer; close its connection if it is long."""

    def __init__(self, connection: BackendConnection) -> None:
        self._connection = connection
        self._left = _MAX_DRAINED_BYTES

    def find_other_request(self, _: Headers) -> str:
        """Name no request, as the head has come already."""
        return ''

    def take_head(self, _: int, __: Headers) -> None:
        """Do nothing, as the head has come already."""

    def take_part(self, data: bytes) -> int:
        """Drop a part of the body, up to the limit."""
        self._left -= len(data)
        if self._left < 0:
            self._connection.close()
        return 0

    def take_end(self) -> None:
        """Do nothing, as the connection can be used again."""

    def take_failure(self, _: str) -> None:
        """Do nothing, as the answer is not needed."""


@dataclass(slots=True)
class _IdleConnections:
    """Hold the idle connections to an address, the last used at the end."""

    idle: list[BackendConnection] = field(default_factory=list)


class ConnectionPool:
    """Pool connections to many servers between requests."""

    def __init__(self, connect_limit: Millis) -> None:
        self._connect_limit = connect_limit
        self._addresses: dict[str, _IdleConnections] = {}

    def take_idle(self, address: str, request: str) -> BackendConnection | None:
        """Return an idle connection that is likely usable, None if none is.

        It has not carried a request with this id before.
        """
        pooled = self._addresses.get(address)
        now = asyncio.get_running_loop().time() * SECOND
        carried: list[BackendConnection] = []
        found = None
        while found is None and pooled is not None and pooled.idle:
            connection = pooled.idle.pop()
            if now - connection.idle_since > connection.idle_limit:
                connection.close()
            elif connection.is_usable and connection.has_carried(request):
                carried.append(connection)
            elif connection.is_usable:
                found = connection
        if pooled is not None:
            pooled.idle += reversed(carried)
        return found

    async def open(self, address: str) -> BackendConnection:
        """Open a new connection; raise OSError, also on a timeout."""
        loop = asyncio.get_running_loop()

        def give_back(connection: BackendConnection) -> None:
            connection.idle_since = loop.time() * SECOND
            pooled = self._addresses.setdefault(address, _IdleConnections())
            pooled.idle.append(connection)

        with connecting(), anyio.fail_after(self._connect_limit / SECOND):
            host, port = split_address(address)
            _, connection = await loop.create_connection(
                lambda: BackendConnection(give_back), host, port
            )
        return connection

    async def replace(self, address: str) -> bool:
        """Open an idle connection in place of one that its server closed.

        Returns False if no server listens there any more.
        """
        try:
            connection = await self.open(address)
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        connection.release()
        return True

    async def outlives(self, address: str) -> bool:
        """Open an idle connection; return whether its server goes on listening.

        The listener of a process that dies may accept for a moment after its
        other connections were closed.
        """
        try:
            connection = await self.open(address)
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        try:
            with anyio.move_on_after(_CLOSE_LIMIT / SECOND):
                await connection.wait_lost()
                return not await self.is_refused(address)
        except BaseException:
            connection.close()
            raise
        connection.release()
        return True

    async def is_refused(self, address: str) -> bool:
        """Return whether no server listens at an address.

        A machine that doesn't answer may still run one.
        """
        try:
            connection = await self.open(address)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        connection.close()
        return False

    async def probe(self, address: str) -> Reachability:
        """Open a connection and find out whether it is closed at once."""
        try:
            connection = await self.open(address)
        except ConnectionRefusedError:
            return Reachability.REFUSED
        except OSError:
            return Reachability.UNCLEAR
        with anyio.move_on_after(_CLOSE_LIMIT / SECOND):
            await connection.wait_lost()
            return Reachability.CLOSED
        connection.close()
        return Reachability.UNCLEAR

    def close_expired(self) -> None:
        """Close idle connections that no request would be sent on."""
        now = asyncio.get_running_loop().time() * SECOND
        for pooled in self._addresses.values():
            kept = []
            for connection in pooled.idle:
                if now - connection.idle_since > connection.idle_limit:
                    connection.close()
                elif connection.is_usable:
                    kept.append(connection)
            pooled.idle = kept

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        pooled = self._addresses.pop(address, None)
        for connection in pooled.idle if pooled is not None else ():
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in tuple(self._addresses):
            self.drop_idle(address)


def set_idle_limit(
    connection: BackendConnection, keep_alive: Millis | None
) -> None:
    """Set the idle limit from the server's keep-alive timeout, if known."""
    if keep_alive is not None:
        connection.idle_limit = keep_alive * _IDLE_SHARE


def make_head(
    method: str, target: str, headers: Headers, body: bytes, host: str
) -> h11.Request:
    """Build the head of a request, with the framing headers of its body."""
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
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)


def _decode(head: h11.Response) -> Headers:
    """Return the headers, without the length of a chunked body."""
    headers = tuple(
        (name.decode('latin-1'), content.decode('latin-1'))
        for name, content in head.headers
    )
    if not any(name == 'transfer-encoding' for name, _ in headers):
        return headers
    return tuple(each for each in headers if each[0] != 'content-length')
