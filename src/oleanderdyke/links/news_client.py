"""Client side of news: request from neighbours what they read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING, Protocol, TypeAlias

import anyio

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.kernel.context_stores import ContextEvent, ContextEvents
from oleanderdyke.kernel.neighbours import RECORD_SOURCE, Neighbour, Neighbours
from oleanderdyke.kernel.scheduling.load_table import TimedLoad
from oleanderdyke.links.messages import Message
from oleanderdyke.links.messages.news import (
    ContextAnswer,
    ContextRequest,
    LoadNews,
    NewsAnswer,
    NewsOutcome,
    NewsRequest,
    PoisonReport,
    StoreNews,
    StorePosition,
    StreamNews,
    WorkNews,
)
from oleanderdyke.links.news_server import decode_loads

if TYPE_CHECKING:
    from oleanderdyke.links.link import Link

# An answer takes a few milliseconds beyond the requested wait. After this
# extra time the process reads for itself, so that a frozen neighbour does not
# make its data stale.
_ANSWER_MARGIN: Millis = 300.0
# A neighbour without a link for longer than this is recorded as failed, so
# that another one is asked.
_DIAL_LIMIT: Millis = 500.0

_Answer: TypeAlias = NewsAnswer | ContextAnswer


@dataclass(frozen=True, slots=True)
class SharedRecords:
    """Records that a neighbour read.

    They were the newest ones `waited` ms after the request; negative if that is
    known only for a moment before it. Their offsets belong to `era`.
    """

    records: tuple[bytes, ...]
    waited: Millis
    is_complete: bool
    era: int | None = None


@dataclass(frozen=True, slots=True)
class SharedEvents:
    """Events that a neighbour read from a context store.

    `asked_at` is the latest time at which it can have sent its request to the
    store, `clock_from` the earliest time at which the clock in `found` can have
    been read; both are on the clock of this process.
    """

    store: str
    found: ContextEvents
    asked_at: Millis
    clock_from: Millis


@dataclass(frozen=True, slots=True)
class SharedContexts:
    """What a neighbour sent about context stores and loads."""

    stores: list[SharedEvents]
    loads: list[TimedLoad]


class NeighbourLinks(Protocol):
    """Links to a changeable set of neighbours."""

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the neighbours to connect to, from name to `host:port`."""

    def find(self, name: str) -> Link | None:
        """Return the open link to a neighbour, or None."""


class HealthRecorder(Protocol):
    """Records whether requests to neighbours succeed."""

    def record_failure(self, detail: str) -> None:
        """Record that a request failed."""

    def record_success(self) -> None:
        """Record that a request succeeded."""


