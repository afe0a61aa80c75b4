"""HTTP server for metrics collectors such as Prometheus."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

import anyio
import h11
from anyio.abc import SocketListener, SocketStream

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.metrics import RENDERED_TYPE, Metrics

# The deploy file sets the same values for each role, and the platform collects
# the metrics from there.
METRICS_PORT = 7590
METRICS_PATH = '/metrics'
_OK = 200
_NOT_FOUND = 404
_BACKLOG = 8
# Enough for a collector that requests every five seconds, a second collector
# and manual requests.
_MAX_CONNECTIONS = 4
# A connection whose request is not answered within this time is closed.
_REQUEST_TIMEOUT: Millis = 2 * SECOND
_MAX_HEAD_BYTES = 8 * 1024
_CHUNK_BYTES = 4 * 1024


class MetricsServer:
    """HTTP server that answers one request per connection with the metrics.

    `refresh` is called first, to set the gauges that are not updated otherwise.
    """

    def __init__(
        self, metrics: Metrics, refresh: Callable[[], None] | None = None
    ) -> None:
        self._metrics = metrics
        self._refresh = refresh
        self._open = 0

    async def serve(self, host: str, port: int = METRICS_PORT) -> None:
        """Serve until cancelled; raise OSError if binding fails."""
        bound = _bind(host, port)
        async with await SocketListener.from_socket(bound) as listener:
            await listener.serve(self._accept)

    async def _accept(self, stream: SocketStream) -> None:
        async with stream:
            if self._open >= _MAX_CONNECTIONS:
                return
            self._open += 1
            try:
                await self._answer_in_time(stream)
            finally:
                self._open -= 1

    async def _answer_in_time(self, stream: SocketStream) -> None:
        # Invalid requests and closed connections get no answer. Their
        # exceptions are suppressed as they would stop the daemon.
        ended = (h11.ProtocolError, anyio.BrokenResourceError)
        with (
            contextlib.suppress(*ended),
            anyio.move_on_after(_REQUEST_TIMEOUT / SECOND),
        ):
            await self._answer(stream)

    async def _answer(self, stream: SocketStream) -> None:
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        request = await _read_request(stream, protocol)
        if request is None:
            return
        status, body = _NOT_FOUND, b''
        if request.target == METRICS_PATH.encode():
            status, body = _OK, self._render()
        head = h11.Response(
            status_code=status,
            headers=[
                ('content-type', RENDERED_TYPE),
                ('content-length', str(len(body))),
                ('connection', 'close'),
            ],
        )
        is_head = request.method == b'HEAD'
        data = () if is_head else (h11.Data(body),)
        for event in (head, *data, h11.EndOfMessage()):
            await stream.send(protocol.send(event) or b'')

    def _render(self) -> bytes:
        if self._refresh is not None:
            self._refresh()
        return self._metrics.render()


async def _read_request(
    stream: SocketStream, protocol: h11.Connection
) -> h11.Request | None:
    """Return the request, or None if it is incomplete."""
    while True:
        event = protocol.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        try:
            protocol.receive_data(await stream.receive(_CHUNK_BYTES))
        except anyio.EndOfStream:
            return None


def _bind(host: str, port: int) -> socket.socket:
    """Return a listening socket, without resolving the host name."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
        bound.listen(_BACKLOG)
    except OSError:
        bound.close()
        raise
    return bound
