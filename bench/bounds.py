"""Check the results of short simulations against regression bounds."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import cattrs
import yaml

from bench.measures import Measures
from bench.runs import Task

BOUNDS_FILE = Path(__file__).with_name('bounds.yaml')


@dataclass(frozen=True, slots=True)
class Bound:
    """Upper and lower limits for the measures of one run."""

    deployment: str
    scenario: str
    system: str = 'policy'
    seed: int = 1
    at_most: Mapping[str, float] = field(default_factory=dict)
    at_least: Mapping[str, float] = field(default_factory=dict)

    @property
    def task(self) -> Task:
        """Return the run that the limits apply to."""
        return Task(self.deployment, self.scenario, self.system, self.seed)


def load_bounds() -> tuple[Bound, ...]:
    """Load the bounds from `BOUNDS_FILE`."""
    data = yaml.safe_load(BOUNDS_FILE.read_text())
    return cattrs.structure(data, tuple[Bound, ...])


def find_breaches(bound: Bound, measures: Measures) -> Iterator[str]:
    """Yield a message for each measure outside its limits."""
    for name, limit in bound.at_most.items():
        value = getattr(measures, name)
        if value > limit:
            yield f'{name} {value:.4g} is over {limit:.4g}'
    for name, limit in bound.at_least.items():
        value = getattr(measures, name)
        if value < limit:
            yield f'{name} {value:.4g} is under {limit:.4g}'
