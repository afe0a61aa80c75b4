"""Background tasks that go on after failures of peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import anyio

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.errors import (
    PEER_FAILURES,
    describe_error,
    find_position,
    find_reason,
    list_causes,
)
from oleanderdyke.events import EventName
from oleanderdyke.logs import EventLog
from oleanderdyke.metrics import Count, Metrics

_FIRST_PAUSE: Millis = 250.0
_LAST_PAUSE: Millis = 8 * SECOND
# A task that has run for this long starts again after the first pause.
_STABLE_TIME: Millis = 30 * SECOND


class BackgroundTasks:
    """Run tasks that call peers, and start them again if a peer fails them.

    Tasks handle the failures that they expect. This is the boundary for all
    others: no peer may end a process. Errors of the program still do.
    """

    def __init__(
        self, log: EventLog, metrics: Metrics, clock: Clock, random: Random
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._random = random

    async def run(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it returns; start it again after each failure."""
        pause = _FIRST_PAUSE
        began_at = self._clock.now()
        while not await self.attempt(name, work):
            if self._clock.now() - began_at > _STABLE_TIME:
                pause = _FIRST_PAUSE
            # Processes that lose the same peer don't all return at once.
            await anyio.sleep(pause * self._random.uniform(0.5, 1) / SECOND)
            pause = min(2 * pause, _LAST_PAUSE)
            began_at = self._clock.now()

    async def attempt(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> bool:
        """Run a task once; return False if a peer failed it."""
        has_returned = True
        try:
            await work()
        except* PEER_FAILURES as group:
            has_returned = False
            self._record(name, group)
        return has_returned

    def _record(self, name: str, group: BaseExceptionGroup[Exception]) -> None:
        self._metrics.add(Count.TASK_FAILURES, label=name)
        for error in list_causes(group):
            self._log.write(
                EventName.TASK_FAILED,
                name=name,
                reason=find_reason(error),
                detail=f'{find_position(error)}: {describe_error(error)}',
            )
