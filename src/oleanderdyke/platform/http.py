"""Speak HTTP to one server, and tell whether a request may have reached it."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, TypeAlias

import httpcore

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.messages import Headers

Body: TypeAlias = bytes | AsyncIterator[bytes] | None

_HEADERS_SENT = 'http11.send_request_headers.complete'
_NEVER_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
)
_CLOSE = ('connection', 'close')


class HttpError(OleanderError):
    """Tell that an exchange failed; `ran` is NO where nothing was sent."""

    def __init__(self, message: str, *, ran: Ran) -> None:
        super().__init__(ErrorKind.BACKEND_LOST, message, ran=ran)


@dataclass(frozen=True, slots=True)
class HttpSettings:
    """Bound the waits of one exchange.

    `read` bounds the wait for each piece of the answer; None never gives up.
    """

    connect: Millis = 2 * SECOND
    write: Millis = 10 * SECOND
    read: Millis | None = 30 * SECOND
    connections: int = 512


@dataclass(slots=True)
class HttpAnswer:
    """Hold the head of an answer and the stream of its body."""

    status: int
    headers: Headers
    body: AsyncIterator[bytes]

    async def read(self, limit: int) -> bytes:
        """Return the whole body; raise HttpError when it passes `limit`."""
        parts = bytearray()
        async for part in self.body:
            parts += part
            if len(parts) > limit:
                raise HttpError('the answer is too long', ran=Ran.MAYBE)
        return bytes(parts)


class HttpBackend:
    """Stream requests and answers to and from one HTTP server.

    Each request has a connection of its own: a kept one may have gone silent,
    or be closed by the server just when the next request is sent on it.
    """

    def __init__(
        self,
        address: str,
        *,
        settings: HttpSettings | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        settings = settings or HttpSettings()
        host, _, port = address.rpartition(':')
        self._address = address
        self._scheme = b'http' if tls is None else b'https'
        self._host = host.strip('[]').encode()
        self._port = int(port)
        self._timeouts = _show_timeouts(settings)
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=tls,
            max_connections=settings.connections,
            max_keepalive_connections=0,
        )

    @asynccontextmanager
    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: Body = None,
    ) -> AsyncIterator[HttpAnswer]:
        """Send and give the answer; leaving early closes the connection.

        An iterated body goes out chunked, unless `headers` give its length.
        Raise HttpError.
        """
        progress = _Progress()
        response = await self._send(method, path, headers, body, progress)
        try:
            yield HttpAnswer(
                response.status,
                _decode_headers(response.headers),
                _iterate(response),
            )
        finally:
            await response.aclose()

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.aclose()

    async def _send(
        self,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]],
        body: Body,
        progress: _Progress,
    ) -> httpcore.Response:
        try:
            request = httpcore.Request(
                method,
                httpcore.URL(
                    scheme=self._scheme,
                    host=self._host,
                    port=self._port,
                    target=path.encode('ascii'),
                ),
                headers=self._complete_headers(headers, body),
                content=body,
                extensions={
                    'timeout': self._timeouts,
                    'trace': progress.note,
                },
            )
            return await self._pool.handle_async_request(request)
        except _FAILURES as error:
            raise _make_error(error, progress) from error

    def _complete_headers(
        self, headers: Sequence[tuple[str, str]], body: Body
    ) -> list[tuple[bytes, bytes]]:
        names = {name.lower() for name, _ in headers}
        complete = [*headers, _CLOSE]
        if 'host' not in names:
            complete.insert(0, ('host', self._address))
        if not names & {'content-length', 'transfer-encoding'}:
            complete.extend(_frame_body(body))
        return [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in complete
        ]


class _Progress:
    """Learn how far an exchange came."""

    def __init__(self) -> None:
        self.sent = False

    async def note(self, name: str, _info: dict[str, Any]) -> None:
        """Take one trace event of the library."""
        if name == _HEADERS_SENT:
            self.sent = True


def _show_timeouts(settings: HttpSettings) -> dict[str, float | None]:
    read = settings.read
    return {
        'connect': settings.connect / SECOND,
        'pool': settings.connect / SECOND,
        'write': settings.write / SECOND,
        'read': None if read is None else read / SECOND,
    }


def _frame_body(body: Body) -> list[tuple[str, str]]:
    if body is None:
        return []
    if isinstance(body, bytes):
        return [('content-length', str(len(body)))]
    return [('transfer-encoding', 'chunked')]


def _decode_headers(headers: Sequence[tuple[bytes, bytes]]) -> Headers:
    return tuple(
        (name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in headers
    )


async def _iterate(response: httpcore.Response) -> AsyncIterator[bytes]:
    try:
        async for part in response.aiter_stream():
            yield part
    except _FAILURES as error:
        raise HttpError(
            f'the answer broke off: {type(error).__name__}', ran=Ran.MAYBE
        ) from error


def _make_error(error: Exception, progress: _Progress) -> HttpError:
    unsent = isinstance(error, httpcore.LocalProtocolError)
    unsent = unsent and not progress.sent
    never = unsent or isinstance(error, _NEVER_SENT)
    return HttpError(
        f'the exchange failed: {type(error).__name__}',
        ran=Ran.NO if never else Ran.MAYBE,
    )
