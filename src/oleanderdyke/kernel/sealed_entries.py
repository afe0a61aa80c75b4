"""Compact table of the sealed entries of a store."""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.blocks import HINT_BYTES, ID_BYTES, SegmentId
from oleanderdyke.kernel.demand import SegmentHint
from oleanderdyke.kernel.interned_values import InternedValues
from oleanderdyke.kernel.segment_rows import SegmentRows
from oleanderdyke.kernel.store_meta import SealedMeta

_IRREGULAR_NAME = -1
_NUMBER_DIGITS = 18
_LENGTH_BITS = 48
_LENGTH_MASK = (1 << _LENGTH_BITS) - 1


@dataclass(frozen=True, slots=True)
class SealedEntry:
    """Hold a sealed object's record and its generation."""

    meta: SealedMeta
    generation: int


class RankingFields(NamedTuple):
    """Hold the fields by which entries are ranked for eviction."""

    hint: SegmentHint
    length: int
    gap: Millis
    depth: int
    generation: int


class SealedEntries:
    """Look up entries by segment, and sample them without a scan.

    Fields are stored in columns, as an object for each entry would take several
    times the memory. The removal of an entry moves the last one to its row.
    """

    def __init__(self) -> None:
        self._rows = SegmentRows()
        self._segments = bytearray()
        self._digests = bytearray()
        # The depth in the high bits and the length in the low ones, which saves
        # the memory of another column.
        self._sizes = array('Q')
        self._gaps = array('d')
        self._generations = array('Q')
        self._namespace_numbers = array('I')
        self._origin_numbers = array('I')
        self._numbers = array('q')
        self._namespaces: InternedValues[bytes] = InternedValues()
        self._origins: InternedValues[str] = InternedValues()
        self._irregular_names: dict[SegmentId, str] = {}

    def __len__(self) -> int:
        return len(self._sizes)

    def get(self, segment: SegmentId) -> SealedEntry | None:
        """Return the entry of a segment, None if there is none."""
        row = self._find(segment)
        return None if row is None else self.read(row)

    def read(self, row: int) -> SealedEntry:
        """Return the entry in a row."""
        segment = self._read_id(self._segments, row)
        meta = SealedMeta(
            object_name=self._make_name(segment, row),
            namespace=self._namespaces.get(self._namespace_numbers[row]),
            segment=segment,
            length=self._sizes[row] & _LENGTH_MASK,
            digest=self._read_id(self._digests, row),
            gap=self._gaps[row],
            depth=self._sizes[row] >> _LENGTH_BITS,
        )
        return SealedEntry(meta, self._generations[row])

    def has_generation(self, row: int, generation: int) -> bool:
        """Return whether a row exists and holds this generation."""
        return row < len(self) and self._generations[row] == generation

    def read_ranking(self, row: int) -> RankingFields:
        """Return the ranking fields of the entry in a row."""
        start = row * ID_BYTES
        size = self._sizes[row]
        return RankingFields(
            bytes(self._segments[start : start + HINT_BYTES]),
            size & _LENGTH_MASK,
            self._gaps[row],
            size >> _LENGTH_BITS,
            self._generations[row],
        )

    def read_segment(self, row: int) -> SegmentId:
        """Return the segment in a row."""
        return self._read_id(self._segments, row)

    def add(self, entry: SealedEntry) -> None:
        """Add an entry; its segment must not have one yet."""
        meta = entry.meta
        self._rows.add(meta.segment, len(self))
        origin, number = _split_name(meta)
        if number == _IRREGULAR_NAME:
            self._irregular_names[meta.segment] = meta.object_name
        self._segments += meta.segment
        self._digests += meta.digest
        self._sizes.append(meta.depth << _LENGTH_BITS | meta.length)
        self._gaps.append(meta.gap)
        self._generations.append(entry.generation)
        self._namespace_numbers.append(self._namespaces.acquire(meta.namespace))
        self._origin_numbers.append(self._origins.acquire(origin))
        self._numbers.append(number)

    def remove(self, segment: SegmentId) -> SealedEntry | None:
        """Remove the entry of a segment and return it, None if missing."""
        row = self._find(segment)
        if row is None:
            return None
        entry = self.read(row)
        self._namespaces.release(self._namespace_numbers[row])
        self._origins.release(self._origin_numbers[row])
        self._irregular_names.pop(segment, None)
        self._rows.remove(segment, row)
        self._move_entry(row, len(self) - 1)
        return entry

    def sample(self, random: Random, size: int) -> Sequence[int]:
        """Return `size` random rows, with repeats, or all if no more exist."""
        count = len(self)
        if count <= size:
            return range(count)
        return [int(random.random() * count) for _ in range(size)]

    def _find(self, segment: SegmentId) -> int | None:
        for row in self._rows.find(segment):
            if self._read_id(self._segments, row) == segment:
                return row
        return None

    def _make_name(self, segment: SegmentId, row: int) -> str:
        number = self._numbers[row]
        if number == _IRREGULAR_NAME:
            return self._irregular_names[segment]
        origin = self._origins.get(self._origin_numbers[row])
        return f'{segment.hex()}-{origin}-{number}'

    def _move_entry(self, row: int, last: int) -> None:
        """Move the last entry to the row of a removed one."""
        if row != last:
            self._rows.move(self._read_id(self._segments, last), last, row)
        for data in (self._segments, self._digests):
            start = row * ID_BYTES
            data[start : start + ID_BYTES] = data[-ID_BYTES:]
            del data[-ID_BYTES:]
        self._gaps[row] = self._gaps[last]
        self._gaps.pop()
        for column in (
            self._sizes,
            self._generations,
            self._namespace_numbers,
            self._origin_numbers,
            self._numbers,
        ):
            column[row] = column[last]
            column.pop()

    def _read_id(self, data: bytearray, row: int) -> bytes:
        return bytes(data[row * ID_BYTES : (row + 1) * ID_BYTES])


def _split_name(meta: SealedMeta) -> tuple[str, int]:
    """Split a generated object name into its origin and number.

    Names of any other form are stored as text, marked by `_IRREGULAR_NAME`.
    """
    start = f'{meta.segment.hex()}-'
    origin, _, digits = meta.object_name.removeprefix(start).rpartition('-')
    number = int(digits) if _is_number(digits) else _IRREGULAR_NAME
    if f'{start}{origin}-{number}' != meta.object_name:
        return '', _IRREGULAR_NAME
    return origin, number


def _is_number(digits: str) -> bool:
    return digits.isdecimal() and len(digits) <= _NUMBER_DIGITS
