"""Schedule events of simulated processes in simulated time."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Coroutine, Generator
from dataclasses import dataclass, field
from itertools import count
from typing import Any, TypeAlias

from oleanderdyke.clock import ManualClock, Millis

Act: TypeAlias = Callable[[], None]


class NullSink:
    """Ignore every call, in place of a logger or a meter."""

    def __getattr__(self, _: str) -> Callable[..., None]:
        return _do_nothing


def _do_nothing(*_: object, **__: object) -> None:
    """Ignore all arguments."""


class Scheduler:
    """Run scheduled callbacks in order of their simulated times."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._acts: list[tuple[Millis, int, Process, Act]] = []
        self._numbers = count()

    @property
    def now(self) -> Millis:
        """Return the current simulated time."""
        return self.clock.current

    def after(self, delay: Millis, process: Process, act: Act) -> None:
        """Schedule a callback, skipped if its process is killed by then."""
        due = self.now + max(delay, 0.0)
        heapq.heappush(self._acts, (due, next(self._numbers), process, act))

    def run(self, until: Millis, is_over: Callable[[], bool]) -> None:
        """Run events up to a time or until `is_over` returns true."""
        while self._acts and self._acts[0][0] <= until and not is_over():
            due, _, process, act = heapq.heappop(self._acts)
            self.clock.current = max(self.now, due)
            process.do(act)


@dataclass(eq=False)
class Process:
    """Simulate a process; events of a frozen process are queued."""

    scheduler: Scheduler
    name: str
    alive: bool = True
    frozen: bool = False
    _backlog: list[Act] = field(default_factory=list)

    @property
    def now(self) -> Millis:
        """Return the current simulated time."""
        return self.scheduler.now

    @property
    def active(self) -> bool:
        """Return whether the process is neither killed nor frozen."""
        return self.alive and not self.frozen

    def do(self, act: Act) -> None:
        """Run a callback now, queue it if frozen, or drop it if killed."""
        if not self.alive:
            return
        if self.frozen:
            self._backlog.append(act)
            return
        act()

    def after(self, delay: Millis, act: Act) -> None:
        """Schedule a callback after a delay."""
        self.scheduler.after(delay, self, act)

    def every(self, period: Millis, act: Act) -> None:
        """Schedule a callback periodically."""

        def repeat() -> None:
            act()
            self.after(period, repeat)

        self.after(period, repeat)

    def kill(self) -> None:
        """Kill the process immediately, like SIGKILL."""
        self.alive = False
        self._backlog.clear()

    def freeze(self) -> None:
        """Suspend the process, like SIGSTOP."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume the process and run the queued callbacks in order."""
        self.frozen = False
        acts, self._backlog = self._backlog, []
        for act in acts:
            self.after(0, act)

    async def checkpoint(self) -> None:
        """Wait until the process is active; never return if it was killed."""
        if not self.active:
            later = Deferred(self)
            later.resolve()
            await later


class Deferred:
    """Await a value delivered to the process later, like a future."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._result: tuple[Any, BaseException | None] | None = None
        self._continuation: Act | None = None
        self.is_over = False

    def __await__(self) -> Generator[Deferred, None, Any]:
        if not self.is_over:
            yield self
        assert self._result is not None
        value, error = self._result
        if error is not None:
            raise error
        return value

    def resolve(
        self, value: Any = None, error: BaseException | None = None
    ) -> None:
        """Set the value or the error; later calls have no effect."""
        if self._result is not None:
            return
        self._result = (value, error)
        self._process.do(self._arrive)

    def then(self, act: Act) -> None:
        """Run a callback once the result has arrived."""
        self._continuation = act
        if self.is_over:
            act()

    def _arrive(self) -> None:
        self.is_over = True
        if self._continuation is not None:
            self._continuation()


def drive(coroutine: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine that awaits only `Deferred` objects or bare yields."""
    later = None
    try:
        while later is None:
            later = coroutine.send(None)
    except StopIteration:
        return
    assert isinstance(later, Deferred)
    later.then(lambda: drive(coroutine))
