"""Check whom entries admit while a service lacks room.

Each test names its load. Entries have equal views; times are virtual.
"""

from __future__ import annotations

from collections import Counter
from itertools import count
from random import Random

import pytest

from oleanderdyke.kernel.scheduling.admission import (
    Applicant,
    ClaimantDemand,
    Decision,
    Reason,
    Refused,
    ServiceAdmission,
)
from oleanderdyke.kernel.scheduling.fair_shares import Claimant
from oleanderdyke.kernel.scheduling.overload import RequestAge
from oleanderdyke.kernel.scheduling.wait_queue import (
    WaitingRequest,
    WaitQueue,
)

RED, BLUE, GREEN = (Claimant(1, team) for team in ('red', 'blue', 'green'))
URGENT = Claimant(0, 'red')
ENTRIES = 21
NAMES = count()


class Fleet:
    """Entries with equal views; each request takes a tenth of an engine."""

    def __init__(self, capacity, rates, entries=ENTRIES, *, waiting=0):
        self.random = Random(7)
        self.entries = [
            ServiceAdmission(Random(number), WaitQueue(waiting))
            for number in range(entries)
        ]
        self.rates = rates
        self.now = 0.0
        self.update(capacity)

    def update(self, capacity):
        demands = {
            who: ClaimantDemand(rate / 10, rate, rate / 2)
            for who, rate in self.rates.items()
        }
        for entry in self.entries:
            entry.update(capacity, demands, self.now)

    def play(self, seconds, **traits):
        """Return how many requests of each claimant are admitted."""
        arrivals = sorted(
            (self.random.uniform(0, seconds * 1_000), who)
            for who, rate in self.rates.items()
            for _ in range(round(rate * seconds))
        )
        admitted = Counter()
        for at, who in arrivals:
            entry = self.random.choice(self.entries)
            found = ask(entry, who, self.now + at, **traits)
            admitted[who] += found is Decision.ADMIT
        self.now += seconds * 1_000
        return admitted


def ask(entry, claimant, now=0.0, *, waited=0.0, left=5_000.0, **traits):
    """Ask for a request that would be in time, but that finds no free room."""
    traits = {'expected': 700.0, 'request': f'r-{next(NAMES)}', **traits}
    age = RequestAge(waited, 800.0)
    applicant = Applicant(
        service='desk', claimant=claimant, age=age, left=left, **traits
    )
    return entry.decide(applicant, now)


def test_nothing_is_refused_while_the_service_has_room():
    fleet = Fleet(10.0, {RED: 60, BLUE: 39})
    assert fleet.play(2, expected=900.0) == {RED: 120, BLUE: 78}


def test_a_burst_of_a_less_urgent_kind_does_not_cost_the_urgent_one():
    fleet = Fleet(10.0, {URGENT: 60, RED: 300})
    admitted = fleet.play(4)
    assert admitted[URGENT] == 240
    assert 0.9 * 160 <= admitted[RED] <= 1.1 * 160


def test_a_burst_of_the_urgent_kind_is_served_before_the_other():
    fleet = Fleet(10.0, {URGENT: 200, RED: 50})
    admitted = fleet.play(4)
    assert admitted[URGENT] >= 0.9 * 400
    assert admitted[RED] == 0


def test_a_team_at_ten_times_its_share_costs_that_team_alone():
    fleet = Fleet(12.0, {RED: 400, BLUE: 40, GREEN: 20})
    admitted = fleet.play(4)
    assert admitted[BLUE] == 160
    assert admitted[GREEN] == 80
    # What the others leave unused is lent.
    assert 0.9 * 240 <= admitted[RED] <= 1.1 * 240


def test_what_was_lent_is_given_back_with_the_next_figures():
    fleet = Fleet(12.0, {RED: 400, BLUE: 20})
    fleet.play(2)
    fleet.rates[BLUE] = 60
    fleet.now += 1_000
    fleet.update(12.0)
    assert fleet.play(2)[BLUE] == 120


@pytest.mark.parametrize('capacity', [15.0, 4.0, 1.0])
def test_entries_together_use_what_is_left_after_engines_are_lost(capacity):
    fleet = Fleet(capacity, {RED: 120, BLUE: 70, GREEN: 60, URGENT: 10})
    room = capacity * 10 * 8
    assert 0.9 * room <= sum(fleet.play(8).values()) <= room + ENTRIES


