"""Recognize server-sent events, find their ends, and check their lines."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

_EVENT_STREAM_TYPE = 'text/event-stream'
_CONTENT_TYPE = 'content-type'
_LF_EVENT_END = b'\n\n'
_COMMENT = b':'
_LINE_END = re.compile(rb'\r\n|\n|\r')
# Lines end with CRLF, LF or CR. The groups are atomic, as a CRLF must not be
# taken for two line ends.
_EVENT_END = re.compile(rb'(?>\r\n|\n|\r)(?>\r\n|\n|\r)')
# Blank lines and whole comment lines, which keep idle connections open.
_FILLER = re.compile(rb'(?>(?::[^\r\n]*)?(?>\r\n|\n|\r))+')
_FILLER_STARTS = (b':', b'\n', b'\r')
_BLANK_LINES = (b'\n', b'\r', b'\r\n')
LONGEST_END_BYTES = 4
# An incomplete event of a stream that may go on elsewhere is kept up to this
# size.
EVENT_LIMIT_BYTES = 1024 * 1024
DATA = b'data'
EVENT = b'event'
ID = b'id'
RETRY = b'retry'
# What is kept of a line that has not ended: its field, or a whole number.
_LINE_BYTES = 64
_NUMBER = re.compile(rb'\d{1,18}')


def is_event_stream(headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether the media type is that of server-sent events."""
    return any(
        name.lower() == _CONTENT_TYPE and _names_events(content)
        for name, content in headers
    )


def find_event_end(data: bytes | bytearray, searched: int = 0) -> int:
    """Return the index behind the first whole event, -1 if there is none.

    `searched` bytes are known to hold no end. A CR at the end of the data ends
    a line; an LF that comes later belongs to it, and begins the next event.
    """
    if b'\r' not in data:
        end = data.find(_LF_EVENT_END, max(searched - 1, 0))
        return end if end < 0 else end + len(_LF_EVENT_END)
    start = max(searched - LONGEST_END_BYTES + 1, 0)
    found = _EVENT_END.search(data, start)
    return -1 if found is None else found.end()


def find_filler_end(data: bytes | bytearray) -> int:
    """Return the index behind leading blank and comment lines, -1 if none.

    A single blank line may be the rest of the end before it, and is left.
    """
    if not data.startswith(_FILLER_STARTS):
        return -1
    found = _FILLER.match(data)
    if found is None or found.group() in _BLANK_LINES:
        return -1
    return found.end()


def is_within_event(rest: bytes | bytearray) -> bool:
    """Return whether the bytes behind the last whole event begin another.

    Blank lines and whole comment lines don't.
    """
    *whole, last = _LINE_END.split(rest)
    return bool(last.strip()) or any(
        line.strip() and not line.startswith(_COMMENT) for line in whole
    )


def list_event_ends(data: bytes) -> Iterator[int]:
    """Yield the index behind each event that ends in the data."""
    for found in _EVENT_END.finditer(data):
        yield found.end()


def count_events(data: bytes) -> int:
    """Return the number of events that end in the data."""
    if b'\r' not in data:
        return data.count(_LF_EVENT_END)
    return len(_EVENT_END.findall(data))


def split_events(data: bytes) -> list[bytes]:
    """Return the events without their ends; the last part is incomplete."""
    return _EVENT_END.split(data)


def _names_events(content: str) -> bool:
    media_type = content.partition(';')[0].strip()
    return media_type.lower() == _EVENT_STREAM_TYPE


class EventFault(Exception):
    """The next bytes of a stream fit no event, or one exceeds the limit."""


@dataclass(frozen=True, slots=True)
class Grammar:
    """The fields that events may have.

    A field that is `first` comes before all others. An event names its own
    number in `number` at most once; None if servers number no events.
    """

    text: frozenset[bytes]
    numeric: frozenset[bytes]
    first: bytes | None = None
    number: bytes | None = None

    def knows(self, name: bytes) -> bool:
        """Return whether an event may have this field."""
        return name in self.text or name in self.numeric

    def may_begin(self, start: bytes) -> bool:
        """Return whether the name of a field may begin like this."""
        fields = self.text | self.numeric
        return any(each.startswith(start) for each in fields)


class EventLines:
    """Check lines, which may arrive in parts; memory is bounded."""

    def __init__(self, grammar: Grammar) -> None:
        self._grammar = grammar
        self.number: int | None = None
        self.names: set[bytes] = set()
        # The beginning of the line that has not ended yet.
        self._line = b''

    @property
    def is_within_line(self) -> bool:
        """Return whether the last line has not ended."""
        return bool(self._line)

    def feed(self, data: bytes | bytearray) -> None:
        """Check more lines, also one without end; raise EventFault."""
        *whole, last = _LINE_END.split(self._line + data)
        for line in whole:
            self._add(line)
        self._line = bytes(last[:_LINE_BYTES])
        self._check_open()

    def _add(self, line: bytes | bytearray) -> None:
        name, _, content = bytes(line).partition(b':')
        if not name:
            # A comment, or the blank line at the end.
            return
        if not self._grammar.knows(name):
            raise EventFault('a line has no known field')
        if name == self._grammar.first and self.names:
            raise EventFault('the version is not in the first line')
        self.names.add(name)
        if name in self._grammar.numeric:
            self._add_number(name, content)

    def _add_number(self, name: bytes, content: bytes) -> None:
        number = parse_number(content.removeprefix(b' '))
        if number is None:
            raise EventFault(f'{name.decode()} is not a number')
        if name != self._grammar.number:
            return
        if self.number is not None:
            raise EventFault('an event has two ids')
        self.number = number

    def _check_open(self) -> None:
        name, colon, _ = self._line.partition(b':')
        if colon:
            is_known = not name or self._grammar.knows(name)
        else:
            is_known = self._grammar.may_begin(name)
        if not is_known:
            raise EventFault('a line has no known field')


def parse_number(text: bytes) -> int | None:
    """Return the number that an id names, None if it names none."""
    return int(text) if _NUMBER.fullmatch(text) else None
