"""Know how long requests of each kind last."""

from __future__ import annotations

from oleanderdyke.clock import Millis

# What is expected beyond the longest that was seen lately.
_MARGIN = 1.3
# Each further request lets the longest one count less: a hundred requests
# later it counts a third.
_FADE = 0.99


class DurationEstimator:
    """Remember the longest duration of each kind, fading.

    What still runs counts with its age: where an engine is slow, the longest
    of those that have ended tells of a better time. A stream that was taken
    by it while an entry stopped was cut at the end of the grace time.
    """

    def __init__(self) -> None:
        self._longest: dict[str, Millis] = {}
        # The kind of each request that runs, and since when.
        self._running: dict[str, tuple[str, Millis]] = {}

    def begin(self, request: str, kind: str, now: Millis) -> None:
        """Learn that a request runs."""
        self._running[request] = (kind, now)

    def end(self, request: str) -> None:
        """Forget a request that runs no more."""
        self._running.pop(request, None)

    def record(self, kind: str, duration: Millis) -> None:
        """Learn how long a request lasted."""
        faded = self._longest.get(kind, 0.0) * _FADE
        self._longest[kind] = max(faded, duration)

    def estimate_bound(
        self, kind: str, otherwise: Millis, now: Millis
    ) -> Millis:
        """Return how long one surely lasts; `otherwise` where none was seen."""
        known = self._longest.get(kind)
        if known is None:
            return otherwise
        ages = (now - at for each, at in self._running.values() if each == kind)
        return max(known, *ages, 0.0) * _MARGIN
