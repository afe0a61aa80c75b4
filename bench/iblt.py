"""Reconcile two sets with a rate-compatible MET IBLT.

The design follows section V of the paper cited in
docs/decisions/0003-directory-repair.md. A cell takes 12 bytes: 2 for the
count, 2 for the checksum of the keys and 8 for their XOR.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

CELL_BYTES = 12
FIRST_CELLS = 50
_WORD_MASK = (1 << 64) - 1
_COUNT_MASK = (1 << 16) - 1
_KEY_TYPE_SHARES = (0.1959, 0.1904, 0.6137)
# Degrees by key type: one for each of cell types 1 to 4, one for all others.
_DEGREES = ((3, 1, 1, 1, 1), (4, 4, 4, 4, 5), (2, 1, 1, 1, 1))
_TYPE_SALT = 0x9E3779B97F4A7C15
_CHECK_SALT = 0xC2B2AE3D27D4EB4F
_INDEX_SALT = 0xD6E8FEB86659FD93
_MIX_SALT = 0xFF51AFD7ED558CCD


def _mix(value: int) -> int:
    value = (value ^ (value >> 33)) * _MIX_SALT & _WORD_MASK
    return value ^ (value >> 29)


def _check(key: int) -> int:
    return _mix(key ^ _CHECK_SALT) >> 48


def _choose_degrees(key: int) -> tuple[int, ...]:
    share = _mix(key ^ _TYPE_SALT) / (_WORD_MASK + 1)
    if share < _KEY_TYPE_SHARES[0]:
        return _DEGREES[0]
    if share < _KEY_TYPE_SHARES[0] + _KEY_TYPE_SHARES[1]:
        return _DEGREES[1]
    return _DEGREES[2]


def count_cells(levels: int) -> int:
    """Return the number of cells in the first `levels` cell types."""
    return FIRST_CELLS * ((1 << levels) - 1)


def list_cell_indexes(key: int, levels: int) -> Iterator[int]:
    """Yield the cell indexes of a key, by increasing cell type."""
    degrees = _choose_degrees(key)
    base, size = 0, FIRST_CELLS
    state = _mix(key ^ _INDEX_SALT)
    for level in range(levels):
        used: list[int] = []
        for _ in range(degrees[min(level, 4)]):
            state = _mix(state + _INDEX_SALT & _WORD_MASK)
            index = state % size
            while index in used:
                index = (index + 1) % size
            used.append(index)
            yield base + index
        base += size
        size *= 2


@dataclass(slots=True)
class Table:
    """The IBLT of one set with a given number of cell types."""

    levels: int
    counts: list[int] = field(init=False)
    checks: list[int] = field(init=False)
    keys: list[int] = field(init=False)

    def __post_init__(self) -> None:
        size = count_cells(self.levels)
        self.counts = [0] * size
        self.checks = [0] * size
        self.keys = [0] * size

    def insert(self, key: int) -> None:
        """Add a key to the set."""
        self._change(key, 1)

    def delete(self, key: int) -> None:
        """Remove a key from the set."""
        self._change(key, -1)

    def encode(self, start: int, end: int) -> bytes:
        """Encode the cells from `start` up to `end`."""
        return b''.join(
            (self.counts[index] & _COUNT_MASK).to_bytes(2, 'big')
            + self.checks[index].to_bytes(2, 'big')
            + self.keys[index].to_bytes(8, 'big')
            for index in range(start, end)
        )

    def _change(self, key: int, delta: int) -> None:
        check = _check(key)
        for index in list_cell_indexes(key, self.levels):
            self.counts[index] += delta
            self.checks[index] ^= check
            self.keys[index] ^= key


@dataclass(slots=True)
class Decoder:
    """Decode the set difference by peeling the cells received so far."""

    local: Table
    received: int = 0
    only_remote: set[int] = field(default_factory=set)
    only_local: set[int] = field(default_factory=set)
    _counts: list[int] = field(default_factory=list)
    _checks: list[int] = field(default_factory=list)
    _keys: list[int] = field(default_factory=list)
    _nonempty_cells: int = 0

    def take(self, data: bytes) -> bool:
        """Add the next cells; return whether the difference is complete."""
        start = self.received
        for offset in range(0, len(data), CELL_BYTES):
            self._append(data[offset : offset + CELL_BYTES])
        self.received = len(self._counts)
        self._nonempty_cells += sum(
            not self._is_empty(index) for index in range(start, self.received)
        )
        for key in self.only_remote:
            self._remove(key, 1, start)
        for key in self.only_local:
            self._remove(key, -1, start)
        self._peel(list(range(start, self.received)))
        return self._nonempty_cells == 0 and self.received >= FIRST_CELLS

    def _count_levels(self) -> int:
        # Smallest number of cell types that covers the received cells.
        return ((self.received + FIRST_CELLS - 1) // FIRST_CELLS).bit_length()

    def _append(self, cell: bytes) -> None:
        index = len(self._counts)
        count = int.from_bytes(cell[:2], 'big') - self.local.counts[index]
        # Counts are encoded modulo 2**16; differences stay far below 2**15.
        count = (count + (1 << 15) & _COUNT_MASK) - (1 << 15)
        check = int.from_bytes(cell[2:4], 'big') ^ self.local.checks[index]
        self._counts.append(count)
        self._checks.append(check)
        key = int.from_bytes(cell[4:], 'big') ^ self.local.keys[index]
        self._keys.append(key)

    def _is_empty(self, index: int) -> bool:
        return not (
            self._counts[index] or self._keys[index] or self._checks[index]
        )

    def _is_pure(self, index: int) -> bool:
        if abs(self._counts[index]) != 1:
            return False
        return _check(self._keys[index]) == self._checks[index]

    def _peel(self, queue: list[int]) -> None:
        while queue:
            index = queue.pop()
            if not self._is_pure(index):
                continue
            key, count = self._keys[index], self._counts[index]
            decoded = self.only_remote if count > 0 else self.only_local
            if key in decoded:
                continue
            decoded.add(key)
            queue.extend(self._remove(key, count, 0))

    def _remove(self, key: int, count: int, start: int) -> Iterable[int]:
        check = _check(key)
        changed = []
        for index in list_cell_indexes(key, self._count_levels()):
            if not start <= index < self.received:
                continue
            was_empty = self._is_empty(index)
            self._counts[index] -= count
            self._checks[index] ^= check
            self._keys[index] ^= key
            self._nonempty_cells += was_empty - self._is_empty(index)
            changed.append(index)
        return changed
