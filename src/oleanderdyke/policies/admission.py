"""Admission of requests: start now, queue, or refuse early."""

from __future__ import annotations

import enum
import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field

from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.admission import (
    FairQueue,
    QueuedRequest,
    hash_to_fraction,
)
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
from oleanderdyke.policies.candidates import estimate_missing
from oleanderdyke.policies.capacity import ServiceCapacity
from oleanderdyke.policies.limits import TeamLimits
from oleanderdyke.policies.registries import ADMISSIONS, FindTerms
from oleanderdyke.policies.settings import PolicySettings

_ADMITTED = Admitted()
_QUEUED = Queued()
_MEAN_SMOOTHING = 0.05
_JITTER = 0.5


class _RequestClass(enum.IntEnum):
    """Request classes in the order of service, short requests first."""

    SHORT = 0
    LONG = 1
    BACKGROUND = 2


@dataclass(frozen=True, slots=True)
class _Classified:
    """A request with its class and the tokens that it has to prefill."""

    demand: Demand
    kind: _RequestClass
    missing: int

    @property
    def cost(self) -> float:
        """Return the tokens to prefill and to generate, at least one."""
        return float(max(1, self.missing + self.demand.answer_tokens))


def _make_queues() -> tuple[FairQueue, ...]:
    return tuple(FairQueue() for _ in _RequestClass)


@dataclass(slots=True)
class _Service:
    """The queues of one service."""

    capacity: ServiceCapacity
    queues: tuple[FairQueue, ...] = field(default_factory=_make_queues)
    mean_cost: float = 1.0
    return_at: Millis = 0.0

    def has_waiting(self, kind: _RequestClass) -> bool:
        """Return whether requests of this or an earlier class wait."""
        return any(self.queues[: kind + 1])

    def estimate_work_ahead(
        self, classified: _Classified, weight: float
    ) -> float:
        """Estimate the work to be done before a new request of a team."""
        queue = self.queues[classified.kind]
        work = queue.estimate_ahead(
            classified.demand.team, classified.cost, weight
        )
        return work + sum(each.cost for each in self.queues[: classified.kind])


