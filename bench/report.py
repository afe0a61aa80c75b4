"""Print tables of measures and compare them with the targets."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from statistics import fmean

from bench.measures import Measures
from bench.runs import Task
from bench.system import BASELINES, ORACLE, POLICY, SYSTEMS
from oleanderdyke.clock import SECOND, Millis

_MAX_RATIO = 1.02
_ROUTING_BASELINES = BASELINES[:4]
# The council's readers tolerate a longer wait than visitors at a door.
COUNCIL_BOUND: Millis = 6 * SECOND
# A system with a lower share in time is overloaded and not comparable.
_MIN_IN_TIME = 0.95
_HEADER = (
    f'{"system":18}{"ttft50":>8}{"ttft95":>8}{"spread":>14}{"ttft99":>8}'
    f'{"recomp":>8}{"link MB":>9}{"cost":>7}{"good/s":>8}{"in time":>8}'
    f'{"refused":>8}{"fair":>6}{"small":>7}{"letters":>8}{"back s":>7}'
)

Results = Mapping[Task, Measures]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold whether one target was met, with the figures."""

    target: str
    met: bool
    detail: str


def print_table(results: Results, deployment: str, scenario: str) -> None:
    """Print a row of means over the seeds for each system."""
    print(f'\n{deployment} / {scenario}')
    print(_HEADER)
    for system in SYSTEMS:
        found = find(results, deployment, scenario, system)
        if found:
            print(_make_row(system, found))


def _make_row(system: str, found: Sequence[Measures]) -> str:
    def mean(name: str) -> float:
        return fmean(getattr(each, name) for each in found)

    lowest = min(each.ttft_95 for each in found)
    highest = max(each.ttft_95 for each in found)
    spread = f'{lowest:.0f}-{highest:.0f}'
    return (
        f'{system:18}{mean("ttft_50"):8.0f}{mean("ttft_95"):8.0f}'
        f'{spread:>14}{mean("ttft_99"):8.0f}{mean("recomputed"):8.3f}'
        f'{mean("link_bytes") / 1e6:9.0f}{mean("cost"):7.0f}'
        f'{mean("goodput"):8.2f}{mean("in_time"):8.3f}{mean("refused"):8.3f}'
        f'{mean("fairness"):6.3f}{mean("small_teams"):7.3f}'
        f'{mean("background"):8.0f}{mean("recovery") / SECOND:7.1f}'
    )


def find(
    results: Results, deployment: str, scenario: str, system: str
) -> Sequence[Measures]:
    """Return the measures of all seeds of one system in one scenario."""
    return [
        measures
        for task, measures in results.items()
        if (task.deployment, task.scenario, task.system)
        == (deployment, scenario, system)
    ]


def mean_of(
    results: Results, deployment: str, scenario: str, system: str, name: str
) -> float:
    """Return the mean of one measure over the seeds."""
    found = find(results, deployment, scenario, system)
    return fmean(getattr(each, name) for each in found)


def judge(results: Results) -> list[Verdict]:
    """Compare the results with every target that they cover."""
    shown = {(task.deployment, task.scenario) for task in results}
    verdicts: list[Verdict] = []
    for scenario in ('steady', 'peak-0.9'):
        if ('agency', scenario) in shown:
            verdicts += _judge_agency(results, scenario)
        if ('council', scenario) in shown:
            verdicts += _judge_council(results, scenario)
    for deployment in ('agency', 'council'):
        verdicts += _judge_overload(results, deployment, shown)
    for deployment, scenario in sorted(shown):
        verdicts += _judge_recovery(results, deployment, scenario)
        verdicts += _judge_against_baselines(results, deployment, scenario)
    return verdicts


def print_verdicts(verdicts: Sequence[Verdict]) -> None:
    """Print each target with `met` or `MISS`."""
    print('\nTargets')
    for each in verdicts:
        print(f'{"met " if each.met else "MISS"}  {each.target}: {each.detail}')


def _judge_agency(results: Results, scenario: str) -> list[Verdict]:
    def read(system: str) -> float:
        return mean_of(results, 'agency', scenario, system, 'ttft_95')

    policy, oracle = read(POLICY.name), read(ORACLE.name)
    best = min(_ROUTING_BASELINES, key=lambda each: read(each.name)).name
    gain = 1 - policy / read(best)
    return [
        Verdict(
            f'agency {scenario} ttft95 25% under the best baseline',
            gain >= 0.25,
            f'{policy:.0f} ms against {read(best):.0f} ({best}): {gain:.1%}',
        ),
        Verdict(
            f'agency {scenario} ttft95 within 10% of the oracle',
            policy <= 1.1 * oracle,
            f'{policy:.0f} ms against {oracle:.0f}: {policy / oracle - 1:+.1%}',
        ),
    ]


