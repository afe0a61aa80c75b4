"""Bound how long an engine waits for context from a store.

The load it answers: a store whose link is slow or crowded while urgent requests
wait for context that their engine could read in less time.
"""

from __future__ import annotations

from dataclasses import replace

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.context_stores import ContextPlan

# Share of a target that may pass before the prompt is read instead.
_TARGET_SHARE = 0.25


def limit_fetch(
    plan: ContextPlan,
    *,
    begins_at: Millis,
    read_time: Millis,
    target: Millis,
) -> ContextPlan:
    """Return a plan whose fetches end once reading would have been as fast.

    `begins_at` is the time on the engines' clock at which the engine begins
    with the request, `read_time` how long it takes to read what is fetched.
    """
    if not plan.fetched_tokens:
        return plan
    until = begins_at + max(read_time, target * _TARGET_SHARE)
    return replace(plan, until=min(plan.until, until))
