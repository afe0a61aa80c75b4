"""Scores of engines under urgent short prompts beside long ones."""

from __future__ import annotations

from random import Random

import pytest

from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.scheduling.costs import Costs, PricedCall
from oleanderdyke.kernel.scheduling.placement import (
    CallDemand,
    choose_among,
    is_usable,
)
from oleanderdyke.kernel.scheduling.scoring import (
    HoldUpCost,
    MemoryCost,
    SampledDraw,
    WorkEstimate,
)
from oleanderdyke.kernel.scheduling.work import NO_WORK, ServerWork
from oleanderdyke.kernel.servers import ModelDemand, ServerLoad, ServerRecord
from tests.scheduling import ServiceSpeeds

NOW = 5_000.0
SPEEDS = ServiceSpeeds()
SHORT, LONG = ModelDemand('m', 800, 40), ModelDemand('m', 9_000, 10)
CAPACITY = 40_000


class View:
    """Work by name of the server."""

    def __init__(self, **work: ServerWork) -> None:
        self.work = work

    def find_work(self, start, _now):
        return self.work.get(start.server, NO_WORK)


def make_backend(server: str, **fields) -> Backend:
    record = ServerRecord(
        server, 'desk', f'{server}:1', 'hall', slots=8, versions={'m': 1}
    )
    return Backend(record, last_heard_at=NOW, **fields)


def choose(view, model=SHORT, *, is_current=True, a=None, draw=None):
    costs = Costs(
        service='desk',
        route='ask',
        team='',
        rank=0,
        data_centre='hall',
        target=400.0,
        first_byte=WorkEstimate(SPEEDS, is_current),
        view=view,
        speeds=SPEEDS,
        memory=model.memory_tokens,
        terms=(HoldUpCost(), MemoryCost(CAPACITY)),
        draw=draw,
    )
    demand = CallDemand('desk', 'hall', model, costs=costs)
    backends = [a or make_backend('a'), make_backend('b')]
    return choose_among(demand, backends, NOW).backend.record.server


@pytest.mark.parametrize(
    ('model', 'work'),
    [
        # A first token waits behind the long prompts of other entries.
        (SHORT, ServerWork(unread=20_000, runs=2, long_runs=2)),
        # A long prompt would hold up many runs.
        (LONG, ServerWork(runs=7)),
        # A long prompt would make the engine preempt runs.
        (LONG, ServerWork(memory=33_000, runs=1)),
        (LONG, ServerWork(copies=33_000)),
        # All slots are taken.
        (SHORT, ServerWork(runs=8)),
    ],
)
def test_a_call_avoids_the_engine_that_others_fill(model, work):
    assert choose(View(a=work), model) == 'b'
    assert choose(View(b=work), model) == 'a'


def test_without_news_of_others_the_servers_reports_decide():
    busy = make_backend('a', load=ServerLoad(8, 9, 8), load_at=NOW)
    assert choose(View(), is_current=False, a=busy) == 'b'
    own = ServerWork(unread=900, runs=1)
    assert choose(View(b=own), is_current=False) == 'a'


def test_first_byte_counts_the_prompts_of_all_entries():
    backend, estimate = make_backend('a'), WorkEstimate(SPEEDS)
    idle, filled = (make_call(backend, unread) for unread in (0, 5_000))
    delay = estimate.estimate_first_byte(
        filled, backend, NOW
    ) - estimate.estimate_first_byte(idle, backend, NOW)
    whole = SPEEDS.estimate_read(backend, 5_000, NOW)
    assert whole / 2 <= delay <= whole


def make_call(backend: Backend, unread: int) -> PricedCall:
    return PricedCall(
        'desk',
        'ask',
        '',
        0,
        SHORT,
        'hall',
        target=400.0,
        missing=1_000,
        work=ServerWork(unread=unread),
        read_time=SPEEDS.estimate_read(backend, 1.0, NOW),
    )


def test_a_draw_takes_no_server_that_is_far_worse():
    draw = SampledDraw(Random(1))
    chosen = {draw.choose([5.0, 9.0, 8.0, 500.0], 10.0) for _ in range(200)}
    assert chosen == {0, 1, 2}
    filled = View(a=ServerWork(unread=90_000))
    assert {choose(filled, draw=draw) for _ in range(50)} == {'b'}


def test_a_server_that_reads_prompts_of_other_entries_is_not_silent():
    """Bursts of long prompts: its entries wait over a second for each other."""
    backend = make_backend('a', running=1)
    backend.last_heard_at = NOW - 1_200
    assert not is_usable(backend, NOW)
    backend.unread_elsewhere = 50_000
    assert is_usable(backend, NOW)
    backend.last_heard_at = NOW - 3_000
    assert not is_usable(backend, NOW)
