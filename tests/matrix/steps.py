"""Define the scenarios that pass through each fault point."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from oleanderdyke.clock import SECOND
from tests.matrix.callers import Caller
from tests.matrix.kv import Kv
from tests.matrix.operators import Operator
from tests.matrix.points import Point
from tests.matrix.world import CHAT, TEAMS, TICKETS, World

_START = 1_500.0
_PAUSE = 1_000.0
_LATE = 5_200.0
_SNAPSHOT = 11 * SECOND


@dataclass(frozen=True)
class Scenario:
    """Define a scenario: its name, start function, service and agent slot."""

    name: str
    play: Callable[[World], None]
    service: str
    slot: str


def _start_booking(world: World) -> None:
    Caller(world, 'a', key='key').begin()
    # Another team uses the same idempotency key at the same time.
    Caller(world, 'z', team=TEAMS[1], key='key', first=1).begin()


def _chat(world: World) -> None:
    Caller(world, 'a', service=CHAT).begin()
    Caller(world, 'b', service=CHAT, text='otro', first=1).begin()
    thief = Caller(world, 'z', team=TEAMS[1], service=CHAT, first=1)
    thief.thief = thief.done = True
    thief.outcome = 'refused'
    world.thief = thief.steal


def _resume(world: World) -> None:
    _chat(world)

    def cut(_: object) -> None:
        for link in world.find_links(world.agents[world.dispatched]):
            link.close()

    world.points.arm(Point.MID_STREAM, after=True, act=cut)


def _configure(world: World) -> None:
    Operator(world, 'ana').begin()
    Caller(world, 'b', service=CHAT).begin(SECOND)


def _snapshot(world: World) -> None:
    Operator(world, 'ana').begin()
    world.keep_busy(_SNAPSHOT)


def _stop_agent(world: World) -> None:
    world.pause = _PAUSE
    Caller(world, 'a', service=CHAT).begin()

    def stop() -> None:
        slot = world.dispatched or 'engine-1'
        world.agents[slot].do(world.agents[slot].stop)

    world.outside.after(2 * _PAUSE, stop)
    for number in range(3):
        Caller(world, f'late-{number}', service=CHAT).begin(_LATE)


def _stop_entry(world: World) -> None:
    world.pause = _PAUSE
    Caller(world, 'a', service=CHAT).begin()
    entry = world.entries['entry-1']
    world.outside.after(2 * _PAUSE, lambda: entry.do(entry.stop))


def _keep(world: World) -> None:
    Kv(world)


BOOKING = Scenario('booking', _start_booking, TICKETS, 'plain-1')
STREAM = Scenario('stream', _chat, CHAT, 'engine-1')
RESUME = Scenario('resume', _resume, CHAT, 'engine-1')
CONFIGURATION = Scenario('configuration', _configure, CHAT, 'engine-1')
SNAPSHOT = Scenario('snapshot', _snapshot, CHAT, 'engine-1')
KEPT = Scenario('kept cache', _keep, CHAT, 'engine-1')
AGENT_STOP = Scenario('stop of agent', _stop_agent, CHAT, 'engine-1')
ENTRY_STOP = Scenario('stop of entry', _stop_entry, CHAT, 'engine-1')

SCENARIOS: Mapping[Point, tuple[Scenario, ...]] = {
    Point.ADMISSION: (BOOKING, STREAM),
    Point.CLAIM_APPEND: (BOOKING,),
    Point.CLAIM_READ: (BOOKING,),
    Point.DISPATCH: (BOOKING, STREAM),
    Point.FIRST_CHUNK: (BOOKING, STREAM),
    Point.MID_STREAM: (BOOKING, STREAM),
    Point.LAST_CHUNK: (BOOKING, STREAM),
    Point.RECORDED: (BOOKING,),
    Point.RESUME: (RESUME,),
    **{point: (KEPT,) for point in Point if point.name.startswith('KV_')},
    Point.CONFIGURATION_APPEND: (CONFIGURATION,),
    Point.CONFIGURATION_READ: (CONFIGURATION,),
    Point.SPREAD: (CONFIGURATION,),
    Point.SNAPSHOT: (SNAPSHOT,),
    Point.ORDER: (CONFIGURATION,),
    Point.STATE_READ: (CONFIGURATION,),
    Point.LEAVING: (AGENT_STOP, ENTRY_STOP),
    Point.DRAIN: (AGENT_STOP, ENTRY_STOP),
    Point.EXIT: (AGENT_STOP, ENTRY_STOP),
}


def begin(scenario: Scenario, world: World) -> None:
    """Wait until the world has started, then begin the scenario."""
    world.run_for(_START)
    world.points.armed = True
    scenario.play(world)
