"""Apply the configuration from the log and peers; forward it to agents."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Iterator

import anyio

from oleanderdyke.clients.log import LogClient, LogPage, LogUnavailable
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.core import Core
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.catalog import START_OFFSET
from oleanderdyke.links.link import Link
from oleanderdyke.links.messages import (
    ConfigurationDifference,
    ConfigurationRequest,
)
from oleanderdyke.metrics import Gauge

_PUSH_INTERVAL: Millis = 2 * SECOND
_SNAPSHOT_INTERVAL: Millis = 10 * SECOND
_SNAPSHOT_CHECK: Millis = 5 * SECOND
_CHUNKS_PER_APPEND = 16
_CONCURRENT_SNAPSHOTS = 4


class ConfigurationFeed:
    """Feed the configuration reader and push its state to peers."""

    def __init__(self, core: Core, client: LogClient) -> None:
        self._core = core
        self._client = client
        self._pushed: dict[str, tuple[int, Millis]] = {}
        self._links: dict[str, Link] = {}
        self._snapshots_sent: dict[Link, Millis] = {}
        self._snapshot_slots = anyio.Semaphore(_CONCURRENT_SNAPSHOTS)

    def apply_page(self, page: LogPage) -> None:
        """Apply a page of the configuration log."""
        if self._core.reader.on_page(page, self._core.clock.now()):
            self._announce_offset('log')

    def add_link(self, link: Link) -> None:
        """Register a link and compare offsets with its peer."""
        self._links[link.peer.process] = link
        self._pushed.pop(link.peer.process, None)
        self.handle_peer_offset(link, link.peer.offset)

    def drop_link(self, link: Link) -> None:
        """Remove a closed link and the state of its peer."""
        process = link.peer.process
        self._snapshots_sent.pop(link, None)
        if self._links.get(process) is link:
            del self._links[process]
            self._pushed.pop(process, None)
            self._core.reader.on_peer_disconnected(process)

    def handle_peer_offset(self, link: Link, offset: int) -> None:
        """Request what this entry lacks, or push what the peer lacks."""
        process = link.peer.process
        core = self._core
        request = core.reader.on_peer_offset(process, offset, core.clock.now())
        if request is not None:
            core.log.write(EventName.CONFIGURATION_BEHIND, peer=process)
            core.spawn(_send_all, link, (request,))
        elif offset < core.reader.offset:
            self._push(link, offset)

    def answer(self, link: Link, request: ConfigurationRequest) -> None:
        """Send the requested difference, or a snapshot if it is too old.

        At most one snapshot is sent to a peer at a time.
        """
        if self._core.catalog.difference(request.after) is not None:
            messages = tuple(self._core.reader.answer(request))
            self._core.spawn(_send_all, link, messages)
        elif self._has_recent_snapshot(link):
            empty = ConfigurationDifference(request.after, START_OFFSET)
            self._core.spawn(_send_all, link, (empty,))
        else:
            self._snapshots_sent[link] = math.inf
            self._core.spawn(self._send_snapshot, link, request)

    def apply_difference(
        self, link: Link, message: ConfigurationDifference
    ) -> None:
        """Apply a difference that a peer has sent."""
        process, now = link.peer.process, self._core.clock.now()
        if self._core.reader.on_difference(process, message, now):
            self._announce_offset(process)

    async def append_snapshots(self) -> None:
        """Append a snapshot to the log whenever one is due, until cancelled."""
        while True:
            await anyio.sleep(_SNAPSHOT_CHECK / SECOND)
            if self._core.reader.is_snapshot_due(self._core.clock.wall()):
                await self.append_snapshot()

    async def append_snapshot(self) -> None:
        """Append the current configuration to the log in chunks."""
        core, offset = self._core, self._core.reader.offset
        chunks = core.catalog.iterate_snapshot()
        count = 0
        try:
            while batch := await _take_chunks(chunks, _CHUNKS_PER_APPEND):
                await self._client.append(
                    core.settings.log.configuration,
                    batch,
                    timeout=core.settings.log.timeout,
                )
                count += len(batch)
        except LogUnavailable as error:
            core.log.write(EventName.LOG_DOWN, detail=error.message)
        else:
            core.log.write(
                EventName.SNAPSHOT_APPENDED, offset=offset, records=count
            )

    async def _send_snapshot(
        self, link: Link, request: ConfigurationRequest
    ) -> None:
        """Send a snapshot, encoded while sending; limit concurrent ones."""
        try:
            async with self._snapshot_slots:
                view = self._core.fleet.find_view(link.peer.process)
                known_offset = START_OFFSET if view is None else view.offset
                # Another entry may have updated the peer while this one waited.
                asked = ConfigurationRequest(max(request.after, known_offset))
                await _send_all(link, self._core.reader.answer(asked))
        finally:
            self._snapshots_sent[link] = self._core.clock.now()
            if link.closed:
                del self._snapshots_sent[link]

    def _has_recent_snapshot(self, link: Link) -> bool:
        """Return whether a snapshot is being or was recently sent."""
        sent_at = self._snapshots_sent.get(link, -math.inf)
        return self._core.clock.now() - sent_at < _SNAPSHOT_INTERVAL

    def _push(self, link: Link, offset: int) -> None:
        core, process = self._core, link.peer.process
        pushed, sent_at = self._pushed.get(process, (-1, 0.0))
        now = core.clock.now()
        if pushed >= core.reader.offset and now - sent_at < _PUSH_INTERVAL:
            return
        # A peer that is behind the oldest kept record requests a snapshot.
        if core.catalog.difference(offset) is None:
            return
        self._pushed[process] = core.reader.offset, now
        self.answer(link, ConfigurationRequest(offset))

    def _announce_offset(self, source: str) -> None:
        core = self._core
        offset = core.reader.offset
        core.metrics.set_gauge(Gauge.CONFIGURATION_OFFSET, offset)
        core.log.write(
            EventName.CONFIGURATION_APPLIED, offset=offset, peer=source
        )
        for process, link in tuple(self._links.items()):
            view = core.fleet.find_view(process)
            if view is not None and view.offset < offset:
                self._push(link, view.offset)


async def _send_all(
    link: Link,
    messages: Iterable[ConfigurationDifference | ConfigurationRequest],
) -> None:
    try:
        for message in messages:
            await link.send(message)
            # Encoding takes long and a send may not block: yield to the loop.
            await anyio.sleep(0)
    except OleanderError:
        return


async def _take_chunks(
    chunks: Iterator[bytes], count: int
) -> tuple[bytes, ...]:
    """Return the next chunks; yield to the event loop after each."""
    batch: list[bytes] = []
    for chunk in itertools.islice(chunks, count):
        batch.append(chunk)
        await anyio.sleep(0)
    return tuple(batch)
