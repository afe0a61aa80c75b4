"""Work in flight at backend servers and the demand for services."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.servers import ServerStart


@dataclass(frozen=True, slots=True)
class ServerWork:
    """Sum up the requests in flight at one start of a backend server.

    `unread` counts the prompt tokens that are still to be prefilled, `memory`
    the tokens of engine memory that the runs occupy at their end. `runs` counts
    the requests that were sent and have not ended, `long_runs` those among them
    whose prompts hold up others. `copies` counts the tokens of memory that
    copies of runs at other servers occupy here.
    """

    unread: float = 0.0
    memory: float = 0.0
    runs: int = 0
    long_runs: int = 0
    copies: float = 0.0

    @property
    def amounts(self) -> tuple[float, ...]:
        """Return the fields in order."""
        return (
            self.unread,
            self.memory,
            self.runs,
            self.long_runs,
            self.copies,
        )

    def __add__(self, other: ServerWork) -> ServerWork:
        """Return the sum of two amounts of work."""
        return ServerWork(
            unread=self.unread + other.unread,
            memory=self.memory + other.memory,
            runs=self.runs + other.runs,
            long_runs=self.long_runs + other.long_runs,
            copies=self.copies + other.copies,
        )

    def __sub__(self, other: ServerWork) -> ServerWork:
        """Return the difference of two amounts of work."""
        return ServerWork(
            unread=self.unread - other.unread,
            memory=self.memory - other.memory,
            runs=self.runs - other.runs,
            long_runs=self.long_runs - other.long_runs,
            copies=self.copies - other.copies,
        )


NO_WORK = ServerWork()


@dataclass(frozen=True, slots=True)
class Demand:
    """Sum up the requests for one service on one route by one team.

    All figures are rates per second over the last seconds: requests that
    arrived and that were admitted, prompt tokens to prefill and output tokens
    to generate for those that arrived. `reading` is the time in milliseconds
    for which these prompts occupy an engine, as far as it is known.
    """

    service: str
    route: str
    team: str
    arrived: float = 0.0
    admitted: float = 0.0
    unread: float = 0.0
    output: float = 0.0
    reading: float = 0.0

    @property
    def rates(self) -> tuple[float, ...]:
        """Return the rates in order."""
        return (
            self.arrived,
            self.admitted,
            self.unread,
            self.output,
            self.reading,
        )


class WorkView(Protocol):
    """What is known of the work of all entries, this one included."""

    def find_work(self, start: ServerStart, now: Millis) -> ServerWork:
        """Return the work in flight at one start of a server."""

    def list_demand(self, service: str, now: Millis) -> Sequence[Demand]:
        """Return the demand for a service by route and team."""

    def find_age(self, now: Millis) -> Millis:
        """Return how old the news of other entries is, infinite if none."""


def sum_work(works: Iterable[ServerWork]) -> ServerWork:
    """Return the sum of any number of amounts of work."""
    total = NO_WORK
    for work in works:
        total += work
    return total
