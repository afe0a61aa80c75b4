"""Put the chunks of snapshots together that the log holds."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.records import SnapshotChunk, decode_record
from oleanderdyke.kernel.snapshots import (
    LoadedSnapshot,
    SnapshotLoader,
    make_digest,
)

_PARTIAL_SNAPSHOTS = 4


@dataclass(frozen=True, slots=True)
class CompleteSnapshot:
    """Remember a whole snapshot that the log holds."""

    start: int
    through: int
    at: Millis


class _Collector:
    """Follow the chunks of one snapshot; load them only where wanted."""

    def __init__(self, through: int, start: int, *, wanted: bool) -> None:
        self.through = through
        self.start = start
        self.loader = SnapshotLoader(through) if wanted else None
        self._next = 0
        self._digest = make_digest(through)

    def add(self, chunk: SnapshotChunk) -> bool:
        """Take the next chunk; tell whether the snapshot is whole."""
        if (chunk.through, chunk.index) != (self.through, self._next):
            return False
        self._next += 1
        self._digest.update(chunk.items)
        if self.loader is not None:
            self.loader.add(chunk)
        return chunk.last and self._digest.digest() == chunk.digest


class SnapshotDetector:
    """Notice the whole snapshots among the records of the log.

    Several processes may append theirs at once, or stop half-way: every first
    chunk opens a collector, and each collector takes what follows it.
    """

    def __init__(self) -> None:
        self.newest: CompleteSnapshot | None = None
        self._collectors: list[_Collector] = []

    def add(
        self, offset: int, at: Millis, data: bytes, have: int
    ) -> LoadedSnapshot | None:
        """Take a record; return a snapshot that it completes.

        Only a snapshot that is ahead of the offset `have` is loaded for this.
        """
        chunk = decode_record(data)
        if not isinstance(chunk, SnapshotChunk) or chunk.through >= offset:
            return None
        if chunk.index == 0:
            self._open(offset, chunk.through, wanted=chunk.through > have)
        whole = [item for item in self._collectors if item.add(chunk)]
        if not whole:
            return None
        self._keep_newest(CompleteSnapshot(whole[0].start, chunk.through, at))
        self._collectors = [
            item for item in self._collectors if item.through != chunk.through
        ]
        loader = whole[0].loader
        return None if loader is None else loader.loaded

    def _open(self, offset: int, through: int, *, wanted: bool) -> None:
        self._collectors.append(_Collector(through, offset, wanted=wanted))
        del self._collectors[:-_PARTIAL_SNAPSHOTS]

    def _keep_newest(self, kept: CompleteSnapshot) -> None:
        if self.newest is None or kept.start > self.newest.start:
            self.newest = kept
