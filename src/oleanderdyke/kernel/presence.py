"""Count the entries that are alive, erring high."""

from __future__ import annotations

from oleanderdyke.clock import SECOND, Millis

# An entry tells of itself every 15 s; two lost notices don't make it gone.
LIFE: Millis = 40 * SECOND
# Before anything was heard: more than the deployments of today have, counting
# those that may be added.
_UNKNOWN = 12
# Entries may have started that nobody has told of yet.
_SPARE = 2


class EntryCount:
    """Remember who told of itself lately."""

    def __init__(self) -> None:
        self._heard: dict[str, Millis] = {}
        self._begun: Millis | None = None

    def note(self, entry: str, now: Millis) -> None:
        """Learn that an entry is alive."""
        self._heard[entry] = now

    def note_read(self, now: Millis) -> None:
        """Learn that the notices have been read up to their end."""
        if self._begun is None:
            self._begun = now

    def count(self, now: Millis) -> int:
        """Return how many entries may be alive, at least one."""
        self._heard = {
            entry: at for entry, at in self._heard.items() if now - at < LIFE
        }
        known = len(self._heard) + _SPARE
        if self._begun is None or now - self._begun < LIFE / 2:
            return max(known, _UNKNOWN)
        return known
