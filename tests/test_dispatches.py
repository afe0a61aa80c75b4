"""Test which prompt segments an agent is asked to export to a store."""

from __future__ import annotations

from typing import Any

import pytest

from edges import Edge
from oleanderdyke.entry.calls import Call
from oleanderdyke.entry.inbox import Inbox
from oleanderdyke.entry.sender import AttemptSender
from oleanderdyke.kernel.attempt_events import SendDispatch
from oleanderdyke.kernel.blocks import make_hint
from oleanderdyke.kernel.demand import Plan
from oleanderdyke.kernel.objects import ServiceKind, ServiceSpec
from oleanderdyke.links.messages import BackendKind, Dispatch
from oleanderdyke.links.messages.segments import SegmentEvents
from oleanderdyke.policies.exports import ExportPolicy
from oleanderdyke.policies.settings import COUNCIL

pytestmark = pytest.mark.anyio
MODEL = 'asistente'
SEGMENTS = tuple(bytes([number]) * 32 for number in range(4))


class FakeReceiver:
    def expect(self, attempt: int) -> None:
        """Ignore the expected attempt."""


def make_edge() -> Edge:
    """Build an entry with one store that exports reused segments."""
    edge = Edge()
    core = edge.core
    core.exports = ExportPolicy(COUNCIL)
    edge.add_agent(MODEL, BackendKind.ENGINE)
    edge.add_agent('memoria', BackendKind.STORE)
    stores = [core.fleet.find('agent-memoria')]
    core.fleet.stores = lambda _: stores  # type: ignore[method-assign,assignment,return-value] # no catalog
    return edge


async def send(
    edge: Edge, segments: tuple[bytes, ...], attempts: int = 1
) -> tuple[bytes, ...] | None:
    """Send a prompt `attempts` times; return the last segments to keep."""
    call = Call(
        'r',
        'owls',
        MODEL,
        ServiceSpec(ServiceKind.MODEL),
        'POST',
        '/v1/chat/completions',
        (),
        b'{}',
        'd',
        idempotent=True,
        segments=segments,
    )
    receiver: Any = FakeReceiver()
    sender = AttemptSender(edge.core, call, Inbox(), receiver, 1_000.0)
    link, agent = edge.links[f'agent-{MODEL}'], f'agent-{MODEL}'
    replica = edge.core.fleet.find(agent)
    assert replica is not None
    plan = Plan(agent, 'test')
    for attempt in range(1, attempts + 1):
        action = SendDispatch(agent, 'i1', 1, attempt, plan, replica)
        await sender.dispatch(action)
    keep = link.find(Dispatch)[-1].keep
    return None if keep is None else tuple(keep.segments)


async def test_only_reused_segments_are_exported() -> None:
    edge = make_edge()
    # Retries of one request count as one use of its prompt.
    assert await send(edge, SEGMENTS[:2], attempts=3) is None
    assert await send(edge, SEGMENTS) == SEGMENTS[:2]
    assert await send(edge, SEGMENTS) == SEGMENTS


async def test_segments_in_the_store_are_not_exported_again() -> None:
    edge = make_edge()
    held = SegmentEvents(0, tuple(make_hint(each) for each in SEGMENTS[:3]))
    now = edge.core.clock.now()
    edge.core.fleet.on_segments('agent-memoria', 'i1', held, now)
    await send(edge, SEGMENTS[:3])
    assert await send(edge, SEGMENTS) is None
    assert await send(edge, SEGMENTS) == SEGMENTS[3:]
