"""Check how capacity is divided, and what is learned of answers.

The load is a burst of one kind or team that takes the room of all others.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.deployment import (
    Deployment,
    KeyOwner,
    ServiceTraits,
)
from oleanderdyke.kernel.scheduling.answer_lengths import (
    AnswerLengths,
    EndedAnswer,
)
from oleanderdyke.kernel.scheduling.capacity import (
    ServiceRoom,
    estimate_engines,
    measure_room,
)
from oleanderdyke.kernel.scheduling.fair_shares import (
    Claimant,
    divide_capacity,
)
from oleanderdyke.kernel.scheduling.overload import LATE_RANK
from oleanderdyke.kernel.scheduling.urgency import RankOrder
from oleanderdyke.kernel.scheduling.work import Demand, ServerWork
from oleanderdyke.kernel.servers import ServerRecord
from tests.scheduling import NoWorkView, ServiceSpeeds
from tests.test_load_switch import make_route

CLAIMANTS = st.builds(
    Claimant,
    st.integers(0, 2),
    st.sampled_from(['red', 'blue', 'green']),
    st.integers(0, 2),
)
DEMANDS = st.dictionaries(CLAIMANTS, st.floats(0, 100))


@given(st.floats(0, 200), DEMANDS)
def test_no_team_gets_less_than_an_equal_share_of_what_its_rank_is_left(
    capacity, demands
):
    shares = divide_capacity(capacity, demands)
    assert sum(shares.values()) <= capacity * (1 + 1e-9)
    left = capacity
    for rank in sorted({claimant.urgency for claimant in demands}):
        members = [who for who in demands if who.urgency == rank]
        for who in members:
            fair = min(demands[who], left / len(members))
            assert shares[who] >= fair - 1e-6
            assert shares[who] <= demands[who]
        left -= sum(shares[who] for who in members)
        wanted = sum(demands[who] for who in members)
        assert left <= 1e-6 or sum(
            shares[who] for who in members
        ) == pytest.approx(wanted)


def test_routes_keep_their_order_at_engines_where_teams_have_ranks():
    routes = [
        make_route('short', target=400.0, priority=0),
        make_route('long', target=1_200.0, priority=2),
    ]
    owners = {'k': KeyOwner('red', priority=1), 'l': KeyOwner('blue')}
    order = RankOrder()
    order.configure(
        Deployment(
            1, tuple(routes), {'desk': ServiceTraits('desk')}, key_owners=owners
        )
    )
    asked = [
        ('short', 'blue'),
        ('short', 'red'),
        ('long', 'red'),
        ('long', 'blue'),
    ]
    ranks = [
        order.find_rank('desk', order.find_claimant(route, team))
        for route, team in asked
    ]
    assert ranks == sorted(set(ranks))
    assert ranks[-1] < LATE_RANK


def test_the_room_of_a_burst_after_a_quarter_of_the_engines_is_lost():
    class View(NoWorkView):
        def find_work(self, _start, _now):
            return ServerWork(unread=15_000.0)

    engines = [
        Backend(ServerRecord(f'i-{number}', 'desk', 'a:1', 'hall', slots=64))
        for number in range(20)
    ]
    rooms = [
        measure_room(engines[:count], View(), ServiceSpeeds(), 40_000, 0.0)
        for count in (20, 15)
    ]
    assert [room.engines for room in rooms] == [20, 15]
    assert rooms[0].backlog == pytest.approx(300.0)
    assert [room.find_capacity(400.0, 0.1) for room in rooms] == [20.0, 15.0]
    # Prompts in flight beyond the target are read before new ones.
    assert rooms[1].find_capacity(200.0, 0.1) == pytest.approx(15 * 0.95)
    # Cold engines that tolerate four requests of 0.1 s are worth 0.4 each.
    room = replace(rooms[1], cold=5, cold_rate=4.0)
    assert room.find_capacity(400.0, 0.1) == pytest.approx(12.0)


def test_demand_counts_reading_and_the_runs_that_fit_into_memory():
    room = ServiceRoom(20, read_time=0.02, step=5.0, slots=64, memory=40_000)
    lengths = AnswerLengths()
    demand = Demand('desk', 'long', 'red', 30.0, 30.0, 180_000.0, 640.0)
    assert estimate_engines(demand, room, lengths) == pytest.approx(3.65)
    for _ in range(64):
        lengths.record(EndedAnswer('long', 20, 40, 9_000.0, 8_000))
    assert estimate_engines(demand, room, lengths) == pytest.approx(4.88)


def test_lengths_follow_answers_instead_of_what_callers_announce():
    lengths = AnswerLengths()
    assert lengths.find_ratio('long') is None
    assert lengths.find_duration('long', 0.5) is None
    for number in range(64):
        announced = 10 if number % 2 else 100
        lengths.record(
            EndedAnswer('long', announced, 2 * announced, announced * 5.0, 900)
        )
    assert lengths.find_ratio('long') == pytest.approx(2.0)
    assert lengths.find_duration('long', 0.5, 10) == 50.0
    assert lengths.find_duration('long', 0.5, 100) == 500.0
    assert lengths.find_duration('long', 0.5, 4_000) in {50.0, 500.0}
