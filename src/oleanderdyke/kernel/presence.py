"""Estimate the number of live entries, erring on the high side."""

from __future__ import annotations

import math

from oleanderdyke.clock import SECOND, Millis

# Entries announce themselves at least every 20 s, so one may be lost.
ANNOUNCEMENT_LIFETIME: Millis = 40 * SECOND
# An entry that has announced itself within this time is counted by all others
# that read. It leaves them time to read the announcement before it expires.
_COUNTED_TIME: Millis = 35 * SECOND
# Entries read the announcements every 10 s. A longer gap means that the store
# was probably unavailable, so that no entry could announce itself.
_MAX_READ_GAP: Millis = 15 * SECOND
# Entries that start together have announced themselves within this time after
# the first one has read the announcements, if they reach the store.
_ANNOUNCEMENT_GRACE: Millis = 5 * SECOND
# The store may reject requests for longer. While it rejects up to half of the
# entries, at most this many times the known entries are alive.
_UNANNOUNCED_FACTOR = 2
# Allows for entries that have started but not announced themselves yet.
_SPARE_ENTRIES = 2
# All other entries have read an announcement after this time: they read every
# 10 s, possibly from a neighbour whose own read is up to 10 s old.
_ANNOUNCEMENT_DELAY: Millis = 25 * SECOND


class EntryCount:
    """Count the entries that announced themselves recently.

    Nothing is known while the announcement of this entry, named `own`, has not
    been read: others may not have been read either. If the system has run
    before (`is_first_start` is False), the stored announcements already name
    every entry that may be alive.
    """

    def __init__(self, own: str = '', *, is_first_start: bool = True) -> None:
        self._own_name = own
        self._is_first_start = is_first_start
        self._starts_together = is_first_start
        self._announced_by_entry: dict[str, Millis] = {}
        self._first_read_at: Millis | None = None
        self._read_at: Millis = -math.inf
        self._announced_since: Millis = math.inf
        self._announced_at: Millis = -math.inf

    def record_entry(self, entry: str, now: Millis) -> None:
        """Record an announcement by an entry, which shows that it is alive."""
        self._announced_by_entry[entry] = now

    def list_known(self) -> tuple[str, ...]:
        """Return the names of the entries that are known to be alive."""
        return tuple(self._announced_by_entry)

    def mark_incomplete(self) -> None:
        """Record that announcements were lost before the first read.

        The stored announcements then don't name every live entry.
        """
        if self._first_read_at is None:
            self._is_first_start = True

    def record_read(self, now: Millis) -> None:
        """Record that the announcements have been read up to their end."""
        if self._first_read_at is None:
            self._first_read_at = now
        elif now - self._read_at > _MAX_READ_GAP:
            self._exclude_gap(self._first_read_at, now)
        self._read_at = now

    def find_age(self, now: Millis) -> int | None:
        """Return how old the last read is, None before the first one."""
        if self._first_read_at is None:
            return None
        return round(now - self._read_at)

    def count(self, now: Millis) -> float:
        """Return an upper estimate of the live entries, infinite if unknown.

        The estimate holds as of the last read, since missing announcements
        mean nothing while this process has not read.
        """
        at = min(now, self._read_at)
        self._announced_by_entry = {
            entry: announced_at
            for entry, announced_at in self._announced_by_entry.items()
            if at - announced_at < ANNOUNCEMENT_LIFETIME
        }
        known = len(self._announced_by_entry)
        if self._first_read_at is None or not self._is_own_read():
            return math.inf
        if self._is_first_start:
            if at - self._first_read_at < _ANNOUNCEMENT_GRACE:
                return math.inf
            if at - self._first_read_at < ANNOUNCEMENT_LIFETIME / 2:
                known *= _UNANNOUNCED_FACTOR
        return known + _SPARE_ENTRIES

    def record_announcement(self, now: Millis) -> None:
        """Record that this entry announced itself."""
        if now - self._announced_at >= ANNOUNCEMENT_LIFETIME:
            self._announced_since = now
        self._announced_at = now

    def is_counted(self, now: Millis) -> bool:
        """Return whether no other entry may have forgotten this one."""
        is_recent = now - self._announced_at < _COUNTED_TIME
        return is_recent and self._is_own_read()

    def count_sharing(self, now: Millis) -> float:
        """Return the number of entries to divide a shared limit by.

        Infinite if other entries may not count this one, since they then use
        the whole limit. After a common start, spare entries are added until
        every entry surely counts this one.
        """
        count = self.count(now)
        if self._is_known_to_all(now) and not math.isinf(count):
            return len(self._announced_by_entry)
        if not self._starts_together or math.isinf(count):
            return math.inf
        # Entries that could not announce themselves yet use no share.
        return len(self._announced_by_entry) + _SPARE_ENTRIES

    def _is_own_read(self) -> bool:
        """Return whether the announcement of this entry has been read."""
        return not self._own_name or self._own_name in self._announced_by_entry

    def _is_known_to_all(self, now: Millis) -> bool:
        """Return whether all other entries have read its announcement."""
        return (
            now - self._announced_since >= _ANNOUNCEMENT_DELAY
            and now - self._announced_at < ANNOUNCEMENT_LIFETIME
        )

    def _exclude_gap(self, first_read_at: Millis, now: Millis) -> None:
        """Shift all times by the gap since the last read."""
        gap = now - self._read_at
        self._first_read_at = first_read_at + gap
        self._announced_by_entry = {
            entry: min(at + gap, now)
            for entry, at in self._announced_by_entry.items()
        }
