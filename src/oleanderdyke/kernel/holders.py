"""Compact map from 8-byte keys to small sets of holder numbers.

Keys are digests and thus spread evenly, so each shard is a short sorted array.
A key takes about 12 bytes, and an insertion is fast at any size.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Callable

_SHARD_BITS = 12
_SHARD_COUNT = 1 << _SHARD_BITS
_SHIFT = 64 - _SHARD_BITS
_NO_HOLDERS: tuple[int, ...] = ()


class _HolderSets:
    """Intern sets of holders under numbers, with use counts."""

    def __init__(self) -> None:
        self._members: list[tuple[int, ...]] = [_NO_HOLDERS]
        self._use_counts: list[int] = [0]
        self._numbers: dict[tuple[int, ...], int] = {}
        self._unused: list[int] = []

    def get(self, number: int) -> tuple[int, ...]:
        """Return the set with a number."""
        return self._members[number]

    def acquire(self, members: tuple[int, ...]) -> int:
        """Add a use of a set and return its number."""
        number = self._numbers.get(members)
        if number is None:
            number = self._add(members)
        self._use_counts[number] += 1
        return number

    def release(self, number: int) -> None:
        """Remove a use; drop the set after the last one."""
        self._use_counts[number] -= 1
        if not self._use_counts[number]:
            del self._numbers[self._members[number]]
            self._members[number] = _NO_HOLDERS
            self._unused.append(number)

    def _add(self, members: tuple[int, ...]) -> int:
        if not self._unused:
            self._members.append(_NO_HOLDERS)
            self._use_counts.append(0)
            self._unused.append(len(self._members) - 1)
        number = self._unused.pop()
        self._members[number] = members
        self._numbers[members] = number
        return number


class _Shard:
    """Hold a sorted range of keys, and the number of each one's set."""

    __slots__ = ('keys', 'set_numbers')

    def __init__(self) -> None:
        self.keys = array('Q')
        self.set_numbers = array('I')

    def find(self, key: int) -> int:
        """Return the position of a key, or -1."""
        position = bisect_left(self.keys, key)
        if position < len(self.keys) and self.keys[position] == key:
            return position
        return -1


class HolderTable:
    """Map each key to the set of its holders."""

    def __init__(self) -> None:
        self._shards: list[_Shard | None] = [None] * _SHARD_COUNT
        self._holder_sets = _HolderSets()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def get(self, key: int) -> tuple[int, ...]:
        """Return the holders of a key in ascending order."""
        shard = self._shards[key >> _SHIFT]
        if shard is None:
            return _NO_HOLDERS
        position = shard.find(key)
        return (
            _NO_HOLDERS
            if position < 0
            else self._holder_sets.get(shard.set_numbers[position])
        )

    def add(self, key: int, holder: int) -> None:
        """Add a holder to a key, which may be new."""
        index = key >> _SHIFT
        shard = self._shards[index]
        if shard is None:
            shard = self._shards[index] = _Shard()
        position = shard.find(key)
        if position < 0:
            self._insert(shard, key, holder)
            return
        members = self._holder_sets.get(shard.set_numbers[position])
        if holder not in members:
            self._replace_holders(
                shard, position, tuple(sorted((*members, holder)))
            )

    def remove(self, key: int, holder: int) -> None:
        """Remove a holder from a key, and the key after its last holder."""
        shard = self._shards[key >> _SHIFT]
        position = -1 if shard is None else shard.find(key)
        if shard is None or position < 0:
            return
        members = self._holder_sets.get(shard.set_numbers[position])
        if holder in members:
            rest = tuple(item for item in members if item != holder)
            self._replace_holders(shard, position, rest)

    def sweep(self, index: int, is_alive: Callable[[int], bool]) -> None:
        """Remove the holders from one shard that are not alive."""
        shard = self._shards[index % _SHARD_COUNT]
        if shard is None:
            return
        for position in range(len(shard.keys) - 1, -1, -1):
            members = self._holder_sets.get(shard.set_numbers[position])
            if not all(map(is_alive, members)):
                self._replace_holders(
                    shard, position, tuple(filter(is_alive, members))
                )

    def _insert(self, shard: _Shard, key: int, holder: int) -> None:
        position = bisect_left(shard.keys, key)
        shard.keys.insert(position, key)
        shard.set_numbers.insert(position, self._holder_sets.acquire((holder,)))
        self._count += 1

    def _replace_holders(
        self, shard: _Shard, position: int, members: tuple[int, ...]
    ) -> None:
        old = shard.set_numbers[position]
        if members:
            shard.set_numbers[position] = self._holder_sets.acquire(members)
        else:
            del shard.keys[position]
            del shard.set_numbers[position]
            self._count -= 1
        self._holder_sets.release(old)


SHARD_COUNT = _SHARD_COUNT
