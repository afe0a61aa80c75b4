"""Check which engines serve short prompts while long ones arrive too.

The load is that of urgent short prompts beside long ones, in shares that change
within seconds, at engines that come and go. Time is virtual.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.deployment import (
    CallKind,
    Deployment,
    EngineTraits,
    Route,
    ServiceTraits,
    Share,
)
from oleanderdyke.kernel.scheduling.costs import Costs, PricedCall
from oleanderdyke.kernel.scheduling.placement import CallDemand, _find_terms
from oleanderdyke.kernel.scheduling.pool_members import is_fit
from oleanderdyke.kernel.scheduling.pool_sizes import PERIOD
from oleanderdyke.kernel.scheduling.pools import Pools, Side
from oleanderdyke.kernel.scheduling.switch import LoadSwitch
from oleanderdyke.kernel.scheduling.work import NO_WORK, Demand, ServerWork
from oleanderdyke.kernel.servers import ModelDemand, PromptPart, ServerRecord
from tests.scheduling import ServiceSpeeds

SHORT = ModelDemand('m', 700, 40)
LONG = ModelDemand('m', 9_000, 8)
ROUTES = tuple(
    Route(
        name,
        'host',
        f'/{name}/',
        CallKind.STREAM,
        (Share('desk'),),
        9_000.0,
        target,
        gap=800.0,
        priority=priority,
    )
    for name, target, priority in (('short', 600.0, 0), ('long', 800.0, 1))
)
DEPLOYMENT = Deployment(
    1, ROUTES, {'desk': ServiceTraits('desk', engine=EngineTraits(40_000))}
)


def make_engine(number, at=-9_000.0, born=0):
    record = ServerRecord(
        f'engine-{number}', 'desk', '', f'dc-{number % 3}', slots=64, born=born
    )
    return Backend(record, at, last_heard_at=math.inf)


SPEEDS = ServiceSpeeds()


@dataclass
class Entry:
    """One entry whose view, speeds and engines are set by the test."""

    engines: list
    rates: dict = field(default_factory=dict)
    work: dict = field(default_factory=dict)
    age: float = 0.0
    admitted: float = 0.0
    announced: float = 1.0
    read_time: float = 0.0
    now: float = 0.0
    sizes: list = field(default_factory=list)

    def __post_init__(self):
        switch = LoadSwitch()
        switch.configure(DEPLOYMENT)
        for _ in range(2):
            switch.record_prompt('short', SHORT)
            switch.record_prompt('long', LONG)
        self.pools = Pools(self, switch, view=self, speeds=SPEEDS)
        self.pools.configure(DEPLOYMENT)

    def find_work(self, start, _now):
        return self.work.get(start.server, NO_WORK)

    def list_demand(self, _service, _now):
        models = {'short': SHORT, 'long': LONG}
        return [
            Demand(
                'desk',
                route,
                'team',
                arrived=rate,
                admitted=rate * self.admitted,
                unread=rate * models[route].prompt_tokens / 2,
                output=rate * models[route].output_tokens * self.announced,
                reading=rate * models[route].prompt_tokens / 2 * self.read_time,
            )
            for route, rate in self.rates.items()
        ]

    def find_age(self, _now):
        return self.age

    def list_usable(self, _service, now):
        return [each for each in self.engines if is_fit(each, now)]

    def run(self, seconds, **rates):
        """Play some seconds of a load; return the last size."""
        self.rates.update(rates)
        for _ in range(round(seconds * 1_000 / PERIOD)):
            self.now += PERIOD
            self.pools.update(self.now)
            self.sizes.append(self.pools.find_size('desk'))
        return self.sizes[-1]

    def list_members(self):
        return {
            each.record.server
            for each in self.engines
            if self.pools.find_side('desk', each.record.start, self.now)
            is Side.SHORT
        }

    def price(self, route, number, **changes):
        model = SHORT if route == 'short' else LONG
        engine = self.engines[number]
        call = PricedCall(
            'desk',
            route,
            '',
            0,
            model,
            'dc-0',
            600.0,
            model.prompt_tokens,
            memory=model.memory_tokens,
            work=self.find_work(engine.record.start, self.now),
            read_time=SPEEDS.estimate_read(engine, 1.0, self.now),
            step=SPEEDS.estimate_step(engine, self.now),
        )
        return self.pools.find_cost(replace(call, **changes), engine, self.now)

    def find_numbers(self):
        """Return an engine of the short side and one of the long side."""
        members = self.list_members()
        numbers = range(len(self.engines))
        short = [n for n in numbers if f'engine-{n}' in members]
        return short[0], next(n for n in numbers if n not in short)


def make_entry(count=20):
    return Entry([make_engine(number) for number in range(count)])


def count_moves(sizes):
    return sum(a != b for a, b in pairwise(sizes))


def test_a_burst_of_long_prompts_gets_engines_and_returns_them():
    entry = make_entry()
    usual = entry.run(5, short=200, long=35)
    assert entry.run(3, long=160) < usual
    assert 20 - entry.sizes[-1] > 160 * 4.5 / 50
    assert entry.run(3, long=35) == usual


def test_a_burst_of_short_prompts_gets_engines_and_returns_them():
    entry = make_entry()
    usual = entry.run(5, short=50, long=35)
    assert entry.run(3, short=500) >= usual + 4
    assert entry.run(3, short=50) <= usual + 1
    assert entry.run(5) == usual


def test_losing_a_quarter_of_the_engines_refills_the_short_side_at_once():
    entry = make_entry()
    size = entry.run(5, short=200, long=35)
    before = entry.list_members()
    for lost in sorted(before)[:2]:
        entry.engines = [e for e in entry.engines if e.record.server != lost]
    entry.engines = entry.engines[3:]
    entry.now += 1
    assert len(entry.list_members()) == size
    left = {each.record.server for each in entry.engines}
    assert before & left <= entry.list_members()
    assert entry.run(3) <= 15 * size / 20 + 1


def test_an_engine_that_flaps_moves_one_other_engine_once():
    entry = make_entry()
    size = entry.run(20, short=200, long=35)
    before = entry.list_members()
    number = entry.find_numbers()[0]
    seen = set()
    for born in range(1, 8):
        entry.engines[number] = make_engine(number, entry.now, born)
        entry.run(1.4)
        seen |= entry.list_members()
    assert f'engine-{number}' not in seen
    assert len(seen - before) == 1
    assert entry.run(3) == size
    assert entry.list_members() == before


@pytest.mark.parametrize('trouble', ['failed', 'loading', 'silent'])
def test_an_unusable_engine_is_replaced_at_once_but_not_one_that_refused(
    trouble,
):
    entry = make_entry()
    entry.run(5, short=200, long=35)
    number = entry.find_numbers()[0]
    engine = entry.engines[number]
    engine.refusals, engine.excluded_until = 1, entry.now + 100
    entry.now += 1
    assert engine.record.server in entry.list_members()
    engine.failures = trouble == 'failed'
    engine.reload_until = entry.now + 50 if trouble == 'loading' else 0.0
    engine.running = trouble == 'silent'
    engine.last_heard_at = -9_000.0
    entry.now += 1
    assert engine.record.server not in entry.list_members()


def test_entries_with_equal_views_part_the_engines_alike():
    entries = [make_entry() for _ in range(4)]
    entries[3].engines.reverse()
    for load in ({'short': 80, 'long': 40}, {'long': 120}, {'short': 300}):
        for entry in entries:
            entry.run(3, **load)
        assert len({tuple(entry.sizes) for entry in entries}) == 1
        assert len({frozenset(each.list_members()) for each in entries}) == 1


def test_entries_whose_views_differ_for_a_second_meet_without_oscillation():
    first, second = make_entry(), make_entry()
    first.run(5, short=50, long=35)
    second.run(6, short=50, long=35)
    first.run(4, short=400)
    second.run(3, short=400)
    for entry in (first, second):
        assert sorted(entry.sizes) == entry.sizes
    assert first.list_members() == second.list_members()


def test_an_entry_that_starts_anew_comes_to_the_size_of_the_others():
    for short in range(40, 400, 40):
        old, new = make_entry(), make_entry()
        old.run(3, short=short * 3, long=40)
        old.run(12, short=short)
        new.run(12, short=short, long=40)
        assert abs(old.sizes[-1] - new.sizes[-1]) <= 1


@pytest.mark.parametrize('noise', [0.0, 0.03])
def test_demand_at_the_edge_of_two_sizes_does_not_flap(noise):
    for short in range(100, 300, 5):
        entry = make_entry()
        entry.run(8, short=short, long=40)
        entry.sizes.clear()
        for turn in range(60):
            entry.run(0.5, short=short * (1 + noise * (-1) ** turn))
        assert count_moves(entry.sizes) <= 1


@pytest.mark.parametrize(
    ('count', 'age', 'rates'),
    [
        pytest.param(3, 0.0, {'short': 50, 'long': 35}, id='few engines'),
        pytest.param(20, math.inf, {'short': 50, 'long': 35}, id='no news'),
        pytest.param(20, 0.0, {'short': 50}, id='short prompts alone'),
        pytest.param(20, 0.0, {'long': 35}, id='long prompts alone'),
        pytest.param(20, 0.0, {'short': 50, 'long': 5}, id='few long ones'),
        pytest.param(20, 0.0, {}, id='no demand'),
    ],
)
def test_nothing_is_parted_without_need(count, age, rates):
    entry = make_entry()
    assert entry.run(5, short=50, long=35) > 0
    assert entry.price('long', entry.find_numbers()[0]) > 0
    entry.engines, entry.age, entry.rates = entry.engines[:count], age, rates
    assert entry.run(3) == 0
    assert entry.price('long', 0) == entry.price('short', 0) == 0


def test_a_full_short_side_spills_over_and_an_empty_long_side_is_used():
    entry = make_entry()
    entry.run(5, short=50, long=35)
    own, other = entry.find_numbers()
    assert entry.price('short', own) == 0 < entry.price('short', other)
    full = ServerWork(memory=39_800, runs=50)
    entry.work[f'engine-{own}'] = full
    assert entry.price('short', other) < entry.price('short', own)
    entry.work[f'engine-{other}'] = ServerWork(unread=40_000, long_runs=5)
    assert entry.price('short', other) > entry.price('short', own)


def test_long_prompts_take_the_short_side_only_while_it_has_room():
    entry = make_entry()
    entry.run(5, short=50, long=35)
    own, other = entry.find_numbers()[::-1]
    idle = entry.price('long', other)
    entry.work[f'engine-{other}'] = ServerWork(runs=4)
    assert entry.price('long', other) >= idle + 4 * 9_000 / 50
    assert (
        entry.price('long', other, missing=0) == 0 == entry.price('long', own)
    )
    entry.run(0.25, short=600)
    assert entry.price('long', other, missing=0) == 600


def test_answers_shorter_than_announced_take_no_engines():
    entry = make_entry()
    entry.work = {'engine-0': ServerWork(runs=60, long_runs=4)}
    usual = entry.run(8, short=200, long=35)
    entry.announced = 20.0
    assert entry.run(8) > usual + 4
    entry.admitted = 1.0
    assert entry.run(12) <= usual + 1


@given(st.lists(st.tuples(*[st.floats(0, 3_000)] * 3), max_size=20))
def test_sizes_stay_within_bounds_and_move_by_one_for_any_demand(loads):
    entry = make_entry(8)
    entry.admitted = 0.5
    entry.sizes.append(0)
    for short, long, runs in loads:
        work = ServerWork(runs=int(runs), long_runs=int(runs) // 3)
        entry.work['engine-1'] = work
        entry.run(0.5, short=short, long=long)
    assert all(0 <= size <= 7 for size in entry.sizes)
    assert all(abs(a - b) <= 1 for a, b in pairwise(entry.sizes))


def test_a_small_short_side_bears_the_loss_of_an_engine():
    entry = make_entry()
    assert entry.run(8, short=10, long=60) == 2


def test_shared_context_of_long_prompts_has_its_homes_within_their_side():
    entry = make_entry()
    entry.run(5, short=300, long=35)
    pool = entry.pools.list_pool('desk', 'long', entry.now)
    short = entry.pools.list_pool('desk', 'short', entry.now)
    assert {each.server for each in short} == entry.list_members()
    assert len(pool) == 20 - len(short) == len(pool - short)
    for number in range(40):
        parts = (PromptPart(f'guide-{number}', 5_000), PromptPart('own', 1))
        model = replace(LONG, parts=parts)
        costs = Costs(
            'desk',
            'long',
            '',
            1,
            'dc-0',
            800.0,
            None,
            entry,
            SPEEDS,
            pool=pool,
        )
        demand = CallDemand('desk', 'dc-0', model, costs=costs)
        homes = _find_terms(demand, entry.engines).cache_servers
        assert homes <= {each.server for each in pool}


def test_overload_leaves_the_urgent_side_its_load():
    entry = make_entry()
    size = entry.run(8, short=400, long=300)
    assert size > 400 * 0.35 / 50
    assert entry.run(8, short=6_000, long=300) >= 10
    assert entry.sizes[-1] < 20


@given(st.floats(10, 3_000), st.floats(30, 300))
def test_nearly_equal_demand_wants_nearly_equal_sizes(short, long):
    sizes = []
    for factor in (1.0, 1.01):
        entry = make_entry()
        entry.run(8, short=short * factor, long=long)
        sizes.append(entry.sizes[-1])
    assert abs(sizes[0] - sizes[1]) <= 1


@given(st.integers(1, 60), st.integers(30, 90))
def test_both_sides_have_engines_for_their_load_where_there_is_room(
    short, long
):
    entry = make_entry()
    size = entry.run(8, short=short * 10, long=long)
    engines_read = (short * 10 * 0.35 / 50, long * 4.5 / 50)
    assert engines_read[0] < size
    assert engines_read[1] < 20 - size


def test_entries_that_learned_different_rates_part_engines_alike():
    """All entries see the same bursts but few first bytes each."""
    entries = make_entry(), make_entry()
    for entry, scale in zip(entries, (0.7, 1.4), strict=True):
        entry.pools = Pools(
            entry,
            entry.pools._switch,
            view=entry,
            speeds=ScaledSpeeds(scale),
        )
        entry.pools.configure(DEPLOYMENT)
        entry.read_time = 0.025
        entry.run(8, short=200, long=60)
    assert entries[0].sizes[-1] == entries[1].sizes[-1]


class ScaledSpeeds(ServiceSpeeds):
    """Take engines for faster or slower than they are."""

    def __init__(self, scale):
        self._scale = scale

    def estimate_read(self, backend, tokens, now):
        return super().estimate_read(backend, tokens, now) * self._scale
