"""Know the agents by their own heartbeats."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.kernel.demand import Replica, SegmentHint
from oleanderdyke.kernel.directory import Directory
from oleanderdyke.links.messages import (
    Heartbeat,
    Hello,
    SegmentEvents,
    SegmentListRequest,
)


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Say when a silent agent is suspected, dropped and forgotten."""

    suspect_after: Millis = 3 * SECOND
    drop_after: Millis = 6 * SECOND
    forget_after: Millis = 60 * SECOND


class VmView(Protocol):
    """See one row of the platform's VM list."""


class FleetState:
    """Answer what an entry knows about the agents."""

    def __init__(
        self,
        catalog: Catalog,
        settings: FleetSettings | None = None,
        directory: Directory | None = None,
    ) -> None:
        raise NotImplementedError

    def on_hello(self, hello: Hello, address: str, now: Millis) -> bool:
        """Take an agent's hello; False where its incarnation has ended."""
        raise NotImplementedError

    def on_heartbeat(self, agent: str, beat: Heartbeat, now: Millis) -> bool:
        """Take a heartbeat; False where it is old or of an ended one."""
        raise NotImplementedError

    def on_segments(
        self, agent: str, incarnation: str, events: SegmentEvents, now: Millis
    ) -> SegmentListRequest | None:
        """Take segment events; return what to ask the agent, if anything."""
        raise NotImplementedError

    def on_link_down(self, agent: str, incarnation: str) -> None:
        """Take an agent out until it says hello again."""
        raise NotImplementedError

    def on_quarantined(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Learn quarantined requests; return those that are new here."""
        raise NotImplementedError

    def tick(self, now: Millis) -> None:
        """Suspect, drop and forget silent agents; call it regularly."""
        raise NotImplementedError

    def replicas(self, service: str) -> Sequence[Replica]:
        """Return the serving agents of a service."""
        raise NotImplementedError

    def stores(self, service: str) -> Sequence[Replica]:
        """Return the serving agents of the stores a service selects."""
        raise NotImplementedError

    def find(self, agent: str) -> Replica | None:
        """Return an agent by its process name."""
        raise NotImplementedError

    def all_agents(self) -> Sequence[Replica]:
        """Return every known agent, also silent and leaving ones."""
        raise NotImplementedError

    def count_leading(
        self, agent: str, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the segments from `start` on that an agent holds in a row."""
        raise NotImplementedError

    def holders(self, segment: SegmentHint) -> Sequence[str]:
        """Return the agents that hold a segment."""
        raise NotImplementedError
