"""Estimates of how fast the engines of a service prefill prompts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from oleanderdyke.clock import Millis

# Prompt tokens that an engine prefills per millisecond, until answers show the
# rate. Data sheets state 48 to 112; slower engines must not count as silent.
_INITIAL_RATE = 50.0
# The time of shorter prompts is lost in the jitter of network and steps.
_MIN_TOKENS = 1_000
# Single samples are too fast, if the engine held parts that are not known here,
# or too slow, if other entries send to it too. The median of this many is
# close.
_SAMPLE_COUNT = 15
# Bounds far from every data sheet. Samples beyond them come from a cached
# prompt or from one that waited.
_MIN_RATE = 5.0
_MAX_RATE = 1_000.0


@dataclass(slots=True)
class PrefillRate:
    """Estimate the prefill rate of a service's engines, in tokens per ms."""

    _samples: deque[float] = field(
        default_factory=lambda: deque(maxlen=_SAMPLE_COUNT)
    )
    _rate: float = _INITIAL_RATE

    def add_sample(self, tokens: int, duration: Millis) -> None:
        """Add the time of a prompt that was sent to an idle engine."""
        if tokens < _MIN_TOKENS or duration <= 0:
            return
        rate = tokens / duration
        self._samples.append(min(max(rate, _MIN_RATE), _MAX_RATE))
        ordered = sorted(self._samples)
        middle = len(ordered) // 2
        self._rate = (ordered[middle] + ordered[~middle]) / 2

    def estimate_time(self, tokens: float) -> Millis:
        """Return how long the prefill of this many tokens takes."""
        return tokens / self._rate
