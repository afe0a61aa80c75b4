"""Define the entries, requests and reporting delays of a simulated run."""

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
    """Set the interval and the delays of reports and cache events."""

    report_every: Millis = 0.5 * SECOND
    report_age: Millis = 0.2 * SECOND
    events_age: Millis = 1 * SECOND


@dataclass(slots=True)
class Entry:
    """Hold the policies and the queued requests of one entry."""

    router: Router
    admission: Admission
    random: Random
    data_centre: str
    held: dict[str, Request] = field(default_factory=dict)


@dataclass(slots=True)
class Request:
    """Hold one attempt of a caller at one entry."""

    name: str
    outcome: Outcome
    demand: Demand
    entry: Entry
    engine: str = ''
    plan: Plan | None = None
    attempts: int = 0
    done: bool = False
