"""Numbered log of the changes to a set of cached segments."""

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
    """Hold a set of hints with its unsent and its recently sent changes.

    Events are numbered from 0; a message covers as many numbers as it has
    hints. A full list replaces the receiver's state. It may take several
    messages, which are numbered so that the last one ends at the current
    number; the first number may therefore be negative.
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
        """Add a segment, if it is new."""
        if self._present.add(segment):
            self._record_change(segment, present=True)

    def remove(self, segment: SegmentHint) -> None:
        """Remove a segment, if it is in the set."""
        if self._present.discard(segment):
            self._record_change(segment, present=False)

    def replace(self, segments: Iterable[SegmentHint]) -> None:
        """Replace the set, with events for the difference only."""
        wanted = set(segments)
        for old in [each for each in self._present if each not in wanted]:
            self.remove(old)
        for new in sorted(wanted):
            self.add(new)

    def drain(self) -> tuple[SegmentEvents, ...]:
        """Return the unsent events, and count them as sent."""
        events = tuple(self._unsent.items())
        self._unsent.clear()
        first = self._next
        self._recent.extend(events)
        self._next += len(events)
        return tuple(_make_messages(first, events))

    def list_all(self) -> tuple[SegmentEvents, ...]:
        """Return a full list of the set as of the last `drain`."""
        added = {each for each, present in self._unsent.items() if present}
        held = [each for each in self._present if each not in added]
        held.extend(each for each in self._unsent if each not in added)
        head, rest = held[:MESSAGE_HINTS], held[MESSAGE_HINTS:]
        first = self._next - len(rest)
        opening = SegmentEvents(first=first, added=tuple(head), full=True)
        events = tuple((each, True) for each in rest)
        return (opening, *_make_messages(first, events))

    def list_after(self, number: int) -> tuple[SegmentEvents, ...]:
        """Return the sent events from a number on, or a full list.

        The full list is returned if events were dropped since that number.
        """
        oldest = self._next - len(self._recent)
        if not oldest <= number <= self._next:
            return self.list_all()
        events = list(islice(reversed(self._recent), self._next - number))
        events.reverse()
        return tuple(_make_messages(number, events))

    def _record_change(self, segment: SegmentHint, *, present: bool) -> None:
        # A change that undoes an unsent one cancels out.
        if self._unsent.pop(segment, None) is None:
            self._unsent[segment] = present


def _make_messages(
    first: int, events: Sequence[tuple[SegmentHint, bool]]
) -> Iterator[SegmentEvents]:
    group: dict[SegmentHint, bool] = {}
    for segment, present in events:
        # A message does not keep the order of its events, so each segment
        # appears in it once.
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
