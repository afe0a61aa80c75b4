"""Encode a snapshot once for all who read it at the same time."""

from __future__ import annotations

from collections.abc import Iterator
from weakref import ReferenceType, ref

from oleanderdyke.kernel.catalog import Catalog


class SharedChunks:
    """Hold the chunks of one snapshot that were encoded so far."""

    def __init__(self, through: int, source: Iterator[bytes]) -> None:
        self.through = through
        self._source = source
        self._chunks: list[bytes] = []

    def __iter__(self) -> Iterator[bytes]:
        place = 0
        while place < len(self._chunks) or self._encode():
            yield self._chunks[place]
            place += 1

    def _encode(self) -> bool:
        chunk = next(self._source, None)
        if chunk is None:
            return False
        self._chunks.append(chunk)
        return True


class SnapshotChunkCache:
    """Give the chunks of the present snapshot; kept only while in use."""

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._latest: ReferenceType[SharedChunks] | None = None

    def get(self) -> SharedChunks:
        """Return what others read already, if it is of the same offset."""
        latest = None if self._latest is None else self._latest()
        if latest is not None and latest.through == self._catalog.offset:
            return latest
        source = self._catalog.iterate_snapshot()
        latest = SharedChunks(self._catalog.offset, source)
        self._latest = ref(latest)
        return latest
