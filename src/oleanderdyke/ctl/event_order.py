"""Merge the events of many processes into one order that respects cause."""

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
# Each line of ours begins with its time; collectors put theirs before it.
_LINE_START = ' at='
_MessageKey: TypeAlias = tuple[EventName, str, str, str]

# What was sent, and the event that shows its receipt at another process.
_RECEIPTS: Mapping[EventName, EventName] = {
    EventName.DISPATCH_SENT: EventName.DISPATCH_RECEIVED,
    EventName.ANSWER_STARTED: EventName.ANSWER_RECEIVED,
    EventName.ANSWER_ENDED: EventName.REQUEST_FINISHED,
    EventName.DISPATCH_REFUSED: EventName.REQUEST_RETRIED,
}
_KNOWN = {event.value: event for event in EventName}


@dataclass(frozen=True, slots=True)
class Event:
    """Hold one logged event; `at` is its own process's wall time in ms."""

    process: str
    name: str
    at: Millis
    pairs: Mapping[str, str]

    def read(self, key: Key) -> str:
        """Return the text of a key, empty where it is absent."""
        return self.pairs.get(key.value, '')


@dataclass(frozen=True, slots=True)
class Ordered:
    """Place an event: corrected time, and the index of what caused it."""

    event: Event
    at: Millis
    cause: int | None


def read_events(lines: Iterable[str]) -> list[Event]:
    """Parse log lines; leave out lines that are no events."""
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
    """Merge logs; each source is one file in the order it was written.

    An event never comes before an earlier one of its process, nor a receipt
    before its message was sent, whatever the clocks say.
    """
    lanes = _split_lanes(sources)
    events = [event for lane in lanes for event in lane]
    causes = _pair_messages(events)
    corrections = _correct_clocks(events, causes)
    return _merge(lanes, events, causes, corrections)


def _parse_time(text: str) -> Millis:
    try:
        return float(text)
    except ValueError:
        return _NO_TIME


def _split_lanes(sources: Sequence[Sequence[Event]]) -> list[list[Event]]:
    lanes: list[list[Event]] = []
    for source in sources:
        by_process: dict[str, list[Event]] = defaultdict(list)
        for event in source:
            by_process[event.process].append(event)
        lanes.extend(by_process.values())
    return lanes


def _pair_messages(events: Sequence[Event]) -> dict[int, int]:
    """Return for each receipt the index of the event that sent it."""
    sent: dict[_MessageKey, deque[int]] = defaultdict(deque)
    for index, event in enumerate(events):
        known = _KNOWN.get(event.name)
        receipt = None if known is None else _RECEIPTS.get(known)
        if receipt is not None:
            receiver = event.read(Key.PEER)
            key = _name_message(receipt, event, receiver)
            sent[key].append(index)
    causes: dict[int, int] = {}
    for index, event in enumerate(events):
        known = _KNOWN.get(event.name)
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
    """Estimate what to add to each process's clock, from message pairs."""
    delays: dict[tuple[str, str], Millis] = {}
    for received, sent in causes.items():
        pair = (events[sent].process, events[received].process)
        delay = events[received].at - events[sent].at
        delays[pair] = min(delay, delays.get(pair, delay))
    neighbours: dict[str, set[str]] = defaultdict(set)
    for one, other in delays:
        neighbours[one].add(other)
        neighbours[other].add(one)
    corrections: dict[str, Millis] = {}
    for start in dict.fromkeys(event.process for event in events):
        _spread_correction(start, neighbours, delays, corrections)
    return corrections


def _spread_correction(
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
        one = queue.popleft()
        for other in sorted(neighbours.get(one, ())):
            if other not in corrections:
                skew = _estimate_skew(one, other, delays)
                corrections[other] = corrections[one] - skew
                queue.append(other)


def _estimate_skew(
    one: str, other: str, delays: Mapping[tuple[str, str], Millis]
) -> Millis:
    """Return how far the other's clock is ahead, from the least delays."""
    there = delays.get((one, other))
    back = delays.get((other, one))
    if there is not None and back is not None:
        return (there - back) / 2
    if there is not None:
        return min(there, 0.0)
    return -min(back or 0.0, 0.0)


def _merge(
    lanes: Sequence[Sequence[Event]],
    events: Sequence[Event],
    causes: Mapping[int, int],
    corrections: Mapping[str, Millis],
) -> list[Ordered]:
    followers: dict[int, list[int]] = defaultdict(list)
    waits = [0] * len(events)
    position = 0
    for lane in lanes:
        for index in range(position + 1, position + len(lane)):
            followers[index - 1].append(index)
            waits[index] += 1
        position += len(lane)
    for received, sent in causes.items():
        followers[sent].append(received)
        waits[received] += 1
    times = [event.at + corrections[event.process] for event in events]
    ready = [
        (times[index], index) for index, count in enumerate(waits) if not count
    ]
    heapq.heapify(ready)
    return _drain_ready(ready, events, causes, followers, waits, times)


def _drain_ready(
    ready: list[tuple[Millis, int]],
    events: Sequence[Event],
    causes: Mapping[int, int],
    followers: Mapping[int, list[int]],
    waits: list[int],
    times: list[Millis],
) -> list[Ordered]:
    placed: dict[int, int] = {}
    ordered: list[Ordered] = []
    while ready:
        at, index = heapq.heappop(ready)
        cause = causes.get(index)
        ordered.append(
            Ordered(events[index], at, None if cause is None else placed[cause])
        )
        placed[index] = len(ordered) - 1
        for follower in followers.get(index, ()):
            times[follower] = max(times[follower], at)
            waits[follower] -= 1
            if not waits[follower]:
                heapq.heappush(ready, (times[follower], follower))
    return ordered


def _strip_prefix(line: str) -> str:
    """Drop what a collector of logs put before a line of ours."""
    _, mark, rest = line.partition(_LINE_START)
    if not mark or line.startswith(_LINE_START.strip()):
        return line
    return mark.strip() + rest
