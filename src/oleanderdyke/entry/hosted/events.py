"""Split a byte stream into complete server-sent events.

The events of a streaming route have ids that increase. Bytes that fit no such
event are a fault, after which nothing of that answer is believed.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from oleanderdyke.event_streams import (
    DATA,
    EVENT,
    EVENT_LIMIT_BYTES,
    ID,
    LONGEST_END_BYTES,
    RETRY,
    EventFault,
    EventLines,
    Grammar,
    find_event_end,
    find_filler_end,
    is_within_event,
)
from oleanderdyke.logs import LogValue
from oleanderdyke.platform.requests import EVENT_VERSION_FIELD

# An incomplete event up to this size is held back until it is complete.
_HELD_BYTES = 256 * 1024
# An incomplete event up to this size is checked whenever more of it arrives.
_EARLY_BYTES = 4 * 1024
# Names no event: the ids of events are above it.
_NO_EVENT = 0
# So many events without a gap show that a service's streams have none.
_ENOUGH_STEPS = 100
_GRAMMAR = Grammar(
    text=frozenset({DATA, EVENT}),
    numeric=frozenset({ID, RETRY, EVENT_VERSION_FIELD}),
    first=EVENT_VERSION_FIELD,
    number=ID,
)
# Fields of a block that is an event, and needs an id.
_EVENT_FIELDS = _GRAMMAR.text | {EVENT_VERSION_FIELD}
_PLAIN_EVENT = re.compile(rb'id: (\d{1,18})\n(?:data:[^\r\n]*\n)+\n\Z')


@dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """The bytes of one event, and its number if it has one."""

    data: bytes
    number: int | None


@dataclass(slots=True)
class PassedEvents:
    """Count the numbered events that an attempt has passed on."""

    first: int | None = None
    last: int | None = None
    count: int = 0

    def record(self, number: int | None) -> None:
        """Add an event, or a part without a number of its own."""
        if number is None:
            return
        if self.first is None:
            self.first = number
        self.last = number
        self.count += 1

    def describe(self) -> Mapping[str, LogValue]:
        """Return the fields of a log line; none without a numbered event."""
        if self.first is None:
            return {}
        return {'events': f'{self.first}-{self.last}', 'count': self.count}


class EventSteps:
    """Know whether the numbers of a service's events step by one."""

    def __init__(self) -> None:
        self._count = 0

    @property
    def are_known(self) -> bool:
        """Return whether enough events stepped by one since the last gap."""
        return self._count >= _ENOUGH_STEPS

    def record(self, *, is_next: bool) -> None:
        """Record whether an event had the number after that before it."""
        self._count = min(self._count + 1, _ENOUGH_STEPS) if is_next else 0


class EventFramer:
    """Yield complete events as they are, and know where the data ends.

    Comment and blank lines before an event are yielded at once, as they keep
    idle connections open, and together, as each event has its cost.

    An event that exceeds the size limit is yielded in parts.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        # The beginning of the incomplete event was yielded already.
        self._is_divided = False

    @property
    def has_partial_event(self) -> bool:
        """Return whether the data ends within an event."""
        return self._is_divided or is_within_event(self._pending)

    def discard_partial(self) -> None:
        """Drop an incomplete event, which the next attempt sends again."""
        self._pending.clear()

    def take_rest(self) -> bytes:
        """Remove and return the bytes after the last complete event."""
        rest = bytes(self._pending)
        self._pending.clear()
        return rest

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Add data, and yield the events that it completes."""
        searched = len(self._pending)
        self._pending += data
        while True:
            if (end := self._find_filler_end()) > 0:
                yield self._take_filler(end)
            elif (end := find_event_end(self._pending, searched)) > 0:
                yield self._take(end)
            else:
                break
            searched = 0
        if len(self._pending) > _HELD_BYTES:
            yield from self._divide()

    def _find_filler_end(self) -> int:
        return -1 if self._is_divided else find_filler_end(self._pending)

    def _divide(self) -> Iterator[ServerSentEvent]:
        # The end of an event may begin with the last bytes.
        part = self._take(len(self._pending) - LONGEST_END_BYTES)
        self._is_divided = True
        yield part

    def _take_filler(self, end: int) -> ServerSentEvent:
        return self._take(end)

    def _take(self, end: int) -> ServerSentEvent:
        event = bytes(self._pending[:end])
        del self._pending[:end]
        self._is_divided = False
        return ServerSentEvent(event, None)


