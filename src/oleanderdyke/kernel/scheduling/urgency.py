"""Order routes by urgency where teams have ranks of their own.

The load it answers: urgent short prompts that wait behind long ones of the same
team, as the team's rank takes the place of both routes' ranks.
"""

from __future__ import annotations

from collections.abc import Iterable

from oleanderdyke.kernel.deployment import Deployment, Route
from oleanderdyke.kernel.scheduling.fair_shares import Claimant
from oleanderdyke.kernel.scheduling.overload import LATE_RANK


class RankOrder:
    """Number the ranks at each service's engines, the most urgent first."""

    def __init__(self) -> None:
        self._route_ranks: dict[str, int] = {}
        self._team_ranks: dict[str, int] = {}
        self._numbers: dict[str, dict[tuple[int, int], int]] = {}

    def configure(self, deployment: Deployment) -> None:
        """Apply a new configuration."""
        self._route_ranks = {
            route.name: route.priority for route in deployment.routes
        }
        self._team_ranks = {
            owner.team: owner.priority
            for owner in deployment.key_owners.values()
            if owner.priority is not None
        }
        self._numbers = {
            service: self._number_ranks(
                route
                for route in deployment.routes
                if any(share.service == service for share in route.shares)
            )
            for service in deployment.services
        }

    def find_claimant(self, route: str, team: str) -> Claimant:
        """Return the claimant of a team's requests on a route."""
        route_rank = self._route_ranks.get(route, 0)
        rank = self._team_ranks.get(team, route_rank)
        return Claimant(rank, team, route_rank)

    def find_rank(self, service: str, claimant: Claimant) -> int | None:
        """Return the rank of a request at engines, None if unknown.

        A team's own rank goes first and the route's orders what is left.
        """
        number = self._numbers.get(service, {}).get(claimant.urgency)
        return None if number is None else min(number, LATE_RANK - 1)

    def _number_ranks(
        self, routes: Iterable[Route]
    ) -> dict[tuple[int, int], int]:
        found = {
            (rank, route.priority)
            for route in routes
            for rank in (route.priority, *self._team_ranks.values())
        }
        return {urgency: at for at, urgency in enumerate(sorted(found))}
