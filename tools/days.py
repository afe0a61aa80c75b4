"""Run the fault days of deploy/days on deployments; print a line for each.

Needs the users' bench program, which is not part of this repository.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

_ROOT = Path(__file__).parents[1]
_DAYS = _ROOT / 'deploy' / 'days'
# A day with hundreds of machines takes about nine minutes.
_DAY_LIMIT_SECONDS = 1_200
_BROKEN_MARK = 'BROKEN'


@dataclass(frozen=True, slots=True)
class DayRun:
    """Describe one run of a day on a site.

    `is_small` selects the small variant of a large site.
    """

    bench: Path
    site: Path
    day: Path
    is_small: bool = False


def main(arguments: Sequence[str] | None = None) -> int:
    """Run every day on every site; return 1 if any run broke a rule."""
    options = _make_parser().parse_args(arguments)
    runs = [
        DayRun(options.bench, site, day, is_small=options.small)
        for site in options.sites
        for day in sorted(_DAYS.glob('*.toml'))
    ]
    with ThreadPoolExecutor(options.jobs) as pool:
        lines = list(pool.map(_run_day, runs))
    sys.stdout.write('\n'.join(lines) + '\n')
    return int(any(_BROKEN_MARK in line for line in lines))


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m tools.days', description=__doc__
    )
    parser.add_argument('--bench', type=Path, required=True)
    parser.add_argument('--jobs', type=int, default=3)
    parser.add_argument(
        '--small',
        action='store_true',
        help='run the small variants of large sites',
    )
    parser.add_argument('sites', nargs='+', type=Path)
    return parser


def _run_day(day_run: DayRun) -> str:
    process = subprocess.run(  # noqa: S603 - the operator names the bench
        make_command(day_run),
        cwd=_ROOT,
        capture_output=True,
        text=True,
        timeout=_DAY_LIMIT_SECONDS,
        check=False,
    )
    result_lines = list(_find_result_lines(day_run.day.stem, process.stdout))
    result = '; '.join(result_lines) or f'{day_run.day.stem}: no result'
    return f'{day_run.site.stem}: {result}'


def make_command(day_run: DayRun) -> list[str]:
    """Return the command line that runs a day."""
    command = [str(day_run.bench), 'run', str(day_run.site), str(day_run.day)]
    return [*command, '--small'] if day_run.is_small else command


def _find_result_lines(day: str, output: str) -> Iterator[str]:
    """Yield the summary line of the day and the first fault, if any."""
    for line in output.splitlines():
        if line.startswith(day) or 'first that is wrong' in line:
            yield re.sub(r'\s+', ' ', line)


if __name__ == '__main__':
    sys.exit(main())
