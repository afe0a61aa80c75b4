"""Find which weight versions a call may use, and whether they are current."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.entry.hosted.call import HostedCall
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.kernel.backend import Backend

# The version by model; None if the server does not report it.
Weights: TypeAlias = Mapping[str, int | None]


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
