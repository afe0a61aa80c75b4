"""Routers, which choose a replica and the source of its context."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.demand import (
    SEGMENT_TOKENS,
    Demand,
    Fleet,
    Plan,
    Refusal,
    Replica,
    Router,
    SegmentHint,
)
from oleanderdyke.kernel.prediction import BacklogTracker
from oleanderdyke.kernel.routing import (
    LONG_PRIORITY,
    SHORT_PRIORITY,
    Costs,
    PrefillPlan,
    ReplicaEstimate,
    plan_prefill,
)
from oleanderdyke.policies.candidates import find_candidates, is_eligible
from oleanderdyke.policies.pressure import CachePressure
from oleanderdyke.policies.registries import ROUTERS
from oleanderdyke.policies.settings import PolicySettings
from oleanderdyke.policies.sources import (
    LinkTracker,
    PendingPrefixes,
    Reach,
    StoreViews,
)

_NO_REPLICA = Refusal(ErrorKind.NO_REPLICA, 'no serving replica', 1_000.0)


@dataclass(frozen=True, slots=True)
class _Choice:
    replica: Replica
    store: str
    reach: Reach
    prefill: PrefillPlan


class PredictedRouter:
    """Minimise the weighted cost of the predicted time to first token."""

    def __init__(self, settings: PolicySettings) -> None:
        self._settings = settings
        self._costs = make_costs(settings)
        self._backlog = BacklogTracker(
            settings.report_lag, settings.prefill_tokens_per_second
        )
        self._links = LinkTracker(settings)
        self._pending = PendingPrefixes(settings.soon_limit)
        self._pressure = CachePressure(settings.pressure_memory)

    def choose(
        self,
        demand: Demand,
        fleet: Fleet,
        now: Millis,
        random: Random,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> Plan | Refusal:
        """Return the cheapest plan among affinity and random candidates."""
        candidates = find_candidates(
            demand,
            fleet,
            self._pending,
            random,
            settings=self._settings,
            exclude=exclude,
        )
        if not candidates:
            return _NO_REPLICA
        stores = StoreViews(demand, fleet, self._links, now)
        choices = [
            self._evaluate(demand, fleet, each, stores, now)
            for each in candidates
        ]
        best = self._choose_cheapest(demand, choices, now)
        return _make_plan(best, self._settings)

    def record_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Record the prefill, the fetch and the prefix of a dispatch."""
        present = (plan.cached + plan.fetched) * SEGMENT_TOKENS
        tokens = max(0, demand.tokens - present)
        added = demand.tokens - plan.cached * SEGMENT_TOKENS
        self._pressure.record_added(plan.agent, added, now)
        self._backlog.record_sent(
            demand.request,
            plan.agent,
            tokens,
            now,
            short=plan.priority == SHORT_PRIORITY,
        )
        self._links.record_sent(demand.request, plan, now)
        self._pending.record_sent(demand, plan, now)

    def record_first_token(self, request: str, now: Millis) -> None:
        """Record that the context of a request is in place."""
        self._backlog.record_first_token(request, now)
        self._links.remove(request)
        self._pending.mark_ready(request, now)

    def record_finished(self, request: str, now: Millis) -> None:
        """Remove a request that has ended."""
        self._backlog.record_finished(request, now)
        self._links.remove(request)
        self._pending.record_finished(request)

    def record_segments_removed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Drop expected segments that an agent has removed."""
        self._pending.record_segments_removed(agent, segments)

    def record_segments_listed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Drop expected segments that an agent's full list lacks."""
        self._pending.record_segments_listed(agent, segments)

    def _evaluate(
        self,
        demand: Demand,
        fleet: Fleet,
        replica: Replica,
        stores: StoreViews,
        now: Millis,
    ) -> _Choice:
        held = fleet.count_leading(replica.agent, demand.segments)
        reach = self._pending.extend(replica.agent, demand.segments, held, now)
        store = stores.find(reach.cached)
        estimate = ReplicaEstimate(
            wait=self._backlog.estimate_wait(replica, now),
            short_wait=self._backlog.estimate_short_wait(replica, now),
            tokens_per_second=self._backlog.find_rate(replica),
            tokens=demand.tokens,
            cached=reach.cached,
            ready=reach.ready,
            covered=store.covered,
            link=store.link,
            latency=self._find_latency(demand, replica),
        )
        prefill = plan_prefill(self._costs, estimate)
        return _Choice(replica, store.agent, reach, prefill)

    def _choose_cheapest(
        self, demand: Demand, choices: Sequence[_Choice], now: Millis
    ) -> _Choice:
        displaced = self._pressure.estimate_displaced(
            {
                each.replica.agent: demand.tokens
                - each.reach.cached * SEGMENT_TOKENS
                for each in choices
            },
            now,
        )
        weight = self._settings.w_pressure
        home = find_home_agent(demand, choices)
        home_weight = self._settings.w_home

        def find_cost(each: _Choice) -> float:
            cost = each.prefill.cost + weight * displaced[each.replica.agent]
            if each.replica.agent != home:
                added = demand.tokens - each.reach.cached * SEGMENT_TOKENS
                cost += home_weight * added
            return cost

        return min(choices, key=find_cost)

    def _find_latency(self, demand: Demand, replica: Replica) -> Millis:
        near = demand.data_centre in {'', replica.data_centre}
        return 0.0 if near else self._settings.far_latency


