"""Run one system through one scenario."""

from __future__ import annotations

from dataclasses import dataclass

import oleanderdyke.policies
from bench import baselines
from bench.history import make_trace
from bench.measures import Measures, measure
from bench.oracle import OracleRouter
from bench.scenarios import BY_NAME, WARM_UP
from bench.system import SYSTEMS
from bench.workload import DEPLOYMENTS
from bench.world import World
from oleanderdyke.clock import SECOND

# Importing these modules registers the plug-ins that systems refer to.
PLUGINS = (oleanderdyke.policies, baselines)


@dataclass(frozen=True, slots=True)
class Task:
    """Identify one run; equal tasks give equal measures.

    A `rate` of 0 uses the load of the scenario.
    """

    deployment: str
    scenario: str
    system: str
    seed: int
    rate: float = 0.0


def run(task: Task) -> Measures:
    """Simulate a task in virtual time and return its measures."""
    deployment = DEPLOYMENTS[task.deployment]
    scenario = BY_NAME[task.scenario]
    world = World(
        deployment,
        SYSTEMS[task.system],
        task.seed,
        make_router=OracleRouter if SYSTEMS[task.system].perfect else None,
        lags=scenario.lags,
        habits=scenario.habits,
    )
    trace = make_trace(
        task.deployment,
        task.seed,
        task.rate or scenario.load * deployment.capacity,
        scenario.length,
        scenario.busy_team,
    )
    scenario.prepare(world)
    world.load_window(trace.window)
    world.run(WARM_UP)
    world.start_measuring()
    world.run(scenario.length)
    measured = world.measure_link(), world.count_background()
    world.run(scenario.length + deployment.deadline + SECOND)
    return measure(world, scenario, *measured)
