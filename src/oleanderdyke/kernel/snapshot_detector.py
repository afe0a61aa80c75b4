"""Detection of complete snapshots in the log."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.records import SnapshotChunk, decode_record
from oleanderdyke.kernel.snapshots import (
    LoadedSnapshot,
    SnapshotLoader,
    make_digest,
)

_MAX_PARTIAL_SNAPSHOTS = 4


@dataclass(frozen=True, slots=True)
class CompleteSnapshot:
    """Describe a complete snapshot in the log.

    `start` is the offset of its first chunk, `through` the last offset that it
    includes, `at` the time of its last record.
    """

    start: int
    through: int
    at: Millis


class _Collector:
    """Collect the chunks of one snapshot; load them if asked to."""

    def __init__(self, through: int, start: int, *, should_load: bool) -> None:
        self.through = through
        self.start = start
        self.loader = SnapshotLoader(through) if should_load else None
        self._next = 0
        self._digest = make_digest(through)

    def add(self, chunk: SnapshotChunk) -> bool:
        """Add the next chunk; return whether the snapshot is complete."""
        if (chunk.through, chunk.index) != (self.through, self._next):
            return False
        self._next += 1
        self._digest.update(chunk.items)
        if self.loader is not None:
            self.loader.add(chunk)
        return chunk.last and self._digest.digest() == chunk.digest


class SnapshotDetector:
    """Detect complete snapshots among the records of the log.

    Several processes may append snapshots at once, or stop before the end. Each
    first chunk starts a collector, which takes the chunks that follow in order.
    """

    def __init__(self) -> None:
        self.newest: CompleteSnapshot | None = None
        self._collectors: list[_Collector] = []

    def add(
        self, offset: int, at: Millis, data: bytes, loaded_offset: int
    ) -> LoadedSnapshot | None:
        """Process a record; return the loaded snapshot that it completes.

        Only snapshots beyond `loaded_offset` are loaded.
        """
        chunk = decode_record(data)
        if not isinstance(chunk, SnapshotChunk) or chunk.through >= offset:
            return None
        if chunk.index == 0:
            self._open(
                offset, chunk.through, should_load=chunk.through > loaded_offset
            )
        complete = [
            collector for collector in self._collectors if collector.add(chunk)
        ]
        if not complete:
            return None
        self._update_newest(
            CompleteSnapshot(complete[0].start, chunk.through, at)
        )
        self._collectors = [
            collector
            for collector in self._collectors
            if collector.through != chunk.through
        ]
        loader = complete[0].loader
        return None if loader is None else loader.loaded

    def _open(self, offset: int, through: int, *, should_load: bool) -> None:
        self._collectors.append(
            _Collector(through, offset, should_load=should_load)
        )
        del self._collectors[:-_MAX_PARTIAL_SNAPSHOTS]

    def _update_newest(self, snapshot: CompleteSnapshot) -> None:
        if self.newest is None or snapshot.start > self.newest.start:
            self.newest = snapshot
