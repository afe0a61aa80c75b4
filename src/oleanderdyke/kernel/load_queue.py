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
    """Tell all agents and entries of one step of one engine's load.

    `server` is the engine's start, `agent` the process that gives it orders.
    One that has ended tells which weights it holds by then.
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
    As few load at once as all can be done in time with; those whose weights
    may serve for the shortest time go first.
    """

    def __init__(self, limit: Millis = math.inf) -> None:
        self._places: dict[str, _Place] = {}
        # Places whose loads have ended since the last tick.
        self._over: list[_Place] = []
        self._times = LoadTimes()
        self._patience = _STUCK_AFTER
        if not math.isinf(limit):
            self._patience = limit * _STUCK_SHARE

    def apply(self, notice: LoadNotice) -> None:
        """Apply the next notice of the log."""
        place = self._places.get(notice.holder)
        if place is not None and _tells_load(notice, place):
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

    def judge(self, find_due: FindDue) -> None:
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

    def waits(self, holder: str, server: str, held: int) -> bool:
        """Tell whether an engine's start waits with the weights it holds."""
        place = self._places.get(holder)
        if place is None or place.is_lost:
            return False
        return (place.server, place.held) == (server, held)

    def is_queued(self, holder: str) -> bool:
        """Tell whether an agent has a place, its engine lost or not."""
        return holder in self._places

    def find_model(self, holder: str) -> str:
        """Return the model whose weights an agent waits for, or nothing."""
        place = self._places.get(holder)
        return '' if place is None else place.model

    def is_lost(self, holder: str) -> bool:
        """Tell whether an agent that has a place told of a lost engine."""
        place = self._places.get(holder)
        return place is not None and place.is_lost

    def may_load(self, holder: str, now: Millis) -> bool:
        """Tell whether it is an agent's turn."""
        place = self._places.get(holder)
        return place is not None and place in self._list_turns(now)

    def list_loading(self, now: Millis) -> tuple[str, ...]:
        """Return the engines that may take new weights now."""
        return tuple(place.server for place in self._list_turns(now))

    def list_busy(self, now: Millis) -> tuple[str, ...]:
        """Return the engines that likely take new weights now.

        One that should be done may be tried: its agent may be cut off. If it
        still loads it refuses at once.
        """
        return tuple(
            place.server
            for place in self._list_turns(now)
            if not self._is_overdue(place, now)
        )

    def list_next(self, now: Millis) -> tuple[str, ...]:
        """Return the engines that take new weights after those."""
        able = [
            each
            for each in self._list_able()
            if not self._is_overdue(each, now)
        ]
        count = self._count_turns(able, now)
        return tuple(place.server for place in able[count : 2 * count])

    def note_held(self, server: str, model: str, held: int) -> None:
        """Take away the place of an engine that is listed with newer weights.

        Its agent may be cut off when its load ends, and would hold up the
        others until they pass it over.
        """
        for holder, place in tuple(self._places.items()):
            is_of = (place.server, place.model) == (server, model)
            if is_of and place.held < held:
                del self._places[holder]

    def _note_times(self, now: Millis) -> None:
        for place in self._over:
            if place.since is not None:
                self._times.note(now - place.since)
        self._over.clear()

    def _list_able(self) -> list[_Place]:
        able = [place for place in self._places.values() if not place.is_lost]
        return sorted(able, key=attrgetter('due'))

    def _list_turns(self, now: Millis) -> list[_Place]:
        """Return whose turn it is, those that are overdue first.

        Some of them have loaded and can't tell it. Beside them one more goes:
        waiting until they are passed over cost the others two to three seconds
        of their time.
        """
        able = self._list_able()
        overdue = [each for each in able if self._is_overdue(each, now)]
        rest = [each for each in able if each not in overdue]
        count = self._count_turns(rest, now) - len(overdue)
        return overdue + rest[: max(count, 1)]

    def _is_overdue(self, place: _Place, now: Millis) -> bool:
        """Tell whether an engine should have ended its load by now."""
        if place.since is None:
            return False
        return self._times.is_overdue(now - place.since)

    def _count_turns(self, able: list[_Place], now: Millis) -> int:
        """Count how many have to load at once for all to be in time."""
        pending = [_make_pending(place, now) for place in able]
        return count_at_once(pending, self._times.find_time())


def _tells_load(notice: LoadNotice, place: _Place) -> bool:
    """Tell whether a load has ended: some ask for the next at once."""
    if notice.step is LoadStep.WAITS:
        is_same = notice.server == place.server
        return is_same and notice.held > place.held
    return notice.step is LoadStep.ENDED and not place.is_lost


def _make_pending(place: _Place, now: Millis) -> PendingLoad:
    begun = 0.0 if place.since is None else now - place.since
    return PendingLoad(place.due - now, begun)
