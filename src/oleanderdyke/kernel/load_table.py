"""Share among neighbours what backend servers told of their load.

Each entry gets one answer in dozens, so that what it heard itself of most
servers is seconds old, and all that see one as the emptiest send to it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.servers import ServerLoad, ServerStart

# What was told longer ago is not passed on: requests come and go meanwhile.
_LIFE: Millis = 1 * SECOND


@dataclass(frozen=True, slots=True)
class TimedLoad:
    """Hold what a start of a server told, and when.

    `rate_limit` is how many requests a second it accepts from all entries
    together, None where it has never named a limit.
    """

    start: ServerStart
    load: ServerLoad
    at: Millis
    rate_limit: float | None = None


class LoadTable:
    """Keep the newest load of each server, numbered as they came."""

    def __init__(self) -> None:
        self._loads: dict[ServerStart, TimedLoad] = {}
        self._numbers: dict[ServerStart, int] = {}
        self._count = 0

    @property
    def last_number(self) -> int:
        """Return the number of the newest load."""
        return self._count

    def update(self, told: TimedLoad) -> bool:
        """Take a load; tell whether it is newer than what is known."""
        known = self._loads.get(told.start)
        if known is not None and known.at >= told.at:
            return False
        self._count += 1
        self._loads[told.start] = told
        self._numbers[told.start] = self._count
        return True

    def list_after(self, number: int, now: Millis) -> Iterator[TimedLoad]:
        """Yield the loads after a number that are young enough to count."""
        for start, told in tuple(self._loads.items()):
            if now - told.at > _LIFE:
                del self._loads[start], self._numbers[start]
            elif self._numbers[start] > number:
                yield told
