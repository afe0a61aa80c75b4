"""Sum up what a service can do and what waits there."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import Demand, Fleet, Plan
from oleanderdyke.kernel.prediction import BacklogTracker
from oleanderdyke.policies.settings import PolicySettings

_REFRESH: Millis = 20.0
_REFRESH_PER_REPLICA: Millis = 1.0
_FIRST_TIME: Millis = 1_000.0
_SMOOTHING = 0.05


@dataclass(slots=True)
class _View:
    """Hold sums over the replicas of a service."""

    until: Millis = -1.0
    replicas: int = 0
    rate: float = 0.0
    slots: int = 0
    tokens: float = 0.0
    short_tokens: float = 0.0
    requests: int = 0


@dataclass(slots=True)
class _Sent:
    tokens: float
    at: Millis
    short: bool
    prefilling: bool = True


class ServiceCapacity:
    """Estimate the wait of a service and the work that it gets done."""

    def __init__(self, settings: PolicySettings) -> None:
        self._settings = settings
        self._backlog = BacklogTracker(
            settings.report_lag, settings.prefill_tokens_per_second
        )
        self._view = _View()
        self._sent: dict[str, _Sent] = {}
        self._time: Millis = _FIRST_TIME

    @property
    def time(self) -> Millis:
        """Return how long a request lasts once it is sent."""
        return self._time

    def refresh(self, service: str, fleet: Fleet, now: Millis) -> bool:
        """Refresh the sums when they are old; false without replicas."""
        if now >= self._view.until:
            self._view = self._sum(service, fleet, now)
        return self._view.replicas > 0

    def estimate_wait(self, *, short: bool = False) -> Millis:
        """Estimate the mean wait for prefill over the replicas."""
        if not self._view.rate:
            return 0.0
        tokens = self._view.short_tokens if short else self._view.tokens
        return tokens * SECOND / self._view.rate

    def estimate_use(self) -> float:
        """Estimate the share of slots in use, zero where none is known."""
        if not self._view.slots:
            return 0.0
        return self._view.requests / self._view.slots

    def estimate_drain(self, mean_cost: float) -> float:
        """Estimate this entry's share of the tokens done in a ms.

        `mean_cost` tokens are taken for one slot; plain calls cost 1.
        """
        view = self._view
        by_slots = view.slots / self._time * mean_cost
        by_tokens = view.rate / SECOND
        if not view.slots:
            by_slots = by_tokens
        if not view.rate or mean_cost <= 1:
            by_tokens = by_slots
        return max(1e-6, min(by_slots, by_tokens) / self._settings.entries)

    def note_admitted(self, tokens: float, *, short: bool) -> None:
        """Count a request that is about to be sent."""
        self._view.tokens += tokens
        self._view.short_tokens += tokens if short else 0.0
        self._view.requests += 1

    def record_sent(
        self, demand: Demand, plan: Plan, tokens: float, now: Millis
    ) -> None:
        """Count what a request's plan recomputes."""
        short = tokens <= self._settings.short_tokens
        self._backlog.record_sent(
            demand.request, plan.agent, tokens, now, short=short
        )
        self._sent[demand.request] = _Sent(tokens, now, short)

    def record_first_token(self, request: str, now: Millis) -> None:
        """Count a prefill as done."""
        sent = self._sent.get(request)
        if sent is None or not sent.prefilling:
            return
        sent.prefilling = False
        self._backlog.record_first_token(request, now)
        view = self._view
        view.tokens = max(0.0, view.tokens - sent.tokens)
        if sent.short:
            view.short_tokens = max(0.0, view.short_tokens - sent.tokens)

    def record_finished(self, request: str, now: Millis) -> None:
        """Count a request as done."""
        self._view.requests = max(0, self._view.requests - 1)
        self.record_first_token(request, now)
        sent = self._sent.pop(request, None)
        if sent is None:
            return
        self._backlog.record_finished(request, now)
        self._time += _SMOOTHING * (now - sent.at - self._time)

    def _sum(self, service: str, fleet: Fleet, now: Millis) -> _View:
        view = _View()
        for replica in fleet.replicas(service):
            view.replicas += 1
            view.rate += self._backlog.find_rate(replica)
            view.slots += replica.load.slots
            view.tokens += self._backlog.estimate_tokens(replica, now)
            view.short_tokens += self._backlog.estimate_short(replica, now)
            view.requests += self._backlog.count_requests(replica)
        refresh = max(_REFRESH, view.replicas * _REFRESH_PER_REPLICA)
        view.until = now + refresh
        return view
