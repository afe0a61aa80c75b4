"""Share the few places that a store of context has for readers."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import SECOND, Millis

# A read waits so long for something new where there is a place for all. It
# returns at once when there is, so that a view is some milliseconds old.
_LONG_WAIT: Millis = 1 * SECOND
# Now and then it leaves its place all the same: who reads on and on never
# learns that others find none, and they never get one.
_YIELD_SHARE = 0.3
_YIELD_PAUSE: Millis = 300.0
# Where there is not, it waits for a part of a second and leaves its place to
# others for a while: a view serves for 3.5 s, so that a read in one to two is
# enough, and a place serves five readers. Shorter reads are charged for.
_SHORT_WAIT: Millis = 250.0
_FIRST_PAUSE: Millis = 700.0
_LONGEST_PAUSE: Millis = 1.2 * SECOND
_PAUSE_GROWTH = 1.3
_PAUSE_SPREAD = 0.5
# Who finds no place asks again after this, and at most half as much more.
_RETRY_PAUSE: Millis = 200.0


@dataclass(slots=True)
class ReadBackoff:
    """Say how long one reader of a store reads and pauses.

    It learns from being turned away that there are more readers than places.
    """

    random: Random
    _pause: Millis = 0.0

    @property
    def wait(self) -> Millis:
        """Return how long a read waits for something new."""
        return _SHORT_WAIT if self._pause else _LONG_WAIT

    def record_rejection(self) -> Millis:
        """Learn that there was no place; return when to ask again."""
        longer = max(self._pause * _PAUSE_GROWTH, _FIRST_PAUSE)
        self._pause = min(longer, _LONGEST_PAUSE)
        return self._spread(_RETRY_PAUSE)

    def find_pause(self) -> Millis:
        """Return how long to leave one's place to others after a read."""
        if self._pause:
            return self._spread(self._pause)
        is_yielding = self.random.random() < _YIELD_SHARE
        return _YIELD_PAUSE if is_yielding else 0.0

    def _spread(self, pause: Millis) -> Millis:
        return pause * self.random.uniform(1 - _PAUSE_SPREAD, 1 + _PAUSE_SPREAD)
