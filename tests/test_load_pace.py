"""Guard against a fleet that loads new weights with all engines at once.

Six engines had 5.9 s left for loads of 3 s. The remaining time of running loads
was not counted, so all waiting engines started 0.4 s after the first three, and
no engine served for 4 s.
"""

from __future__ import annotations

import math

import pytest

from oleanderdyke.kernel.load_concurrency import (
    LoadDurations,
    PendingLoad,
    count_concurrent_loads,
)
from oleanderdyke.kernel.load_queue import LoadNotice, LoadQueue, LoadStep

MODEL = 'm'


class SimulatedFleet:
    """Simulate a fleet with load durations by engine."""

    def __init__(self, engines, limit, due, durations):
        self.queue, self.due, self.durations = LoadQueue(limit), due, durations
        self.started, self.ended = {}, {}
        for number in range(engines):
            name = f'{number}'
            self.queue.apply(
                LoadNotice(name, LoadStep.WAITS, f'side-{name}', MODEL, 1)
            )
        self.queue.update_due_times(lambda *_: due)

    def run(self, until):
        """Run until a time; return the most concurrent loads."""
        largest = 0
        for now in range(0, int(until), 50):
            self.queue.tick(now)
            for name in self.queue.list_loading(now):
                self.started.setdefault(name, now)
            loading = [name for name in self.started if name not in self.ended]
            largest = max(largest, len(loading))
            for name in loading:
                self.end_load(name, now)
        return largest

    def end_load(self, name, now):
        if now - self.started[name] < self.durations(int(name)):
            return
        self.ended[name] = now
        self.queue.apply(
            LoadNotice(name, LoadStep.ENDED, f'side-{name}', MODEL, 2)
        )


@pytest.mark.parametrize('left', [6_000.0, 7_000.0, 8_000.0])
@pytest.mark.parametrize('load', [1_000.0, 1_600.0])
def test_no_more_than_two_of_six_load_at_once_while_there_is_time(left, load):
    fleet = SimulatedFleet(6, 10_000.0, left, lambda _: load)
    assert fleet.run(left + load) == 2
    assert len(fleet.ended) == 6
    assert max(fleet.ended.values()) <= left


def test_a_disconnected_agent_blocks_one_turn_until_it_is_overdue():
    fleet = SimulatedFleet(
        6, 10_000.0, 8_000.0, lambda name: math.inf if name == 1 else 1_000.0
    )
    assert fleet.run(8_000.0) <= 3
    assert len(fleet.ended) == 5
    assert max(fleet.ended.values()) <= 6_500.0


def test_slow_loads_raise_the_concurrency():
    fleet = SimulatedFleet(6, 10_000.0, 8_000.0, lambda _: 3_400.0)
    assert fleet.run(12_000.0) > 2
    assert len(fleet.ended) == 6


def test_running_loads_count_with_their_remaining_time():
    pending = [PendingLoad(5_900.0, elapsed=400.0)] * 2
    pending += [PendingLoad(5_900.0)] * 2
    assert count_concurrent_loads(pending, 3_000.0, 2, fleet_size=6) == 2


def test_loads_past_their_deadline_start_at_once():
    pending = [PendingLoad(-1.0)] * 5
    assert count_concurrent_loads(pending, 2_000.0, 2, fleet_size=5) == 5


def test_the_estimated_duration_ignores_one_slow_engine():
    durations = LoadDurations(12_000.0)
    assert durations.estimate() == 2_000.0
    for duration in (1_000.0, 1_100.0, 9_000.0):
        durations.record(duration)
    assert durations.estimate() == 1_100.0


def test_durations_that_were_read_late_are_ignored():
    durations = LoadDurations(math.inf)
    first = durations.estimate()
    durations.record(10.0)
    assert durations.estimate() == first


def test_a_load_is_overdue_after_one_and_a_half_durations():
    durations = LoadDurations(12_000.0)
    assert not durations.is_overdue(2_900.0)
    assert durations.is_overdue(3_001.0)


def test_engines_whose_weights_expire_first_load_first():
    queue = LoadQueue(15_000.0)
    for name, held in (('a', 2), ('b', 1), ('c', 2), ('d', 1)):
        queue.apply(
            LoadNotice(name, LoadStep.WAITS, f'side-{name}', MODEL, held)
        )
    queue.update_due_times(lambda _, held: 6_000.0 + 4_000.0 * held)
    assert queue.list_loading(0.0) == ('b', 'd')
    assert queue.find_turns(0.0).following == ('a', 'c')


def test_an_overdue_engine_is_not_listed_as_busy():
    queue = LoadQueue(12_000.0)
    for name in 'abc':
        queue.apply(LoadNotice(name, LoadStep.WAITS, f'side-{name}', MODEL, 1))
    queue.tick(0.0)
    assert queue.find_turns(3_000.0).busy == ('a', 'b')
    queue.tick(3_050.0)
    assert queue.find_turns(3_050.0).busy == ('c',)
    assert queue.list_loading(3_050.0) == ('a', 'b', 'c')
