"""Segments in a store: writes, reads, eviction and recovery."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from random import Random

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.link_scheduler import LinkScheduler
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.agent.settings import CacheSettings
from oleanderdyke.agent.store_reads import StoreReads
from oleanderdyke.clock import SECOND, Clock
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.demand import RetentionPolicy
from oleanderdyke.kernel.link_meter import LinkMeter
from oleanderdyke.kernel.segment_log import SegmentLog
from oleanderdyke.kernel.store_index import StoreIndex, StoreLimits
from oleanderdyke.kernel.store_meta import META_SUFFIX
from oleanderdyke.kernel.store_outcomes import (
    PartAccepted,
    WriteBegun,
    WriteFailed,
    WriteJoined,
    WritePresent,
    WriteRefusal,
    WriteSealed,
    WriteVerified,
)
from oleanderdyke.links.messages import Load
from oleanderdyke.links.messages.segments import (
    SegmentPart,
    SegmentRead,
    SegmentWanted,
    SegmentWrite,
    SegmentWritten,
)
from oleanderdyke.logs import EventLog

_META_LIMIT_BYTES = 64 * 1024
_INSUFFICIENT_STORAGE = 507
_REDIRECT = 300
_SWEEP_INTERVAL = 1 * SECOND


class StoreShell:
    """Execute the reads and writes of segments that the index allows.

    No segment is visible while the store does not respond.
    """

    def __init__(
        self,
        backend: Backend,
        *,
        settings: CacheSettings,
        make_retention_policy: Callable[[], RetentionPolicy],
        incarnation: str,
        clock: Clock,
        random: Random,
        tasks: TaskGroup,
        events: EventLog,
    ) -> None:
        self._backend = backend
        self._settings = settings
        self._make_retention_policy = make_retention_policy
        self._incarnation = incarnation
        self._clock = clock
        self._random = random
        self._tasks = tasks
        self._events = events
        self._index: StoreIndex | None = None
        self._write_buffers: dict[str, bytearray] = {}
        self._object_names: dict[str, str] = {}
        self._pending_writes: dict[str, tuple[Outbox, SegmentWrite]] = {}
        self._deleting = anyio.Lock()
        self._pending_deletions: deque[str] = deque()
        self._rebuilds = 0
        self._scheduler = LinkScheduler(clock)
        self._meter = LinkMeter(0.0)
        self._reads = StoreReads(
            backend,
            scheduler=self._scheduler,
            meter=self._meter,
            settings=settings,
            clock=clock,
            tasks=tasks,
        )
        self.segments = SegmentLog()

    async def open(self) -> None:
        """Rebuild the index from the objects in the store and publish it.

        Only segments whose data is complete become visible. Raises
        OleanderError.
        """
        space = await self._backend.get_json('/space')
        self._set_rate(float(space['link_bytes_per_second']))
        self._rebuilds += 1
        index = StoreIndex(
            StoreLimits(
                capacity_bytes=int(space['capacity']),
                writes=self._settings.writes,
            ),
            self._make_retention_policy(),
            f'{self._incarnation}-{self._rebuilds}',
            self._random,
        )
        self.segments.replace(())
        index.log = self.segments
        await self._restore_objects(index)
        self._index = index
        self._reads.set_index(index)
        await self._delete()

    def close(self) -> None:
        """Hide all segments and fail all writes after the store was lost."""
        self._index = None
        self._reads.set_index(None)
        self.segments.replace(())
        self._write_buffers.clear()
        self._object_names.clear()
        for request in tuple(self._pending_writes):
            self._send_result(
                request, sealed=False, detail=WriteRefusal.STOPPED
            )

    def measure(self) -> Load:
        """Return the load for the next heartbeat."""
        index = self._index
        return Load(
            running=self._reads.running,
            waiting=self._reads.waiting,
            slots=self._settings.readers,
            cached_bytes=0 if index is None else index.used_bytes,
            link_bytes_in_flight=self._meter.bytes_in_flight,
            link_bytes_per_second=self._meter.estimate_rate(self._clock.now()),
        )

    def read(self, outbox: Outbox, message: SegmentRead) -> None:
        """Start to serve a read."""
        self._reads.start(outbox, message)

    def stop_read(self, link: str, request: str) -> None:
        """Stop a read that its reader has cancelled."""
        self._reads.stop(link, request)

    def offer(self, outbox: Outbox, message: SegmentWrite) -> None:
        """Accept, join or refuse a write; request the data if accepted."""
        request = f'{outbox.name}/{message.request}'
        self._pending_writes[request] = (outbox, message)
        index = self._index
        if index is None:
            self._send_result(
                request, sealed=False, detail=WriteRefusal.STOPPED
            )
            return
        now = self._clock.now()
        match index.begin(replace(message, request=request), now):
            case WriteBegun(object_name=name):
                self._write_buffers[request] = bytearray()
                self._object_names[request] = name
                self._tasks.start_soon(self._request_data, request, message)
            case WriteJoined():
                return
            case WritePresent():
                self._send_result(request, sealed=True, detail='present')
            case WriteFailed(reason=reason):
                self._send_result(request, sealed=False, detail=reason)

    def add_part(self, link: str, part: SegmentPart) -> None:
        """Add a part of a segment whose data was requested; ignore others."""
        request = f'{link}/{part.request}'
        index = self._index
        data = self._write_buffers.get(request)
        if index is None or data is None:
            return
        local_part = replace(part, request=request)
        match index.add_part(local_part, self._clock.now()):
            case PartAccepted():
                data += part.data
            case WriteVerified() as verified:
                data += part.data
                self._tasks.start_soon(
                    self._store, index, request, part.segment, verified
                )
            case WriteFailed() as failed:
                self._finish(failed)

    def drop_link(self, link: str) -> None:
        """Abort the reads and writes of a closed link."""
        self._reads.drop_link(link)
        prefix = f'{link}/'
        lost = [
            each for each in self._pending_writes if each.startswith(prefix)
        ]
        for request in lost:
            _, message = self._pending_writes.pop(request)
            if self._index is not None and request in self._write_buffers:
                self._finish(
                    self._index.abort(
                        request, message.segment, WriteRefusal.STOPPED
                    )
                )

    async def run(self) -> None:
        """Expire writes and delete evicted objects until cancelled."""
        while True:
            await anyio.sleep(_SWEEP_INTERVAL / SECOND)
            await self._sweep()

    async def _sweep(self) -> None:
        index = self._index
        if index is None:
            return
        for failed in index.expire(self._clock.now()):
            self._finish(failed)
        try:
            space = await self._backend.get_json('/space')
            self._set_rate(float(space['link_bytes_per_second']))
            await self._delete()
        except OleanderError:
            # The health probe detects a store that does not respond.
            return

    def _set_rate(self, rate: float) -> None:
        if rate == self._scheduler.rate:
            return
        self._scheduler.rate = rate
        self._meter = LinkMeter(rate)
        self._reads.set_meter(self._meter)

    async def _restore_objects(self, index: StoreIndex) -> None:
        sizes = await self._backend.get_json('/objects')
        metas = [name for name in sizes if name.endswith(META_SUFFIX)]
        for name in metas:
            meta = await self._backend.get_bytes(
                f'/objects/{name}', _META_LIMIT_BYTES
            )
            stored = sizes.get(name.removesuffix(META_SUFFIX))
            index.restore(name, meta, stored, self._clock.now())
        orphans = [
            name
            for name in sizes
            if not name.endswith(META_SUFFIX)
            and name + META_SUFFIX not in sizes
        ]
        self._pending_deletions = deque(orphans)

    async def _request_data(self, request: str, message: SegmentWrite) -> None:
        await self._scheduler.wait_write(message.length)
        waiting = self._pending_writes.get(request)
        if waiting is None or request not in self._write_buffers:
            return
        waiting[0].put(SegmentWanted(message.request, message.segment))

    async def _store(
        self,
        index: StoreIndex,
        request: str,
        segment: bytes,
        verified: WriteVerified,
    ) -> None:
        data = bytes(self._write_buffers.pop(request, b''))
        name = self._object_names.pop(request, '')
        refusal = await self._put(name, data, verified)
        if index is not self._index:
            return
        if refusal is not None:
            self._finish(index.abort(request, segment, refusal))
            return
        outcome = index.seal(request, segment, self._clock.now())
        self._finish(outcome)
        if isinstance(outcome, WriteFailed):
            # A deletion that the index queued may have been executed before the
            # objects were written, so delete them again.
            self._pending_deletions += [verified.meta_name, name]

    async def _put(
        self, name: str, data: bytes, verified: WriteVerified
    ) -> WriteRefusal | None:
        try:
            await self._delete()
            refusal = await self._put_object(name, data)
            if refusal is not None:
                return refusal
            return await self._put_object(verified.meta_name, verified.meta)
        except OleanderError:
            return WriteRefusal.STORE_FAILED

    async def _put_object(self, name: str, data: bytes) -> WriteRefusal | None:
        status, _ = await self._backend.call(
            'PUT',
            f'/objects/{name}',
            body=data,
            timeout=self._settings.fetch_timeout,
        )
        if status == _INSUFFICIENT_STORAGE:
            return WriteRefusal.STORE_FULL
        return None if status < _REDIRECT else WriteRefusal.STORE_FAILED

    async def _delete(self) -> None:
        index = self._index
        if index is None:
            return
        self._pending_deletions += index.drain_deletions()
        async with self._deleting:
            while self._pending_deletions:
                await self._backend.call(
                    'DELETE', f'/objects/{self._pending_deletions[0]}'
                )
                self._pending_deletions.popleft()

    def _finish(self, outcome: WriteSealed | WriteFailed) -> None:
        sealed = isinstance(outcome, WriteSealed)
        detail = '' if isinstance(outcome, WriteSealed) else outcome.reason
        for request in outcome.requests:
            self._write_buffers.pop(request, None)
            self._object_names.pop(request, None)
            self._send_result(request, sealed=sealed, detail=detail)

    def _send_result(self, request: str, *, sealed: bool, detail: str) -> None:
        waiting = self._pending_writes.pop(request, None)
        if waiting is None:
            return
        outbox, message = waiting
        outbox.put(
            SegmentWritten(message.request, message.segment, sealed, detail)
        )
        self._events.write(
            EventName.SEGMENTS_KEPT,
            length=message.length if sealed else 0,
            reason=detail or None,
        )
