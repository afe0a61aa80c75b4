"""Number server-sent events, so that a stream can be resumed."""

from __future__ import annotations

import re
from dataclasses import dataclass

from oleanderdyke.entry.documents import make_bad_request
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.event_streams import EVENT_LIMIT_BYTES, split_events

# An event without its end; the line of an id may be its last.
_ID_LINE = re.compile(rb'(?:\A|(?<=[\r\n]))id(?::[^\r\n]*)?(?:\r\n|[\r\n]|\Z)')
_POSITION = re.compile(r'(-1|\d{1,12})(?:\.(\d{1,12}))?\Z', re.ASCII)


@dataclass(frozen=True, slots=True)
class Position:
    """Hold what a caller has received of a stream.

    That is all chunks up to `chunk` and `events` events after it.
    """

    chunk: int = -1
    events: int = 0

    def __str__(self) -> str:
        return f'{self.chunk}.{self.events}' if self.events else f'{self.chunk}'


def parse_position(text: str) -> Position:
    """Parse an event id; raise BAD_REQUEST."""
    match = _POSITION.match(text)
    if match is None:
        raise make_bad_request(
            'not a valid event id; allowed: those that the stream has sent'
        )
    return Position(int(match[1]), int(match[2] or 0))


class EventNumberer:
    """Prefix each event with the position after it, as its id.

    Chunk and event boundaries need not coincide. An event that ends with its
    chunk is numbered by the chunk. Any other is numbered by the latest such
    chunk and the count of events since.
    """

    def __init__(self, position: Position) -> None:
        self._chunk = position.chunk
        self._aligned_chunk = position.chunk
        self._skipped = position.events
        self._events = 0
        self._partial_event = b''

    def take(self, chunk: bytes) -> bytes:
        """Add the next chunk; return the numbered events it completes.

        Raise STREAM_BROKEN for an event that exceeds the size limit.
        """
        self._chunk += 1
        if (
            not self._partial_event
            and not self._skipped
            and _is_one_event(chunk)
            and not _may_have_id(chunk)
        ):
            self._aligned_chunk = self._chunk
            self._events = 0
            return b'id: %d\n%b' % (self._chunk, chunk)
        *events, self._partial_event = split_events(self._partial_event + chunk)
        if len(self._partial_event) > EVENT_LIMIT_BYTES:
            raise OleanderError(
                ErrorKind.STREAM_BROKEN,
                f'server-sent event longer than {EVENT_LIMIT_BYTES} bytes',
            )
        parts = [
            self._number(
                event, last=not self._partial_event and event is events[-1]
            )
            for event in events
        ]
        return b''.join(parts)

    def finish(self) -> bytes:
        """Return the bytes after the last complete event, unnumbered."""
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
        # The LF of a CRLF whose CR ended the event before.
        event = event.removeprefix(b'\n')
        if _may_have_id(event):
            # Callers would take the stream up at the last id of an event.
            event = _ID_LINE.sub(b'', event).rstrip(b'\r\n')
        return f'id: {position}\n'.encode() + event + b'\n\n'


def _is_one_event(chunk: bytes) -> bool:
    """Return whether a chunk is exactly one event with LF line ends."""
    boundary = chunk.find(b'\n\n')
    is_split = chunk.startswith(b'\n') or b'\r' in chunk
    return 0 <= boundary == len(chunk) - 2 and not is_split


def _may_have_id(event: bytes) -> bool:
    """Return whether a line may be an id of the server's own."""
    return event.startswith(b'id') or b'\nid' in event or b'\rid' in event
