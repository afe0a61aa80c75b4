"""Reads of sealed segments by the agents of engines."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.link_scheduler import LinkScheduler
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.agent.settings import CacheSettings
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
# Limits on the segments being read ahead, for each reader and in total. One
# segment is always allowed, so that no reader waits for those of others.
_MAX_TRANSFERS_PER_READER = 4
_MAX_TRANSFERS = 8
# On a slow link reading ahead gains little and is wasted if a fetch is
# cancelled, so no more is read ahead than is sent within this time.
_READ_AHEAD_TIME: Millis = 25.0
_BUFFERED_PARTS = 2


class _Transfer:
    """One segment being read from the store and sent to a reader.

    `unsent` counts the bytes that have not been sent.
    """

    def __init__(
        self, index: StoreIndex, pinned: Pinned, meter: LinkMeter, length: int
    ) -> None:
        self.index = index
        self.pinned = pinned
        self.meter = meter
        self.unsent = length
        self.ended = False
        self.sender, self.receiver = anyio.create_memory_object_stream[bytes](
            _BUFFERED_PARTS
        )


@dataclass(slots=True)
class _Reader:
    outbox: Outbox
    message: SegmentRead
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    transfers: deque[_Transfer] = field(default_factory=deque)
    gap: bool = False

    @property
    def key(self) -> tuple[str, str]:
        return self.outbox.name, self.message.request


class StoreReads:
    """Serve a limited number of readers, which take turns part by part.

    The next segments of a reader are read ahead from the store while the
    current one is sent.
    """

    def __init__(
        self,
        backend: Backend,
        *,
        scheduler: LinkScheduler,
        meter: LinkMeter,
        settings: CacheSettings,
        clock: Clock,
        tasks: TaskGroup,
    ) -> None:
        self._backend = backend
        self._scheduler = scheduler
        self._meter = meter
        self._settings = settings
        self._clock = clock
        self._tasks = tasks
        self._slots = anyio.Semaphore(settings.readers)
        self._readers: dict[tuple[str, str], _Reader] = {}
        self._index: StoreIndex | None = None
        self._active_transfers = 0

    @property
    def running(self) -> int:
        """Return the number of readers being served."""
        return self._settings.readers - self._slots.value

    @property
    def waiting(self) -> int:
        """Return the number of readers that wait to be served."""
        return len(self._readers) - self.running

    def set_index(self, index: StoreIndex | None) -> None:
        """Replace the index; None hides all segments."""
        self._index = index

    def set_meter(self, meter: LinkMeter) -> None:
        """Replace the meter for the use of the link."""
        self._meter = meter

    def start(self, outbox: Outbox, message: SegmentRead) -> None:
        """Start to serve a read."""
        reader = _Reader(outbox, message)
        self._readers[reader.key] = reader
        self._tasks.start_soon(self._serve, reader)

    def stop(self, link: str, request: str) -> None:
        """Stop one read, if it is still being served."""
        reader = self._readers.get((link, request))
        if reader is not None:
            reader.scope.cancel()

    def drop_link(self, link: str) -> None:
        """Stop the reads of a closed link."""
        for reader in tuple(self._readers.values()):
            if reader.outbox.name == link:
                reader.scope.cancel()

    async def _serve(self, reader: _Reader) -> None:
        try:
            with reader.scope:
                async with self._slots:
                    await self._send_segments(reader)
        finally:
            self._readers.pop(reader.key, None)

    async def _send_segments(self, reader: _Reader) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                with suppress(LinkClosed):
                    await self._send_in_order(reader, tasks)
                tasks.cancel_scope.cancel()
        finally:
            self._end_all(reader)

    async def _send_in_order(self, reader: _Reader, tasks: TaskGroup) -> None:
        # Only the segments before the first gap in a prompt can be used.
        rest = iter(reader.message.segments)
        for segment in reader.message.segments:
            self._read_ahead(reader, rest, tasks)
            transfer = reader.transfers[0] if reader.transfers else None
            if transfer is None or not await self._send_segment(
                reader, transfer
            ):
                missing = SegmentMissing(reader.message.request, segment)
                await reader.outbox.send(missing)
                return
            self._end_transfer(reader.transfers.popleft())

    def _read_ahead(
        self, reader: _Reader, rest: Iterator[bytes], tasks: TaskGroup
    ) -> None:
        while self._may_read_ahead(reader):
            transfer = self._pin(reader, next(rest, None))
            if transfer is None:
                return
            reader.transfers.append(transfer)
            tasks.start_soon(self._fill, transfer)

    def _may_read_ahead(self, reader: _Reader) -> bool:
        if not reader.transfers:
            return True
        if (
            len(reader.transfers) >= _MAX_TRANSFERS_PER_READER
            or self._active_transfers >= _MAX_TRANSFERS
        ):
            return False
        rate = self._scheduler.rate
        left = sum(transfer.unsent for transfer in reader.transfers)
        return not rate or left * SECOND / rate < _READ_AHEAD_TIME

    def _pin(self, reader: _Reader, segment: bytes | None) -> _Transfer | None:
        index = self._index
        if index is None or segment is None or reader.gap:
            return None
        now = self._clock.now()
        pinned = index.pin(reader.message.namespace, segment, now)
        if not isinstance(pinned, Pinned):
            reader.gap = True
            return None
        self._meter.record_requested(pinned.length, now)
        return _Transfer(index, pinned, self._meter, pinned.length)

    def _end_all(self, reader: _Reader) -> None:
        while reader.transfers:
            self._end_transfer(reader.transfers.popleft())

    def _end_transfer(self, transfer: _Transfer) -> None:
        transfer.receiver.close()
        transfer.sender.close()
        transfer.meter.record_cancelled(transfer.unsent, self._clock.now())
        transfer.index.unpin(transfer.pinned)

    async def _send_segment(self, reader: _Reader, transfer: _Transfer) -> bool:
        digest = hashlib.blake2b(digest_size=ID_BYTES)
        position = 0
        async for data in transfer.receiver:
            digest.update(data)
            end = position + len(data)
            last = end >= transfer.pinned.length
            if last and not self._is_whole(transfer, end, digest.digest()):
                return False
            await self._scheduler.wait_read(len(data))
            await reader.outbox.send(
                _make_part(reader, transfer.pinned, position, data, last=last)
            )
            position = end
            transfer.unsent -= len(data)
            transfer.meter.record_sent(len(data), self._clock.now())
        if transfer.ended and transfer.unsent:
            transfer.index.free_corrupt(transfer.pinned)
        return transfer.unsent == 0

    def _is_whole(
        self, transfer: _Transfer, length: int, digest: bytes
    ) -> bool:
        pinned = transfer.pinned
        if length == pinned.length and digest == pinned.digest:
            return (
                self._index is transfer.index
                and transfer.index.is_pin_valid(pinned, self._clock.now())
            )
        transfer.index.free_corrupt(pinned)
        return False

    async def _fill(self, transfer: _Transfer) -> None:
        self._active_transfers += 1
        try:
            with transfer.sender, suppress(anyio.BrokenResourceError):
                await self._read_object(transfer)
                transfer.ended = True
        except OleanderError:
            # The reader detects the missing data and computes the segment.
            return
        finally:
            self._active_transfers -= 1

    async def _read_object(self, transfer: _Transfer) -> None:
        path = f'/objects/{transfer.pinned.object_name}'
        size = self._settings.part_size
        buffered = bytearray()
        async with self._backend.keep_alive.request('GET', path) as answer:
            if not _exists(answer.status):
                return
            async for data in answer.body:
                buffered += data
                while len(buffered) >= size:
                    await transfer.sender.send(bytes(buffered[:size]))
                    del buffered[:size]
        if buffered:
            await transfer.sender.send(bytes(buffered))


def _exists(status: int) -> bool:
    if status < _REDIRECT:
        return True
    if status == _NOT_FOUND:
        return False
    raise OleanderError(
        ErrorKind.BACKEND_FAILED,
        f'the store answered a read with status {status}',
    )


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
