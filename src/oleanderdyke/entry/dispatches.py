"""Build the messages that dispatch an attempt to an agent."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence

from oleanderdyke.clock import Millis
from oleanderdyke.entry.calls import Call
from oleanderdyke.kernel.attempt_events import SendDispatch
from oleanderdyke.kernel.blocks import make_hint
from oleanderdyke.kernel.demand import Fleet, Plan, Replica
from oleanderdyke.links.messages import BodyChunk, Dispatch, FetchPlan

_BODY_CHUNK_BYTES = 64 * 1024


def make_dispatch(
    call: Call,
    action: SendDispatch,
    fleet: Fleet,
    *,
    offset: int,
    deadline: Millis,
    export_count: int,
) -> Dispatch:
    """Build the dispatch message; body chunks follow separately.

    The first `export_count` segments are to be exported to a store.
    """
    spec = call.spec
    return Dispatch(
        request=call.request,
        attempt=action.attempt,
        team=call.team,
        service=call.service,
        method=call.method,
        path=call.path,
        headers=call.headers,
        digest=call.digest,
        deadline=deadline,
        idempotent=call.idempotent,
        offset=offset,
        background=call.background,
        alone=action.alone,
        claim=action.claim,
        model=spec.model,
        weight_version=spec.version,
        weight_digest=call.weight_digest,
        adapter=spec.adapter,
        namespace=call.namespace,
        segments=call.segments,
        fetch=_make_fetch(call, action.plan, fleet),
        keep=_make_keep(call, action.replica, fleet, export_count),
        incarnation=action.incarnation,
        beat=action.beat,
        priority=action.plan.priority,
    )


def split_body(
    request: str, attempt: int, body: bytes, *, whole: bool
) -> Iterator[BodyChunk]:
    """Split a body into chunks; mark the last if the body is complete."""
    starts = range(0, max(len(body), 1), _BODY_CHUNK_BYTES)
    for sequence, start in enumerate(starts):
        last = whole and start == starts[-1]
        data = body[start : start + _BODY_CHUNK_BYTES]
        yield BodyChunk(request, attempt, sequence, data, last)


def _make_fetch(call: Call, plan: Plan, fleet: Fleet) -> FetchPlan | None:
    store = fleet.find(plan.store) if plan.store and plan.fetched else None
    if store is None:
        return None
    segments = call.segments[plan.cached : plan.cached + plan.fetched]
    return FetchPlan(store.agent, store.address, segments)


def _make_keep(
    call: Call, replica: Replica, fleet: Fleet, export_count: int
) -> FetchPlan | None:
    stores = fleet.stores(call.service) if export_count else ()
    if not stores:
        return None
    hints = [make_hint(segment) for segment in call.segments]
    store = _choose_store(stores, replica, hints, fleet)
    held = fleet.count_leading(store.agent, hints)
    if held >= export_count:
        return None
    return FetchPlan(
        store.agent, store.address, call.segments[held:export_count]
    )


def _choose_store(
    stores: Sequence[Replica],
    replica: Replica,
    hints: Sequence[bytes],
    fleet: Fleet,
) -> Replica:
    """Choose by held segments, then same data centre, then a stable hash."""

    def rank(store: Replica) -> tuple[int, bool, bytes]:
        held = fleet.count_leading(store.agent, hints)
        near = store.data_centre == replica.data_centre
        tie_breaker = hashlib.blake2b(
            hints[0] + store.agent.encode(), digest_size=8
        )
        return held, near, tie_breaker.digest()

    return max(stores, key=rank)
