"""Carry messages over one websocket and notice a silent peer."""

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
from oleanderdyke.links.silence import SilenceWatch

_DATA = frozenset({AnswerChunk, BodyChunk, SegmentPart})
_OWN = frozenset({Ping, Pong})
_MAX_REFUSALS = 100
_SILENT = 'the peer is silent'


class LinkClosed(OleanderError):
    """A link carries no more messages."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.BACKEND_LOST, message)


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Bound silence, frames and waiting on a link."""

    ping_interval: Millis = SECOND
    missed_pings: int = 3
    max_frame: int = 1024 * 1024
    send_timeout: Millis = 10 * SECOND
    dial_timeout: Millis = 3 * SECOND
    close_timeout: Millis = SECOND


@dataclass(slots=True)
class LinkCounters:
    """Count the bytes of encoded messages on a link."""

    control_in: int = 0
    control_out: int = 0
    data_in: int = 0
    data_out: int = 0

    def note_in(self, message: Message, length: int) -> None:
        """Count a received message."""
        if type(message) in _DATA:
            self.data_in += length
        else:
            self.control_in += length

    def note_out(self, message: Message, length: int) -> None:
        """Count a sent message."""
        if type(message) in _DATA:
            self.data_out += length
        else:
            self.control_out += length


class Offer(Protocol):
    """Offer a frame; tell whether it was taken."""

    def __call__(self, data: bytes, *, whole: bool) -> bool:
        """Take a binary message that is `whole`, or leave it to `recv`."""


class Socket(Protocol):
    """Stand for the websocket below a link."""

    def watch(self, watch: SilenceWatch) -> None:
        """Report arriving bytes to a watch."""

    def set_offer(self, offer: Offer) -> None:
        """Offer each frame of data before it is queued for `recv`."""

    def is_reading(self) -> bool:
        """Return whether bytes are taken from the socket."""

    def is_open(self) -> bool:
        """Return whether frames can still be sent."""

    def is_writable(self) -> bool:
        """Return whether a short frame goes out without waiting."""

    def write(self, message: bytes) -> None:
        """Send one binary frame; only while `is_open` and `is_writable`."""

    def abort(self) -> None:
        """Drop the connection at once."""

    def send(self, message: bytes) -> Awaitable[None]:
        """Send one binary frame."""

    def recv(self) -> Awaitable[bytes | str]:
        """Return the next frame."""

    def close(self) -> Awaitable[None]:
        """Close with a handshake, bounded in time."""


