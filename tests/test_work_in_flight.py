"""Work in flight is counted once, and not for ever, whatever messages are lost.

The load is that of entries that each see a small part of all requests, while
entries are cut off, start anew, or send what arrives late, twice or never.
"""

from __future__ import annotations

import sys
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oleanderdyke.kernel.scheduling.demand_meter import DemandKey, DemandMeter
from oleanderdyke.kernel.scheduling.scoring import SampledDraw
from oleanderdyke.kernel.scheduling.work import NO_WORK
from oleanderdyke.kernel.scheduling.work_account import WorkAccount
from oleanderdyke.kernel.scheduling.work_reports import ReportSource
from oleanderdyke.kernel.scheduling.work_table import (
    REPORT_LIFETIME,
    WorkTable,
)
from oleanderdyke.kernel.servers import ModelDemand, ServerStart
from oleanderdyke.links.messages.news import WorkReport

SECOND = 1_000.0
START = ServerStart('i-0', 5)
# Work that has lapsed is removed at most this much later.
LAPSE = REPORT_LIFETIME + 50.0
NAMES = ('front-0', 'front-1')
# Memory of the runs of each entry, so that a sum shows how many are counted.
UNITS = {'front-0': 1, 'front-1': 1_000}


class Entry:
    """An entry that reports its work."""

    def __init__(self, name: str, incarnation: int = 1) -> None:
        self.name = name
        self.incarnation = incarnation
        self.account = WorkAccount()
        self.meter = DemandMeter()
        self.table = WorkTable(name, self.account, self.meter)
        self.source = ReportSource(
            name, 'hall', incarnation, account=self.account, meter=self.meter
        )
        self.begun = 0

    def begin(self, start=START, *, unread=10, memory=None) -> str:
        self.begun += 1
        attempt = str(self.begun)
        memory = UNITS.get(self.name, 0) if memory is None else memory
        self.account.begin(start, attempt, unread=unread, memory=memory)
        return attempt


