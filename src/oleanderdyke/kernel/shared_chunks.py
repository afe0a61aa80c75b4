"""Encoded snapshot chunks, shared between concurrent readers."""

from __future__ import annotations

from collections.abc import Iterator
from weakref import ReferenceType, ref

from oleanderdyke.kernel.catalog import Catalog


class SharedChunks:
    """Encode the chunks of one snapshot on demand, each of them once.

    `through` is the log offset of the snapshot.
    """

    def __init__(self, through: int, source: Iterator[bytes]) -> None:
        self.through = through
        self._source = source
        self._chunks: list[bytes] = []

    def __iter__(self) -> Iterator[bytes]:
        index = 0
        while index < len(self._chunks) or self._encode_next():
            yield self._chunks[index]
            index += 1

    def _encode_next(self) -> bool:
        chunk = next(self._source, None)
        if chunk is None:
            return False
        self._chunks.append(chunk)
        return True


class SnapshotChunkCache:
    """Cache the chunks of the latest snapshot while a reader uses them."""

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._latest: ReferenceType[SharedChunks] | None = None

    def get(self) -> SharedChunks:
        """Return the cached chunks, or new ones if the offset has changed."""
        latest = None if self._latest is None else self._latest()
        if latest is not None and latest.through == self._catalog.offset:
            return latest
        source = self._catalog.iterate_snapshot()
        latest = SharedChunks(self._catalog.offset, source)
        self._latest = ref(latest)
        return latest
