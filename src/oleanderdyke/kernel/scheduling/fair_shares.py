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
    """Identify the requests of one rank by one team; 0 is most urgent."""

    rank: int
    team: str


def divide_capacity(
    capacity: float, demands: Mapping[Claimant, float]
) -> dict[Claimant, float]:
    """Return the share of each claimant, at most its demand.

    Ranks are served in order; within a rank, teams get max-min fair shares.
    """
    by_rank: defaultdict[int, dict[str, float]] = defaultdict(dict)
    for claimant, demand in demands.items():
        by_rank[claimant.rank][claimant.team] = demand
    left = max(capacity, 0.0)
    shares: dict[Claimant, float] = {}
    for rank in sorted(by_rank):
        divided = divide_evenly(left, by_rank[rank])
        left = max(left - sum(divided.values()), 0.0)
        shares.update(
            (Claimant(rank, team), share) for team, share in divided.items()
        )
    return shares


def divide_evenly(
    capacity: float, demands: Mapping[str, float]
) -> dict[str, float]:
    """Return max-min fair shares: what one leaves unused is lent to others."""
    left, shares = capacity, {}
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for place, (name, demand) in enumerate(ordered):
        share = min(demand, left / (len(ordered) - place))
        shares[name] = share
        left -= share
    return shares
