"""Retain segments by their true next use, as an upper bound."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence

from bench.workload import Visit
from oleanderdyke.clock import Millis
from oleanderdyke.kernel.demand import SegmentHint


class Clairvoyant:
    """Retention policy that knows all uses of segments in advance."""

    def __init__(self, visits: Sequence[Visit]) -> None:
        self._uses: dict[SegmentHint, list[Millis]] = {}
        for visit in visits:
            for segment in visit.segments:
                self._uses.setdefault(segment, []).append(visit.at)

    def estimate_value(
        self, segment: SegmentHint, length: int, gap: Millis, now: Millis
    ) -> float:
        """Return a higher value for an earlier next use, or 0 for none."""
        uses = self._uses.get(segment, [])
        index = bisect_right(uses, now)
        if index == len(uses):
            return 0.0
        return 1.0 / (1.0 + uses[index] - now)

    def record_use(self, segment: SegmentHint, now: Millis) -> None:
        """Ignore the use; all uses are known from the trace."""
