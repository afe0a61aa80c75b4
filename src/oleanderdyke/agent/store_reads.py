"""Copy sealed segments from a store to the agents that read them."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.agent.settings import CacheSettings
from oleanderdyke.agent.turns import LinkTurns
from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.kernel.blocks import ID_BYTES
from oleanderdyke.kernel.link_meter import LinkMeter
from oleanderdyke.kernel.store_index import StoreIndex
from oleanderdyke.kernel.store_outcomes import Pinned
from oleanderdyke.links.link import LinkClosed
from oleanderdyke.links.messages.segments import (
    SegmentMissing,
    SegmentPart,
    SegmentRead,
)

_REDIRECT = 300
_NOT_FOUND = 404
# So many segments of one reader, and of all, are read at once; each reader
# may always read one, so that many readers wait for one segment of each.
_AHEAD = 4
_READING = 8
# On a slow link a read ahead gains little, and is lost when a fetch is cut.
_AHEAD_TIME: Millis = 25.0
_PARTS_AHEAD = 2


class _Copy:
    """Hold one segment on its way from the store to a reader."""

    def __init__(
        self, index: StoreIndex, pinned: Pinned, meter: LinkMeter, length: int
    ) -> None:
        self.index = index
        self.pinned = pinned
        self.meter = meter
        self.uncarried = length
        self.ended = False
        self.sender, self.receiver = anyio.create_memory_object_stream[bytes](
            _PARTS_AHEAD
        )


@dataclass(slots=True)
class _Reader:
    outbox: Outbox
    message: SegmentRead
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    ahead: deque[_Copy] = field(default_factory=deque)
    gap: bool = False

    @property
    def key(self) -> tuple[str, str]:
        return self.outbox.name, self.message.request


class StoreReads:
    """Serve a bounded number of readers, part by part in turns.

    A reader's next segments are read from the store while the first is sent.
    """

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
        self._reading = 0

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

    def start(self, outbox: Outbox, message: SegmentRead) -> None:
        """Start to answer a read."""
        reader = _Reader(outbox, message)
        self._readers[reader.key] = reader
        self._tasks.start_soon(self._serve, reader)

    def stop(self, link: str, request: str) -> None:
        """Stop one read."""
        reader = self._readers.get((link, request))
        if reader is not None:
            reader.scope.cancel()

    def drop_link(self, link: str) -> None:
        """Stop the reads of a lost link."""
        for reader in tuple(self._readers.values()):
            if reader.outbox.name == link:
                reader.scope.cancel()

    async def _serve(self, reader: _Reader) -> None:
        try:
            with reader.scope:
                async with self._places:
                    await self._send_segments(reader)
        finally:
            self._readers.pop(reader.key, None)

    async def _send_segments(self, reader: _Reader) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                with suppress(LinkClosed):
                    await self._relay(reader, tasks)
                tasks.cancel_scope.cancel()
        finally:
            self._drop(reader)

    async def _relay(self, reader: _Reader, tasks: TaskGroup) -> None:
        # A chain is of use up to its first gap only.
        rest = iter(reader.message.segments)
        for segment in reader.message.segments:
            self._read_ahead(reader, rest, tasks)
            copy = reader.ahead[0] if reader.ahead else None
            if copy is None or not await self._send_copy(reader, copy):
                missing = SegmentMissing(reader.message.request, segment)
                await reader.outbox.send(missing)
                return
            self._end(reader.ahead.popleft())

    def _read_ahead(
        self, reader: _Reader, rest: Iterator[bytes], tasks: TaskGroup
    ) -> None:
        while self._may_read(reader):
            copy = self._pin(reader, next(rest, None))
            if copy is None:
                return
            reader.ahead.append(copy)
            tasks.start_soon(self._fill, copy)

    def _may_read(self, reader: _Reader) -> bool:
        if not reader.ahead:
            return True
        if len(reader.ahead) >= _AHEAD or self._reading >= _READING:
            return False
        rate = self._turns.rate
        left = sum(copy.uncarried for copy in reader.ahead)
        return not rate or left * SECOND / rate < _AHEAD_TIME

    def _pin(self, reader: _Reader, segment: bytes | None) -> _Copy | None:
        index = self._index
        if index is None or segment is None or reader.gap:
            return None
        now = self._clock.now()
        pinned = index.pin(reader.message.namespace, segment, now)
        if not isinstance(pinned, Pinned):
            reader.gap = True
            return None
        self._meter.record_requested(pinned.length, now)
        return _Copy(index, pinned, self._meter, pinned.length)

    def _drop(self, reader: _Reader) -> None:
        while reader.ahead:
            self._end(reader.ahead.popleft())

    def _end(self, copy: _Copy) -> None:
        copy.receiver.close()
        copy.sender.close()
        copy.meter.record_cancelled(copy.uncarried, self._clock.now())
        copy.index.unpin(copy.pinned)

    async def _send_copy(self, reader: _Reader, copy: _Copy) -> bool:
        digest = hashlib.blake2b(digest_size=ID_BYTES)
        position = 0
        async for data in copy.receiver:
            digest.update(data)
            end = position + len(data)
            last = end >= copy.pinned.length
            if last and not self._is_whole(copy, end, digest.digest()):
                return False
            await self._turns.take_read(len(data))
            await reader.outbox.send(
                _make_part(reader, copy.pinned, position, data, last=last)
            )
            position = end
            copy.uncarried -= len(data)
            copy.meter.record_sent(len(data), self._clock.now())
        if copy.ended and copy.uncarried:
            copy.index.free_corrupt(copy.pinned)
        return copy.uncarried == 0

    def _is_whole(self, copy: _Copy, length: int, digest: bytes) -> bool:
        pinned = copy.pinned
        if length == pinned.length and digest == pinned.digest:
            return self._index is copy.index and copy.index.is_pin_valid(
                pinned, self._clock.now()
            )
        copy.index.free_corrupt(pinned)
        return False

    async def _fill(self, copy: _Copy) -> None:
        self._reading += 1
        try:
            with copy.sender, suppress(anyio.BrokenResourceError):
                await self._read_object(copy)
                copy.ended = True
        except OleanderError:
            # The reader computes what didn't come.
            return
        finally:
            self._reading -= 1

    async def _read_object(self, copy: _Copy) -> None:
        path = f'/objects/{copy.pinned.object_name}'
        size = self._settings.part_size
        held = bytearray()
        async with self._backend.kept.request('GET', path) as answer:
            if not _is_there(answer.status):
                return
            async for data in answer.body:
                held += data
                while len(held) >= size:
                    await copy.sender.send(bytes(held[:size]))
                    del held[:size]
        if held:
            await copy.sender.send(bytes(held))


def _is_there(status: int) -> bool:
    if status < _REDIRECT:
        return True
    if status == _NOT_FOUND:
        return False
    raise OleanderError(ErrorKind.BACKEND_FAILED, f'the store: {status}')


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
