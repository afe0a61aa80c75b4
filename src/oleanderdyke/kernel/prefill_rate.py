"""Learn how fast the model engines of a service read prompts."""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass, field

from oleanderdyke.clock import Millis

# Prompt tokens that an engine reads in a millisecond until its answers show it.
# Sheets state 48 to 112; what reads slower must not be taken for silent.
_INITIAL_RATE = 50.0
# Shorter prompts are read within the spread of a network and a step.
_MIN_TOKENS = 1_000
# Some are read sooner, as an engine held parts that nobody here knew of, some
# later, as others send to it too: the middle of so many is close.
_SAMPLE_COUNT = 15
# No sheet is near these; what seems so was found kept or waited.
_MIN_RATE = 5.0
_MAX_RATE = 1_000.0


@dataclass(slots=True)
class PrefillRate:
    """Hold the tokens per millisecond that engines of one service read."""

    _samples: deque[float] = field(
        default_factory=lambda: deque(maxlen=_SAMPLE_COUNT)
    )
    _rate: float = _INITIAL_RATE

    def add_sample(self, tokens: int, duration: Millis) -> None:
        """Learn from a prompt that was read with nothing known before it."""
        if tokens < _MIN_TOKENS or duration <= 0:
            return
        rate = tokens / duration
        self._samples.append(min(max(rate, _MIN_RATE), _MAX_RATE))
        self._rate = statistics.median(self._samples)

    def estimate_time(self, tokens: float) -> Millis:
        """Return how long reading takes."""
        return tokens / self._rate
