"""Print tables, JSON and YAML that fit a terminal."""

from __future__ import annotations

import datetime as dt
import enum
import json
import shutil
import sys
from collections.abc import Iterator, Sequence
from typing import Any

import yaml

from oleanderdyke.clock import SECOND, Millis

_GAP = '  '
_CUT = '…'
_WIDE = 10_000
_NARROWEST = 8


class Format(enum.StrEnum):
    """Name a form of output."""

    TABLE = 'table'
    JSON = 'json'
    YAML = 'yaml'


def show(line: str = '') -> None:
    """Print one line of the result."""
    sys.stdout.write(line + '\n')


def show_document(document: Any, form: Format) -> None:
    """Print a document as JSON or YAML."""
    if form is Format.JSON:
        show(json.dumps(document, indent=2, ensure_ascii=False))
        return
    show(make_yaml(document).rstrip('\n'))


def make_yaml(document: Any) -> str:
    """Return YAML in the order of the keys; lists become documents."""
    if isinstance(document, list):
        return yaml.safe_dump_all(
            document, sort_keys=False, allow_unicode=True, explicit_start=True
        )
    return str(yaml.safe_dump(document, sort_keys=False, allow_unicode=True))


def show_table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print columns; a terminal's width cuts the widest ones."""
    table = [
        list(titles),
        *([_show_cell(cell) for cell in row] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    _shrink(widths, _find_width() - len(_GAP) * (len(widths) - 1))
    for row in table:
        cells = (
            _cut(cell, width).ljust(width)
            for cell, width in zip(row, widths, strict=True)
        )
        show(_GAP.join(cells).rstrip())


def show_time(wall: Millis) -> str:
    """Return a wall time in UTC."""
    moment = dt.datetime.fromtimestamp(wall / SECOND, tz=dt.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


class Progress:
    """Rewrite one line on stderr, only where that is a terminal."""

    def __init__(self) -> None:
        self._shown = False
        self._active = sys.stderr.isatty()

    def show(self, text: str) -> None:
        """Replace the line."""
        if self._active:
            sys.stderr.write(f'\r\x1b[K{text}')
            sys.stderr.flush()
            self._shown = True

    def end(self) -> None:
        """Leave the line as it is."""
        if self._shown:
            sys.stderr.write('\n')
            self._shown = False


def _show_cell(cell: object) -> str:
    if isinstance(cell, dict):
        return ','.join(f'{key}={found}' for key, found in cell.items())
    if isinstance(cell, float):
        return f'{cell:g}'
    return ''.join(_show_visibly(str(cell)))


def _show_visibly(text: str) -> Iterator[str]:
    for character in text:
        yield character if character.isprintable() else '?'


def _find_width() -> int:
    if not sys.stdout.isatty():
        return _WIDE
    return shutil.get_terminal_size().columns


def _shrink(widths: list[int], room: int) -> None:
    while sum(widths) > room and max(widths) > _NARROWEST:
        widths[widths.index(max(widths))] -= 1


def _cut(cell: str, width: int) -> str:
    return cell if len(cell) <= width else cell[: width - 1] + _CUT
