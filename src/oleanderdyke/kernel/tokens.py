"""Index token digests by a short prefix to find the teams they may belong to.

The key is the first 8 bytes of a digest. Callers must compare the full digest
with the digests of each team found.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right

_KEY_BYTES = 8
_SHARD_COUNT = 256


class _Shard:
    __slots__ = ('keys', 'names')

    def __init__(self) -> None:
        self.keys = array('Q')
        self.names: list[str] = []


class TokenIndex:
    """Map digests to team names in sorted shards, at about 20 bytes each."""

    def __init__(self) -> None:
        # Created on first write: the catalogs of most tests have no tokens.
        self._shards: list[_Shard | None] = [None] * _SHARD_COUNT

    def get(self, digest: bytes) -> tuple[str, ...]:
        """Return the names whose digests share the prefix of this digest."""
        shard, key = self._find(digest)
        if shard is None:
            return ()
        start = bisect_left(shard.keys, key)
        end = bisect_right(shard.keys, key, lo=start)
        return tuple(shard.names[start:end])

    def add(self, digest: bytes, name: str) -> None:
        """Add a digest under a name."""
        shard, key = self._find(digest)
        if shard is None:
            shard = self._shards[digest[0]] = _Shard()
        place = bisect_left(shard.keys, key)
        shard.keys.insert(place, key)
        shard.names.insert(place, name)

    def remove(self, digest: bytes, name: str) -> None:
        """Remove a digest from a name, if it is there."""
        names = self.get(digest)
        shard, key = self._find(digest)
        if shard is not None and name in names:
            place = bisect_left(shard.keys, key) + names.index(name)
            del shard.keys[place]
            del shard.names[place]

    def _find(self, digest: bytes) -> tuple[_Shard | None, int]:
        key = int.from_bytes(digest[:_KEY_BYTES])
        return self._shards[digest[0]], key
