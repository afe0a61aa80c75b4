"""Hold the small parts of a run."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from bench.callers import Outcome
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import Admission, Demand, Plan, Router

SERVICE = 'models'
STORE = 'store-0'


@dataclass(frozen=True, slots=True)
class Lags:
    """Say how old reports and cache events are when they are heard."""

    report_every: Millis = 0.5 * SECOND
    report_age: Millis = 0.2 * SECOND
    events_age: Millis = 1 * SECOND


@dataclass(slots=True)
class Entry:
    """Hold one entry's decisions and the requests that it holds."""

    router: Router
    admission: Admission
    random: Random
    data_centre: str
    held: dict[str, Request] = field(default_factory=dict)


@dataclass(slots=True)
class Request:
    """Hold one try of a caller at one entry."""

    name: str
    outcome: Outcome
    demand: Demand
    entry: Entry
    engine: str = ''
    plan: Plan | None = None
    attempts: int = 0
    done: bool = False
