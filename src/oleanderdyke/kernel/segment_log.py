"""Number the changes of a set of cached segments."""

from __future__ import annotations

from collections.abc import Iterable

from oleanderdyke.kernel.demand import SegmentHint
from oleanderdyke.links.messages import SegmentEvents


class SegmentLog:
    """Hold a set of hints, its unsent changes and its recent changes.

    Events count from 0. A message with `full` carries the whole set, and its
    `first` is the number of the next event.
    """

    def __init__(self, *, keep: int = 4_096) -> None:
        self._keep = keep

    def add(self, segment: SegmentHint) -> None:
        """Note that a segment is there."""
        raise NotImplementedError

    def remove(self, segment: SegmentHint) -> None:
        """Note that a segment is gone."""
        raise NotImplementedError

    def replace(self, segments: Iterable[SegmentHint]) -> None:
        """Become another set, by the fewest events."""
        raise NotImplementedError

    def take(self) -> SegmentEvents | None:
        """Return the events since the last call, or None."""
        raise NotImplementedError

    def list_all(self) -> SegmentEvents:
        """Return the whole set as it was last taken."""
        raise NotImplementedError

    def list_after(self, number: int) -> SegmentEvents:
        """Return the events from a number on, or the whole set."""
        raise NotImplementedError
