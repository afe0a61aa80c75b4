"""Simulate a context store of the users' platform."""

from __future__ import annotations

import enum
import json
import time
from collections.abc import AsyncGenerator
from typing import Any

import anyio

from tests.standins import web

_MILLIS = 1000
_LIST = ('bootEpoch', 'next', 'lost', 'clock_ms', 'events')


class FreeFault(enum.StrEnum):
    """How a store fails at calls that free parts."""

    CLOSES = 'closes'
    SILENT = 'silent'
    ENDLESS = 'endless'
    FAILS = 'fails'
    # The parts are freed, but the call gets no answer.
    UNANSWERED = 'unanswered'


class ContextStore(web.StandIn[web.Faults]):
    """Publish events about the stored parts and delete parts on request."""

    def __init__(self) -> None:
        super().__init__(web.Faults())
        self.boot = 1
        self.events: list[list[Any]] = []
        self.freed: list[list[str]] = []
        self.free_calls = 0
        self.free_fault: FreeFault | None = None
        self.reads = 0
        # Whether new readers are refused, and which readers were refused.
        self.is_crowded = False
        self.turned_away = 0
        self._changed = anyio.Event()

    @property
    def clock(self) -> float:
        """Return the time of the engines' clock, in milliseconds."""
        return time.monotonic() * _MILLIS

    def add(self, salt: str, part: str, tokens: int) -> None:
        """Store a complete part."""
        self._publish('+', salt, part, tokens)

    def restart(self) -> None:
        """Simulate a restart that loses every stored part."""
        self.boot += 1
        self.events.clear()
        self._notify_readers()

    async def answer(self, request: web.Request) -> web.Answer:
        """Handle one API call."""
        match request.path:
            case '/api/kv-events':
                return await self._list_events(request)
            case '/api/kv-free':
                return await self._free(request)
        return web.refuse(404, 'no such call')

    async def _list_events(self, request: web.Request) -> web.Answer:
        if self.is_crowded:
            self.turned_away += 1
            return web.refuse(429, 'too many readers')
        self.reads += 1
        since = int(request.query['since'])
        wait = float(request.headers.get('wait-ms', '0'))
        if since >= len(self.events):
            with anyio.move_on_after(wait / _MILLIS):
                await self._changed.wait()
        found = (
            self.boot,
            len(self.events),
            False,
            self.clock,
            self.events[since:],
        )
        return web.answer_json(dict(zip(_LIST, found, strict=True)))

    async def _free(self, request: web.Request) -> web.Answer:
        document = json.loads(await request.body())
        self.free_calls += 1
        broken = await self._break_free(request)
        if broken is not None:
            return broken
        if document['bootEpoch'] != self.boot:
            return web.refuse(409, 'another start')
        for salt, part in document['parts']:
            self.freed.append([salt, part])
            self._publish('-', salt, part, 0)
        if self.free_fault is FreeFault.UNANSWERED:
            raise web.Dropped
        return web.answer_json({})

    async def _break_free(self, request: web.Request) -> web.Answer | None:
        """Return the answer of a failed call that frees nothing, if it does."""
        match self.free_fault:
            case FreeFault.CLOSES:
                raise web.Dropped
            case FreeFault.SILENT:
                await request.wait_closed()
                raise web.Dropped
            case FreeFault.ENDLESS:
                return web.Answer(body=_pour(), watched=True)
            case FreeFault.FAILS:
                return web.refuse(500, 'failed')
        return None

    def _publish(self, sign: str, salt: str, part: str, tokens: int) -> None:
        number = len(self.events) + 1
        self.events.append([number, sign, salt, part, tokens, ''])
        self._notify_readers()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


async def _pour() -> AsyncGenerator[bytes, None]:
    while True:
        yield bytes(65_536)
        await anyio.sleep(0.001)
