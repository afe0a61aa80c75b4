"""Find how few engines may load new weights at once, and be done in time."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis

# From an engine's turn to the end of its load, until some have been seen: the
# runs end first, and a load takes one or two seconds. Of 30 in the logs of four
# runs half took up to 2.0 s, three quarters up to 2.9 s.
_USUAL_TIME: Millis = 2.5 * SECOND
# What ended sooner was over before this process read of it.
_LEAST_TIME: Millis = 0.5 * SECOND
# The longest of so many counts: under load runs take longer to end.
_REMEMBERED = 3
# Loads share the weight store: over two at once take longer. So many may load
# at once in the end, when most of the others serve with new weights.
_AT_ONCE_LATER = 2
# Loads that may have to be done again: an order is lost or an engine crashes.
# More than two at once cost more than a spare one saves.
_SPARE = 1


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """Describe a load that is to end in `left`; it began `begun` ago."""

    left: Millis
    begun: Millis = 0.0


class LoadTimes:
    """Remember how long the last loads took."""

    def __init__(self) -> None:
        self._last: deque[Millis] = deque(maxlen=_REMEMBERED)

    def note(self, duration: Millis) -> None:
        """Learn how long an engine had its turn."""
        if duration >= _LEAST_TIME:
            self._last.append(duration)

    def find_time(self) -> Millis:
        """Return how long the next load likely takes."""
        return max(self._last, default=_USUAL_TIME)

    def is_overdue(self, duration: Millis) -> bool:
        """Tell whether a load takes longer than usual and than the last."""
        return duration >= max(self.find_time(), _USUAL_TIME)


def count_at_once(pending: Sequence[PendingLoad], time: Millis) -> int:
    """Count how many have to load at once now, the first ones first.

    Each engine that loads takes its share of what is served with it, and its
    context: one at a time loses least, as long as the rest can be done by two
    at a time in what is then left.
    """
    for count in range(1, len(pending)):
        if _are_in_time(pending, count, time):
            return count
    return len(pending)


def _are_in_time(
    pending: Sequence[PendingLoad], count: int, time: Millis
) -> bool:
    """Tell whether all end in time, and what has to be done again as well.

    What can't be in time any more is to load at once.
    """
    spare = _SPARE if count < _AT_ONCE_LATER else 0
    ends = _find_ends(pending, count, time, spare)
    limits = [max(each.left, time) for each in pending]
    last = max((each for each in limits if each < math.inf), default=math.inf)
    limits += [last] * spare
    return all(end <= limit for end, limit in zip(ends, limits, strict=True))


def _find_ends(
    pending: Sequence[PendingLoad], count: int, time: Millis, spare: int
) -> list[Millis]:
    """Return when each load would end, and the spare ones after them."""
    ends = [max(time - each.begun, 0.0) for each in pending[:count]]
    lanes = ends + [min(ends)] * max(_AT_ONCE_LATER - count, 0)
    heapq.heapify(lanes)
    for _ in range(len(pending) - count + spare):
        end = lanes[0] + time
        heapq.heapreplace(lanes, end)
        ends.append(end)
    return ends
