"""Run uvicorn on the event loop of the entry, with typed errors."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import logging
import math
import select
import socket
import sys
from collections.abc import Generator
from typing import Any, cast

import h11
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from oleanderdyke.clients.direct import RESET
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.answers import (
    CONNECTION_EXTENSION,
    REQUEST_HEADER,
    WRITER_EXTENSION,
    encode_error,
    make_error_headers,
)
from oleanderdyke.entry.edge import BodyParts, Event, make_request_id
from oleanderdyke.entry.http_settings import HttpSettings
from oleanderdyke.entry.intake import READ_EVENTS, Intake, TurnParser
from oleanderdyke.errors import ErrorKind, OleanderError

_HEADERS_TOO_LARGE_STATUS = 431
_REASONS = {400: b'Bad Request', 431: b'Request Header Fields Too Large'}
_UNREAD_LIMIT_BYTES = 1024 * 1024
_OPEN_STATES = (h11.IDLE, h11.SEND_RESPONSE)
_LOGGER = 'uvicorn.error'
_CHUNKED_VERSION = b'1.1'
_BACKLOG = 2048
# Connections accepted in one turn of the event loop, before any of them counts
# toward the limit.
_ACCEPTED_AT_ONCE = 64
# Bounds what one read takes, and what the operating system holds unread.
_READ_BYTES = 64 * 1024
# What a request takes beside its bytes, and a connection that isn't read.
_REQUEST_COST_BYTES = 16 * 1024
_UNREAD_COST_BYTES = 2 * _READ_BYTES
# Bounds of what is read and dropped behind a refusal, so that a caller that
# still sends isn't reset before it has read the refusal.
_LINGER_SECONDS = 2.0
_LINGER_BYTES = 8 * 1024 * 1024
# How long to let the event loop read what has arrived, or send what is left.
_TURN_SECONDS = 0.05


class _CycleTransport:
    """The transport of a connection as one request's answer uses it."""

    def __init__(self, protocol: EdgeProtocol) -> None:
        self._protocol = protocol

    def write(self, data: bytes) -> None:
        """Write bytes of the answer."""
        self._protocol.transport.write(data)

    def is_closing(self) -> bool:
        """Return whether no more can be written."""
        return self._protocol.is_ending

    def close(self) -> None:
        """Close the connection once the caller can have read the answer."""
        self._protocol.close_behind_answer()


