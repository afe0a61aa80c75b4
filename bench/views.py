"""Provide the entries' views of the fleet, delayed or current."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from oleanderdyke.kernel.demand import Replica, SegmentHint


class CachedSegments(Protocol):
    """Count the segments in a cache."""

    def count_leading(
        self, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the consecutive segments from `start` that are cached."""


class LateFleet:
    """Hold the last received reports and cache events of all agents."""

    def __init__(self) -> None:
        self._replicas: dict[str, Replica] = {}
        self._serving: dict[str, list[Replica]] = {}
        self._segments: dict[str, set[SegmentHint]] = {}
        self._holders: dict[SegmentHint, set[str]] = {}
        self._stores: set[str] = set()

    def hear(self, replica: Replica, *, store: bool = False) -> None:
        """Store a report; a new incarnation drops the agent's segments."""
        previous = self._replicas.get(replica.agent)
        if previous is not None and previous.incarnation != replica.incarnation:
            self.forget_segments(replica.agent)
        self._replicas[replica.agent] = replica
        if store:
            self._stores.add(replica.agent)
        self._serving.clear()

    def lose(self, agent: str) -> None:
        """Remove an agent and its segments."""
        self._replicas.pop(agent, None)
        self.forget_segments(agent)
        self._serving.clear()

    def forget_segments(self, agent: str) -> None:
        """Remove all segments of an agent."""
        for segment in self._segments.pop(agent, ()):
            self._holders[segment].discard(agent)

    def apply(
        self,
        agent: str,
        added: Iterable[SegmentHint],
        removed: Iterable[SegmentHint],
    ) -> None:
        """Apply cache events of an agent."""
        held = self._segments.setdefault(agent, set())
        for segment in added:
            held.add(segment)
            self._holders.setdefault(segment, set()).add(agent)
        for segment in removed:
            held.discard(segment)
            holders = self._holders.get(segment)
            if holders is not None:
                holders.discard(agent)

    def replicas(self, service: str) -> Sequence[Replica]:
        """Return the replicas of a service, without stores."""
        if service not in self._serving:
            self._serving[service] = [
                each
                for each in self._replicas.values()
                if each.service == service and each.agent not in self._stores
            ]
        return self._serving[service]

    def stores(self, service: str) -> Sequence[Replica]:
        """Return the stores by name, whatever the service."""
        return [
            self._replicas[name]
            for name in sorted(self._stores)
            if name in self._replicas
        ]

    def find(self, agent: str) -> Replica | None:
        """Return the last report of an agent, if it is in the fleet."""
        return self._replicas.get(agent)

    def count_leading(
        self, agent: str, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the consecutive segments from `start` that an agent holds."""
        held = self._segments.get(agent) or set()
        for index in range(start, len(segments)):
            if segments[index] not in held:
                return index - start
        return max(0, len(segments) - start)

    def holders(self, segment: SegmentHint) -> Sequence[str]:
        """Return the names of the agents that hold a segment, sorted."""
        return sorted(self._holders.get(segment, ()))


class TrueFleet(LateFleet):
    """Read the caches directly instead of their delayed events."""

    def __init__(self) -> None:
        super().__init__()
        self.caches: dict[str, CachedSegments] = {}

    def count_leading(
        self, agent: str, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the consecutive segments in the agent's cache now."""
        return self.caches[agent].count_leading(segments, start)
