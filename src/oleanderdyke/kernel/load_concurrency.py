"""Smallest number of concurrent weight loads that all end in time."""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis

# Assumed load duration before any was measured, as a fraction of the time that
# old weights may serve: operators set that limit to fit a few loads in a row.
_INITIAL_SHARE = 1 / 6
# The same where no limit is set: an engine finishes its running requests first,
# and the load itself takes 1 to 2 s.
_INITIAL_DURATION: Millis = 2.5 * SECOND
# Shorter durations are ignored: such loads had ended before this process read
# that they had begun.
_MIN_DURATION: Millis = 0.5 * SECOND
# Number of durations for the median. Loads take longer when requests do; the
# median ignores slow or disconnected engines, which end each round of loads.
_MAX_SAMPLES = 9

# Fraction of the fleet to load at once at most: more leaves too few engines to
# serve, and loads share the links that weights are fetched over. Where this is
# not enough to end in time, loads may end late by `_MAX_DELAY_SHARE` of a load
# duration, as an engine with expired weights is as idle as one that loads.
_MAX_FLEET_SHARE = 1 / 3
_MAX_DELAY_SHARE = 0.5
# A load that takes this many times the usual duration is overdue, and another
# may start beside it. Not less, as durations vary by half on loaded engines.
_OVERDUE_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """Describe a load that should end within `remaining`.

    `elapsed` is how long it has run, None if it has not started.
    """

    remaining: Millis
    elapsed: Millis | None = None


class LoadDurations:
    """Estimate the duration of a load from the latest ones."""

    def __init__(self, limit: Millis) -> None:
        self._initial = _INITIAL_DURATION
        if not math.isinf(limit):
            self._initial = limit * _INITIAL_SHARE
        self._recent: deque[Millis] = deque(maxlen=_MAX_SAMPLES)

    def record(self, duration: Millis) -> None:
        """Add the time that an engine held its turn."""
        if duration >= _MIN_DURATION:
            self._recent.append(duration)

    def estimate(self) -> Millis:
        """Return the median of the latest durations, or the assumed one."""
        if not self._recent:
            return self._initial
        return sorted(self._recent)[len(self._recent) // 2]

    def is_overdue(self, duration: Millis) -> bool:
        """Return whether a load takes much longer than usual."""
        usual = max(self.estimate(), self._initial)
        return duration > usual * _OVERDUE_FACTOR


def count_concurrent_loads(
    pending: Sequence[PendingLoad],
    duration: Millis,
    minimum: int,
    fleet_size: int,
) -> int:
    """Return how many loads have to run at once for all to end in time.

    The fewest are best, as a loading engine neither serves nor keeps its cached
    context. Running loads count with their remaining time. If more than
    `_MAX_FLEET_SHARE` of the fleet were needed, loads may end slightly late.
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
    """Return the smallest concurrency with no load later than `delay`."""
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
    """Return whether no load ends later than `delay` after its deadline.

    Loads start in the given order, `count` at a time. One that can't meet its
    deadline even if it starts now has to start now.
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
