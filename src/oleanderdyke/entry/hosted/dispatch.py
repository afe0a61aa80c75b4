"""Find the weights and build what accompanies a request to a server."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.entry.hosted.call import HostedCall, find_context_stores
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.context_stores import NO_CONTEXTS, ContextPlan

# The version by model; None if the server does not report it.
Weights: TypeAlias = Mapping[str, int | None]


def describe_dispatch(
    core: HostedCore, call: HostedCall, version: int | None
) -> dict[str, float]:
    """Return log fields for the time left and for outdated weights.

    Times are in milliseconds. `newest` and `age` are present if newer weights
    are known, which were published at most `age` ago.
    """
    now, demand = core.clock.now(), call.parameters.demand
    limit: dict[str, float] = {'limit': round(call.deadline - now)}
    if demand is None or version is None:
        return limit
    replaced = core.find_replacement_time(demand.model, version)
    if replaced is None:
        return limit
    newest = core.rollout.weights.find_newest(demand.model)
    return {**limit, 'newest': newest, 'age': round(now - replaced, 1)}


def plan_contexts(
    core: HostedCore, call: HostedCall, backend: Backend, salt: str
) -> ContextPlan:
    """Plan which context to fetch and save, or nothing if that is unsafe."""
    demand = call.parameters.demand
    if demand is None or not salt or not demand.parts:
        return NO_CONTEXTS
    now = core.clock.now()
    held = backend.record.versions.get(demand.model, 0)
    replaced = core.find_replacement_time(demand.model, held)
    if replaced is not None and backend.listed_at >= replaced:
        # Other entries may assume that no engine is left on these weights and
        # free their context.
        return NO_CONTEXTS
    contexts = find_context_stores(core, call)
    plan = contexts.plan(
        salt,
        demand.parts,
        data_centre=backend.record.data_centre,
        versions_read_at=core.configuration_requested_at,
        may_save=replaced is None,
        now=now,
    )
    contexts.record_saves(salt, demand.parts, plan, now)
    scheduler = core.scheduling.find_scheduler(call)
    if scheduler is None:
        return plan
    return scheduler.limit_fetch(call, backend, plan)


def find_weights(call: HostedCall, backend: Backend) -> Weights:
    """Return the weight versions that a call may use at a server.

    A call that names no model may use any that the server holds.
    """
    held = backend.record.versions
    demand = call.parameters.demand
    if demand is None:
        return held
    return {demand.model: held.get(demand.model)}


def may_begin(core: HostedCore, weights: Weights, margin: Millis) -> bool:
    """Return whether requests may start on all weights `margin` from now."""
    return all(
        core.may_serve(model, version, margin)
        for model, version in weights.items()
    )
