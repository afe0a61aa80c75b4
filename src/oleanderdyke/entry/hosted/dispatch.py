"""Say what a backend server is told beside a request."""

from __future__ import annotations

from oleanderdyke.entry.hosted.call import HostedCall, find_contexts
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.context_stores import NO_CONTEXTS, ContextPlan


def describe_dispatch(
    core: HostedCore, call: HostedCall, version: int | None
) -> dict[str, float]:
    """Say what is left of the deadline, and how old the weights are.

    Where newer ones are known, that news is at most `age` old.
    """
    now, demand = core.clock.now(), call.asked.demand
    limit: dict[str, float] = {'limit': round(call.deadline - now)}
    if demand is None or version is None:
        return limit
    replaced = core.find_replaced(demand.model, version)
    if replaced is None:
        return limit
    newest = core.rollout.weights.find_newest(demand.model)
    return {**limit, 'newest': newest, 'age': round(now - replaced, 1)}


def plan_contexts(
    core: HostedCore, call: HostedCall, backend: Backend, salt: str
) -> ContextPlan:
    """Say where context comes from and goes to, nowhere where in doubt."""
    demand = call.asked.demand
    if demand is None or not salt or not demand.parts:
        return NO_CONTEXTS
    now = core.clock.now()
    held = backend.record.versions.get(demand.model, 0)
    replaced = core.find_replaced(demand.model, held)
    if replaced is not None and backend.listed_at >= replaced:
        # Others may think that no engine is left on these weights.
        return NO_CONTEXTS
    contexts = find_contexts(core, call)
    plan = contexts.plan(
        salt,
        demand.parts,
        data_centre=backend.record.data_centre,
        versions_read_at=core.configuration_asked,
        may_save=replaced is None,
        now=now,
    )
    contexts.record_saves(salt, demand.parts, plan, now)
    return plan
