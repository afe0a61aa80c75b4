"""Index of a store: which segments are complete and may be read."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from random import Random

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.blocks import ID_BYTES, Namespace, SegmentId, make_hint
from oleanderdyke.kernel.demand import RetentionPolicy
from oleanderdyke.kernel.eviction import Evictor
from oleanderdyke.kernel.pins import PinTable
from oleanderdyke.kernel.sealed_entries import SealedEntries, SealedEntry
from oleanderdyke.kernel.segment_log import SegmentLog
from oleanderdyke.kernel.segment_write import OpenWrite
from oleanderdyke.kernel.store_meta import (
    MAX_DEPTH,
    META_SUFFIX,
    SealedMeta,
    decode_meta,
    encode_meta,
)
from oleanderdyke.kernel.store_outcomes import (
    BeginOutcome,
    PartAccepted,
    PartIgnored,
    PartOutcome,
    Pinned,
    ReadRefusal,
    ReadRefused,
    WriteBegun,
    WriteFailed,
    WriteJoined,
    WritePresent,
    WriteRefusal,
    WriteSealed,
    WriteVerified,
)
from oleanderdyke.links.messages.segments import SegmentPart, SegmentWrite

__all__ = [
    'BeginOutcome',
    'PartAccepted',
    'PartIgnored',
    'PartOutcome',
    'Pinned',
    'ReadRefusal',
    'ReadRefused',
    'SealedMeta',
    'StoreIndex',
    'StoreLimits',
    'WriteBegun',
    'WriteFailed',
    'WriteJoined',
    'WritePresent',
    'WriteRefusal',
    'WriteSealed',
    'WriteVerified',
    'decode_meta',
    'encode_meta',
]


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limit the size and the pending operations of a store's index."""

    capacity_bytes: int
    write_time: Millis = 30 * SECOND
    pin_time: Millis = 30 * SECOND
    pins: int = 1_024
    writes: int = 64


