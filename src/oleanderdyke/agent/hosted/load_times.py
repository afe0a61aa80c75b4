"""Metrics of the loads of weights into one engine."""

from __future__ import annotations

from oleanderdyke.clock import Clock, Millis
from oleanderdyke.metrics import Count, Gauge, Metrics, Timing
from oleanderdyke.platform.engines import OrderOutcome


class LoadTimes:
    """Measure the waits in the queue, orders and loads of each model."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._waiting: dict[str, Millis] = {}
        self._loading: dict[str, Millis] = {}

    def record_named(self, model: str, version: int) -> None:
        """Set the metric of the newest published version."""
        self._metrics.set_gauge(Gauge.WEIGHTS_NAMED, version, model)

    def record_held(self, model: str, version: int) -> None:
        """Set the metric of the version that the engine holds."""
        self._metrics.set_gauge(Gauge.WEIGHTS_HELD, version, model)

    def record_due(self, model: str) -> None:
        """Start to measure the wait in the queue, unless already started."""
        self._waiting.setdefault(model, self._clock.now())

    def record_order(
        self, model: str, outcome: OrderOutcome, given_at: Millis
    ) -> None:
        """Record the outcome of an order sent at `given_at`.

        An accepted order ends the wait in the queue and starts the load.
        """
        now, metrics = self._clock.now(), self._metrics
        metrics.add(Count.ORDERS, label=outcome.value)
        metrics.time(Timing.ORDER, now - given_at, outcome.value)
        if outcome is not OrderOutcome.ACCEPTED:
            return
        waited_since = self._waiting.pop(model, None)
        if waited_since is not None:
            metrics.time(Timing.QUEUE_WAIT, given_at - waited_since, model)
        self._loading.setdefault(model, given_at)

    def record_settled(self) -> None:
        """Record the end of all loads."""
        now = self._clock.now()
        for model, since in self._loading.items():
            self._metrics.time(Timing.LOAD, now - since, model)
        self._loading.clear()
        self._waiting.clear()

    def record_lost(self) -> None:
        """Discard the loads in progress after a restart of the engine."""
        self._loading.clear()
