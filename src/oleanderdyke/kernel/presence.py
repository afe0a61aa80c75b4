"""Count the entries that are alive, erring high."""

from __future__ import annotations

import math

from oleanderdyke.clock import SECOND, Millis

# An entry tells of itself every 20 s at most; one lost notice doesn't make it
# gone.
LIFE: Millis = 40 * SECOND
# Entries read the notices every 10 s. In a longer gap the store was probably
# out, and then nobody could tell of itself.
_READ_GAP: Millis = 15 * SECOND
# Before anything was heard: more than deployments of three to six entries have,
# counting those that may be added; the grown ones have up to 31.
_UNKNOWN = 12
# Entries may have started that nobody has told of yet.
_SPARE = 2


class EntryCount:
    """Remember who told of itself lately."""

    def __init__(self) -> None:
        self._heard: dict[str, Millis] = {}
        self._begun: Millis | None = None
        self._read_at: Millis = -math.inf

    def note(self, entry: str, now: Millis) -> None:
        """Learn that an entry is alive."""
        self._heard[entry] = now

    def note_read(self, now: Millis) -> None:
        """Learn that the notices have been read up to their end."""
        if self._begun is None:
            self._begun = now
        elif now - self._read_at > _READ_GAP:
            self._skip(self._begun, now)
        self._read_at = now

    def count(self, now: Millis) -> int:
        """Return how many entries may be alive, at least one.

        This is as of the last read: silence since then tells nothing.
        """
        at = min(now, self._read_at)
        self._heard = {
            entry: heard_at
            for entry, heard_at in self._heard.items()
            if at - heard_at < LIFE
        }
        known = len(self._heard) + _SPARE
        if self._begun is None or at - self._begun < LIFE / 2:
            return max(known, _UNKNOWN)
        return known

    def _skip(self, begun: Millis, now: Millis) -> None:
        """Leave out the time since the last read."""
        gap = now - self._read_at
        self._begun = begun + gap
        self._heard = {
            entry: min(at + gap, now) for entry, at in self._heard.items()
        }
