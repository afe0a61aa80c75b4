"""Causal order of the log events of many processes."""

from __future__ import annotations

import heapq
from collections import defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.events import EventName, Key
from oleanderdyke.logs import parse_line

_NO_TIME = 0.0
# Each log line begins with its time. Log collectors may prepend their fields.
_LINE_START = ' at='
_MessageKey: TypeAlias = tuple[EventName, str, str, str]

# Maps each send event to the event of its receipt at another process.
_RECEIPTS: Mapping[EventName, EventName] = {
    EventName.DISPATCH_SENT: EventName.DISPATCH_RECEIVED,
    EventName.ANSWER_STARTED: EventName.ANSWER_RECEIVED,
    EventName.ANSWER_ENDED: EventName.REQUEST_FINISHED,
    EventName.DISPATCH_REFUSED: EventName.REQUEST_RETRIED,
}
_EVENT_NAMES = {event.value: event for event in EventName}


@dataclass(frozen=True, slots=True)
class Event:
    """Hold one logged event; `at` is its process's wall-clock time in ms."""

    process: str
    name: str
    at: Millis
    pairs: Mapping[str, str]

    def read(self, key: Key) -> str:
        """Return the value of a key, empty if it is absent."""
        return self.pairs.get(key.value, '')


@dataclass(frozen=True, slots=True)
class Ordered:
    """Hold an event, its corrected time and the index of its cause."""

    event: Event
    at: Millis
    cause: int | None


def read_events(lines: Iterable[str]) -> list[Event]:
    """Parse log lines, skipping lines that are no events."""
    events = []
    for line in lines:
        pairs = parse_line(_strip_prefix(line))
        if 'event' not in pairs or 'process' not in pairs:
            continue
        events.append(
            Event(
                process=pairs['process'],
                name=pairs['event'],
                at=_parse_time(pairs.get('at', '')),
                pairs=pairs,
            )
        )
    return events


def order_events(sources: Sequence[Sequence[Event]]) -> list[Ordered]:
    """Merge logs into one causal order; each source is one file in its order.

    Whatever the clocks say, an event never precedes an earlier one of its
    process, nor a receipt the sending of its message.
    """
    lanes = _split_by_process(sources)
    events = [event for lane in lanes for event in lane]
    causes = _pair_messages(events)
    corrections = _correct_clocks(events, causes)
    return _merge(lanes, events, causes, corrections)


def _parse_time(text: str) -> Millis:
    try:
        return float(text)
    except ValueError:
        return _NO_TIME


def _split_by_process(sources: Sequence[Sequence[Event]]) -> list[list[Event]]:
    lanes: list[list[Event]] = []
    for source in sources:
        by_process: dict[str, list[Event]] = defaultdict(list)
        for event in source:
            by_process[event.process].append(event)
        lanes.extend(by_process.values())
    return lanes


def _pair_messages(events: Sequence[Event]) -> dict[int, int]:
    """Map the index of each receipt to that of its send event."""
    sent: dict[_MessageKey, deque[int]] = defaultdict(deque)
    for index, event in enumerate(events):
        known = _EVENT_NAMES.get(event.name)
        receipt = None if known is None else _RECEIPTS.get(known)
        if receipt is not None:
            receiver = event.read(Key.PEER)
            key = _name_message(receipt, event, receiver)
            sent[key].append(index)
    causes: dict[int, int] = {}
    for index, event in enumerate(events):
        known = _EVENT_NAMES.get(event.name)
        if known is None:
            continue
        waiting = sent.get(_name_message(known, event, event.process))
        if waiting:
            causes[index] = waiting.popleft()
    return causes


def _name_message(
    receipt: EventName, event: Event, receiver: str
) -> _MessageKey:
    request = event.read(Key.REQUEST)
    return (receipt, request, event.read(Key.ATTEMPT), receiver)


def _correct_clocks(
    events: Sequence[Event], causes: Mapping[int, int]
) -> dict[str, Millis]:
    """Estimate the correction of each process's clock from message pairs."""
    delays: dict[tuple[str, str], Millis] = {}
    for received, sent in causes.items():
        pair = (events[sent].process, events[received].process)
        delay = events[received].at - events[sent].at
        delays[pair] = min(delay, delays.get(pair, delay))
    neighbours: dict[str, set[str]] = defaultdict(set)
    for sender, receiver in delays:
        neighbours[sender].add(receiver)
        neighbours[receiver].add(sender)
    corrections: dict[str, Millis] = {}
    for start in dict.fromkeys(event.process for event in events):
        _propagate_correction(start, neighbours, delays, corrections)
    return corrections


def _propagate_correction(
    start: str,
    neighbours: Mapping[str, set[str]],
    delays: Mapping[tuple[str, str], Millis],
    corrections: dict[str, Millis],
) -> None:
    if start in corrections:
        return
    corrections[start] = 0.0
    queue = deque([start])
    while queue:
        process = queue.popleft()
        for other in sorted(neighbours.get(process, ())):
            if other not in corrections:
                skew = _estimate_skew(process, other, delays)
                corrections[other] = corrections[process] - skew
                queue.append(other)


def _estimate_skew(
    process: str, other: str, delays: Mapping[tuple[str, str], Millis]
) -> Millis:
    """Return how far the other's clock is ahead, from the minimum delays."""
    forward = delays.get((process, other))
    backward = delays.get((other, process))
    if forward is not None and backward is not None:
        return (forward - backward) / 2
    if forward is not None:
        return min(forward, 0.0)
    return -min(backward or 0.0, 0.0)


def _merge(
    lanes: Sequence[Sequence[Event]],
    events: Sequence[Event],
    causes: Mapping[int, int],
    corrections: Mapping[str, Millis],
) -> list[Ordered]:
    followers: dict[int, list[int]] = defaultdict(list)
    pending = [0] * len(events)
    position = 0
    for lane in lanes:
        for index in range(position + 1, position + len(lane)):
            followers[index - 1].append(index)
            pending[index] += 1
        position += len(lane)
    for received, sent in causes.items():
        followers[sent].append(received)
        pending[received] += 1
    times = [event.at + corrections[event.process] for event in events]
    ready = [
        (times[index], index)
        for index, count in enumerate(pending)
        if not count
    ]
    heapq.heapify(ready)
    return _order_ready(ready, events, causes, followers, pending, times)


def _order_ready(
    ready: list[tuple[Millis, int]],
    events: Sequence[Event],
    causes: Mapping[int, int],
    followers: Mapping[int, list[int]],
    pending: list[int],
    times: list[Millis],
) -> list[Ordered]:
    positions: dict[int, int] = {}
    ordered: list[Ordered] = []
    while ready:
        at, index = heapq.heappop(ready)
        cause = causes.get(index)
        ordered.append(
            Ordered(
                events[index], at, None if cause is None else positions[cause]
            )
        )
        positions[index] = len(ordered) - 1
        for follower in followers.get(index, ()):
            times[follower] = max(times[follower], at)
            pending[follower] -= 1
            if not pending[follower]:
                heapq.heappush(ready, (times[follower], follower))
    return ordered


def _strip_prefix(line: str) -> str:
    """Remove the prefix that a log collector put before a line."""
    _, mark, rest = line.partition(_LINE_START)
    if not mark or line.startswith(_LINE_START.strip()):
        return line
    return mark.strip() + rest
