"""Compact index from segments to table rows."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Sequence

from oleanderdyke.kernel.blocks import HINT_BYTES, SegmentId

# Ids are digests and thus spread evenly, so each shard is a short sorted array.
_SHARD_BITS = 10
_SHIFT = 8 * HINT_BYTES - _SHARD_BITS


class SegmentRows:
    """Map the hint of a segment to the rows that may hold the segment.

    Segments may share a hint, so the caller has to compare the whole ids.
    Arrays are used as one object for each segment would take more memory.
    """

    def __init__(self) -> None:
        shards = range(1 << _SHARD_BITS)
        self._keys = [array('Q') for _ in shards]
        self._rows = [array('I') for _ in shards]

    def find(self, segment: SegmentId) -> Sequence[int]:
        """Return the rows of all segments with the same hint."""
        key = int.from_bytes(segment[:HINT_BYTES])
        shard = key >> _SHIFT
        keys = self._keys[shard]
        start = bisect_left(keys, key)
        return self._rows[shard][start : bisect_right(keys, key, start)]

    def add(self, segment: SegmentId, row: int) -> None:
        """Add a segment and its row."""
        key = int.from_bytes(segment[:HINT_BYTES])
        index = bisect_left(self._keys[key >> _SHIFT], key)
        self._keys[key >> _SHIFT].insert(index, key)
        self._rows[key >> _SHIFT].insert(index, row)

    def move(self, segment: SegmentId, old: int, new: int) -> None:
        """Change the row of a segment."""
        shard, index = self._locate(segment, old)
        self._rows[shard][index] = new

    def remove(self, segment: SegmentId, row: int) -> None:
        """Remove a segment and its row."""
        shard, index = self._locate(segment, row)
        del self._keys[shard][index]
        del self._rows[shard][index]

    def _locate(self, segment: SegmentId, row: int) -> tuple[int, int]:
        key = int.from_bytes(segment[:HINT_BYTES])
        shard = key >> _SHIFT
        start = bisect_left(self._keys[shard], key)
        return shard, self._rows[shard].index(row, start)
