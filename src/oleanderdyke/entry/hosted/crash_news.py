"""Share what is known of crashes through the store.

Links tell other entries sooner, but some have none, and those that start have
none yet.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import TYPE_CHECKING

import anyio

from oleanderdyke.clients.keep_alive import closing
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.poison import PoisonNews
from oleanderdyke.links.codec import decode, encode
from oleanderdyke.links.messages.news import PoisonReport
from oleanderdyke.links.poison_exchange import (
    decode_news,
    encode_news,
    split_news,
)
from oleanderdyke.platform.store import StoreClient, StoreUnavailable
from oleanderdyke.platform.topics import CrashFeed

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.core import HostedCore

_BATCH_PERIOD: Millis = 100.0
_RETRY_PERIOD: Millis = 1 * SECOND
# Parts of news that are kept while the store takes none.
_MOST_UNWRITTEN = 64
# Requests that one log line names.
_MOST_NAMES = 4
# An entry without links learns of a quarantine within this, once servers have
# broken connections to it.
_PERIOD: Millis = 1.5 * SECOND
# Short enough to learn of lost runs before equal requests come again.
_IDLE_PERIOD: Millis = 2.5 * SECOND
_LONG_PERIOD: Millis = 10 * SECOND
# News is expected for so long after that.
_ALERT_TIME: Millis = 30 * SECOND


class CrashNews:
    """Append this entry's news to the store, and read those of all."""

    def __init__(self, core: HostedCore, feed: CrashFeed) -> None:
        self._core = core
        self._table = core.peers.poison
        self._feed = feed
        self._client = StoreClient(core.settings.store)
        self._writer = CrashFeed(self._client)
        # News that the store has not taken yet, without the oldest ones.
        self._unwritten: collections.deque[PoisonNews] = collections.deque(
            maxlen=_MOST_UNWRITTEN
        )

    def apply(self, messages: Iterable[bytes]) -> None:
        """Apply messages of the store."""
        for message in messages:
            self._apply(message)

    async def run(self) -> None:
        """Share news until cancelled."""
        async with closing(self._client), anyio.create_task_group() as tasks:
            tasks.start_soon(self._write)
            tasks.start_soon(self._read)

    async def _write(self) -> None:
        store = self._core.make_store_dependency('crashes')
        while True:
            if not self._unwritten:
                await self._core.crashes.news_wanted.wait()
            await anyio.sleep(_BATCH_PERIOD / SECOND)
            self._unwritten.extend(split_news(self._take_news()))
            try:
                await self._write_all()
            except StoreUnavailable as error:
                store.record_failure(error.message)
                await anyio.sleep(_RETRY_PERIOD / SECOND)
            else:
                store.record_success()

    async def _write_all(self) -> None:
        """Append what is left; raise StoreUnavailable at the first failure."""
        while self._unwritten:
            news = self._unwritten[0]
            # Others go first the next time if this fails.
            self._unwritten.rotate(-1)
            await self._writer.append(self._encode(news))
            self._unwritten.pop()
            self._log_stored(news)

    def _log_stored(self, news: PoisonNews) -> None:
        names = [each.name for each in news.lost_runs]
        if names:
            self._core.log.write(
                EventName.SUSPECTS_STORED,
                count=len(names),
                digest=' '.join(names[:_MOST_NAMES]),
            )

    def _take_news(self) -> PoisonNews:
        """Return what links don't tell to all that need it."""
        core = self._core
        core.crashes.news_wanted = anyio.Event()
        verdicts = self._table.take_verdicts()
        lost_runs = self._table.lost_runs.take_verdicts()
        if core.peers.has_links:
            return PoisonNews(quarantined=verdicts, lost_runs=lost_runs)
        return self._table.take_pending()

    def _encode(self, news: PoisonNews) -> bytes:
        clock = self._core.clock
        return encode(encode_news(news, clock.now(), clock.wall()))

    async def _read(self) -> None:
        store = self._core.make_store_dependency('crashes')
        while True:
            try:
                messages = await self._feed.read()
            except StoreUnavailable as error:
                store.record_failure(error.message)
            else:
                store.record_success()
                self.apply(messages)
                if self._feed.was_restored:
                    self._write_again()
            await self._pause()

    def _write_again(self) -> None:
        """Write what must outlast all entries to a store that may lack it."""
        known = self._table.list_known()
        news = PoisonNews(
            quarantined=known.quarantined, lost_runs=known.lost_runs
        )
        self._unwritten.extend(split_news(news))
        self._core.crashes.news_wanted.set()

    async def _pause(self) -> None:
        """Wait until the next read."""
        core = self._core
        await anyio.sleep(_PERIOD / SECOND)
        if not core.peers.has_links and core.crashes.is_alert(_ALERT_TIME):
            return
        period = _IDLE_PERIOD if self._is_needed() else _LONG_PERIOD
        with anyio.move_on_after((period - _PERIOD) / SECOND):
            await core.crashes.wait_alert()
            # Links tell what others know.
            if core.peers.has_links:
                await anyio.sleep_forever()

    def _is_needed(self) -> bool:
        """Return whether other entries have only the store to tell this one."""
        core = self._core
        return not core.peers.has_links and len(core.entries.list_known()) > 1

    def _apply(self, message: bytes) -> None:
        core = self._core
        try:
            report = decode(message)
        except OleanderError as error:
            core.log.write(
                EventName.RECORD_REFUSED, name='crashes', detail=error.message
            )
            return
        if isinstance(report, PoisonReport):
            delay = core.clock.wall() - report.written_at
            news = decode_news(report, core.clock.now(), delay)
            core.crashes.apply(news)
