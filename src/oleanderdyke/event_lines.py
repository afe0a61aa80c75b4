"""Check the lines of server-sent events against the fields they may have."""

from __future__ import annotations

import re
from dataclasses import dataclass

DATA = b'data'
EVENT = b'event'
ID = b'id'
RETRY = b'retry'
# What is kept of a line that has not ended: its field, or a whole number.
_LINE_BYTES = 64
_NUMBER = re.compile(rb'\d{1,18}')
_LINE_END = re.compile(rb'\r\n|\n|\r')


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
