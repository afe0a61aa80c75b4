"""Estimate an upper bound of the duration of requests, by kind."""

from __future__ import annotations

from oleanderdyke.clock import Millis

# Factor by which a request may exceed the longest one seen recently.
_SAFETY_FACTOR = 1.3
# Applied to the longest duration with each further request: after a hundred
# requests, about a third of it is left.
_DECAY = 0.99


class DurationEstimator:
    """Track the longest recent duration of each kind, decaying per request.

    Requests still running count with their age: on an engine that has become
    slow, finished requests alone give too low a bound. A stopping entry then
    accepts a stream that it has to cut at the end of its grace period.
    """

    def __init__(self) -> None:
        self._longest: dict[str, Millis] = {}
        # Kind and start time of each running request.
        self._running: dict[str, tuple[str, Millis]] = {}

    def begin(self, request: str, kind: str, now: Millis) -> None:
        """Add a running request."""
        self._running[request] = (kind, now)

    def end(self, request: str) -> None:
        """Remove a running request, if it is there."""
        self._running.pop(request, None)

    def record(self, kind: str, duration: Millis) -> None:
        """Record the duration of a finished request."""
        decayed = self._longest.get(kind, 0.0) * _DECAY
        self._longest[kind] = max(decayed, duration)

    def estimate_bound(
        self, kind: str, otherwise: Millis, now: Millis
    ) -> Millis:
        """Return the estimated bound; `otherwise` if none of the kind ended."""
        longest = self._longest.get(kind)
        if longest is None:
            return otherwise
        ages = (now - at for each, at in self._running.values() if each == kind)
        return max(longest, *ages, 0.0) * _SAFETY_FACTOR
