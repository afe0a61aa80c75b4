"""Route with exact knowledge of the current state and the same costs."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import TYPE_CHECKING

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.demand import (
    SEGMENT_TOKENS,
    Demand,
    Fleet,
    Plan,
    Refusal,
    Replica,
    SegmentHint,
)
from oleanderdyke.kernel.routing import (
    LONG_PRIORITY,
    SHORT_PRIORITY,
    LinkView,
    PrefillPlan,
    ReplicaEstimate,
    plan_prefill,
)
from oleanderdyke.policies.candidates import is_eligible
from oleanderdyke.policies.pressure import CachePressure
from oleanderdyke.policies.routing import make_costs

if TYPE_CHECKING:
    from bench.world import World

_NO_REPLICA = Refusal(ErrorKind.NO_REPLICA, 'no serving replica', 1_000.0)


class OracleRouter:
    """Route by the current queues, caches and links, without delay.

    Future arrivals are unknown to it.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._costs = make_costs(world.settings)
        self._pressure = CachePressure(world.settings.pressure_memory)

    def choose(
        self,
        demand: Demand,
        fleet: Fleet,
        now: Millis,
        random: Random,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> Plan | Refusal:
        """Return the plan with the lowest cost over all eligible replicas."""
        options = [
            self._estimate(demand, each)
            for each in fleet.replicas(demand.service)
            if is_eligible(each, demand, exclude)
            and self._world.agents[each.agent].engine.up
        ]
        if not options:
            return _NO_REPLICA
        displaced = self._pressure.estimate_displaced(
            {
                plan.agent: demand.tokens
                - (plan.cached + plan.joined) * SEGMENT_TOKENS
                for _, plan in options
            },
            now,
        )
        weight = self._world.settings.w_pressure
        return min(
            options,
            key=lambda each: each[0].cost + weight * displaced[each[1].agent],
        )[1]

    def record_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Record the tokens added to a cache, as the policy does."""
        cached = plan.cached + plan.joined
        added = demand.tokens - cached * SEGMENT_TOKENS
        self._pressure.record_added(plan.agent, added, now)

    def record_first_token(self, request: str, now: Millis) -> None:
        """Ignore the event; the state is read directly."""

    def record_finished(self, request: str, now: Millis) -> None:
        """Ignore the event; the state is read directly."""

    def record_segments_removed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Ignore the event; the state is read directly."""

    def record_segments_listed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Ignore the event; the state is read directly."""

    def _estimate(
        self, demand: Demand, replica: Replica
    ) -> tuple[PrefillPlan, Plan]:
        world = self._world
        agent = world.agents[replica.agent]
        engine = agent.engine
        rate = world.deployment.prefill_rate
        segments = demand.segments
        held = engine.cache.count_leading(segments)
        pending = engine.list_coming()
        joined = held
        while joined < len(segments) and agent.is_coming(segments[joined]):
            joined += 1
        reachable = joined
        while reachable < len(segments) and segments[reachable] in pending:
            reachable += 1
        store = world.store
        covered = (
            store.cache.count_leading(segments, reachable) if store.up else 0
        )
        link = LinkView(
            store.link.count_waiting(),
            store.link.rate,
            world.deployment.latency,
        )
        fetching = agent.count_fetching(segments[held:joined])
        estimate = ReplicaEstimate(
            wait=engine.count_tokens(LONG_PRIORITY) * SECOND / rate,
            short_wait=engine.count_tokens(SHORT_PRIORITY) * SECOND / rate,
            tokens_per_second=rate,
            tokens=demand.tokens,
            cached=reachable,
            ready=fetching * SECOND / store.link.active_share,
            covered=covered,
            link=link,
        )
        prefill = plan_prefill(self._costs, estimate)
        joins = joined - held
        cached, fetched = reachable, prefill.fetched
        if joins:
            cached, fetched = held, reachable - held + prefill.fetched
        plan = Plan(
            replica.agent,
            'oracle',
            store=store.name if fetched else '',
            cached=cached,
            fetched=fetched,
            predicted=prefill.time,
            joined=joins,
            priority=SHORT_PRIORITY
            if prefill.rest <= self._costs.short_tokens
            else LONG_PRIORITY,
        )
        return prefill, plan
