"""Decide when a model engine takes newly named weights."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis

# Loads share the weight store: over two at once take longer, and the others
# have to serve meanwhile.
_AT_ONCE = 2
# A load takes two seconds after the runs have ended, which takes up to three.
# Whoever takes longer no longer holds up the others; two rounds so spaced stay
# under the time in which new weights have to be in place.
_STUCK_AFTER: Millis = 7 * SECOND


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


class LoadStep(enum.StrEnum):
    """Say what an agent tells of the load of new weights."""

    WAITS = 'waits'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """Tell all agents and entries of one step of one engine's load."""

    server: str
    step: LoadStep


class LoadQueue:
    """Let engines take new weights in the order of their notices.

    Every process applies the same notices in the order of the log, so nobody
    has to lead. An engine that is not heard of again is passed over after a
    bounded time, as each process measures it.
    """

    def __init__(self) -> None:
        # When each engine was first seen among those that may load.
        self._queue: dict[str, Millis | None] = {}

    def apply(self, notice: LoadNotice, now: Millis) -> None:
        """Apply the next notice of the log."""
        if notice.step is LoadStep.ENDED:
            self._queue.pop(notice.server, None)
        else:
            self._queue.setdefault(notice.server, None)
        self.tick(now)

    def tick(self, now: Millis) -> tuple[str, ...]:
        """Pass over engines that have had their time; return them."""
        stuck = [
            server
            for server, since in self._queue.items()
            if since is not None and now - since > _STUCK_AFTER
        ]
        for server in stuck:
            del self._queue[server]
        for server in self.list_loading():
            if self._queue[server] is None:
                self._queue[server] = now
        return tuple(stuck)

    def is_queued(self, server: str) -> bool:
        """Tell whether an engine waits or loads."""
        return server in self._queue

    def may_load(self, server: str) -> bool:
        """Tell whether it is an engine's turn."""
        return server in self.list_loading()

    def list_loading(self) -> tuple[str, ...]:
        """Return the engines that may take new weights now."""
        return tuple(self._queue)[:_AT_ONCE]

    def list_next(self) -> tuple[str, ...]:
        """Return the engines that take new weights after those."""
        return tuple(self._queue)[_AT_ONCE : 2 * _AT_ONCE]
