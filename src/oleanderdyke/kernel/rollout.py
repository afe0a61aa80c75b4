"""Decide when a model engine takes newly named weights."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis

# Over two loads at once share the weight store's link, and take longer.
_AT_ONCE = 2
# Larger deployments can't be ready in time with two at once: they may load in
# so many rounds.
_MOST_ROUNDS = 5
# The load takes 1.8 s, and the last runs of a drained engine some 0.5 s.
_LOAD_TIME: Millis = 2.4 * SECOND
# The part of the time that new weights may take that is planned for: the rest
# bears one load that takes longer. One engine at a time instead of two raised
# the worth of four quiet days from 0.69 to 0.78 and from 0.64 to 0.76.
_LIMIT_USE = 0.9
# Whoever takes longer no longer holds up the others; a run may take five
# seconds to end.
_STUCK_AFTER: Millis = 7 * SECOND
# An order takes some milliseconds, and one that is not answered is repeated a
# second later. Where the agent of an engine is gone, only this is lost.
_BEGIN_LIMIT: Millis = 2 * SECOND


@dataclass(frozen=True, slots=True)
class EngineState:
    """Hold what an engine reports; `orders` counts those it accepted."""

    versions: Mapping[str, int]
    is_busy: bool
    orders: int


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


def holds_newest(
    versions: Mapping[str, int], newest: Mapping[str, int]
) -> bool:
    """Tell whether an engine has the newest weights of all its models."""
    return all(
        version >= newest.get(model, 0) for model, version in versions.items()
    )


class LoadStep(enum.StrEnum):
    """Say what an agent tells of the load of new weights."""

    WAITS = 'waits'
    BEGUN = 'begun'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """Tell all agents and entries of one step of one engine's load."""

    server: str
    step: LoadStep


@dataclass(slots=True)
class _Turn:
    """Hold since when an engine may load, and whether it has begun to.

    One that `drains` gets no long runs, as its turn is next.
    """

    drains: bool = False
    loads: Millis | None = None
    is_begun: bool = False

    def is_stuck(self, now: Millis) -> bool:
        """Tell whether it has had its time."""
        limit = _STUCK_AFTER if self.is_begun else _BEGIN_LIMIT
        return self.loads is not None and now - self.loads > limit


class LoadQueue:
    """Let engines take new weights in the order of their notices.

    Every process applies the same notices in the order of the log, so nobody
    has to lead. Engines go one by one while all can still be ready `limit`
    after the weights were named, as each that loads is missed by callers.
    Before its turn an engine drains, but for the first: it still gets short
    runs, as a load begins only when the last run has ended. An engine that is
    not heard of again is passed over after a bounded time, as each process
    measures it.
    """

    def __init__(self, limit: Millis) -> None:
        self._limit = limit * _LIMIT_USE
        self._due: Millis = 0.0
        # Since nobody was queued.
        self._most_queued = 0
        self._queue: dict[str, _Turn] = {}

    def note_named(self, now: Millis) -> None:
        """Learn that newer weights were named."""
        self._due = now + self._limit

    def apply(self, notice: LoadNotice, now: Millis) -> None:
        """Apply the next notice of the log."""
        if notice.step is LoadStep.ENDED:
            self.drop(notice.server)
        elif notice.step is LoadStep.BEGUN:
            self._note_begun(notice.server)
        else:
            self._queue.setdefault(notice.server, _Turn())
            self._most_queued = max(self._most_queued, len(self._queue))
        self.tick(now)

    def drop(self, server: str) -> None:
        """Learn that an engine has what is named, or is gone."""
        self._queue.pop(server, None)
        if not self._queue:
            self._most_queued = 0

    def tick(self, now: Millis) -> None:
        """Begin turns that are due, and pass over those that had their time."""
        stuck = [
            server for server, turn in self._queue.items() if turn.is_stuck(now)
        ]
        for server in stuck:
            self.drop(server)
        self._begin_loads(now)
        for turn in self._list_waiting()[: self._find_width(now)]:
            turn.drains = True

    def list_queued(self) -> tuple[str, ...]:
        """Return all engines that wait or load."""
        return tuple(self._queue)

    def is_queued(self, server: str) -> bool:
        """Tell whether an engine waits or loads."""
        return server in self._queue

    def may_load(self, server: str) -> bool:
        """Tell whether it is an engine's turn."""
        turn = self._queue.get(server)
        return turn is not None and turn.loads is not None

    def list_loading(self) -> tuple[str, ...]:
        """Return the engines that may take new weights now."""
        return tuple(
            server
            for server, turn in self._queue.items()
            if turn.loads is not None
        )

    def list_draining(self) -> tuple[str, ...]:
        """Return the engines that take new weights after those."""
        return tuple(
            server
            for server, turn in self._queue.items()
            if turn.loads is None and turn.drains
        )

    def _note_begun(self, server: str) -> None:
        turn = self._queue.get(server)
        if turn is not None:
            turn.is_begun = True

    def _begin_loads(self, now: Millis) -> None:
        waiting = self._list_waiting()
        loading = len(self._queue) - len(waiting)
        for turn in waiting[: max(self._find_width(now) - loading, 0)]:
            turn.loads = now

    def _list_waiting(self) -> list[_Turn]:
        return [turn for turn in self._queue.values() if turn.loads is None]

    def _find_width(self, now: Millis) -> int:
        """Return how many have to load at once for all to be ready in time."""
        left = max(self._due - now, 1.0)
        work = sum(_find_left(turn, now) for turn in self._queue.values())
        most = max(_AT_ONCE, math.ceil(self._most_queued / _MOST_ROUNDS))
        return min(max(round(work / left), 1), most)


def _find_left(turn: _Turn, now: Millis) -> Millis:
    """Return how long the rest of a load likely takes."""
    if turn.loads is None:
        return _LOAD_TIME
    return max(turn.loads + _LOAD_TIME - now, 0.0)