class WorkMachine(RuleBasedStateMachine):
    """Entries report to a reader over a network that loses and delays."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.entries = {name: Entry(name) for name in NAMES}
        self.reader = Entry('reader')
        self.flying = []
        # What each entry's current start reported: counts of runs, with times.
        self.reported = {name: [] for name in NAMES}
        self.heard_at = dict.fromkeys(NAMES, -SECOND * 60)

    @rule(name=st.sampled_from(NAMES))
    def begin(self, name):
        if self.entries[name].begun < 900:
            self.entries[name].begin()

    @rule(name=st.sampled_from(NAMES), number=st.integers(1, 5))
    def end(self, name, number):
        self.entries[name].account.end(str(number))

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        old = self.entries[name].incarnation
        self.entries[name] = Entry(name, old + 1)

    @rule(step=st.sampled_from([30.0, 90.0, 400.0, 1_700.0]))
    def wait(self, step):
        self.now += step
        for entry in self.entries.values():
            report = entry.source.make_report(self.now, entries=2)
            if report is not None:
                self.flying.append((report, self.now))
                runs = entry.account.find(START).runs
                self.reported[entry.name].append((entry.incarnation, runs))

    @rule(data=st.data(), is_lost=st.booleans(), is_repeated=st.booleans())
    def deliver(self, data, is_lost, is_repeated):
        if not self.flying:
            return
        index = data.draw(st.integers(0, len(self.flying) - 1))
        report, _ = self.flying[index]
        if not is_repeated:
            del self.flying[index]
        if not is_lost:
            self.reader.table.apply(report, self.now)
            self.heard_at[report.entry] = self.now

    @invariant()
    def counts_only_what_one_start_reported(self):
        counted = self.count()
        for name in NAMES:
            by_start = {}
            for incarnation, runs in self.reported[name]:
                by_start.setdefault(incarnation, {0}).add(runs)
            known = set().union({0}, *by_start.values())
            assert counted[name] in known

    @invariant()
    def forgets_entries_that_fell_silent(self):
        counted = self.count()
        for name in NAMES:
            if self.now - self.heard_at[name] > LAPSE:
                assert counted[name] == 0

    def count(self):
        memory = self.reader.table.find_work(START, self.now).memory
        many, few = divmod(int(memory), 1_000)
        return {'front-0': few, 'front-1': many}


TestWork = WorkMachine.TestCase
TestWork.settings = settings(deadline=None, stateful_step_count=40)


def make_pair():
    return Entry('front-0'), Entry('reader')


def report(entry, reader, now, **options):
    made = entry.source.make_report(now, entries=2, **options)
    if made is not None:
        reader.table.apply(made, now)
    return made


def test_first_byte_and_end_take_work_away():
    entry, reader = make_pair()
    attempt = entry.begin(unread=9_000)
    report(entry, reader, 0.0)
    assert reader.table.find_work(START, 0.0).unread == 9_000
    entry.account.record_first_byte(attempt)
    report(entry, reader, 150.0)
    assert reader.table.find_work(START, 150.0).unread == 0
    assert reader.table.find_work(START, 150.0).runs == 1
    entry.account.end(attempt)
    report(entry, reader, 300.0)
    assert reader.table.find_work(START, 300.0) == NO_WORK


def test_own_work_counts_at_once_and_own_reports_never():
    entry, _ = make_pair()
    entry.begin(unread=7)
    entry.table.apply(entry.source.make_report(0.0, entries=1), 0.0)
    assert entry.table.find_work(START, 0.0).unread == 7


def test_a_restart_replaces_the_work_of_the_earlier_start():
    entry, reader = make_pair()
    entry.begin()
    late = report(entry, reader, 0.0)
    entry = Entry(entry.name, incarnation=2)
    entry.begin()
    report(entry, reader, 50.0)
    assert not reader.table.apply(late, 60.0)
    assert reader.table.find_work(START, 60.0).runs == 1


def test_a_late_report_changes_nothing():
    entry, reader = make_pair()
    entry.begin()
    late = report(entry, reader, 0.0)
    entry.account.end('1')
    report(entry, reader, 150.0)
    assert not reader.table.apply(late, 160.0)
    assert reader.table.find_work(START, 160.0) == NO_WORK


@pytest.mark.parametrize(
    ('amounts', 'rates'),
    [
        ((-1, 1, 1, 0, 0), (1.0,) * 4),
        ((2**64 - 1, 1, 1, 0, 0), (1.0,) * 4),
        ((1, 1, 1, 0, 0), (1.0, 1.0, -1.0, 1.0)),
        ((1, 1, 1, 0, 0), (1e308,) * 4),
        ((1, 1, 1, 0), (1.0,) * 4),
        ((1, 1, 1, 0, 0), (1.0,) * 3),
    ],
)
def test_a_malformed_report_changes_nothing(amounts, rates):
    entry, reader = make_pair()
    entry.begin()
    report(entry, reader, 0.0)
    known = reader.table.find_work(START, 0.0)
    malformed = WorkReport(
        'front-0',
        incarnation=1,
        sequence=1,
        data_centre='hall',
        is_whole=True,
        servers=(START.server,),
        born=(START.born,),
        amounts=amounts,
        kinds=('chat', 'talk', 'blue'),
        rates=rates,
    )
    assert not reader.table.apply(malformed, 0.0)
    assert reader.table.find_work(START, 0.0) == known
    assert not reader.table.list_demand('chat', 0.0)


def count_calls(call):
    """Count the function calls that a call makes."""
    calls = 0

    def count_call(_frame, event, _argument) -> None:
        nonlocal calls
        calls += event in {'call', 'c_call'}

    sys.setprofile(count_call)
    try:
        call()
    finally:
        sys.setprofile(None)
    return calls


def count_calls_of_report(entries):
    """Count the function calls that one report costs beside so many."""
    table = Entry('reader').table
    for number in range(entries):
        other = Entry(f'front-{number}')
        other.begin()
        report(other, SimpleNamespace(table=table), 0.0)
    other.begin(ServerStart('i-1', 5))
    made = other.source.make_report(150.0, entries=2)
    table.find_work(START, 149.0)
    calls = count_calls(lambda: table.apply(made, 150.0))
    assert table.find_work(ServerStart('i-1', 5), 150.0).runs == 1
    return calls


def test_the_cost_of_a_report_does_not_grow_with_the_entries():
    assert count_calls_of_report(300) == count_calls_of_report(20)


def test_summing_demand_costs_few_calls_per_row():
    rows = 200
    reader = Entry('reader')
    for number in range(rows):
        key = DemandKey('chat', f'route-{number % 4}', f'team-{number}')
        reader.meter.record_arrival(key, ModelDemand('m', 90, 9), 0.0)
    rates = reader.meter.list_demand(0.0)
    reader.meter.list_demand = lambda _: rates
    summed = []
    calls = count_calls(
        lambda: summed.extend(reader.table.list_demand('chat', 0.0))
    )
    assert summed == rates
    assert calls <= 8 * rows


def test_a_change_that_was_lost_is_mended_by_the_next_whole_report():
    entry, reader = make_pair()
    entry.begin()
    report(entry, reader, 0.0)
    entry.account.end('1')
    assert not entry.source.make_report(150.0, entries=2).is_whole
    other = ServerStart('i-1')
    entry.begin(other, unread=3)
    report(entry, reader, 300.0)
    assert reader.table.find_work(other, 300.0).unread == 3
    report(entry, reader, 1_100.0)
    assert reader.table.find_work(START, 1_100.0) == NO_WORK


def test_new_long_runs_are_reported_before_other_changes():
    entry, reader = make_pair()
    entry.begin()
    report(entry, reader, 0.0)
    entry.account.end('1')
    entry.begin()
    assert report(entry, reader, 80.0) is None
    entry.account.begin(START, 'a', unread=9_000, memory=1, is_long=True)
    assert report(entry, reader, 80.0) is not None


def test_an_idle_entry_falls_silent():
    entry, reader = make_pair()
    entry.begin()
    report(entry, reader, 0.0)
    entry.account.end('1')
    times = [at * 40.0 for at in range(1, 500)]
    sent = [at for at in times if report(entry, reader, at) is not None]
    assert sent[-1] < 1.2 * SECOND
    assert reader.table.find_work(START, sent[-1]) == NO_WORK


@pytest.mark.parametrize(('entries', 'most'), [(21, 530), (300, 500)])
def test_reports_that_an_entry_receives_are_bounded(entries, most):
    entry = Entry('front-0')
    sent = 0
    for tick in range(250):
        for number in range(40):
            entry.begin(ServerStart(f'i-{number}'))
        made = entry.source.make_report(tick * 40.0, entries=entries)
        if made is not None:
            sent += 1
            assert made.is_whole or len(made.servers) <= 32
    assert sent * entries / 10 <= most + entries / 10


def test_demand_of_all_entries_is_summed_by_route_and_team():
    entry, reader = make_pair()
    key = DemandKey('desk', 'long', 'team-1')
    model = ModelDemand('m', 9_000, 10)
    for at in range(200):
        for each in (entry, reader):
            each.meter.record_arrival(key, model, at * 50.0)
    report(entry, reader, 10 * SECOND, is_whole=True)
    (found,) = reader.table.list_demand('desk', 10 * SECOND)
    assert found.arrived == pytest.approx(40, rel=0.1)
    assert found.unread == pytest.approx(40 * 9_000, rel=0.1)


TARGET = 1 * SECOND
# Ninety-nine of a hundred prompts are to be on time.
MOST_LATE = 0.01
LENGTH = 8_000
SPEED = 36


class Burst:
    """Entries with lagging views that send long prompts to twenty servers.

    Each server prefills one prompt after another. `waits` collects the times to
    the first token.
    """

    def __init__(self, choose, *, delay=150.0) -> None:
        self.choose = choose
        self.delay = delay
        self.random = Random(4)
        self.fronts = [Entry(f'front-{number}') for number in range(21)]
        self.queues = {ServerStart(f's{n}'): [] for n in range(20)}
        self.flying, self.waits = [], []

    def play(self) -> float:
        """Return the share of prompts that miss a target of one second."""
        for now in range(0, 8_000, 20):
            self.exchange(now)
            for _ in range(self.random.choice([1, 2])):
                self.send(now)
            for queue in self.queues.values():
                self.prefill(queue, 20 * SPEED, now)
        return sum(wait > TARGET for wait in self.waits) / len(self.waits)

    def exchange(self, now) -> None:
        for front in self.fronts:
            made = front.source.make_report(now, entries=21)
            if made is not None:
                self.flying.append((now + self.delay, made))
        while self.flying and self.flying[0][0] <= now:
            _, made = self.flying.pop(0)
            for front in self.fronts:
                front.table.apply(made, now)

    def send(self, now) -> None:
        front = self.random.choice(self.fronts)
        find = front.table.find_work
        scores = [find(start, now).unread / SPEED for start in self.queues]
        start = tuple(self.queues)[self.choose(scores, self.random)]
        attempt = front.begin(start, unread=LENGTH)
        self.queues[start].append([LENGTH, front, attempt, now])

    def prefill(self, queue, budget, now) -> None:
        while queue and budget > 0:
            done = min(budget, queue[0][0])
            budget -= done
            queue[0][0] -= done
            if not queue[0][0]:
                _, front, attempt, since = queue.pop(0)
                front.account.end(attempt)
                self.waits.append(now - since)


def choose_lowest(scores, random):
    return min(range(len(scores)), key=lambda at: (scores[at], random.random()))


def choose_drawn(scores, random):
    return SampledDraw(random).choose(scores, LENGTH / SPEED)


def test_entries_with_equal_views_spread_a_burst():
    assert Burst(choose_lowest).play() > MOST_LATE
    assert Burst(choose_drawn).play() < MOST_LATE
