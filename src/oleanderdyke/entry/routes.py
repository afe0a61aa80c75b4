"""Choose a replica with the router of the entry."""

from __future__ import annotations

from oleanderdyke.entry.core import Core
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.attempt_events import NoRoute, Route, Routed
from oleanderdyke.kernel.demand import Demand, Plan, Refusal
from oleanderdyke.metrics import Timing

_RETRY_AFTER_MS = 1_000.0


def choose_route(core: Core, demand: Demand, action: Route) -> Routed | NoRoute:
    """Choose a replica; prefer an idle one if the request runs alone."""
    start = core.clock.now()
    plan = _choose(core, demand, action)
    core.metrics.time(Timing.DECISION, core.clock.now() - start, demand.service)
    if isinstance(plan, Refusal):
        return NoRoute(plan)
    replica = core.fleet.find(plan.agent)
    if replica is None:
        fault = 'the chosen agent is no longer connected'
        return NoRoute(Refusal(ErrorKind.NO_REPLICA, fault, _RETRY_AFTER_MS))
    return Routed(plan, replica)


def _choose(core: Core, demand: Demand, action: Route) -> Plan | Refusal:
    now = core.clock.now()
    if action.alone:
        idle = core.router.choose(
            demand,
            core.fleet,
            now,
            core.random,
            exclude=action.exclude | _find_busy(core, demand.service),
        )
        if isinstance(idle, Plan):
            return idle
    return core.router.choose(
        demand, core.fleet, now, core.random, exclude=action.exclude
    )


def _find_busy(core: Core, service: str) -> frozenset[str]:
    return frozenset(
        replica.agent
        for replica in core.fleet.replicas(service)
        if replica.load.running + replica.load.waiting > 0
    )
