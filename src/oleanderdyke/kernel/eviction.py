"""Eviction of the least valuable entries of a store."""

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

# Up to this many entries, all are ranked instead of a sample.
_FULL_SCAN_LIMIT = 64
# Entries ranked per sample, and the lowest of them that are kept as candidates
# for the next choice, so that small samples find entries of low value. They are
# scored again before eviction.
_SAMPLE_SIZE = 16
_POOL_SIZE = 8


class _Candidate(NamedTuple):
    """Hold the rank of an entry; the lowest tuple is evicted first.

    Of equal scores the deepest segment goes first, as segments behind a gap in
    a prompt can't be used; of equal depths the oldest entry.
    """

    score: float
    negative_depth: int
    generation: int
    row: int
    length: int


class Evictor:
    """Rank unpinned entries by their value per byte."""

    def __init__(
        self,
        entries: SealedEntries,
        pins: PinTable,
        retention_policy: RetentionPolicy,
        random: Random,
    ) -> None:
        self._entries = entries
        self._pins = pins
        self._retention_policy = retention_policy
        self._random = random
        self._pool: list[_Candidate] = []

    def choose(
        self, incoming: SealedMeta, needed_bytes: int, now: Millis
    ) -> tuple[SegmentId, ...] | WriteRefusal:
        """Return the segments to free for `incoming`, or why it is refused."""
        incoming_score = self._retention_policy.estimate_value(
            make_hint(incoming.segment), incoming.length, incoming.gap, now
        )
        ranked = self._rank(needed_bytes, now)
        count = 0
        while needed_bytes > 0:
            if count == len(ranked):
                return WriteRefusal.FULL
            self._rescore(ranked, count, now)
            if ranked[count].score >= incoming_score:
                return WriteRefusal.NOT_WORTH_IT
            needed_bytes -= ranked[count].length
            count += 1
        self._pool = ranked[count : count + _POOL_SIZE]
        return tuple(
            self._entries.read_segment(each.row) for each in ranked[:count]
        )

    def _rank(self, needed_bytes: int, now: Millis) -> list[_Candidate]:
        found = self._sample(now)
        if sum(each.length for each in found) < needed_bytes:
            found = self._score_rows(range(len(self._entries)), now)
        found.sort()
        return found

    def _sample(self, now: Millis) -> list[_Candidate]:
        if len(self._entries) <= _FULL_SCAN_LIMIT:
            return self._score_rows(range(len(self._entries)), now)
        pooled = [each for each in self._pool if self._is_evictable(each)]
        rows = set(self._entries.sample(self._random, _SAMPLE_SIZE))
        rows.difference_update(each.row for each in pooled)
        return pooled + self._score_rows(rows, now)

    def _is_evictable(self, entry: _Candidate) -> bool:
        if not self._entries.has_generation(entry.row, entry.generation):
            return False
        return not self._pins.is_pinned(entry.generation)

    def _rescore(
        self, ranked: list[_Candidate], index: int, now: Millis
    ) -> None:
        """Move entries whose score has risen until the next is up to date."""
        while True:
            (rescored,) = self._score_rows((ranked[index].row,), now)
            if rescored.score <= ranked[index].score:
                return
            del ranked[index]
            insort(ranked, rescored, lo=index)

    def _score_rows(self, rows: Iterable[int], now: Millis) -> list[_Candidate]:
        found = []
        for row in rows:
            read = self._entries.read_ranking(row)
            if self._pins.is_pinned(read.generation):
                continue
            score = self._retention_policy.estimate_value(
                read.hint, read.length, read.gap, now
            )
            found.append(
                _Candidate(
                    score, -read.depth, read.generation, row, read.length
                )
            )
        return found
