"""Decide when a model engine takes newly named weights."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.load_queue import LoadNotice, LoadQueue
from oleanderdyke.kernel.weight_versions import (
    FIRST_TOKEN_MARGIN,
    WeightVersions,
)


@dataclass(frozen=True, slots=True)
class EngineState:
    """Hold what an engine reports; `orders` counts those it accepted.

    `clock` is the reading of the clock that all engines share, `born` the
    Unix millisecond of the engine's start where it tells that.
    """

    versions: Mapping[str, int]
    is_busy: bool
    orders: int
    clock: Millis = 0.0
    born: int | None = None

    def has_restarted_since(self, before: EngineState) -> bool:
        """Return whether the engine has started anew since the report before.

        Each start counts its orders from none.
        """
        return self.born != before.born or self.orders < before.orders

    def is_from_earlier_start(self, before: EngineState) -> bool:
        """Return whether a report is late, of a start that has ended."""
        if self.born is None:
            return before.born is not None
        return self.born < (before.born or 0)


@dataclass(frozen=True, slots=True)
class Target:
    """Name the newest weights of a model."""

    model: str
    version: int


def find_target(state: EngineState, targets: Iterable[Target]) -> Target | None:
    """Return newer weights of a model that the engine holds."""
    for target in targets:
        held = state.versions.get(target.model)
        if held is not None and held < target.version:
            return target
    return None


class Rollout:
    """Judge who loads when by how old the news of weights is.

    `clock_offset` is the most by which the engines' clock is ahead of the
    local one, None if unknown.
    """

    def __init__(self, limit: Millis) -> None:
        self.weights = WeightVersions()
        self.queue = LoadQueue(limit)
        self._limit = limit

    def apply(
        self, notice: LoadNotice, *, now: Millis, clock_offset: Millis | None
    ) -> None:
        """Take a notice of the log: a place, and how old its news is."""
        told = notice.newest_at
        is_ahead = (
            told is not None
            and clock_offset is not None
            and told - clock_offset > now
        )
        if told is not None and not is_ahead:
            self.weights.record_newest(notice.model, notice.held, told)
        self.queue.apply(notice)
        self.tick(now=now, clock_offset=clock_offset)

    def tick(
        self, *, now: Millis, clock_offset: Millis | None
    ) -> tuple[str, ...]:
        """Judge all places anew; return the engines that are passed over.

        A place may have been read before it was known how old its news is.
        """

        def find_due(model: str, held: int) -> Millis:
            replaced = self.weights.find_replaced_at(
                model, held, now, clock_offset
            )
            if replaced is None or math.isinf(self._limit):
                return math.inf
            return replaced + self._limit - FIRST_TOKEN_MARGIN

        self.queue.update_due_times(find_due)
        return self.queue.tick(now)
