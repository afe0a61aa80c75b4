"""Share reads of the platform's topics between neighbouring processes."""

from __future__ import annotations

from collections.abc import Callable

from oleanderdyke.clock import Clock, Millis
from oleanderdyke.links.news_client import NewsClient
from oleanderdyke.links.news_server import NewsServer
from oleanderdyke.platform.store import RecordsRead


class TopicSharing:
    """Ask a neighbour for records, and keep own reads for neighbours.

    A neighbour is asked for at most `wait`, and records older than `limit` are
    read from the store instead. An agent has no `desk`, since no process asks
    it for records.
    """

    def __init__(
        self,
        reader: NewsClient,
        desk: NewsServer | None,
        clock: Clock,
        *,
        wait: Millis,
        limit: Millis,
        is_urgent: Callable[[], bool] = bool,
    ) -> None:
        self._reader = reader
        self._desk = desk
        self._clock = clock
        self._wait = wait
        self._limit = limit
        self._is_urgent = is_urgent

    async def ask(
        self, topic: str, start: int, era: int | None
    ) -> RecordsRead | None:
        """Return records that a neighbour has read, None if there are none."""
        found = await self._reader.ask_records(
            topic,
            start,
            era=era,
            wait=self._wait,
            limit=self._limit,
            is_urgent=self._is_urgent(),
        )
        if found is None:
            return None
        end = start + len(found.records) + (not found.is_complete)
        return RecordsRead(found.records, end, found.waited, found.era)

    async def ask_other(
        self, topic: str, start: int, era: int | None
    ) -> RecordsRead | None:
        """Ask a neighbour after a failed read of this process."""
        self._reader.neighbours.record_own_failure(self._clock.now())
        return await self.ask(topic, start, era)

    def keep(
        self, topic: str, start: int, found: RecordsRead, asked_at: Millis
    ) -> None:
        """Keep records that this process has read, for its neighbours."""
        self._reader.neighbours.record_own_success(self._clock.now())
        if self._desk is None:
            return
        is_whole = start + len(found.records) >= found.end
        known_at = asked_at + found.waited if is_whole else None
        self._desk.buffer_records(
            topic, start, found.records, known_at, era=found.era
        )