class Link:
    """Send and receive messages to and from one peer.

    `receive` has one reader; `send` may have many.
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
        self._socket = socket
        self._settings = settings
        self._clock = clock
        self._reason = ''
        self._sent = False
        self._sending = 0
        self._progress = clock.now()
        self._refusals = 0
        self._take: Callable[[Message], None] | None = None
        self._waits = False
        self._fault: Exception | None = None
        self._watch = SilenceWatch(
            interval=settings.ping_interval,
            allowed=settings.missed_pings,
            now=clock.now(),
        )
        socket.watch(self._watch)
        # The link outlives the call that dialed, so no task group fits.
        self._keeper = asyncio.create_task(self._keep_alive())

    @property
    def closed(self) -> bool:
        """Return whether the link carries no more messages."""
        return bool(self._reason) or not self._socket.is_open()

    @property
    def fell_silent(self) -> bool:
        """Return whether this side closed it since nothing was heard."""
        return self._reason == _SILENT

    async def send(self, message: Message) -> None:
        """Send, waiting while the peer reads slowly; raise LinkClosed."""
        data = self._encode(message)
        self._check_open()
        if not self._sending:
            self._progress = self._clock.now()
        self._sending += 1
        try:
            await self._socket.send(data)
        except ConnectionClosed as error:
            raise self._lose('connection lost') from error
        finally:
            self._sending -= 1
            self._progress = self._clock.now()
        self._sent = True
        self.counters.note_out(message, len(data))

    def write(self, message: Message) -> bool:
        """Send without a wait; False where only `send` can do it."""
        if self.closed or not self._socket.is_writable():
            return False
        data = self._encode(message)
        self._socket.write(data)
        self._sent = True
        self.counters.note_out(message, len(data))
        return True

    def handle_inline(self, take: Callable[[Message], None]) -> None:
        """Give messages to `take` as they arrive, sparing `receive` a turn.

        Only while `receive` waits, so that the order stays. `receive` returns
        the others and raises what `take` raises.
        """
        self._take = take
        self._socket.set_offer(self._offer)

    async def receive(self) -> Message:
        """Return the next message; raise LinkClosed."""
        while True:
            message = await self._receive_one()
            if isinstance(message, Ping):
                await self._answer(Pong(message.nonce))
            elif message is not None and not isinstance(message, Pong):
                return message

    async def close(self) -> None:
        """Close the link; safe to repeat."""
        if self._reason:
            return
        self._reason = 'closed here'
        self._keeper.cancel()
        with anyio.move_on_after(self._settings.close_timeout / SECOND):
            await self._socket.close()
        self._socket.abort()

    def _encode(self, message: Message) -> bytes:
        data = encode(message)
        if len(data) > self._settings.max_frame:
            raise OleanderError(ErrorKind.PROTOCOL, 'message is too large')
        return data

    def _check_open(self) -> None:
        if self._reason:
            raise LinkClosed(self._reason)

    def _lose(self, reason: str) -> LinkClosed:
        if not self._reason:
            self._reason = reason
            self._keeper.cancel()
            self._socket.abort()
        return LinkClosed(self._reason)

    async def _receive_one(self) -> Message | None:
        self._check_open()
        self._waits = True
        try:
            data = await self._socket.recv()
        except ConnectionClosed as error:
            raise self._lose('connection lost') from error
        finally:
            self._waits = False
        if self._fault is not None:
            raise self._fault
        if isinstance(data, str):
            raise self._lose('the peer sent text')
        return await self._decode(data)

    def _offer(self, data: bytes, *, whole: bool) -> bool:
        # A frame that is not taken wakes the reader, who then comes first.
        self._waits = self._waits and whole and self._pass(data)
        return self._waits

    def _pass(self, data: bytes) -> bool:
        try:
            message = decode(data)
        except OleanderError:
            return False
        if type(message) in _OWN or self._take is None:
            return False
        self._refusals = 0
        self.counters.note_in(message, len(data))
        try:
            self._take(message)
        except Exception as error:  # raised again where messages are read
            self._fault = error
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
        self.counters.note_in(message, len(data))
        return message

    async def _refuse(self, error: OleanderError) -> None:
        # Two peers that don't understand each other's refusals must end.
        self._refusals += 1
        if self._refusals > _MAX_REFUSALS:
            raise self._lose('the peer sent too much that is not understood')
        await self._answer(Refused(error.kind, error.message))

    async def _answer(self, message: Message) -> None:
        # Never wait here: a reader that waits for the writer can deadlock,
        # and a keeper that waits no longer notices silence.
        if self._socket.is_writable():
            with anyio.move_on_after(0):
                await self.send(message)

    async def _keep_alive(self) -> None:
        nonce = 0
        with contextlib.suppress(LinkClosed):
            while True:
                await anyio.sleep(self._settings.ping_interval / SECOND)
                self._check_silence()
                if self._watch.quiet or not self._sent:
                    nonce += 1
                    await self._answer(Ping(nonce))
                # A ping does not spare the next one; the peer may not answer.
                self._sent = False

    def _check_silence(self) -> None:
        now = self._clock.now()
        if self._watch.is_late(now):
            self._progress = now
        if self._watch.tick(now, reading=self._socket.is_reading()):
            raise self._lose(_SILENT)
        waited = now - self._progress
        if self._sending and waited > self._settings.send_timeout:
            raise self._lose('the peer takes no bytes')
