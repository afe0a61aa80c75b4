"""Messages by which entries report their work in flight to one another.

Reports hold ages instead of timestamps because the clocks of two processes
differ. A process that passes a report on adds the time for which it held it.
"""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import Millis


@dataclass(frozen=True, slots=True)
class WorkRow:
    """All work of one entry at one start of a server; zero if it has none.

    `unread` and `memory` count tokens, `runs` all requests that have not ended
    and `long_runs` those with long prompts, `copies` tokens of copied runs.
    """

    server: str
    born: int | None = None
    unread: int = 0
    memory: int = 0
    runs: int = 0
    long_runs: int = 0
    copies: int = 0


@dataclass(frozen=True, slots=True)
class DemandRow:
    """Rates per second at which requests of one kind reach an entry."""

    service: str
    route: str
    team: str = ''
    arrived: float = 0.0
    admitted: float = 0.0
    unread: float = 0.0
    output: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkReport:
    """Work that changed since the previous report of an entry, `age` ms ago.

    A report that `is_whole` lists all work and all demand of the entry.
    `incarnation` grows with each start of the entry, `sequence` with each of
    its reports.
    """

    entry: str
    incarnation: int
    sequence: int
    data_centre: str
    age: Millis = 0.0
    is_whole: bool = False
    work: tuple[WorkRow, ...] = ()
    demand: tuple[DemandRow, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkNews:
    """Reports of any number of entries; none if nothing changed."""

    reports: tuple[WorkReport, ...] = ()
