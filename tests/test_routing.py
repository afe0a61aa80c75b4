from __future__ import annotations

from random import Random

import pytest

from bench.views import LateFleet
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.demand import Demand, Plan, Refusal, Replica
from oleanderdyke.kernel.link_meter import LinkMeter
from oleanderdyke.kernel.prediction import BacklogTracker
from oleanderdyke.kernel.routing import (
    Costs,
    LinkView,
    ReplicaEstimate,
    plan_prefill,
    should_drop_fetch,
)
from oleanderdyke.links.messages import AgentPhase, BackendKind, Load
from oleanderdyke.policies.routing import make_predicted
from oleanderdyke.policies.settings import AGENCY, COUNCIL

SEGMENTS = tuple(index.to_bytes(8, 'big') for index in range(40))
TOKENS = 40 * 256 + 100
COSTS = Costs(1.0, 0.02, 1e-8, 2_000, 1.0, 100_000)


def make_replica(
    name, *, load=None, kind=BackendKind.ENGINE, beat=1, heard=0.0
):
    load = load or Load(
        prefill_tokens_per_second=8_000.0, link_bytes_per_second=2e9
    )
    service = 'models' if kind is BackendKind.ENGINE else 'store'
    return Replica(
        agent=name,
        address=name,
        incarnation='1',
        backend=kind,
        service=service,
        data_centre='a',
        phase=AgentPhase.SERVING,
        load=load,
        beat=beat,
        heard=heard,
        weight_digest='w1',
    )


def make_fleet(*names):
    fleet = LateFleet()
    for name in names:
        fleet.hear(make_replica(name))
    return fleet


def make_demand(request='r1', **changes):
    given = {
        'team': 't',
        'service': 'models',
        'deadline': 30_000.0,
        'tokens': TOKENS,
        'segments': SEGMENTS,
        'weight_digest': 'w1',
    }
    return Demand(request=request, **(given | changes))


def add_store(fleet, *, rate=2e9, in_flight=0):
    load = Load(link_bytes_per_second=rate, link_bytes_in_flight=in_flight)
    store = make_replica('store', load=load, kind=BackendKind.STORE)
    fleet.hear(store, store=True)
    fleet.apply('store', SEGMENTS, ())


def choose(fleet, router=None, now=1_000.0, **changes):
    router = router or make_predicted(AGENCY)
    return router.choose(make_demand(**changes), fleet, now, Random(1))


def test_cached_prefix_is_used_by_its_replica():
    fleet = make_fleet('e0', 'e1', 'e2')
    fleet.apply('e1', SEGMENTS, ())
    plan = choose(fleet)
    assert (plan.agent, plan.cached, plan.fetched) == ('e1', 40, 0)


def test_stored_prefix_is_fetched_according_to_the_plan():
    fleet = make_fleet('e0', 'e1')
    add_store(fleet)
    plan = choose(fleet)
    assert (plan.store, plan.fetched) == ('store', 40)


@pytest.mark.parametrize(
    'link', [{'rate': 1e7}, {'in_flight': int(2e11)}], ids=['slow', 'busy']
)
def test_degraded_link_is_avoided(link):
    fleet = make_fleet('e0', 'e1')
    add_store(fleet, **link)
    assert choose(fleet).fetched == 0


def test_part_of_a_prefix_is_fetched_during_queueing():
    link = LinkView(0.0, 4e8)
    prefill = plan_prefill(
        COSTS,
        ReplicaEstimate(
            1_000, 1_000, 8_000.0, TOKENS, 0, covered=40, link=link
        ),
    )
    assert 0 < prefill.fetched < 40


def test_council_fetches_where_the_agency_recomputes():
    fleet = make_fleet('e0', 'e1')
    add_store(fleet, rate=5e8)
    agency = choose(fleet)
    council = choose(fleet, make_predicted(COUNCIL))
    assert (agency.fetched, council.fetched) == (0, 40)


def test_fetch_under_way_is_joined_and_not_repeated():
    fleet = make_fleet('e0', 'e1', 'e2')
    add_store(fleet)
    router = make_predicted(AGENCY)
    first = choose(fleet, router)
    router.record_sent(make_demand(), first, 1_000.0)
    second = choose(fleet, router, request='r2', now=1_010.0)
    assert second.agent == first.agent
    assert (second.joined, second.fetched) == (40, 40)


