"""Expected context of dispatches that are under way."""

from __future__ import annotations

from typing import Any

import pytest

from edges import Edge
from oleanderdyke.entry.agents import AgentLinks
from oleanderdyke.entry.configuration import ConfigurationFeed
from oleanderdyke.kernel.demand import Demand, Plan
from oleanderdyke.links.messages import BackendKind
from oleanderdyke.links.messages.segments import SegmentEvents
from oleanderdyke.policies.sources import PendingPrefixes, Reach

pytestmark = pytest.mark.anyio
MODEL = 'asistente'
SEGMENTS = tuple(bytes([number]) * 8 for number in range(3))


def test_a_removal_after_a_dispatch_overrides_it() -> None:
    table = PendingPrefixes(limit=1_000)
    first = Demand('r', 't', 's', deadline=1_000, segments=SEGMENTS)
    other = (*SEGMENTS[:2], b'o' * 8, b'p' * 8)
    second = Demand('q', 't', 's', deadline=1_000, segments=other)
    table.record_sent(first, Plan('a', 'test'), 0.0)
    table.mark_ready('r', 50.0)
    table.record_sent(second, Plan('a', 'test', cached=2), 60.0)
    table.mark_ready('q', 80.0)
    assert table.extend('a', other, 0, 90.0) == Reach(4)
    table.record_segments_removed('b', SEGMENTS)
    assert table.extend('a', SEGMENTS, 0, 90.0) == Reach(3)
    table.record_segments_removed('a', SEGMENTS[1:2])
    # Segments after a gap are of no use, whichever dispatch brought them.
    assert table.extend('a', SEGMENTS, 0, 90.0) == Reach(1)
    assert table.extend('a', other, 0, 90.0) == Reach(1)
    assert table.extend('a', other, 2, 90.0) == Reach(4)
    assert not table.holders(SEGMENTS[1])
    # A later dispatch brings the segment back.
    again = Demand('s', 't', 's', deadline=1_000, segments=SEGMENTS)
    table.record_sent(again, Plan('a', 'test', cached=1), 100.0)
    table.mark_ready('s', 120.0)
    assert table.extend('a', SEGMENTS, 0, 130.0) == Reach(3)
    table.record_finished('s')


def test_pending_context_expires_after_some_seconds() -> None:
    table = PendingPrefixes(limit=1_000)
    demand = Demand('r', 't', 's', deadline=1_000, segments=SEGMENTS)
    table.record_sent(demand, Plan('a', 'test'), 0.0)
    table.mark_ready('r', 50.0)
    table.record_finished('r')
    assert table.extend('a', SEGMENTS, 0, 1_000.0) == Reach(3)
    # No later dispatch has removed expired segments from the table.
    assert table.extend('a', SEGMENTS, 0, 6_000.0) == Reach(0)


def test_a_full_list_overrides_all_but_pending_segments() -> None:
    table = PendingPrefixes(limit=1_000)
    for request, agent in (('r', 'a'), ('q', 'b')):
        demand = Demand(request, 't', 's', deadline=1_000, segments=SEGMENTS)
        table.record_sent(demand, Plan(agent, 'test'), 0.0)
    table.record_segments_listed('a', ())
    assert table.extend('a', SEGMENTS, 0, 40.0).cached == 3
    for request in 'rq':
        table.mark_ready(request, 50.0)
    table.record_segments_listed('a', SEGMENTS[:1])
    assert table.extend('a', SEGMENTS, 0, 60.0) == Reach(1)
    assert table.extend('b', SEGMENTS, 0, 60.0) == Reach(3)
    # Segments that another dispatch is bringing again are kept.
    again = Demand('s', 't', 's', deadline=1_000, segments=SEGMENTS)
    table.record_sent(again, Plan('a', 'test', cached=1), 70.0)
    table.record_segments_listed('a', SEGMENTS[:1])
    assert table.extend('a', SEGMENTS, 1, 80.0).cached == 3


@pytest.mark.parametrize(('full', 'cached'), [(True, 1), (False, 3)])
async def test_entry_drops_segments_that_a_full_list_lacks(
    *, full: bool, cached: int
) -> None:
    edge = Edge()
    link: Any = edge.add_agent(MODEL, BackendKind.ENGINE)
    agents = AgentLinks(edge.core, ConfigurationFeed(edge.core, edge.log))  # type: ignore[arg-type] # a fake log
    demand = Demand('r', 't', MODEL, deadline=1_000, segments=SEGMENTS)
    router, now = edge.core.router, edge.core.clock.now()
    router.record_sent(demand, Plan(link.peer.process, 'test'), now)
    router.record_first_token('r', now)
    events = SegmentEvents(0, added=SEGMENTS[:1], full=full)
    await agents.on_message(link, events)
    plan = router.choose(demand, edge.core.fleet, now, edge.core.random)
    assert isinstance(plan, Plan)
    assert plan.cached == cached


async def test_entry_drops_segments_that_an_agent_removed() -> None:
    edge = Edge()
    link: Any = edge.add_agent(MODEL, BackendKind.ENGINE)
    agents = AgentLinks(edge.core, ConfigurationFeed(edge.core, edge.log))  # type: ignore[arg-type] # a fake log
    agent = link.peer.process
    demand = Demand('r', 't', MODEL, deadline=1_000, segments=SEGMENTS)
    router, now = edge.core.router, edge.core.clock.now()
    router.record_sent(demand, Plan(agent, 'test'), now)
    router.record_first_token('r', now)
    for removed, cached in (((), 3), (SEGMENTS[:1], 0)):
        await agents.on_message(link, SegmentEvents(0, removed=removed))
        plan = router.choose(demand, edge.core.fleet, now, edge.core.random)
        assert isinstance(plan, Plan)
        assert plan.cached == cached
