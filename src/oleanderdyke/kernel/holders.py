"""Map many 8-byte keys to small sets of numbers, compactly.

The keys are spread evenly, so that each shard is a short sorted array: about
12 bytes for a key, and no long pause at any size.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Callable

_SHARD_BITS = 12
_SHARD_COUNT = 1 << _SHARD_BITS
_SHIFT = 64 - _SHARD_BITS
_FREE: tuple[int, ...] = ()


class _Groups:
    """Number the sets of holders, and reuse the numbers of unused ones."""

    def __init__(self) -> None:
        self._members: list[tuple[int, ...]] = [_FREE]
        self._uses: list[int] = [0]
        self._numbers: dict[tuple[int, ...], int] = {}
        self._unused: list[int] = []

    def get(self, number: int) -> tuple[int, ...]:
        """Return the holders of a group."""
        return self._members[number]

    def take(self, members: tuple[int, ...]) -> int:
        """Count one more use of a set and return its number."""
        number = self._numbers.get(members)
        if number is None:
            number = self._add(members)
        self._uses[number] += 1
        return number

    def give_back(self, number: int) -> None:
        """Count one use less."""
        self._uses[number] -= 1
        if not self._uses[number]:
            del self._numbers[self._members[number]]
            self._members[number] = _FREE
            self._unused.append(number)

    def _add(self, members: tuple[int, ...]) -> int:
        if not self._unused:
            self._members.append(_FREE)
            self._uses.append(0)
            self._unused.append(len(self._members) - 1)
        number = self._unused.pop()
        self._members[number] = members
        self._numbers[members] = number
        return number


class _Shard:
    """Hold a sorted part of the keys and the group of each."""

    __slots__ = ('groups', 'keys')

    def __init__(self) -> None:
        self.keys = array('Q')
        self.groups = array('I')

    def find(self, key: int) -> int:
        """Return the place of a key, or -1."""
        place = bisect_left(self.keys, key)
        if place < len(self.keys) and self.keys[place] == key:
            return place
        return -1


class HolderTable:
    """Keep which numbers hold which key."""

    def __init__(self) -> None:
        self._shards: list[_Shard | None] = [None] * _SHARD_COUNT
        self._groups = _Groups()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def get(self, key: int) -> tuple[int, ...]:
        """Return the holders of a key in rising order."""
        shard = self._shards[key >> _SHIFT]
        if shard is None:
            return _FREE
        place = shard.find(key)
        return _FREE if place < 0 else self._groups.get(shard.groups[place])

    def add(self, key: int, holder: int) -> None:
        """Add a holder to a key."""
        index = key >> _SHIFT
        shard = self._shards[index]
        if shard is None:
            shard = self._shards[index] = _Shard()
        place = shard.find(key)
        if place < 0:
            self._insert(shard, key, holder)
            return
        members = self._groups.get(shard.groups[place])
        if holder not in members:
            self._regroup(shard, place, tuple(sorted((*members, holder))))

    def remove(self, key: int, holder: int) -> None:
        """Remove a holder from a key."""
        shard = self._shards[key >> _SHIFT]
        place = -1 if shard is None else shard.find(key)
        if shard is None or place < 0:
            return
        members = self._groups.get(shard.groups[place])
        if holder in members:
            rest = tuple(item for item in members if item != holder)
            self._regroup(shard, place, rest)

    def sweep(self, index: int, lives: Callable[[int], bool]) -> None:
        """Drop the holders that no longer live from one shard."""
        shard = self._shards[index % _SHARD_COUNT]
        if shard is None:
            return
        for place in range(len(shard.keys) - 1, -1, -1):
            members = self._groups.get(shard.groups[place])
            if not all(map(lives, members)):
                self._regroup(shard, place, tuple(filter(lives, members)))

    def _insert(self, shard: _Shard, key: int, holder: int) -> None:
        place = bisect_left(shard.keys, key)
        shard.keys.insert(place, key)
        shard.groups.insert(place, self._groups.take((holder,)))
        self._count += 1

    def _regroup(
        self, shard: _Shard, place: int, members: tuple[int, ...]
    ) -> None:
        old = shard.groups[place]
        if members:
            shard.groups[place] = self._groups.take(members)
        else:
            del shard.keys[place]
            del shard.groups[place]
            self._count -= 1
        self._groups.give_back(old)


SHARD_COUNT = _SHARD_COUNT
