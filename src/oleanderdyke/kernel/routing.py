"""Weigh the ways in which a replica can come by a prompt's context."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import SEGMENT_TOKENS

# A prefix that is there costs little to finish, so it need not wait behind
# one that is not.
SHORT_PRIORITY = 0
LONG_PRIORITY = 1
BACKGROUND_PRIORITY = 10


@dataclass(frozen=True, slots=True)
class Costs:
    """Weigh time, recomputed tokens and link bytes against each other."""

    w_ttft: float
    w_recompute: float
    w_link: float
    late_after: Millis
    late_weight: float
    kv_bytes_per_token: int
    short_tokens: int = 0


@dataclass(frozen=True, slots=True)
class LinkView:
    """Show the link of a store: what is under way and what it carries."""

    backlog_bytes: float
    bytes_per_second: float
    latency: Millis = 0.0


@dataclass(frozen=True, slots=True)
class ReplicaEstimate:
    """Show how one replica stands towards one prompt.

    `cached` segments are there, or will be at `ready` from now; the next
    `covered` segments could be fetched over `link`. Requests with little to
    recompute wait `short_wait` only, since they go first.
    """

    wait: Millis
    short_wait: Millis
    tokens_per_second: float
    tokens: int
    cached: int
    ready: Millis = 0.0
    covered: int = 0
    link: LinkView | None = None
    latency: Millis = 0.0


@dataclass(frozen=True, slots=True)
class PrefillPlan:
    """Say how many segments to fetch and what that costs."""

    fetched: int
    rest: int
    time: Millis
    cost: float


def plan_prefill(costs: Costs, estimate: ReplicaEstimate) -> PrefillPlan:
    """Return the cheapest mix of fetching and recomputing."""
    return min(
        (
            _plan(costs, estimate, count)
            for count in _list_fetch_counts(costs, estimate)
        ),
        key=_get_plan_cost,
    )


def _get_plan_cost(plan: PrefillPlan) -> float:
    return plan.cost


def _list_fetch_counts(
    costs: Costs, estimate: ReplicaEstimate
) -> Iterator[int]:
    yield 0
    if not estimate.covered or estimate.link is None:
        return
    yield estimate.covered
    fitting = _count_fitting(costs, estimate, estimate.link)
    if 0 < fitting < estimate.covered:
        yield fitting


def _count_fitting(
    costs: Costs, estimate: ReplicaEstimate, link: LinkView
) -> int:
    """Count the segments that arrive while the request waits anyway."""
    idle = max(estimate.wait, estimate.ready) - link.latency
    carried = idle * link.bytes_per_second / SECOND - link.backlog_bytes
    return int(carried // (SEGMENT_TOKENS * costs.kv_bytes_per_token))


def _plan(costs: Costs, estimate: ReplicaEstimate, fetched: int) -> PrefillPlan:
    present = (estimate.cached + fetched) * SEGMENT_TOKENS
    rest = max(0, estimate.tokens - present)
    short = rest <= costs.short_tokens
    wait = estimate.short_wait if short else estimate.wait
    start = max(wait, estimate.ready)
    link_bytes = fetched * SEGMENT_TOKENS * costs.kv_bytes_per_token
    if fetched and estimate.link is not None:
        start = max(start, estimate_fetch(estimate.link, link_bytes))
    time = estimate.latency + start
    time += rest * SECOND / estimate.tokens_per_second
    cost = compute_cost(costs, time=time, tokens=rest, link_bytes=link_bytes)
    return PrefillPlan(fetched, rest, time, cost)


def lower_priority(priority: int, *, missing: int, short_tokens: int) -> int:
    """Let a request go behind short ones when too many tokens are missing."""
    return max(priority, LONG_PRIORITY) if missing > short_tokens else priority


def estimate_fetch(link: LinkView, link_bytes: float) -> Millis:
    """Estimate how long a fetch takes behind what is under way."""
    queued = link.backlog_bytes + link_bytes
    return link.latency + queued * SECOND / link.bytes_per_second


def compute_cost(
    costs: Costs, *, time: Millis, tokens: float, link_bytes: float
) -> float:
    """Return the weighted cost of one request."""
    late = max(0.0, time - costs.late_after)
    return (
        costs.w_ttft * time
        + costs.late_weight * late
        + costs.w_recompute * tokens
        + costs.w_link * link_bytes
    )


def should_drop_fetch(
    costs: Costs,
    *,
    missing_tokens: int,
    bytes_per_second: float,
    tokens_per_second: float,
    wait: Millis = 0.0,
) -> bool:
    """Return whether recomputing costs less than the rest of a fetch.

    `wait` is the engine's queue.
    """
    link_bytes = missing_tokens * costs.kv_bytes_per_token
    fetch = link_bytes * SECOND / max(1.0, bytes_per_second)
    recompute = wait + missing_tokens * SECOND / tokens_per_second
    keep = compute_cost(costs, time=fetch, tokens=0, link_bytes=link_bytes)
    drop = compute_cost(
        costs, time=recompute, tokens=missing_tokens, link_bytes=0
    )
    return drop < keep