class StoreIndex:
    """Decide what a store's agent may write, list, read and delete.

    The caller stores the object of a write, then its meta record, then calls
    `seal`. It deletes the objects that `drain_deletions` returns, in that
    order, before it stores anything new.
    """

    def __init__(
        self,
        limits: StoreLimits,
        retention_policy: RetentionPolicy,
        incarnation: str,
        random: Random,
    ) -> None:
        self._limits = limits
        self._retention_policy = retention_policy
        self._incarnation = incarnation
        self._generations = count(1)
        self._entries = SealedEntries()
        self._writes: dict[SegmentId, OpenWrite] = {}
        self._pins = PinTable(limit=limits.pins, time=limits.pin_time)
        self._evictor = Evictor(
            self._entries, self._pins, retention_policy, random
        )
        self._pending_deletions: dict[str, int] = {}
        self._deletions: list[str] = []
        self._used = 0
        self.log = SegmentLog()

    @property
    def used_bytes(self) -> int:
        """Return the bytes of objects that are stored or being written."""
        return self._used

    def begin(self, write: SegmentWrite, now: Millis) -> BeginOutcome:
        """Open a write, join one of the same segment, or refuse."""
        existing = self._find_existing(write)
        if existing is not None:
            return existing
        if len(self._writes) >= self._limits.writes:
            return WriteFailed(WriteRefusal.BUSY, (write.request,))
        if not _has_ids(write.segment, write.digest):
            return WriteFailed(WriteRefusal.LENGTH, (write.request,))
        generation = next(self._generations)
        meta = self._make_meta(write, generation)
        refusal = self._make_room(meta, now)
        if refusal is not None:
            return WriteFailed(refusal, (write.request,))
        self._used += meta.length
        self._writes[meta.segment] = OpenWrite(
            write.request, meta, generation, now + self._limits.write_time
        )
        return WriteBegun(meta.object_name)

    def add_part(self, part: SegmentPart, now: Millis) -> PartOutcome:
        """Add the next part to the write that its request opened."""
        write = self._find_write(part.request, part.segment)
        if write is None:
            return PartIgnored()
        if now >= write.until:
            return self._fail_write(write, WriteRefusal.TIMEOUT)
        refusal = write.add(part)
        if refusal is not None:
            return self._fail_write(write, refusal)
        if not write.is_verified:
            return PartAccepted()
        meta_name = write.meta.object_name + META_SUFFIX
        return WriteVerified(meta_name, encode_meta(write.meta))

    def seal(
        self, request: str, segment: SegmentId, now: Millis
    ) -> WriteSealed | WriteFailed:
        """Make a verified and stored segment visible."""
        write = self._find_write(request, segment)
        if write is None:
            return WriteFailed(WriteRefusal.UNKNOWN)
        if now >= write.until:
            return self._fail_write(write, WriteRefusal.TIMEOUT)
        if not write.is_verified:
            return self._fail_write(write, WriteRefusal.LENGTH)
        del self._writes[segment]
        self._publish(SealedEntry(write.meta, write.generation), now)
        return WriteSealed(write.requests)

    def abort(
        self, request: str, segment: SegmentId, reason: WriteRefusal
    ) -> WriteFailed:
        """Fail a write, for instance when the store is full or has failed."""
        write = self._find_write(request, segment)
        if write is None:
            return WriteFailed(WriteRefusal.UNKNOWN)
        return self._fail_write(write, reason)

    def pin(
        self, namespace: Namespace, segment: SegmentId, now: Millis
    ) -> Pinned | ReadRefused:
        """Pin a segment for one reader's copy; `unpin` has to follow."""
        entry = self._entries.get(segment)
        if entry is None:
            return ReadRefused(ReadRefusal.MISSING)
        if entry.meta.namespace != namespace:
            return ReadRefused(ReadRefusal.NAMESPACE)
        pinned = self._pins.add(entry.meta, entry.generation, now)
        if pinned is None:
            return ReadRefused(ReadRefusal.BUSY)
        self._retention_policy.record_use(make_hint(segment), now)
        return pinned

    def is_pin_valid(self, pinned: Pinned, now: Millis) -> bool:
        """Return whether bytes that were copied under a pin may be used."""
        entry = self._entries.get(pinned.segment)
        if entry is None or entry.generation != pinned.generation:
            return False
        return self._pins.is_valid(pinned, now)

    def unpin(self, pinned: Pinned) -> None:
        """Remove a pin; delete the object if it is freed and unpinned."""
        if self._pins.remove(pinned):
            self._delete_pending(pinned.object_name)

    def free(self, segment: SegmentId) -> None:
        """Remove a segment; delete its object once no pin is left."""
        entry = self._entries.remove(segment)
        if entry is None:
            return
        self.log.remove(make_hint(segment))
        name = entry.meta.object_name
        self._pending_deletions[name] = entry.meta.length
        if not self._pins.is_pinned(entry.generation):
            self._delete_pending(name)

    def free_corrupt(self, pinned: Pinned) -> None:
        """Free the entry whose bytes failed verification, if still there."""
        entry = self._entries.get(pinned.segment)
        if entry is not None and entry.generation == pinned.generation:
            self.free(pinned.segment)

    def expire(self, now: Millis) -> tuple[WriteFailed, ...]:
        """Drop timed-out pins and writes; return the failed writes."""
        for pinned in self._pins.list_expired(now):
            self.unpin(pinned)
        expired = [each for each in self._writes.values() if now >= each.until]
        return tuple(
            self._fail_write(each, WriteRefusal.TIMEOUT) for each in expired
        )

    def drain_deletions(self) -> tuple[str, ...]:
        """Return the names to delete, each record before its object."""
        names = tuple(self._deletions)
        self._deletions.clear()
        return names

    def restore(
        self, meta_name: str, meta: bytes, stored: int | None, now: Millis
    ) -> bool:
        """Add an object of an earlier incarnation if its record matches.

        `stored` is the object's length in the store's list, None if missing.
        The object and its record are queued for deletion otherwise.
        """
        record = decode_meta(meta)
        if record is None or not self._can_restore(meta_name, record, stored):
            self._queue_deletions(meta_name.removesuffix(META_SUFFIX))
            return False
        if self._entries.get(record.segment) is not None:
            return self._resolve_duplicate(record)
        self._used += record.length
        self._publish(SealedEntry(record, next(self._generations)), now)
        return True

    def _can_restore(
        self, meta_name: str, record: SealedMeta, stored: int | None
    ) -> bool:
        if meta_name != record.object_name + META_SUFFIX:
            return False
        if not _has_ids(record.segment, record.digest):
            return False
        if stored != record.length or record.segment in self._writes:
            return False
        return self._used + record.length <= self._limits.capacity_bytes

    def _resolve_duplicate(self, record: SealedMeta) -> bool:
        entry = self._entries.get(record.segment)
        if entry is not None and entry.meta == record:
            return True
        self._queue_deletions(record.object_name)
        return False

    def _find_existing(self, write: SegmentWrite) -> BeginOutcome | None:
        open_write = self._writes.get(write.segment)
        entry = self._entries.get(write.segment)
        existing = open_write or entry
        if existing is None:
            return None
        if existing.meta.namespace != write.namespace:
            return WriteFailed(WriteRefusal.NAMESPACE, (write.request,))
        if open_write is None:
            return WritePresent()
        if len(open_write.joined) >= self._limits.writes:
            return WriteFailed(WriteRefusal.BUSY, (write.request,))
        open_write.joined.append(write.request)
        return WriteJoined()

    def _find_write(self, request: str, segment: SegmentId) -> OpenWrite | None:
        write = self._writes.get(segment)
        if write is None or write.request != request:
            return None
        return write

    def _make_meta(self, write: SegmentWrite, generation: int) -> SealedMeta:
        name = f'{write.segment.hex()}-{self._incarnation}-{generation}'
        return SealedMeta(
            object_name=name,
            namespace=write.namespace,
            segment=write.segment,
            length=write.length,
            digest=write.digest,
            gap=write.expected_gap,
            depth=max(0, min(write.depth, MAX_DEPTH)),
        )

    def _fail_write(
        self, write: OpenWrite, reason: WriteRefusal
    ) -> WriteFailed:
        del self._writes[write.meta.segment]
        self._delete(write.meta.object_name, write.meta.length)
        return WriteFailed(reason, write.requests)

    def _publish(self, entry: SealedEntry, now: Millis) -> None:
        segment = entry.meta.segment
        self._entries.add(entry)
        self._retention_policy.record_use(make_hint(segment), now)
        self.log.add(make_hint(segment))

    def _delete_pending(self, name: str) -> None:
        length = self._pending_deletions.pop(name, None)
        if length is not None:
            self._delete(name, length)

    def _delete(self, name: str, length: int) -> None:
        self._used -= length
        self._queue_deletions(name)

    def _queue_deletions(self, name: str) -> None:
        self._deletions += [name + META_SUFFIX, name]

    def _make_room(self, meta: SealedMeta, now: Millis) -> WriteRefusal | None:
        if not 0 < meta.length <= self._limits.capacity_bytes:
            return WriteRefusal.FULL
        needed_bytes = self._used + meta.length - self._limits.capacity_bytes
        if needed_bytes <= 0:
            return None
        victims = self._evictor.choose(meta, needed_bytes, now)
        if isinstance(victims, WriteRefusal):
            return victims
        for segment in victims:
            self.free(segment)
        return None


def _has_ids(segment: SegmentId, digest: bytes) -> bool:
    return len(segment) == len(digest) == ID_BYTES
