"""Server side of news: answer neighbours from this process's reads."""

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
from oleanderdyke.kernel.neighbours import (
    RECORD_SOURCE,
    Neighbours,
    find_context_source,
)
from oleanderdyke.kernel.read_buffers import EventBuffer, RecordBuffer
from oleanderdyke.kernel.scheduling.load_table import LoadTable, TimedLoad
from oleanderdyke.kernel.servers import ServerLoad, ServerStart
from oleanderdyke.links.messages.news import (
    ContextAnswer,
    ContextRequest,
    LoadNews,
    NewsAnswer,
    NewsOutcome,
    NewsRequest,
    PoisonReport,
    StoreEvent,
    StoreNews,
    StorePosition,
    StreamNews,
    WorkNews,
)

if TYPE_CHECKING:
    from oleanderdyke.links.link import Link

# A topic last read longer ago than the request's limit plus this margin is
# taken to be no longer read by this process.
_READ_MARGIN: Millis = 1.5 * SECOND
# Stores change dozens of times a second; the changes of this period are sent
# together.
_EVENTS_DELAY: Millis = 250.0


def _ignore_request() -> None:
    """Do nothing, as no callback for urgent requests is set."""


@dataclass
class _SentPosition:
    """The number of the last load sent over a link."""

    load_number: int = 0


def encode_loads(
    loads: Iterable[TimedLoad], now: Millis
) -> tuple[LoadNews, ...]:
    """Return messages with the ages of the loads at `now`."""
    return tuple(_encode_load(each, now) for each in loads)


def _encode_load(load: TimedLoad, now: Millis) -> LoadNews:
    rate = load.rate_limit
    is_limited = None if rate is None else math.isfinite(rate)
    return LoadNews(
        max(now - load.at, 0.0),
        load.start.server,
        load.load.running,
        load.load.waiting,
        load.load.slots,
        load.start.born,
        is_limited,
        rate if rate is not None and is_limited else 0.0,
        load.load.slowdown,
    )


def decode_loads(
    loads: Iterable[LoadNews], sent_at: Millis
) -> Iterator[TimedLoad]:
    """Yield the loads of messages sent at `sent_at` or just before."""
    for each in loads:
        yield TimedLoad(
            ServerStart(each.server, each.born),
            ServerLoad(each.running, each.waiting, each.slots, each.slowdown),
            sent_at - max(each.age, 0.0),
            _decode_rate(each),
        )


def _decode_rate(news: LoadNews) -> float | None:
    if news.is_limited is None:
        return None
    return max(news.rate_limit, 0.0) if news.is_limited else math.inf


