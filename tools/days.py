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
from dataclasses import dataclass
from pathlib import Path

_ROOT = Path(__file__).parents[1]
_DAYS = _ROOT / 'deploy' / 'days'
# A day of hundreds of machines takes some nine minutes.
_DAY_LIMIT_SECONDS = 1_200
_BROKEN = 'BROKEN'


@dataclass(frozen=True, slots=True)
class Play:
    """Name a day on a site, and whether its small twin is played."""

    bench: Path
    site: Path
    day: Path
    is_small: bool = False


def main(arguments: Sequence[str] | None = None) -> int:
    """Play every day on every site; return 1 where a rule is broken."""
    options = _make_parser().parse_args(arguments)
    plays = [
        Play(options.bench, site, day, is_small=options.small)
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
    parser.add_argument(
        '--small',
        action='store_true',
        help='play the small twins of large sites',
    )
    parser.add_argument('sites', nargs='+', type=Path)
    return parser


def _play(play: Play) -> str:
    run = subprocess.run(  # noqa: S603 - the operator names the bench
        list_words(play),
        cwd=_ROOT,
        capture_output=True,
        text=True,
        timeout=_DAY_LIMIT_SECONDS,
        check=False,
    )
    found = list(_find_lines(play.day.stem, run.stdout))
    result = '; '.join(found) or f'{play.day.stem}: no result'
    return f'{play.site.stem}: {result}'


def list_words(play: Play) -> list[str]:
    """Return the command that plays a day."""
    words = [str(play.bench), 'run', str(play.site), str(play.day)]
    return [*words, '--small'] if play.is_small else words


def _find_lines(day: str, output: str) -> Iterator[str]:
    """Yield the line of the day, and the first fault where there is one."""
    for line in output.splitlines():
        if line.startswith(day) or 'first that is wrong' in line:
            yield re.sub(r'\s+', ' ', line)


if __name__ == '__main__':
    sys.exit(main())
