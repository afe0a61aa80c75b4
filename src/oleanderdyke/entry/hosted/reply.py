"""Send responses of backend servers and of the entry itself to callers."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable

import anyio

from oleanderdyke.clients.http import HOP_BY_HOP
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.answers import JSON_TYPE, CallerConnection
from oleanderdyke.entry.edge import Send
from oleanderdyke.errors import REPLIES, ErrorKind, Ran
from oleanderdyke.links.messages import Headers
from oleanderdyke.platform.requests import NOT_RUN_STATUSES, encode_refusal

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
# Statuses of internal errors that must not be reported as caller errors.
_INTERNAL_STATUSES = frozenset({409, 410, 422, 499})


class Reply:
    """Forward one response unchanged, or send an error response.

    `is_leaving` is called when the head is sent and returns whether callers
    shall send their next requests elsewhere. The connection is then closed,
    unless another request was read on it.
    """

    def __init__(
        self,
        send: Send,
        connection: CallerConnection,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._send = send
        self._connection = connection
        self._is_leaving = is_leaving
        self.request = ''
        self.status = 0
        self.ended = False
        self.closes_connection = False

    async def start(self, status: int, headers: Headers) -> None:
        """Forward the head of a backend server's response."""
        self.status = status
        await self._start(headers)

    async def send(self, part: bytes) -> None:
        """Send a part of the body."""
        await self._send(
            {'type': 'http.response.body', 'body': part, 'more_body': True}
        )

    async def end(self, part: bytes = b'') -> None:
        """Send the last part of the body."""
        await self._send({'type': 'http.response.body', 'body': part})
        self.ended = True

    async def flush(self, limit: Millis) -> None:
        """Wait until the response has left the process, for at most `limit`."""
        with anyio.move_on_after(limit / SECOND):
            await self._connection.flush()

    async def refuse(
        self,
        kind: ErrorKind,
        ran: Ran,
        detail: str,
        retry_after: Millis | None = None,
    ) -> None:
        """Send an error response of the entry; `retry_after` is optional."""
        self.status = find_status(kind, ran)
        if self.status not in NOT_RUN_STATUSES:
            retry_after = None
        body = json.dumps(
            {'kind': kind.value, 'detail': detail, 'ran': ran.value}
        ).encode()
        headers = (
            *encode_refusal(self.request, retry_after),
            ('content-type', JSON_TYPE),
            ('content-length', str(len(body))),
        )
        await self._start(headers)
        await self.end(body)

    async def _start(self, headers: Headers) -> None:
        kept = list(_encode(headers))
        if self.closes_connection or self._should_close():
            kept.append((b'connection', b'close'))
        await self._send(
            {
                'type': 'http.response.start',
                'status': self.status,
                'headers': kept,
            }
        )

    def _should_close(self) -> bool:
        return self._is_leaving() and not self._connection.has_next()


def find_status(kind: ErrorKind, ran: Ran) -> int:
    """Return the status of an error response.

    Statuses that promise "not executed" are returned only if that is true.
    """
    status = REPLIES[kind].status
    if ran is Ran.NO and (
        kind is ErrorKind.DEADLINE or status in _INTERNAL_STATUSES
    ):
        return _UNAVAILABLE
    if ran is Ran.NO and kind in {ErrorKind.BACKEND_LOST, ErrorKind.PROTOCOL}:
        return _UNAVAILABLE
    if status in _INTERNAL_STATUSES:
        return _BAD_GATEWAY
    if status in NOT_RUN_STATUSES and ran is not Ran.NO:
        return _BAD_GATEWAY
    return status


def _encode(headers: Headers) -> Iterable[tuple[bytes, bytes]]:
    for name, content in headers:
        if name.lower() not in HOP_BY_HOP:
            yield name.encode('latin-1'), content.encode('latin-1')
