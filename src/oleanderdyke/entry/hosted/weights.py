"""Find the weights that a call would begin on, and whether it may."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.entry.hosted.call import HostedCall
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.kernel.backend import Backend

# The version by model; None where the server doesn't tell it.
Weights: TypeAlias = Mapping[str, int | None]


def find_weights(call: HostedCall, backend: Backend) -> Weights:
    """Return the weights that a call may begin on at a server.

    One that names no model may begin on any that the server holds.
    """
    held = backend.record.versions
    demand = call.parameters.demand
    if demand is None:
        return held
    return {demand.model: held.get(demand.model)}


def may_begin(core: HostedCore, weights: Weights, margin: Millis) -> bool:
    """Return whether all weights may begin requests for a margin more."""
    return all(
        core.may_serve(model, version, margin)
        for model, version in weights.items()
    )
