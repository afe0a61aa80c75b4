"""Leave without cutting off a request."""

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
    """Carry out what the drain decides.

    An agent's streams end where it ends, so it hands none over.
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
        """Return whether a stop has been announced."""
        return self._drain.is_leaving

    def start_work(self, work_id: str) -> None:
        """Count a piece of work."""
        self._drain.start_work(work_id, self._clock.now())

    def end_work(self, work_id: str) -> None:
        """Forget a piece of work."""
        self._apply(self._drain.end_work(work_id, self._clock.now()))

    def signal(self) -> None:
        """Start to leave; a second call hurries."""
        if not self.is_leaving:
            self._tasks.start_soon(self._run)
        self._apply(self._drain.signal(self._clock.now()))

    async def wait(self) -> None:
        """Return once nothing is left to do."""
        await self._done.wait()

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
