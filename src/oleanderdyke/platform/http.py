"""Speak HTTP to one server, and tell whether a request may have reached it."""

from __future__ import annotations

import ssl
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, TypeAlias

import anyio
import httpcore

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.messages import Headers
from oleanderdyke.platform.plain_stream import connect_plain

# The library tries to import this for each lock it makes; where it is not
# installed, the search of every path costs more than the exchange.
sys.modules.setdefault('sniffio', None)  # type: ignore[arg-type]

Body: TypeAlias = bytes | AsyncIterator[bytes] | None

_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
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
        self._tls = tls
        self._origin = httpcore.Origin(
            b'http' if tls is None else b'https',
            host.strip('[]').encode('ascii'),
            int(port),
        )
        self._timeouts = _show_timeouts(settings)
        self._connect_timeout = settings.connect / SECOND
        self._network = httpcore.AnyIOBackend()
        self._open: set[httpcore.AsyncHTTP11Connection] = set()

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
        request = self._make_request(method, path, headers, body)
        stream = await self._connect()
        connection = httpcore.AsyncHTTP11Connection(self._origin, stream)
        self._open.add(connection)
        try:
            yield await _exchange(connection, request, stream)
        finally:
            self._open.discard(connection)
            with anyio.CancelScope(shield=True):
                await connection.aclose()

    async def close(self) -> None:
        """Break off every exchange."""
        for connection in tuple(self._open):
            await connection.aclose()

    async def _connect(self) -> _Stream:
        origin, timeout = self._origin, self._connect_timeout
        host = origin.host.decode('ascii')
        try:
            if self._tls is None:
                return _Stream(await connect_plain(host, origin.port, timeout))
            stream = await self._network.connect_tcp(
                host, origin.port, timeout=timeout
            )
            stream = await stream.start_tls(self._tls, host, timeout)
        except _FAILURES as error:
            reason = type(error).__name__
            raise HttpError(f'cannot connect: {reason}', ran=Ran.NO) from error
        return _Stream(stream)

    def _make_request(
        self,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]],
        body: Body,
    ) -> httpcore.Request:
        origin = self._origin
        return httpcore.Request(
            method,
            httpcore.URL(
                scheme=origin.scheme,
                host=origin.host,
                port=origin.port,
                target=path.encode('ascii'),
            ),
            headers=self._complete_headers(headers, body),
            content=body,
            extensions={'timeout': self._timeouts},
        )

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


class _Stream(httpcore.AsyncNetworkStream):
    """Learn whether anything was written to a connection."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self.written = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read what has arrived."""
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all."""
        self.written = self.written or bool(buffer)
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Tell about the connection."""
        return self._stream.get_extra_info(info)


async def _exchange(
    connection: httpcore.AsyncHTTP11Connection,
    request: httpcore.Request,
    stream: _Stream,
) -> HttpAnswer:
    try:
        response = await connection.handle_async_request(request)
    except _FAILURES as error:
        raise HttpError(
            f'the exchange failed: {type(error).__name__}',
            ran=Ran.MAYBE if stream.written else Ran.NO,
        ) from error
    headers = _decode_headers(response.headers)
    return HttpAnswer(response.status, headers, _iterate(response))


def _show_timeouts(settings: HttpSettings) -> dict[str, float | None]:
    read = settings.read
    return {
        'connect': settings.connect / SECOND,
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
