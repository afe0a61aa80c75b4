"""Event log: one line of key=value pairs per event."""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Callable, Mapping
from typing import Protocol, TextIO, TypeAlias

import logbook

from oleanderdyke.clock import Clock, make_clock
from oleanderdyke.events import EventName, Key, Level, find_level
from oleanderdyke.logpipe import PipeHandler

LogValue: TypeAlias = str | int | float | bool | None

_BARE = re.compile(r'[A-Za-z0-9_.:/@+-]+\Z')
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)(?: |\Z)')
_KEYS: Mapping[str, Key] = {key.value: key for key in Key}
_LEVELS: Mapping[Level, int] = {
    Level.DEBUG: logbook.DEBUG,
    Level.INFO: logbook.INFO,
    Level.WARNING: logbook.WARNING,
    Level.ERROR: logbook.ERROR,
}


class LineHandler(Protocol):
    """Destination of log lines."""

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the message of a record as one line."""


class EventLog:
    """The event log of one process.

    `count_dropped` returns the number of lines dropped since the start.
    """

    def __init__(
        self,
        process: str,
        level: Level,
        clock: Clock,
        handler: LineHandler,
        count_dropped: Callable[[], int] = int,
    ) -> None:
        self._process = process
        self._clock = clock
        self._handler = handler
        self.count_dropped = count_dropped
        self._sequence = 0
        self._prefixes = {
            event: (_LEVELS[found], _format_prefix(event, found, process))
            for event in EventName
            if _LEVELS[found := find_level(event)] >= _LEVELS[level]
        }
        self._has_warnings = _LEVELS[Level.WARNING] >= _LEVELS[level]
        self._warnings: dict[EventName, tuple[int, str]] = {}

    def write(self, event: EventName, **values: LogValue) -> None:
        """Write one event; the keys must be members of `events.Key`."""
        prefix = self._prefixes.get(event)
        if prefix is not None:
            self._emit(prefix, values)

    def write_warning(self, event: EventName, **values: LogValue) -> None:
        """Write one event at level warning, whatever the level of its name.

        The line is written even when lines below warning are dropped.
        """
        if self._has_warnings:
            self._emit(self._find_warning(event), values)

    def _emit(
        self, prefix: tuple[int, str], values: Mapping[str, LogValue]
    ) -> None:
        level, text = prefix
        self._sequence += 1
        line = (
            f'at={round(self._clock.wall(), 3)} {text}'
            f' sequence={self._sequence}{_format_values(values)}'
        )
        self._handler.emit(logbook.LogRecord(self._process, level, line))

    def _find_warning(self, event: EventName) -> tuple[int, str]:
        prefix = self._warnings.get(event)
        if prefix is None:
            line = _format_prefix(event, Level.WARNING, self._process)
            prefix = self._warnings[event] = (logbook.WARNING, line)
        return prefix


def _format_prefix(event: EventName, level: Level, process: str) -> str:
    """Render the pairs that are the same in all lines of an event."""
    return format_line(
        {'level': level.value, 'event': event.value, 'process': process}
    )


def _format_values(values: Mapping[str, LogValue]) -> str:
    line = ''
    for key, found in values.items():
        if key not in _KEYS:
            raise ValueError(f'unknown log key {key!r}; add it to events.Key')
        if found is not None:
            line += f' {key}={_quote(found)}'
    return line


def format_line(pairs: Mapping[str, LogValue]) -> str:
    """Render pairs in the format that `parse_line` reads."""
    return ' '.join(
        f'{key}={_quote(found)}'
        for key, found in pairs.items()
        if found is not None
    )


def parse_line(line: str) -> dict[str, str]:
    """Return the pairs of one log line, empty for any other text."""
    pairs: dict[str, str] = {}
    position = 0
    text = line.rstrip('\n')
    while position < len(text):
        match = _PAIR.match(text, position)
        if match is None:
            return {}
        found = _unquote(match[2])
        if found is None:
            return {}
        pairs[match[1]] = found
        position = match.end()
    return pairs


def make_event_log(
    process: str,
    level: Level = Level.INFO,
    clock: Clock | None = None,
    stream: TextIO | None = None,
) -> EventLog:
    """Create the event log of a process, by default on standard error."""
    handler = logbook.StreamHandler(stream or sys.stderr)
    handler.formatter = _show_message
    return EventLog(process, level, clock or make_clock(), handler)


def make_pipe_log(process: str, clock: Clock, descriptor: int) -> EventLog:
    """Create an event log that writes to a pipe without blocking."""
    notice = {
        'level': Level.WARNING.value,
        'event': EventName.LINES_DROPPED.value,
        'process': process,
    }

    def make_notice(count: int) -> str:
        at = round(clock.wall(), 3)
        return format_line({'at': at, **notice, 'count': count})

    handler = PipeHandler(descriptor, clock, make_notice=make_notice)
    return EventLog(
        process, Level.INFO, clock, handler, lambda: handler.dropped
    )


def _show_message(record: logbook.LogRecord, _: logbook.Handler) -> str:
    """Return the line unchanged, as the library's templates are slow."""
    return str(record.msg)


def _quote(found: LogValue) -> str:
    if isinstance(found, bool):
        return 'true' if found else 'false'
    # The text of a number never needs quotes.
    if not isinstance(found, str) or _BARE.match(found):
        return str(found)
    return json.dumps(found)


def _unquote(text: str) -> str | None:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        # The last line of a killed process may be cut off.
        return None
