"""Let model engines take new weights in turn, in time for all of them."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import SECOND, Millis

# Loads share the weight store: over two at once take longer, and the others
# have to serve meanwhile.
_AT_ONCE = 2
# From an order to new weights: the runs end first, in up to three seconds, and
# a load takes one or two. Most of what logs showed was between 1.9 s and 2.5 s.
_LOAD_TIME: Millis = 3 * SECOND
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
    As many load at once as it takes for all to be done in time.
    """

    def __init__(self, limit: Millis = math.inf) -> None:
        self._places: dict[str, _Place] = {}
        self._patience = _STUCK_AFTER
        if not math.isinf(limit):
            self._patience = limit * _STUCK_SHARE

    def apply(self, notice: LoadNotice) -> None:
        """Apply the next notice of the log."""
        place = self._places.get(notice.holder)
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

    def waits(self, notice: LoadNotice) -> bool:
        """Tell whether a request for a place is in force.

        A place for one model is none for another: each has its own time.
        """
        place = self._places.get(notice.holder)
        if place is None or place.is_lost:
            return False
        asked = (notice.server, notice.model, notice.held)
        return (place.server, place.model, place.held) == asked

    def is_queued(self, holder: str) -> bool:
        """Tell whether an agent has a place, its engine lost or not."""
        return holder in self._places

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

    def list_next(self, now: Millis) -> tuple[str, ...]:
        """Return the engines that take new weights after those."""
        able = self._list_able()
        count = self._count_turns(able, now)
        return tuple(place.server for place in able[count : 2 * count])

    def _list_able(self) -> list[_Place]:
        return [place for place in self._places.values() if not place.is_lost]

    def _list_turns(self, now: Millis) -> list[_Place]:
        able = self._list_able()
        return able[: self._count_turns(able, now)]

    def _count_turns(self, able: list[_Place], now: Millis) -> int:
        """Count how many have to load at once for all to be in time."""
        dues = sorted(place.due for place in able if place.due != math.inf)
        needed = (
            math.ceil(count / _count_rounds(due - now))
            for count, due in enumerate(dues, start=1)
        )
        return max([_AT_ONCE, *needed])


def _count_rounds(left: Millis) -> int:
    """Count how many loads, one after the other, end in a time."""
    return int(max(left, _LOAD_TIME) // _LOAD_TIME)
