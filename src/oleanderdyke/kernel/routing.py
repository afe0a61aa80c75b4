"""Cost model of the ways in which a replica obtains a prompt's context."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import SEGMENT_TOKENS

# Requests with few tokens to prefill go first: they take little time and need
# not wait behind long ones.
SHORT_PRIORITY = 0
LONG_PRIORITY = 1
BACKGROUND_PRIORITY = 10


@dataclass(frozen=True, slots=True)
class Costs:
    """Weights of time, recomputed tokens and link bytes in the cost.

    Time beyond `late_after` costs `late_weight` more. Prefills of up to
    `short_tokens` count as short.
    """

    w_ttft: float
    w_recompute: float
    w_link: float
    late_after: Millis
    late_weight: float
    kv_bytes_per_token: int
    short_tokens: int = 0


@dataclass(frozen=True, slots=True)
class LinkView:
    """The load of a store's link and its capacity."""

    backlog_bytes: float
    bytes_per_second: float
    latency: Millis = 0.0


@dataclass(frozen=True, slots=True)
class ReplicaEstimate:
    """Estimates of how one replica could serve a prompt.

    `cached` segments are held, or will be in `ready` milliseconds; the next
    `covered` segments could be fetched over `link`. Requests with few tokens to
    recompute go first and wait only for `short_wait`.
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
    """The number of segments to fetch and the resulting cost.

    `rest` is the number of tokens to recompute.
    """

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
    """Count the segments that can arrive while the request waits anyway."""
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
    """Lower the priority of a request with many tokens to prefill."""
    return max(priority, LONG_PRIORITY) if missing > short_tokens else priority


def estimate_fetch(link: LinkView, link_bytes: float) -> Millis:
    """Estimate how long a fetch takes behind those under way."""
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
    """Return whether recomputing costs less than finishing a fetch.

    `wait` is the queueing time of the engine.
    """
    link_bytes = missing_tokens * costs.kv_bytes_per_token
    fetch = link_bytes * SECOND / max(1.0, bytes_per_second)
    recompute = wait + missing_tokens * SECOND / tokens_per_second
    keep = compute_cost(costs, time=fetch, tokens=0, link_bytes=link_bytes)
    drop = compute_cost(
        costs, time=recompute, tokens=missing_tokens, link_bytes=0
    )
    return drop < keep
