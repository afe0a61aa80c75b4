"""Websocket connections of the `websockets` library, adapted to links."""

from __future__ import annotations

import asyncio
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
from oleanderdyke.links.newcomers import Newcomers

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
    """Websocket of an incoming link, a newcomer until its peer is known."""

    def __init__(
        self, newcomers: Newcomers, *arguments: Any, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self._newcomers = newcomers

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, in place of the oldest newcomer if need be."""
        super().connection_made(transport)
        self._newcomers.add(self)

    def data_received(self, data: bytes) -> None:
        """Count what a newcomer sends."""
        self._newcomers.receive(self, len(data))
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the newcomer, and free what its parser holds."""
        self._newcomers.remove(self)
        super().connection_lost(exc)
        _clear_traceback(self.protocol.parser_exc)
        _clear_traceback(self.protocol.handshake_exc)


def _clear_traceback(error: BaseException | None) -> None:
    """Free what the frames of an error hold without a full collection."""
    while error is not None:
        error.__traceback__ = None
        error = error.__cause__ or error.__context__


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
