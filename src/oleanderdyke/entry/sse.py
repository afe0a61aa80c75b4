"""Number the events of a server-sent stream so that it can be resumed."""

from __future__ import annotations

import re
from dataclasses import dataclass

from oleanderdyke.entry.documents import make_bad_request
from oleanderdyke.errors import ErrorKind, OleanderError

SSE_TYPE = 'text/event-stream'

_BOUNDARY = re.compile(rb'\r?\n\r?\n')
_POSITION = re.compile(r'(-1|\d{1,12})(?:\.(\d{1,12}))?\Z', re.ASCII)
_EVENT_LIMIT = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Position:
    """Tell what a caller has: all chunks up to `chunk`, and then `events`."""

    chunk: int = -1
    events: int = 0

    def __str__(self) -> str:
        return f'{self.chunk}.{self.events}' if self.events else f'{self.chunk}'


def parse_position(text: str) -> Position:
    """Read the id of an event; raise BAD_REQUEST."""
    match = _POSITION.match(text)
    if match is None:
        raise make_bad_request('not the id of an event of this stream')
    return Position(int(match[1]), int(match[2] or 0))


class EventNumberer:
    """Put the position behind each event in front of it.

    Chunks need not end where events do. An event that ends its chunk carries
    the number of the chunk, any other the last such number and a count.
    """

    def __init__(self, position: Position) -> None:
        self._chunk = position.chunk
        self._aligned_chunk = position.chunk
        self._skipped = position.events
        self._events = 0
        self._partial_event = b''

    def take(self, chunk: bytes) -> bytes:
        """Take the next chunk; return the numbered events that it completes.

        Raise STREAM_BROKEN for an event without an end.
        """
        self._chunk += 1
        if (
            not self._partial_event
            and not self._skipped
            and _is_one_event(chunk)
        ):
            self._aligned_chunk = self._chunk
            self._events = 0
            return b'id: %d\n%b' % (self._chunk, chunk)
        *events, self._partial_event = _BOUNDARY.split(
            self._partial_event + chunk
        )
        if len(self._partial_event) > _EVENT_LIMIT:
            raise OleanderError(ErrorKind.STREAM_BROKEN, 'an event is too long')
        parts = [
            self._number(
                event, last=not self._partial_event and event is events[-1]
            )
            for event in events
        ]
        return b''.join(parts)

    def finish(self) -> bytes:
        """Return what is left without a number."""
        rest, self._partial_event = self._partial_event, b''
        return rest

    def _number(self, event: bytes, *, last: bool) -> bytes:
        self._events += 1
        seen = self._events <= self._skipped
        if last:
            self._aligned_chunk = self._chunk
            self._events = 0
            self._skipped = 0
        if seen:
            return b''
        position = Position(self._aligned_chunk, self._events)
        return f'id: {position}\n'.encode() + event + b'\n\n'


def _is_one_event(chunk: bytes) -> bool:
    """Return whether a chunk is one event in the usual form."""
    boundary = chunk.find(b'\n\n')
    return 0 <= boundary == len(chunk) - 2 and b'\r' not in chunk
