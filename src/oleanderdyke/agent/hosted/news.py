"""Take what the entries of the same data centre read."""

from __future__ import annotations

import secrets
from importlib import import_module
from random import Random

import anyio

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.dependencies import make_news_dependency
from oleanderdyke.events import EventName
from oleanderdyke.kernel.neighbours import RECORD_SOURCE, Neighbours
from oleanderdyke.links.messages import PROTOCOL_VERSION, Hello, Role
from oleanderdyke.links.news_client import NewsClient
from oleanderdyke.logs import EventLog
from oleanderdyke.metrics import Metrics
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.entries import EntryFeed
from oleanderdyke.platform.settings import HostSettings
from oleanderdyke.platform.sharing import TopicSharing
from oleanderdyke.platform.store import StoreClient, StoreUnavailable

# Entries tell of themselves every 20 s at most. Those that start together have
# done so soon after an agent that starts with them has read their notices.
_PERIOD: Millis = 10 * SECOND
_FIRST_PERIOD: Millis = 2 * SECOND
# What carries links takes long to load on a small share of a core.
_LOAD_AFTER: Millis = 1 * SECOND
# Who reads for others does so every ten seconds.
_ENTRIES_WAIT: Millis = 1 * SECOND
_ENTRIES_LIMIT: Millis = 20 * SECOND


class AgentNews:
    """Know the entries of the data centre, and ask those that read."""

    def __init__(
        self,
        settings: HostSettings,
        log: EventLog,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._log = log
        self._clock = clock
        self._neighbours = Neighbours('', settings.data_centre)
        self._reader = NewsClient(
            self._neighbours,
            clock,
            (RECORD_SOURCE,),
            make_news_dependency(log, metrics, clock),
        )
        sharing = self.share(wait=_ENTRIES_WAIT, limit=_ENTRIES_LIMIT)
        client = StoreClient(settings.store, sharing=sharing)
        self._entries = EntryFeed(client, self._refuse)
        self._incarnation = secrets.token_hex(8)

    def share(self, *, wait: Millis, limit: Millis) -> TopicSharing:
        """Build the sharing of one client of the store."""
        return TopicSharing(
            self._reader, None, self._clock, wait=wait, limit=limit
        )

    async def run(self, random: Random) -> None:
        """Keep links to entries that read, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_entries)
            await anyio.sleep(_LOAD_AFTER / SECOND)
            links = import_module('oleanderdyke.links.news_links')
            await links.maintain_links(
                self._reader, self._make_hello, clock=self._clock, random=random
            )

    async def _read_entries(self) -> None:
        """Read which entries are alive; without the store, later."""
        pause = _FIRST_PERIOD
        while True:
            try:
                told = await self._entries.read()
            except StoreUnavailable:
                # The agent's other reads tell that the store is out.
                told = None
            for entry in told or ():
                self._neighbours.record_alive(entry, self._clock.now())
            await anyio.sleep(pause / SECOND)
            pause = _PERIOD

    def _refuse(self, name: str, error: MalformedRecord) -> None:
        self._log.write(
            EventName.RECORD_REFUSED, name=name, detail=error.message
        )

    def _make_hello(self) -> Hello:
        return Hello(
            PROTOCOL_VERSION,
            Role.AGENT,
            self._settings.process,
            self._incarnation,
            self._settings.data_centre,
            offset=0,
        )
