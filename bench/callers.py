"""Fake the callers: they wait, come back when told, and give up."""

from __future__ import annotations

from dataclasses import dataclass

from bench.workload import Visit
from oleanderdyke.clock import SECOND, Millis


@dataclass(frozen=True, slots=True)
class CallerHabits:
    """Say how callers retry; impatient ones ignore Retry-After."""

    tries: int = 4
    impatient: bool = False
    impatient_wait: Millis = 0.2 * SECOND
    impatient_tries: int = 20


@dataclass(slots=True)
class Outcome:
    """Record what became of one visit."""

    visit: Visit
    deadline: Millis
    first_token: Millis | None = None
    finished: Millis | None = None
    computed: int = 0
    refused: int = 0
    tries: int = 0
    failed: bool = False

    @property
    def in_time(self) -> bool:
        """Tell whether the whole answer came before the deadline."""
        return self.finished is not None and self.finished <= self.deadline

    @property
    def ttft(self) -> Millis | None:
        """Return the time to first token since the caller first asked."""
        if self.first_token is None:
            return None
        return self.first_token - self.visit.at
