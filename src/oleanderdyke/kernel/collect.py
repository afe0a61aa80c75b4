"""Put the chunks of snapshots together, from the log and from peers."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.records import SnapshotChunk, decode_record
from oleanderdyke.kernel.snapshots import START_OFFSET, make_digest

_PARTIAL_SNAPSHOTS = 4


@dataclass(frozen=True, slots=True)
class KeptSnapshot:
    """Remember a whole snapshot that the log holds."""

    start: int
    through: int
    at: Millis


class SnapshotCollector:
    """Take the chunks of one snapshot in order, ignoring all others."""

    def __init__(self, through: int, start: int = START_OFFSET) -> None:
        self.through = through
        self.start = start
        self.chunks: list[bytes] = []
        self._next = 0
        self._digest = make_digest(through)

    def add(self, chunk: SnapshotChunk, data: bytes | None) -> bool:
        """Take the next chunk; tell whether the snapshot is whole."""
        if (chunk.through, chunk.index) != (self.through, self._next):
            return False
        self._next += 1
        self._digest.update(chunk.items)
        if data is not None:
            self.chunks.append(data)
        return chunk.last and self._digest.digest() == chunk.digest


class SnapshotWatch:
    """Notice the whole snapshots among the records of the log.

    Several processes may append theirs at once, or stop half-way: every first
    chunk opens a collector, and each collector takes what follows it.
    """

    def __init__(self) -> None:
        self.newest: KeptSnapshot | None = None
        self._collectors: list[SnapshotCollector] = []

    def see(
        self, offset: int, at: Millis, data: bytes, have: int
    ) -> tuple[bytes, ...]:
        """Take a record; return a snapshot that it completes.

        Only a snapshot that is ahead of the offset `have` is kept for this.
        """
        chunk = decode_record(data)
        if not isinstance(chunk, SnapshotChunk) or chunk.through >= offset:
            return ()
        if chunk.index == 0:
            self._open(offset, chunk.through)
        kept = data if chunk.through > have else None
        whole = [item for item in self._collectors if item.add(chunk, kept)]
        if not whole:
            return ()
        self._note(KeptSnapshot(whole[0].start, chunk.through, at))
        self._collectors = [
            item for item in self._collectors if item.through != chunk.through
        ]
        return tuple(whole[0].chunks)

    def _open(self, offset: int, through: int) -> None:
        self._collectors.append(SnapshotCollector(through, offset))
        del self._collectors[:-_PARTIAL_SNAPSHOTS]

    def _note(self, kept: KeptSnapshot) -> None:
        if self.newest is None or kept.start > self.newest.start:
            self.newest = kept
