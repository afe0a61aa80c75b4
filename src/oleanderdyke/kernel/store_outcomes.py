"""Define what a store's index answers."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.blocks import SegmentId


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
class PartAccepted:
    """Go on; the part is next in order."""


@dataclass(frozen=True, slots=True)
class PartIgnored:
    """Drop a part that belongs to no open write."""


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

    number: int
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
PartOutcome: TypeAlias = (
    PartAccepted | PartIgnored | WriteVerified | WriteFailed
)
