"""Let model engines take new weights in turn, in time for all of them."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from dataclasses import dataclass
from operator import attrgetter
from typing import TypeAlias

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.load_pace import (
    LoadTimes,
    PendingLoad,
    count_at_once,
)

# So many load at once from the start: on old weights requests are worth less
# the longer they serve, and the others have to serve meanwhile.
_LEAST_AT_ONCE = 2
# An agent looks at its engine each 100 ms, and orders what it has its turn for.
_FIRM_AFTER: Millis = 300.0
# Whoever has its turn for this part of the time that old weights may serve no
# longer holds up the others. An engine that is lost gives up its place at once;
# this is for those whose agent is lost with it, and leaves two more rounds.
_STUCK_SHARE = 1 / 3
# The same where no bound is set.
_STUCK_AFTER: Millis = 7 * SECOND


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
class _Place:
    """Hold one engine's place; `since` is when its turn came.

    The weights of the model that it holds may serve until `due`.
    """

    server: str
    model: str
    held: int
    due: Millis = math.inf
    since: Millis | None = None
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
        self._places: dict[str, _Place] = {}
        # Loads that have ended since the last tick.
        self._over: list[_Place] = []
        # The most places since there was none: how many engines a roll-out has.
        self._fleet = 0
        self._times = LoadTimes(limit)
        self._patience = _STUCK_AFTER
        if not math.isinf(limit):
            self._patience = limit * _STUCK_SHARE

    def clear(self) -> None:
        """Drop all places: agents that still need one ask again."""
        self._places.clear()
        self._over.clear()
        self._fleet = 0

    def apply(self, notice: LoadNotice) -> None:
        """Apply the next notice of the log."""
        place = self._places.get(notice.holder)
        if place is not None and _ends_load(notice, place):
            self._over.append(place)
        if notice.step in {LoadStep.ENDED, LoadStep.STARTED}:
            self._places.pop(notice.holder, None)
        elif notice.step is LoadStep.LOST:
            if place is not None:
                place.is_lost = True
        else:
            # Under a key that is there already it keeps its turn.
            self._places[notice.holder] = _Place(
                notice.server, notice.model, notice.held
            )
        most = max(self._fleet, len(self._places))
        self._fleet = most if self._places else 0

    def update_due_times(self, find_due: FindDue) -> None:
        """Learn until when the weights of each place may serve."""
        for place in self._places.values():
            place.due = find_due(place.model, place.held)

    def tick(self, now: Millis) -> tuple[str, ...]:
        """Pass over engines that have had their time; return them."""
        self._note_times(now)
        stuck = {
            holder: place.server
            for holder, place in self._places.items()
            if place.since is not None and now - place.since > self._patience
        }
        for holder in stuck:
            del self._places[holder]
        turns = self._list_turns(now)
        for place in self._places.values():
            if place not in turns:
                place.since = None
            elif place.since is None:
                place.since = now
        return tuple(stuck.values())

    def is_pending(self, notice: LoadNotice) -> bool:
        """Return whether a request for a place is in force.

        A place for one model is none for another: each has its own time.
        """
        place = self._places.get(notice.holder)
        if place is None or place.is_lost:
            return False
        asked = (notice.server, notice.model, notice.held)
        return (place.server, place.model, place.held) == asked

    def is_queued(self, holder: str) -> bool:
        """Return whether an agent has a place, its engine lost or not."""
        return holder in self._places

    def find_model(self, holder: str) -> str:
        """Return the model whose weights an agent waits for, or nothing."""
        place = self._places.get(holder)
        return '' if place is None else place.model

    def is_lost(self, holder: str) -> bool:
        """Return whether an agent that has a place told of a lost engine."""
        place = self._places.get(holder)
        return place is not None and place.is_lost

    def may_load(self, holder: str, now: Millis) -> bool:
        """Return whether it is an agent's turn."""
        place = self._places.get(holder)
        return place is not None and place in self._list_turns(now)

    def list_loading(self, now: Millis) -> tuple[str, ...]:
        """Return the engines that may take new weights now."""
        return tuple(place.server for place in self._list_turns(now))

    def find_turns(self, now: Millis) -> LoadTurns:
        """Return the engines that likely take new weights now, and next.

        One that should be done may be tried: its agent may be cut off. If it
        still loads it refuses at once.
        """
        if not self._places:
            return _NO_TURNS
        turns = self._list_turns(now)
        busy = [each for each in turns if not self._is_overdue(each, now)]
        waiting = [each for each in self._list_able() if each not in turns]
        return LoadTurns(
            tuple(each.server for each in busy),
            tuple(each.server for each in waiting[: len(turns)]),
        )

    def _note_times(self, now: Millis) -> None:
        for place in self._over:
            if place.since is not None:
                self._times.note(now - place.since)
        self._over.clear()

    def _list_able(self) -> list[_Place]:
        able = [place for place in self._places.values() if not place.is_lost]
        return sorted(able, key=attrgetter('due'))

    def _list_turns(self, now: Millis) -> list[_Place]:
        """Return whose turn it is, those first who had it before.

        Whoever should be done holds up nobody: its agent may be cut off from
        the store, as one was for eight seconds of a roll-out of ten.
        """
        able = self._list_able()
        firm = [place for place in able if _is_firm(place, now)]
        rest = [place for place in able if not _is_firm(place, now)]
        busy = [each for each in firm if not self._is_overdue(each, now)]
        pending = [_make_pending(each, now) for each in busy]
        pending += [PendingLoad(each.due - now) for each in rest]
        count = count_at_once(
            pending, self._times.find_time(), _LEAST_AT_ONCE, self._fleet
        )
        return firm + rest[: max(count - len(busy), 0)]

    def _is_overdue(self, place: _Place, now: Millis) -> bool:
        """Return whether an engine should have ended its load by now."""
        if place.since is None:
            return False
        return self._times.is_overdue(now - place.since)


def _ends_load(notice: LoadNotice, place: _Place) -> bool:
    """Return whether a load has ended: some ask for the next at once."""
    if notice.step is LoadStep.WAITS:
        is_same = notice.server == place.server
        return is_same and notice.held > place.held
    return notice.step is LoadStep.ENDED and not place.is_lost


def _is_firm(place: _Place, now: Millis) -> bool:
    """Return whether an engine has its order by now, so that it keeps its turn.

    Until then a notice with later news may show that there is more time.
    """
    return place.since is not None and now - place.since > _FIRM_AFTER


def _make_pending(place: _Place, now: Millis) -> PendingLoad:
    begun = None if place.since is None else now - place.since
    return PendingLoad(place.due - now, begun)
