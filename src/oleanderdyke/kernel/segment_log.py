"""Number the changes of a set of cached segments."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from itertools import islice

from oleanderdyke.kernel.demand import SegmentHint
from oleanderdyke.kernel.hint_set import HintSet
from oleanderdyke.links.messages.segments import SegmentEvents

MESSAGE_HINTS = 16_384
RECENT_EVENTS = 16_384


class SegmentLog:
    """Hold a set of hints, its unsent changes and its recent changes.

    Events count from 0; a message covers as many numbers as it has hints. A
    full list replaces what its receiver knew, and its further messages are
    numbered so that the last one ends at the present number; the first
    number may be negative for that.
    """

    def __init__(self, *, keep: int = RECENT_EVENTS) -> None:
        self._present = HintSet()
        self._unsent: dict[SegmentHint, bool] = {}
        self._recent: deque[tuple[SegmentHint, bool]] = deque(maxlen=keep)
        self._next = 0

    @property
    def next_number(self) -> int:
        """Return the number of the next event."""
        return self._next

    def add(self, segment: SegmentHint) -> None:
        """Note that a segment is there."""
        if self._present.add(segment):
            self._change(segment, present=True)

    def remove(self, segment: SegmentHint) -> None:
        """Note that a segment is gone."""
        if self._present.discard(segment):
            self._change(segment, present=False)

    def replace(self, segments: Iterable[SegmentHint]) -> None:
        """Become another set, by the fewest events."""
        wanted = set(segments)
        for gone in [each for each in self._present if each not in wanted]:
            self.remove(gone)
        for new in sorted(wanted):
            self.add(new)

    def drain(self) -> tuple[SegmentEvents, ...]:
        """Return the events since the last call."""
        events = tuple(self._unsent.items())
        self._unsent.clear()
        first = self._next
        self._recent.extend(events)
        self._next += len(events)
        return tuple(_make_messages(first, events))

    def list_all(self) -> tuple[SegmentEvents, ...]:
        """Return the whole set as it was last taken."""
        added = {each for each, present in self._unsent.items() if present}
        held = [each for each in self._present if each not in added]
        held.extend(each for each in self._unsent if each not in added)
        head, rest = held[:MESSAGE_HINTS], held[MESSAGE_HINTS:]
        first = self._next - len(rest)
        opening = SegmentEvents(first=first, added=tuple(head), full=True)
        events = tuple((each, True) for each in rest)
        return (opening, *_make_messages(first, events))

    def list_after(self, number: int) -> tuple[SegmentEvents, ...]:
        """Return the taken events from a number on, or the whole set."""
        oldest = self._next - len(self._recent)
        if not oldest <= number <= self._next:
            return self.list_all()
        events = list(islice(reversed(self._recent), self._next - number))
        events.reverse()
        return tuple(_make_messages(number, events))

    def _change(self, segment: SegmentHint, *, present: bool) -> None:
        # A change that undoes an unsent one leaves nothing to tell.
        if self._unsent.pop(segment, None) is None:
            self._unsent[segment] = present


def _make_messages(
    first: int, events: Sequence[tuple[SegmentHint, bool]]
) -> Iterator[SegmentEvents]:
    group: dict[SegmentHint, bool] = {}
    for segment, present in events:
        # Within one message the order is lost, so a segment comes once.
        if segment in group or len(group) == MESSAGE_HINTS:
            yield _make_message(first, group)
            first += len(group)
            group = {}
        group[segment] = present
    if group:
        yield _make_message(first, group)


def _make_message(first: int, group: dict[SegmentHint, bool]) -> SegmentEvents:
    return SegmentEvents(
        first=first,
        added=tuple(each for each, present in group.items() if present),
        removed=tuple(each for each, present in group.items() if not present),
    )
