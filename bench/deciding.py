"""Measure the processor time per decision for several fleet sizes."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from itertools import pairwise
from random import Random

from bench.views import LateFleet
from bench.workload import AGENCY, Visit, Workload
from oleanderdyke.clock import SECOND
from oleanderdyke.kernel.demand import Demand, Plan, Replica
from oleanderdyke.links.messages import AgentPhase, BackendKind, Load
from oleanderdyke.policies.admission import make_fair
from oleanderdyke.policies.registries import TeamTerms
from oleanderdyke.policies.routing import make_predicted
from oleanderdyke.policies.settings import PRESETS

SIZES = (6, 60, 200, 600)
_DECISIONS = 400
_ROUNDS = 9
_TARGET_MICROS = 200.0
_COPIES_PER_PROMPT = 3
_SERVICE = 'models'


def make_replica(name: str, kind: BackendKind, beat: int) -> Replica:
    """Return a replica with a typical load."""
    load = Load(
        running=3,
        waiting=1,
        waiting_tokens=2_000,
        prefill_tokens_per_second=8_000.0,
        slots=16,
        link_bytes_per_second=2e9,
    )
    return Replica(
        agent=name,
        address=name,
        incarnation='1',
        backend=kind,
        service=_SERVICE if kind is BackendKind.ENGINE else 'store',
        data_centre='a',
        phase=AgentPhase.SERVING,
        load=load,
        beat=beat,
        heard=0.0,
        weight_digest='w0',
    )


def make_fleet(size: int, visits: Sequence[Visit], random: Random) -> LateFleet:
    """Build a fleet in which a few engines and the store cache each prompt."""
    fleet = LateFleet()
    names = [f'engine-{index}' for index in range(size)]
    for name in names:
        fleet.hear(make_replica(name, BackendKind.ENGINE, 1))
    fleet.hear(make_replica('store-0', BackendKind.STORE, 1), store=True)
    for visit in visits:
        for name in random.sample(names, min(_COPIES_PER_PROMPT, size)):
            fleet.apply(name, visit.segments[:-1], ())
        fleet.apply('store-0', visit.segments, ())
    return fleet


def make_demand(visit: Visit) -> Demand:
    """Return the routing demand of a visit."""
    return Demand(
        request=f'r{visit.number}',
        team=visit.team,
        service=_SERVICE,
        deadline=30 * SECOND,
        tokens=visit.tokens,
        answer_tokens=visit.answer_tokens,
        segments=visit.segments,
        weight_digest='w0',
        data_centre='a',
    )


def measure_routing(size: int, demands: Sequence[Demand]) -> float:
    """Return the microseconds of choosing a replica and recording it."""
    fleet = make_fleet(size, _VISITS, Random('fleet'))
    router = make_predicted(PRESETS['agency'])
    random = Random('choices')

    def decide(demand: Demand) -> None:
        plan = router.choose(demand, fleet, SECOND, random)
        assert isinstance(plan, Plan)
        router.record_sent(demand, plan, SECOND)
        router.record_finished(demand.request, SECOND)

    return _time_decisions(decide, demands)


def measure_admission(size: int, demands: Sequence[Demand]) -> float:
    """Return the microseconds of admitting and finishing one request."""
    fleet = make_fleet(size, _VISITS, Random('fleet'))
    admission = make_fair(PRESETS['agency'], lambda team: TeamTerms())

    def decide(demand: Demand) -> None:
        admission.admit(demand, fleet, SECOND)
        admission.record_finished(demand.request, SECOND)

    return _time_decisions(decide, demands)


def _time_decisions(
    decide: Callable[[Demand], None], demands: Sequence[Demand]
) -> float:
    """Return the minimum microseconds per decision over several rounds.

    Other work on the machine can only add time, never reduce it.
    """
    rounds = []
    for number in range(_ROUNDS):
        renamed = [
            replace(each, request=f'{each.request}-{number}')
            for each in demands
        ]
        start = time.process_time_ns()
        for demand in renamed:
            decide(demand)
        spent = time.process_time_ns() - start
        rounds.append(spent / 1_000 / len(renamed))
    return min(rounds)


_VISITS = Workload(AGENCY, 1).make_trace(5.0, 80 * SECOND, days=1).window


def main() -> None:
    """Print the cost per fleet size and the slopes between sizes."""
    demands = [make_demand(each) for each in _VISITS[:_DECISIONS]]
    print(f'{"replicas":>9}{"routing us":>12}{"admission us":>14}')
    costs = {}
    for size in SIZES:
        costs[size] = measure_routing(size, demands)
        admission = measure_admission(size, demands)
        print(f'{size:9}{costs[size]:12.1f}{admission:14.1f}')
    for low, high in pairwise(SIZES):
        slope = (costs[high] - costs[low]) / (high - low)
        print(f'routing slope {low}..{high}: {slope:.3f} us a replica')
    met = 'met' if costs[200] <= _TARGET_MICROS else 'MISSED'
    print(f'target at 200 replicas, {_TARGET_MICROS:.0f} us: {met}')


if __name__ == '__main__':
    main()
