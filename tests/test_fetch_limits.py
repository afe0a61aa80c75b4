"""Bound the wait for context while the link of a store is slow."""

from __future__ import annotations

import pytest

from oleanderdyke.kernel.context_stores import ContextPlan, Source
from oleanderdyke.kernel.scheduling.fetch_limits import limit_fetch

SLOW = ContextPlan((Source('store:1', 650), None), ('', ''), until=9_000.0)


@pytest.mark.parametrize(
    ('read_time', 'until'),
    [
        pytest.param(15.0, 5_100.0, id='a quarter of the target'),
        pytest.param(300.0, 5_300.0, id='as long as reading takes'),
        pytest.param(8_000.0, 9_000.0, id='never beyond what is safe'),
    ],
)
def test_a_fetch_from_a_slow_store_ends_in_time_to_read(read_time, until):
    found = limit_fetch(
        SLOW, begins_at=5_000.0, read_time=read_time, target=400.0
    )
    assert found.until == until
    assert (found.sources, found.sinks) == (SLOW.sources, SLOW.sinks)


def test_a_plan_without_fetches_has_no_deadline():
    plan = ContextPlan((None, None), ('store:1', ''))
    assert (
        limit_fetch(plan, begins_at=5_000.0, read_time=15.0, target=400.0)
        is plan
    )
