"""Websocket connections of the `websockets` library, adapted to links."""

from __future__ import annotations

import logging
from typing import Any

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.frames import DATA_OPCODES, Frame, Opcode
from websockets.protocol import Event, State

from oleanderdyke.clock import SECOND
from oleanderdyke.links.keepalive import KeepaliveMonitor
from oleanderdyke.links.link import FrameHandler, LinkSettings

_MAX_QUEUED_FRAMES = 8
_WRITE_LIMIT = 256 * 1024

# The library's log lines do not have the format of the event log.
_LOGGER = logging.getLogger('oleanderdyke.links')
_LOGGER.addHandler(logging.NullHandler())
_LOGGER.propagate = False


class _MonitoredConnection(Connection):
    """Connection that reports each arrival of bytes, even within a frame."""

    _monitor: KeepaliveMonitor | None = None
    _frame_handler: FrameHandler | None = None

    def set_monitor(self, monitor: KeepaliveMonitor) -> None:
        """Report each arrival of bytes to the monitor."""
        self._monitor = monitor

    def set_frame_handler(self, handler: FrameHandler) -> None:
        """Pass each data frame to the handler before it is queued."""
        self._frame_handler = handler

    def is_reading(self) -> bool:
        """Return whether the transport currently reads from the socket."""
        return self.transport.is_reading()

    def is_open(self) -> bool:
        """Return whether frames can still be sent."""
        return self.state is State.OPEN

    def is_writable(self) -> bool:
        """Return whether a short frame can be sent without blocking."""
        return not (self.paused or self.transport.is_closing())

    def write(self, message: bytes) -> None:
        """Send one binary frame; only while `is_open` and `is_writable`."""
        self.protocol.send_binary(message)
        self.send_data()

    def abort(self) -> None:
        """Close the connection immediately, without a closing handshake."""
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Report the arrival to the monitor and parse the bytes."""
        if self._monitor is not None:
            self._monitor.record_activity()
        super().data_received(data)

    def process_event(self, event: Event) -> None:
        """Queue a data frame unless the frame handler consumes it."""
        handler = self._frame_handler
        if handler is not None and isinstance(event, Frame):
            whole = event.fin and event.opcode is Opcode.BINARY
            if event.opcode in DATA_OPCODES and handler(
                bytes(event.data), whole=whole
            ):
                return
        super().process_event(event)


class ClientSocket(_MonitoredConnection, ClientConnection):
    """Websocket of an outgoing link."""


class ServerSocket(_MonitoredConnection, ServerConnection):
    """Websocket of an incoming link."""


def socket_options(settings: LinkSettings) -> dict[str, Any]:
    """Return the library options that both sides use."""
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
