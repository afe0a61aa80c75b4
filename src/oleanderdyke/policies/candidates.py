"""Selection of the few replicas to predict the cost for."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from oleanderdyke.kernel.demand import (
    SEGMENT_TOKENS,
    Demand,
    Fleet,
    Replica,
    SegmentHint,
)
from oleanderdyke.links.messages import BackendKind
from oleanderdyke.policies.settings import PolicySettings
from oleanderdyke.policies.sources import PendingPrefixes

_TRIES_PER_SAMPLE = 4
_MAX_HOLDERS_CHECKED = 8


def is_eligible(
    replica: Replica, demand: Demand, exclude: frozenset[str]
) -> bool:
    """Return whether a replica may run a request."""
    if replica.agent in exclude or replica.service != demand.service:
        return False
    return demand.weight_digest in {'', replica.weight_digest}


def find_candidates(
    demand: Demand,
    fleet: Fleet,
    pending: PendingPrefixes,
    random: Random,
    *,
    settings: PolicySettings,
    exclude: frozenset[str],
) -> Sequence[Replica]:
    """Return all replicas of a small fleet, else holders and samples."""
    replicas = fleet.replicas(demand.service)
    if len(replicas) <= settings.scan_limit:
        return [
            replica
            for replica in replicas
            if is_eligible(replica, demand, exclude)
        ]
    chosen: dict[str, Replica] = {}
    for agent in _find_holders(
        demand.segments, fleet, pending, random, settings
    ):
        replica = fleet.find(agent)
        if replica is not None and is_eligible(replica, demand, exclude):
            chosen[agent] = replica
    for replica in _sample(replicas, demand, random, settings, exclude):
        chosen[replica.agent] = replica
    if chosen:
        return list(chosen.values())
    return [
        replica for replica in replicas if is_eligible(replica, demand, exclude)
    ]


def _sample(
    replicas: Sequence[Replica],
    demand: Demand,
    random: Random,
    settings: PolicySettings,
    exclude: frozenset[str],
) -> Iterable[Replica]:
    found = 0
    for _ in range(settings.samples * _TRIES_PER_SAMPLE):
        replica = replicas[int(random.random() * len(replicas))]
        if not is_eligible(replica, demand, exclude):
            continue
        yield replica
        found += 1
        if found == settings.samples:
            return


def estimate_missing(demand: Demand, fleet: Fleet) -> int:
    """Estimate the prompt tokens that no engine holds."""
    low, high = 0, len(demand.segments)
    while low < high:
        middle = (low + high) // 2
        if _is_held(fleet, demand.segments[middle]):
            low = middle + 1
        else:
            high = middle
    return max(0, demand.tokens - low * SEGMENT_TOKENS)


def _is_held(fleet: Fleet, segment: SegmentHint) -> bool:
    for agent in fleet.holders(segment)[:_MAX_HOLDERS_CHECKED]:
        replica = fleet.find(agent)
        if replica is not None and replica.backend is BackendKind.ENGINE:
            return True
    return False


def _find_holders(
    segments: Sequence[SegmentHint],
    fleet: Fleet,
    pending: PendingPrefixes,
    random: Random,
    settings: PolicySettings,
) -> Sequence[str]:
    """Return some holders of the longest prefix that any agent holds.

    An agent that holds a segment holds all earlier ones, except for evictions
    under way, so a binary search finds the depth. A wrong depth costs only
    time.
    """
    low, high = 0, len(segments)
    best: list[str] = []
    while low < high:
        middle = (low + high) // 2
        holders = [*fleet.holders(segments[middle])]
        holders += pending.holders(segments[middle])
        if holders:
            best = holders
            low = middle + 1
        else:
            high = middle
    if len(best) <= settings.affinity_limit:
        return best
    return random.sample(best, settings.affinity_limit)
