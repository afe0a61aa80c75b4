"""Six engines loaded new weights all at once, and half of the work was refused.

What was seen: three engines were ordered to load, 0.4 s later the other three,
while the first still loaded. For four seconds no engine served.

How it came about: the time that was left, 5.9 s, holds one load of 3 s and not
quite a second. So all that still waited had to begin at once, as if those that
loaded already had not begun either.

What proved it: the orders in the log of the agents, and the same queue here.
"""

from __future__ import annotations

import math

import pytest

from oleanderdyke.kernel.load_pace import (
    LoadTimes,
    PendingLoad,
    count_at_once,
)
from oleanderdyke.kernel.load_queue import LoadNotice, LoadQueue, LoadStep

MODEL = 'm'


class Rollout:
    """Play the queue of a fleet whose engines load in a given time."""

    def __init__(self, engines, limit, due, times):
        self.queue, self.due, self.times = LoadQueue(limit), due, times
        self.begun, self.ended = {}, {}
        for number in range(engines):
            name = f'{number}'
            self.queue.apply(
                LoadNotice(name, LoadStep.WAITS, f'side-{name}', MODEL, 1)
            )
        self.queue.update_due_times(lambda *_: due)

    def play(self, until):
        """Return the most that loaded at once."""
        most = 0
        for now in range(0, int(until), 50):
            self.queue.tick(now)
            for name in self.queue.list_loading(now):
                self.begun.setdefault(name, now)
            loading = [name for name in self.begun if name not in self.ended]
            most = max(most, len(loading))
            for name in loading:
                self.end_load(name, now)
        return most

    def end_load(self, name, now):
        if now - self.begun[name] < self.times(int(name)):
            return
        self.ended[name] = now
        self.queue.apply(
            LoadNotice(name, LoadStep.ENDED, f'side-{name}', MODEL, 2)
        )


@pytest.mark.parametrize('left', [6_000.0, 7_000.0, 8_000.0])
@pytest.mark.parametrize('load', [1_000.0, 1_600.0])
def test_no_more_than_two_of_six_load_at_once_while_there_is_time(left, load):
    fleet = Rollout(6, 10_000.0, left, lambda _: load)
    assert fleet.play(left + load) == 2
    assert len(fleet.ended) == 6
    assert max(fleet.ended.values()) <= left


def test_an_engine_whose_agent_is_cut_off_holds_up_one_place_for_a_while():
    fleet = Rollout(
        6, 10_000.0, 8_000.0, lambda name: math.inf if name == 1 else 1_000.0
    )
    assert fleet.play(8_000.0) <= 3
    assert len(fleet.ended) == 5
    assert max(fleet.ended.values()) <= 6_500.0


def test_loads_that_take_long_make_more_load_at_once():
    fleet = Rollout(6, 10_000.0, 8_000.0, lambda _: 3_400.0)
    assert fleet.play(12_000.0) > 2
    assert len(fleet.ended) == 6


def test_what_runs_counts_with_what_is_left_of_it():
    pending = [PendingLoad(5_900.0, begun=400.0)] * 2
    pending += [PendingLoad(5_900.0)] * 2
    assert count_at_once(pending, 3_000.0, 2, fleet=6) == 2


def test_loads_that_can_be_in_time_no_more_begin_at_once():
    pending = [PendingLoad(-1.0)] * 5
    assert count_at_once(pending, 2_000.0, 2, fleet=5) == 5


def test_the_time_of_a_load_is_learned_and_one_slow_engine_changes_little():
    times = LoadTimes(12_000.0)
    assert times.find_time() == 2_000.0
    for duration in (1_000.0, 1_100.0, 9_000.0):
        times.note(duration)
    assert times.find_time() == 1_100.0


def test_what_was_read_late_says_nothing_of_how_long_loads_take():
    times = LoadTimes(math.inf)
    first = times.find_time()
    times.note(10.0)
    assert times.find_time() == first


def test_a_load_is_overdue_when_it_takes_half_as_long_again():
    times = LoadTimes(12_000.0)
    assert not times.is_overdue(2_900.0)
    assert times.is_overdue(3_001.0)


def test_engines_whose_weights_may_serve_for_the_shortest_time_load_first():
    queue = LoadQueue(15_000.0)
    for name, held in (('a', 2), ('b', 1), ('c', 2), ('d', 1)):
        queue.apply(
            LoadNotice(name, LoadStep.WAITS, f'side-{name}', MODEL, held)
        )
    queue.update_due_times(lambda _, held: 6_000.0 + 4_000.0 * held)
    assert queue.list_loading(0.0) == ('b', 'd')
    assert queue.find_turns(0.0).following == ('a', 'c')


def test_an_engine_that_should_be_done_may_be_tried():
    queue = LoadQueue(12_000.0)
    for name in 'abc':
        queue.apply(LoadNotice(name, LoadStep.WAITS, f'side-{name}', MODEL, 1))
    queue.tick(0.0)
    assert queue.find_turns(3_000.0).busy == ('a', 'b')
    queue.tick(3_050.0)
    assert queue.find_turns(3_050.0).busy == ('c',)
    assert queue.list_loading(3_050.0) == ('a', 'b', 'c')
