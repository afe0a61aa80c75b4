"""Provide simple routers as baselines for comparison."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.demand import (
    Demand,
    Fleet,
    Plan,
    Refusal,
    Replica,
    Router,
    SegmentHint,
)
from oleanderdyke.kernel.prediction import BacklogTracker
from oleanderdyke.policies.candidates import is_eligible
from oleanderdyke.policies.registries import ROUTERS
from oleanderdyke.policies.settings import PolicySettings

_NO_REPLICA = Refusal(ErrorKind.NO_REPLICA, 'no serving replica', 1_000.0)
# A replica is overloaded when its outstanding requests exceed the mean times
# the factor plus the slack.
_OVERLOAD_FACTOR = 1.5
_OVERLOAD_SLACK = 4


class CountingRouter:
    """Route by outstanding requests, and optionally by cached prefix."""

    def __init__(
        self, settings: PolicySettings, *, by_prefix: bool, fetches: bool
    ) -> None:
        self._backlog = BacklogTracker(
            settings.report_lag, settings.prefill_tokens_per_second
        )
        self._by_prefix = by_prefix
        self._fetches = fetches

    def choose(
        self,
        demand: Demand,
        fleet: Fleet,
        now: Millis,
        random: Random,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> Plan | Refusal:
        """Choose a replica; with `fetches`, fetch all that a store can add."""
        replicas = [
            each
            for each in fleet.replicas(demand.service)
            if is_eligible(each, demand, exclude)
        ]
        if not replicas:
            return _NO_REPLICA
        replica = self._choose_replica(demand, fleet, replicas, random)
        cached_count = fleet.count_leading(replica.agent, demand.segments)
        store, fetched_count = '', 0
        if self._fetches:
            store, fetched_count = _find_store(demand, fleet, cached_count)
        return Plan(
            replica.agent, 'baseline', store, cached_count, fetched_count
        )

    def record_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Count a dispatched request as outstanding."""
        self._backlog.record_sent(demand.request, plan.agent, 0, now)

    def record_first_token(self, request: str, now: Millis) -> None:
        """Ignore the event; baselines do not use first-token times."""

    def record_finished(self, request: str, now: Millis) -> None:
        """Remove a finished request from the outstanding ones."""
        self._backlog.record_finished(request, now)

    def record_segments_removed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Ignore the event; baselines do not correct the reported caches."""

    def record_segments_listed(
        self, agent: str, segments: Sequence[SegmentHint]
    ) -> None:
        """Ignore the event; baselines do not correct the reported caches."""

    def _choose_replica(
        self,
        demand: Demand,
        fleet: Fleet,
        replicas: Sequence[Replica],
        random: Random,
    ) -> Replica:
        """Return the least-loaded replica.

        With `by_prefix`, prefer the replica with the longest cached prefix
        unless it is overloaded.
        """
        counts = {
            each.agent: self._count_outstanding(each) for each in replicas
        }
        least_loaded = min(
            replicas, key=lambda each: (counts[each.agent], random.random())
        )
        if not self._by_prefix:
            return least_loaded
        longest_prefix = max(
            replicas,
            key=lambda each: (
                fleet.count_leading(each.agent, demand.segments),
                -counts[each.agent],
            ),
        )
        mean = sum(counts.values()) / len(counts)
        if (
            counts[longest_prefix.agent]
            > _OVERLOAD_FACTOR * mean + _OVERLOAD_SLACK
        ):
            return least_loaded
        if not fleet.count_leading(longest_prefix.agent, demand.segments):
            return least_loaded
        return longest_prefix

    def _count_outstanding(self, replica: Replica) -> int:
        reported = replica.load.running + replica.load.waiting
        return max(reported, self._backlog.count_outstanding(replica.agent))


def _find_store(
    demand: Demand, fleet: Fleet, cached_count: int
) -> tuple[str, int]:
    best, fetched_count = '', 0
    for store in fleet.stores(demand.service):
        count = fleet.count_leading(store.agent, demand.segments, cached_count)
        if count > fetched_count:
            best, fetched_count = store.agent, count
    return best, fetched_count


@ROUTERS.register('prefix-affinity')
def make_prefix_affinity(settings: PolicySettings) -> Router:
    """Build a router to the longest cached prefix that fetches the rest."""
    return CountingRouter(settings, by_prefix=True, fetches=True)


@ROUTERS.register('always-fetch')
def make_always_fetch(settings: PolicySettings) -> Router:
    """Build a least-loaded router that fetches missing segments."""
    return CountingRouter(settings, by_prefix=False, fetches=True)


@ROUTERS.register('always-recompute')
def make_always_recompute(settings: PolicySettings) -> Router:
    """Build a router to the longest cached prefix that never fetches."""
    return CountingRouter(settings, by_prefix=True, fetches=False)
