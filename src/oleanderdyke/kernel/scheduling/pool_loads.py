"""How much of a service's engines short and long prompts occupy.

The load it answers: urgent requests with short prompts beside long prompts,
arriving at any of the entries.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.deployment import Deployment, Route
from oleanderdyke.kernel.scheduling.pool_sizes import (
    EnginePower,
    PoolLoad,
    SideDemand,
    find_load,
    sum_demand,
)
from oleanderdyke.kernel.scheduling.speeds import SpeedView
from oleanderdyke.kernel.scheduling.switch import LoadSwitch, list_streams
from oleanderdyke.kernel.scheduling.work import (
    Demand,
    ServerWork,
    WorkView,
    sum_work,
)

# Long enough for the fixed parts of an estimate not to count.
_SAMPLE_TOKENS = 1_000


@dataclass(frozen=True, slots=True)
class PoolMeter:
    """Measure the load of both sides of a service over all entries."""

    deployment: Deployment
    switch: LoadSwitch
    view: WorkView
    speeds: SpeedView

    def measure(
        self, service: str, usable: Sequence[Backend], now: Millis
    ) -> PoolLoad:
        """Return the load of a service whose usable engines are given."""
        is_known = math.isfinite(self.view.find_age(now))
        if not usable or not is_known:
            return PoolLoad(usable=len(usable), is_known=is_known)
        demands = self.view.list_demand(service, now)
        power = self._find_power(service, usable, demands, now)
        work = sum_work(
            self.view.find_work(each.record.start, now) for each in usable
        )
        short, long = self._sum_sides(service, demands, work)
        return PoolLoad(
            usable=len(usable),
            short=find_load(short, power),
            long=find_load(long, power),
            short_arrived=short.arrived,
            short_limit=short.limit,
        )

    def find_memory(self, service: str) -> int:
        """Return the memory of an engine in tokens, 0 if unknown."""
        return self.deployment.find_memory_tokens(service) or 0

    def _find_power(
        self,
        service: str,
        usable: Sequence[Backend],
        demands: Sequence[Demand],
        now: Millis,
    ) -> EnginePower:
        sample = statistics.median(
            self.speeds.estimate_read(each, _SAMPLE_TOKENS, now)
            for each in usable
        )
        return EnginePower(
            read=_find_read_time(demands) or sample / _SAMPLE_TOKENS,
            step=statistics.median(
                self.speeds.estimate_step(each, now) for each in usable
            ),
            slots=min(each.record.slots for each in usable),
            memory=self.find_memory(service),
        )

    def _sum_sides(
        self, service: str, demands: Sequence[Demand], work: ServerWork
    ) -> tuple[SideDemand, SideDemand]:
        """Return the demand of the short and of the long side."""
        long_routes = self.switch.list_long(service)
        short, long = [], []
        for route in list_streams(self.deployment, service):
            found = [each for each in demands if each.route == route.name]
            if route.name in long_routes:
                long.append(self._sum_route(route, found, route.target))
            else:
                limit = min(_list_limits(route))
                short.append(self._sum_route(route, found, limit))
        short_runs = work.runs - work.long_runs
        return (
            sum_demand(short, short_runs),
            sum_demand(long, work.long_runs),
        )

    def _sum_route(
        self, route: Route, found: Sequence[Demand], limit: Millis
    ) -> SideDemand:
        return SideDemand(
            arrived=sum(each.arrived for each in found),
            admitted=sum(each.admitted for each in found),
            unread=sum(each.unread for each in found),
            output=sum(each.output for each in found),
            prompt=self.switch.find_length(route.name) or 0.0,
            limit=limit,
        )


def _find_read_time(demands: Sequence[Demand]) -> Millis:
    """Return the mean time per prompt token that entries learned, 0 if none.

    It is the same at all entries, as sizes of pools have to be.
    """
    known = [each for each in demands if each.reading]
    unread = sum(each.unread for each in known)
    return sum(each.reading for each in known) / unread if unread else 0.0


def _list_limits(route: Route) -> Iterator[Millis]:
    """Yield the times in which a short prompt has to be read.

    It is read in one piece, which makes the other runs of its engine pause.
    """
    yield route.target
    if route.gap:
        yield route.gap
