"""Hold cached segments in engines and stores."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.demand import RetentionPolicy, SegmentHint

Notify: TypeAlias = Callable[
    [Sequence[SegmentHint], Sequence[SegmentHint]], None
]
_SAMPLE = 32


def _ignore(
    added: Sequence[SegmentHint], removed: Sequence[SegmentHint]
) -> None:
    return None


class EngineCache:
    """Keep the segments used last, as engines do."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._kept: OrderedDict[SegmentHint, None] = OrderedDict()
        self.notify: Notify = _ignore

    def __contains__(self, segment: SegmentHint) -> bool:
        return segment in self._kept

    def count_leading(
        self, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the segments from `start` on that are kept in a row."""
        return count_leading(self._kept, segments, start)

    def use(self, segments: Sequence[SegmentHint]) -> None:
        """Keep segments as used now, the first of them as the last to go."""
        added = [each for each in segments if each not in self._kept]
        for segment in reversed(segments):
            self._kept[segment] = None
            self._kept.move_to_end(segment)
        removed = []
        while len(self._kept) > self._limit:
            removed.append(self._kept.popitem(last=False)[0])
        if added or removed:
            self.notify(added, removed)

    def clear(self) -> None:
        """Lose everything."""
        self._kept.clear()

    def list_all(self) -> Iterable[SegmentHint]:
        """Return the kept segments, the oldest first."""
        return tuple(self._kept)


class StoreCache:
    """Keep what a keeper finds worth most, judged on samples."""

    def __init__(
        self, limit: int, keeper: RetentionPolicy, random: Random, length: int
    ) -> None:
        self.limit = limit
        self._keeper = keeper
        self._random = random
        self._length = length
        self._places: dict[SegmentHint, int] = {}
        self._order: list[SegmentHint] = []
        self.notify: Notify = _ignore
        self.open = True

    def __contains__(self, segment: SegmentHint) -> bool:
        return segment in self._places

    def count_leading(
        self, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the segments from `start` on that are kept in a row."""
        return count_leading(self._places, segments, start)

    def record_use(self, segments: Sequence[SegmentHint], now: Millis) -> None:
        """Tell the keeper of reads, the first of them as the last."""
        for segment in reversed(segments):
            self._keeper.record_use(segment, now)

    def write(
        self, segments: Sequence[SegmentHint], now: Millis
    ) -> Sequence[SegmentHint]:
        """Keep segments in order; return those that found room."""
        added: list[SegmentHint] = []
        removed: list[SegmentHint] = []
        for segment in segments:
            if segment in self._places:
                continue
            if not self.open or not self._make_room(segment, now, removed):
                break
            self._places[segment] = len(self._order)
            self._order.append(segment)
            added.append(segment)
        self.record_use(added, now)
        if added or removed:
            self.notify(added, removed)
        return added

    def list_all(self) -> Iterable[SegmentHint]:
        """Return the kept segments."""
        return tuple(self._order)

    def _make_room(
        self,
        newcomer: SegmentHint,
        now: Millis,
        removed: list[SegmentHint],
    ) -> bool:
        if len(self._order) < self.limit:
            return True
        worth, _, victim = min(
            (self._weigh(each, now), -int.from_bytes(each[-2:], 'big'), each)
            for each in self._random.choices(self._order, k=_SAMPLE)
        )
        if worth > self._weigh(newcomer, now):
            return False
        self._remove(victim)
        removed.append(victim)
        return True

    def _weigh(self, segment: SegmentHint, now: Millis) -> float:
        return self._keeper.estimate_value(segment, self._length, 0.0, now)

    def _remove(self, segment: SegmentHint) -> None:
        place = self._places.pop(segment)
        last = self._order.pop()
        if last != segment:
            self._order[place] = last
            self._places[last] = place


def count_leading(
    kept: dict[SegmentHint, int] | OrderedDict[SegmentHint, None],
    segments: Sequence[SegmentHint],
    start: int,
) -> int:
    """Count the segments from `start` on that are kept in a row."""
    for index in range(start, len(segments)):
        if segments[index] not in kept:
            return index - start
    return len(segments) - start
