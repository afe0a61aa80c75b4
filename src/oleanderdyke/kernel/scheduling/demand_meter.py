"""Measure at which rates requests reach this entry, by kind and team.

The load it answers: bursts of one kind of request, or of one team, which a
single entry sees only a small part of.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.scheduling.work import Demand
from oleanderdyke.kernel.servers import ModelDemand

# Requests count less the older they are; short enough to follow a burst.
_MEMORY: Millis = 2 * SECOND
# Rates below one request in about twenty seconds are dropped.
_MIN_RATE = 0.05
_SHARE_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class DemandKey:
    """Identify a kind of request and the team that sends it."""

    service: str
    route: str
    team: str


@dataclass(slots=True)
class _Sums:
    """Sums that decay with time since `at`."""

    at: Millis
    arrived: float = 0.0
    admitted: float = 0.0
    unread: float = 0.0
    output: float = 0.0

    def decay(self, now: Millis) -> None:
        """Bring the sums up to `now`."""
        factor = math.exp(min(self.at - now, 0.0) / _MEMORY)
        self.at = now
        self.arrived *= factor
        self.admitted *= factor
        self.unread *= factor
        self.output *= factor


class ReadTimes(Protocol):
    """How long engines take to read prompts."""

    def find_read_time(self, service: str, now: Millis) -> Millis:
        """Return the usual time per prompt token of a service's engines."""


class DemandMeter:
    """Keep decaying rates of arrivals, admissions and tokens."""

    def __init__(self, read_times: ReadTimes | None = None) -> None:
        self._read_times = read_times
        self._sums: dict[DemandKey, _Sums] = {}
        # Share of a route's prompt tokens that engines had to prefill.
        self._missing_shares: dict[str, float] = {}

    def record_arrival(
        self, key: DemandKey, model: ModelDemand, now: Millis
    ) -> None:
        """Add a request of a caller."""
        sums = self._find(key, now)
        share = self._missing_shares.get(key.route, 1.0)
        sums.arrived += 1
        sums.unread += model.prompt_tokens * share
        sums.output += model.output_tokens

    def record_admission(
        self, key: DemandKey, model: ModelDemand, unread: int, now: Millis
    ) -> None:
        """Add a request that was sent with so many tokens to prefill."""
        self._find(key, now).admitted += 1
        if model.prompt_tokens:
            share = unread / model.prompt_tokens
            known = self._missing_shares.get(key.route, share)
            self._missing_shares[key.route] = known + _SHARE_WEIGHT * (
                share - known
            )

    def list_demand(self, now: Millis) -> Sequence[Demand]:
        """Return the current rates per second, without negligible ones."""
        for key in tuple(self._sums):
            self._find(key, now)
            if self._sums[key].arrived * SECOND / _MEMORY < _MIN_RATE:
                del self._sums[key]
        return [
            _make_demand(key, sums, self._find_read_time(key.service, now))
            for key, sums in self._sums.items()
        ]

    def _find_read_time(self, service: str, now: Millis) -> Millis:
        if self._read_times is None:
            return 0.0
        return self._read_times.find_read_time(service, now)

    def _find(self, key: DemandKey, now: Millis) -> _Sums:
        sums = self._sums.setdefault(key, _Sums(now))
        sums.decay(now)
        return sums


def _make_demand(key: DemandKey, sums: _Sums, read_time: Millis) -> Demand:
    per_second = SECOND / _MEMORY
    return Demand(
        key.service,
        key.route,
        key.team,
        arrived=sums.arrived * per_second,
        admitted=sums.admitted * per_second,
        unread=sums.unread * per_second,
        output=sums.output * per_second,
        reading=sums.unread * per_second * read_time,
    )
