"""Run the fault matrix: single faults and fault pairs at each step."""

from __future__ import annotations

import enum
import gc
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import product
from random import Random

import anyio

from oleanderdyke.clock import HOUR, SECOND
from tests.matrix import steps
from tests.matrix.checkers import check_all
from tests.matrix.faults import (
    INJECTORS,
    FaultTarget,
    Kind,
    find_pair_reason,
    find_reason,
)
from tests.matrix.points import Point
from tests.matrix.steps import SCENARIOS, Scenario
from tests.matrix.world import Variants, World
from tests.safety_model import Violation

_PAIR_COUNT = 120
_RETENTION = 20 * SECOND
_SEED = 4
_GC_THRESHOLD = 200_000
# Pairs in which the second fault overtakes work delayed by the first.
_RACING = (
    (Kind.LINK_SLOW, Kind.WEIGHTS),
    (Kind.LINK_SLOW, Kind.DUPLICATE),
    (Kind.LINK_SLOW, Kind.AGENT_STOP),
    (Kind.LOG_SLOW, Kind.DUPLICATE),
    (Kind.ANSWER_LOST, Kind.ENTRY_KILLED),
    (Kind.AGENT_KILLED, Kind.RETENTION),
)


class State(enum.StrEnum):
    """Enumerate the outcomes of a cell."""

    HELD = 'held'
    BROKEN = 'broken'
    NOT_APPLICABLE = 'n/a'


@dataclass(frozen=True)
class Cell:
    """Define one or two faults injected just before or after a step."""

    kinds: tuple[Kind, ...]
    point: Point
    after: bool
    scenario: Scenario

    def __str__(self) -> str:
        side = 'after' if self.after else 'before'
        kinds = ' + '.join(self.kinds)
        return f'{kinds} {side} {self.point} ({self.scenario.name})'


@dataclass(frozen=True)
class Result:
    """Hold the outcome of a cell and, on failure, its reason."""

    cell: Cell
    state: State
    detail: str = ''


def list_cells(*, sides: Sequence[bool] = (False, True)) -> Iterator[Cell]:
    """List each single fault at each step that it applies to."""
    for kind, point, after in product(INJECTORS, SCENARIOS, sides):
        if not find_reason(kind, point):
            for scenario in SCENARIOS[point]:
                yield Cell((kind,), point, after, scenario)


def list_racing() -> Iterator[Cell]:
    """List the pairs of racing faults, injected before each step."""
    for (first, second), point in product(_RACING, SCENARIOS):
        if not find_pair_reason(first, second, point):
            for scenario in SCENARIOS[point]:
                yield Cell(
                    (first, second), point, after=False, scenario=scenario
                )


def list_pairs(count: int = _PAIR_COUNT, seed: int = _SEED) -> Iterator[Cell]:
    """List a sample of fault pairs, determined by the seed."""
    random = Random(seed)
    cells = list(list_cells())
    while count:
        first = random.choice(cells)
        second = random.choice(tuple(INJECTORS))
        if find_pair_reason(first.kinds[0], second, first.point):
            continue
        count -= 1
        yield Cell(
            (*first.kinds, second), first.point, first.after, first.scenario
        )


def run_cell(cell: Cell, variants: Variants | None = None) -> Result:
    """Run a cell's scenario with its faults, then check all invariants."""
    world = play(cell, variants)
    if (cell.point, cell.after) not in world.points.passed:
        return Result(cell, State.BROKEN, 'the step was never reached')
    try:
        check_all(world, frozenset(cell.kinds))
    except Violation as violation:
        return Result(cell, State.BROKEN, str(violation))
    return Result(cell, State.HELD)


def play(cell: Cell, variants: Variants | None = None) -> World:
    """Run a cell's scenario with its faults until the world is idle."""
    scenario = cell.scenario
    forgets = cell.point is Point.SNAPSHOT or Kind.RETENTION in cell.kinds
    world = World(variants, _RETENTION if forgets else HOUR)

    def inject(process: object) -> None:
        slot = world.dispatched or scenario.slot
        for kind in cell.kinds:
            INJECTORS[kind](FaultTarget(world, process, scenario.service, slot))  # type: ignore[arg-type]

    world.points.arm(cell.point, after=cell.after, act=inject)
    steps.begin(scenario, world)
    world.run()
    return world


def run_cells(
    cells: Sequence[Cell], variants: Variants | None = None
) -> list[Result]:
    """Run cells sequentially in one event loop."""

    async def run() -> list[Result]:
        # Production components create events, which need a running loop.
        return [run_cell(cell, variants) for cell in cells]

    # Each world becomes garbage as a whole: frequent collections find little.
    before = gc.get_threshold()
    gc.set_threshold(_GC_THRESHOLD)
    try:
        return anyio.run(run)
    finally:
        gc.set_threshold(*before)
