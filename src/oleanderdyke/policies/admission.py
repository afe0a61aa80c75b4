"""Decide which requests go on now, wait, or are refused early."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field

from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.admission import FairQueue, Waiting, spread
from oleanderdyke.kernel.demand import (
    SEGMENT_TOKENS,
    Admission,
    Admitted,
    Demand,
    Fleet,
    Plan,
    Queued,
    Refusal,
)
from oleanderdyke.policies.capacity import ServiceCapacity
from oleanderdyke.policies.limits import TeamLimits
from oleanderdyke.policies.registries import ADMISSIONS, FindTerms
from oleanderdyke.policies.settings import PolicySettings

_ADMITTED = Admitted()
_QUEUED = Queued()
_MEAN_SMOOTHING = 0.05
_JITTER = 0.5


@dataclass(slots=True)
class _Service:
    """Hold the queues of one service."""

    capacity: ServiceCapacity
    interactive: FairQueue = field(default_factory=FairQueue)
    background: FairQueue = field(default_factory=FairQueue)
    mean_cost: float = 1.0
    returning: Millis = 0.0


class FairAdmission:
    """Share each service between teams and refuse what would be late."""

    def __init__(self, settings: PolicySettings, find_terms: FindTerms) -> None:
        self._settings = settings
        self._find_terms = find_terms
        self._limits = TeamLimits(find_terms)
        self._services: dict[str, _Service] = {}
        self._waiting: dict[str, Waiting] = {}
        self._running: dict[str, Demand] = {}
        self._latest: list[tuple[Millis, str]] = []

    def admit(
        self, demand: Demand, fleet: Fleet, now: Millis
    ) -> Admitted | Queued | Refusal:
        """Admit, queue or refuse a new request."""
        limited = self._limits.check(demand, now)
        if limited is not None:
            return limited
        service = self._find_service(demand.service)
        service.capacity.look(demand.service, fleet, now)
        cost = _get_cost(demand)
        service.mean_cost += _MEAN_SMOOTHING * (cost - service.mean_cost)
        if not self._is_behind(service, demand) and self._has_room(
            service, background=demand.background
        ):
            self._start(service, demand, now)
            return _ADMITTED
        return self._refuse_or_queue(service, demand, now)

    def release(
        self, fleet: Fleet, now: Millis
    ) -> Sequence[tuple[str, Admitted | Refusal]]:
        """Return who may go on and who has waited too long."""
        released = self._expire(now)
        for name, service in self._services.items():
            if not (service.interactive or service.background):
                continue
            if service.capacity.look(name, fleet, now):
                released += self._release(service, now)
        return released

    def note_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Learn which work an admitted request brought."""
        present = (plan.cached + plan.fetched) * SEGMENT_TOKENS
        tokens = float(max(0, demand.tokens - present))
        capacity = self._find_service(demand.service).capacity
        capacity.note_sent(demand, plan, tokens, now)

    def note_first_token(self, request: str, now: Millis) -> None:
        """Learn that a prefill is over."""
        demand = self._running.get(request)
        if demand is None:
            return
        capacity = self._find_service(demand.service).capacity
        capacity.note_first_token(request, now)

    def note_finished(self, request: str, now: Millis) -> None:
        """Give back what a request held, queued or running."""
        waiting = self._waiting.pop(request, None)
        if waiting is not None:
            self._find_queue(waiting.demand).remove(waiting)
            self._limits.note_finished(waiting.demand.team, now)
            return
        demand = self._running.pop(request, None)
        if demand is None:
            return
        self._limits.note_finished(demand.team, now)
        capacity = self._find_service(demand.service).capacity
        capacity.note_finished(request, now)

    def _find_service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = _Service(ServiceCapacity(self._settings))
            self._services[name] = service
        return service

    def _find_queue(self, demand: Demand) -> FairQueue:
        service = self._find_service(demand.service)
        return service.background if demand.background else service.interactive

    def _is_behind(self, service: _Service, demand: Demand) -> bool:
        if service.interactive:
            return True
        return demand.background and bool(service.background)

    def _has_room(self, service: _Service, *, background: bool) -> bool:
        wait = service.capacity.estimate_wait()
        use = service.capacity.estimate_use()
        if not background:
            return wait <= self._settings.queue_target and use < 1.0
        calm = wait <= self._settings.queue_target / 2
        return calm and use < self._settings.background_running_share

    def _start(self, service: _Service, demand: Demand, now: Millis) -> None:
        self._limits.note_started(demand, now)
        self._run(service, demand)
        if demand.background:
            return
        weight = self._find_terms(demand.team).weight
        service.interactive.charge(demand.team, _get_cost(demand), weight)

    def _run(self, service: _Service, demand: Demand) -> None:
        self._running[demand.request] = demand
        service.capacity.note_admitted(demand)

    def _refuse_or_queue(
        self, service: _Service, demand: Demand, now: Millis
    ) -> Queued | Refusal:
        if len(self._waiting) >= self._settings.queued_limit:
            return self._refuse(service, demand, now, 'queue is full')
        queue = self._find_queue(demand)
        cost = _get_cost(demand)
        weight = self._find_terms(demand.team).weight
        ahead = queue.estimate_ahead(demand.team, cost, weight)
        drain = service.capacity.estimate_drain(service.mean_cost)
        latest = demand.deadline - service.capacity.estimate_time(demand)
        if now + ahead / drain > latest:
            return self._refuse(service, demand, now, 'would be late')
        waiting = Waiting(demand, cost, now)
        queue.push(waiting, weight)
        self._waiting[demand.request] = waiting
        self._limits.note_started(demand, now)
        heapq.heappush(self._latest, (latest, demand.request))
        return _QUEUED

    def _refuse(
        self, service: _Service, demand: Demand, now: Millis, reason: str
    ) -> Refusal:
        """Refuse, and reserve a later place for the caller's return.

        Those told to come back are spread so that they return no faster
        than the service works.
        """
        drain = service.capacity.estimate_drain(service.mean_cost)
        cost = _get_cost(demand)
        backlog = now + service.interactive.cost / drain
        service.returning = max(service.returning, backlog) + cost / drain
        ceiling = self._settings.retry_after_ceiling
        after = min(ceiling, service.returning - now)
        service.returning = min(service.returning, now + ceiling)
        after = max(self._settings.retry_after_floor, after)
        after *= 1 + _JITTER * spread(demand.request)
        return Refusal(ErrorKind.OVERLOADED, reason, after)

    def _expire(self, now: Millis) -> list[tuple[str, Admitted | Refusal]]:
        expired: list[tuple[str, Admitted | Refusal]] = []
        while self._latest and self._latest[0][0] < now:
            _, request = heapq.heappop(self._latest)
            waiting = self._waiting.pop(request, None)
            if waiting is None:
                continue
            demand = waiting.demand
            self._find_queue(demand).remove(waiting)
            self._limits.note_finished(demand.team, now)
            service = self._find_service(demand.service)
            refusal = self._refuse(service, demand, now, 'waited too long')
            expired.append((request, refusal))
        return expired

    def _release(
        self, service: _Service, now: Millis
    ) -> list[tuple[str, Admitted | Refusal]]:
        released: list[tuple[str, Admitted | Refusal]] = []
        while service.interactive and self._has_room(service, background=False):
            released.append(self._take(service, service.interactive))
        while (
            service.background
            and not service.interactive
            and self._has_room(service, background=True)
        ):
            released.append(self._take(service, service.background))
        return released

    def _take(
        self, service: _Service, queue: FairQueue
    ) -> tuple[str, Admitted | Refusal]:
        demand = queue.pop().demand
        del self._waiting[demand.request]
        self._run(service, demand)
        return demand.request, _ADMITTED


class OpenAdmission:
    """Admit everything at once."""

    def admit(
        self, demand: Demand, fleet: Fleet, now: Millis
    ) -> Admitted | Queued | Refusal:
        """Admit."""
        return _ADMITTED

    def release(
        self, fleet: Fleet, now: Millis
    ) -> Sequence[tuple[str, Admitted | Refusal]]:
        """Return nothing; nobody waits."""
        return ()

    def note_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Learn nothing."""

    def note_first_token(self, request: str, now: Millis) -> None:
        """Learn nothing."""

    def note_finished(self, request: str, now: Millis) -> None:
        """Give nothing back."""


def _get_cost(demand: Demand) -> float:
    return float(max(1, demand.tokens + demand.answer_tokens))


@ADMISSIONS.register('fair')
def make_fair(settings: PolicySettings, find_terms: FindTerms) -> Admission:
    """Build the admission that shares by weight."""
    return FairAdmission(settings, find_terms)


@ADMISSIONS.register('open')
def make_open(settings: PolicySettings, find_terms: FindTerms) -> Admission:
    """Build the admission that refuses nothing."""
    return OpenAdmission()
