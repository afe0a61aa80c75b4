"""Know which agents hold which cached segments, as hints."""

from __future__ import annotations

from collections.abc import Sequence

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.demand import SegmentHint
from oleanderdyke.links.messages import SegmentEvents, SegmentListRequest


class Directory:
    """Map segments to agents from numbered events.

    A message with `full` holds the effect of every event before its `first`.
    """

    def on_events(
        self, agent: str, events: SegmentEvents, now: Millis
    ) -> SegmentListRequest | None:
        """Apply events; return a request where some are missing."""
        raise NotImplementedError

    def forget(self, agent: str) -> None:
        """Drop everything known about an agent."""
        raise NotImplementedError

    def holders(self, segment: SegmentHint) -> tuple[str, ...]:
        """Return the agents that hold a segment."""
        raise NotImplementedError

    def count_leading(
        self, agent: str, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the segments from `start` on that an agent holds in a row."""
        raise NotImplementedError

    def sweep(self) -> None:
        """Free a share of what gone agents left behind; call it regularly."""
        raise NotImplementedError

    def __len__(self) -> int:
        """Count the distinct segments."""
        raise NotImplementedError
