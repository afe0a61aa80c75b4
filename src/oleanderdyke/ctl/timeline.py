"""Command that merges the logs of many processes into one timeline."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from importlib import resources
from pathlib import Path
from typing import TextIO

from oleanderdyke.ctl.endings import find_endings
from oleanderdyke.ctl.event_order import Ordered, order_events, read_events
from oleanderdyke.ctl.exits import ExitCode
from oleanderdyke.events import COMMON_KEYS, Key
from oleanderdyke.logs import format_line

_MILLIS_PER_SECOND = 1_000
_PAGE = 'timeline.html'
_DATA_MARK = '"timeline-data"'
_FILTERS = (Key.REQUEST, Key.TEAM, Key.SERVICE, Key.KIND)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command's options."""
    parser = argparse.ArgumentParser(
        prog='oleanderctl timeline',
        description='Merge the logs of many processes into one order in which'
        ' nothing is received before it was sent.',
    )
    parser.add_argument(
        'files', nargs='+', type=Path, metavar='FILE', help='log of a process'
    )
    for key in _FILTERS:
        parser.add_argument(f'--{key}', help=f'only events of this {key}')
    parser.add_argument('--process', help='only events of this process')
    parser.add_argument('--event', help='only events of this name')
    parser.add_argument(
        '--format',
        choices=('text', 'jsonl', 'html'),
        default='text',
        help='default: text; html is one page for a browser',
    )
    parser.add_argument(
        '--output',
        '-O',
        type=Path,
        help='file to write; default: standard output',
    )
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command and return its exit code."""
    options = make_parser().parse_args(argv)
    try:
        ordered = order_files(options.files)
    except OSError as error:
        print(f'error: {error}', file=sys.stderr)
        return ExitCode.USAGE
    chosen = _filter(ordered, options)
    if not chosen:
        print('no event in these files matches', file=sys.stderr)
        return ExitCode.NOT_FOUND
    if options.output is None:
        write_timeline(chosen, options.format, sys.stdout)
        return 0
    with options.output.open('w', encoding='utf-8') as stream:
        write_timeline(chosen, options.format, stream)
    return 0


def order_files(files: Sequence[Path]) -> list[Ordered]:
    """Read log files and merge their events."""
    sources = []
    for path in files:
        with path.open(encoding='utf-8', errors='replace') as lines:
            sources.append(read_events(lines))
    return order_events(sources)


def write_timeline(
    ordered: Sequence[Ordered], form: str, stream: TextIO
) -> None:
    """Write events as `text`, `jsonl` or `html`."""
    if form == 'html':
        stream.write(_render_page(ordered))
        return
    render = _render_json if form == 'jsonl' else _render_text
    for item in ordered:
        stream.write(render(item))
        stream.write('\n')


def _filter(
    ordered: Sequence[Ordered], options: argparse.Namespace
) -> list[Ordered]:
    wanted = {
        key.value: getattr(options, key.value)
        for key in _FILTERS
        if getattr(options, key.value) is not None
    }
    if options.process is not None:
        wanted['process'] = options.process
    if options.event is not None:
        wanted['event'] = options.event
    if not wanted:
        return list(ordered)
    kept = [
        index
        for index, item in enumerate(ordered)
        if all(
            item.event.pairs.get(key) == text for key, text in wanted.items()
        )
    ]
    if options.request is not None:
        kept = sorted({*kept, *find_endings(ordered, kept)})
    return _renumber(ordered, kept)


def _renumber(ordered: Sequence[Ordered], kept: list[int]) -> list[Ordered]:
    """Convert the index of each cause to that among the kept events."""
    places = {index: place for place, index in enumerate(kept)}
    return [
        Ordered(
            event=ordered[index].event,
            at=ordered[index].at,
            cause=places.get(_read_cause(ordered[index])),
        )
        for index in kept
    ]


def _read_cause(item: Ordered) -> int:
    return -1 if item.cause is None else item.cause


def _select_pairs(item: Ordered) -> dict[str, str]:
    return {
        key: text
        for key, text in item.event.pairs.items()
        if key not in COMMON_KEYS
    }


def _render_text(item: Ordered) -> str:
    moment = datetime.fromtimestamp(item.at / _MILLIS_PER_SECOND, UTC)
    time = moment.strftime('%H:%M:%S.%f')[:-3]
    pairs = format_line(_select_pairs(item))
    return f'{time} {item.event.process:<24} {item.event.name:<22} {pairs}'


def _render_json(item: Ordered) -> str:
    return json.dumps(
        {'corrected': item.at, 'cause': item.cause, **item.event.pairs}
    )


def _render_page(ordered: Sequence[Ordered]) -> str:
    page = resources.files(__package__).joinpath(_PAGE)
    rows = ',\n'.join(_render_rows(ordered))
    # A closing tag in the data would end the script element early.
    rows = rows.replace('</', '<\\/')
    return page.read_text(encoding='utf-8').replace(_DATA_MARK, f'[{rows}]')


def _render_rows(ordered: Sequence[Ordered]) -> Iterator[str]:
    for item in ordered:
        row = [
            round(item.at, 3),
            item.event.process,
            item.event.name,
            _read_cause(item),
            format_line(_select_pairs(item)),
        ]
        yield json.dumps(row, separators=(',', ':'))
