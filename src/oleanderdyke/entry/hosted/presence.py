"""Announce this entry to the other entries and count the live ones."""

from __future__ import annotations

from itertools import chain, repeat

import anyio

from oleanderdyke.clients.keep_alive import closing
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.events import EventName
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.entries import EntryFeed
from oleanderdyke.platform.store import StoreClient, StoreUnavailable
from oleanderdyke.platform.topics import StartFeed

# Three reads for every two announcements make a sixth of a call a second.
_PERIOD: Millis = 10 * SECOND
# The first reads come sooner: entries started at the same time have announced
# themselves by the first read, and may be counted from the second on.
_INITIAL_PERIODS: tuple[Millis, ...] = (1.5 * SECOND, 4 * SECOND)
_ANNOUNCE_PERIOD: Millis = 15 * SECOND
# A reading peer reads every ten seconds, and answers within this.
_SHARED_WAIT: Millis = 1 * SECOND
_SHARED_LIMIT: Millis = 20 * SECOND


class Presence:
    """Announce this entry in the store and read all announcements."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        sharing = core.peers.make_sharing(
            wait=_SHARED_WAIT, limit=_SHARED_LIMIT
        )
        self._client = StoreClient(core.settings.store, sharing=sharing)
        self._feed = EntryFeed(self._client, self._log_refused_record)
        self._announced_at: Millis | None = None

    async def run(self) -> None:
        """Run until cancelled; keep the last count while the store is down."""
        async with closing(self._client):
            await self._follow()

    async def _follow(self) -> None:
        store = self._core.make_store_dependency('entries')
        pauses = chain(_INITIAL_PERIODS, repeat(_PERIOD))
        while True:
            try:
                await self._announce()
                await self._read()
            except StoreUnavailable as error:
                store.record_failure(error.message)
            else:
                store.record_success()
            self._core.log_retry_share()
            await anyio.sleep(next(pauses) / SECOND)

    async def record_start(self) -> None:
        """Tell other starts of this one, and learn of those before it.

        It begins with a retry, unless many entries have started lately.
        """
        core = self._core
        grants = core.retries.make_start_grants()
        client = StoreClient(core.settings.store)
        feed = StartFeed(client)
        try:
            place = await feed.record(core.settings.process, core.clock.wall())
            earlier = grants.find_earlier(place)
            has_expired = earlier is None or await feed.has_expired(earlier)
            await self._find_first_process(feed, place)
        except StoreUnavailable as error:
            core.log.write(
                EventName.RECORD_REFUSED, name='starts', detail=error.message
            )
            return
        finally:
            await client.close()
        if grants.may_grant(has_expired=has_expired):
            core.retries.grant_start()
            core.log.write(EventName.START_RETRY_GRANTED, offset=place)

    async def _find_first_process(self, feed: StartFeed, place: int) -> None:
        """Record whether an earlier process of this entry may have run."""
        core = self._core
        if not core.settings.is_first_start:
            return
        earlier = await feed.list_earlier(place)
        if earlier is not None and core.settings.process not in earlier:
            core.retries.record_first_process()

    def _log_refused_record(self, name: str, error: MalformedRecord) -> None:
        self._core.log.write(
            EventName.RECORD_REFUSED, name=name, detail=error.message
        )

    async def _announce(self) -> None:
        now = self._core.clock.now()
        if (
            self._announced_at is not None
            and now - self._announced_at < _ANNOUNCE_PERIOD
        ):
            return
        await self._feed.announce(self._core.peers.own)
        self._announced_at = now
        self._core.entries.record_announcement(now)

    async def _read(self) -> None:
        core = self._core
        notices = await self._feed.read()
        if notices is None:
            core.entries.mark_incomplete()
            if self._feed.was_restored:
                # The restored topic may lack this entry's last announcement.
                self._announced_at = None
            return
        now = core.clock.now()
        for entry in notices:
            core.entries.record_entry(entry.name, now)
            core.peers.neighbours.record_alive(entry, now)
        core.entries.record_read(now)
