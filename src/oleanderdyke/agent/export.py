"""Background export of complete segments from an engine to stores."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

import anyio

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.fetch import FetchActivity
from oleanderdyke.agent.peers import Inbox, StorePeer, StorePeers
from oleanderdyke.agent.settings import CacheSettings
from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.blocks import Namespace, SegmentId, digest_segment
from oleanderdyke.links.messages import FetchPlan
from oleanderdyke.links.messages.segments import (
    SegmentPart,
    SegmentWanted,
    SegmentWrite,
    SegmentWritten,
)
from oleanderdyke.logs import EventLog

# An entry may learn only this much later that a store holds a segment, and
# plans its export again until then.
_REOFFER_INTERVAL: Millis = 10 * SECOND
_MAX_REMEMBERED_OFFERS = 8_192
_GENERATION = 0


@dataclass(frozen=True, slots=True)
class _Export:
    store: str
    address: str
    namespace: Namespace
    segment: SegmentId
    depth: int


class Exporter:
    """Upload segments to stores, one at a time.

    Fetches have precedence: no export starts while one is under way.
    """

    def __init__(
        self,
        peers: StorePeers,
        backend: Backend,
        fetch_activity: FetchActivity,
        *,
        settings: CacheSettings,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._peers = peers
        self._backend = backend
        self._fetch_activity = fetch_activity
        self._settings = settings
        self._clock = clock
        self._events = events
        self._queue: deque[_Export] = deque()
        self._offered: dict[tuple[str, SegmentId], Millis] = {}
        self._queued = anyio.Event()
        self.dropped = 0

    def offer(
        self, plan: FetchPlan, namespace: Namespace, *, depth: int
    ) -> None:
        """Queue the segments of a plan that were not offered recently.

        `depth` is the index of the first of them within its prompt. Segments
        that do not fit into the queue are counted in `dropped`.
        """
        for position, segment in enumerate(plan.segments, start=depth):
            if self._was_recently_offered(plan.store, segment):
                continue
            if len(self._queue) >= self._settings.export_queue:
                self.dropped += 1
                continue
            self._record_offer(plan.store, segment)
            self._queue.append(
                _Export(plan.store, plan.address, namespace, segment, position)
            )
        self._queued.set()

    def clear(self) -> None:
        """Discard all state after the engine has lost its cache."""
        self._queue.clear()
        self._offered.clear()

    async def run(self) -> None:
        """Export queued segments until cancelled."""
        while True:
            await self._queued.wait()
            self._queued = anyio.Event()
            while self._queue:
                await self._fetch_activity.wait_idle()
                await self._export_next()

    async def _export_next(self) -> None:
        if not self._queue:
            return
        export = self._queue.popleft()
        try:
            with anyio.move_on_after(self._settings.fetch_timeout / SECOND):
                await self._export(export)
        except OleanderError as error:
            self._log(export, 0, error.kind.value)

    async def _export(self, export: _Export) -> None:
        data = await self._backend.get_bytes(
            f'/kv/{export.segment.hex()}', self._settings.segment_limit
        )
        peer = await self._peers.find(export.address)
        request = peer.make_request_id()
        async with peer.listen(request) as inbox:
            written = await self._write(peer, inbox, request, export, data)
        if written is None:
            return
        self._log(export, len(data) if written.sealed else 0, written.detail)

    async def _write(
        self,
        peer: StorePeer,
        inbox: Inbox,
        request: str,
        export: _Export,
        data: bytes,
    ) -> SegmentWritten | None:
        digest = digest_segment(data)
        await peer.send(
            SegmentWrite(
                request,
                export.namespace,
                export.segment,
                len(data),
                digest,
                depth=export.depth,
            )
        )
        async for answer in inbox:
            if isinstance(answer, SegmentWritten):
                return answer
            if isinstance(answer, SegmentWanted):
                for part in self._split_parts(request, export, data, digest):
                    await peer.send(part)
        return None

    def _split_parts(
        self, request: str, export: _Export, data: bytes, digest: bytes
    ) -> Iterator[SegmentPart]:
        size = self._settings.part_size
        for start in range(0, max(len(data), 1), size):
            yield SegmentPart(
                request,
                export.segment,
                _GENERATION,
                start,
                data[start : start + size],
                len(data),
                digest,
                last=start + size >= len(data),
            )

    def _was_recently_offered(self, store: str, segment: SegmentId) -> bool:
        at = self._offered.get((store, segment))
        return at is not None and self._clock.now() - at < _REOFFER_INTERVAL

    def _record_offer(self, store: str, segment: SegmentId) -> None:
        self._offered.pop((store, segment), None)
        self._offered[store, segment] = self._clock.now()
        if len(self._offered) > _MAX_REMEMBERED_OFFERS:
            del self._offered[next(iter(self._offered))]

    def _log(self, export: _Export, length: int, detail: str) -> None:
        self._events.write(
            EventName.SEGMENTS_KEPT,
            store=export.store,
            length=length,
            reason=detail or None,
        )
