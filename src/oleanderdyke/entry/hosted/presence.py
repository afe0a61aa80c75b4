"""Announce this entry to the others, and count them."""

from __future__ import annotations

from itertools import chain, repeat

import anyio

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.events import EventName
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.entries import EntryFeed
from oleanderdyke.platform.store import StoreClient, StoreUnavailable

# Three readings in two notices keep this at a sixth of a call a second.
_PERIOD: Millis = 10 * SECOND
# After a start it reads sooner: those that start with it have told of
# themselves by the first, and may be counted from the second on.
_FIRST_PERIODS: tuple[Millis, ...] = (1.5 * SECOND, 4 * SECOND)
_NOTICE_PERIOD: Millis = 15 * SECOND
# A neighbour that reads does so every ten seconds, and answers within this.
_SHARED_WAIT: Millis = 1 * SECOND
_SHARED_LIMIT: Millis = 20 * SECOND


class Presence:
    """Append notices of this entry and read those of all."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        sharing = core.news.share(wait=_SHARED_WAIT, limit=_SHARED_LIMIT)
        client = StoreClient(core.settings.store, sharing=sharing)
        self._feed = EntryFeed(client, self._refuse)
        self._announced_at: Millis | None = None

    async def run(self) -> None:
        """Work until cancelled; without the store the last count stays."""
        store = self._core.make_store_dependency('entries')
        pauses = chain(_FIRST_PERIODS, repeat(_PERIOD))
        while True:
            try:
                await self._announce()
                await self._read()
            except StoreUnavailable as error:
                store.record_failure(error.message)
            else:
                store.record_success()
            await anyio.sleep(next(pauses) / SECOND)

    def _refuse(self, name: str, error: MalformedRecord) -> None:
        self._core.log.write(
            EventName.RECORD_REFUSED, name=name, detail=error.message
        )

    async def _announce(self) -> None:
        now = self._core.clock.now()
        if (
            self._announced_at is not None
            and now - self._announced_at < _NOTICE_PERIOD
        ):
            return
        await self._feed.announce(self._core.news.own)
        self._announced_at = now
        self._core.entries.record_announcement(now)

    async def _read(self) -> None:
        core = self._core
        told = await self._feed.read()
        if told is None:
            core.entries.mark_incomplete()
            if self._feed.was_restored:
                # The copy may lack the last announcement of this entry.
                self._announced_at = None
            return
        now = core.clock.now()
        for entry in told:
            core.entries.record_entry(entry.name, now)
            core.news.neighbours.record_alive(entry, now)
        core.entries.record_read(now)
        core.share_budgets()
