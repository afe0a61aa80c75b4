"""Compare the routing policies with baselines and an oracle."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from itertools import product
from multiprocessing import Pool

from bench.desk import Desk
from bench.measures import Measures
from bench.report import judge, print_table, print_verdicts
from bench.runs import Task, run
from bench.scenarios import SCENARIOS, WARM_UP
from bench.system import SYSTEMS
from bench.workload import DEPLOYMENTS
from oleanderdyke.clock import SECOND

_SEEDS = 3
_PROCESSES = 3
_QUICK = ('steady', 'peak-0.9')
_CALIBRATION_RATES = (3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0, 10.0)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog='bench', description=__doc__)
    names = [each.name for each in SCENARIOS] + ['log-out']
    parser.add_argument('--scenario', action='append', choices=names)
    parser.add_argument('--system', action='append', choices=list(SYSTEMS))
    parser.add_argument(
        '--deployment', action='append', choices=list(DEPLOYMENTS)
    )
    parser.add_argument('--seeds', type=int, default=_SEEDS)
    parser.add_argument(
        '--quick', action='store_true', help='one seed, two scenarios'
    )
    parser.add_argument(
        '--calibrate', action='store_true', help='find the capacities'
    )
    return parser


def run_all(tasks: Sequence[Task]) -> dict[Task, Measures]:
    """Run tasks in parallel; results don't depend on the order of the runs."""
    with Pool(_PROCESSES) as pool:
        measures = pool.map(run, tasks, chunksize=1)
    return dict(zip(tasks, measures, strict=True))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the selected scenarios and print tables and verdicts."""
    options = make_parser().parse_args(arguments)
    deployments = options.deployment or list(DEPLOYMENTS)
    if options.calibrate:
        calibrate(deployments, options.seeds)
        return 0
    names = [each.name for each in SCENARIOS] + ['log-out']
    scenarios = options.scenario or (list(_QUICK) if options.quick else names)
    seeds = range(1, 2 if options.quick else options.seeds + 1)
    systems = options.system or list(SYSTEMS)
    modelled = [each for each in scenarios if each != 'log-out']
    results: dict[Task, Measures] = {}
    for deployment, scenario in product(deployments, modelled):
        results |= run_all(
            [
                Task(deployment, scenario, system, seed)
                for system, seed in product(systems, seeds)
            ]
        )
        print_table(results, deployment, scenario)
    if 'log-out' in scenarios:
        print_log_out(len(seeds))
    if systems == list(SYSTEMS):
        print_verdicts(judge(results))
    return 0


def calibrate(deployments: Sequence[str], seeds: int) -> None:
    """Print each routing baseline's share in time at increasing rates."""
    systems = [
        'least-outstanding',
        'prefix-affinity',
        'always-fetch',
        'always-recompute',
    ]
    tasks = [
        Task(deployment, 'peak-1.0', system, seed, rate)
        for deployment, system, rate, seed in product(
            deployments, systems, _CALIBRATION_RATES, range(1, seeds + 1)
        )
    ]
    results = run_all(tasks)
    for deployment, system, rate in product(
        deployments, systems, _CALIBRATION_RATES
    ):
        found = [
            measures.in_time
            for task, measures in results.items()
            if (task.deployment, task.system, task.rate)
            == (deployment, system, rate)
        ]
        share = sum(found) / len(found)
        print(f'{deployment:8} {system:18} {rate:5.1f}/s in time {share:.3f}')


def print_log_out(seeds: int) -> None:
    """Print how bookings fare during a ten-minute outage of the log."""
    print('\nlog-out: bookings (run at most once), log out for 600 s')
    print('retries    in 60 s  tries  busiest s  back s')
    outage = (WARM_UP, WARM_UP + 600 * SECOND)
    for jitter, seed in product((True, False), range(1, seeds + 1)):
        result = Desk(seed, jitter=jitter).run(outage[1] + 60 * SECOND, outage)
        done = [each.done for each in result.calls if each.done is not None]
        recovered = [
            each.done
            for each in result.calls
            if each.done is not None and each.at < outage[1] <= each.done
        ]
        tries = sum(each.tries for each in result.calls) / len(result.calls)
        recovery = (max(recovered, default=outage[1]) - outage[1]) / SECOND
        print(
            f'{"jittered" if jitter else "plain":10}'
            f'{len(done) / len(result.calls):9.3f}{tries:7.1f}'
            f'{result.busiest_second:11}{recovery:8.2f}'
        )


if __name__ == '__main__':
    raise SystemExit(main())
