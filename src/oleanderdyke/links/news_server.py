"""Pass on to neighbours what this process read."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.kernel.context_stores import ContextEvent, ContextEvents
from oleanderdyke.kernel.load_table import LoadTable, TimedLoad
from oleanderdyke.kernel.neighbours import (
    RECORD_SOURCE,
    Neighbours,
    find_context_source,
)
from oleanderdyke.kernel.read_buffers import EventBuffer, RecordBuffer
from oleanderdyke.kernel.servers import ServerLoad, ServerStart
from oleanderdyke.links.messages.news import (
    ContextAnswer,
    ContextRequest,
    LoadNews,
    NewsAnswer,
    NewsOutcome,
    NewsRequest,
    StoreEvent,
    StoreNews,
    StorePosition,
)

if TYPE_CHECKING:
    from oleanderdyke.links.link import Link

# What was read so much longer ago than it may be old is read here no more.
_READ_MARGIN: Millis = 1.5 * SECOND
# Changes of stores come in dozens a second; those of so long go out together.
_EVENTS_HOLD: Millis = 250.0


def _ignore() -> None:
    """Do nothing about an urgent request."""


@dataclass
class Told:
    """Remember up to which number loads were told over a link."""

    loads: int = 0


def encode_loads(
    loads: Iterable[TimedLoad], now: Millis
) -> tuple[LoadNews, ...]:
    """Return loads as they are passed on, with their ages."""
    return tuple(_encode_load(each, now) for each in loads)


def _encode_load(told: TimedLoad, now: Millis) -> LoadNews:
    rate = told.rate_limit
    is_limited = None if rate is None else math.isfinite(rate)
    return LoadNews(
        max(now - told.at, 0.0),
        told.start.server,
        told.load.running,
        told.load.waiting,
        told.load.slots,
        told.start.born,
        is_limited,
        rate if rate is not None and is_limited else 0.0,
    )


def decode_loads(
    loads: Iterable[LoadNews], sent_at: Millis
) -> Iterator[TimedLoad]:
    """Yield loads that were sent at a moment, or a little before."""
    for each in loads:
        yield TimedLoad(
            ServerStart(each.server, each.born),
            ServerLoad(each.running, each.waiting, each.slots),
            sent_at - max(each.age, 0.0),
            _decode_rate(each),
        )


def _decode_rate(news: LoadNews) -> float | None:
    if news.is_limited is None:
        return None
    return max(news.rate_limit, 0.0) if news.is_limited else math.inf


class NewsServer:
    """Answer neighbours from what this process reads itself.

    `note_urgent` is called where a neighbour asks for a read right now.
    """

    def __init__(self, neighbours: Neighbours, clock: Clock) -> None:
        self.on_urgent_request: Callable[[], None] = _ignore
        # What neighbours and this process were told of loads, and the latter.
        self.loads = LoadTable()
        self.local_loads = LoadTable()
        self._neighbours = neighbours
        self._clock = clock
        self._records: defaultdict[str, RecordBuffer] = defaultdict(
            RecordBuffer
        )
        self._events: defaultdict[str, EventBuffer] = defaultdict(EventBuffer)
        self._changed = anyio.Event()

    def buffer_records(
        self,
        topic: str,
        start: int,
        records: Iterable[bytes],
        known_at: Millis | None,
        *,
        era: int | None = None,
    ) -> None:
        """Keep what was read of a topic."""
        self._records[topic].add(
            start,
            tuple(records),
            known_at=known_at,
            now=self._clock.now(),
            era=era,
        )
        self._wake()

    def buffer_events(
        self, store: str, since: int, found: ContextEvents, asked_at: Millis
    ) -> None:
        """Keep what was read of a store of context."""
        self._events[store].add(since, found, asked_at, self._clock.now())
        if found.events:
            self._wake()

    async def handle(self, link: Link) -> None:
        """Answer the requests of one link, side by side, until it closes."""
        told = Told()
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    message = await link.receive()
                    if isinstance(message, NewsRequest):
                        tasks.start_soon(self._tell_records, link, message)
                    elif isinstance(message, ContextRequest):
                        tasks.start_soon(self._tell_events, link, message, told)
            except OleanderError:
                tasks.cancel_scope.cancel()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _tell_records(self, link: Link, asked: NewsRequest) -> None:
        arrived = self._clock.now()
        if asked.is_urgent:
            self.on_urgent_request()
        tail = self._records.get(asked.topic)
        if tail is None or not self._is_read(tail.read_at, asked.limit):
            self._neighbours.record_request(RECORD_SOURCE, arrived)
            answer = NewsAnswer(asked.number, NewsOutcome.UNREAD)
        else:
            answer = await self._wait_records(tail, asked, arrived)
        with suppress(OleanderError):
            await link.send(answer)

    async def _wait_records(
        self, tail: RecordBuffer, asked: NewsRequest, arrived: Millis
    ) -> NewsAnswer:
        while True:
            now = self._clock.now()
            known_at = tail.known_at
            age = asked.limit if known_at is None else now - known_at
            left = min(arrived + asked.wait - now, asked.limit - age)
            if left <= 0 or tail.end > asked.start:
                break
            await self._wait_change(left)
        records = tail.find(asked.start)
        is_other = asked.era is not None and asked.era != tail.era
        if records is None or known_at is None or is_other:
            return NewsAnswer(asked.number, NewsOutcome.DROPPED)
        return NewsAnswer(
            asked.number,
            NewsOutcome.TOLD,
            held=now - arrived,
            age=age,
            records=records,
            is_complete=asked.start + len(records) >= tail.end,
            era=tail.era,
        )

    async def _tell_events(
        self, link: Link, asked: ContextRequest, told: Told
    ) -> None:
        arrived = self._clock.now()
        for each in decode_loads(asked.loads, arrived):
            self.loads.update(each)
        until = arrived + asked.wait
        await anyio.sleep(min(_EVENTS_HOLD, asked.wait) / SECOND)
        while not self._has_events(asked.positions):
            if self.loads.last_number > told.loads:
                break
            now = self._clock.now()
            left = min(until - now, self._find_left(asked, now))
            if left <= 0:
                break
            await self._wait_change(left)
        now = self._clock.now()
        stores = tuple(self._list_news(asked.positions, asked.limit, now))
        loads = encode_loads(self.loads.list_after(told.loads, now), now)
        told.loads = self.loads.last_number
        answer = ContextAnswer(asked.number, now - arrived, stores, loads)
        with suppress(OleanderError):
            await link.send(answer)

    def _has_events(self, positions: Iterable[StorePosition]) -> bool:
        for position in positions:
            found = self._find_events(position).latest
            if found is None:
                continue
            if (found.boot, found.next) != (position.boot, position.next):
                return True
        return False

    def _find_left(self, asked: ContextRequest, now: Millis) -> Millis:
        """Return for how long what is known of all stores is young enough."""
        asked_at = [
            self._find_events(position).requested_at
            for position in asked.positions
        ]
        return min(asked_at, default=now) + asked.limit - now

    def _list_news(
        self, positions: Iterable[StorePosition], limit: Millis, now: Millis
    ) -> Iterable[StoreNews]:
        for position in positions:
            source = find_context_source(position.store)
            tail = self._find_events(position)
            found = tail.latest
            if found is None or not self._is_read(tail.answered_at, limit):
                self._neighbours.record_request(source, now)
                continue
            is_same = position.boot in {None, found.boot}
            events = tail.find(position.next if is_same else 0)
            if events is not None:
                yield _make_store_news(position, tail, found, events, now)

    def _find_events(self, position: StorePosition) -> EventBuffer:
        """Return what was read of a store, nothing where none was."""
        return self._events.get(position.store, EventBuffer())

    async def _wait_change(self, within: Millis) -> None:
        changed = self._changed
        with anyio.move_on_after(within / SECOND):
            await changed.wait()

    def _is_read(self, read_at: Millis | None, limit: Millis) -> bool:
        """Return whether this process reads what it read then."""
        if read_at is None:
            return False
        return self._clock.now() - read_at < limit + _READ_MARGIN


def _make_store_news(
    position: StorePosition,
    tail: EventBuffer,
    found: ContextEvents,
    events: tuple[ContextEvent, ...],
    now: Millis,
) -> StoreNews:
    is_cut = bool(events) and events[-1].number < found.next
    return StoreNews(
        store=position.store,
        boot=found.boot,
        next=events[-1].number if is_cut else found.next,
        clock=found.clock + now - tail.answered_at if found.clock else 0.0,
        spread=tail.answered_at - tail.requested_at,
        age=now - tail.requested_at,
        events=tuple(
            StoreEvent(
                each.number, each.is_added, each.salt, each.part, each.tokens
            )
            for each in events
        ),
    )
