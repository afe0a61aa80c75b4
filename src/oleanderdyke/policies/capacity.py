"""Sum up what a service can do and what waits there."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import Demand, Fleet, Plan
from oleanderdyke.kernel.prediction import BacklogTracker
from oleanderdyke.policies.settings import PolicySettings

_REFRESH: Millis = 20.0
_REFRESH_PER_REPLICA: Millis = 1.0
_FIRST_SHARE = 0.25
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
    requests: int = 0


@dataclass(slots=True)
class _Sent:
    tokens: float
    at: Millis
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
        self._share = _FIRST_SHARE
        self._time: Millis = _FIRST_TIME

    @property
    def time(self) -> Millis:
        """Return how long a request lasts once it is sent."""
        return self._time

    def is_idle(self) -> bool:
        """Tell whether nothing of this entry runs here."""
        return not self._sent

    def look(self, service: str, fleet: Fleet, now: Millis) -> bool:
        """Refresh the sums when they are old; false without replicas."""
        if now >= self._view.until:
            self._view = self._sum(service, fleet, now)
        return self._view.replicas > 0

    def estimate_wait(self) -> Millis:
        """Estimate the mean wait for prefill over the replicas."""
        if not self._view.rate:
            return 0.0
        return self._view.tokens * SECOND / self._view.rate

    def estimate_use(self) -> float:
        """Estimate the share of slots in use, zero where none is known."""
        if not self._view.slots:
            return 0.0
        return self._view.requests / self._view.slots

    def estimate_tokens(self, demand: Demand) -> float:
        """Estimate the tokens that a request will have prefilled."""
        return demand.tokens * self._share

    def estimate_time(self, demand: Demand) -> Millis:
        """Estimate how long a request's own work lasts."""
        return self._time

    def estimate_drain(self, mean_cost: float) -> float:
        """Estimate this entry's share of the work done, cost a ms.

        The cost of a request is its prompt and answer tokens, at least 1.
        """
        view = self._view
        by_slots = view.slots / self._time * mean_cost if view.slots else 1e9
        by_tokens = view.rate / SECOND / max(0.01, self._share)
        if mean_cost <= 1:
            by_tokens = by_slots
        return max(1e-6, min(by_slots, by_tokens) / self._settings.entries)

    def note_admitted(self, demand: Demand) -> None:
        """Count a request that is about to be sent."""
        self._view.tokens += self.estimate_tokens(demand)
        self._view.requests += 1

    def note_sent(
        self, demand: Demand, plan: Plan, tokens: float, now: Millis
    ) -> None:
        """Replace the estimate of a request by its plan."""
        self._view.tokens += tokens - self.estimate_tokens(demand)
        self._backlog.note_sent(demand.request, plan.agent, tokens, now)
        self._sent[demand.request] = _Sent(tokens, now)
        if demand.tokens:
            share = tokens / demand.tokens
            self._share += _SMOOTHING * (share - self._share)

    def note_first_token(self, request: str, now: Millis) -> None:
        """Count a prefill as done."""
        sent = self._sent.get(request)
        if sent is None or not sent.prefilling:
            return
        sent.prefilling = False
        self._backlog.note_first_token(request, now)
        self._view.tokens = max(0.0, self._view.tokens - sent.tokens)

    def note_finished(self, request: str, now: Millis) -> None:
        """Count a request as done."""
        self._view.requests = max(0, self._view.requests - 1)
        self.note_first_token(request, now)
        sent = self._sent.pop(request, None)
        if sent is None:
            return
        self._backlog.note_finished(request, now)
        self._time += _SMOOTHING * (now - sent.at - self._time)

    def _sum(self, service: str, fleet: Fleet, now: Millis) -> _View:
        view = _View()
        for replica in fleet.replicas(service):
            view.replicas += 1
            view.rate += self._backlog.find_rate(replica)
            view.slots += replica.load.slots
            view.tokens += self._backlog.estimate_tokens(replica, now)
            view.requests += self._backlog.count_requests(replica)
        refresh = max(_REFRESH, view.replicas * _REFRESH_PER_REPLICA)
        view.until = now + refresh
        return view