def test_entries_send_a_cold_prefix_to_the_same_replica():
    fleet = make_fleet(*(f'e{index}' for index in range(6)))
    agents = {
        make_predicted(AGENCY)
        .choose(make_demand(), fleet, 0.0, Random(seed))
        .agent
        for seed in range(8)
    }
    assert len(agents) == 1


def test_failed_request_leaves_no_pending_prefix():
    fleet = make_fleet('e0', 'e1')
    router = make_predicted(AGENCY)
    first = choose(fleet, router)
    for agent in ('e0', 'e1'):
        router.record_sent(make_demand(), Plan(agent, ''), 1_000.0)
    router.record_finished('r1', 1_500.0)
    again = choose(fleet, router, request='r2', now=1_600.0)
    assert (again.agent, again.cached) == (first.agent, 0)


def test_short_requests_have_priority():
    fleet = make_fleet('e0')
    assert choose(fleet).priority > choose(fleet, tokens=500).priority


def test_replicas_with_other_weights_are_never_chosen():
    refusal = choose(make_fleet('e0', 'e1'), weight_digest='w2')
    assert isinstance(refusal, Refusal)
    assert refusal.kind is ErrorKind.NO_REPLICA


def test_excluded_replica_is_not_chosen():
    fleet = make_fleet('e0', 'e1')
    fleet.apply('e0', SEGMENTS, ())
    plan = make_predicted(AGENCY).choose(
        make_demand(), fleet, 0.0, Random(1), exclude=frozenset({'e0'})
    )
    assert plan.agent == 'e1'


def test_holder_is_found_in_a_large_fleet_with_few_predictions():
    fleet = make_fleet(*(f'e{index}' for index in range(200)))
    fleet.apply('e150', SEGMENTS[:-1], ())
    counted = []
    count = fleet.count_leading
    fleet.count_leading = lambda *given: counted.append(1) or count(*given)
    assert choose(fleet).agent == 'e150'
    assert len(counted) < 20


def test_plain_service_takes_the_less_loaded_replica():
    fleet = LateFleet()
    fleet.hear(make_replica('e0', load=Load(running=9, waiting=9, slots=8)))
    fleet.hear(make_replica('e1', load=Load(running=1, slots=8)))
    assert choose(fleet, tokens=0, segments=()).agent == 'e1'


def test_own_dispatches_count_before_reports_show_them():
    tracker = BacklogTracker(200.0, 8_000.0)
    idle = make_replica('e0')
    tracker.record_sent('r1', 'e0', 8_000, 100.0)
    assert tracker.estimate_wait(idle, 100.0) == pytest.approx(1_000.0)
    tracker.record_first_token('r1', 1_100.0)
    assert tracker.estimate_wait(idle, 1_100.0) == 0.0


def test_reported_tokens_are_not_counted_twice():
    tracker = BacklogTracker(200.0, 8_000.0)
    tracker.record_sent('r1', 'e0', 8_000, 0.0)
    load = Load(waiting_tokens=12_000, prefill_tokens_per_second=8_000.0)
    shown = make_replica('e0', load=load, beat=2, heard=300.0)
    assert tracker.estimate_tokens(shown, 0.0) == pytest.approx(12_000)


def test_fetch_is_dropped_only_when_recompute_is_cheaper():
    given = {'missing_tokens': 8_000, 'tokens_per_second': 8_000.0}
    assert should_drop_fetch(COSTS, bytes_per_second=1e8, **given)
    assert not should_drop_fetch(COSTS, bytes_per_second=2e9, **given)
    busy = {'wait': 60_000.0, 'bytes_per_second': 1e8}
    assert not should_drop_fetch(COSTS, **busy, **given)


def test_meter_measures_a_degraded_link():
    meter = LinkMeter(1e9)
    meter.record_requested(10**9, 0.0)
    for second in range(1, 9):
        meter.record_sent(10**8, second * 1_000.0)
    assert meter.estimate_rate(8_000.0) < 2e8
    assert meter.bytes_in_flight == 2 * 10**8
