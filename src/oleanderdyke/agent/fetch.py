"""Fetch of cached segments from stores into the engine."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.peers import Inbox, StorePeer, StorePeers
from oleanderdyke.agent.segment_assembler import SegmentAssembler
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.blocks import Namespace, SegmentId
from oleanderdyke.kernel.fetch_pace import FetchPace
from oleanderdyke.links.link import LinkClosed
from oleanderdyke.links.messages import Cancel, FetchPlan
from oleanderdyke.links.messages.segments import (
    SegmentMissing,
    SegmentPart,
    SegmentRead,
)
from oleanderdyke.logs import EventLog

_READ_ATTEMPT = 0
_REDIRECT = 300
_ANSWER_LIMIT = 64 * 1024
# Also bounds the number of received segments that are held in memory.
_MAX_PARALLEL_IMPORTS = 4

_SegmentKey: TypeAlias = tuple[str, Namespace, SegmentId]


@dataclass(frozen=True, slots=True)
class FetchResult:
    """The result of a fetch.

    `segments` is the number of leading segments of the plan that were imported
    into the engine. `link_bytes` are the bytes that this fetch transferred,
    without those of concurrent fetches that it shared.
    """

    segments: int
    link_bytes: int


class FetchActivity(Protocol):
    """Let background work wait until no fetch is under way."""

    async def wait_idle(self) -> None:
        """Wait until no fetch is under way."""


@dataclass(slots=True)
class _PendingSegment:
    done: anyio.Event = field(default_factory=anyio.Event)
    imported: bool = False
    link_bytes: int = 0

    def complete(self, *, imported: bool) -> None:
        self.imported = imported
        self.done.set()


@dataclass(slots=True)
class _StoreRead:
    address: str
    namespace: Namespace
    pending_segments: dict[SegmentId, _PendingSegment]
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    waiters: int = 0
    aborted: bool = False

    def abort(self, pending: _PendingSegment) -> None:
        """Stop the import at a segment: those after a gap can not be used."""
        self.aborted = True
        pending.complete(imported=False)


class Fetcher:
    """Fetch segments; concurrent requests for one segment share a fetch."""

    def __init__(
        self,
        peers: StorePeers,
        backend: Backend,
        *,
        tasks: TaskGroup,
        events: EventLog,
        timeout: Millis,
        segment_limit: int,
    ) -> None:
        self._peers = peers
        self._backend = backend
        self._tasks = tasks
        self._events = events
        self._timeout = timeout
        self._segment_limit = segment_limit
        self._pending_segments: dict[
            _SegmentKey, tuple[_StoreRead, _PendingSegment]
        ] = {}
        self._active_reads = 0
        self._idle = anyio.Event()
        self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no fetch is under way."""
        await self._idle.wait()

    async def fetch(
        self,
        plan: FetchPlan,
        namespace: Namespace,
        *,
        step: Millis,
        request: str = '',
    ) -> FetchResult:
        """Import the segments of a plan in order.

        Gives up when segments arrive more slowly than one per `step`, the time
        that computing one may take. The segments imported until then are kept.
        """
        joined_segments = self._join_reads(plan, namespace)
        store_reads = {
            id(store_read): store_read for store_read, _, _ in joined_segments
        }
        for store_read in store_reads.values():
            store_read.waiters += 1
        pending_segments = [pending for _, pending, _ in joined_segments]
        try:
            count = await self._count_imported(pending_segments, step)
        finally:
            for store_read in store_reads.values():
                _release_read(store_read)
        link_bytes = sum(
            each.link_bytes for _, each, is_own in joined_segments if is_own
        )
        self._log(plan, request, count, link_bytes)
        return FetchResult(count, link_bytes)

    async def _count_imported(
        self, pending_segments: Sequence[_PendingSegment], step: Millis
    ) -> int:
        pace = FetchPace(len(pending_segments), step, self._timeout, now=_now())
        for count, pending in enumerate(pending_segments):
            deadline = pace.find_deadline(
                count, _now(), sharing=self._active_reads
            )
            with anyio.CancelScope(deadline=deadline / SECOND):
                await pending.done.wait()
            if not pending.imported:
                return count
        return len(pending_segments)

    def _join_reads(
        self, plan: FetchPlan, namespace: Namespace
    ) -> list[tuple[_StoreRead, _PendingSegment, bool]]:
        store_read = _StoreRead(plan.address, namespace, {})
        joined = []
        for segment in plan.segments:
            key = (plan.address, namespace, segment)
            found = self._pending_segments.get(key)
            if found is None:
                pending = store_read.pending_segments.setdefault(
                    segment, _PendingSegment()
                )
                self._pending_segments[key] = (store_read, pending)
                joined.append((store_read, pending, True))
                continue
            joined.append((*found, False))
        if store_read.pending_segments:
            self._mark_busy()
            self._active_reads += 1
            self._tasks.start_soon(self._run_read, store_read)
        return joined

    def _mark_busy(self) -> None:
        if self._idle.is_set():
            self._idle = anyio.Event()

    async def _run_read(self, store_read: _StoreRead) -> None:
        try:
            with store_read.scope:
                await self._exchange(store_read)
        except OleanderError as error:
            self._events.write(
                EventName.SEGMENTS_REJECTED,
                address=store_read.address,
                reason=error.kind.value,
            )
        finally:
            self._remove(store_read)

    def _remove(self, store_read: _StoreRead) -> None:
        self._active_reads -= 1
        for segment, pending in store_read.pending_segments.items():
            key = (store_read.address, store_read.namespace, segment)
            self._pending_segments.pop(key, None)
            if not pending.done.is_set():
                pending.complete(imported=False)
        if not self._pending_segments:
            self._idle.set()

    async def _exchange(self, store_read: _StoreRead) -> None:
        peer = await self._peers.find(store_read.address)
        request = peer.make_request_id()
        async with peer.listen(request) as inbox:
            segments = tuple(store_read.pending_segments)
            await peer.send(
                SegmentRead(request, store_read.namespace, segments)
            )
            try:
                is_complete = await self._receive(inbox, store_read)
            except BaseException:
                await _stop_reading(peer, request)
                raise
            if not is_complete:
                await _stop_reading(peer, request)

    async def _receive(self, inbox: Inbox, store_read: _StoreRead) -> bool:
        """Import segments while receiving the next ones.

        Returns whether all of them arrived.
        """
        slots = anyio.Semaphore(_MAX_PARALLEL_IMPORTS)
        async with anyio.create_task_group() as imports:
            for segment, pending in store_read.pending_segments.items():
                await slots.acquire()
                data = await self._receive_segment(inbox, segment, pending)
                if data is None or store_read.aborted:
                    store_read.abort(pending)
                    break
                imports.start_soon(
                    self._import_segment, store_read, segment, data, slots
                )
        if store_read.aborted:
            self._log_incomplete(store_read)
        return not store_read.aborted

    async def _receive_segment(
        self, inbox: Inbox, segment: SegmentId, pending: _PendingSegment
    ) -> bytes | None:
        assembler: SegmentAssembler | None = None
        async for answer in inbox:
            if isinstance(answer, SegmentMissing):
                return None
            if not isinstance(answer, SegmentPart):
                continue
            pending.link_bytes += len(answer.data)
            assembler = assembler or SegmentAssembler(
                answer, self._segment_limit
            )
            if answer.segment != segment or not assembler.add(answer):
                return None
            if answer.last:
                return assembler.finish()
        return None

    async def _import_segment(
        self,
        store_read: _StoreRead,
        segment: SegmentId,
        data: bytes,
        slots: anyio.Semaphore,
    ) -> None:
        pending = store_read.pending_segments[segment]
        if await self._upload(segment, data):
            pending.complete(imported=True)
        else:
            store_read.abort(pending)
        slots.release()

    async def _upload(self, segment: SegmentId, data: bytes) -> bool:
        path = f'/kv/{segment.hex()}'
        try:
            with anyio.fail_after(self._timeout / SECOND):
                async with self._backend.keep_alive.request(
                    'PUT', path, body=data, is_slow=True
                ) as answer:
                    await answer.read(_ANSWER_LIMIT)
                    return answer.status < _REDIRECT
        except (OleanderError, TimeoutError):
            return False

    def _log_incomplete(self, store_read: _StoreRead) -> None:
        self._events.write(
            EventName.SEGMENTS_REJECTED,
            address=store_read.address,
            reason='not_whole',
        )

    def _log(
        self, plan: FetchPlan, request: str, count: int, link_bytes: int
    ) -> None:
        self._events.write(
            EventName.SEGMENTS_FETCHED,
            request=request,
            store=plan.store,
            segments=count,
            count=len(plan.segments),
            length=link_bytes,
        )


def _now() -> Millis:
    return anyio.current_time() * SECOND


def _release_read(store_read: _StoreRead) -> None:
    store_read.waiters -= 1
    if store_read.waiters == 0:
        store_read.scope.cancel()


async def _stop_reading(peer: StorePeer, request: str) -> None:
    if peer.closed:
        return
    with anyio.move_on_after(1, shield=True), suppress(LinkClosed):
        await peer.send(Cancel(request, _READ_ATTEMPT))
