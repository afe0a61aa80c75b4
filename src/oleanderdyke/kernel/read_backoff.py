"""Backoff for readers of a context store that limits its readers."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import SECOND, Millis

# Time that a read waits for new events while the store has room for all
# readers. It returns with the first event, so views are milliseconds old.
_LONG_WAIT: Millis = 1 * SECOND
# Some reads are followed by a pause even then: a reader that never disconnects
# is never rejected, and would keep the others out without noticing it.
_YIELD_PROBABILITY = 0.3
_YIELD_PAUSE: Millis = 300.0
# After a rejection, reads wait for a shorter time and are followed by a pause
# for other readers. A view can be used for 3.5 s, so one read in 1 to 2 s is
# enough, and one slot of the store serves five readers. Shorter reads are
# charged for.
_SHORT_WAIT: Millis = 250.0
_MIN_PAUSE: Millis = 700.0
_MAX_PAUSE: Millis = 1.2 * SECOND
_PAUSE_GROWTH = 1.3
_PAUSE_JITTER = 0.5
# Mean time to a retry after a rejection, with jitter of up to half of it.
_RETRY_PAUSE: Millis = 200.0


@dataclass(slots=True)
class ReadBackoff:
    """Choose the wait and the pause of one reader of a store.

    A rejection by the store shows that there are more readers than slots.
    """

    random: Random
    _pause: Millis = 0.0

    @property
    def wait(self) -> Millis:
        """Return how long a read waits for new events."""
        return _SHORT_WAIT if self._pause else _LONG_WAIT

    def record_rejection(self) -> Millis:
        """Lengthen the pauses after a rejection; return the retry delay."""
        pause = max(self._pause * _PAUSE_GROWTH, _MIN_PAUSE)
        self._pause = min(pause, _MAX_PAUSE)
        return self._add_jitter(_RETRY_PAUSE)

    def find_pause(self) -> Millis:
        """Return how long to stay disconnected after a read."""
        if self._pause:
            return self._add_jitter(self._pause)
        is_yielding = self.random.random() < _YIELD_PROBABILITY
        return _YIELD_PAUSE if is_yielding else 0.0

    def _add_jitter(self, pause: Millis) -> Millis:
        return pause * self.random.uniform(1 - _PAUSE_JITTER, 1 + _PAUSE_JITTER)
