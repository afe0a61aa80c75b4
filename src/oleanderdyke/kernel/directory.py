"""Know which agents hold which cached segments, as hints."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import SegmentHint
from oleanderdyke.kernel.holders import SHARD_COUNT, HolderTable
from oleanderdyke.links.messages.segments import (
    SegmentEvents,
    SegmentListRequest,
)

_ASK_AGAIN: Millis = 2 * SECOND
_SWEPT_SHARDS = 64
_HINT_BYTES = 8


@dataclass(slots=True)
class _Source:
    """Follow the numbered events of one agent.

    `following` is the number of the next event, None before the first list.
    """

    number: int
    following: int | None = None
    asked_at: Millis | None = None


class Directory:
    """Map segments to agents from numbered events.

    A message with `full` holds the effect of every event before its `first`;
    the next event then has the number `first`. Numbering starts at 0. One
    without any event tells, on a new link, which number comes next.
    """

    def __init__(self) -> None:
        self._table = HolderTable()
        self._sources: dict[str, _Source] = {}
        self._agents: dict[int, str] = {}
        self._numbers = 0
        self._dirty = 0
        self._swept = 0

    def __len__(self) -> int:
        return len(self._table)

    def apply_events(
        self, agent: str, events: SegmentEvents, now: Millis
    ) -> SegmentListRequest | None:
        """Apply events; return a request where some are missing."""
        source = self._sources.get(agent)
        if source is None:
            source = self._open(agent)
        if events.full:
            self._replace(agent, events)
            return None
        if events.first > (source.following or 0):
            return _ask(source, events, now)
        self._follow(source, events)
        return None

    def remove_agent(self, agent: str) -> None:
        """Drop everything known about an agent."""
        source = self._sources.pop(agent, None)
        if source is not None:
            del self._agents[source.number]
            self._dirty = SHARD_COUNT

    def holders(self, segment: SegmentHint) -> tuple[str, ...]:
        """Return the agents that hold a segment."""
        found = self._table.get(_to_key(segment))
        agents = self._agents
        return tuple(agents[item] for item in found if item in agents)

    def count_leading(
        self, agent: str, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the segments from `start` on that an agent holds in a row."""
        source = self._sources.get(agent)
        if source is None:
            return 0
        for place in range(start, len(segments)):
            if source.number not in self._table.get(_to_key(segments[place])):
                return place - start
        return max(0, len(segments) - start)

    def sweep(self) -> None:
        """Free a share of what gone agents left behind; call it regularly."""
        lives = self._agents.__contains__
        for _ in range(min(_SWEPT_SHARDS, self._dirty)):
            self._table.sweep(self._swept, lives)
            self._swept = (self._swept + 1) % SHARD_COUNT
            self._dirty -= 1

    def _open(self, agent: str) -> _Source:
        self._numbers += 1
        source = self._sources[agent] = _Source(self._numbers)
        self._agents[source.number] = agent
        return source

    def _replace(self, agent: str, events: SegmentEvents) -> None:
        self.remove_agent(agent)
        source = self._open(agent)
        source.following = events.first
        for segment in events.added:
            self._table.add(_to_key(segment), source.number)

    def _follow(self, source: _Source, events: SegmentEvents) -> None:
        # A message names a segment once, so that its part already known may
        # be applied again; of a message wholly known this is not true.
        known = source.following or 0
        following = events.first + len(events.added) + len(events.removed)
        if following <= known:
            return
        for segment in events.added:
            self._table.add(_to_key(segment), source.number)
        for segment in events.removed:
            self._table.remove(_to_key(segment), source.number)
        source.following = following
        source.asked_at = None


def _ask(
    source: _Source, events: SegmentEvents, now: Millis
) -> SegmentListRequest | None:
    asked_at = source.asked_at
    greets = not (events.added or events.removed)
    waits = asked_at is not None and now - asked_at < _ASK_AGAIN
    # An answer to what was asked on an earlier link may be lost.
    if waits and not greets:
        return None
    source.asked_at = now
    after = -1 if source.following is None else source.following
    return SegmentListRequest(after)


def _to_key(segment: SegmentHint) -> int:
    return int.from_bytes(segment[:_HINT_BYTES].ljust(_HINT_BYTES, b'\0'))
