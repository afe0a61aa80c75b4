"""Which version of the software began each stream that may be taken up."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

from oleanderdyke.clock import MINUTE, SECOND, Millis

DIGEST_BYTES = 8
# Bounds the memory, about 200 bytes a stream.
_MAX_STREAMS = 100_000
# Callers name how long they wait; a far larger value is an error.
_MAX_LIFETIME: Millis = 5 * MINUTE
_PURGE_PERIOD: Millis = 1 * SECOND


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service, and the version of its software, that began a stream."""

    service: str
    software: str


@dataclass(frozen=True, slots=True)
class StreamStart:
    """A stream that has begun; its caller may take it up until `until`."""

    digest: bytes
    origin: StreamOrigin
    until: Millis


@dataclass(slots=True)
class _Known:
    """`origin` is None if two streams of different origins have one name."""

    start: StreamStart
    origin: StreamOrigin | None
    is_own: bool


def hash_stream(team: str, request: str) -> bytes:
    """Name a stream by its team and the id that its caller gave it.

    Callers choose the ids, so that of one team must not tell of another's.
    """
    name = f'{team}\0{request}'.encode()
    return hashlib.blake2b(name, digest_size=DIGEST_BYTES).digest()


class StreamOrigins:
    """Keep the origins of streams that began here or at other entries."""

    def __init__(self, *, limit: int = _MAX_STREAMS) -> None:
        self._limit = limit
        self._known: dict[bytes, _Known] = {}
        self._purged_at: Millis = 0.0

    def __len__(self) -> int:
        """Return the number of streams, also of some that have ended."""
        return len(self._known)

    def find(self, digest: bytes, now: Millis) -> StreamOrigin | None:
        """Return the origin of a stream, None if it isn't known for certain."""
        known = self._known.get(digest)
        if known is None or known.start.until <= now:
            return None
        return known.origin

    def record(
        self, start: StreamStart, now: Millis, *, is_own: bool = False
    ) -> bool:
        """Record the start of a stream; return whether that is new."""
        if not start.digest or start.until <= now:
            return False
        start = StreamStart(
            start.digest, start.origin, min(start.until, now + _MAX_LIFETIME)
        )
        known = self._known.get(start.digest)
        if known is None or known.start.until <= now:
            self._add(_Known(start, start.origin, is_own), now)
            return True
        known.is_own = known.is_own or is_own
        if known.origin in {None, start.origin}:
            return False
        known.origin = None
        # Others have to learn that the name is ambiguous.
        known.start = start
        return True

    def list_live(
        self, now: Millis, *, is_own: bool = False
    ) -> Iterator[StreamStart]:
        """Yield the streams that may be taken up, or only those of here."""
        for known in self._known.values():
            if known.origin is None or (is_own and not known.is_own):
                continue
            if known.start.until > now:
                yield known.start

    def _add(self, known: _Known, now: Millis) -> None:
        if now - self._purged_at > _PURGE_PERIOD:
            self._purge(now)
        while len(self._known) >= self._limit:
            del self._known[next(iter(self._known))]
        self._known.pop(known.start.digest, None)
        self._known[known.start.digest] = known

    def _purge(self, now: Millis) -> None:
        self._purged_at = now
        ended = [
            digest
            for digest, known in self._known.items()
            if known.start.until <= now
        ]
        for digest in ended:
            del self._known[digest]