class EventSplitter(EventFramer):
    """Yield complete events whose numbers increase, beginning after `last`.

    Comments, and blocks that only set the time to reconnect, have no number.
    An event above the size limit is a fault if `is_resumable`, as half of it
    can't go on elsewhere. So is an answer that leaves out the next event, where
    those of this stream or, by `steps`, of its service step by one.
    """

    def __init__(
        self,
        last: int | None,
        *,
        is_resumable: bool = True,
        steps: EventSteps | None = None,
    ) -> None:
        super().__init__()
        self.last_number = last
        self._steps = EventSteps() if steps is None else steps
        # Whether the events of this stream step by one, once that is seen.
        self._steps_by_one: bool | None = None
        # No numbered event of this answer has come yet.
        self._begins_answer = True
        self.has_yielded = False
        self.is_resumable = is_resumable
        # Bytes of the answer before those that are incomplete or at fault.
        self.position = 0
        # The lines of an event whose beginning was yielded already.
        self._divided: EventLines | None = None

    def begin_answer(self) -> None:
        """Prepare for the events of the next answer."""
        self.discard_partial()
        self._begins_answer = True
        self.position = 0
        self._divided = None

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Add data, and yield the events that it completes.

        Raise EventFault at the first bytes that fit no event.
        """
        for event in super().feed(data):
            self.has_yielded = True
            yield event
        if not self._is_divided and len(self._pending) <= _EARLY_BYTES:
            EventLines(_GRAMMAR).feed(self._pending)

    def _take_filler(self, end: int) -> ServerSentEvent:
        return self._pass(end, None)

    def _take(self, end: int) -> ServerSentEvent:
        return self._pass(end, self._check(self._pending[:end]))

    def _pass(self, end: int, number: int | None) -> ServerSentEvent:
        event = super()._take(end)
        self.position += end
        return ServerSentEvent(event.data, number)

    def _check(self, data: bytearray) -> int | None:
        """Return the number of a complete event; raise EventFault."""
        if self._divided is not None:
            self._divided.feed(data)
            self._divided = None
            return None
        plain = _PLAIN_EVENT.match(data)
        number = _read_event(data) if plain is None else int(plain[1])
        if number is not None:
            self._advance(number)
        return number

    def _advance(self, number: int) -> None:
        last = self.last_number or _NO_EVENT
        if number <= last:
            raise EventFault(f'event {number} comes after event {last}')
        is_next = number == last + 1
        if not self._begins_answer:
            self._record_step(is_next=is_next)
        elif not is_next and self._must_step():
            reason = (
                f'event {number} comes after event {last}, without the next'
            )
            raise EventFault(reason)
        self._begins_answer = False
        self.last_number = number

    def _must_step(self) -> bool:
        """Return whether an answer has to begin at the next event."""
        if self.last_number is None or self._steps_by_one is False:
            return False
        return self._steps_by_one or self._steps.are_known

    def _record_step(self, *, is_next: bool) -> None:
        self._steps.record(is_next=is_next)
        self._steps_by_one = is_next and self._steps_by_one is not False

    def _divide(self) -> Iterator[ServerSentEvent]:
        if not self.is_resumable:
            yield self._take_part(len(self._pending) - LONGEST_END_BYTES)
        elif len(self._pending) > EVENT_LIMIT_BYTES:
            raise EventFault('an event exceeds the size limit')

    def _take_part(self, end: int) -> ServerSentEvent:
        """Check and remove a part of a long event; raise EventFault."""
        lines = self._divided or EventLines(_GRAMMAR)
        lines.feed(self._pending[:end])
        if lines.number is None:
            raise EventFault('a long event has no id at its beginning')
        if self._divided is None:
            self._advance(lines.number)
        number = lines.number if self._divided is None else None
        part = self._pass(end, number)
        self._divided = lines
        self._is_divided = True
        return part


def _read_event(data: bytes | bytearray) -> int | None:
    """Return the number of a whole event, None of a block that is none."""
    lines = EventLines(_GRAMMAR)
    lines.feed(data)
    if lines.number is None and not _EVENT_FIELDS.isdisjoint(lines.names):
        raise EventFault('an event has no id')
    return lines.number
