"""Define the messages about segments of cached context."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import Millis


@dataclass(frozen=True, slots=True)
class SegmentEvents:
    """Tell which cached segments an agent gained and lost.

    `first` numbers the first event; a receiver that sees a gap asks for the
    full list. Segments are hints: first 8 bytes of the segment's digest.
    """

    first: int
    added: tuple[bytes, ...] = ()
    removed: tuple[bytes, ...] = ()
    full: bool = False


@dataclass(frozen=True, slots=True)
class SegmentListRequest:
    """Ask for the segment events from the number `after` on.

    The answer is the full list where those events are no longer kept, and
    always for -1.
    """

    after: int = -1


@dataclass(frozen=True, slots=True)
class SegmentRead:
    """Ask a store's agent for sealed segments; it pins each while sending."""

    request: str
    namespace: bytes
    segments: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class SegmentPart:
    """Carry a part of one segment; the last part closes it."""

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
    """A segment is not here, not sealed, or was freed."""

    request: str
    segment: bytes


@dataclass(frozen=True, slots=True)
class SegmentWrite:
    """Offer a segment to a store's agent.

    The agent answers `SegmentWanted`, on which the parts follow as
    `SegmentPart`, or `SegmentWritten`. `depth` counts the segments that go
    before this one in its prompt.
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
    """Ask for the parts of an offered segment."""

    request: str
    segment: bytes


@dataclass(frozen=True, slots=True)
class SegmentWritten:
    """Tell whether a segment is sealed in the store."""

    request: str
    segment: bytes
    sealed: bool
    detail: str = ''
