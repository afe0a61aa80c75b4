"""Topics of the store read through entries of the same data centre."""

from __future__ import annotations

import secrets
from importlib import import_module
from random import Random

import anyio

from oleanderdyke.clients.keep_alive import closing
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

# Entries announce themselves at least every 20 s. Those that start at the same
# time as this agent do so shortly after its first read, so the second read
# follows sooner.
_READ_INTERVAL: Millis = 10 * SECOND
_FIRST_READ_INTERVAL: Millis = 2 * SECOND
# Importing the modules for links takes long on a small share of a core, so it
# is delayed until the agent has started.
_IMPORT_DELAY: Millis = 1 * SECOND
# An entry that reads for others does so every ten seconds.
_ENTRIES_WAIT: Millis = 1 * SECOND
_ENTRIES_LIMIT: Millis = 20 * SECOND


class AgentNews:
    """Track the entries of the data centre and share their reads.

    Reads by one entry for all agents save calls of the store.
    """

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
        self._client = StoreClient(settings.store, sharing=sharing)
        self._entries = EntryFeed(self._client, self._log_refused_record)
        self._incarnation = secrets.token_hex(8)

    def share(self, *, wait: Millis, limit: Millis) -> TopicSharing:
        """Build the sharing of reads for one client of the store."""
        return TopicSharing(
            self._reader, None, self._clock, wait=wait, limit=limit
        )

    async def run(self, random: Random) -> None:
        """Keep links to the entries that share reads, until cancelled."""
        async with closing(self._client), anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_entries)
            await anyio.sleep(_IMPORT_DELAY / SECOND)
            links = import_module('oleanderdyke.links.news_links')
            await links.maintain_links(
                self._reader, self._make_hello, clock=self._clock, random=random
            )

    async def _read_entries(self) -> None:
        """Track which entries are alive, as long as the store responds."""
        pause = _FIRST_READ_INTERVAL
        while True:
            try:
                entries = await self._entries.read()
            except StoreUnavailable:
                # The other reads of the agent report a failure of the store.
                entries = None
            for entry in entries or ():
                self._neighbours.record_alive(entry, self._clock.now())
            await anyio.sleep(pause / SECOND)
            pause = _READ_INTERVAL

    def _log_refused_record(self, name: str, error: MalformedRecord) -> None:
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
