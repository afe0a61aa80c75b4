"""Simulate the log service and the backend servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from oleanderdyke.clients.log import LogPage, LogRecord, LogUnavailable
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import Ran
from oleanderdyke.kernel.gate import LoadedWeights
from oleanderdyke.kernel.orders import DesiredState, Fence, ObservedState
from oleanderdyke.links.messages import Dispatch
from tests.matrix.loop import Deferred, Process, Scheduler

if TYPE_CHECKING:
    from tests.matrix.world import World

_SLOW: Millis = 4 * SECOND
_PAGE = 500


class LogService:
    """Simulate the log service with expiry, delays, loss and outages."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.up = True
        self.slow = False
        self.lost_answers = 0
        self.retention: Millis | None = None
        self.logs: dict[str, list[LogRecord]] = {}
        self.readers: list[Callable[[str], None]] = []
        self._process = Process(scheduler, 'log')

    @property
    def delay(self) -> Millis:
        """Return the current one-way latency of a call."""
        return _SLOW if self.slow else 1.0

    def append(
        self,
        log: str,
        records: Sequence[bytes],
        later: Deferred,
        *,
        caller: Process,
        timeout: Millis,
        note: Callable[[], None],
    ) -> None:
        """Schedule an append and its response, subject to active faults."""
        unknown = LogUnavailable('no answer', ran=Ran.MAYBE)
        caller.after(timeout, lambda: later.resolve(error=unknown))
        if not self.up:
            refused = LogUnavailable('out', ran=Ran.NO)
            caller.after(1.0, lambda: later.resolve(error=refused))
            return

        def take_effect() -> None:
            first = self.put(log, records)
            note()
            if self.lost_answers:
                self.lost_answers -= 1
                return
            caller.after(self.delay, lambda: later.resolve(first))

        self._process.after(self.delay, take_effect)

    def put(self, log: str, records: Sequence[bytes]) -> int:
        """Append records immediately."""
        kept = self.logs.setdefault(log, [])
        first = len(kept)
        for data in records:
            kept.append(LogRecord(len(kept), self._process.now, data))
        for reader in self.readers:
            reader(log)
        return first

    def read(self, log: str, start: int) -> LogPage | None:
        """Return a page of records, or None during an outage."""
        if not self.up:
            return None
        kept = self.logs.setdefault(log, [])
        first = self._find_first(kept)
        start = max(start, first)
        found = tuple(kept[start : start + _PAGE])
        return LogPage(found, first, len(kept))

    def _find_first(self, kept: list[LogRecord]) -> int:
        if self.retention is None:
            return 0
        oldest = self._process.now - self.retention
        return sum(record.at < oldest for record in kept)


class Backend:
    """Simulate a backend server that may crash and restart."""

    def __init__(
        self, world: World, name: str, *, content_type: str, checks: bool
    ) -> None:
        self.world = world
        self.content_type = content_type
        self.name = name
        self.checks = checks
        self.loaded = LoadedWeights()
        self.fence: Fence | None = None
        self.crashes: list[frozenset[str]] = []
        self._running: dict[int, Dispatch] = {}
        self.process = Process(world.scheduler, f'server of {name}')

    @property
    def up(self) -> bool:
        """Return whether the server responds to requests."""
        return self.process.active

    def crash(self) -> None:
        """Crash the server with all its runs and schedule its restart."""
        if not self.process.alive:
            return
        digests = frozenset(d.digest for d in self._running.values())
        self.crashes.append(digests)
        self._running.clear()
        self.process.kill()
        self.world.outside.after(3 * SECOND, self.restart)
        agent = self.world.agents[self.name]
        agent.after(1.0, agent.lose_backend)

    def restart(self) -> None:
        """Restart without runs and with the same weights."""
        self.process = Process(self.world.scheduler, f'server of {self.name}')

    def request(
        self,
        dispatch: Dispatch,
        caller: Process,
        take: Callable[[int, bytes], None],
    ) -> None:
        """Execute a dispatch and pass its response in pieces to `take`."""

        def begin() -> None:
            number = len(self.world.runs)
            body = self.world.note_run(dispatch, self, caller)
            self._running[number] = dispatch
            if dispatch.digest in self.world.poison:
                self.process.after(self.world.pause / 2, self.crash)
            pieces = [b'', *_split(body + body), b'']
            for index, piece in enumerate(pieces):
                self._send(index, piece, caller, take)
            end = self.world.pause * len(pieces)
            self.process.after(end, lambda: self._end(number))

        self.process.after(1.0, begin)

    def load(self, desired: DesiredState, fence: Fence) -> bool:
        """Apply an order; reject an outdated fence if fences are checked."""
        if self.checks and self.fence and fence.offset < self.fence.offset:
            return False
        if self.checks:
            self.fence = fence
        self.loaded = LoadedWeights(
            desired.model, desired.version, desired.digest, desired.adapter
        )
        return True

    def observe(self, now: Millis) -> ObservedState:
        """Return the observed state of the engine."""
        loaded = self.loaded
        return ObservedState(
            loaded.model,
            loaded.version,
            loaded.digest,
            loaded.adapter,
            'serve',
            self.fence,
            now,
        )

    def _send(
        self,
        index: int,
        piece: bytes,
        caller: Process,
        take: Callable[[int, bytes], None],
    ) -> None:
        def send() -> None:
            caller.after(1.0, lambda: take(index, piece))

        self.process.after(self.world.pause * (index + 1), send)

    def _end(self, number: int) -> None:
        self._running.pop(number, None)


def _split(body: bytes) -> list[bytes]:
    """Split a body into events, each including its terminator."""
    return [event + b'\n\n' for event in body.split(b'\n\n')[:-1]]
