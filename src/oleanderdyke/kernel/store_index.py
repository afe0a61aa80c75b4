"""Track which kept segments of a store are whole and may be read."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random
from typing import TypeAlias

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.blocks import Namespace, SegmentId
from oleanderdyke.kernel.demand import Keeper
from oleanderdyke.kernel.segment_log import SegmentLog
from oleanderdyke.links.messages import SegmentPart, SegmentWrite


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Bound what a store's index holds."""

    capacity_bytes: int
    write_time: Millis = 30 * SECOND
    pin_time: Millis = 30 * SECOND
    pins: int = 1_024
    writes: int = 64


class WriteRefusal(enum.StrEnum):
    """Say why a write left nothing visible."""

    FULL = 'full'
    BUSY = 'busy'
    NOT_WORTH_IT = 'not_worth_it'
    NAMESPACE = 'namespace'
    LENGTH = 'length'
    ORDER = 'order'
    DIGEST = 'digest'
    UNKNOWN = 'unknown'
    TIMEOUT = 'timeout'
    STORE_FULL = 'store_full'
    STORE_FAILED = 'store_failed'
    STOPPED = 'stopped'


class ReadRefusal(enum.StrEnum):
    """Say, for the log only, why a read found nothing."""

    MISSING = 'missing'
    NAMESPACE = 'namespace'
    BUSY = 'busy'


@dataclass(frozen=True, slots=True)
class SealedMeta:
    """Describe a whole object; stored beside it once it is verified."""

    object_name: str
    namespace: Namespace
    segment: SegmentId
    length: int
    digest: bytes
    gap: Millis = 0.0


@dataclass(frozen=True, slots=True)
class WriteBegun:
    """Let the parts come; the object gets this name in the store."""

    object_name: str


@dataclass(frozen=True, slots=True)
class WriteJoined:
    """Wait for the same segment's write that is under way."""


@dataclass(frozen=True, slots=True)
class WritePresent:
    """Answer at once; the segment is sealed already."""


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """Answer every request that waited; nothing is visible."""

    reason: WriteRefusal
    requests: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PartTaken:
    """Go on; the part is next in order."""


@dataclass(frozen=True, slots=True)
class WriteVerified:
    """Store the object, then the meta record under `meta_name`, then seal."""

    meta_name: str
    meta: bytes


@dataclass(frozen=True, slots=True)
class WriteSealed:
    """Answer every request that waited; the segment is visible."""

    requests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Pinned:
    """Allow one reader to copy an object for a bounded time."""

    segment: SegmentId
    generation: int
    object_name: str
    length: int
    digest: bytes
    until: Millis


@dataclass(frozen=True, slots=True)
class ReadRefused:
    """Answer that the segment is missing, whatever the reason."""

    reason: ReadRefusal


BeginOutcome: TypeAlias = WriteBegun | WriteJoined | WritePresent | WriteFailed
PartOutcome: TypeAlias = PartTaken | WriteVerified | WriteFailed


def encode_meta(meta: SealedMeta) -> bytes:
    """Return the stored form of a meta record."""
    raise NotImplementedError


def decode_meta(data: bytes) -> SealedMeta | None:
    """Read a stored meta record; None unless it is whole."""
    raise NotImplementedError


class StoreIndex:
    """Decide what a store's agent may write, show, read and delete.

    The shell stores a write's object, then its meta record, then calls
    `seal`; it deletes what `take_deletions` names, in that order, before it
    stores anything new.
    """

    def __init__(
        self,
        limits: StoreLimits,
        keeper: Keeper,
        incarnation: str,
        random: Random,
    ) -> None:
        self._limits = limits
        self._keeper = keeper
        self._incarnation = incarnation
        self._random = random
        self.log = SegmentLog()

    @property
    def used_bytes(self) -> int:
        """Return the bytes of sealed objects and of writes under way."""
        raise NotImplementedError

    def begin(self, write: SegmentWrite, now: Millis) -> BeginOutcome:
        """Open a write, or say why not."""
        raise NotImplementedError

    def add_part(self, part: SegmentPart, now: Millis) -> PartOutcome:
        """Check the next part of the write that its request opened."""
        raise NotImplementedError

    def seal(
        self, request: str, segment: SegmentId, now: Millis
    ) -> WriteSealed | WriteFailed:
        """Make a verified and stored segment visible."""
        raise NotImplementedError

    def abort(
        self, request: str, segment: SegmentId, reason: WriteRefusal
    ) -> WriteFailed:
        """Give up a write; also when the store is full or has failed."""
        raise NotImplementedError

    def pin(
        self, namespace: Namespace, segment: SegmentId, now: Millis
    ) -> Pinned | ReadRefused:
        """Let one reader copy a segment; each pin needs one `unpin`."""
        raise NotImplementedError

    def holds(self, pinned: Pinned, now: Millis) -> bool:
        """Tell, after the copy, whether the copied bytes may be used."""
        raise NotImplementedError

    def unpin(self, pinned: Pinned) -> None:
        """End a reader's copy."""
        raise NotImplementedError

    def free(self, segment: SegmentId) -> None:
        """Hide a segment at once; delete its object when no pin is left."""
        raise NotImplementedError

    def free_broken(self, pinned: Pinned) -> None:
        """Free the entry whose bytes failed verification, if still there."""
        raise NotImplementedError

    def expire(self, now: Millis) -> tuple[WriteFailed, ...]:
        """End writes and pins whose time is over."""
        raise NotImplementedError

    def take_deletions(self) -> tuple[str, ...]:
        """Return the names to delete from the store, meta records first."""
        raise NotImplementedError

    def readmit(
        self, meta_name: str, meta: bytes, stored: int | None, now: Millis
    ) -> bool:
        """Show an object of an earlier incarnation if its record matches.

        `stored` is the object's length in the store's list. Both objects are
        named for deletion otherwise.
        """
        raise NotImplementedError
