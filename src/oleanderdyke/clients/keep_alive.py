"""HTTP to one server over a few keep-alive connections.

Use it only for requests that may run twice: if a reused connection fails or
does not answer in time, the request is resent once on a new connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass
from typing import Protocol

import anyio
import h11

from oleanderdyke.clients.exchange import FAILURES, Exchange, open_exchange
from oleanderdyke.clients.http import (
    HttpAnswer,
    HttpError,
    decode_headers,
    make_exchange_error,
)
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import Ran
from oleanderdyke.links.messages import Headers

_CHUNK_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class KeepAliveSettings:
    """Limit the idle connections and the waits on connections.

    A reused connection without an answer within `reuse_timeout` counts as dead;
    `read_timeout` is the limit for new ones. A connection that was unused for
    `idle_limit` is closed.
    """

    connections: int = 8
    connect: Millis = SECOND
    reuse_timeout: Millis = 250.0
    read_timeout: Millis = 10 * SECOND
    idle_limit: Millis = 4 * SECOND


class KeepAliveHttp:
    """Send requests to one server over reused connections."""

    def __init__(
        self, address: str, settings: KeepAliveSettings | None = None
    ) -> None:
        self._address = address
        self._settings = settings or KeepAliveSettings()
        self._idle: list[_IdleConnection] = []
        self._used: set[Exchange] = set()

    @asynccontextmanager
    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Headers = (),
        body: bytes = b'',
        is_slow: bool = False,
    ) -> AsyncIterator[HttpAnswer]:
        """Send a request and yield its answer; raise HttpError.

        One that takes the server long (`is_slow`) goes over a new connection,
        where silence doesn't mean that it is dead. Leaving the context before
        the end of the body closes the connection.
        """
        length = ('content-length', str(len(body)))
        sent = [('host', self._address), *headers, length]
        head = _make_head(method, path, sent)
        reused = None if is_slow else self._take_idle()
        exchange, answer = await self._begin(head, body, reused)
        chunks = _iterate(exchange, self._settings.read_timeout)
        try:
            async with aclosing(chunks):
                found = decode_headers(answer.headers)
                yield HttpAnswer(answer.status_code, found, chunks)
        finally:
            self._release(exchange)

    async def close(self) -> None:
        """Abort every exchange and close every idle connection."""
        self._drop_idle()
        for exchange in tuple(self._used):
            exchange.close()

    async def _begin(
        self, head: h11.Request, body: bytes, reused: Exchange | None
    ) -> tuple[Exchange, h11.Response]:
        ran = Ran.NO
        if reused is not None:
            bound = self._settings.reuse_timeout
            try:
                return reused, await self._exchange_heads(
                    reused, head, body, bound
                )
            except HttpError as error:
                ran = error.ran
                # The other idle connections may be dead too.
                self._drop_idle()
        fresh = await self._connect(ran)
        return fresh, await self._exchange_heads(
            fresh, head, body, self._settings.read_timeout
        )

    async def _exchange_heads(
        self, exchange: Exchange, head: h11.Request, body: bytes, bound: Millis
    ) -> h11.Response:
        self._used.add(exchange)
        try:
            with anyio.fail_after(bound / SECOND):
                await exchange.send(head, body)
                return await exchange.receive_head()
        except FAILURES as error:
            self._drop(exchange)
            raise make_exchange_error(exchange, error) from error
        except BaseException:
            self._drop(exchange)
            raise

    async def _connect(self, ran: Ran) -> Exchange:
        settings = self._settings
        try:
            return await open_exchange(
                self._address,
                tls=None,
                connect=settings.connect / SECOND,
                write=settings.read_timeout / SECOND,
                # The callers limit each wait for the server.
                read=None,
                chunk=_CHUNK_BYTES,
            )
        except OSError as error:
            raise HttpError(
                f'cannot connect: {type(error).__name__}', ran=ran
            ) from error

    def _take_idle(self) -> Exchange | None:
        before = asyncio.get_running_loop().time()
        before -= self._settings.idle_limit / SECOND
        while self._idle:
            idle = self._idle.pop()
            if idle.exchange.is_usable and idle.since >= before:
                return idle.exchange
            idle.exchange.close()
        return None

    def _drop_idle(self) -> None:
        while self._idle:
            self._idle.pop().exchange.close()

    def _drop(self, exchange: Exchange) -> None:
        self._used.discard(exchange)
        exchange.close()

    def _release(self, exchange: Exchange) -> None:
        full = len(self._idle) >= self._settings.connections
        if full or not exchange.rewind():
            self._drop(exchange)
            return
        self._used.discard(exchange)
        now = asyncio.get_running_loop().time()
        self._idle.append(_IdleConnection(exchange, now))


class Closable(Protocol):
    """Hold connections until they are closed."""

    async def close(self) -> None:
        """Close every connection."""


@asynccontextmanager
async def closing(*clients: Closable) -> AsyncIterator[None]:
    """Close the clients of a task when it ends."""
    try:
        yield
    finally:
        for client in clients:
            await client.close()


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    """Hold a connection and the loop time, in seconds, of its last use."""

    exchange: Exchange
    since: float


def _make_head(
    method: str, path: str, headers: list[tuple[str, str]]
) -> h11.Request:
    try:
        return h11.Request(method=method, target=path, headers=headers)
    except (UnicodeError, h11.LocalProtocolError) as error:
        # The address and some headers come from other writers.
        reason = type(error).__name__
        raise HttpError(f'cannot be sent: {reason}', ran=Ran.NO) from error


async def _iterate(
    exchange: Exchange, read_timeout: Millis
) -> AsyncGenerator[bytes, None]:
    while True:
        try:
            with anyio.fail_after(read_timeout / SECOND):
                part = await exchange.read_part()
        except FAILURES as error:
            raise make_exchange_error(exchange, error) from error
        if not part:
            return
        yield part
