"""HTTP to one server over a new connection for each request.

Errors say whether the request may have reached the server.
"""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11

from oleanderdyke.clients.exchange import (
    FAILURES,
    Body,
    Exchange,
    open_exchange,
)
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.messages import Headers

_CLOSE = ('connection', 'close')


# Headers that concern one connection only, in lower case; never forwarded.
HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


class HttpError(OleanderError):
    """An exchange failed; `ran` is NO if nothing was sent."""

    def __init__(self, message: str, *, ran: Ran) -> None:
        super().__init__(ErrorKind.BACKEND_LOST, message, ran=ran)


@dataclass(frozen=True, slots=True)
class HttpSettings:
    """Set the timeouts of one exchange.

    `read` limits the wait for each chunk of the answer; None means no limit.
    """

    connect: Millis = 2 * SECOND
    write: Millis = 10 * SECOND
    read: Millis | None = 30 * SECOND


@dataclass(slots=True)
class HttpAnswer:
    """Hold the head of an answer and the iterator of its body."""

    status: int
    headers: Headers
    body: AsyncIterator[bytes]

    async def read(self, limit: int) -> bytes:
        """Return the whole body; raise HttpError above `limit` bytes."""
        parts = bytearray()
        async for part in self.body:
            parts += part
            if len(parts) > limit:
                raise HttpError(
                    f'body: found more than {limit} bytes', ran=Ran.MAYBE
                )
        return bytes(parts)


class HttpBackend:
    """Stream requests and answers to and from one HTTP server.

    Each request opens a connection: a reused one might be dead, or be closed by
    the server just as the request is sent.
    """

    def __init__(
        self,
        address: str,
        *,
        settings: HttpSettings | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._address = address
        self._settings = settings or HttpSettings()
        self._tls = tls
        self._open: set[Exchange] = set()

    @asynccontextmanager
    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: Body = None,
    ) -> AsyncIterator[HttpAnswer]:
        """Send a request and yield its answer.

        Leaving the context before the end of the body closes the connection.
        An iterated body is sent chunked, unless `headers` give its length.
        Raise HttpError.
        """
        exchange = await self._connect()
        self._open.add(exchange)
        try:
            sent = self._complete_headers(headers, body)
            target = path.encode('ascii')
            yield await _begin(exchange, method, target, sent, body)
        finally:
            self._open.discard(exchange)
            exchange.close()

    async def close(self) -> None:
        """Abort every exchange."""
        for exchange in tuple(self._open):
            exchange.close()

    async def _connect(self) -> Exchange:
        settings = self._settings
        read = settings.read
        try:
            return await open_exchange(
                self._address,
                tls=self._tls,
                connect=settings.connect / SECOND,
                write=settings.write / SECOND,
                read=None if read is None else read / SECOND,
            )
        except OSError as error:
            reason = type(error).__name__
            raise HttpError(f'cannot connect: {reason}', ran=Ran.NO) from error

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


def make_exchange_error(exchange: Exchange, error: Exception) -> HttpError:
    """Return the HttpError of an exchange that raised one of FAILURES."""
    return HttpError(
        f'the exchange failed: {type(error).__name__}',
        ran=Ran.MAYBE if exchange.written else Ran.NO,
    )


async def _begin(
    exchange: Exchange,
    method: str,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: Body,
) -> HttpAnswer:
    try:
        request = h11.Request(method=method, target=target, headers=headers)
        await exchange.send(request, body)
        head = await exchange.receive_head()
    except FAILURES as error:
        raise make_exchange_error(exchange, error) from error
    decoded = decode_headers(head.headers)
    return HttpAnswer(head.status_code, decoded, _iterate(exchange))


def _frame_body(body: Body) -> list[tuple[str, str]]:
    if body is None:
        return []
    if isinstance(body, bytes):
        return [('content-length', str(len(body)))]
    return [('transfer-encoding', 'chunked')]


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Decode names and values as Latin-1, which accepts any byte."""
    return tuple(
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in headers
    )


async def _iterate(exchange: Exchange) -> AsyncIterator[bytes]:
    try:
        while part := await exchange.read_part():
            yield part
    except FAILURES as error:
        raise HttpError(
            f'the answer ended early: {type(error).__name__}', ran=Ran.MAYBE
        ) from error
