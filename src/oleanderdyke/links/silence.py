"""Decide when a peer has been silent for too long."""

from __future__ import annotations

from oleanderdyke.clock import Millis

# A tick later than this many intervals says that this process slept.
_LATE = 2.0


class SilenceWatch:
    """Count the ticks in which a peer that could be heard was not.

    Ticks are counted and not time, so that a process that was frozen first
    reads what arrived meanwhile.
    """

    def __init__(self, *, interval: Millis, allowed: int, now: Millis) -> None:
        self._interval = interval
        self._allowed = allowed
        self._last_tick = now
        self._heard = True
        self._missed = 0

    @property
    def quiet(self) -> bool:
        """Return whether nothing arrived before the last tick."""
        return self._missed > 0

    def note_heard(self) -> None:
        """Learn that bytes arrived."""
        self._heard = True

    def tick(self, now: Millis, *, reading: bool) -> bool:
        """Return whether the peer counts as silent.

        `reading` says that this side takes bytes from the socket.
        """
        late = self.is_late(now)
        self._last_tick = now
        if late or self._heard or not reading:
            self._missed = 0
        else:
            self._missed += 1
        self._heard = False
        return self._missed >= self._allowed

    def is_late(self, now: Millis) -> bool:
        """Return whether this process slept since the last tick."""
        return now - self._last_tick > _LATE * self._interval
