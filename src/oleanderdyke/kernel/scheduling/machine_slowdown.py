"""How far the slowdown that a shared machine reports predicts delays.

The load it answers: engines whose machines are shared and slow down for some
hundred milliseconds. A report says little about work that begins later, and
how little depends on the machines.
"""

from __future__ import annotations

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.backend import Backend

MAX_SLOWDOWN = 4.0
_MIN_SLOWDOWN = 0.5
# A report of this age says nothing about the machine's present state.
_REPORT_LIFETIME: Millis = 400.0
# Smaller reported differences teach nothing.
_MIN_EXCESS = 0.1
_MAX_OBSERVED = 8.0
# Each comparison replaces this share of what earlier ones have shown.
_FORGOTTEN_SHARE = 0.02
_USUAL_WEIGHT = 0.05
# Assume half of the reported slowdown until comparisons show more or less.
_NEUTRAL_TRUST = 0.5
_NEUTRAL_WEIGHT = 2.0


class SlowdownTrust:
    """Compare first bytes under a reported slowdown with those without."""

    def __init__(self) -> None:
        self._usual = 1.0
        self._explained = _NEUTRAL_TRUST * _NEUTRAL_WEIGHT
        self._reported = _NEUTRAL_WEIGHT

    @property
    def trust(self) -> float:
        """Return the share of a fresh report that shows in first bytes."""
        return min(max(self._explained / self._reported, 0.0), 1.0)

    def add_sample(self, excess: float, observed: float) -> None:
        """Compare the excess that was reported with a relative time.

        `observed` is 1 if the work took as long as expected without reports.
        """
        observed = min(max(observed, 0.0), _MAX_OBSERVED)
        if abs(excess) < _MIN_EXCESS:
            self._usual += _USUAL_WEIGHT * (observed - self._usual)
            return
        kept = 1 - _FORGOTTEN_SHARE
        seen = observed - self._usual
        self._explained = self._explained * kept + excess * seen
        self._reported = self._reported * kept + excess * excess

    def find_factor(self, excess: float) -> float:
        """Return how many times as long work is expected to take."""
        return 1 + self.trust * excess


def find_excess(backend: Backend, now: Millis) -> float:
    """Return the reported slowdown beyond 1, reduced by the report's age."""
    if backend.load is None:
        return 0.0
    slowdown = min(max(backend.load.slowdown, _MIN_SLOWDOWN), MAX_SLOWDOWN)
    age = max(now - backend.load_at, 0.0)
    return (slowdown - 1) * max(1 - age / _REPORT_LIFETIME, 0.0)
