"""Find how few engines may load new weights at once, and be done in time."""

from __future__ import annotations

import heapq
import math
import statistics
from bisect import bisect_left
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis

# Until loads were seen, one is taken for this part of the time that old weights
# may serve: whoever sets that leaves room for a few, one after the other.
_INITIAL_SHARE = 1 / 6
# The same where no bound is set: runs end first, and a load takes a second or
# two.
_INITIAL_DURATION: Millis = 2.5 * SECOND
# What ended sooner was over before this process read that it had begun.
_MIN_DURATION: Millis = 0.5 * SECOND
# Loads get longer where runs do. The middle of so many leaves out engines that
# were slow or cut off, with which each round of loads ends.
_MAX_SAMPLES = 9

# More than this part of the fleet at once leaves too few that serve, and loads
# share the links that weights come over. An engine whose weights may serve no
# longer is idle, as one that loads is: rather than that, some are late by so
# much of a load.
_MAX_FLEET_SHARE = 1 / 3
_MAX_DELAY_SHARE = 0.5
# Beside an engine that takes so much longer than others did one more goes; not
# sooner, as on crowded engines loads spread by half.
_OVERDUE_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """Describe a load that should end within `left`.

    It has run for `begun`, or has not begun where that is None.
    """

    remaining: Millis
    elapsed: Millis | None = None


class LoadDurations:
    """Remember how long the last loads took."""

    def __init__(self, limit: Millis) -> None:
        self._initial = _INITIAL_DURATION
        if not math.isinf(limit):
            self._initial = limit * _INITIAL_SHARE
        self._recent: deque[Millis] = deque(maxlen=_MAX_SAMPLES)

    def record(self, duration: Millis) -> None:
        """Learn how long an engine had its turn."""
        if duration >= _MIN_DURATION:
            self._recent.append(duration)

    def estimate(self) -> Millis:
        """Return how long the next load likely takes."""
        if not self._recent:
            return self._initial
        return statistics.median_high(self._recent)

    def is_overdue(self, duration: Millis) -> bool:
        """Return whether a load takes longer than others did."""
        usual = max(self.estimate(), self._initial)
        return duration > usual * _OVERDUE_FACTOR


def count_concurrent_loads(
    pending: Sequence[PendingLoad],
    duration: Millis,
    minimum: int,
    fleet_size: int,
) -> int:
    """Count how many of a fleet have to load at once for all to be in time.

    Each engine that loads takes with it its share of what is served, and its
    context. What runs already counts with what is left of it. Where it takes
    many, as many as are needed for the last to be done soon after.
    """
    on_time = _find_minimum(pending, duration, minimum, delay=0.0)
    ceiling = max(round(fleet_size * _MAX_FLEET_SHARE), minimum)
    if on_time <= ceiling:
        return on_time
    delayed = _find_minimum(
        pending, duration, minimum, delay=duration * _MAX_DELAY_SHARE
    )
    return max(delayed, ceiling)


def _find_minimum(
    pending: Sequence[PendingLoad],
    duration: Millis,
    minimum: int,
    *,
    delay: Millis,
) -> int:
    """Count how many at once it takes for none to be late by more."""
    counts = range(minimum, max(len(pending), minimum))
    offset = bisect_left(
        counts,
        1,
        key=lambda count: _meet_deadlines(pending, count, duration, delay),
    )
    return minimum + offset


def _meet_deadlines(
    pending: Sequence[PendingLoad], count: int, duration: Millis, delay: Millis
) -> bool:
    """Return whether so many at once, in this order, are late by no more.

    What can't be in time any more is to load at once.
    """
    elapsed = [each.elapsed for each in pending if each.elapsed is not None]
    slot_ends = [max(duration - each, 0.0) for each in elapsed]
    slot_ends += [0.0] * max(count - len(elapsed), 0)
    heapq.heapify(slot_ends)
    for load in pending:
        if load.elapsed is not None:
            continue
        end = slot_ends[0] + duration
        heapq.heapreplace(slot_ends, end)
        if end > max(load.remaining + delay, duration):
            return False
    return True
