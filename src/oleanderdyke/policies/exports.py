"""Selection of the segments to export to a store."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from oleanderdyke.clock import SECOND
from oleanderdyke.kernel.demand import SegmentHint
from oleanderdyke.policies.settings import PolicySettings

_PRIOR_REUSES = 0.3


class ExportPolicy:
    """Select segments whose expected reuse pays for the export."""

    def __init__(self, settings: PolicySettings) -> None:
        self._limit = settings.gap_memory
        self._needed = count_needed_reuses(settings)
        self._uses: OrderedDict[SegmentHint, int] = OrderedDict()

    def record_use(self, segments: Sequence[SegmentHint]) -> None:
        """Count one use of each segment."""
        uses = self._uses
        for segment in segments:
            uses[segment] = uses.get(segment, 0) + 1
            uses.move_to_end(segment)
        while len(uses) > self._limit:
            uses.popitem(last=False)

    def count_worth_exporting(self, segments: Sequence[SegmentHint]) -> int:
        """Count the leading segments that are worth exporting."""
        for index, segment in enumerate(segments):
            if self._expect(segment) < self._needed:
                return index
        return len(segments)

    def _expect(self, segment: SegmentHint) -> float:
        """Estimate the uses to come from the reuses so far."""
        return _PRIOR_REUSES + max(0, self._uses.get(segment, 0) - 1)


def count_needed_reuses(settings: PolicySettings) -> float:
    """Return how many fetches are needed to pay for one export."""
    link = settings.w_link * settings.kv_bytes_per_token
    prefill = SECOND / settings.prefill_tokens_per_second
    recompute = settings.w_recompute + settings.w_ttft * prefill
    carried = settings.kv_bytes_per_token * SECOND
    fetch = link + settings.w_ttft * carried / settings.link_bytes_per_second
    saved = recompute - fetch
    return link / saved if saved > 0 else float('inf')
