"""Write one line of key=value pairs for each event."""

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
    """Take the lines of a process."""

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the message of a record as one line."""


class EventLog:
    """Write the events of one process.

    `count_dropped` tells how many lines found no room since the start.
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
        self._beginnings = {
            event: (_LEVELS[found], _begin_line(event, found, process))
            for event in EventName
            if _LEVELS[found := find_level(event)] >= _LEVELS[level]
        }
        self._has_warnings = _LEVELS[Level.WARNING] >= _LEVELS[level]
        self._urgent: dict[EventName, tuple[int, str]] = {}

    def write(self, event: EventName, **values: LogValue) -> None:
        """Write one event; the keys must be members of `events.Key`."""
        beginning = self._beginnings.get(event)
        if beginning is not None:
            self._emit(beginning, values)

    def write_warning(self, event: EventName, **values: LogValue) -> None:
        """Write one event as a warning, whatever the level of its kind.

        It finds room where lines of good requests are dropped.
        """
        if self._has_warnings:
            self._emit(self._find_urgent(event), values)

    def _emit(
        self, beginning: tuple[int, str], values: Mapping[str, LogValue]
    ) -> None:
        level, text = beginning
        self._sequence += 1
        line = (
            f'at={round(self._clock.wall(), 3)} {text}'
            f' sequence={self._sequence}{_format_values(values)}'
        )
        self._handler.emit(logbook.LogRecord(self._process, level, line))

    def _find_urgent(self, event: EventName) -> tuple[int, str]:
        beginning = self._urgent.get(event)
        if beginning is None:
            line = _begin_line(event, Level.WARNING, self._process)
            beginning = self._urgent[event] = (logbook.WARNING, line)
        return beginning


def _begin_line(event: EventName, level: Level, process: str) -> str:
    """Render the pairs that are the same in each line of an event."""
    return format_line(
        {'level': level.value, 'event': event.value, 'process': process}
    )


def _format_values(values: Mapping[str, LogValue]) -> str:
    line = ''
    for key, found in values.items():
        if key not in _KEYS:
            raise ValueError(f'{key!r} is not a key of the log')
        if found is not None:
            line += f' {key}={_quote(found)}'
    return line


def format_line(pairs: Mapping[str, LogValue]) -> str:
    """Render pairs so that `parse_line` gives them back as text."""
    return ' '.join(
        f'{key}={_quote(found)}'
        for key, found in pairs.items()
        if found is not None
    )


def parse_line(line: str) -> dict[str, str]:
    """Read the pairs of one log line; return none for any other text."""
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
    """Build the log of a process, on standard error unless told otherwise."""
    handler = logbook.StreamHandler(stream or sys.stderr)
    handler.formatter = _show_message
    return EventLog(process, level, clock or make_clock(), handler)


def make_pipe_log(process: str, clock: Clock, descriptor: int) -> EventLog:
    """Build a log that never waits for whoever reads it."""
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
    """Return the line as it is; the library's templates are slow."""
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
        # The line of a killed process may end anywhere.
        return None
