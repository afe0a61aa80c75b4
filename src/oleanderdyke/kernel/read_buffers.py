"""Buffer the newest records and events that were read, for neighbours."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from itertools import islice

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.context_stores import ContextEvent, ContextEvents

# Neighbours ask again within one or two seconds. One that is further behind
# than the buffer reaches reads the source itself once.
_MAX_RECORDS = 2_000
_MAX_BYTES = 1024 * 1024
# Limits of one answer; the rest follows in the next one.
_MAX_ANSWER_BYTES = 256 * 1024
_MAX_ANSWER_EVENTS = 2_000
_MAX_EVENTS = 20_000


class RecordBuffer:
    """Buffer the newest records of one topic.

    `known_at` is the latest time at which the buffer was known to reach the
    end of the topic, None if unknown; `read_at` is the time of the last read.
    Offsets identify records only within one `era` of the store.
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
        """Append the result of a read that began at offset `start`.

        `known_at` is None if the read did not reach the end of the topic. A
        gap or a new era clears the buffer first.
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
        """Return records from an offset on, None if it was evicted."""
        if start < self._first:
            return None
        found: list[bytes] = []
        size = 0
        for record in islice(self._records, start - self._first, None):
            size += len(record)
            if found and size > _MAX_ANSWER_BYTES:
                break
            found.append(record)
        return tuple(found)

    def _restart(self, start: int) -> None:
        self._records.clear()
        self._first, self._bytes = start, 0
        self.known_at = None

    def _trim(self) -> None:
        while self._records and (
            len(self._records) > _MAX_RECORDS or self._bytes > _MAX_BYTES
        ):
            self._bytes -= len(self._records.popleft())
            self._first += 1


class EventBuffer:
    """Buffer the newest events of one context store.

    `latest` is the result of the last read, which was requested at
    `requested_at` and answered at `answered_at`.
    """

    def __init__(self) -> None:
        self.latest: ContextEvents | None = None
        self.requested_at: Millis = 0.0
        self.answered_at: Millis = 0.0
        self._events: deque[ContextEvent] = deque()
        self._first = 0

    def add(
        self, since: int, found: ContextEvents, asked_at: Millis, now: Millis
    ) -> None:
        """Append the result of a read that began at position `since`."""
        last = self.latest
        if last is None or last.boot != found.boot or last.next != since:
            self._events.clear()
            self._first = since
        self._events.extend(found.events)
        while len(self._events) > _MAX_EVENTS:
            self._first = self._events.popleft().number
        self.latest = found
        self.requested_at = asked_at
        self.answered_at = now

    def find(self, since: int) -> tuple[ContextEvent, ...] | None:
        """Return the events after a position, None if it was evicted."""
        if since < self._first:
            return None
        if self.latest is None or since >= self.latest.next:
            return ()
        later = (each for each in self._events if each.number > since)
        return tuple(islice(later, _MAX_ANSWER_EVENTS))
