"""Totals of the capacity and the queued work of a service."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import Demand, Fleet, Plan
from oleanderdyke.kernel.prediction import BacklogTracker
from oleanderdyke.policies.settings import PolicySettings

_REFRESH: Millis = 20.0
_REFRESH_PER_REPLICA: Millis = 1.0
_INITIAL_DURATION: Millis = 1_000.0
_SMOOTHING = 0.05


@dataclass(slots=True)
class _Totals:
    """Sums over the replicas of a service."""

    expires_at: Millis = -1.0
    replicas: int = 0
    rate: float = 0.0
    slots: int = 0
    tokens: float = 0.0
    short_tokens: float = 0.0
    requests: int = 0


@dataclass(slots=True)
class _Sent:
    tokens: float
    sent_at: Millis
    short: bool
    is_prefilling: bool = True


class ServiceCapacity:
    """Estimate the queueing time and the throughput of a service."""

    def __init__(self, settings: PolicySettings) -> None:
        self._settings = settings
        self._backlog = BacklogTracker(
            settings.report_lag, settings.prefill_tokens_per_second
        )
        self._totals = _Totals()
        self._sent: dict[str, _Sent] = {}
        self._duration: Millis = _INITIAL_DURATION

    @property
    def duration(self) -> Millis:
        """Return the mean time from sending a request to its end."""
        return self._duration

    def refresh(self, service: str, fleet: Fleet, now: Millis) -> bool:
        """Update expired totals; return whether there are any replicas."""
        if now >= self._totals.expires_at:
            self._totals = self._compute_totals(service, fleet, now)
        return self._totals.replicas > 0

    def estimate_wait(self, *, short: bool = False) -> Millis:
        """Estimate the mean wait for prefill over the replicas."""
        if not self._totals.rate:
            return 0.0
        tokens = self._totals.short_tokens if short else self._totals.tokens
        return tokens * SECOND / self._totals.rate

    def estimate_utilization(self) -> float:
        """Estimate the share of slots in use, zero if no slots are known."""
        if not self._totals.slots:
            return 0.0
        return self._totals.requests / self._totals.slots

    def estimate_throughput(self, mean_cost: float) -> float:
        """Estimate this entry's share of the throughput in tokens per ms.

        `mean_cost` is the mean number of tokens of a request in one slot. Plain
        calls cost 1, so that only slots limit them.
        """
        totals = self._totals
        by_slots = totals.slots / self._duration * mean_cost
        by_tokens = totals.rate / SECOND
        if not totals.slots:
            by_slots = by_tokens
        if not totals.rate or mean_cost <= 1:
            by_tokens = by_slots
        return max(1e-6, min(by_slots, by_tokens) / self._settings.entries)

    def record_admitted(self, tokens: float, *, short: bool) -> None:
        """Count a request that is about to be sent."""
        self._totals.tokens += tokens
        self._totals.short_tokens += tokens if short else 0.0
        self._totals.requests += 1

    def record_sent(
        self, demand: Demand, plan: Plan, tokens: float, now: Millis
    ) -> None:
        """Count the tokens that a request's plan recomputes."""
        short = tokens <= self._settings.short_tokens
        self._backlog.record_sent(
            demand.request, plan.agent, tokens, now, short=short
        )
        self._sent[demand.request] = _Sent(tokens, now, short)

    def record_first_token(self, request: str, now: Millis) -> None:
        """Remove the tokens of a prefill that has ended."""
        sent = self._sent.get(request)
        if sent is None or not sent.is_prefilling:
            return
        sent.is_prefilling = False
        self._backlog.record_first_token(request, now)
        totals = self._totals
        totals.tokens = max(0.0, totals.tokens - sent.tokens)
        if sent.short:
            totals.short_tokens = max(0.0, totals.short_tokens - sent.tokens)

    def record_finished(self, request: str, now: Millis) -> None:
        """Remove a request that has ended."""
        self._totals.requests = max(0, self._totals.requests - 1)
        self.record_first_token(request, now)
        sent = self._sent.pop(request, None)
        if sent is None:
            return
        self._backlog.record_finished(request, now)
        self._duration += _SMOOTHING * (now - sent.sent_at - self._duration)

    def _compute_totals(
        self, service: str, fleet: Fleet, now: Millis
    ) -> _Totals:
        totals = _Totals()
        for replica in fleet.replicas(service):
            totals.replicas += 1
            totals.rate += self._backlog.find_rate(replica)
            totals.slots += replica.load.slots
            totals.tokens += self._backlog.estimate_tokens(replica, now)
            totals.short_tokens += self._backlog.estimate_short_tokens(
                replica, now
            )
            totals.requests += self._backlog.count_requests(replica)
        refresh = max(_REFRESH, totals.replicas * _REFRESH_PER_REPLICA)
        totals.expires_at = now + refresh
        return totals
