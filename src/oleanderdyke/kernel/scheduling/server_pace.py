"""How fast one backend server is beside the others of its service.

The load it answers: an engine that is several times as slow as its
neighbours. It must get less work, but not none, and as much as the others once
it has recovered.
"""

from __future__ import annotations

import math

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.scheduling.aged_samples import AgedSamples

# A slower server counts as this many times as slow as its service, so that it
# still gets some requests, which show when it has recovered.
MAX_RATIO = 4.0
# A server without requests counts as usual again after this time, like one that
# has been replaced.
SAMPLE_LIFETIME: Millis = 15 * SECOND
_READ_COUNT = 8
# Low, as prompts of other entries that are read first are part of a sample.
_READ_QUANTILE = 0.3
# Most pauses between events have no prefill of other prompts in them.
_STEP_COUNT = 12
_STEP_QUANTILE = 0.25
# The samples that the assumption of a usual speed counts as.
_PRIOR_WEIGHT = 2.0
# Whatever slows an engine's steps mostly slows its prefill too.
_OTHER_KIND_WEIGHT = 0.5
_CACHE_TIME: Millis = 100.0
# The mean of the latest steps says how busy a server is at this moment.
_PRESENT_WEIGHT = 0.3
_PRESENT_LIFETIME: Millis = 1 * SECOND
_MAX_PRESENT = 8.0


class ServerPace:
    """Estimate how many times as long as usual a server's work takes.

    Samples are relative to the service: 2 took twice as long as expected.
    """

    def __init__(self) -> None:
        self._reads = AgedSamples(_READ_COUNT, SAMPLE_LIFETIME)
        self._steps = AgedSamples(_STEP_COUNT, SAMPLE_LIFETIME)
        self._present = 1.0
        self._present_at: Millis = -math.inf
        self._cached_at: Millis = -math.inf
        self._cached = (1.0, 1.0)
        self.last_at: Millis = -math.inf

    def add_read(self, ratio: float, now: Millis) -> None:
        """Add the relative time of a prefill."""
        self._reads.add(_limit(ratio), now)
        self._mark(now)

    def add_step(self, ratio: float, usual: float, now: Millis) -> None:
        """Add the relative time of a step.

        `usual` is the same without the slowdown that the machine reported.
        """
        self._steps.add(_limit(usual), now)
        present = self._find_present(now)
        ratio = min(max(ratio, 1 / _MAX_PRESENT), _MAX_PRESENT)
        self._present = present + _PRESENT_WEIGHT * (ratio - present)
        self._present_at = now
        self._mark(now)

    def find_read_ratio(self, now: Millis) -> float:
        """Return how many times as long as usual a prefill takes."""
        return self._find_ratios(now)[0]

    def find_step_ratio(self, now: Millis) -> float:
        """Return how many times as long as usual a step takes now."""
        return self._find_present(now)

    def is_outdated(self, now: Millis) -> bool:
        """Return whether all samples have lost their weight."""
        return now - self.last_at >= SAMPLE_LIFETIME

    def _mark(self, now: Millis) -> None:
        self.last_at = now
        self._cached_at = -math.inf

    def _find_present(self, now: Millis) -> float:
        usual = self._find_ratios(now)[1]
        age = max(now - self._present_at, 0.0)
        weight = max(1 - age / _PRESENT_LIFETIME, 0.0)
        return usual + weight * (self._present - usual)

    def _find_ratios(self, now: Millis) -> tuple[float, float]:
        if abs(now - self._cached_at) >= _CACHE_TIME:
            self._cached = self._compute_ratios(now)
            self._cached_at = now
        return self._cached

    def _compute_ratios(self, now: Millis) -> tuple[float, float]:
        """Return the shrunk ratios of prefill and steps."""
        read = _find_evidence(self._reads, _READ_QUANTILE, now)
        step = _find_evidence(self._steps, _STEP_QUANTILE, now)
        return _shrink(read, step), _shrink(step, read)


def _limit(ratio: float) -> float:
    return min(max(ratio, 1 / MAX_RATIO), MAX_RATIO)


def _find_evidence(
    samples: AgedSamples, share: float, now: Millis
) -> tuple[float, float]:
    """Return the logarithm of a ratio and its weight."""
    found = samples.find_quantile(share, now)
    if found is None:
        return 0.0, 0.0
    return math.log(found), samples.find_weight(now)


def _shrink(own: tuple[float, float], other: tuple[float, float]) -> float:
    weight = other[1] * _OTHER_KIND_WEIGHT
    total = own[1] + weight + _PRIOR_WEIGHT
    return math.exp((own[0] * own[1] + other[0] * weight) / total)
