"""Check what is expected of context under way."""

from __future__ import annotations

from oleanderdyke.kernel.demand import Demand, Plan
from oleanderdyke.policies.sources import Reach, SoonTable

SEGMENTS = tuple(bytes([number]) * 8 for number in range(3))


def test_context_that_was_sent_counts_for_some_seconds_only() -> None:
    table = SoonTable(limit=1_000)
    demand = Demand('r', 't', 's', deadline=1_000, segments=SEGMENTS)
    table.note_sent(demand, Plan('a', 'test'), 0.0)
    table.note_ready('r', 50.0)
    table.note_finished('r')
    assert table.extend('a', SEGMENTS, 0, 1_000.0) == Reach(3)
    # Nothing else was sent since, so nothing swept the table.
    assert table.extend('a', SEGMENTS, 0, 6_000.0) == Reach(0)
