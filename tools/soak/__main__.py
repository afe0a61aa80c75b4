"""Run the soak from the command line; exit with 1 on a broken promise."""

from __future__ import annotations

import argparse
import functools
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from types import FrameType

import anyio

from tests.processes import ROOT
from tools.soak.late_plan import make_late_plan
from tools.soak.plan import (
    Plan,
    make_crowd_plan,
    make_garble_plan,
    make_join_plan,
    make_plan,
    make_poison_plan,
    make_repeat_plan,
    make_stream_plan,
)
from tools.soak.run import describe_result, run_soak

# By the name of their option; the last that is set decides.
_PLANS = {
    'late': make_late_plan,
    'poison': make_poison_plan,
    'repeat': make_repeat_plan,
    'garble': make_garble_plan,
    'crowd': make_crowd_plan,
    'joins': make_join_plan,
}
_DIRECTORY = ROOT / 'build' / 'soak'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run each seed; return 1 if a promise was broken."""
    options = _make_parser().parse_args(arguments)
    signal.signal(signal.SIGTERM, _interrupt)
    seeds = range(options.seed, options.seed + options.seeds)
    try:
        results = [_run_seed(seed, options) for seed in seeds]
    except KeyboardInterrupt:
        return 1
    return int(not all(results))


def _run_seed(seed: int, options: argparse.Namespace) -> bool:
    """Run one seed; return whether every promise was kept."""
    plan = _make_plan(seed, options)
    for line in plan.describe():
        _print(line)
    directory = Path(options.directory) / f'seed-{seed}'
    directory.mkdir(parents=True, exist_ok=True)
    lines: list[str] = []

    def report(line: str) -> None:
        lines.append(line)
        if options.verbose or line.startswith('BROKEN'):
            _print(line)

    soak = anyio.run(functools.partial(run_soak, plan, directory, report))
    is_kept = not any(line.startswith('BROKEN') for line in lines)
    verdict = 'KEPT' if is_kept else f'BROKEN, logs in {directory}'
    _print(f'{describe_result(soak)} {verdict}')
    return is_kept


def _make_plan(seed: int, options: argparse.Namespace) -> Plan:
    make = make_plan if options.calls_only else make_stream_plan
    for name, drawn in _PLANS.items():
        if getattr(options, name):
            make = drawn
    return make(seed, options.seconds, entries=options.entries)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m tools.soak', description=__doc__
    )
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument(
        '--seeds', type=int, default=1, help='number of seeds to run in turn'
    )
    parser.add_argument(
        '--seconds', type=float, default=60.0, help='length of each run'
    )
    parser.add_argument(
        '--entries', type=int, default=3, help='entries at the start'
    )
    parser.add_argument(
        '--calls-only',
        action='store_true',
        help='draw no streams, software versions or series of stops',
    )
    parser.add_argument(
        '--late',
        action='store_true',
        help='run servers as processes that stand still, behind links',
    )
    parser.add_argument(
        '--poison',
        action='store_true',
        help='send requests with a part that ends servers',
    )
    parser.add_argument(
        '--repeat',
        action='store_true',
        help='send one request that ends servers of a small service again',
    )
    parser.add_argument(
        '--garble',
        action='store_true',
        help='repeat answers late, send bytes without end, fell context stores',
    )
    parser.add_argument(
        '--joins',
        action='store_true',
        help='let versions join while an entry is frozen or cut off',
    )
    parser.add_argument(
        '--crowd',
        action='store_true',
        help='let crowds come that leave their requests unfinished',
    )
    parser.add_argument(
        '--directory', default=_DIRECTORY, help='folder for settings and logs'
    )
    parser.add_argument(
        '--verbose', action='store_true', help='print each fault as it begins'
    )
    return parser


def _interrupt(_number: int, _frame: FrameType | None) -> None:
    raise KeyboardInterrupt


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
