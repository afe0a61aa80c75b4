"""Outcomes of the operations on a store's index."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.blocks import SegmentId


class WriteRefusal(enum.StrEnum):
    """Name the reason for which a write failed."""

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
    """Name the reason for which a read was refused, for the log only."""

    MISSING = 'missing'
    NAMESPACE = 'namespace'
    BUSY = 'busy'


@dataclass(frozen=True, slots=True)
class WriteBegun:
    """Report an open write, and the name of its object in the store."""

    object_name: str


@dataclass(frozen=True, slots=True)
class WriteJoined:
    """Report that the request joined an open write of the same segment."""


@dataclass(frozen=True, slots=True)
class WritePresent:
    """Report that the segment is sealed already; answer at once."""


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """Report a failed write and the requests to answer."""

    reason: WriteRefusal
    requests: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PartAccepted:
    """Report that the part was added and more have to follow."""


@dataclass(frozen=True, slots=True)
class PartIgnored:
    """Report that the part belongs to no open write and was dropped."""


@dataclass(frozen=True, slots=True)
class WriteVerified:
    """Report that all parts are verified.

    The caller stores the object, then the meta record under `meta_name`, and
    then seals the write.
    """

    meta_name: str
    meta: bytes


@dataclass(frozen=True, slots=True)
class WriteSealed:
    """Report a segment that can be read now and the requests to answer."""

    requests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Pinned:
    """Permit one reader to copy an object until a given time."""

    number: int
    segment: SegmentId
    generation: int
    object_name: str
    length: int
    digest: bytes
    until: Millis


@dataclass(frozen=True, slots=True)
class ReadRefused:
    """Report a refused read; the reader is told that nothing was found."""

    reason: ReadRefusal


BeginOutcome: TypeAlias = WriteBegun | WriteJoined | WritePresent | WriteFailed
PartOutcome: TypeAlias = (
    PartAccepted | PartIgnored | WriteVerified | WriteFailed
)
