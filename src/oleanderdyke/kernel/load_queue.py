"""Let model engines take new weights in turn, in time for all of them."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from dataclasses import dataclass
from operator import attrgetter
from typing import TypeAlias

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.load_concurrency import (
    LoadDurations,
    PendingLoad,
    count_concurrent_loads,
)

# So many load at once from the start: on old weights requests are worth less
# the longer they serve, and the others have to serve meanwhile.
_MIN_CONCURRENT_LOADS = 2
# An agent looks at its engine each 100 ms, and orders what it has its turn for.
_COMMIT_DELAY: Millis = 300.0
# Whoever has its turn for this part of the time that old weights may serve no
# longer holds up the others. An engine that is lost gives up its place at once;
# this is for those whose agent is lost with it, and leaves two more rounds.
_TURN_LIMIT_SHARE = 1 / 3
# The same where no bound is set.
_DEFAULT_TURN_LIMIT: Millis = 7 * SECOND


# Gets a model and weights of it, returns until when they may serve.
FindDue: TypeAlias = Callable[[str, int], Millis]


class LoadStep(enum.StrEnum):
    """Say what an agent tells of its engine and the load of new weights."""

    STARTED = 'started'
    WAITS = 'waits'
    LOST = 'lost'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """One step of one engine's load, for all agents and entries.

    `server` is the engine's start, `agent` the process that gives it orders.
    One that has ended tells which weights of a model its engine holds by then.
    An agent that waits tells which weights of a model its engine holds, and a
    moment of the engines' clock at which those were the newest, where it knows
    one: a process that starts later learns from that how old the news is.
    """

    server: str
    step: LoadStep
    agent: str = ''
    model: str = ''
    held: int = 0
    newest_at: Millis | None = None

    @property
    def holder(self) -> str:
        """Return who holds the place; it outlives a start of the engine."""
        return self.agent or self.server


@dataclass(frozen=True, slots=True)
class LoadTurns:
    """Engines that take new weights now, and as many that follow."""

    busy: tuple[str, ...] = ()
    following: tuple[str, ...] = ()


_NO_TURNS = LoadTurns()


@dataclass(slots=True, eq=False)
class _QueuedLoad:
    """Hold one engine's place; `since` is when its turn came.

    The weights of the model that it holds may serve until `due`.
    """

    server: str
    model: str
    held: int
    due: Millis = math.inf
    turn_since: Millis | None = None
    is_lost: bool = False


class LoadQueue:
    """Let engines take new weights in the order of their notices.

    Every process applies the same notices in the order of the log, so nobody
    has to lead. A place belongs to the agent, not to a start of its engine:
    an engine that crashes keeps it, but holds up nobody until it is back.
    As few load at once as it takes for all to be done in time, those first
    whose weights may serve for the shortest time.
    """

    def __init__(self, limit: Millis = math.inf) -> None:
        self._queued: dict[str, _QueuedLoad] = {}
        # Loads that have ended since the last tick.
        self._ended: list[_QueuedLoad] = []
        # The most places since there was none: how many engines a roll-out has.
        self._fleet_size = 0
        self._durations = LoadDurations(limit)
        self._turn_limit = _DEFAULT_TURN_LIMIT
        if not math.isinf(limit):
            self._turn_limit = limit * _TURN_LIMIT_SHARE

    def clear(self) -> None:
        """Drop all places: agents that still need one ask again."""
        self._queued.clear()
        self._ended.clear()
        self._fleet_size = 0

    def apply(self, notice: LoadNotice) -> None:
        """Apply the next notice of the log."""
        queued = self._queued.get(notice.holder)
        if queued is not None and _ends_load(notice, queued):
            self._ended.append(queued)
        if notice.step in {LoadStep.ENDED, LoadStep.STARTED}:
            self._queued.pop(notice.holder, None)
        elif notice.step is LoadStep.LOST:
            if queued is not None:
                queued.is_lost = True
        else:
            # Under a key that is there already it keeps its turn.
            self._queued[notice.holder] = _QueuedLoad(
                notice.server, notice.model, notice.held
            )
        largest = max(self._fleet_size, len(self._queued))
        self._fleet_size = largest if self._queued else 0

    def update_due_times(self, find_due: FindDue) -> None:
        """Learn until when the weights of each place may serve."""
        for queued in self._queued.values():
            queued.due = find_due(queued.model, queued.held)

    def tick(self, now: Millis) -> tuple[str, ...]:
        """Pass over engines that have had their time; return them."""
        self._record_durations(now)
        expired = {
            holder: queued.server
            for holder, queued in self._queued.items()
            if queued.turn_since is not None
            and now - queued.turn_since > self._turn_limit
        }
        for holder in expired:
            del self._queued[holder]
        turns = self._list_turns(now)
        for queued in self._queued.values():
            if queued not in turns:
                queued.turn_since = None
            elif queued.turn_since is None:
                queued.turn_since = now
        return tuple(expired.values())

    def is_pending(self, notice: LoadNotice) -> bool:
        """Return whether a request for a place is in force.

        A place for one model is none for another: each has its own time.
        """
        queued = self._queued.get(notice.holder)
        if queued is None or queued.is_lost:
            return False
        asked = (notice.server, notice.model, notice.held)
        return (queued.server, queued.model, queued.held) == asked

    def is_queued(self, holder: str) -> bool:
        """Return whether an agent has a place, its engine lost or not."""
        return holder in self._queued

    def find_model(self, holder: str) -> str:
        """Return the model whose weights an agent waits for, or nothing."""
        queued = self._queued.get(holder)
        return '' if queued is None else queued.model

    def is_lost(self, holder: str) -> bool:
        """Return whether an agent that has a place told of a lost engine."""
        queued = self._queued.get(holder)
        return queued is not None and queued.is_lost

    def may_load(self, holder: str, now: Millis) -> bool:
        """Return whether it is an agent's turn."""
        queued = self._queued.get(holder)
        return queued is not None and queued in self._list_turns(now)

    def list_loading(self, now: Millis) -> tuple[str, ...]:
        """Return the engines that may take new weights now."""
        return tuple(queued.server for queued in self._list_turns(now))

    def find_turns(self, now: Millis) -> LoadTurns:
        """Return the engines that likely take new weights now, and next.

        One that should be done may be tried: its agent may be cut off. If it
        still loads it refuses at once.
        """
        if not self._queued:
            return _NO_TURNS
        turns = self._list_turns(now)
        busy = [each for each in turns if not self._is_overdue(each, now)]
        waiting = [each for each in self._list_available() if each not in turns]
        return LoadTurns(
            tuple(each.server for each in busy),
            tuple(each.server for each in waiting[: len(turns)]),
        )

    def _record_durations(self, now: Millis) -> None:
        for queued in self._ended:
            if queued.turn_since is not None:
                self._durations.record(now - queued.turn_since)
        self._ended.clear()

    def _list_available(self) -> list[_QueuedLoad]:
        available = [
            queued for queued in self._queued.values() if not queued.is_lost
        ]
        return sorted(available, key=attrgetter('due'))

    def _list_turns(self, now: Millis) -> list[_QueuedLoad]:
        """Return whose turn it is, those first who had it before.

        Whoever should be done holds up nobody: its agent may be cut off from
        the store, as one was for eight seconds of a roll-out of ten.
        """
        available = self._list_available()
        committed = [
            queued for queued in available if _is_committed(queued, now)
        ]
        rest = [
            queued for queued in available if not _is_committed(queued, now)
        ]
        busy = [each for each in committed if not self._is_overdue(each, now)]
        pending = [_make_pending(each, now) for each in busy]
        pending += [PendingLoad(each.due - now) for each in rest]
        count = count_concurrent_loads(
            pending,
            self._durations.estimate(),
            _MIN_CONCURRENT_LOADS,
            self._fleet_size,
        )
        return committed + rest[: max(count - len(busy), 0)]

    def _is_overdue(self, queued: _QueuedLoad, now: Millis) -> bool:
        """Return whether an engine should have ended its load by now."""
        if queued.turn_since is None:
            return False
        return self._durations.is_overdue(now - queued.turn_since)


def _ends_load(notice: LoadNotice, queued: _QueuedLoad) -> bool:
    """Return whether a load has ended: some ask for the next at once."""
    if notice.step is LoadStep.WAITS:
        is_same = notice.server == queued.server
        return is_same and notice.held > queued.held
    return notice.step is LoadStep.ENDED and not queued.is_lost


def _is_committed(queued: _QueuedLoad, now: Millis) -> bool:
    """Return whether an engine has its order by now, so that it keeps its turn.

    Until then a notice with later news may show that there is more time.
    """
    return (
        queued.turn_since is not None
        and now - queued.turn_since > _COMMIT_DELAY
    )


def _make_pending(queued: _QueuedLoad, now: Millis) -> PendingLoad:
    elapsed = None if queued.turn_since is None else now - queued.turn_since
    return PendingLoad(queued.due - now, elapsed)
