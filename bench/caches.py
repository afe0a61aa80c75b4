"""Simulate the segment caches of engines and stores."""

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
_SAMPLE_SIZE = 32


def _ignore(
    added: Sequence[SegmentHint], removed: Sequence[SegmentHint]
) -> None:
    return None


class EngineCache:
    """LRU cache of an engine; `limit` is in segments."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._cached: OrderedDict[SegmentHint, None] = OrderedDict()
        self.notify: Notify = _ignore

    def __contains__(self, segment: SegmentHint) -> bool:
        return segment in self._cached

    def count_leading(
        self, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the consecutive cached segments from index `start`."""
        return count_leading(self._cached, segments, start)

    def use(self, segments: Sequence[SegmentHint]) -> None:
        """Cache segments as used now; of these, the first is evicted last."""
        added = [each for each in segments if each not in self._cached]
        for segment in reversed(segments):
            self._cached[segment] = None
            self._cached.move_to_end(segment)
        removed = []
        while len(self._cached) > self._limit:
            removed.append(self._cached.popitem(last=False)[0])
        if added or removed:
            self.notify(added, removed)

    def clear(self) -> None:
        """Remove all segments without a notification."""
        self._cached.clear()

    def list_all(self) -> Iterable[SegmentHint]:
        """Return the cached segments, least recently used first."""
        return tuple(self._cached)


class StoreCache:
    """Cache of a store that evicts the least valuable segment of a sample.

    `limit` is in segments; `length` is the size of a segment in bytes.
    """

    def __init__(
        self,
        limit: int,
        retention: RetentionPolicy,
        random: Random,
        length: int,
    ) -> None:
        self.limit = limit
        self._retention = retention
        self._random = random
        self._length = length
        self._positions: dict[SegmentHint, int] = {}
        self._order: list[SegmentHint] = []
        self.notify: Notify = _ignore
        self.open = True

    def __contains__(self, segment: SegmentHint) -> bool:
        return segment in self._positions

    def count_leading(
        self, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the consecutive cached segments from index `start`."""
        return count_leading(self._positions, segments, start)

    def record_use(self, segments: Sequence[SegmentHint], now: Millis) -> None:
        """Report reads to the retention policy, last segment first."""
        for segment in reversed(segments):
            self._retention.record_use(segment, now)

    def write(
        self, segments: Sequence[SegmentHint], now: Millis
    ) -> Sequence[SegmentHint]:
        """Write segments in order; return those that were added.

        Stops at the first segment that has no room.
        """
        added: list[SegmentHint] = []
        removed: list[SegmentHint] = []
        for segment in segments:
            if segment in self._positions:
                continue
            if not self.open or not self._make_room(segment, now, removed):
                break
            self._positions[segment] = len(self._order)
            self._order.append(segment)
            added.append(segment)
        self.record_use(added, now)
        if added or removed:
            self.notify(added, removed)
        return added

    def list_all(self) -> Iterable[SegmentHint]:
        """Return the cached segments in no particular order."""
        return tuple(self._order)

    def _make_room(
        self,
        candidate: SegmentHint,
        now: Millis,
        removed: list[SegmentHint],
    ) -> bool:
        if len(self._order) < self.limit:
            return True
        lowest_value, _, victim = min(
            (
                self._estimate_value(each, now),
                -int.from_bytes(each[-2:], 'big'),
                each,
            )
            for each in self._random.choices(self._order, k=_SAMPLE_SIZE)
        )
        if lowest_value > self._estimate_value(candidate, now):
            return False
        self._remove(victim)
        removed.append(victim)
        return True

    def _estimate_value(self, segment: SegmentHint, now: Millis) -> float:
        return self._retention.estimate_value(segment, self._length, 0.0, now)

    def _remove(self, segment: SegmentHint) -> None:
        position = self._positions.pop(segment)
        last = self._order.pop()
        if last != segment:
            self._order[position] = last
            self._positions[last] = position


def count_leading(
    cached: dict[SegmentHint, int] | OrderedDict[SegmentHint, None],
    segments: Sequence[SegmentHint],
    start: int,
) -> int:
    """Count the consecutive cached segments from index `start`."""
    for index in range(start, len(segments)):
        if segments[index] not in cached:
            return index - start
    return len(segments) - start