class FairAdmission:
    """Share each service between teams and refuse late requests."""

    def __init__(self, settings: PolicySettings, find_terms: FindTerms) -> None:
        self._settings = settings
        self._find_terms = find_terms
        self._limits = TeamLimits(find_terms)
        self._services: dict[str, _Service] = {}
        self._waiting: dict[str, tuple[_Classified, QueuedRequest]] = {}
        self._running: dict[str, Demand] = {}
        self._start_deadlines: list[tuple[Millis, str]] = []

    def admit(
        self, demand: Demand, fleet: Fleet, now: Millis
    ) -> Admitted | Queued | Refusal:
        """Admit, queue or refuse a new request."""
        limited = self._limits.check(demand, now)
        if limited is not None:
            return limited
        service = self._find_service(demand.service)
        service.capacity.refresh(demand.service, fleet, now)
        classified = self._classify(demand, fleet)
        service.mean_cost += _MEAN_SMOOTHING * (
            classified.cost - service.mean_cost
        )
        if service.has_waiting(classified.kind) or not self._has_capacity(
            service, classified.kind
        ):
            return self._refuse_or_queue(service, classified, now)
        self._limits.record_started(demand, now)
        self._run(service, classified)
        weight = self._find_terms(demand.team).weight
        service.queues[classified.kind].charge(
            demand.team, classified.cost, weight
        )
        return _ADMITTED

    def release(
        self, fleet: Fleet, now: Millis
    ) -> Sequence[tuple[str, Admitted | Refusal]]:
        """Return the queued requests to start now or to refuse as late."""
        released = self._expire(now)
        for name, service in self._services.items():
            if not any(service.queues):
                continue
            if service.capacity.refresh(name, fleet, now):
                released += self._release(service)
        return released

    def record_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Record the plan of an admitted request that was sent."""
        present = (plan.cached + plan.fetched) * SEGMENT_TOKENS
        tokens = float(max(0, demand.tokens - present))
        capacity = self._find_service(demand.service).capacity
        capacity.record_sent(demand, plan, tokens, now)

    def record_first_token(self, request: str, now: Millis) -> None:
        """Record that the prefill of a request has ended."""
        demand = self._running.get(request)
        if demand is None:
            return
        capacity = self._find_service(demand.service).capacity
        capacity.record_first_token(request, now)

    def record_finished(self, request: str, now: Millis) -> None:
        """Release what a request occupied, queued or running."""
        if request in self._waiting:
            self._drop(request, now)
            return
        demand = self._running.pop(request, None)
        if demand is None:
            return
        self._limits.record_finished(demand.team, now)
        capacity = self._find_service(demand.service).capacity
        capacity.record_finished(request, now)

    def _find_service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = _Service(ServiceCapacity(self._settings))
            self._services[name] = service
        return service

    def _classify(self, demand: Demand, fleet: Fleet) -> _Classified:
        missing = estimate_missing(demand, fleet)
        if demand.background:
            return _Classified(demand, _RequestClass.BACKGROUND, missing)
        short = missing <= self._settings.short_tokens
        return _Classified(
            demand,
            _RequestClass.SHORT if short else _RequestClass.LONG,
            missing,
        )

    def _has_capacity(self, service: _Service, kind: _RequestClass) -> bool:
        capacity = service.capacity
        wait = capacity.estimate_wait(short=kind is _RequestClass.SHORT)
        target = self._settings.queue_target
        if kind is not _RequestClass.BACKGROUND:
            return wait <= target and capacity.estimate_utilization() < 1.0
        share = self._settings.background_running_share
        return wait <= target / 2 and capacity.estimate_utilization() < share

    def _run(self, service: _Service, classified: _Classified) -> None:
        self._running[classified.demand.request] = classified.demand
        service.capacity.record_admitted(
            classified.missing, short=classified.kind is _RequestClass.SHORT
        )

    def _refuse_or_queue(
        self, service: _Service, classified: _Classified, now: Millis
    ) -> Queued | Refusal:
        demand = classified.demand
        if len(self._waiting) >= self._settings.queued_limit:
            return self._refuse(service, classified, now, 'queue is full')
        weight = self._find_terms(demand.team).weight
        throughput = service.capacity.estimate_throughput(service.mean_cost)
        wait = service.estimate_work_ahead(classified, weight) / throughput
        latest = demand.deadline - service.capacity.duration
        if now + wait > latest:
            return self._refuse(service, classified, now, 'would be late')
        waiting = QueuedRequest(demand, classified.cost, now)
        service.queues[classified.kind].push(waiting, weight)
        self._waiting[demand.request] = classified, waiting
        self._limits.record_started(demand, now)
        heapq.heappush(self._start_deadlines, (latest, demand.request))
        return _QUEUED

    def _refuse(
        self,
        service: _Service,
        classified: _Classified,
        now: Millis,
        reason: str,
    ) -> Refusal:
        """Refuse a request and schedule the caller's retry.

        The retry times of refused callers are spread so that they return no
        faster than the service works off requests.
        """
        throughput = service.capacity.estimate_throughput(service.mean_cost)
        queued = sum(
            queue.cost for queue in service.queues[: classified.kind + 1]
        )
        backlog = now + queued / throughput
        service.return_at = (
            max(service.return_at, backlog) + classified.cost / throughput
        )
        ceiling = self._settings.retry_after_ceiling
        after = min(ceiling, service.return_at - now)
        service.return_at = min(service.return_at, now + ceiling)
        after = max(self._settings.retry_after_floor, after)
        after *= 1 + _JITTER * hash_to_fraction(classified.demand.request)
        return Refusal(ErrorKind.OVERLOADED, reason, after)

    def _expire(self, now: Millis) -> list[tuple[str, Admitted | Refusal]]:
        expired: list[tuple[str, Admitted | Refusal]] = []
        while self._start_deadlines and self._start_deadlines[0][0] < now:
            _, request = heapq.heappop(self._start_deadlines)
            if request not in self._waiting:
                continue
            classified = self._drop(request, now)
            service = self._find_service(classified.demand.service)
            refusal = self._refuse(service, classified, now, 'waited too long')
            expired.append((request, refusal))
        return expired

    def _drop(self, request: str, now: Millis) -> _Classified:
        classified, waiting = self._waiting.pop(request)
        service = self._find_service(classified.demand.service)
        service.queues[classified.kind].remove(waiting)
        self._limits.record_finished(classified.demand.team, now)
        return classified

    def _release(
        self, service: _Service
    ) -> list[tuple[str, Admitted | Refusal]]:
        released: list[tuple[str, Admitted | Refusal]] = []
        for kind in _RequestClass:
            queue = service.queues[kind]
            if kind is _RequestClass.BACKGROUND and service.has_waiting(
                _RequestClass.LONG
            ):
                break
            while queue and self._has_capacity(service, kind):
                request = queue.pop().demand.request
                classified, _ = self._waiting.pop(request)
                self._run(service, classified)
                released.append((request, _ADMITTED))
        return released


class OpenAdmission:
    """Admit every request at once."""

    def admit(
        self, demand: Demand, fleet: Fleet, now: Millis
    ) -> Admitted | Queued | Refusal:
        """Return that the request may start."""
        return _ADMITTED

    def release(
        self, fleet: Fleet, now: Millis
    ) -> Sequence[tuple[str, Admitted | Refusal]]:
        """Return nothing, as no request is ever queued."""
        return ()

    def record_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Ignore the event, as no load is tracked."""

    def record_first_token(self, request: str, now: Millis) -> None:
        """Ignore the event, as no load is tracked."""

    def record_finished(self, request: str, now: Millis) -> None:
        """Ignore the event, as no load is tracked."""


@ADMISSIONS.register('fair')
def make_fair(settings: PolicySettings, find_terms: FindTerms) -> Admission:
    """Build the admission that shares services by team weight."""
    return FairAdmission(settings, find_terms)


@ADMISSIONS.register('open')
def make_open(settings: PolicySettings, find_terms: FindTerms) -> Admission:
    """Build the admission that refuses nothing."""
    return OpenAdmission()
