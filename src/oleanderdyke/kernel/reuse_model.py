"""Estimates of how soon stored segments are used again."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from oleanderdyke.clock import HOUR, MINUTE, Millis

_SMOOTHING = 0.3
_MIN_GAP = MINUTE
# Expected time to the second use. Gaps range from minutes to days; 2 days keep
# a segment that was used once from displacing one that is used daily.
_DEFAULT_GAP = 48 * HOUR


@dataclass(slots=True)
class _UseHistory:
    """Hold the last use of a segment and the mean gap between uses."""

    last: Millis
    gap: Millis
    uses: int = 1


class ReuseModel:
    """Estimate the rate of reuse from the gaps between uses."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._returns: OrderedDict[bytes, _UseHistory] = OrderedDict()

    def record_use(self, segment: bytes, now: Millis) -> None:
        """Record a use of a segment.

        Uses within `_MIN_GAP` of the last one count as the same use.
        """
        history = self._returns.get(segment)
        if history is None:
            self._returns[segment] = _UseHistory(now, 0.0)
            if len(self._returns) > self._limit:
                self._returns.popitem(last=False)
            return
        self._returns.move_to_end(segment)
        gap = now - history.last
        if gap < _MIN_GAP:
            history.last = now
            return
        history.gap = _smooth(history.gap, gap)
        history.last = now
        history.uses += 1

    def estimate_rate(
        self, segment: bytes, expected_gap: Millis, now: Millis
    ) -> float:
        """Estimate the future uses per millisecond.

        `expected_gap` is used until a gap was measured; 0 means unknown.
        """
        history = self._returns.get(segment)
        if history is None:
            return 1.0 / max(_MIN_GAP, expected_gap or _DEFAULT_GAP)
        gap = history.gap or expected_gap or _DEFAULT_GAP
        age = now - history.last
        return 1.0 / max(_MIN_GAP, gap, age)


def _smooth(old: Millis, new: Millis) -> Millis:
    if not old:
        return new
    log_gap = (1 - _SMOOTHING) * math.log(old) + _SMOOTHING * math.log(new)
    return math.exp(log_gap)
