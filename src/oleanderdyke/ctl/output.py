"""Output of tables, JSON and YAML to a terminal."""

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

_COLUMN_GAP = '  '
_ELLIPSIS = '…'
_UNLIMITED_WIDTH = 10_000
_MIN_COLUMN_WIDTH = 8


class Format(enum.StrEnum):
    """Output formats of a command."""

    TABLE = 'table'
    JSON = 'json'
    YAML = 'yaml'


def show(line: str = '') -> None:
    """Write one line to the standard output."""
    sys.stdout.write(line + '\n')


def show_document(document: Any, form: Format) -> None:
    """Print a document as JSON or YAML."""
    if form is Format.JSON:
        show(json.dumps(document, indent=2, ensure_ascii=False))
        return
    show(make_yaml(document).rstrip('\n'))


def make_yaml(document: Any) -> str:
    """Return YAML that keeps the order of keys; list items become documents."""
    if isinstance(document, list):
        return yaml.safe_dump_all(
            document, sort_keys=False, allow_unicode=True, explicit_start=True
        )
    return str(yaml.safe_dump(document, sort_keys=False, allow_unicode=True))


def show_table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table, cutting the widest columns to a terminal's width."""
    table = [
        list(titles),
        *([_show_cell(cell) for cell in row] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    _shrink(
        widths, _get_terminal_width() - len(_COLUMN_GAP) * (len(widths) - 1)
    )
    for row in table:
        cells = (
            _truncate(cell, width).ljust(width)
            for cell, width in zip(row, widths, strict=True)
        )
        show(_COLUMN_GAP.join(cells).rstrip())


def show_time(wall: Millis) -> str:
    """Return a wall-clock time in UTC as ISO 8601."""
    moment = dt.datetime.fromtimestamp(wall / SECOND, tz=dt.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


class Progress:
    """Show progress in one line on stderr, only if that is a terminal."""

    def __init__(self) -> None:
        self._shown = False
        self._active = sys.stderr.isatty()

    def show(self, text: str) -> None:
        """Replace the text of the line."""
        if self._active:
            sys.stderr.write(f'\r\x1b[K{text}')
            sys.stderr.flush()
            self._shown = True

    def end(self) -> None:
        """Finish the line, if one was shown."""
        if self._shown:
            sys.stderr.write('\n')
            self._shown = False


def _show_cell(cell: object) -> str:
    if isinstance(cell, dict):
        return ','.join(f'{key}={value}' for key, value in cell.items())
    if isinstance(cell, float):
        return f'{cell:g}'
    return ''.join(_replace_unprintable(str(cell)))


def _replace_unprintable(text: str) -> Iterator[str]:
    for character in text:
        yield character if character.isprintable() else '?'


def _get_terminal_width() -> int:
    if not sys.stdout.isatty():
        return _UNLIMITED_WIDTH
    return shutil.get_terminal_size().columns


def _shrink(widths: list[int], available: int) -> None:
    while sum(widths) > available and max(widths) > _MIN_COLUMN_WIDTH:
        widths[widths.index(max(widths))] -= 1


def _truncate(cell: str, width: int) -> str:
    return cell if len(cell) <= width else cell[: width - 1] + _ELLIPSIS
