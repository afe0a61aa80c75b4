"""Keep the newest of what this process read, for its neighbours."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from itertools import islice

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.context_stores import ContextEvent, ContextEvents

# A neighbour asks again within a second or two; what has fallen further behind
# reads for itself once.
_MOST_RECORDS = 2_000
_MOST_BYTES = 1024 * 1024
# One answer holds so much at most; the rest follows in the next.
_ANSWER_BYTES = 256 * 1024
_ANSWER_EVENTS = 2_000
_MOST_EVENTS = 20_000


class RecordBuffer:
    """Keep the newest records of one topic.

    `known_at` is when surely no others followed them, None before that is
    known; `read_at` is when the topic was last read. Offsets of another `era`
    of the store name other records.
    """

    def __init__(self) -> None:
        self.known_at: Millis | None = None
        self.read_at: Millis | None = None
        self.era: int | None = None
        self._records: deque[bytes] = deque()
        self._first = 0
        self._bytes = 0

    @property
    def end(self) -> int:
        """Return the offset after the newest record."""
        return self._first + len(self._records)

    def add(
        self,
        start: int,
        records: Sequence[bytes],
        *,
        known_at: Millis | None,
        now: Millis,
        era: int | None = None,
    ) -> None:
        """Take what a read from `start` on found.

        `known_at` is None where more records were there than it returned.
        """
        self.read_at = now
        if start != self.end or era != self.era:
            self._restart(start)
        self.era = era
        self._records.extend(records)
        self._bytes += sum(map(len, records))
        self._trim()
        if known_at is not None:
            self.known_at = max(known_at, self.known_at or known_at)

    def find(self, start: int) -> tuple[bytes, ...] | None:
        """Return records from an offset on, None where it is not kept."""
        if start < self._first:
            return None
        found: list[bytes] = []
        size = 0
        for record in islice(self._records, start - self._first, None):
            size += len(record)
            if found and size > _ANSWER_BYTES:
                break
            found.append(record)
        return tuple(found)

    def _restart(self, start: int) -> None:
        self._records.clear()
        self._first, self._bytes = start, 0
        self.known_at = None

    def _trim(self) -> None:
        while self._records and (
            len(self._records) > _MOST_RECORDS or self._bytes > _MOST_BYTES
        ):
            self._bytes -= len(self._records.popleft())
            self._first += 1


class EventBuffer:
    """Keep the newest events of one store of context."""

    def __init__(self) -> None:
        self.latest: ContextEvents | None = None
        self.requested_at: Millis = 0.0
        self.answered_at: Millis = 0.0
        self._events: deque[ContextEvent] = deque()
        self._first = 0

    def add(
        self, since: int, found: ContextEvents, asked_at: Millis, now: Millis
    ) -> None:
        """Take what a read from a position on found."""
        last = self.latest
        if last is None or last.boot != found.boot or last.next != since:
            self._events.clear()
            self._first = since
        self._events.extend(found.events)
        while len(self._events) > _MOST_EVENTS:
            self._first = self._events.popleft().number
        self.latest = found
        self.requested_at = asked_at
        self.answered_at = now

    def find(self, since: int) -> tuple[ContextEvent, ...] | None:
        """Return the events after a position, None where it is not kept."""
        if since < self._first:
            return None
        if self.latest is None or since >= self.latest.next:
            return ()
        later = (each for each in self._events if each.number > since)
        return tuple(islice(later, _ANSWER_EVENTS))
