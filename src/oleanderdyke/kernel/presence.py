"""Estimate the number of live entries; never underestimates."""

from __future__ import annotations

import math

from oleanderdyke.clock import SECOND, Millis

# Tolerates one lost announcement; entries announce at least every 20 s.
ANNOUNCEMENT_LIFETIME: Millis = 40 * SECOND
# Entries read the notices every 10 s. In a longer gap the store was probably
# out, and then nobody could tell of itself.
_READ_GAP: Millis = 15 * SECOND
# Entries that start together have told of themselves so long after the first of
# them has read the notices, if they reach the store.
_SETTLED: Millis = 5 * SECOND
# Some may not reach it for longer: while it turns away up to half of them, no
# more are alive than this many times those that are known.
_UNHEARD_FACTOR = 2
# Entries may have started that nobody has told of yet.
_SPARE = 2
# All others have read an announcement so long after it was made: they read
# every 10 s, or what a neighbour read as long ago.
_ANNOUNCED_TO_ALL: Millis = 25 * SECOND


class EntryCount:
    """Remember who told of itself lately.

    Where the whole system has run before, the notices of then name all that
    may be alive now.
    """

    def __init__(self, *, is_first_start: bool = True) -> None:
        self._is_first_start = is_first_start
        self._starts_together = is_first_start
        self._heard: dict[str, Millis] = {}
        self._begun: Millis | None = None
        self._read_at: Millis = -math.inf
        self._announced_since: Millis = math.inf
        self._announced_at: Millis = -math.inf

    def record_entry(self, entry: str, now: Millis) -> None:
        """Learn that an entry is alive."""
        self._heard[entry] = now

    def list_known(self) -> tuple[str, ...]:
        """Return the names of the entries known to be alive."""
        return tuple(self._heard)

    def mark_incomplete(self) -> None:
        """Learn that notices were dropped: not all that told are known."""
        if self._begun is None:
            self._is_first_start = True

    def record_read(self, now: Millis) -> None:
        """Learn that the notices have been read up to their end."""
        if self._begun is None:
            self._begun = now
        elif now - self._read_at > _READ_GAP:
            self._skip(self._begun, now)
        self._read_at = now

    def count(self, now: Millis) -> float:
        """Return how many entries may be alive, without a bound if unknown.

        This is as of the last read: silence since then tells nothing.
        """
        at = min(now, self._read_at)
        self._heard = {
            entry: heard_at
            for entry, heard_at in self._heard.items()
            if at - heard_at < ANNOUNCEMENT_LIFETIME
        }
        known = len(self._heard)
        if self._begun is None:
            return math.inf
        if self._is_first_start:
            if at - self._begun < _SETTLED:
                return math.inf
            if at - self._begun < ANNOUNCEMENT_LIFETIME / 2:
                known *= _UNHEARD_FACTOR
        return known + _SPARE

    def record_announcement(self, now: Millis) -> None:
        """Learn that this entry announced itself."""
        if now - self._announced_at >= ANNOUNCEMENT_LIFETIME:
            self._announced_since = now
        self._announced_at = now

    def count_sharing(self, now: Millis) -> float:
        """Return among how many entries something may be shared.

        Infinite for an entry that some others may not count: they share all of
        it. Where all start together, a spare is added at first.
        """
        count = self.count(now)
        if self._is_counted(now):
            return len(self._heard)
        if not self._starts_together or math.isinf(count):
            return math.inf
        # Those that could not announce themselves yet share nothing.
        return len(self._heard) + _SPARE

    def _is_counted(self, now: Millis) -> bool:
        """Return whether all other entries surely count this one."""
        return (
            now - self._announced_since >= _ANNOUNCED_TO_ALL
            and now - self._announced_at < ANNOUNCEMENT_LIFETIME
        )

    def _skip(self, begun: Millis, now: Millis) -> None:
        """Leave out the time since the last read."""
        gap = now - self._read_at
        self._begun = begun + gap
        self._heard = {
            entry: min(at + gap, now) for entry, at in self._heard.items()
        }
