"""Directory of the agents that hold cached segments, by hints."""

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

_REREQUEST_INTERVAL: Millis = 2 * SECOND
_SHARDS_PER_SWEEP = 64
_HINT_BYTES = 8


@dataclass(slots=True)
class _AgentState:
    """Hold the position in the numbered events of one agent.

    `next_number` is the number of the next event, None before the first full
    list. `requested_at` is when missing events were last requested.
    """

    number: int
    next_number: int | None = None
    requested_at: Millis | None = None


class Directory:
    """Map segments to agents by the agents' numbered events.

    Events are numbered from 0. A message with `full` lists the state before its
    number `first`, which is the number of the next event. A message without
    events is a greeting on a new link and carries the next number.
    """

    def __init__(self) -> None:
        self._table = HolderTable()
        self._states: dict[str, _AgentState] = {}
        self._agents: dict[int, str] = {}
        self._numbers = 0
        self._unswept_shards = 0
        self._next_shard = 0

    def __len__(self) -> int:
        return len(self._table)

    def apply_events(
        self, agent: str, events: SegmentEvents, now: Millis
    ) -> SegmentListRequest | None:
        """Apply events; return a request if earlier ones are missing."""
        state = self._states.get(agent)
        if state is None:
            state = self._add_agent(agent)
        if events.full:
            self._replace(agent, events)
            return None
        if events.first > (state.next_number or 0):
            return _request_missing(state, events, now)
        self._apply_changes(state, events)
        return None

    def remove_agent(self, agent: str) -> None:
        """Remove an agent; `sweep` frees its entries later."""
        state = self._states.pop(agent, None)
        if state is not None:
            del self._agents[state.number]
            self._unswept_shards = SHARD_COUNT

    def holders(self, segment: SegmentHint) -> tuple[str, ...]:
        """Return the known agents that hold a segment."""
        found = self._table.get(_to_key(segment))
        agents = self._agents
        return tuple(agents[number] for number in found if number in agents)

    def count_leading(
        self, agent: str, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the segments from `start` on that an agent holds in a row."""
        state = self._states.get(agent)
        if state is None:
            return 0
        for position in range(start, len(segments)):
            if state.number not in self._table.get(_to_key(segments[position])):
                return position - start
        return max(0, len(segments) - start)

    def sweep(self) -> None:
        """Free some entries of removed agents; call it regularly."""
        is_alive = self._agents.__contains__
        for _ in range(min(_SHARDS_PER_SWEEP, self._unswept_shards)):
            self._table.sweep(self._next_shard, is_alive)
            self._next_shard = (self._next_shard + 1) % SHARD_COUNT
            self._unswept_shards -= 1

    def _add_agent(self, agent: str) -> _AgentState:
        self._numbers += 1
        state = self._states[agent] = _AgentState(self._numbers)
        self._agents[state.number] = agent
        return state

    def _replace(self, agent: str, events: SegmentEvents) -> None:
        self.remove_agent(agent)
        state = self._add_agent(agent)
        state.next_number = events.first
        for segment in events.added:
            self._table.add(_to_key(segment), state.number)

    def _apply_changes(self, state: _AgentState, events: SegmentEvents) -> None:
        # A message names each segment once, so applying the known events of a
        # partly known message again is harmless. A message that is known in
        # full may be outdated by later ones.
        known = state.next_number or 0
        next_number = events.first + len(events.added) + len(events.removed)
        if next_number <= known:
            return
        for segment in events.added:
            self._table.add(_to_key(segment), state.number)
        for segment in events.removed:
            self._table.remove(_to_key(segment), state.number)
        state.next_number = next_number
        state.requested_at = None


def _request_missing(
    state: _AgentState, events: SegmentEvents, now: Millis
) -> SegmentListRequest | None:
    requested_at = state.requested_at
    is_greeting = not (events.added or events.removed)
    is_waiting = (
        requested_at is not None and now - requested_at < _REREQUEST_INTERVAL
    )
    # A greeting starts a new link; a request on the previous one may be lost.
    if is_waiting and not is_greeting:
        return None
    state.requested_at = now
    after = -1 if state.next_number is None else state.next_number
    return SegmentListRequest(after)


def _to_key(segment: SegmentHint) -> int:
    return int.from_bytes(segment[:_HINT_BYTES].ljust(_HINT_BYTES, b'\0'))
