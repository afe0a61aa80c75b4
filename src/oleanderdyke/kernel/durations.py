"""Know how long requests of each kind last."""

from __future__ import annotations

from oleanderdyke.clock import Millis

# What is expected beyond the longest that was seen lately.
_MARGIN = 1.3
# Each further request lets the longest one count less: a hundred requests
# later it counts a third.
_FADE = 0.99


class Durations:
    """Remember the longest duration of each kind, fading."""

    def __init__(self) -> None:
        self._longest: dict[str, Millis] = {}

    def note(self, kind: str, duration: Millis) -> None:
        """Learn how long a request lasted."""
        faded = self._longest.get(kind, 0.0) * _FADE
        self._longest[kind] = max(faded, duration)

    def find_bound(self, kind: str, otherwise: Millis) -> Millis:
        """Return how long one surely lasts; `otherwise` where none was seen."""
        known = self._longest.get(kind)
        return otherwise if known is None else known * _MARGIN
