"""Check that an event stream of a server holds nothing but events."""

from __future__ import annotations

import re

from oleanderdyke.event_streams import (
    DATA,
    EVENT,
    ID,
    RETRY,
    EventFault,
    EventLines,
    Grammar,
    is_event_stream,
    list_event_ends,
)
from oleanderdyke.links.messages import Headers

# Entries number the events, so an id of a server is text.
_GRAMMAR = Grammar(
    text=frozenset({DATA, EVENT, ID}), numeric=frozenset({RETRY})
)
_PLAIN_EVENTS = re.compile(rb'(?:data:[^\r\n]*\n\n?)+')
_CONTENT_ENCODING = 'content-encoding'


class EventCheck:
    """Check the bytes of a stream as they arrive; they are not held."""

    def __init__(self) -> None:
        self._lines = EventLines(_GRAMMAR)

    def find_fault(self, data: bytes) -> tuple[int, str]:
        """Return how many bytes may be passed on, and what is wrong behind.

        The fault is '' if all of them may be. Before a fault these are the
        bytes up to the last end of an event.
        """
        is_plain = _PLAIN_EVENTS.fullmatch(data) is not None
        if is_plain and not self._lines.is_within_line:
            return len(data), ''
        sound = 0
        try:
            for end in (*list_event_ends(data), len(data)):
                self._lines.feed(data[sound:end])
                sound = end
        except EventFault as fault:
            return sound, str(fault)
        return sound, ''


def make_event_check(headers: Headers) -> EventCheck | None:
    """Return a check of an answer's body; None if it is no plain stream."""
    is_encoded = any(name.lower() == _CONTENT_ENCODING for name, _ in headers)
    if is_encoded or not is_event_stream(headers):
        return None
    return EventCheck()
