"""Ask neighbours for what they read."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING, Protocol, TypeAlias

import anyio

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.kernel.context_stores import ContextEvent, ContextEvents
from oleanderdyke.kernel.load_table import TimedLoad
from oleanderdyke.kernel.neighbours import RECORD_SOURCE, Neighbour, Neighbours
from oleanderdyke.links.messages import Message
from oleanderdyke.links.messages.news import (
    ContextAnswer,
    ContextRequest,
    LoadNews,
    NewsAnswer,
    NewsOutcome,
    NewsRequest,
    StoreNews,
    StorePosition,
)
from oleanderdyke.links.news_server import decode_loads

if TYPE_CHECKING:
    from oleanderdyke.links.link import Link

# An answer takes some milliseconds beyond the wait that was asked for. Who has
# none by then reads for itself: a frozen neighbour must not make news old.
_PATIENCE: Millis = 300.0
# Without a link to it for so long, a neighbour is passed over.
_DIAL_LIMIT: Millis = 500.0

_Answer: TypeAlias = NewsAnswer | ContextAnswer


@dataclass(frozen=True, slots=True)
class SharedRecords:
    """Hold records that a neighbour read.

    `waited` after they were asked for no others followed them; it is negative
    where that was known only before. Their offsets hold for `era`.
    """

    records: tuple[bytes, ...]
    waited: Millis
    is_complete: bool
    era: int | None = None


@dataclass(frozen=True, slots=True)
class SharedEvents:
    """Hold what a neighbour read of a store.

    `asked_at` is when it did, at the latest, and `clock_from` when the clock
    in it was read, at the earliest; both on the clock of this process.
    """

    store: str
    found: ContextEvents
    asked_at: Millis
    clock_from: Millis


@dataclass(frozen=True, slots=True)
class SharedContexts:
    """Hold what a neighbour told of stores of context, and of loads."""

    stores: list[SharedEvents]
    loads: list[TimedLoad]


class NeighbourLinks(Protocol):
    """Keep a link to each of some neighbours."""

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the wanted set, from name to `host:port`."""

    def find(self, name: str) -> Link | None:
        """Return the open link to a neighbour."""


class HealthRecorder(Protocol):
    """Learn whether neighbours that are asked answer."""

    def record_failure(self, detail: str) -> None:
        """Learn that one gave no news."""

    def record_success(self) -> None:
        """Learn that one did."""


class NewsClient:
    """Ask those neighbours that read a source; bound how long that takes."""

    def __init__(
        self,
        neighbours: Neighbours,
        clock: Clock,
        sources: Iterable[str],
        health: HealthRecorder,
    ) -> None:
        self.neighbours = neighbours
        self._health = health
        self._clock = clock
        self._sources = tuple(sources)
        self._numbers = count()
        self._pool: NeighbourLinks | None = None
        self._asked: dict[int, asyncio.Future[_Answer]] = {}
        self._owners: dict[int, str] = {}
        self._wanted: dict[str, Millis] = {}

    def set_pool(self, pool: NeighbourLinks) -> None:
        """Ask over these links from now on."""
        self._pool = pool

    def update_links(self) -> None:
        """Keep links to just those neighbours that are to be asked."""
        if self._pool is None:
            return
        now = self._clock.now()
        found = [
            self.neighbours.find_reader(source, now) for source in self._sources
        ]
        wanted = {each.name: each.address for each in found if each}
        self._wanted = {name: self._wanted.get(name, now) for name in wanted}
        self._pool.set_addresses(wanted)
        self._note_unreached(now)

    def _note_unreached(self, now: Millis) -> None:
        """Pass over neighbours that no link can be had to."""
        for name, since in tuple(self._wanted.items()):
            if self._find_link(name) is None and now - since > _DIAL_LIMIT:
                self._pass_over(name, 'no link')
                del self._wanted[name]

    async def handle_answer(self, _: Link, message: Message) -> None:
        """Take an answer; one that nobody waits for any more is dropped."""
        if not isinstance(message, NewsAnswer | ContextAnswer):
            return
        asked = self._asked.get(message.number)
        if asked is not None and not asked.done():
            asked.set_result(message)

    async def on_link_down(self, link: Link) -> None:
        """End what was asked over a link that has closed."""
        for number, owner in tuple(self._owners.items()):
            if owner == link.peer.process:
                self._asked[number].cancel()

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
        """Return what a neighbour read, None to read for oneself."""
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
        is_other = era is not None and answer.era != era
        if is_other or answer.outcome is NewsOutcome.DROPPED:
            return None
        if answer.outcome is NewsOutcome.UNREAD:
            self._pass_over(reader.name, f'does not read {topic}')
            return None
        if answer.age >= limit:
            self._pass_over(reader.name, f'{topic} is {answer.age:.0f} ms old')
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
        """Return what a neighbour read, None to read for oneself."""
        reader = self.neighbours.find_reader(source, self._clock.now())
        if reader is None:
            return None
        request = ContextRequest(
            next(self._numbers), positions, wait, limit, loads
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
        self._asked[number] = answer
        self._owners[number] = link.peer.process
        try:
            with anyio.fail_after((wait + _PATIENCE) / SECOND):
                await link.send(request)
                found = await _wait_for(answer)
        except (TimeoutError, OleanderError):
            found = None
        finally:
            del self._asked[number], self._owners[number]
        if found is not None:
            self.neighbours.record_success(reader.name, self._clock.now())
        elif reader.name in self._wanted:
            self._pass_over(reader.name, 'no answer')
        # Else its link was closed here, for another that reads in its place.
        return found

    def _pass_over(self, name: str, reason: str) -> None:
        self.neighbours.record_failure(name, self._clock.now())
        self._health.record_failure(f'{name}: {reason}')

    def _find_link(self, name: str) -> Link | None:
        return None if self._pool is None else self._pool.find(name)


async def _wait_for(answer: asyncio.Future[_Answer]) -> _Answer | None:
    """Return an answer, None where its link was closed first."""
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
