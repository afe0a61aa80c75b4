"""Speak HTTP to one server over a few connections that are kept open.

Only for requests that may safely run twice: one whose kept connection breaks
or stays silent is sent again, once, on a new connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass

import anyio
import h11

from oleanderdyke.clients.addresses import split_address
from oleanderdyke.clients.exchange import FAILURES, Exchange, open_exchange
from oleanderdyke.clients.http import (
    HttpAnswer,
    HttpError,
    decode_headers,
    make_lost,
)
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import Ran
from oleanderdyke.links.messages import Headers

_PIECE = 256 * 1024


@dataclass(frozen=True, slots=True)
class KeepAliveSettings:
    """Bound the connections that are kept and the waits on them.

    A kept connection that gives no answer within `patience` counts as gone
    silent. One that was unused for `idle` is closed.
    """

    connections: int = 8
    connect: Millis = SECOND
    reuse_timeout: Millis = 250.0
    read_timeout: Millis = 10 * SECOND
    idle_limit: Millis = 4 * SECOND


class KeepAliveHttp:
    """Exchange with one server; leaving an answer early costs a connection."""

    def __init__(
        self, address: str, settings: KeepAliveSettings | None = None
    ) -> None:
        self._address = address
        self._host, self._port = split_address(address)
        self._settings = settings or KeepAliveSettings()
        self._kept: list[_Kept] = []
        self._used: set[Exchange] = set()

    @asynccontextmanager
    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Headers = (),
        body: bytes = b'',
    ) -> AsyncIterator[HttpAnswer]:
        """Send and give the answer; raise HttpError."""
        length = ('content-length', str(len(body)))
        sent = [('host', self._address), *headers, length]
        head = h11.Request(method=method, target=path, headers=sent)
        exchange, answer = await self._begin(head, body)
        pieces = _iterate(exchange, self._settings.read_timeout)
        try:
            async with aclosing(pieces):
                found = decode_headers(answer.headers)
                yield HttpAnswer(answer.status_code, found, pieces)
        finally:
            self._give_back(exchange)

    async def close(self) -> None:
        """Break off every exchange and every kept connection."""
        self._drop_kept()
        for exchange in tuple(self._used):
            exchange.close()

    async def _begin(
        self, head: h11.Request, body: bytes
    ) -> tuple[Exchange, h11.Response]:
        ran = Ran.NO
        kept = self._take_kept()
        if kept is not None:
            bound = self._settings.reuse_timeout
            try:
                return kept, await self._ask(kept, head, body, bound)
            except HttpError as error:
                ran = error.ran
                # What is kept besides may be as dead as this one.
                self._drop_kept()
        fresh = await self._connect(ran)
        return fresh, await self._ask(
            fresh, head, body, self._settings.read_timeout
        )

    async def _ask(
        self, exchange: Exchange, head: h11.Request, body: bytes, bound: Millis
    ) -> h11.Response:
        self._used.add(exchange)
        try:
            with anyio.fail_after(bound / SECOND):
                await exchange.send(head, body)
                return await exchange.receive_head()
        except FAILURES as error:
            self._drop(exchange)
            raise make_lost(exchange, error) from error
        except BaseException:
            self._drop(exchange)
            raise

    async def _connect(self, ran: Ran) -> Exchange:
        settings = self._settings
        try:
            return await open_exchange(
                self._host,
                self._port,
                tls=None,
                connect=settings.connect / SECOND,
                write=settings.read_timeout / SECOND,
                # Each wait for the server has its bound where it begins.
                read=None,
                piece=_PIECE,
            )
        except OSError as error:
            raise HttpError('cannot connect', ran=ran) from error

    def _take_kept(self) -> Exchange | None:
        before = asyncio.get_running_loop().time()
        before -= self._settings.idle_limit / SECOND
        while self._kept:
            kept = self._kept.pop()
            if kept.exchange.is_sound and kept.since >= before:
                return kept.exchange
            kept.exchange.close()
        return None

    def _drop_kept(self) -> None:
        while self._kept:
            self._kept.pop().exchange.close()

    def _drop(self, exchange: Exchange) -> None:
        self._used.discard(exchange)
        exchange.close()

    def _give_back(self, exchange: Exchange) -> None:
        full = len(self._kept) >= self._settings.connections
        if full or not exchange.rewind():
            self._drop(exchange)
            return
        self._used.discard(exchange)
        now = asyncio.get_running_loop().time()
        self._kept.append(_Kept(exchange, now))


@dataclass(frozen=True, slots=True)
class _Kept:
    """Hold a connection and since when, in seconds, it is unused."""

    exchange: Exchange
    since: float


async def _iterate(
    exchange: Exchange, read_timeout: Millis
) -> AsyncGenerator[bytes, None]:
    while True:
        try:
            with anyio.fail_after(read_timeout / SECOND):
                part = await exchange.read_part()
        except FAILURES as error:
            raise make_lost(exchange, error) from error
        if not part:
            return
        yield part