class NewsClient:
    """Request data from the neighbours that read it, with a time limit."""

    def __init__(
        self,
        neighbours: Neighbours,
        clock: Clock,
        sources: Iterable[str],
        health: HealthRecorder,
    ) -> None:
        self.neighbours = neighbours
        self.on_work: Callable[[Link, WorkNews], None] | None = None
        self.on_streams: Callable[[Link, StreamNews], None] | None = None
        self.on_poison: Callable[[Link, PoisonReport], None] | None = None
        self._health = health
        self._clock = clock
        self._sources = tuple(sources)
        self._numbers = count()
        self._pool: NeighbourLinks | None = None
        self._pending: dict[int, asyncio.Future[_Answer]] = {}
        self._peers: dict[int, str] = {}
        self._connected_since: dict[str, Millis] = {}

    def set_pool(self, pool: NeighbourLinks) -> None:
        """Set the links over which requests are sent."""
        self._pool = pool

    def update_links(self) -> None:
        """Connect to the current reader of each source and drop other links."""
        if self._pool is None:
            return
        now = self._clock.now()
        found = [
            self.neighbours.find_reader(source, now) for source in self._sources
        ]
        wanted = {each.name: each.address for each in found if each}
        self._connected_since = {
            name: self._connected_since.get(name, now) for name in wanted
        }
        self._pool.set_addresses(wanted)
        self._record_unreachable(now)

    def _record_unreachable(self, now: Millis) -> None:
        """Record a failure of neighbours without a link after the limit."""
        for name, since in tuple(self._connected_since.items()):
            if self._find_link(name) is None and now - since > _DIAL_LIMIT:
                self._record_failure(name, 'no link')
                del self._connected_since[name]

    def find_record_link(self) -> Link | None:
        """Return the link to the reader of records, None if there is none."""
        reader = self.neighbours.find_reader(RECORD_SOURCE, self._clock.now())
        return None if reader is None else self._find_link(reader.name)

    def record_silence(self, name: str) -> None:
        """Record that a neighbour sent nothing for too long."""
        self._record_failure(name, 'silent')

    async def handle_answer(self, link: Link, message: Message) -> None:
        """Complete the request of an answer; late answers are dropped."""
        if isinstance(message, WorkNews) and self.on_work:
            self.on_work(link, message)
        if isinstance(message, PoisonReport) and self.on_poison:
            self.on_poison(link, message)
        if isinstance(message, StreamNews) and self.on_streams:
            self.on_streams(link, message)
        if not isinstance(message, NewsAnswer | ContextAnswer):
            return
        pending = self._pending.get(message.number)
        if pending is not None and not pending.done():
            pending.set_result(message)

    async def on_link_down(self, link: Link) -> None:
        """Cancel the requests that were sent over a closed link."""
        for number, peer in tuple(self._peers.items()):
            if peer == link.peer.process:
                self._pending[number].cancel()

    async def ask_records(
        self,
        topic: str,
        start: int,
        *,
        era: int | None = None,
        wait: Millis,
        limit: Millis,
        is_urgent: bool = False,
    ) -> SharedRecords | None:
        """Return data that a neighbour read, or None to read it here."""
        reader = self.neighbours.find_reader(RECORD_SOURCE, self._clock.now())
        if reader is None:
            return None
        request = NewsRequest(
            next(self._numbers), topic, start, wait, limit, is_urgent, era
        )
        asked_at = self._clock.now()
        answer = await self._ask(reader, request, request.number, wait)
        if not isinstance(answer, NewsAnswer):
            return None
        is_other_era = era is not None and answer.era != era
        if is_other_era or answer.outcome is NewsOutcome.DROPPED:
            return None
        if answer.outcome is NewsOutcome.UNREAD:
            self._record_failure(reader.name, f'does not read {topic}')
            return None
        if answer.age >= limit:
            self._record_failure(
                reader.name, f'{topic} is {answer.age:.0f} ms old'
            )
            return None
        self._health.record_success()
        held = min(max(answer.held, 0.0), self._clock.now() - asked_at)
        return SharedRecords(
            answer.records,
            waited=held - max(answer.age, 0.0),
            is_complete=answer.is_complete,
            era=answer.era,
        )

    async def ask_events(
        self,
        source: str,
        positions: tuple[StorePosition, ...],
        *,
        loads: tuple[LoadNews, ...] = (),
        wait: Millis,
        limit: Millis,
    ) -> SharedContexts | None:
        """Return data that a neighbour read, or None to read it here."""
        reader = self.neighbours.find_reader(source, self._clock.now())
        if reader is None:
            return None
        request = ContextRequest(
            next(self._numbers),
            positions,
            wait,
            limit,
            loads,
            sent_at=self._clock.now(),
        )
        asked_at = self._clock.now()
        answer = await self._ask(reader, request, request.number, wait)
        if not isinstance(answer, ContextAnswer):
            return None
        held = min(max(answer.held, 0.0), self._clock.now() - asked_at)
        sent_at = asked_at + held
        return SharedContexts(
            [_decode_events(each, sent_at) for each in answer.stores],
            list(decode_loads(answer.loads, sent_at)),
        )

    async def _ask(
        self,
        reader: Neighbour,
        request: NewsRequest | ContextRequest,
        number: int,
        wait: Millis,
    ) -> _Answer | None:
        link = self._find_link(reader.name)
        if link is None:
            return None
        answer: asyncio.Future[_Answer] = asyncio.Future()
        self._pending[number] = answer
        self._peers[number] = link.peer.process
        try:
            with anyio.fail_after((wait + _ANSWER_MARGIN) / SECOND):
                await link.send(request)
                found = await _wait_for(answer)
        except (TimeoutError, OleanderError):
            found = None
        finally:
            del self._pending[number], self._peers[number]
        if found is not None:
            self.neighbours.record_success(reader.name, self._clock.now())
        elif reader.name in self._connected_since:
            self._record_failure(reader.name, 'no answer')
        # Otherwise this process closed the link, as another neighbour became
        # the reader.
        return found

    def _record_failure(self, name: str, reason: str) -> None:
        self.neighbours.record_failure(name, self._clock.now())
        self._health.record_failure(f'{name}: {reason}')

    def _find_link(self, name: str) -> Link | None:
        return None if self._pool is None else self._pool.find(name)


async def _wait_for(answer: asyncio.Future[_Answer]) -> _Answer | None:
    """Return an answer, or None if its link closed first."""
    await asyncio.wait([answer])
    return None if answer.cancelled() else answer.result()


def _decode_events(news: StoreNews, sent_at: Millis) -> SharedEvents:
    found = ContextEvents(
        boot=news.boot,
        next=news.next,
        has_gap=False,
        clock=news.clock,
        events=tuple(
            ContextEvent(
                each.is_added, each.salt, each.part, each.tokens, each.number
            )
            for each in news.events
        ),
    )
    return SharedEvents(
        store=news.store,
        found=found,
        asked_at=sent_at - max(news.age, 0.0),
        clock_from=sent_at - max(news.spread, 0.0),
    )
