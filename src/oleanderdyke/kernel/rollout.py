"""Rollout of new weights: when each model engine loads them."""

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
    """Hold the state that an engine reports.

    `orders` counts the load orders that it accepted since it started, `clock`
    is a reading of the clock that all engines share in ms, `born` the time of
    the engine's start in Unix ms, None if it does not report it.
    """

    versions: Mapping[str, int]
    is_busy: bool
    orders: int
    clock: Millis = 0.0
    born: int | None = None

    def has_restarted_since(self, previous: EngineState) -> bool:
        """Return whether the engine restarted after the previous report.

        A restart resets `orders` to 0.
        """
        return self.born != previous.born or self.orders < previous.orders

    def is_from_earlier_start(self, previous: EngineState) -> bool:
        """Return whether this is a late report of a start that has ended."""
        if self.born is None:
            return previous.born is not None
        return self.born < (previous.born or 0)


@dataclass(frozen=True, slots=True)
class Target:
    """Name a model and the newest version of its weights."""

    model: str
    version: int


def find_target(state: EngineState, targets: Iterable[Target]) -> Target | None:
    """Return the first target that is newer than what the engine holds."""
    for target in targets:
        held = state.versions.get(target.model)
        if held is not None and held < target.version:
            return target
    return None


class Rollout:
    """Schedule loads by the time at which held weights were replaced.

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
        """Apply a notice of the log to the queue and the known versions."""
        newest_at = notice.newest_at
        is_future = (
            newest_at is not None
            and clock_offset is not None
            and newest_at - clock_offset > now
        )
        if newest_at is not None and not is_future:
            self.weights.record_newest(notice.model, notice.held, newest_at)
        self.queue.apply(notice)
        self.tick(now=now, clock_offset=clock_offset)

    def tick(
        self, *, now: Millis, clock_offset: Millis | None
    ) -> tuple[str, ...]:
        """Recompute all due times; return engines past their turn limit.

        A notice may have been read before the time of the replacement or the
        clock offset was known.
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
