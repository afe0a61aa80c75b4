"""Graceful shutdown of an agent."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.clock import SECOND, Clock
from oleanderdyke.events import EventName
from oleanderdyke.kernel.drain import (
    Announce,
    CutOff,
    Drain,
    DrainAction,
    Exit,
)
from oleanderdyke.logs import EventLog


class DrainRunner:
    """Execute the actions of the drain and wait for its end.

    Streams of an agent can't outlive its process, so none are handed over.
    """

    def __init__(
        self,
        drain: Drain,
        *,
        clock: Clock,
        events: EventLog,
        tasks: TaskGroup,
        announce: Callable[[], None],
        cut: Callable[[Sequence[str]], None],
    ) -> None:
        self._drain = drain
        self._clock = clock
        self._events = events
        self._tasks = tasks
        self._announce = announce
        self._cut = cut
        self._done = anyio.Event()

    @property
    def is_leaving(self) -> bool:
        """Return whether the drain has started."""
        return self._drain.is_leaving

    def start_work(self, work_id: str) -> None:
        """Record the start of work that the drain waits for."""
        self._drain.start_work(work_id, self._clock.now())

    def end_work(self, work_id: str) -> None:
        """Record the end of work, which may complete the drain."""
        self._apply(self._drain.end_work(work_id, self._clock.now()))

    def signal(self) -> None:
        """Start the drain, or go on with one that has begun."""
        self._start()
        self._apply(self._drain.signal(self._clock.now()))

    def interrupt(self) -> None:
        """Start the drain; cut off the remaining work if it has begun."""
        self._start()
        self._apply(self._drain.interrupt(self._clock.now()))

    async def wait(self) -> None:
        """Wait until the drain has finished."""
        await self._done.wait()

    def _start(self) -> None:
        if not self.is_leaving:
            self._tasks.start_soon(self._run)

    async def _run(self) -> None:
        due = self._drain.next_time()
        while due is not None:
            wait = due - self._clock.now()
            with anyio.move_on_after(max(wait, 0.0) / SECOND):
                await self._done.wait()
            self._apply(self._drain.tick(self._clock.now()))
            due = self._drain.next_time()

    def _apply(self, actions: Iterable[DrainAction]) -> None:
        for action in actions:
            if isinstance(action, Announce):
                self._announce()
            elif isinstance(action, CutOff):
                self._cut(action.requests)
            elif isinstance(action, Exit):
                self._events.write(
                    EventName.DRAIN_FINISHED, count=len(action.cut)
                )
                self._done.set()
