"""Describe simulated callers and the outcome of their requests."""

from __future__ import annotations

from dataclasses import dataclass

from bench.workload import Visit
from oleanderdyke.clock import SECOND, Millis


@dataclass(frozen=True, slots=True)
class CallerHabits:
    """Retry behaviour of callers; impatient callers ignore Retry-After."""

    tries: int = 4
    impatient: bool = False
    impatient_wait: Millis = 0.2 * SECOND
    impatient_tries: int = 20


@dataclass(slots=True)
class Outcome:
    """The outcome of one visit."""

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
        """Return whether the answer was complete by the deadline."""
        return self.finished is not None and self.finished <= self.deadline

    @property
    def ttft(self) -> Millis | None:
        """Return the time from the first attempt to the first token."""
        if self.first_token is None:
            return None
        return self.first_token - self.visit.at
