"""Tell other entries that this one is alive, and count them."""

from __future__ import annotations

import anyio

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.events import EventName
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.entries import EntryFeed
from oleanderdyke.platform.store import StoreClient, StoreUnavailable

# Three readings in two notices keep this at a sixth of a call a second.
_PERIOD: Millis = 10 * SECOND
_NOTICE_PERIOD: Millis = 15 * SECOND


class Presence:
    """Append notices of this entry and read those of all."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        self._feed = EntryFeed(StoreClient(core.settings.store), self._refuse)
        self._told_at: Millis | None = None

    async def run(self) -> None:
        """Work until cancelled; without the store the last count stays."""
        store = self._core.make_store_dependency('entries')
        while True:
            try:
                await self._tell()
                await self._read()
            except StoreUnavailable as error:
                store.note_failed(error.message)
            else:
                store.note_good()
            await anyio.sleep(_PERIOD / SECOND)

    def _refuse(self, name: str, error: MalformedRecord) -> None:
        self._core.log.write(
            EventName.RECORD_REFUSED, name=name, detail=error.message
        )

    async def _tell(self) -> None:
        now = self._core.clock.now()
        if self._told_at is not None and now - self._told_at < _NOTICE_PERIOD:
            return
        await self._feed.tell(self._core.settings.process)
        self._told_at = now

    async def _read(self) -> None:
        core = self._core
        told = await self._feed.read()
        if told is None:
            return
        now = core.clock.now()
        for entry in told:
            core.entries.note(entry, now)
        core.entries.note_read(now)
        core.share_budgets()