class LeastOutstandingRouter:
    """Choose the replica with the fewest requests; fetch nothing."""

    def __init__(self, settings: PolicySettings) -> None:
        self._backlog = BacklogTracker(
            settings.report_lag, settings.prefill_tokens_per_second
        )

    def choose(
        self,
        demand: Demand,
        fleet: Fleet,
        now: Millis,
        random: Random,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> Plan | Refusal:
        """Return the plan for the replica with the fewest known requests."""
        replicas = [
            each
            for each in fleet.replicas(demand.service)
            if is_eligible(each, demand, exclude)
        ]
        if not replicas:
            return _NO_REPLICA
        least = min(
            replicas,
            key=lambda each: (self._count(each), random.random()),
        )
        held = fleet.count_leading(least.agent, demand.segments)
        return Plan(least.agent, 'least outstanding', cached=held)

    def record_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Count a dispatched request."""
        self._backlog.record_sent(demand.request, plan.agent, 0, now)

    def record_first_token(self, request: str, now: Millis) -> None:
        """Ignore the event: only whole requests are counted."""

    def record_finished(self, request: str, now: Millis) -> None:
        """Remove a request that has ended."""
        self._backlog.record_finished(request, now)

    def record_segments_removed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Ignore the event: no prefixes are tracked."""

    def record_segments_listed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Ignore the event: no prefixes are tracked."""

    def _count(self, replica: Replica) -> int:
        reported = replica.load.running + replica.load.waiting
        return max(reported, self._backlog.count_outstanding(replica.agent))


def find_home_agent(demand: Demand, choices: Sequence[_Choice]) -> str:
    """Return the agent that every entry prefers for uncached context."""
    depth = max(each.reach.cached for each in choices)
    if depth >= len(demand.segments):
        return ''
    segment = demand.segments[depth]
    return max(
        (each.replica.agent for each in choices),
        key=lambda agent: zlib.crc32(segment + agent.encode()),
    )


def make_costs(settings: PolicySettings) -> Costs:
    """Build the cost weights from settings."""
    return Costs(
        w_ttft=settings.w_ttft,
        w_recompute=settings.w_recompute,
        w_link=settings.w_link,
        late_after=settings.late_after,
        late_weight=settings.late_weight,
        kv_bytes_per_token=settings.kv_bytes_per_token,
        short_tokens=settings.short_tokens,
    )


def _make_plan(choice: _Choice, settings: PolicySettings) -> Plan:
    prefill = choice.prefill
    reach = choice.reach
    short = prefill.rest <= settings.short_tokens
    reason = (
        f'cached {reach.cached} fetch {prefill.fetched} '
        f'recompute {prefill.rest} tokens in {prefill.time:.0f} ms'
    )
    return Plan(
        choice.replica.agent,
        reason,
        store=choice.store if prefill.fetched or reach.joined else '',
        cached=reach.cached - reach.joined,
        fetched=prefill.fetched + reach.joined,
        predicted=prefill.time,
        joined=reach.joined,
        priority=SHORT_PRIORITY if short else LONG_PRIORITY,
    )


@ROUTERS.register('predicted')
def make_predicted(settings: PolicySettings) -> Router:
    """Build the router that predicts times to first token."""
    return PredictedRouter(settings)


@ROUTERS.register('least-outstanding')
def make_least_outstanding(settings: PolicySettings) -> Router:
    """Build the router that counts requests only."""
    return LeastOutstandingRouter(settings)
