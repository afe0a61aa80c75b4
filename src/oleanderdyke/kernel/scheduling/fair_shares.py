"""Divide the capacity of a service among ranks and teams.

The load it answers: one team's burst, or a burst of a less urgent kind, that
takes the room of all others.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Claimant:
    """Identify the requests of one kind and rank by one team.

    0 is most urgent. A team's own rank goes before that of its routes, so
    `route_rank` orders what has the same `rank`.
    """

    rank: int
    team: str
    route_rank: int = 0

    @property
    def urgency(self) -> tuple[int, int]:
        """Return the sort key of ranks, the most urgent first."""
        return self.rank, self.route_rank

    @property
    def label(self) -> str:
        """Return the ranks for logs and metrics."""
        return f'{self.rank}.{self.route_rank}'


def divide_capacity(
    capacity: float, demands: Mapping[Claimant, float]
) -> dict[Claimant, float]:
    """Return the share of each claimant, at most its demand.

    Ranks are served in order; within a rank, teams get max-min fair shares.
    """
    by_rank: defaultdict[tuple[int, int], dict[Claimant, float]] = defaultdict(
        dict
    )
    for claimant, demand in demands.items():
        by_rank[claimant.urgency][claimant] = demand
    left = max(capacity, 0.0)
    shares: dict[Claimant, float] = {}
    for urgency in sorted(by_rank):
        divided = divide_evenly(left, by_rank[urgency])
        left = max(left - sum(divided.values()), 0.0)
        shares.update(divided)
    return shares


def divide_evenly(
    capacity: float, demands: Mapping[Claimant, float]
) -> dict[Claimant, float]:
    """Return max-min fair shares: what one leaves unused is lent to others."""
    left = capacity
    shares: dict[Claimant, float] = {}
    ordered = sorted(demands, key=lambda each: (demands[each], each))
    for place, claimant in enumerate(ordered):
        share = min(demands[claimant], left / (len(ordered) - place))
        shares[claimant] = share
        left -= share
    return shares
