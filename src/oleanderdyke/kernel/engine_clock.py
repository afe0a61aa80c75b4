"""Relate the clock that all engines share to our own."""

from __future__ import annotations

from oleanderdyke.clock import Millis


class EngineClock:
    """Bound the difference of both clocks by the latest reading of theirs.

    A reading was taken between the moment at which it was asked for and that
    at which it came, so the difference lies between two bounds.
    """

    def __init__(self) -> None:
        self._least: Millis | None = None
        self._most: Millis | None = None

    def update(self, told: Millis, *, asked_at: Millis, now: Millis) -> None:
        """Take a reading; 0 is none."""
        if told:
            self._least = told - now
            self._most = told - asked_at

    @property
    def max_offset(self) -> Millis | None:
        """Return how far their clock may be before ours, None if unknown."""
        return self._most

    def convert(self, at: Millis) -> Millis | None:
        """Return a moment of ours on their clock, or an earlier one."""
        return None if self._least is None else at + self._least
