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
from tools.soak.attempts import Attempt, Outcome
from tools.soak.events import StreamPath
from tools.soak.fleet import EntryProcess, Fleet
from tools.soak.stream_calls import StreamCall
from tools.soak.timeouts import TimeoutHistory

_ANSWER_SECONDS = 4.0
_CONNECT_SECONDS = 1.0
_PAUSE_SECONDS = 0.1
_TAKE_UP_SECONDS = 0.05
_UNRESUMABLE_SHARE = 0.3
_MOST_DIALS = 8
_DEADLINE_SECONDS = 2.0
_STREAM_DEADLINE_SECONDS = 12.0
_EVENT_PAUSES = (0.1, 0.35)
_FEWEST_EVENTS = 4
_LATE_SECONDS, _LATE_PAUSE = 3.0, 0.15
# Share of requests that may run only once.
_UNIQUE_SHARE = 0.2


@dataclass
class Callers:
    """Send requests to the entries of a fleet until cancelled.

    `rate` is the number of requests a second of all callers together, and
    `stream_share` the share of them that ask for a stream, which lasts for some
    time in `stream_seconds`.
    """

    fleet: Fleet
    observations: Observations
    random: Random
    now: Callable[[], float]
    rate: float
    timeouts: TimeoutHistory
    stream_share: float = 0.0
    stream_seconds: tuple[float, float] = (0.5, 6.0)
    count: int = 12
    _numbers: Iterator[int] = field(default_factory=itertools.count)
    _streams: Iterator[int] = field(default_factory=itertools.count)

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
        opened = await _open(process)
        if opened is None:
            return False
        reader, writer = opened
        try:
            for _ in requests:
                if not await self._send(reader, writer, process):
                    break
                await anyio.sleep(self._draw_pause())
        finally:
            writer.close()
        return True

    async def _send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        process: EntryProcess,
    ) -> bool:
        """Send one request; return whether the connection stays open."""
        if not self.random.random() < self.stream_share:
            return await self._call(reader, writer, process)
        stream = self._make_stream()
        is_open = await stream.send(reader, writer, process.life.name)
        if stream.is_done:
            return is_open
        writer.close()
        await self.follow(stream)
        return False

    async def try_stream(
        self, stream: StreamCall, process: EntryProcess | None
    ) -> Attempt | None:
        """Ask for a stream once on a new connection; return the try."""
        opened = None if process is None else await _open(process)
        if process is None or opened is None:
            await anyio.sleep(_PAUSE_SECONDS)
            return None
        reader, writer = opened
        count = len(self.observations.attempts)
        try:
            await stream.send(reader, writer, process.life.name)
        finally:
            writer.close()
        return next(
            (
                each
                for each in self.observations.attempts[count:]
                if each.stream == stream.path.name
            ),
            None,
        )

    async def follow(self, stream: StreamCall) -> None:
        """Take a stream up again, each time on a new connection."""
        while not stream.is_done:
            await anyio.sleep(max(stream.pause, _TAKE_UP_SECONDS))
            process = self._choose()
            opened = None if process is None else await _open(process)
            if process is None or opened is None:
                stream.is_done = self.now() > stream.deadline
                continue
            reader, writer = opened
            try:
                await stream.send(reader, writer, process.life.name)
            finally:
                writer.close()

    async def _call(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        process: EntryProcess,
    ) -> bool:
        """Send one call; return whether the connection stays open."""
        request = self._make_name()
        is_unique = self.random.random() < _UNIQUE_SHARE
        now = self.now()
        self.observations.record_sent(request, now, is_idempotent=not is_unique)
        timeout = min(_DEADLINE_SECONDS, self.timeouts.find_call(now))
        attempt = Attempt(request, process.life.name, now, now + timeout)
        self.observations.attempts.append(attempt)
        writer.write(
            make_request(
                '/once/x' if is_unique else '/safe/x',
                oleanderdyke_request_id=request,
                oleanderdyke_deadline_ms=f'{_DEADLINE_SECONDS * 1000:.0f}',
                connection='keep-alive',
            )
        )
        try:
            with anyio.fail_after(_ANSWER_SECONDS):
                found = await read_answer(reader)
        except TimeoutError:
            return self._lose(attempt, Outcome.GAVE_UP)
        except (OSError, EOFError):
            return self._lose(attempt, Outcome.CUT)
        if not found.is_whole:
            return self._lose(attempt, Outcome.CUT)
        attempt.status = found.status
        attempt.end(Outcome.ANSWERED, self.now())
        self.observations.record_answer(request, found.status, found.body)
        return found.headers.get('connection') != 'close'

    def _lose(self, attempt: Attempt, outcome: Outcome) -> bool:
        """Record that no whole answer came; the connection is of no use."""
        attempt.end(outcome, self.now())
        self.observations.record_broken()
        return False

    def _make_stream(self) -> StreamCall:
        seconds = self.random.uniform(*self.stream_seconds)
        pause = self.random.uniform(*_EVENT_PAUSES)
        events = max(round(seconds / pause), _FEWEST_EVENTS)
        is_resumable = self.random.random() >= _UNRESUMABLE_SHARE
        name = f'stream-{next(self._streams)}'
        return StreamCall(
            StreamPath(name, events, seconds / events, is_resumable),
            self.now() + _STREAM_DEADLINE_SECONDS,
            self.observations,
            self.now,
            self._make_name,
            find_timeout=lambda: self.timeouts.find_stream(self.now()),
        )

    def make_late_stream(self) -> StreamCall:
        """Return a stream that is still going on as it is taken up late."""
        stream = self._make_stream()
        events = round(_LATE_SECONDS / _LATE_PAUSE)
        stream.path = StreamPath(stream.path.name, events, _LATE_PAUSE)
        return stream

    def _make_name(self) -> str:
        return f'req-{next(self._numbers)}'

    def _choose(self) -> EntryProcess | None:
        alive = self.fleet.list_alive()
        return self.random.choice(alive) if alive else None

    def _draw_pause(self) -> float:
        return self.random.expovariate(self.rate / self.count)


async def _open(
    process: EntryProcess,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Connect to an entry; return None if it takes no connection."""
    try:
        with anyio.fail_after(_CONNECT_SECONDS):
            return await asyncio.open_connection(*process.callers)
    except (OSError, TimeoutError):
        return None
