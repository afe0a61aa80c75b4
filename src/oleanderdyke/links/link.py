"""Links: messages over one websocket, with keepalive pings."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import anyio
from websockets.exceptions import ConnectionClosed

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.links.codec import decode, encode
from oleanderdyke.links.dating import PeerClock
from oleanderdyke.links.keepalive import KeepaliveMonitor
from oleanderdyke.links.messages import (
    AnswerChunk,
    BodyChunk,
    Hello,
    Message,
    Ping,
    Pong,
    Refused,
)
from oleanderdyke.links.messages.segments import SegmentPart
from oleanderdyke.links.newcomers import MAX_NEWCOMERS

_DATA_TYPES = frozenset({AnswerChunk, BodyChunk, SegmentPart})
_KEEPALIVE_TYPES = frozenset({Ping, Pong})
_MAX_REFUSALS = 100
_SILENT_REASON = 'the peer is silent'


class LinkClosed(OleanderError):
    """Raised when a message is sent or received on a closed link."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.BACKEND_LOST, message)


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Limits of a link: keepalive, frame size in bytes and timeouts.

    `newcomers` bounds the accepted connections without a hello.
    """

    ping_interval: Millis = SECOND
    missed_pings: int = 3
    max_frame: int = 1024 * 1024
    send_timeout: Millis = 10 * SECOND
    dial_timeout: Millis = 3 * SECOND
    close_timeout: Millis = SECOND
    newcomers: int = MAX_NEWCOMERS


@dataclass(slots=True)
class LinkCounters:
    """Count the bytes of encoded messages on a link."""

    control_in: int = 0
    control_out: int = 0
    data_in: int = 0
    data_out: int = 0
    # The length of the message that was received last.
    last_in: int = 0

    def count_received(self, message: Message, length: int) -> None:
        """Count a received message."""
        self.last_in = length
        if type(message) in _DATA_TYPES:
            self.data_in += length
        else:
            self.control_in += length

    def count_sent(self, message: Message, length: int) -> None:
        """Count a sent message."""
        if type(message) in _DATA_TYPES:
            self.data_out += length
        else:
            self.control_out += length


class FrameHandler(Protocol):
    """Handle a data frame before it is queued for `recv`."""

    def __call__(self, data: bytes, *, whole: bool) -> bool:
        """Return whether the frame was consumed; if not, `recv` returns it.

        `whole` tells that the frame holds a complete binary message.
        """


class Socket(Protocol):
    """The websocket that a link is built on."""

    def set_monitor(self, monitor: KeepaliveMonitor) -> None:
        """Report each arrival of bytes to the monitor."""

    def set_frame_handler(self, handler: FrameHandler) -> None:
        """Pass each data frame to the handler before it is queued."""

    def is_reading(self) -> bool:
        """Return whether the transport currently reads from the socket."""

    def is_open(self) -> bool:
        """Return whether frames can still be sent."""

    def is_writable(self) -> bool:
        """Return whether a short frame can be sent without blocking."""

    def write(self, message: bytes) -> None:
        """Send one binary frame; only while `is_open` and `is_writable`."""

    def abort(self) -> None:
        """Close the connection immediately, without a closing handshake."""

    def send(self, message: bytes) -> Awaitable[None]:
        """Send one binary frame."""

    def recv(self) -> Awaitable[bytes | str]:
        """Return the next frame."""

    def close(self) -> Awaitable[None]:
        """Close with a closing handshake, within the close timeout."""


class Link:
    """Send messages to one peer and receive its messages.

    One task at a time may call `receive`; any number may call `send`.
    """

    def __init__(
        self,
        socket: Socket,
        *,
        address: str,
        peer: Hello,
        settings: LinkSettings,
        clock: Clock,
    ) -> None:
        self.peer = peer
        self.address = address
        self.counters = LinkCounters()
        self.peer_clock = PeerClock()
        self._nonce = 0
        self._pinged_at = clock.now()
        self._socket = socket
        self._settings = settings
        self._clock = clock
        self._reason = ''
        self._has_sent = False
        self._sending = 0
        self._progress_at = clock.now()
        self._refusals = 0
        self._handler: Callable[[Message], None] | None = None
        self._is_receiving = False
        self._handler_error: Exception | None = None
        self._monitor = KeepaliveMonitor(
            interval=settings.ping_interval,
            allowed=settings.missed_pings,
            now=clock.now(),
        )
        socket.set_monitor(self._monitor)
        # The link outlives the call that opened it, so this task can't belong
        # to a task group of that call.
        self._keepalive_task = asyncio.create_task(self._keep_alive())

    @property
    def closed(self) -> bool:
        """Return whether the link can no longer send or receive."""
        return bool(self._reason) or not self._socket.is_open()

    @property
    def keepalive_expired(self) -> bool:
        """Return whether this side closed the link to a silent peer."""
        return self._reason == _SILENT_REASON

    async def send(self, message: Message) -> None:
        """Send a message, waiting while the send buffer is full.

        Raises LinkClosed.
        """
        data = self._encode(message)
        self._check_open()
        if not self._sending:
            self._progress_at = self._clock.now()
        self._sending += 1
        try:
            await self._socket.send(data)
        except ConnectionClosed as error:
            raise self._abort('connection lost') from error
        finally:
            self._sending -= 1
            self._progress_at = self._clock.now()
        self._has_sent = True
        self.counters.count_sent(message, len(data))

    def write(self, message: Message) -> bool:
        """Send without blocking; return False if the send buffer is full."""
        if self.closed or not self._socket.is_writable():
            return False
        return self.write_encoded(message, self._encode(message))

    def write_encoded(self, message: Message, data: bytes) -> bool:
        """Send like `write` a message that was encoded before."""
        if self.closed or not self._socket.is_writable():
            return False
        self._socket.write(data)
        self._has_sent = True
        self.counters.count_sent(message, len(data))
        return True

    def handle_inline(self, handler: Callable[[Message], None]) -> None:
        """Call `handler` with messages while their bytes are being read.

        This saves a turn of the event loop per message. To keep the order, it
        applies only while a call of `receive` is waiting; `receive` returns all
        other messages, and raises the exceptions of the handler.
        """
        self._handler = handler
        self._socket.set_frame_handler(self._handle_frame)

    def ask_time(self, now: Millis) -> None:
        """Ask the peer for its clock if that is due, without blocking."""
        if not self.peer_clock.is_due(now) or self.closed:
            return
        if self._socket.is_writable():
            self.peer_clock.record_asked(now)
            self._socket.write(encode(self._make_ping()))

    async def receive(self) -> Message:
        """Return the next message other than pings; raise LinkClosed."""
        while True:
            message = await self._receive_one()
            if isinstance(message, Ping):
                await self._try_send(Pong(message.nonce, self._clock.now()))
            elif isinstance(message, Pong):
                self._record_pong(message)
            elif message is not None:
                return message

    async def close(self) -> None:
        """Close the link; does nothing if it is closed already."""
        if self._reason:
            return
        self._reason = 'closed by this process'
        self._keepalive_task.cancel()
        with anyio.move_on_after(self._settings.close_timeout / SECOND):
            await self._socket.close()
        self._socket.abort()

    def _make_ping(self) -> Ping:
        self._nonce += 1
        self._pinged_at = self._clock.now()
        return Ping(self._nonce)

    def _record_pong(self, pong: Pong) -> None:
        if pong.nonce == self._nonce:
            now = self._clock.now()
            self.peer_clock.record_echo(self._pinged_at, pong.clock, now)

    def _encode(self, message: Message) -> bytes:
        data = encode(message)
        if len(data) > self._settings.max_frame:
            raise OleanderError(
                ErrorKind.PROTOCOL,
                f'a message of {len(data)} bytes is too large; '
                f'allowed: {self._settings.max_frame}',
            )
        return data

    def _check_open(self) -> None:
        if self._reason:
            raise LinkClosed(self._reason)

    def _abort(self, reason: str) -> LinkClosed:
        if not self._reason:
            self._reason = reason
            self._keepalive_task.cancel()
            self._socket.abort()
        return LinkClosed(self._reason)

    async def _receive_one(self) -> Message | None:
        self._check_open()
        self._is_receiving = True
        try:
            data = await self._socket.recv()
        except ConnectionClosed as error:
            raise self._abort('connection lost') from error
        finally:
            self._is_receiving = False
        if self._handler_error is not None:
            raise self._handler_error
        if isinstance(data, str):
            raise self._abort('the peer sent a text frame; allowed: binary')
        return await self._decode(data)

    def _handle_frame(self, data: bytes, *, whole: bool) -> bool:
        # A frame that is not consumed wakes the waiting `receive`. Later frames
        # must queue behind it to keep the order.
        self._is_receiving = (
            self._is_receiving and whole and self._handle_message(data)
        )
        return self._is_receiving

    def _handle_message(self, data: bytes) -> bool:
        try:
            message = decode(data)
        except OleanderError:
            return False
        if type(message) in _KEEPALIVE_TYPES or self._handler is None:
            return False
        self._refusals = 0
        self.counters.count_received(message, len(data))
        try:
            self._handler(message)
        except Exception as error:  # raised again in `receive`
            self._handler_error = error
            return False
        return True

    async def _decode(self, data: bytes) -> Message | None:
        try:
            message = decode(data)
        except OleanderError as error:
            self.counters.control_in += len(data)
            await self._refuse(error)
            return None
        self._refusals = 0
        self.counters.count_received(message, len(data))
        return message

    async def _refuse(self, error: OleanderError) -> None:
        # Two peers that refuse each other's `Refused` messages would otherwise
        # exchange them forever.
        self._refusals += 1
        if self._refusals > _MAX_REFUSALS:
            raise self._abort(
                f'the peer sent more than {_MAX_REFUSALS} '
                'invalid messages in a row'
            )
        await self._try_send(Refused(error.kind, error.message))

    async def _try_send(self, message: Message) -> None:
        # Must not block: a reader that waits for the send buffer can deadlock,
        # and the keepalive task would no longer check for silence.
        if self._socket.is_writable():
            with anyio.move_on_after(0):
                await self.send(message)

    async def _keep_alive(self) -> None:
        with contextlib.suppress(LinkClosed):
            while True:
                await anyio.sleep(self._settings.ping_interval / SECOND)
                self._check_silence()
                if self._monitor.is_idle or not self._has_sent:
                    await self._try_send(self._make_ping())
                # A ping does not count as sent, as the peer may not answer it.
                self._has_sent = False

    def _check_silence(self) -> None:
        now = self._clock.now()
        if self._monitor.is_late(now):
            self._progress_at = now
        if self._monitor.tick(now, reading=self._socket.is_reading()):
            raise self._abort(_SILENT_REASON)
        waited = now - self._progress_at
        if self._sending and waited > self._settings.send_timeout:
            raise self._abort(
                f'the peer takes no bytes: no progress for {waited:.0f} ms'
            )
