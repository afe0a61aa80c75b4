"""Define the scenarios: load, delays, caller behaviour and faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bench.callers import CallerHabits
from bench.parts import Lags
from bench.world import World
from oleanderdyke.clock import SECOND, Millis

WARM_UP: Millis = 60 * SECOND
_FAULT_TIME = WARM_UP + 60 * SECOND
_RELOAD_TIME: Millis = 8 * SECOND
_RELOAD_INTERVAL: Millis = 6 * SECOND


def _do_nothing(world: World) -> None:
    """Inject no fault."""


@dataclass(frozen=True, slots=True)
class Outage:
    """Hold the period in which lower goodput is expected."""

    start: Millis
    end: Millis


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe one scenario; `load` is relative to the capacity."""

    name: str
    load: float
    length: Millis = 240 * SECOND
    prepare: Callable[[World], None] = _do_nothing
    lags: Lags = field(default_factory=Lags)
    habits: CallerHabits = field(default_factory=CallerHabits)
    busy_team: str = ''
    outage: Outage | None = None


def _slow_link(world: World) -> None:
    link = world.store.link
    world.events.add(_FAULT_TIME, link.set_rate, link.rate / 10)


def _lose_store(world: World) -> None:
    world.events.add(_FAULT_TIME, world.lose_store)


def _fill_store(world: World) -> None:
    world.store.cache.open = False


def _lose_replica(world: World) -> None:
    world.events.add(_FAULT_TIME, world.crash, 'engine-0')
    world.events.add(_FAULT_TIME + 60 * SECOND, world.restart, 'engine-0')


def _lose_all(world: World) -> None:
    for name in world.agents:
        world.events.add(_FAULT_TIME, world.crash, name)
        world.events.add(_FAULT_TIME + 30 * SECOND, world.restart, name)


def _lose_data_centre(world: World) -> None:
    """Crash the engines in the first data centre and restart them later."""
    for index, name in enumerate(world.agents):
        if index % len(world.deployment.data_centres) == 0:
            world.events.add(_FAULT_TIME, world.crash, name)
            world.events.add(_FAULT_TIME + 40 * SECOND, world.restart, name)


def _swap_weights(world: World) -> None:
    """Reload the engines in turn; request the new weights from half-way on."""
    for index, name in enumerate(world.agents):
        at = _FAULT_TIME + index * _RELOAD_INTERVAL
        world.events.add(at, world.reload, name, 1, _RELOAD_TIME)
    half = len(world.agents) // 2 * _RELOAD_INTERVAL
    world.events.add(_FAULT_TIME + half + _RELOAD_TIME, world.change_version, 1)


_FULL_OUTAGE = Outage(_FAULT_TIME, _FAULT_TIME + 30 * SECOND)
SCENARIOS = (
    Scenario('steady', 0.5, length=360 * SECOND),
    Scenario('peak-0.7', 0.7),
    Scenario('peak-0.9', 0.9, length=360 * SECOND),
    Scenario('peak-1.0', 1.0),
    Scenario('peak-1.2', 1.2),
    Scenario('peak-2.0', 2.0),
    Scenario('peak-4.0', 4.0, length=180 * SECOND),
    Scenario('link-tenth', 0.5, prepare=_slow_link),
    Scenario('store-lost', 0.5, prepare=_lose_store),
    Scenario('store-full', 0.5, prepare=_fill_store),
    Scenario(
        'replica-lost',
        0.7,
        prepare=_lose_replica,
        outage=Outage(_FAULT_TIME, _FAULT_TIME + 60 * SECOND),
    ),
    Scenario(
        'data-centre-lost',
        0.5,
        prepare=_lose_data_centre,
        outage=Outage(_FAULT_TIME, _FAULT_TIME + 40 * SECOND),
    ),
    Scenario('service-lost', 0.7, prepare=_lose_all, outage=_FULL_OUTAGE),
    Scenario('reports-0.2s', 0.9, lags=Lags(0.2 * SECOND, 0.2 * SECOND)),
    Scenario('reports-1s', 0.9, lags=Lags(0.5 * SECOND, 1 * SECOND)),
    Scenario('reports-5s', 0.9, lags=Lags(0.5 * SECOND, 5 * SECOND)),
    Scenario('one-team-half', 2.0, busy_team='t3'),
    Scenario(
        'retry-storm',
        0.7,
        prepare=_lose_all,
        habits=CallerHabits(impatient=True),
        outage=_FULL_OUTAGE,
    ),
    Scenario('weight-swap', 0.9, prepare=_swap_weights),
)
# Short scenarios for the bounds that CI checks; not part of the report.
BRIEF = (
    Scenario('brief', 0.9, length=120 * SECOND),
    Scenario('brief-overload', 2.0, length=100 * SECOND),
    Scenario(
        'brief-outage',
        0.6,
        length=180 * SECOND,
        prepare=_lose_all,
        habits=CallerHabits(impatient=True),
        outage=_FULL_OUTAGE,
    ),
)
BY_NAME = {each.name: each for each in (*SCENARIOS, *BRIEF)}
