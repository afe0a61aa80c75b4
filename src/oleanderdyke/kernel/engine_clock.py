"""Offset between the clock that all engines share and the local one."""

from __future__ import annotations

from oleanderdyke.clock import Millis


class EngineClock:
    """Bound the offset of the engine clock by its latest reading.

    A reading is taken at some time between its request and its arrival, which
    gives a lower and an upper bound of the offset.
    """

    def __init__(self) -> None:
        self._min_offset: Millis | None = None
        self._max_offset: Millis | None = None

    def update(self, reading: Millis, *, asked_at: Millis, now: Millis) -> None:
        """Store a reading of the engine clock in ms; 0 means no reading."""
        if reading:
            self._min_offset = reading - now
            self._max_offset = reading - asked_at

    @property
    def max_offset(self) -> Millis | None:
        """Return the most that the engine clock is ahead, None if unknown."""
        return self._max_offset

    def convert(self, at: Millis) -> Millis | None:
        """Convert a local time to the earliest engine time that it can be."""
        return None if self._min_offset is None else at + self._min_offset
