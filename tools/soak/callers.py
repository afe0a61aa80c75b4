"""Clients of a soak, which use open connections until they are closed."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

import anyio

from tests.hosted import make_request, read_answer
from tools.soak.arrivals import Observations
from tools.soak.fleet import EntryProcess, Fleet

_ANSWER_SECONDS = 4.0
_CONNECT_SECONDS = 1.0
_PAUSE_SECONDS = 0.1
_MOST_DIALS = 8
_DEADLINE_MS = '2000'
# Share of requests that may run only once.
_UNIQUE_SHARE = 0.2


@dataclass
class Callers:
    """Send requests to the entries of a fleet until cancelled.

    `rate` is the number of requests a second of all callers together.
    """

    fleet: Fleet
    observations: Observations
    random: Random
    now: Callable[[], float]
    rate: float
    count: int = 12
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    async def run(self) -> None:
        """Run all callers."""
        async with anyio.create_task_group() as tasks:
            for number in range(self.count):
                tasks.start_soon(self._call_forever, number)

    async def send_herd(self, count: int) -> None:
        """Send many requests at once, each on a connection of its own."""
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self._call_once)

    async def _call_forever(self, number: int) -> None:
        """Use each connection until it is closed or its process is gone."""
        await anyio.sleep(self._draw_pause() * number / self.count)
        while True:
            process = self._choose()
            if process is None:
                await anyio.sleep(_PAUSE_SECONDS)
                continue
            await self._use(process, itertools.repeat(None))
            await anyio.sleep(_PAUSE_SECONDS)

    async def _call_once(self) -> None:
        """Send one request to an entry that accepts connections."""
        for _ in range(_MOST_DIALS):
            process = self._choose()
            if process is not None and await self._use(process, iter((None,))):
                return
            await anyio.sleep(_PAUSE_SECONDS)

    async def _use(
        self, process: EntryProcess, requests: Iterator[None]
    ) -> bool:
        """Send requests on one connection until it ends.

        Return False if none could be opened.
        """
        try:
            with anyio.fail_after(_CONNECT_SECONDS):
                reader, writer = await asyncio.open_connection(*process.callers)
        except (OSError, TimeoutError):
            return False
        try:
            for _ in requests:
                if not await self._call(reader, writer):
                    break
                await anyio.sleep(self._draw_pause())
        finally:
            writer.close()
        return True

    async def _call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request; return whether the connection stays open."""
        request = f'req-{next(self._numbers)}'
        is_unique = self.random.random() < _UNIQUE_SHARE
        self.observations.record_sent(
            request, self.now(), is_idempotent=not is_unique
        )
        writer.write(
            make_request(
                '/once/x' if is_unique else '/safe/x',
                oleanderdyke_request_id=request,
                oleanderdyke_deadline_ms=_DEADLINE_MS,
                connection='keep-alive',
            )
        )
        try:
            with anyio.fail_after(_ANSWER_SECONDS):
                found = await read_answer(reader)
        except (OSError, EOFError, TimeoutError):
            self.observations.record_broken()
            return False
        if not found.is_whole:
            self.observations.record_broken()
            return False
        self.observations.record_answer(request, found.status, found.body)
        return found.headers.get('connection') != 'close'

    def _choose(self) -> EntryProcess | None:
        alive = self.fleet.list_alive()
        return self.random.choice(alive) if alive else None

    def _draw_pause(self) -> float:
        return self.random.expovariate(self.rate / self.count)
