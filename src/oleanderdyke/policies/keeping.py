"""Retention policies for cached context."""

from __future__ import annotations

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.demand import (
    SEGMENT_TOKENS,
    RetentionPolicy,
    SegmentHint,
)
from oleanderdyke.kernel.reuse_model import ReuseModel
from oleanderdyke.policies.registries import KEEPERS
from oleanderdyke.policies.settings import PolicySettings


class ExpectedSaving:
    """Rank segments by the recomputation that keeping them saves."""

    def __init__(self, settings: PolicySettings) -> None:
        self._returns = ReuseModel(settings.gap_memory)

    def estimate_value(
        self, segment: SegmentHint, length: int, gap: Millis, now: Millis
    ) -> float:
        """Return the expected tokens saved per byte and millisecond."""
        rate = self._returns.estimate_rate(segment, gap, now)
        return SEGMENT_TOKENS * rate / max(1, length)

    def record_use(self, segment: SegmentHint, now: Millis) -> None:
        """Record a use of a segment."""
        self._returns.record_use(segment, now)


class LeastRecentlyUsed:
    """Rank segments by their last use."""

    def __init__(self) -> None:
        self._used: dict[SegmentHint, Millis] = {}

    def estimate_value(
        self, segment: SegmentHint, length: int, gap: Millis, now: Millis
    ) -> float:
        """Return the time of the last use."""
        return self._used.get(segment, now)

    def record_use(self, segment: SegmentHint, now: Millis) -> None:
        """Record the time of a use."""
        self._used[segment] = now


@KEEPERS.register('expected-saving')
def make_expected_saving(settings: PolicySettings) -> RetentionPolicy:
    """Build the policy that learns how soon segments are reused."""
    return ExpectedSaving(settings)


@KEEPERS.register('lru')
def make_lru(settings: PolicySettings) -> RetentionPolicy:
    """Build the policy that evicts the least recently used segments."""
    return LeastRecentlyUsed()
