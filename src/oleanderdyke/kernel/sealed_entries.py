"""Hold the sealed entries of a store for lookup and sampling."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from oleanderdyke.kernel.blocks import SegmentId
from oleanderdyke.kernel.store_meta import SealedMeta


@dataclass(slots=True)
class SealedEntry:
    """Pair a sealed object with its generation."""

    meta: SealedMeta
    generation: int
    place: int = -1


class SealedEntries:
    """Find entries by segment, and sample them without a scan."""

    def __init__(self) -> None:
        self._by_segment: dict[SegmentId, SealedEntry] = {}
        self._dense: list[SealedEntry] = []

    def __len__(self) -> int:
        return len(self._dense)

    def get(self, segment: SegmentId) -> SealedEntry | None:
        """Return the entry of a segment."""
        return self._by_segment.get(segment)

    def add(self, entry: SealedEntry) -> None:
        """Hold an entry whose segment has none."""
        entry.place = len(self._dense)
        self._dense.append(entry)
        self._by_segment[entry.meta.segment] = entry

    def remove(self, segment: SegmentId) -> SealedEntry | None:
        """Return the entry of a segment after forgetting it."""
        entry = self._by_segment.pop(segment, None)
        if entry is None:
            return None
        last = self._dense.pop()
        if last is not entry:
            self._dense[entry.place] = last
            last.place = entry.place
        return entry

    def list_all(self) -> Sequence[SealedEntry]:
        """Return every entry."""
        return tuple(self._dense)

    def sample(self, random: Random, size: int) -> Sequence[SealedEntry]:
        """Return that many entries, or all if there are fewer."""
        if len(self._dense) <= size:
            return self.list_all()
        return random.sample(self._dense, size)