def test_a_shortage_ends_a_second_after_the_load_has_eased():
    fleet = Fleet(10.0, {RED: 200}, entries=1)
    (entry,) = fleet.entries
    for capacity, wait, is_short in [
        (21.0, 500, True),
        (22.5, 900, True),
        (22.5, 100, False),
        (20.5, 0, False),
    ]:
        fleet.now += wait
        fleet.update(capacity)
        assert entry.is_short is is_short


def test_a_caller_who_repeats_at_once_costs_its_own_team():
    fleet = Fleet(12.0, {RED: 400, BLUE: 50}, entries=1)
    (entry,) = fleet.entries
    served = {RED: 0, BLUE: 0}
    for at in range(4_000):
        who, waited = (BLUE, 0.0) if at % 20 == 0 else (RED, 30.0)
        found = ask(entry, who, float(at), waited=waited)
        served[who] += found is Decision.ADMIT
    assert served[BLUE] == 200
    assert served[RED] <= 3_800 * 70 / 400 + 200


def test_callers_that_come_back_are_spread_out_and_find_room():
    fleet = Fleet(10.0, {RED: 200}, entries=1)
    (entry,) = fleet.entries
    answers = [ask(entry, RED, at * 5.0, request=f'{at}') for at in range(100)]
    refused = [each for each in answers if isinstance(each, Refused)]
    assert len(refused) >= 40
    times = sorted(each.retry_after for each in refused)
    assert max(Counter(int(each // 100) for each in times).values()) <= 20
    assert times[-1] <= 5_000 / 3
    # The burst is over, but callers who come back add to the others.
    fleet.rates[RED] = 90 + len(refused)
    fleet.update(10.0)
    assert entry.find_share(RED) < 1
    arrivals = [(each, each) for each in times]
    arrivals += [(at * 1_000 / 90, 0.0) for at in range(int(times[-1] * 0.09))]
    returned = Counter()
    for at, waited in sorted(arrivals):
        found = ask(entry, RED, 500 + at, waited=waited)
        if waited:
            returned[found is Decision.ADMIT] += 1
    assert returned == {True: len(refused)}


def test_not_all_answers_are_late_while_a_shortage_lasts():
    fleet = Fleet(10.0, {RED: 200}, entries=1)
    (entry,) = fleet.entries
    first, back = Counter(), Counter()
    for at in range(2_000):
        first[ask(entry, RED, at * 5.0) is Decision.ADMIT] += 1
        again = ask(entry, RED, at * 5.0, waited=600.0)
        back[again is Decision.ADMIT] += 1
    # Half each, but for what may be taken a second ahead.
    assert first[True] + back[True] == pytest.approx(2_000, rel=0.1)
    assert first[True] >= 1_000 - 1.1 * 200


def test_large_prompts_are_served_over_half_as_often():
    fleet = Fleet(10.0, {RED: 300}, entries=1)
    (entry,) = fleet.entries
    served = Counter()
    for at in range(3_000):
        is_large = at % 10 == 0
        expected = 1_500.0 if is_large else 700.0
        found = ask(entry, RED, at * 3.3, expected=expected)
        served[is_large] += found is Decision.ADMIT
    assert served[True] / 300 >= served[False] / 2_700 / 2
    assert served[True] / 300 < served[False] / 2_700


def test_a_subject_asked_for_often_leaves_room_for_those_refused():
    fleet = Fleet(10.0, {RED: 300}, entries=1)
    (entry,) = fleet.entries
    served = Counter()
    for at in range(1_200):
        subject = 'hot' if at % 2 else f's-{at // 2 % 150}'
        found = ask(entry, RED, at * 3.3, subject=subject)
        served[subject] += found is Decision.ADMIT
    assert served['hot'] >= 600 / 3 / 2
    assert sum(not served[f's-{each}'] for each in range(150)) <= 3


def test_what_passes_its_deadline_is_refused_at_once_and_a_late_answer_not():
    fleet = Fleet(10.0, {RED: 50}, entries=1)
    (entry,) = fleet.entries
    refused = ask(entry, RED, expected=2_000.0, left=1_500.0, waited=3_500.0)
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.DEADLINE
    assert ask(entry, RED, expected=2_000.0) is Decision.ADMIT


def test_a_request_waits_only_for_a_turn_that_comes_soon():
    fleet = Fleet(10.0, {RED: 150}, entries=1, waiting=64)
    (entry,) = fleet.entries
    admitted, waiting = 0, {}
    for at in range(600):
        now, request = at * 6.6, f'{at}'
        waiting[request] = now
        for name, since in tuple(waiting.items()):
            found = ask(entry, RED, now, request=name, held=now - since)
            assert found is not Decision.WAIT or now - since <= 100
            admitted += found is Decision.ADMIT
            if found is not Decision.WAIT:
                del waiting[name]
        assert len(waiting) <= 16
    assert 0.9 * 400 <= admitted <= 1.1 * 400


def test_a_wait_ends_in_time_or_for_a_more_urgent_request():
    fleet = Fleet(10.0, {RED: 150}, entries=1, waiting=1)
    (entry,) = fleet.entries
    for at in range(60):
        ask(entry, RED, at * 6.6, expected=900.0)

    def start_wait(name, **traits):
        """Ask until no turn is left."""
        traits = {'request': name, **traits}
        while ask(entry, RED, 400.0, **traits) is Decision.ADMIT:
            pass
        assert ask(entry, RED, 420.0, **traits) is Decision.WAIT

    start_wait('one')
    start_wait('sooner', expected=710.0)
    given_up = ask(entry, RED, 440.0, request='one')
    assert isinstance(given_up, Refused)
    assert given_up.reason is Reason.QUEUE
    ended = ask(entry, RED, 500.0, request='sooner')
    assert isinstance(ended, Refused)
    assert ended.reason is Reason.SHARE


def test_a_request_that_waits_starts_once_an_engine_has_room():
    """The load is a burst that ends before the figures show it."""
    fleet = Fleet(10.0, {RED: 150}, entries=1, waiting=1)
    (entry,) = fleet.entries
    traits = {'request': 'one'}
    for at in range(60):
        ask(entry, RED, at * 6.6, expected=900.0)
    while ask(entry, RED, 400.0, **traits) is Decision.ADMIT:
        pass
    assert ask(entry, RED, 420.0, **traits) is Decision.WAIT
    assert ask(entry, RED, 440.0, expected=50.0, **traits) is Decision.ADMIT


def test_a_long_prompt_is_not_refused_beside_an_idle_engine():
    """The load is far below the figures, as rates learned too low make it."""
    fleet = Fleet(10.0, {RED: 1_000}, entries=1)
    (entry,) = fleet.entries
    asked = [
        ask(entry, RED, at * 10.0, expected=500.0, is_idle=at % 2 == 0)
        for at in range(40)
    ]
    assert asked[::2] == [Decision.ADMIT] * 20
    assert Decision.ADMIT not in asked[1::2]


def test_without_working_engines_nothing_is_sent_to_those_that_are_overdue():
    """The load is a fault that takes all engines of a service."""
    fleet = Fleet(10.0, {RED: 50}, entries=1)
    (entry,) = fleet.entries
    # Without engines, the time that requests would take is unknown.
    entry.update(0.0, {RED: ClaimantDemand(0.0, 50.0, 50.0)}, 0.0)
    assert isinstance(ask(entry, RED), Refused)
    assert ask(entry, RED, expected=50.0) is Decision.ADMIT
    entry.update(10.0, {RED: ClaimantDemand(5.0, 50.0, 50.0)}, 100.0)
    assert ask(entry, RED, 100.0) is Decision.ADMIT


def wait(name, rank=1, *, size=10, start_by=100.0):
    return WaitingRequest(name, Claimant(rank, 'red'), size, start_by, 100.0)


def test_a_full_queue_gives_up_the_least_urgent_and_callers_free_places():
    queue = WaitQueue(max_requests=3, max_bytes=100)
    assert queue.add(wait('late', start_by=90.0))
    assert queue.add(wait('soon', start_by=10.0))
    assert queue.add(wait('urgent', rank=0))
    assert queue.add(wait('sooner', start_by=5.0))
    assert queue.take_evicted('late')
    assert not queue.take_evicted('late')
    assert (len(queue), queue.bytes) == (3, 30)
    assert queue.count_ahead(wait('next')) == 2
    queue.remove('soon')
    assert not queue.add(wait('big', size=90))
    assert queue.count_ahead(wait('next')) == 1
    assert (len(queue), queue.bytes) == (2, 20)


@pytest.mark.parametrize(('rank', 'size'), [(0, 101), (1, 60)])
def test_no_request_loses_its_place_for_one_that_does_not_fit(rank, size):
    queue = WaitQueue(max_requests=3, max_bytes=100)
    assert queue.add(wait('urgent', rank=0, size=50))
    assert queue.add(wait('patient', rank=2, size=30))
    assert not queue.add(wait('big', rank, size=size))
    assert not queue.take_evicted('patient')
    assert (len(queue), queue.bytes) == (2, 80)
