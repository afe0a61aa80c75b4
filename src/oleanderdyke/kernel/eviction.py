"""Choose the entries that make room for a better one."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.blocks import SegmentId, hint
from oleanderdyke.kernel.demand import Keeper
from oleanderdyke.kernel.pins import PinTable
from oleanderdyke.kernel.sealed_entries import SealedEntries, SealedEntry
from oleanderdyke.kernel.store_meta import SealedMeta
from oleanderdyke.kernel.store_outcomes import WriteRefusal

# Enough to find a poor entry among many without looking at all of them.
_SAMPLE = 64


@dataclass(frozen=True, slots=True)
class Evictor:
    """Rank unpinned entries by their worth per byte."""

    entries: SealedEntries
    pins: PinTable
    keeper: Keeper
    random: Random

    def choose(
        self, newcomer: SealedMeta, missing: int, now: Millis
    ) -> tuple[SegmentId, ...] | WriteRefusal:
        """Return whom to free for the missing bytes, or why nobody is."""
        own = self._weigh(newcomer, now)
        victims = []
        for entry in self._rank(missing, now):
            if missing <= 0:
                break
            if self._weigh(entry.meta, now) >= own:
                return WriteRefusal.NOT_WORTH_IT
            missing -= entry.meta.length
            victims.append(entry.meta.segment)
        return WriteRefusal.FULL if missing > 0 else tuple(victims)

    def _rank(self, missing: int, now: Millis) -> Sequence[SealedEntry]:
        found = self._skip_pinned(self.entries.sample(self.random, _SAMPLE))
        if sum(each.meta.length for each in found) < missing:
            found = self._skip_pinned(self.entries.list_all())
        return sorted(
            found,
            key=lambda each: (self._weigh(each.meta, now), each.generation),
        )

    def _skip_pinned(self, entries: Iterable[SealedEntry]) -> list[SealedEntry]:
        return [
            each
            for each in entries
            if not self.pins.is_pinned(each.meta.object_name)
        ]

    def _weigh(self, meta: SealedMeta, now: Millis) -> float:
        return self.keeper.worth(hint(meta.segment), meta.length, meta.gap, now)
