"""Detection of silent peers."""

from __future__ import annotations

from oleanderdyke.clock import Millis

# A tick later than this many intervals shows that this process was suspended.
_LATE_INTERVALS = 2.0


class KeepaliveMonitor:
    """Count consecutive ticks without bytes from the peer.

    Ticks are counted instead of time, so that a process that was frozen first
    reads the bytes that arrived in the meantime.
    """

    def __init__(self, *, interval: Millis, allowed: int, now: Millis) -> None:
        self._interval = interval
        self._allowed = allowed
        self._last_tick = now
        self._has_activity = True
        self._missed = 0

    @property
    def is_idle(self) -> bool:
        """Return whether nothing arrived before the last tick."""
        return self._missed > 0

    def record_activity(self) -> None:
        """Record that bytes arrived from the peer."""
        self._has_activity = True

    def tick(self, now: Millis, *, reading: bool) -> bool:
        """Return whether the peer has been silent for `allowed` ticks.

        `reading` tells whether this side reads from the socket; ticks in which
        it does not are not counted against the peer.
        """
        late = self.is_late(now)
        self._last_tick = now
        if late or self._has_activity or not reading:
            self._missed = 0
        else:
            self._missed += 1
        self._has_activity = False
        return self._missed >= self._allowed

    def is_late(self, now: Millis) -> bool:
        """Return whether this process was suspended since the last tick."""
        return now - self._last_tick > _LATE_INTERVALS * self._interval
