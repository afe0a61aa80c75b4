"""Loads of backend servers, as shared between neighbouring entries.

An entry gets only one in dozens of a server's answers, so its own load data is
seconds old for most servers, and entries with the same old data all send to the
server that it shows as least loaded.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.servers import ServerLoad, ServerStart

# Older loads are not shared, as requests begin and end within this time.
_MAX_AGE: Millis = 1 * SECOND


@dataclass(frozen=True, slots=True)
class TimedLoad:
    """Hold the load that one start of a server reported at `at`.

    `rate_limit` is the number of requests per second that it accepts from all
    entries together, None if it never reported a limit.
    """

    start: ServerStart
    load: ServerLoad
    at: Millis
    rate_limit: float | None = None


class LoadTable:
    """Keep the latest load of each server, numbered in order of arrival."""

    def __init__(self) -> None:
        self._loads: dict[ServerStart, TimedLoad] = {}
        self._numbers: dict[ServerStart, int] = {}
        self._last = 0

    @property
    def last_number(self) -> int:
        """Return the number of the load that was added last, 0 if none."""
        return self._last

    def update(self, timed_load: TimedLoad) -> bool:
        """Store a load if it is newer than the known one; return whether."""
        current = self._loads.get(timed_load.start)
        if current is not None and current.at >= timed_load.at:
            return False
        self._last += 1
        self._loads[timed_load.start] = timed_load
        self._numbers[timed_load.start] = self._last
        return True

    def list_after(self, number: int, now: Millis) -> Iterator[TimedLoad]:
        """Yield the loads with a higher number; drop those that are too old."""
        for start, timed_load in tuple(self._loads.items()):
            if now - timed_load.at > _MAX_AGE:
                del self._loads[start], self._numbers[start]
            elif self._numbers[start] > number:
                yield timed_load
