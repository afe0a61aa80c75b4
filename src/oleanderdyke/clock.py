"""Clocks that read milliseconds."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Protocol, TypeAlias

Millis: TypeAlias = float

_NANOS_PER_MILLI = 1_000_000
SECOND: Millis = 1_000.0
MINUTE: Millis = 60 * SECOND
HOUR: Millis = 60 * MINUTE


class Clock(Protocol):
    """A monotonic clock and a wall clock."""

    def now(self) -> Millis:
        """Return monotonic milliseconds; only differences have a meaning."""

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""


# The usual monotonic clock stops while the machine is suspended, but data that
# was read before, such as news, leases and store views, ages all the same.
_MONOTONIC_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class SystemClock:
    """The clocks of this machine."""

    def now(self) -> Millis:
        """Return monotonic milliseconds, including time spent suspended."""
        return time.clock_gettime_ns(_MONOTONIC_CLOCK) / _NANOS_PER_MILLI

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() / _NANOS_PER_MILLI


@dataclass
class ManualClock:
    """Clock for tests and simulations that moves only by `advance`."""

    current: Millis = 0.0
    epoch: Millis = 0.0

    def now(self) -> Millis:
        """Return the current reading."""
        return self.current

    def wall(self) -> Millis:
        """Return the current reading as wall time."""
        return self.epoch + self.current

    def advance(self, by: Millis) -> Millis:
        """Move forward and return the new reading."""
        self.current += by
        return self.current


def make_clock() -> Clock:
    """Create the clock that the daemons use."""
    return SystemClock()


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
