"""Simulate a segment store and its agent."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.store_index import StoreIndex, StoreLimits
from oleanderdyke.kernel.store_meta import META_SUFFIX
from oleanderdyke.kernel.store_outcomes import (
    Pinned,
    WriteBegun,
    WriteRefusal,
    WriteSealed,
    WriteVerified,
)
from oleanderdyke.links.messages.segments import SegmentPart, SegmentWrite
from oleanderdyke.policies import keeping  # noqa: F401 - registers itself
from oleanderdyke.policies.registries import KEEPERS
from oleanderdyke.policies.settings import PolicySettings
from tests.matrix.loop import Deferred, Process, drive
from tests.matrix.net import LATENCY
from tests.matrix.points import Point

if TYPE_CHECKING:
    from tests.matrix.kv import Kv
    from tests.matrix.world import World

SIZE = 64
HALF = SIZE // 2
_LIMITS = StoreLimits(
    capacity_bytes=3 * SIZE, write_time=10 * SECOND, pin_time=5 * SECOND
)
_TIMEOUT: Millis = 500.0
_TURN_TIME: Millis = 200.0
_FREE_INTERVAL: Millis = 430.0


class Store:
    """Simulate an object store that can be full or lose partial writes."""

    def __init__(self, world: World) -> None:
        self.objects: dict[str, bytes] = {}
        self.full = False
        self.process = Process(world.scheduler, 'store')

    def put(self, name: str, data: bytes, later: Deferred) -> None:
        """Write an object in two halves; resolve `later` with the result."""
        if self.full:
            self.process.after(LATENCY, lambda: later.resolve(value=False))
            return
        part = {name: data[: len(data) // 2]}
        self.process.after(LATENCY, lambda: self.objects.update(part))

        def end() -> None:
            self.objects[name] = data
            later.resolve(value=True)

        self.process.after(2 * LATENCY, end)

    def delete(self, name: str) -> None:
        """Schedule the deletion of an object, behind earlier requests."""
        gone = partial(self.objects.pop, name, b'')
        self.process.after(LATENCY, lambda: _ignore(gone()))


def _ignore(_: object) -> None:
    """Discard a value."""


class StoreNode(Process):
    """Serve segments according to the index, as the real agent does."""

    def __init__(self, kv: Kv, incarnation: int) -> None:
        super().__init__(kv.world.scheduler, 'store-1')
        self.kv = kv
        self.writing: dict[str, tuple[str, bytearray]] = {}
        self._number = incarnation
        self.index: StoreIndex | None = None
        self.open()
        self.every(_FREE_INTERVAL, self._free)

    def open(self) -> None:
        """Add all complete objects of the store to the index."""
        self._number += 1000
        keeper = KEEPERS.find('lru')(PolicySettings())
        index = self.kv.world.variants.store(
            _LIMITS, keeper, f'{self.name}{self._number}', Random(self._number)
        )
        objects = self.kv.store.objects
        for name in sorted(objects):
            if name.endswith(META_SUFFIX):
                data = objects.get(name.removesuffix(META_SUFFIX))
                stored = None if data is None else len(data)
                index.restore(name, objects[name], stored, self.now)
        self.index = index
        self._delete()

    def close(self) -> None:
        """Remove all segments from the index after losing the store."""
        self.index = None
        self.writing.clear()

    def offer(
        self, write: SegmentWrite, send_parts: Callable[[], None]
    ) -> None:
        """Accept or decline an offered segment."""
        if self.index is None:
            return
        outcome = self.index.begin(write, self.now)
        self._delete()
        if isinstance(outcome, WriteBegun):
            self.writing[write.request] = (outcome.object_name, bytearray())
            send_parts()

    def add_part(self, part: SegmentPart) -> None:
        """Add a part and store the segment once it is complete."""
        index, writing = self.index, self.writing.get(part.request)
        if index is None or writing is None:
            return
        writing[1].extend(part.data)
        outcome = index.add_part(part, self.now)
        if isinstance(outcome, WriteVerified):
            drive(self._store(index, part, outcome))

    async def serve(
        self, namespace: bytes, segment: bytes, reader: Any
    ) -> None:
        """Copy a segment to a reader, pinning it meanwhile."""
        points, index = self.kv.world.points, self.index
        if index is None:
            return
        points.reach(Point.KV_PIN, self)
        await self.checkpoint()
        pinned = index.pin(namespace, segment, self.now)
        if not isinstance(pinned, Pinned):
            return
        points.reach(Point.KV_PIN, self, after=True)
        await self.checkpoint()
        await self._copy(index, pinned, reader)
        index.unpin(pinned)
        self._delete()

    async def _copy(
        self, index: StoreIndex, pinned: Pinned, reader: Any
    ) -> None:
        points = self.kv.world.points
        first = await self._get(pinned.object_name, 0)
        points.reach(Point.KV_COPY, self)
        await self.checkpoint()
        await self._wait_turn()
        rest = await self._get(pinned.object_name, HALF)
        points.reach(Point.KV_COPY, self, after=True)
        await self.checkpoint()
        is_whole = self.kv.world.variants.is_whole
        if not is_whole(first + rest, pinned.length, pinned.digest):
            index.free_corrupt(pinned)
            return
        if self.index is index and index.is_pin_valid(pinned, self.now):
            reader(_make_part(pinned, 0, first, last=False))
            reader(_make_part(pinned, HALF, rest, last=True))

    async def _wait_turn(self) -> None:
        """Yield the link to other readers."""
        later = Deferred(self)
        self.after(_TURN_TIME, later.resolve)
        await later

    async def _store(
        self, index: StoreIndex, part: SegmentPart, verified: WriteVerified
    ) -> None:
        points, segment = self.kv.world.points, part.segment
        name, data = self.writing.pop(part.request)
        points.reach(Point.KV_WRITE, self)
        await self.checkpoint()
        stored = await self._put(name, bytes(data))
        stored = stored and await self._put(verified.meta_name, verified.meta)
        points.reach(Point.KV_WRITE, self, after=True)
        await self.checkpoint()
        if index is not self.index:
            return
        if not stored:
            index.abort(part.request, segment, WriteRefusal.STORE_FAILED)
            self._delete()
            return
        points.reach(Point.KV_SEAL, self)
        await self.checkpoint()
        if index is self.index:
            outcome = index.seal(part.request, segment, self.now)
            sealed = isinstance(outcome, WriteSealed)
            self._delete()
            if sealed:
                points.reach(Point.KV_SEAL, self, after=True)

    async def _put(self, name: str, data: bytes) -> bool:
        later = Deferred(self)
        self.after(_TIMEOUT, lambda: later.resolve(value=False))
        self.kv.store.put(name, data, later)
        stored: bool = await later
        return stored

    async def _get(self, name: str, start: int) -> bytes:
        later, store = Deferred(self), self.kv.store
        self.after(_TIMEOUT, lambda: later.resolve(b''))

        def read() -> None:
            data = store.objects.get(name, b'')[start : start + HALF]
            self.after(LATENCY, lambda: later.resolve(data))

        store.process.after(LATENCY, read)
        found: bytes = await later
        return found

    def _free(self) -> None:
        self.kv.world.points.reach(Point.KV_FREE, self)
        self.do(self._free_next)

    def _free_next(self) -> None:
        if self.index is None:
            return
        self.index.expire(self.now)
        self.index.free(self.kv.find_segment_to_free())
        self._delete()
        self.kv.world.points.reach(Point.KV_FREE, self, after=True)

    def _delete(self) -> None:
        if self.index is not None:
            for name in self.index.drain_deletions():
                self.kv.store.delete(name)


def _make_part(
    pinned: Pinned, position: int, data: bytes, *, last: bool
) -> SegmentPart:
    return SegmentPart(
        '',
        pinned.segment,
        pinned.generation,
        position,
        data,
        pinned.length,
        pinned.digest,
        last=last,
    )