class EdgeProtocol(H11Protocol):
    """Limit the time for a request head and answer bad HTTP in JSON."""

    head_timeout = 10.0
    send_timeout = 30.0
    intake: Intake
    conn: TurnParser
    _unread_bytes = 0
    # Bytes received since the latest request began, or since the last one.
    _received = 0
    # The part of the body that was handed over, as long as the request runs.
    _stored: bytes | BodyParts = b''
    _refusal: OleanderError | None = None
    _lingers = False
    _stall_timer: asyncio.TimerHandle | None = None
    _head_timer: asyncio.TimerHandle | None = None

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        limit = self.config.h11_max_incomplete_event_size
        self.conn = TurnParser(h11.SERVER, limit or 0)
        self.app = functools.partial(self._serve, self.app)

    async def _serve(
        self, app: Any, scope: Any, receive: Any, send: Any
    ) -> None:
        """Call the application with this protocol as its extensions."""
        scope['extensions'] = {
            CONNECTION_EXTENSION: self,
            WRITER_EXTENSION: self,
        }
        cycle = self.cycle
        cycle.transport = cast('asyncio.Transport', _CycleTransport(self))

        async def receive_accepted() -> Event:
            event: Event = await receive()
            if self._refusal is not None and self.cycle is cycle:
                raise self._refusal
            return event

        try:
            await app(scope, receive_accepted, send)
        finally:
            # The next request may have begun already.
            if self.cycle is cycle:
                self._forget_request()
            if self._is_read_to_the_end():
                self._reset()

    @property
    def is_ending(self) -> bool:
        """Return whether nothing more can be written."""
        return self._lingers or bool(self.transport.is_closing())

    @property
    def has_arrived(self) -> bool:
        """Return whether a part of the body, or its end, can be received."""
        return self.cycle is not None and self.cycle.message_event.is_set()

    @property
    def is_whole(self) -> bool:
        """Return whether the whole request has arrived."""
        return self.cycle is not None and not self.cycle.more_body

    def store(self, part: bytes | BodyParts) -> None:
        """Count what was received of a body until its request has ended."""
        self._stored = part

    def find_idle_time(self) -> Millis:
        """Return for how long an arriving request has made no progress."""
        return self.intake.find_idle_time(self)

    def refuse_rest(self, error: OleanderError) -> None:
        """End an arriving request, and release what was received of it."""
        self.intake.forget(self)
        cycle = self.cycle
        if cycle is None or cycle.response_started:
            self.abort()
            return
        if isinstance(self._stored, BodyParts):
            self._stored.clear()
        cycle.body = bytearray()
        self._refusal = error
        cycle.message_event.set()

    def parse_rest(self, events: int) -> bool:
        """Parse some more events; return whether a rest is left."""
        if self.is_ending:
            return False
        self.conn.allow(events)
        super().handle_events()
        self._count_held()
        if not self.conn.is_behind and not self.flow.read_paused:
            self.transport.resume_reading()
        return self.conn.is_behind

    def displace(self) -> bool:
        """Close if no request has arrived; return whether it closes."""
        if not self._is_between_requests() or self._has_arrived():
            return False
        self.transport.close()
        return True

    def abort(self) -> None:
        """Close at once."""
        self.transport.abort()

    def handle_events(self) -> None:
        """Parse what was received; leave long rests for later turns."""
        self.conn.allow(READ_EVENTS)
        super().handle_events()
        if not self._is_between_requests():
            self.intake.remove_idle(self)
        if self.conn.is_behind:
            self._leave_rest()
        self._count_held()

    def on_response_complete(self) -> None:
        """Let the connection be idle, unless another request was read."""
        if not self.is_ending:
            self.intake.add_idle(self)
        super().on_response_complete()

    def close_behind_answer(self) -> None:
        """Close, but read on for a while if the request isn't whole."""
        if self.conn.their_state is h11.SEND_BODY:
            self._linger()
        else:
            self.transport.close()

    def _leave_rest(self) -> None:
        """Parse the rest later, unless its request has its answer already."""
        if self.conn.our_state is h11.DONE:
            self._linger()
            return
        self.transport.pause_reading()
        self.intake.turns.add(self)

    def _linger(self) -> None:
        """Read and drop what arrives until the caller closes, for a while."""
        if self.is_ending or not self.transport.can_write_eof():
            self.transport.close()
            return
        self._lingers = True
        self.intake.remove(self)
        self._received = 0
        self.transport.write_eof()
        self.transport.resume_reading()
        self.loop.call_later(_LINGER_SECONDS, self.transport.abort)

    def has_next(self) -> bool:
        """Return whether bytes were read behind the running request."""
        return self.conn.their_state is h11.DONE and bool(
            self.conn.trailing_data[0]
        )

    async def flush(self) -> None:
        """Wait until all that was written was passed to the system."""
        while self.transport.get_write_buffer_size():
            await asyncio.sleep(_TURN_SECONDS)

    def is_ready(self) -> bool:
        """Return whether `write_part` can be called now."""
        return (
            self.conn.our_state is h11.SEND_BODY
            and self.conn.their_http_version == _CHUNKED_VERSION
            and self.scope['method'] != 'HEAD'
            and not self.flow.write_paused
            and not self.transport.is_closing()
        )

    def write_part(self, part: bytes) -> None:
        """Write a part of a body as one chunk of a chunked transfer."""
        self.transport.write(b'%x\r\n%b\r\n' % (len(part), part))

    def connection_made(self, transport: Any) -> None:
        """Accept a connection, in place of an idle one above the limit."""
        super().connection_made(transport)
        transport.max_size = _READ_BYTES
        self.intake.add(self)
        if len(self.connections) > self.intake.connection_limit:
            self.intake.displace_for(self)
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers of the connection."""
        self._stop_timer()
        self._stop_stall_timer()
        self.intake.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Limit the time of a request head, starting with its first byte.

        Bytes behind a request that closes the connection are dropped.
        """
        self._received += len(data)
        if self._lingers:
            self._limit_lingering()
            return
        if self.conn.their_state is h11.MUST_CLOSE:
            return
        if self._is_between_requests() and self._head_timer is None:
            self._start_timer()
        self._limit_unread(len(data))
        if self.conn.is_behind:
            self.conn.receive_data(data)
            self.transport.pause_reading()
            self._count_held()
        else:
            super().data_received(data)
        if not self._is_between_requests():
            self._stop_timer()

    def pause_writing(self) -> None:
        """Abort the connection if the caller does not read in time."""
        super().pause_writing()
        self._stall_timer = self.loop.call_later(
            self.send_timeout, self._abort_stalled
        )

    def resume_writing(self) -> None:
        """Cancel the timer of a caller that reads again."""
        self._stop_stall_timer()
        super().resume_writing()

    def shutdown(self) -> None:
        """Close the connection, unless a request has arrived on it.

        Such a request is refused, which closes the connection.
        """
        between = self._is_between_requests()
        if self._lingers or (
            self._has_arrived() if between else self.has_next()
        ):
            return
        super().shutdown()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection on which no request has arrived."""
        if self._has_arrived():
            self.timeout_keep_alive_task = self.loop.call_later(
                _TURN_SECONDS, self.timeout_keep_alive_handler
            )
            return
        super().timeout_keep_alive_handler()

    def send_400_response(self, msg: str) -> None:
        """Answer malformed HTTP; `msg` is a fixed text of uvicorn."""
        fault = sys.exc_info()[1]
        hint = getattr(fault, 'error_status_hint', 0)
        kind = (
            ErrorKind.HEADERS_TOO_LARGE
            if hint == _HEADERS_TOO_LARGE_STATUS
            else ErrorKind.BAD_REQUEST
        )
        self._abandon_request()
        if self.conn.our_state in _OPEN_STATES:
            self._write_error(OleanderError(kind, msg.rstrip('.')))
        self._linger()

    def _abort_stalled(self) -> None:
        if self._is_read_to_the_end():
            self._reset()
        else:
            self.transport.abort()

    def _is_read_to_the_end(self) -> bool:
        """Return whether the caller would take a close for the answer's end.

        An answer to HTTP/1.0 has no chunks, and usually no length.
        """
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        return (
            cycle.response_started
            and self.conn.their_http_version != _CHUNKED_VERSION
        )

    def _reset(self) -> None:
        """Close with a TCP reset, which says that the answer isn't whole."""
        bound = self.transport.get_extra_info('socket')
        if bound is not None and not self.transport.is_closing():
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.transport.abort()

    def _limit_unread(self, length: int) -> None:
        """Abort a connection that keeps sending the body of a finished call."""
        if self.conn.our_state is not h11.DONE:
            self._unread_bytes = 0
            return
        self._unread_bytes += length
        if self._unread_bytes > _UNREAD_LIMIT_BYTES:
            self.transport.abort()

    def _limit_lingering(self) -> None:
        if self._received > _LINGER_BYTES:
            self.transport.abort()

    def _forget_request(self) -> None:
        self._received = 0
        self._stored = b''
        self._refusal = None
        self.intake.forget(self)

    def _count_held(self) -> None:
        """Report what the request holds, until it is refused or has ended."""
        if self._refusal is not None or self.is_ending:
            return
        is_behind = self.conn.is_behind or self.flow.read_paused
        held = _UNREAD_COST_BYTES if is_behind else 0
        if self._is_between_requests():
            held += len(self.conn.trailing_data[0])
            self.intake.hold(self, held, self._received)
            return
        held += _REQUEST_COST_BYTES + len(self._stored) + len(self.cycle.body)
        if self.cycle.more_body:
            self.intake.hold(self, held, self._received)
        elif not self.intake.finish(self, held) and self.has_arrived:
            self.intake.refuse(self)

    def _write_error(self, error: OleanderError) -> None:
        request = make_request_id()
        body = encode_error(error, request)
        headers = [
            *make_error_headers(error),
            (REQUEST_HEADER, request),
            ('content-length', str(len(body))),
            ('connection', 'close'),
        ]
        response = h11.Response(
            status_code=error.status,
            headers=headers,
            reason=_REASONS[error.status],
        )
        for event in (response, h11.Data(data=body), h11.EndOfMessage()):
            self.transport.write(self.conn.send(event) or b'')

    def _abandon_request(self) -> None:
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.disconnected = True
            self.cycle.message_event.set()

    def _is_between_requests(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def _has_arrived(self) -> bool:
        """Return whether bytes of the caller, or their end, wait to be read.

        Timers of a process that was suspended, or whose event loop is late, may
        run before that.
        """
        bound = self.transport.get_extra_info('socket')
        if bound is None or self.transport.is_closing():
            return False
        readable = select.poll()
        readable.register(bound.fileno(), select.POLLIN)
        return bool(readable.poll(0))

    def _start_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            self.head_timeout, self._close_late
        )

    def _close_late(self) -> None:
        """Close the connection; wait once for the rest if it has arrived."""
        if self._has_arrived():
            self._head_timer = self.loop.call_later(
                _TURN_SECONDS, self.transport.close
            )
            return
        self.transport.close()

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class EdgeServer(uvicorn.Server):
    """Run without signal handlers; the entry handles signals itself."""

    closed = False

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen with a queue longer than what is accepted at once."""
        await super().startup(sockets)
        for listener in sockets or ():
            listener.listen(_BACKLOG)

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Override the signal handlers of uvicorn with none."""
        yield

    def set_idle_timeout(self, timeout: Millis) -> None:
        """Set how long idle connections are kept open, also existing ones."""
        seconds = math.ceil(timeout / SECOND)
        if seconds == self.config.timeout_keep_alive:
            return
        self.config.timeout_keep_alive = seconds
        for connection in self.server_state.connections:
            connection.timeout_keep_alive = seconds  # type: ignore[union-attr]

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        """Serve until `should_exit` is set, then set `closed`."""
        try:
            await super().serve(sockets)
        finally:
            self.closed = True


def open_listener(host: str, port: int) -> socket.socket:
    """Open a listening socket.

    The protocol is given explicitly because asyncio sets TCP_NODELAY only on
    sockets created with IPPROTO_TCP.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Connections inherit it.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _READ_BYTES)
        listener.bind((host, port))
        listener.listen(_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def make_server(app: Any, settings: HttpSettings) -> EdgeServer:
    """Build the HTTP server of an ASGI application."""
    logging.getLogger(_LOGGER).disabled = True
    limits = {
        'intake': Intake(settings.connections, settings.held_bytes),
        'head_timeout': settings.body_timeout / SECOND,
        'send_timeout': settings.send_timeout / SECOND,
    }
    config = uvicorn.Config(
        app,
        host=settings.host,
        port=settings.port,
        http=type('BoundProtocol', (EdgeProtocol,), limits),
        ws='none',
        loop='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        interface='asgi3',
        h11_max_incomplete_event_size=settings.header_limit,
        backlog=_ACCEPTED_AT_ONCE,
        timeout_keep_alive=math.ceil(settings.keep_alive / SECOND),
        timeout_graceful_shutdown=1,
        ssl_certfile=settings.certificate or None,
        ssl_keyfile=settings.key or None,
    )
    return EdgeServer(config)
