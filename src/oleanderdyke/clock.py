"""Tell time in milliseconds."""

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
    """Read a monotonic clock and a wall clock."""

    def now(self) -> Millis:
        """Return monotonic milliseconds; only differences mean anything."""

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""


# A machine that is suspended for seconds stops its usual monotonic clock, but
# what it has read gets older all the same: news, leases, views of stores.
_STEADY = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class SystemClock:
    """Read the clocks of this machine."""

    def now(self) -> Millis:
        """Return monotonic milliseconds, those of a suspension included."""
        return time.clock_gettime_ns(_STEADY) / _NANOS_PER_MILLI

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() / _NANOS_PER_MILLI


@dataclass
class ManualClock:
    """Stand still until told to advance."""

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
    """Build the clock that the binaries use."""
    return SystemClock()
