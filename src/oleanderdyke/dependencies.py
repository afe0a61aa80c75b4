"""Tell once that what a process needs is lost, and once that it is back."""

from __future__ import annotations

from oleanderdyke.clock import Clock, Millis
from oleanderdyke.events import EventName
from oleanderdyke.logs import EventLog, LogValue
from oleanderdyke.metrics import Count, Metrics


class Dependency:
    """Follow whether something answers, and count each time that it didn't.

    `keys` name it in the log; `label` names it in the metrics.
    """

    def __init__(
        self,
        log: EventLog,
        metrics: Metrics,
        clock: Clock,
        *,
        lost: EventName,
        regained: EventName,
        label: str,
        **keys: LogValue,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._lost = lost
        self._regained = regained
        self._label = label
        self._keys = keys
        self._lost_at: Millis | None = None

    @property
    def is_lost(self) -> bool:
        """Return whether it failed last."""
        return self._lost_at is not None

    def record_failure(self, detail: str) -> None:
        """Learn that it failed; the first failure is logged."""
        self._metrics.add(Count.DEPENDENCY_FAULTS, label=self._label)
        if self._lost_at is not None:
            return
        self._lost_at = self._clock.now()
        self._log.write(self._lost, **self._keys, detail=detail)

    def record_success(self) -> None:
        """Learn that it answered; the first answer after a loss is logged."""
        if self._lost_at is None:
            return
        away = self._clock.now() - self._lost_at
        self._lost_at = None
        self._log.write(self._regained, **self._keys, duration=round(away))


def make_news_dependency(
    log: EventLog, metrics: Metrics, clock: Clock
) -> Dependency:
    """Follow whether neighbours tell what they read."""
    return Dependency(
        log,
        metrics,
        clock,
        lost=EventName.LINK_DOWN,
        regained=EventName.LINK_UP,
        label='news',
        name='news',
    )
