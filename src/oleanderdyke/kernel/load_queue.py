"""Order in which model engines load new weights before the old expire."""

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

# Loads that may always run at the same time. Answers from old weights lose
# value with time, so one at a time is too slow; the other engines have to serve
# meanwhile.
_MIN_CONCURRENT_LOADS = 2
# An agent polls its engine every 100 ms and orders the load once it has a turn,
# so the load is ordered by this time after the turn began.
_COMMIT_DELAY: Millis = 300.0
# Fraction of the serving limit of old weights after which a turn is revoked. A
# lost engine gives up its turn at once; this limit covers engines that are lost
# together with their agent, and leaves time for two more rounds of loads.
_TURN_LIMIT_SHARE = 1 / 3
# The turn limit where old weights may serve without limit.
_DEFAULT_TURN_LIMIT: Millis = 7 * SECOND


# Maps a model and a version of its weights to the time until which they may
# serve.
FindDue: TypeAlias = Callable[[str, int], Millis]


class LoadStep(enum.StrEnum):
    """Name the steps that an agent reports of its engine's weight load."""

    STARTED = 'started'
    WAITS = 'waits'
    LOST = 'lost'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """Report one step of one engine's load to all agents and entries.

    `server` identifies the engine's start, `agent` the process that orders its
    loads. WAITS and ENDED carry the version `held` of `model`. WAITS also
    carries `newest_at`, a time on the engines' clock at which the held version
    was the newest, if the agent knows one; processes that start later use it to
    bound how long ago the held version was replaced.
    """

    server: str
    step: LoadStep
    agent: str = ''
    model: str = ''
    held: int = 0
    newest_at: Millis | None = None

    @property
    def holder(self) -> str:
        """Return the queue key, which survives a restart of the engine."""
        return self.agent or self.server


@dataclass(frozen=True, slots=True)
class LoadTurns:
    """List the engines that load new weights now, and as many next ones."""

    busy: tuple[str, ...] = ()
    following: tuple[str, ...] = ()


_NO_TURNS = LoadTurns()


@dataclass(slots=True, eq=False)
class _QueuedLoad:
    """Hold one engine's queued load.

    `turn_since` is when its turn began, None while it waits. The held version
    may serve until `due`.
    """

    server: str
    model: str
    held: int
    due: Millis = math.inf
    turn_since: Millis | None = None
    is_lost: bool = False


class LoadQueue:
    """Schedule weight loads of engines, earliest due time first.

    Loads with equal due times keep the order of their notices. Every process
    applies the same notices in the order of the log, so no leader is needed. An
    entry belongs to the agent, not to one start of its engine: a crashed engine
    keeps its entry, but blocks no other load until it is back. The number of
    concurrent loads is the smallest that lets all loads end in time.
    """

    def __init__(self, limit: Millis = math.inf) -> None:
        self._queued: dict[str, _QueuedLoad] = {}
        # Loads that ended since the last tick.
        self._ended: list[_QueuedLoad] = []
        # Largest queue length since the queue was last empty: the number of
        # engines in the rollout.
        self._fleet_size = 0
        self._durations = LoadDurations(limit)
        self._turn_limit = _DEFAULT_TURN_LIMIT
        if not math.isinf(limit):
            self._turn_limit = limit * _TURN_LIMIT_SHARE

    def clear(self) -> None:
        """Drop all queued loads; agents that need one request it again."""
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
            # Replacing the value of an existing key keeps its queue position.
            self._queued[notice.holder] = _QueuedLoad(
                notice.server, notice.model, notice.held
            )
        largest = max(self._fleet_size, len(self._queued))
        self._fleet_size = largest if self._queued else 0

    def update_due_times(self, find_due: FindDue) -> None:
        """Set until when the held weights of each queued load may serve."""
        for queued in self._queued.values():
            queued.due = find_due(queued.model, queued.held)

    def tick(self, now: Millis) -> tuple[str, ...]:
        """Update the turns; drop and return engines past the turn limit."""
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
        """Return whether the load that a notice requests is queued.

        The model and the held version have to match too, as each has its own
        due time.
        """
        queued = self._queued.get(notice.holder)
        if queued is None or queued.is_lost:
            return False
        requested = (notice.server, notice.model, notice.held)
        return (queued.server, queued.model, queued.held) == requested

    def is_queued(self, holder: str) -> bool:
        """Return whether an agent has a queued load, its engine lost or not."""
        return holder in self._queued

    def find_model(self, holder: str) -> str:
        """Return the model whose weights an agent waits for, '' if none."""
        queued = self._queued.get(holder)
        return '' if queued is None else queued.model

    def is_lost(self, holder: str) -> bool:
        """Return whether a queued agent has reported its engine as lost."""
        queued = self._queued.get(holder)
        return queued is not None and queued.is_lost

    def may_load(self, holder: str, now: Millis) -> bool:
        """Return whether an agent may order its engine to load now."""
        queued = self._queued.get(holder)
        return queued is not None and queued in self._list_turns(now)

    def list_loading(self, now: Millis) -> tuple[str, ...]:
        """Return the engines that may take new weights now."""
        return tuple(queued.server for queued in self._list_turns(now))

    def find_turns(self, now: Millis) -> LoadTurns:
        """Return the engines that probably load new weights now, and next.

        Overdue engines are left out, so that they get requests: their agent may
        be disconnected from the log. An engine that still loads refuses a
        request at once.
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
        """Return the loads that have a turn, committed ones first.

        Overdue loads do not count against the concurrency: their agent may be
        disconnected from the store, as seen for 8 s of a 10 s rollout.
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
        """Return whether a load has run longer than loads usually take."""
        if queued.turn_since is None:
            return False
        return self._durations.is_overdue(now - queued.turn_since)


def _ends_load(notice: LoadNotice, queued: _QueuedLoad) -> bool:
    """Return whether a notice ends the queued load of its holder.

    An agent may request the next load without reporting the end of this one.
    """
    if notice.step is LoadStep.WAITS:
        is_same = notice.server == queued.server
        return is_same and notice.held > queued.held
    return notice.step is LoadStep.ENDED and not queued.is_lost


def _is_committed(queued: _QueuedLoad, now: Millis) -> bool:
    """Return whether a load must have been ordered by now and keeps its turn.

    Before that, a notice with a later `newest_at` may still show that fewer
    concurrent loads are enough.
    """
    return (
        queued.turn_since is not None
        and now - queued.turn_since > _COMMIT_DELAY
    )


def _make_pending(queued: _QueuedLoad, now: Millis) -> PendingLoad:
    elapsed = None if queued.turn_since is None else now - queued.turn_since
    return PendingLoad(queued.due - now, elapsed)
