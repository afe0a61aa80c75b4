from __future__ import annotations

import pytest

from bench.views import LateFleet
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.admission import FairQueue, QueuedRequest, TokenBucket
from oleanderdyke.kernel.demand import Admitted, Demand, Queued, Refusal
from oleanderdyke.kernel.objects import Limits
from oleanderdyke.links.messages import Load
from oleanderdyke.policies.admission import make_fair
from oleanderdyke.policies.registries import TeamTerms
from oleanderdyke.policies.settings import PolicySettings
from test_routing import make_replica

SETTINGS = PolicySettings(entries=1)
IDLE = Load(slots=4, prefill_tokens_per_second=8_000.0)
BUSY = Load(
    running=4, waiting=8, waiting_tokens=80_000, slots=4,
    prefill_tokens_per_second=8_000.0,
)  # fmt: skip


def make_fleet(load, beat=1):
    fleet = LateFleet()
    fleet.hear(make_replica('e0', load=load, beat=beat))
    return fleet


def make_demand(request, team='a', **changes):
    given = {'service': 'models', 'deadline': 60_000.0, 'tokens': 8_000}
    return Demand(request=request, team=team, **(given | changes))


def make_admission(**terms):
    known = {team: TeamTerms(**given) for team, given in terms.items()}
    return make_fair(SETTINGS, lambda team: known.get(team, TeamTerms()))


def release_all(policy, steps=40):
    """Release and finish queued requests one by one; return their order."""
    order = []
    for step in range(steps):
        now = 1_000.0 * (step + 1)
        idle = make_fleet(IDLE, beat=step + 2)
        for request, answer in policy.release(idle, now):
            assert isinstance(answer, Admitted)
            order.append(request)
            policy.record_finished(request, now)
    return order


def test_idle_service_admits_at_once():
    policy = make_admission()
    assert policy.admit(make_demand('r'), make_fleet(IDLE), 0.0) == Admitted()


def test_busy_service_queues_and_releases_in_time():
    policy = make_admission()
    assert policy.admit(make_demand('r'), make_fleet(BUSY), 0.0) == Queued()
    assert not policy.release(make_fleet(BUSY), 10.0)
    idle = make_fleet(IDLE, beat=2)
    assert policy.release(idle, 1_000.0) == [('r', Admitted())]


def test_large_team_does_not_delay_a_small_one():
    policy = make_admission()
    busy = make_fleet(BUSY)
    for index in range(12):
        late = make_demand(f'a{index}', deadline=1e9)
        assert policy.admit(late, busy, 0.0) == Queued()
    policy.admit(make_demand('b0', 'b', deadline=1e9), busy, 0.0)
    assert release_all(policy).index('b0') <= 2


def test_weights_set_the_shares():
    queue = FairQueue()
    for index in range(30):
        for team, weight in (('a', 3.0), ('b', 1.0)):
            queue.push(
                QueuedRequest(make_demand(f'{team}{index}', team), 10, 0),
                weight,
            )
    first = [queue.pop().demand.team for _ in range(20)]
    assert first.count('a') == 15


def test_late_requests_are_refused_with_increasing_retry_times():
    policy = make_admission()
    busy = make_fleet(BUSY)
    answers = [
        policy.admit(make_demand(f'r{index}', deadline=4_000.0), busy, 0.0)
        for index in range(40)
    ]
    refused = [each for each in answers if isinstance(each, Refusal)]
    assert {each.kind for each in refused} == {ErrorKind.OVERLOADED}
    assert refused[-1].retry_after > refused[0].retry_after > 0


def test_queued_request_is_refused_when_it_would_be_late():
    policy = make_admission()
    busy = make_fleet(BUSY)
    assert (
        policy.admit(make_demand('r', deadline=12_000.0), busy, 0.0) == Queued()
    )
    [(request, answer)] = policy.release(busy, 11_500.0)
    assert (request, answer.kind) == ('r', ErrorKind.OVERLOADED)
    assert not policy.release(make_fleet(IDLE, beat=3), 19_000.0)


def test_background_requests_wait_for_all_others():
    policy = make_admission()
    busy = make_fleet(BUSY)
    letter = make_demand('letter', background=True, deadline=1e9)
    assert policy.admit(letter, busy, 0.0) == Queued()
    policy.admit(make_demand('r', deadline=1e9), busy, 0.0)
    assert release_all(policy) == ['r', 'letter']


def test_short_requests_pass_queued_long_ones():
    policy = make_admission()
    busy = Load(
        running=1, waiting_tokens=80_000, slots=4,
        prefill_tokens_per_second=8_000.0,
    )  # fmt: skip
    fleet = LateFleet()
    for index in range(4):
        fleet.hear(make_replica(f'e{index}', load=busy))
    for index in range(4):
        assert policy.admit(make_demand(f'l{index}'), fleet, 0.0) == Queued()
    quick = make_demand('s', tokens=100)
    kept = Load(slots=4, prefill_tokens_per_second=8_000.0, running=1)
    for index in range(4):
        fleet.hear(make_replica(f'e{index}', load=kept, beat=2))
    assert policy.admit(quick, fleet, 100.0) == Admitted()


@pytest.mark.parametrize(
    ('limits', 'allowed'),
    [
        (Limits(requests_per_second=2.0), 2),
        (Limits(tokens_per_second=12_000.0), 2),
        (Limits(concurrency=3), 3),
    ],
)
def test_limits_apply_to_each_team_separately(limits, allowed):
    policy = make_admission(a={'limits': limits})
    fleet = make_fleet(Load(slots=100, prefill_tokens_per_second=1e9))
    answers = [
        policy.admit(make_demand(f'r{index}'), fleet, 0.0) for index in range(6)
    ]
    refused = [each for each in answers if isinstance(each, Refusal)]
    assert len(refused) == 6 - allowed
    assert {each.kind for each in refused} == {ErrorKind.RATE_LIMITED}
    assert policy.admit(make_demand('o', 'b'), fleet, 0.0) == Admitted()


def test_token_bucket_refills():
    bucket = TokenBucket(2.0, 0.0)
    bucket.take(2, 0.0)
    wait = bucket.wait(0.0)
    assert wait > 0
    assert bucket.wait(wait) == 0


def test_idle_teams_take_no_memory():
    queue = FairQueue()
    for index in range(5_000):
        queue.charge(f't{index}', 1.0, 1.0)
    assert not queue._finish_tags
    policy = make_admission()
    for index in range(5_000):
        fleet = make_fleet(IDLE)
        policy.admit(make_demand(f'r{index}', f't{index}'), fleet, float(index))
        policy.record_finished(f'r{index}', float(index))
    assert not policy._running
    assert not policy._waiting
    assert not len(policy._limits)


def test_queue_is_bounded():
    settings = PolicySettings(entries=1, queued_limit=2)
    policy = make_fair(settings, lambda team: TeamTerms())
    busy = make_fleet(BUSY)
    answers = [
        policy.admit(make_demand(f'r{index}', deadline=1e9), busy, 0.0)
        for index in range(3)
    ]
    assert isinstance(answers[-1], Refusal)


def test_caller_who_left_the_queue_is_not_released():
    policy = make_admission()
    policy.admit(make_demand('r'), make_fleet(BUSY), 0.0)
    policy.record_finished('r', 100.0)
    assert not policy.release(make_fleet(IDLE, beat=2), 1_000.0)
