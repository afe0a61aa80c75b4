"""Play the days of our own on the users' deployments, one line each.

Needs the users' bench, which is not part of this repository.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

_ROOT = Path(__file__).parents[1]
_DAYS = _ROOT / 'deploy' / 'days'
_DAY_LIMIT_SECONDS = 300
_BROKEN = 'BROKEN'


def main(arguments: Sequence[str] | None = None) -> int:
    """Play every day on every site; return 1 where a rule is broken."""
    options = _make_parser().parse_args(arguments)
    plays = [
        (options.bench, site, day)
        for site in options.sites
        for day in sorted(_DAYS.glob('*.toml'))
    ]
    with ThreadPoolExecutor(options.jobs) as pool:
        lines = list(pool.map(_play, plays))
    sys.stdout.write('\n'.join(lines) + '\n')
    return int(any(_BROKEN in line for line in lines))


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m tools.days', description=__doc__
    )
    parser.add_argument('--bench', type=Path, required=True)
    parser.add_argument('--jobs', type=int, default=3)
    parser.add_argument('sites', nargs='+', type=Path)
    return parser


def _play(play: tuple[Path, Path, Path]) -> str:
    bench, site, day = play
    run = subprocess.run(  # noqa: S603 - the operator names the bench
        [bench, 'run', site, day],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        timeout=_DAY_LIMIT_SECONDS,
        check=False,
    )
    found = list(_find_lines(day.stem, run.stdout))
    return f'{site.stem}: ' + ('; '.join(found) or f'{day.stem}: no result')


def _find_lines(day: str, output: str) -> Iterator[str]:
    """Yield the line of the day, and the first fault where there is one."""
    for line in output.splitlines():
        if line.startswith(day) or 'first that is wrong' in line:
            yield re.sub(r'\s+', ' ', line)


if __name__ == '__main__':
    sys.exit(main())