class NewsServer:
    """Answer neighbours from what this process reads itself.

    `on_urgent_request` is called when a neighbour asks for an immediate read.
    """

    def __init__(self, neighbours: Neighbours, clock: Clock) -> None:
        self.on_urgent_request: Callable[[], None] = _ignore_request
        # `loads` also holds reports to neighbours, `local_loads` only the ones
        # to this process.
        self.loads = LoadTable()
        self.local_loads = LoadTable()
        self.on_work: Callable[[Link, WorkNews], None] | None = None
        self.on_streams: Callable[[Link, StreamNews], None] | None = None
        self.on_poison: Callable[[Link, PoisonReport], None] | None = None
        # Another entry has reported its work, also before `on_work` is set.
        self.has_work_news = False
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
        """Buffer records that this process read from a topic."""
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
        """Buffer events that this process read from a context store."""
        self._events[store].add(since, found, asked_at, self._clock.now())
        if found.events:
            self._wake()

    async def handle(self, link: Link) -> None:
        """Answer the requests of one link concurrently until it closes."""
        sent = _SentPosition()
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    message = await link.receive()
                    if isinstance(message, NewsRequest):
                        tasks.start_soon(self._answer_records, link, message)
                    elif isinstance(message, ContextRequest):
                        tasks.start_soon(
                            self._answer_events, link, message, sent
                        )
                    elif isinstance(
                        message, WorkNews | StreamNews | PoisonReport
                    ):
                        self._take_news(link, message)
            except OleanderError:
                tasks.cancel_scope.cancel()

    def _take_news(
        self, link: Link, news: WorkNews | StreamNews | PoisonReport
    ) -> None:
        if isinstance(news, PoisonReport):
            if self.on_poison is not None:
                self.on_poison(link, news)
            return
        if isinstance(news, StreamNews):
            if self.on_streams is not None:
                self.on_streams(link, news)
            return
        self.has_work_news = True
        if self.on_work is not None:
            self.on_work(link, news)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _answer_records(self, link: Link, request: NewsRequest) -> None:
        arrived = self._clock.now()
        if request.is_urgent:
            self.on_urgent_request()
        buffer = self._records.get(request.topic)
        if buffer is None or not self._is_recent(buffer.read_at, request.limit):
            self._neighbours.record_request(RECORD_SOURCE, arrived)
            answer = NewsAnswer(request.number, NewsOutcome.UNREAD)
        else:
            answer = await self._wait_records(buffer, request, arrived)
        with suppress(OleanderError):
            await link.send(answer)

    async def _wait_records(
        self, buffer: RecordBuffer, request: NewsRequest, arrived: Millis
    ) -> NewsAnswer:
        while True:
            now = self._clock.now()
            known_at = buffer.known_at
            age = request.limit if known_at is None else now - known_at
            remaining = min(arrived + request.wait - now, request.limit - age)
            if remaining <= 0 or buffer.end > request.start:
                break
            await self._wait_change(remaining)
        records = buffer.find(request.start)
        is_other_era = request.era is not None and request.era != buffer.era
        if records is None or known_at is None or is_other_era:
            return NewsAnswer(request.number, NewsOutcome.DROPPED)
        return NewsAnswer(
            request.number,
            NewsOutcome.TOLD,
            held=now - arrived,
            age=age,
            records=records,
            is_complete=request.start + len(records) >= buffer.end,
            era=buffer.era,
        )

    async def _answer_events(
        self, link: Link, request: ContextRequest, sent: _SentPosition
    ) -> None:
        arrived = self._clock.now()
        # Links load it, and none is open at a start.
        from oleanderdyke.links.dating import find_sent_time  # noqa: PLC0415 - see above

        sent_at = find_sent_time(link, request.sent_at, arrived)
        for each in decode_loads(request.loads, sent_at):
            self.loads.update(each)
        until = arrived + request.wait
        await anyio.sleep(min(_EVENTS_DELAY, request.wait) / SECOND)
        while not self._has_events(request.positions):
            if self.loads.last_number > sent.load_number:
                break
            now = self._clock.now()
            remaining = min(until - now, self._find_remaining(request, now))
            if remaining <= 0:
                break
            await self._wait_change(remaining)
        now = self._clock.now()
        stores = tuple(self._list_news(request.positions, request.limit, now))
        loads = encode_loads(self.loads.list_after(sent.load_number, now), now)
        sent.load_number = self.loads.last_number
        answer = ContextAnswer(request.number, now - arrived, stores, loads)
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

    def _find_remaining(self, request: ContextRequest, now: Millis) -> Millis:
        """Return how long the oldest read of the stores stays within the limit.

        Zero or less means that a store is already older.
        """
        asked_at = [
            self._find_events(position).requested_at
            for position in request.positions
        ]
        return min(asked_at, default=now) + request.limit - now

    def _list_news(
        self, positions: Iterable[StorePosition], limit: Millis, now: Millis
    ) -> Iterable[StoreNews]:
        for position in positions:
            source = find_context_source(position.store)
            buffer = self._find_events(position)
            found = buffer.latest
            if found is None or not self._is_recent(buffer.answered_at, limit):
                self._neighbours.record_request(source, now)
                continue
            is_same = position.boot in {None, found.boot}
            events = buffer.find(position.next if is_same else 0)
            if events is not None:
                yield _make_store_news(position, buffer, found, events, now)

    def _find_events(self, position: StorePosition) -> EventBuffer:
        """Return the events read from a store, empty if it was not read."""
        return self._events.get(position.store, EventBuffer())

    async def _wait_change(self, within: Millis) -> None:
        changed = self._changed
        with anyio.move_on_after(within / SECOND):
            await changed.wait()

    def _is_recent(self, read_at: Millis | None, limit: Millis) -> bool:
        """Return whether a read at `read_at` is recent enough to be ongoing."""
        if read_at is None:
            return False
        return self._clock.now() - read_at < limit + _READ_MARGIN


def _make_store_news(
    position: StorePosition,
    buffer: EventBuffer,
    found: ContextEvents,
    events: tuple[ContextEvent, ...],
    now: Millis,
) -> StoreNews:
    is_partial = bool(events) and events[-1].number < found.next
    return StoreNews(
        store=position.store,
        boot=found.boot,
        next=events[-1].number if is_partial else found.next,
        clock=found.clock + now - buffer.answered_at if found.clock else 0.0,
        spread=buffer.answered_at - buffer.requested_at,
        age=now - buffer.requested_at,
        events=tuple(
            StoreEvent(
                each.number, each.is_added, each.salt, each.part, each.tokens
            )
            for each in events
        ),
    )
