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
_FIRST_SHARE = 1 / 6
# The same where no bound is set: runs end first, and a load takes a second or
# two.
_FIRST_TIME: Millis = 2.5 * SECOND
# What ended sooner was over before this process read that it had begun.
_LEAST_TIME: Millis = 0.5 * SECOND
# Loads get longer where runs do. The middle of so many leaves out engines that
# were slow or cut off, with which each round of loads ends.
_REMEMBERED = 9

# More than this part of the fleet at once leaves too few that serve, and loads
# share the links that weights come over. An engine whose weights may serve no
# longer is idle, as one that loads is: rather than that, some are late by so
# much of a load.
_MANY_SHARE = 1 / 3
_LATE_SHARE = 0.5
# Beside an engine that takes so much longer than others did one more goes; not
# sooner, as on crowded engines loads spread by half.
_OVERDUE_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """Describe a load that should end within `left`.

    It has run for `begun`, or has not begun where that is None.
    """

    left: Millis
    begun: Millis | None = None


class LoadTimes:
    """Remember how long the last loads took."""

    def __init__(self, limit: Millis) -> None:
        self._first = _FIRST_TIME
        if not math.isinf(limit):
            self._first = limit * _FIRST_SHARE
        self._last: deque[Millis] = deque(maxlen=_REMEMBERED)

    def note(self, duration: Millis) -> None:
        """Learn how long an engine had its turn."""
        if duration >= _LEAST_TIME:
            self._last.append(duration)

    def find_time(self) -> Millis:
        """Return how long the next load likely takes."""
        if not self._last:
            return self._first
        return statistics.median_high(self._last)

    def is_overdue(self, duration: Millis) -> bool:
        """Return whether a load takes longer than others did."""
        usual = max(self.find_time(), self._first)
        return duration > usual * _OVERDUE_FACTOR


def count_at_once(
    pending: Sequence[PendingLoad], time: Millis, least: int, fleet: int
) -> int:
    """Count how many of a fleet have to load at once for all to be in time.

    Each engine that loads takes with it its share of what is served, and its
    context. What runs already counts with what is left of it. Where it takes
    many, as many as are needed for the last to be done soon after.
    """
    in_time = _count(pending, time, least, late=0.0)
    many = max(round(fleet * _MANY_SHARE), least)
    if in_time <= many:
        return in_time
    soon_after = _count(pending, time, least, late=time * _LATE_SHARE)
    return max(soon_after, many)


def _count(
    pending: Sequence[PendingLoad], time: Millis, least: int, *, late: Millis
) -> int:
    """Count how many at once it takes for none to be late by more."""
    counts = range(least, max(len(pending), least))
    found = bisect_left(
        counts, 1, key=lambda count: _are_done(pending, count, time, late)
    )
    return least + found


def _are_done(
    pending: Sequence[PendingLoad], count: int, time: Millis, late: Millis
) -> bool:
    """Return whether so many at once, in this order, are late by no more.

    What can't be in time any more is to load at once.
    """
    begun = [each.begun for each in pending if each.begun is not None]
    ends = [max(time - each, 0.0) for each in begun]
    ends += [0.0] * max(count - len(begun), 0)
    heapq.heapify(ends)
    for load in pending:
        if load.begun is not None:
            continue
        end = ends[0] + time
        heapq.heapreplace(ends, end)
        if end > max(load.left + late, time):
            return False
    return True