def _judge_council(results: Results, scenario: str) -> list[Verdict]:
    def read(system: str, name: str) -> float:
        return mean_of(results, 'council', scenario, system, name)

    eligible = [
        each.name
        for each in _ROUTING_BASELINES
        if read(each.name, 'ttft_95') <= COUNCIL_BOUND
        and read(each.name, 'in_time') >= _MIN_IN_TIME
    ]
    policy = read(POLICY.name, 'cost')
    oracle = read(ORACLE.name, 'cost')
    oracle_verdict = Verdict(
        f'council {scenario} cost within 10% of the oracle',
        policy <= 1.1 * oracle,
        f'{policy:.0f} against {oracle:.0f}: {policy / oracle - 1:+.1%}',
    )
    if not eligible:
        # No baseline keeps the bound: compare all that answer in time.
        eligible = [
            each.name
            for each in _ROUTING_BASELINES
            if read(each.name, 'in_time') >= _MIN_IN_TIME
        ]
    if not eligible:
        return [oracle_verdict]
    best = min(eligible, key=lambda name: read(name, 'cost'))
    gain = 1 - policy / read(best, 'cost')
    verdicts = [
        Verdict(
            f'council {scenario} cost 20% under the best baseline',
            gain >= 0.2,
            f'{policy:.0f} against {read(best, "cost"):.0f} '
            f'({best}): {gain:.1%}',
        ),
        oracle_verdict,
    ]
    for name in ('recomputed', 'link_bytes'):
        own, other = read(POLICY.name, name), read(best, name)
        verdicts.append(
            Verdict(
                f'council {scenario} {name} no worse than {best}',
                own <= other,
                f'{own:.4g} against {other:.4g}',
            )
        )
    return verdicts


def _judge_overload(
    results: Results, deployment: str, shown: set[tuple[str, str]]
) -> list[Verdict]:
    needed = {(deployment, 'peak-1.0'), (deployment, 'peak-2.0')}
    if not needed <= shown:
        return []

    def read(scenario: str, name: str) -> float:
        return mean_of(results, deployment, scenario, POLICY.name, name)

    verdicts = []
    for load in ('peak-2.0', 'peak-4.0'):
        if (deployment, load) not in shown:
            continue
        goodput = read(load, 'goodput') / read('peak-1.0', 'goodput')
        small = read(load, 'small_teams') / read('peak-1.0', 'small_teams')
        verdicts += [
            Verdict(
                f'{deployment} {load} goodput at least 95% of peak-1.0',
                goodput >= 0.95,
                f'{goodput:.1%}',
            ),
            Verdict(
                f'{deployment} {load} small teams keep their share',
                small >= 0.95,
                f'{small:.1%} of their visits at peak-1.0 in time',
            ),
        ]
    return verdicts


def _judge_recovery(
    results: Results, deployment: str, scenario: str
) -> list[Verdict]:
    found = find(results, deployment, scenario, POLICY.name)
    if not any(each.recovery for each in found):
        return []
    worst = max(each.recovery for each in found) / SECOND
    return [
        Verdict(
            f'{deployment} {scenario} back to 95% within 10 s',
            worst <= 10,
            f'{worst:.0f} s in the worst seed',
        )
    ]


def _judge_against_baselines(
    results: Results, deployment: str, scenario: str
) -> list[Verdict]:
    """Compare the main measure with every baseline that sustains the load.

    If no system sustains the load, compare goodput instead.
    """

    def read(system: str, name: str) -> float:
        return mean_of(results, deployment, scenario, system, name)

    best_in_time = max(
        read(each.name, 'in_time') for each in (*BASELINES, POLICY)
    )
    if best_in_time < _MIN_IN_TIME:
        return [_compare(read, deployment, scenario, 'goodput', BASELINES)]
    eligible = [
        each for each in BASELINES if read(each.name, 'in_time') >= _MIN_IN_TIME
    ]
    if deployment == 'council':
        eligible = [
            each
            for each in eligible
            if read(each.name, 'ttft_95') <= COUNCIL_BOUND
        ]
    name = 'ttft_95' if deployment == 'agency' else 'cost'
    return [_compare(read, deployment, scenario, name, eligible)]


def _compare(
    read: Callable[[str, str], float],
    deployment: str,
    scenario: str,
    name: str,
    eligible: Sequence[object],
) -> Verdict:
    target = f'{deployment} {scenario} {name} no worse than any baseline'
    policy = read(POLICY.name, name)
    names = [each.name for each in BASELINES if each in eligible]
    if not names:
        return Verdict(
            target, met=True, detail=f'{policy:.4g}; no baseline keeps up'
        )
    more = name == 'goodput'
    best = (max if more else min)(names, key=lambda each: read(each, name))
    other = read(best, name)
    worse = other / policy if more else policy / other
    return Verdict(
        target,
        worse <= _MAX_RATIO,
        f'{policy:.4g} against {other:.4g} ({best}): {worse - 1:+.1%} worse',
    )
