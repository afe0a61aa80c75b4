"""Fit the websockets library to the links."""

from __future__ import annotations

import logging
from typing import Any

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.frames import DATA_OPCODES, Frame, Opcode
from websockets.protocol import Event, State

from oleanderdyke.clock import SECOND
from oleanderdyke.links.link import LinkSettings, Offer
from oleanderdyke.links.silence import SilenceWatch

_MAX_QUEUED_FRAMES = 8
_WRITE_LIMIT = 256 * 1024

# The library's own lines are not in the form of the event log.
_LOGGER = logging.getLogger('oleanderdyke.links')
_LOGGER.addHandler(logging.NullHandler())
_LOGGER.propagate = False


class _WatchedConnection(Connection):
    """Report each arrival of bytes, also within a long frame."""

    _watch: SilenceWatch | None = None
    _offer: Offer | None = None

    def watch(self, watch: SilenceWatch) -> None:
        """Report arriving bytes to a watch."""
        self._watch = watch

    def set_offer(self, offer: Offer) -> None:
        """Offer each frame of data before it is queued for `recv`."""
        self._offer = offer

    def is_reading(self) -> bool:
        """Return whether bytes are taken from the socket."""
        return self.transport.is_reading()

    def is_open(self) -> bool:
        """Return whether frames can still be sent."""
        return self.state is State.OPEN

    def is_writable(self) -> bool:
        """Return whether a short frame goes out without waiting."""
        return not (self.paused or self.transport.is_closing())

    def write(self, message: bytes) -> None:
        """Send one binary frame; only while `is_open` and `is_writable`."""
        self.protocol.send_binary(message)
        self.send_data()

    def abort(self) -> None:
        """Drop the connection at once."""
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Take bytes from the socket."""
        if self._watch is not None:
            self._watch.note_heard()
        super().data_received(data)

    def process_event(self, event: Event) -> None:
        """Queue a frame of data unless it is taken at once."""
        offer = self._offer
        if offer is not None and isinstance(event, Frame):
            whole = event.fin and event.opcode is Opcode.BINARY
            if event.opcode in DATA_OPCODES and offer(
                bytes(event.data), whole=whole
            ):
                return
        super().process_event(event)


class ClientSocket(_WatchedConnection, ClientConnection):
    """Be the websocket of a dialer."""


class ServerSocket(_WatchedConnection, ServerConnection):
    """Be the websocket of a listener."""


def socket_options(settings: LinkSettings) -> dict[str, Any]:
    """Return the options of the library that both sides share."""
    return {
        'compression': None,
        'max_size': settings.max_frame,
        'max_queue': _MAX_QUEUED_FRAMES,
        'write_limit': _WRITE_LIMIT,
        'ping_interval': None,
        'ping_timeout': None,
        'open_timeout': settings.dial_timeout / SECOND,
        'close_timeout': settings.close_timeout / SECOND,
        'logger': _LOGGER,
    }
