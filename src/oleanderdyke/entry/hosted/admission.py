"""Admit the calls of one entry by what all entries ask of a service."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Protocol

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.hosted.call import HostedCall
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.selection import Rejection, RetryDelay
from oleanderdyke.errors import ErrorKind
from oleanderdyke.events import EventName
from oleanderdyke.kernel.deployment import Deployment
from oleanderdyke.kernel.scheduling.admission import (
    Applicant,
    ClaimantDemand,
    Decision,
    Refused,
    ServiceAdmission,
)
from oleanderdyke.kernel.scheduling.answer_lengths import (
    AnswerLengths,
    EndedAnswer,
)
from oleanderdyke.kernel.scheduling.capacity import (
    ServiceRoom,
    estimate_engines,
    measure_room,
)
from oleanderdyke.kernel.scheduling.fair_shares import Claimant
from oleanderdyke.kernel.scheduling.placement import Choice
from oleanderdyke.kernel.scheduling.pool_members import is_working
from oleanderdyke.kernel.scheduling.speeds import SpeedView
from oleanderdyke.kernel.scheduling.urgency import RankOrder
from oleanderdyke.kernel.scheduling.wait_queue import WaitQueue
from oleanderdyke.kernel.scheduling.work import Demand, WorkView
from oleanderdyke.kernel.servers import ModelDemand
from oleanderdyke.metrics import Count, Gauge

_REFRESH_PERIOD: Millis = 100.0
# Shares are given back within a second, so older news must not bind.
_MAX_NEWS_AGE: Millis = 1 * SECOND
# Few answers are shorter than this quantile.
_SHORT_QUANTILE = 0.1


class Figures(Protocol):
    """What the entry knows of the work of all entries and of speeds."""

    @property
    def view(self) -> WorkView:
        """Return the work of all entries."""

    @property
    def speeds(self) -> SpeedView:
        """Return the speeds of engines."""


class EntryAdmission:
    """Admit, delay or refuse calls before they start."""

    def __init__(self, core: HostedCore, figures: Figures) -> None:
        self._core = core
        self._figures = figures
        self._lengths = AnswerLengths()
        self._queue = WaitQueue()
        self._services: dict[str, ServiceAdmission] = {}
        self._refreshed: dict[str, Millis] = {}
        self._order = RankOrder()

    def configure(self, deployment: Deployment) -> None:
        """Apply a new configuration."""
        self._order.configure(deployment)

    def find_rank(self, call: HostedCall) -> int | None:
        """Return the rank of a call at engines, None if it is unknown."""
        claimant = self._order.find_claimant(call.route.name, call.team)
        return self._order.find_rank(call.service, claimant)

    def is_informed(self, now: Millis) -> bool:
        """Return whether the demand at all entries is known."""
        return self._figures.view.find_age(now) <= _MAX_NEWS_AGE

    def admit(
        self, call: HostedCall, choice: Choice, now: Millis
    ) -> Choice | Rejection | None:
        """Return the choice, a rejection, or None to let the call wait."""
        service = self._find_service(call.service, now)
        applicant = self._describe(call, choice, now)
        decision = service.decide(applicant, now)
        if decision is Decision.ADMIT:
            return choice
        if isinstance(decision, Refused):
            return self._reject(call, choice, decision)
        return None

    def leave(self, call: HostedCall) -> None:
        """Remove a call that has ended or whose caller has left."""
        self._queue.remove(call.request)

    def record_answer(
        self, call: HostedCall, events: int, duration: Millis
    ) -> None:
        """Record an answer that ended completely."""
        demand = call.parameters.demand
        if demand is None or not events or call.parameters.last_event:
            return
        announced = demand.output_tokens
        tokens = events * self._find_stride(call.service)
        memory = demand.memory_tokens - announced // 2 + tokens
        self._lengths.record(
            EndedAnswer(call.route.name, announced, tokens, duration, memory)
        )

    def estimate_memory(self, call: HostedCall, model: ModelDemand) -> float:
        """Estimate the engine memory that a run needs, in tokens."""
        ratio = self._lengths.find_ratio(call.route.name)
        if ratio is None:
            return model.memory_tokens
        announced = model.output_tokens
        return model.memory_tokens - announced // 2 + announced * ratio

    def _find_stride(self, service: str) -> int:
        """Return the number of tokens in one event of a stream.

        It is 1 for a service that was removed while the stream ran.
        """
        deployment = self._core.deployment
        if deployment is None:
            return 1
        traits = deployment.services.get(service)
        if traits is None or traits.engine is None:
            return 1
        return traits.engine.stride

    def _find_service(self, name: str, now: Millis) -> ServiceAdmission:
        """Return the admission of a service, with figures of this moment."""
        if name not in self._services:
            self._services[name] = ServiceAdmission(
                self._core.random, self._queue
            )
        service = self._services[name]
        refreshed = self._refreshed.get(name)
        if refreshed is None or now - refreshed >= _REFRESH_PERIOD:
            self._refreshed[name] = now
            self._refresh(name, service, now)
        return service

    def _refresh(
        self, name: str, service: ServiceAdmission, now: Millis
    ) -> None:
        deployment, view = self._core.deployment, self._figures.view
        if deployment is None:
            return
        room = self._measure_room(deployment, name, now)
        demands = self._sum_demands(view.list_demand(name, now), room)
        arrived = sum(each.arrived for each in demands.values())
        engines = sum(each.engines for each in demands.values())
        work = engines / arrived if arrived else 0.0
        target = _find_tightest_target(deployment, name)
        service.update(room.find_capacity(target, work), demands, now)
        self._update_gauges(name, service)

    def _measure_room(
        self, deployment: Deployment, name: str, now: Millis
    ) -> ServiceRoom:
        usable = [
            backend
            for backend in self._core.backends.list_service(name, now)
            if is_working(backend, now)
        ]
        room = measure_room(
            usable,
            self._figures.view,
            self._figures.speeds,
            deployment.find_memory_tokens(name) or 0,
            now,
        )
        limit = self._core.find_cold_limits(deployment).get(name)
        if limit is None:
            return room
        cold = sum(backend.cold_until > now for backend in usable)
        return replace(room, cold=cold, cold_rate=limit.per_second)

    def _sum_demands(
        self, demands: Sequence[Demand], room: ServiceRoom
    ) -> Mapping[Claimant, ClaimantDemand]:
        sums: defaultdict[Claimant, ClaimantDemand] = defaultdict(
            lambda: ClaimantDemand(0.0)
        )
        for demand in demands:
            claimant = self._order.find_claimant(demand.route, demand.team)
            known = sums[claimant]
            engines = estimate_engines(demand, room, self._lengths)
            sums[claimant] = ClaimantDemand(
                known.engines + engines,
                arrived=known.arrived + demand.arrived,
                admitted=known.admitted + demand.admitted,
            )
        return sums

    def _describe(
        self, call: HostedCall, choice: Choice, now: Millis
    ) -> Applicant:
        demand, route = call.parameters.demand, call.route.name
        parts = () if demand is None else demand.parts
        announced = 0 if demand is None else demand.output_tokens
        duration = self._lengths.find_duration(
            route, _SHORT_QUANTILE, announced
        )
        return Applicant(
            request=call.request,
            service=call.service,
            claimant=self._order.find_claimant(route, call.team),
            age=call.age,
            expected=choice.expected,
            left=call.deadline - now,
            duration=duration or 0.0,
            held=now - call.started,
            queue=choice.waiting,
            subject=parts[-2].name if len(parts) > 1 else '',
            size=len(call.body),
            is_resumed=bool(call.parameters.last_event),
            is_idle=self._is_idle(call, choice, now),
        )

    def _is_idle(self, call: HostedCall, choice: Choice, now: Millis) -> bool:
        """Return whether a call would be read at once, with places to spare."""
        record = choice.backend.record
        work = self._figures.view.find_work(record.start, now)
        if work.unread or work.runs * 2 >= record.slots:
            return False
        model, deployment = call.parameters.demand, self._core.deployment
        if model is None or deployment is None:
            return False
        needed = work.memory + work.copies + self.estimate_memory(call, model)
        return needed <= (deployment.find_memory_tokens(call.service) or 0)

    def _reject(
        self, call: HostedCall, choice: Choice, refused: Refused
    ) -> Rejection:
        core, rank = self._core, refused.claimant.label
        label = f'{refused.reason.value} {rank}'
        core.metrics.add(Count.ADMISSION_REFUSALS, label=label)
        server = choice.backend.record.server
        core.log.write(
            EventName.ADMISSION_REFUSED,
            request=call.request,
            service=call.service,
            team=call.team or None,
            peer=server,
            reason=refused.reason.value,
            rank=rank,
            share=round(refused.share, 3),
            use=round(refused.use, 2),
            expected=round(choice.expected, 1),
            waiting=choice.waiting,
            limit=round(call.deadline - core.clock.now()),
            retry_after=round(refused.retry_after),
        )
        reason = (
            f'{refused.reason.value}: {refused.share:.2f} of the requests of '
            f'rank {rank} are admitted, demand is {refused.use:.2f} of capacity'
        )
        delay = RetryDelay(refused.retry_after, refused.retry_after)
        return Rejection(ErrorKind.OVERLOADED, reason, delay, server)

    def _update_gauges(self, name: str, service: ServiceAdmission) -> None:
        metrics = self._core.metrics
        for rank, use in service.find_rank_use().items():
            metrics.set_gauge(Gauge.RANK_USE, use, f'{name} {rank}')
        metrics.set_gauge(Gauge.ADMISSION_WAITING, len(self._queue))


def _find_tightest_target(deployment: Deployment, service: str) -> Millis:
    return min(
        (
            route.target
            for route in deployment.routes
            if any(share.service == service for share in route.shares)
        ),
        default=0.0,
    )
