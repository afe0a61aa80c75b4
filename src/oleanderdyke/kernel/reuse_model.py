"""Learn when kept context is wanted again."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from oleanderdyke.clock import HOUR, MINUTE, Millis

_SMOOTHING = 0.3
_MIN_GAP = MINUTE
# Two days in the middle of the gaps from minutes to days: what was used once
# must not push out what returns daily.
_FIRST_GAP = 48 * HOUR


@dataclass(slots=True)
class _Returns:
    """Hold what is known about the uses of one segment."""

    last: Millis
    gap: Millis
    uses: int = 1


class ReuseModel:
    """Estimate the rate of return from the gaps between uses."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._returns: OrderedDict[bytes, _Returns] = OrderedDict()

    def record_use(self, segment: bytes, now: Millis) -> None:
        """Learn one use."""
        known = self._returns.get(segment)
        if known is None:
            self._returns[segment] = _Returns(now, 0.0)
            if len(self._returns) > self._limit:
                self._returns.popitem(last=False)
            return
        self._returns.move_to_end(segment)
        gap = now - known.last
        if gap < _MIN_GAP:
            known.last = now
            return
        known.gap = _smooth(known.gap, gap)
        known.last = now
        known.uses += 1

    def estimate_rate(
        self, segment: bytes, expected_gap: Millis, now: Millis
    ) -> float:
        """Estimate the uses per millisecond from now on."""
        known = self._returns.get(segment)
        if known is None:
            return 1.0 / max(_MIN_GAP, expected_gap or _FIRST_GAP)
        gap = known.gap or expected_gap or _FIRST_GAP
        age = now - known.last
        return 1.0 / max(_MIN_GAP, gap, age)


def _smooth(old: Millis, new: Millis) -> Millis:
    if not old:
        return new
    mixed = (1 - _SMOOTHING) * math.log(old) + _SMOOTHING * math.log(new)
    return math.exp(mixed)
