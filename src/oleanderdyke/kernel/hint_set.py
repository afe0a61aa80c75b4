"""Compact set of 8-byte segment hints."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterator

from oleanderdyke.kernel.demand import SegmentHint

# Hints are spread evenly, so each shard is a short sorted array.
_SHARD_BITS = 10
_HINT_BYTES = 8
_SHIFT = 8 * _HINT_BYTES - _SHARD_BITS


class HintSet:
    """Set of hints that takes 8 bytes for each."""

    def __init__(self) -> None:
        self._shards = [array('Q') for _ in range(1 << _SHARD_BITS)]
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, hint: SegmentHint) -> bool:
        key = int.from_bytes(hint)
        shard = self._shards[key >> _SHIFT]
        position = bisect_left(shard, key)
        return position < len(shard) and shard[position] == key

    def __iter__(self) -> Iterator[SegmentHint]:
        for shard in self._shards:
            for key in shard:
                yield key.to_bytes(_HINT_BYTES)

    def add(self, hint: SegmentHint) -> bool:
        """Add a hint; return whether it is new."""
        key = int.from_bytes(hint)
        shard = self._shards[key >> _SHIFT]
        position = bisect_left(shard, key)
        if position < len(shard) and shard[position] == key:
            return False
        shard.insert(position, key)
        self._count += 1
        return True

    def discard(self, hint: SegmentHint) -> bool:
        """Remove a hint; return whether it was present."""
        key = int.from_bytes(hint)
        shard = self._shards[key >> _SHIFT]
        position = bisect_left(shard, key)
        if position == len(shard) or shard[position] != key:
            return False
        del shard[position]
        self._count -= 1
        return True
