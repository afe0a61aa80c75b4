"""Hold the sealed entries of a store for lookup and sampling."""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.blocks import HINT_BYTES, ID_BYTES, SegmentId
from oleanderdyke.kernel.demand import SegmentHint
from oleanderdyke.kernel.segment_places import SegmentPlaces
from oleanderdyke.kernel.shared_values import SharedValues
from oleanderdyke.kernel.store_meta import SealedMeta

_ODD_NAME = -1
_NUMBER_DIGITS = 18
_LENGTH_BITS = 48
_LENGTH_MASK = (1 << _LENGTH_BITS) - 1


@dataclass(frozen=True, slots=True)
class SealedEntry:
    """Pair a sealed object with its generation."""

    meta: SealedMeta
    generation: int


class Weighed(NamedTuple):
    """Hold what an entry's worth comes from and what breaks ties."""

    short: SegmentHint
    length: int
    gap: Millis
    depth: int
    generation: int


class SealedEntries:
    """Find entries by segment, and sample them without a scan.

    The fields stand in columns, since an object for each of many entries
    would take several times their memory. An entry has a place until another
    one is removed.
    """

    def __init__(self) -> None:
        self._places = SegmentPlaces()
        self._segments = bytearray()
        self._digests = bytearray()
        # Depths stand above the lengths, as one more column costs memory.
        self._sizes = array('Q')
        self._gaps = array('d')
        self._generations = array('Q')
        self._spaces = array('I')
        self._origins = array('I')
        self._numbers = array('q')
        self._known_spaces: SharedValues[bytes] = SharedValues()
        self._known_origins: SharedValues[str] = SharedValues()
        self._odd_names: dict[SegmentId, str] = {}

    def __len__(self) -> int:
        return len(self._sizes)

    def get(self, segment: SegmentId) -> SealedEntry | None:
        """Return the entry of a segment."""
        place = self._find(segment)
        return None if place is None else self.read(place)

    def read(self, place: int) -> SealedEntry:
        """Return the entry at a place."""
        segment = self._cut(self._segments, place)
        meta = SealedMeta(
            object_name=self._make_name(segment, place),
            namespace=self._known_spaces.get(self._spaces[place]),
            segment=segment,
            length=self._sizes[place] & _LENGTH_MASK,
            digest=self._cut(self._digests, place),
            gap=self._gaps[place],
            depth=self._sizes[place] >> _LENGTH_BITS,
        )
        return SealedEntry(meta, self._generations[place])

    def is_at(self, place: int, generation: int) -> bool:
        """Return whether the entry of a generation is at a place."""
        return place < len(self) and self._generations[place] == generation

    def read_worth(self, place: int) -> Weighed:
        """Return what decides about the entry at a place."""
        start = place * ID_BYTES
        size = self._sizes[place]
        return Weighed(
            bytes(self._segments[start : start + HINT_BYTES]),
            size & _LENGTH_MASK,
            self._gaps[place],
            size >> _LENGTH_BITS,
            self._generations[place],
        )

    def read_segment(self, place: int) -> SegmentId:
        """Return the segment at a place."""
        return self._cut(self._segments, place)

    def add(self, entry: SealedEntry) -> None:
        """Hold an entry whose segment has none."""
        meta = entry.meta
        self._places.add(meta.segment, len(self))
        origin, number = _split_name(meta)
        if number == _ODD_NAME:
            self._odd_names[meta.segment] = meta.object_name
        self._segments += meta.segment
        self._digests += meta.digest
        self._sizes.append(meta.depth << _LENGTH_BITS | meta.length)
        self._gaps.append(meta.gap)
        self._generations.append(entry.generation)
        self._spaces.append(self._known_spaces.take(meta.namespace))
        self._origins.append(self._known_origins.take(origin))
        self._numbers.append(number)

    def remove(self, segment: SegmentId) -> SealedEntry | None:
        """Return the entry of a segment after forgetting it."""
        place = self._find(segment)
        if place is None:
            return None
        entry = self.read(place)
        self._known_spaces.give_back(self._spaces[place])
        self._known_origins.give_back(self._origins[place])
        self._odd_names.pop(segment, None)
        self._places.remove(segment, place)
        self._fill(place, len(self) - 1)
        return entry

    def sample(self, random: Random, size: int) -> Sequence[int]:
        """Return about as many places, or all if there are fewer."""
        count = len(self)
        if count <= size:
            return range(count)
        return [int(random.random() * count) for _ in range(size)]

    def _find(self, segment: SegmentId) -> int | None:
        for place in self._places.find(segment):
            if self._cut(self._segments, place) == segment:
                return place
        return None

    def _make_name(self, segment: SegmentId, place: int) -> str:
        number = self._numbers[place]
        if number == _ODD_NAME:
            return self._odd_names[segment]
        origin = self._known_origins.get(self._origins[place])
        return f'{segment.hex()}-{origin}-{number}'

    def _fill(self, place: int, last: int) -> None:
        """Move the last entry to a place that became free."""
        if place != last:
            self._places.move(self._cut(self._segments, last), last, place)
        for data in (self._segments, self._digests):
            start = place * ID_BYTES
            data[start : start + ID_BYTES] = data[-ID_BYTES:]
            del data[-ID_BYTES:]
        self._gaps[place] = self._gaps[last]
        self._gaps.pop()
        for column in (
            self._sizes,
            self._generations,
            self._spaces,
            self._origins,
            self._numbers,
        ):
            column[place] = column[last]
            column.pop()

    def _cut(self, data: bytearray, place: int) -> bytes:
        return bytes(data[place * ID_BYTES : (place + 1) * ID_BYTES])


def _split_name(meta: SealedMeta) -> tuple[str, int]:
    """Split an object's name into what it was made of, if it was."""
    start = f'{meta.segment.hex()}-'
    origin, _, digits = meta.object_name.removeprefix(start).rpartition('-')
    number = int(digits) if _is_number(digits) else _ODD_NAME
    if f'{start}{origin}-{number}' != meta.object_name:
        return '', _ODD_NAME
    return origin, number


def _is_number(digits: str) -> bool:
    return digits.isdecimal() and len(digits) <= _NUMBER_DIGITS
