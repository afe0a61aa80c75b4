"""Messages about segments of cached context."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import Millis


@dataclass(frozen=True, slots=True)
class SegmentEvents:
    """Report the cached segments that an agent added and removed.

    `first` is the number of the first event; a receiver that detects a gap
    requests the full list. Segments are hints, given as the first 8
    bytes of their digests.
    """

    first: int
    added: tuple[bytes, ...] = ()
    removed: tuple[bytes, ...] = ()
    full: bool = False


@dataclass(frozen=True, slots=True)
class SegmentListRequest:
    """Request the segment events from the number `after` on.

    The answer is the full list if those events are no longer stored, and
    always for -1.
    """

    after: int = -1


@dataclass(frozen=True, slots=True)
class SegmentRead:
    """Request sealed segments of a store; its agent pins each while sending."""

    request: str
    namespace: bytes
    segments: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class SegmentPart:
    """A part of one segment; `last` marks the final one."""

    request: str
    segment: bytes
    generation: int
    position: int
    data: bytes
    length: int
    digest: bytes
    last: bool = False


@dataclass(frozen=True, slots=True)
class SegmentMissing:
    """Report that a segment is absent, not sealed or was freed."""

    request: str
    segment: bytes


@dataclass(frozen=True, slots=True)
class SegmentWrite:
    """Offer a segment to a store's agent.

    The agent answers `SegmentWanted`, on which the parts follow as
    `SegmentPart`, or `SegmentWritten`. `depth` counts the segments that go
    precede this one in its prompt.
    """

    request: str
    namespace: bytes
    segment: bytes
    length: int
    digest: bytes
    expected_gap: Millis = 0.0
    depth: int = 0


@dataclass(frozen=True, slots=True)
class SegmentWanted:
    """Request the parts of an offered segment."""

    request: str
    segment: bytes


@dataclass(frozen=True, slots=True)
class SegmentWritten:
    """Report whether a segment is sealed in the store."""

    request: str
    segment: bytes
    sealed: bool
    detail: str = ''
