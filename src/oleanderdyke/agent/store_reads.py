"""Copy sealed segments from a store to the agents that read them."""

from __future__ import annotations

import hashlib
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.agent.settings import CacheSettings
from oleanderdyke.agent.turns import LinkTurns
from oleanderdyke.clock import Clock
from oleanderdyke.errors import OleanderError
from oleanderdyke.kernel.blocks import ID_BYTES
from oleanderdyke.kernel.links_meter import LinkMeter
from oleanderdyke.kernel.store_index import StoreIndex
from oleanderdyke.kernel.store_outcomes import Pinned
from oleanderdyke.links.link import LinkClosed
from oleanderdyke.links.messages import (
    SegmentMissing,
    SegmentPart,
    SegmentRead,
)

_REDIRECT = 300


@dataclass(slots=True)
class _Reader:
    link: str
    outbox: Outbox
    message: SegmentRead
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(slots=True)
class _Progress:
    unread: int
    uncarried: int


class StoreReads:
    """Serve a bounded number of readers, part by part in turns."""

    def __init__(
        self,
        backend: Backend,
        *,
        turns: LinkTurns,
        meter: LinkMeter,
        settings: CacheSettings,
        clock: Clock,
        tasks: TaskGroup,
    ) -> None:
        self._backend = backend
        self._turns = turns
        self._meter = meter
        self._settings = settings
        self._clock = clock
        self._tasks = tasks
        self._places = anyio.Semaphore(settings.readers)
        self._readers: dict[tuple[str, str], _Reader] = {}
        self._index: StoreIndex | None = None

    @property
    def running(self) -> int:
        """Count the readers that are served."""
        return self._settings.readers - self._places.value

    @property
    def waiting(self) -> int:
        """Count the readers that wait for a place."""
        return len(self._readers) - self.running

    def set_index(self, index: StoreIndex | None) -> None:
        """Read by another index; None hides everything."""
        self._index = index

    def set_meter(self, meter: LinkMeter) -> None:
        """Count by another meter."""
        self._meter = meter

    def start(self, link: str, outbox: Outbox, message: SegmentRead) -> None:
        """Start to answer a read."""
        reader = _Reader(link, outbox, message)
        self._readers[link, message.request] = reader
        self._tasks.start_soon(self._serve, reader)

    def stop(self, link: str, request: str) -> None:
        """Stop one read."""
        reader = self._readers.get((link, request))
        if reader is not None:
            reader.scope.cancel()

    def drop_link(self, link: str) -> None:
        """Stop the reads of a lost link."""
        for reader in tuple(self._readers.values()):
            if reader.link == link:
                reader.scope.cancel()

    async def _serve(self, reader: _Reader) -> None:
        try:
            with reader.scope:
                async with self._places:
                    await self._send_segments(reader)
        except LinkClosed:
            return
        finally:
            self._readers.pop((reader.link, reader.message.request), None)

    async def _send_segments(self, reader: _Reader) -> None:
        # A chain is of use up to its first gap only.
        for segment in reader.message.segments:
            if not await self._send_segment(reader, segment):
                missing = SegmentMissing(reader.message.request, segment)
                await reader.outbox.send(missing)
                return

    async def _send_segment(self, reader: _Reader, segment: bytes) -> bool:
        index = self._index
        if index is None:
            return False
        namespace = reader.message.namespace
        pinned = index.pin(namespace, segment, self._clock.now())
        if not isinstance(pinned, Pinned):
            return False
        try:
            return await self._copy(reader, index, pinned)
        finally:
            index.unpin(pinned)

    async def _copy(
        self, reader: _Reader, index: StoreIndex, pinned: Pinned
    ) -> bool:
        meter = self._meter
        meter.note_asked(pinned.length, self._clock.now())
        progress = _Progress(pinned.length, pinned.length)
        try:
            await self._send_parts(reader, index, pinned, progress)
        except LinkClosed:
            raise
        except OleanderError:
            return False
        finally:
            meter.note_dropped(progress.uncarried, self._clock.now())
        if progress.unread:
            index.free_broken(pinned)
        return progress.uncarried == 0

    async def _send_parts(
        self,
        reader: _Reader,
        index: StoreIndex,
        pinned: Pinned,
        progress: _Progress,
    ) -> None:
        digest = hashlib.blake2b(digest_size=ID_BYTES)
        async with aclosing(self._read_object(pinned)) as parts:
            async for position, data in parts:
                digest.update(data)
                progress.unread -= len(data)
                if progress.unread <= 0 and not self._is_whole(
                    index, pinned, progress.unread, digest.digest()
                ):
                    return
                await self._turns.take_read(len(data))
                last = progress.unread == 0
                await reader.outbox.send(
                    _make_part(reader, pinned, position, data, last=last)
                )
                progress.uncarried -= len(data)
                self._meter.note_carried(len(data), self._clock.now())

    def _is_whole(
        self, index: StoreIndex, pinned: Pinned, left: int, digest: bytes
    ) -> bool:
        if left == 0 and digest == pinned.digest:
            return self._index is index and index.holds(
                pinned, self._clock.now()
            )
        index.free_broken(pinned)
        return False

    async def _read_object(
        self, pinned: Pinned
    ) -> AsyncGenerator[tuple[int, bytes], None]:
        position = 0
        size = self._settings.part_size
        async with self._backend.open(
            'GET', f'/objects/{pinned.object_name}', (), None
        ) as answer:
            if answer.status >= _REDIRECT:
                return
            held = bytearray()
            async for data in answer.body:
                held += data
                while len(held) >= size:
                    yield position, bytes(held[:size])
                    position += size
                    del held[:size]
            if held:
                yield position, bytes(held)


def _make_part(
    reader: _Reader, pinned: Pinned, position: int, data: bytes, *, last: bool
) -> SegmentPart:
    return SegmentPart(
        reader.message.request,
        pinned.segment,
        pinned.generation,
        position,
        data,
        pinned.length,
        pinned.digest,
        last=last,
    )
