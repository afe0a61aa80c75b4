"""Availability of the services that a process depends on."""

from __future__ import annotations

from oleanderdyke.clock import Clock, Millis
from oleanderdyke.events import EventName
from oleanderdyke.logs import EventLog, LogValue
from oleanderdyke.metrics import Count, Metrics


class Dependency:
    """Availability of one service, as log events and as a metric.

    Logs the first failure and the first success after it; counts every failure.
    `keys` identify the service in the log, `label` in the metrics.
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
        """Return whether the last call failed."""
        return self._lost_at is not None

    def record_failure(self, detail: str) -> None:
        """Count a failed call; log it if the call before succeeded."""
        self._metrics.add(Count.DEPENDENCY_FAULTS, label=self._label)
        if self._lost_at is not None:
            return
        self._lost_at = self._clock.now()
        self._log.write(self._lost, **self._keys, detail=detail)

    def record_success(self) -> None:
        """Record a successful call; log it if the call before failed."""
        if self._lost_at is None:
            return
        outage = self._clock.now() - self._lost_at
        self._lost_at = None
        self._log.write(self._regained, **self._keys, duration=round(outage))


def make_news_dependency(
    log: EventLog, metrics: Metrics, clock: Clock
) -> Dependency:
    """Create the dependency on the neighbours that share their reads."""
    return Dependency(
        log,
        metrics,
        clock,
        lost=EventName.LINK_DOWN,
        regained=EventName.LINK_UP,
        label='news',
        name='news',
    )
