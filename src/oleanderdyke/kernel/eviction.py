"""Choose the entries that make room for a better one."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.blocks import SegmentId, make_hint
from oleanderdyke.kernel.demand import RetentionPolicy
from oleanderdyke.kernel.pins import PinTable
from oleanderdyke.kernel.sealed_entries import SealedEntries
from oleanderdyke.kernel.store_meta import SealedMeta
from oleanderdyke.kernel.store_outcomes import WriteRefusal

# Up to so many entries all are ranked.
_FEW = 64
# The poorest of each sample are kept for the next choice, so that small samples
# find poor entries; they are weighed again before they go.
_SAMPLE = 16
_POOL = 8


class _Candidate(NamedTuple):
    """Rank an entry by its worth; of equals the deepest goes first.

    What lies behind a gap in a prompt is of no use. Of equally deep ones the
    oldest goes first.
    """

    worth: float
    height: int
    generation: int
    place: int
    length: int


class Evictor:
    """Rank unpinned entries by their worth per byte."""

    def __init__(
        self,
        entries: SealedEntries,
        pins: PinTable,
        keeper: RetentionPolicy,
        random: Random,
    ) -> None:
        self._entries = entries
        self._pins = pins
        self._keeper = keeper
        self._random = random
        self._pool: list[_Candidate] = []

    def choose(
        self, newcomer: SealedMeta, missing: int, now: Millis
    ) -> tuple[SegmentId, ...] | WriteRefusal:
        """Return whom to free for the missing bytes, or why nobody is."""
        own = self._keeper.estimate_value(
            make_hint(newcomer.segment), newcomer.length, newcomer.gap, now
        )
        ranked = self._rank(missing, now)
        count = 0
        while missing > 0:
            if count == len(ranked):
                return WriteRefusal.FULL
            self._renew(ranked, count, now)
            if ranked[count].worth >= own:
                return WriteRefusal.NOT_WORTH_IT
            missing -= ranked[count].length
            count += 1
        self._pool = ranked[count : count + _POOL]
        return tuple(
            self._entries.read_segment(each.place) for each in ranked[:count]
        )

    def _rank(self, missing: int, now: Millis) -> list[_Candidate]:
        found = self._sample(now)
        if sum(each.length for each in found) < missing:
            found = self._weigh(range(len(self._entries)), now)
        found.sort()
        return found

    def _sample(self, now: Millis) -> list[_Candidate]:
        if len(self._entries) <= _FEW:
            return self._weigh(range(len(self._entries)), now)
        known = [each for each in self._pool if self._is_left(each)]
        places = set(self._entries.sample(self._random, _SAMPLE))
        places.difference_update(each.place for each in known)
        return known + self._weigh(places, now)

    def _is_left(self, known: _Candidate) -> bool:
        if not self._entries.is_at(known.place, known.generation):
            return False
        return not self._pins.is_pinned(known.generation)

    def _renew(self, ranked: list[_Candidate], place: int, now: Millis) -> None:
        """Let the next one be poorest by its present worth."""
        while True:
            (renewed,) = self._weigh((ranked[place].place,), now)
            if renewed.worth <= ranked[place].worth:
                return
            del ranked[place]
            insort(ranked, renewed, lo=place)

    def _weigh(self, places: Iterable[int], now: Millis) -> list[_Candidate]:
        found = []
        for place in places:
            read = self._entries.read_worth(place)
            if self._pins.is_pinned(read.generation):
                continue
            worth = self._keeper.estimate_value(
                read.short, read.length, read.gap, now
            )
            found.append(
                _Candidate(
                    worth, -read.depth, read.generation, place, read.length
                )
            )
        return found
