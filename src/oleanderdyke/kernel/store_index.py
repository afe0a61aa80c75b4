"""Track which kept segments of a store are whole and may be read."""

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
    """Bound what a store's index holds."""

    capacity_bytes: int
    write_time: Millis = 30 * SECOND
    pin_time: Millis = 30 * SECOND
    pins: int = 1_024
    writes: int = 64


class StoreIndex:
    """Decide what a store's agent may write, show, read and delete.

    The shell stores a write's object, then its meta record, then calls
    `seal`; it deletes what `drain_deletions` names, in that order, before it
    stores anything new.
    """

    def __init__(
        self,
        limits: StoreLimits,
        keeper: RetentionPolicy,
        incarnation: str,
        random: Random,
    ) -> None:
        self._limits = limits
        self._keeper = keeper
        self._incarnation = incarnation
        self._generations = count(1)
        self._entries = SealedEntries()
        self._writes: dict[SegmentId, OpenWrite] = {}
        self._pins = PinTable(limit=limits.pins, time=limits.pin_time)
        self._evictor = Evictor(self._entries, self._pins, keeper, random)
        self._doomed: dict[str, int] = {}
        self._deletions: list[str] = []
        self._used = 0
        self.log = SegmentLog()

    @property
    def used_bytes(self) -> int:
        """Return the bytes of objects kept, pinned or being written."""
        return self._used

    def begin(self, write: SegmentWrite, now: Millis) -> BeginOutcome:
        """Open a write, or say why not."""
        known = self._find_known(write)
        if known is not None:
            return known
        if len(self._writes) >= self._limits.writes:
            return WriteFailed(WriteRefusal.BUSY, (write.request,))
        if not _has_ids(write.segment, write.digest):
            return WriteFailed(WriteRefusal.LENGTH, (write.request,))
        generation = next(self._generations)
        meta = self._describe(write, generation)
        fault = self._make_room(meta, now)
        if fault is not None:
            return WriteFailed(fault, (write.request,))
        self._used += meta.length
        self._writes[meta.segment] = OpenWrite(
            write.request, meta, generation, now + self._limits.write_time
        )
        return WriteBegun(meta.object_name)

    def add_part(self, part: SegmentPart, now: Millis) -> PartOutcome:
        """Check the next part of the write that its request opened."""
        write = self._find_write(part.request, part.segment)
        if write is None:
            return PartIgnored()
        if now >= write.until:
            return self._drop_write(write, WriteRefusal.TIMEOUT)
        fault = write.add(part)
        if fault is not None:
            return self._drop_write(write, fault)
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
            return self._drop_write(write, WriteRefusal.TIMEOUT)
        if not write.is_verified:
            return self._drop_write(write, WriteRefusal.LENGTH)
        del self._writes[segment]
        self._show(SealedEntry(write.meta, write.generation), now)
        return WriteSealed(write.requests)

    def abort(
        self, request: str, segment: SegmentId, reason: WriteRefusal
    ) -> WriteFailed:
        """Give up a write; also when the store is full or has failed."""
        write = self._find_write(request, segment)
        if write is None:
            return WriteFailed(WriteRefusal.UNKNOWN)
        return self._drop_write(write, reason)

    def pin(
        self, namespace: Namespace, segment: SegmentId, now: Millis
    ) -> Pinned | ReadRefused:
        """Let one reader copy a segment; each pin needs one `unpin`."""
        entry = self._entries.get(segment)
        if entry is None:
            return ReadRefused(ReadRefusal.MISSING)
        if entry.meta.namespace != namespace:
            return ReadRefused(ReadRefusal.NAMESPACE)
        pinned = self._pins.add(entry.meta, entry.generation, now)
        if pinned is None:
            return ReadRefused(ReadRefusal.BUSY)
        self._keeper.record_use(make_hint(segment), now)
        return pinned

    def is_pin_valid(self, pinned: Pinned, now: Millis) -> bool:
        """Tell, after the copy, whether the copied bytes may be used."""
        entry = self._entries.get(pinned.segment)
        if entry is None or entry.generation != pinned.generation:
            return False
        return self._pins.is_valid(pinned, now)

    def unpin(self, pinned: Pinned) -> None:
        """End a reader's copy."""
        if self._pins.remove(pinned):
            self._delete_doomed(pinned.object_name)

    def free(self, segment: SegmentId) -> None:
        """Hide a segment at once; delete its object when no pin is left."""
        entry = self._entries.remove(segment)
        if entry is None:
            return
        self.log.remove(make_hint(segment))
        name = entry.meta.object_name
        self._doomed[name] = entry.meta.length
        if not self._pins.is_pinned(entry.generation):
            self._delete_doomed(name)

    def free_corrupt(self, pinned: Pinned) -> None:
        """Free the entry whose bytes failed verification, if still there."""
        entry = self._entries.get(pinned.segment)
        if entry is not None and entry.generation == pinned.generation:
            self.free(pinned.segment)

    def expire(self, now: Millis) -> tuple[WriteFailed, ...]:
        """End writes and pins whose time is over."""
        for pinned in self._pins.list_expired(now):
            self.unpin(pinned)
        late = [each for each in self._writes.values() if now >= each.until]
        return tuple(
            self._drop_write(each, WriteRefusal.TIMEOUT) for each in late
        )

    def drain_deletions(self) -> tuple[str, ...]:
        """Return the names to delete from the store, meta records first."""
        names = tuple(self._deletions)
        self._deletions.clear()
        return names

    def restore(
        self, meta_name: str, meta: bytes, stored: int | None, now: Millis
    ) -> bool:
        """Show an object of an earlier incarnation if its record matches.

        `stored` is the object's length in the store's list. Both objects are
        named for deletion otherwise.
        """
        record = decode_meta(meta)
        if record is None or not self._fits(meta_name, record, stored):
            self._name_deletions(meta_name.removesuffix(META_SUFFIX))
            return False
        if self._entries.get(record.segment) is not None:
            return self._settle_twin(record)
        self._used += record.length
        self._show(SealedEntry(record, next(self._generations)), now)
        return True

    def _fits(
        self, meta_name: str, record: SealedMeta, stored: int | None
    ) -> bool:
        if meta_name != record.object_name + META_SUFFIX:
            return False
        if not _has_ids(record.segment, record.digest):
            return False
        if stored != record.length or record.segment in self._writes:
            return False
        return self._used + record.length <= self._limits.capacity_bytes

    def _settle_twin(self, record: SealedMeta) -> bool:
        entry = self._entries.get(record.segment)
        if entry is not None and entry.meta == record:
            return True
        self._name_deletions(record.object_name)
        return False

    def _find_known(self, write: SegmentWrite) -> BeginOutcome | None:
        opened = self._writes.get(write.segment)
        entry = self._entries.get(write.segment)
        known = opened or entry
        if known is None:
            return None
        if known.meta.namespace != write.namespace:
            return WriteFailed(WriteRefusal.NAMESPACE, (write.request,))
        if opened is None:
            return WritePresent()
        if len(opened.joined) >= self._limits.writes:
            return WriteFailed(WriteRefusal.BUSY, (write.request,))
        opened.joined.append(write.request)
        return WriteJoined()

    def _find_write(self, request: str, segment: SegmentId) -> OpenWrite | None:
        write = self._writes.get(segment)
        if write is None or write.request != request:
            return None
        return write

    def _describe(self, write: SegmentWrite, generation: int) -> SealedMeta:
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

    def _drop_write(
        self, write: OpenWrite, reason: WriteRefusal
    ) -> WriteFailed:
        del self._writes[write.meta.segment]
        self._delete(write.meta.object_name, write.meta.length)
        return WriteFailed(reason, write.requests)

    def _show(self, entry: SealedEntry, now: Millis) -> None:
        segment = entry.meta.segment
        self._entries.add(entry)
        self._keeper.record_use(make_hint(segment), now)
        self.log.add(make_hint(segment))

    def _delete_doomed(self, name: str) -> None:
        length = self._doomed.pop(name, None)
        if length is not None:
            self._delete(name, length)

    def _delete(self, name: str, length: int) -> None:
        self._used -= length
        self._name_deletions(name)

    def _name_deletions(self, name: str) -> None:
        self._deletions += [name + META_SUFFIX, name]

    def _make_room(self, meta: SealedMeta, now: Millis) -> WriteRefusal | None:
        if not 0 < meta.length <= self._limits.capacity_bytes:
            return WriteRefusal.FULL
        missing = self._used + meta.length - self._limits.capacity_bytes
        if missing <= 0:
            return None
        victims = self._evictor.choose(meta, missing, now)
        if isinstance(victims, WriteRefusal):
            return victims
        for segment in victims:
            self.free(segment)
        return None


def _has_ids(segment: SegmentId, digest: bytes) -> bool:
    return len(segment) == len(digest) == ID_BYTES
