"""Measure the memory of a store's index and the time of evicting writes.

Run `python -m bench.store_memory [ENTRIES...]`. Bytes are as tracemalloc counts
them, with the log of hints and without the state of the retention policy, which
is shown separately. Times are processor times of a write from `begin` to
`seal`.
"""

from __future__ import annotations

import gc
import sys
import time
import tracemalloc
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import HOUR, Millis
from oleanderdyke.kernel.blocks import digest_segment, make_hint
from oleanderdyke.kernel.demand import RetentionPolicy, SegmentHint
from oleanderdyke.kernel.store_index import (
    StoreIndex,
    StoreLimits,
    WriteBegun,
    WriteSealed,
    WriteVerified,
)
from oleanderdyke.links.messages.segments import SegmentPart, SegmentWrite
from oleanderdyke.policies.keeping import make_expected_saving
from oleanderdyke.policies.settings import PolicySettings

ENTRIES = (10_000, 180_000)
EVICTIONS = 5_000
_NAMESPACES = 200
_DATA = b'\0' * 64
_DIGEST = digest_segment(_DATA)


class GapRetention:
    """Rank segments by the expected gap alone, without state."""

    def estimate_value(
        self, _segment: SegmentHint, _length: int, gap: Millis, _now: Millis
    ) -> float:
        """Return a higher value for a shorter gap."""
        return -gap

    def record_use(self, _segment: SegmentHint, _now: Millis) -> None:
        """Ignore the use; the policy has no state."""


@dataclass(slots=True)
class _Writer:
    """Write random segments into an index."""

    index: StoreIndex
    random: Random
    gaps: dict[SegmentHint, Millis]

    def write(self, gap: Millis) -> bool:
        """Write one segment; return whether it was kept."""
        segment = self.random.randbytes(32)
        space = self.random.randrange(_NAMESPACES).to_bytes(32)
        write = SegmentWrite('w', space, segment, len(_DATA), _DIGEST, gap)
        if not isinstance(self.index.begin(write, 0.0), WriteBegun):
            return False
        part = SegmentPart(
            'w', segment, 0, 0, _DATA, len(_DATA), _DIGEST, last=True
        )
        verified = self.index.add_part(part, 0.0)
        assert isinstance(verified, WriteVerified)
        sealed = self.index.seal('w', segment, 0.0)
        self.index.drain_deletions()
        self.gaps[make_hint(segment)] = gap
        return isinstance(sealed, WriteSealed)

    def fill(self, count: int) -> None:
        """Write `count` segments, which fill the store."""
        for number in range(count):
            gap = self.random.uniform(1.0, 48.0) * HOUR
            assert self.write(gap)
            if number % 1_000 == 0:
                self.index.log.drain()
        self.index.log.drain()


def make_writer(count: int, retention: RetentionPolicy) -> _Writer:
    """Build an index filled with `count` segments and return its writer."""
    limits = StoreLimits(capacity_bytes=count * len(_DATA))
    index = StoreIndex(limits, retention, 'incarnation-1', Random(1))
    writer = _Writer(index, Random(2), {})
    writer.fill(count)
    return writer


def measure_bytes(count: int, make: Callable[[], RetentionPolicy]) -> float:
    """Return the bytes of memory per entry."""
    gc.collect()
    tracemalloc.start()
    writer = make_writer(count, make())
    writer.gaps.clear()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held / count


def measure_evictions(
    count: int, retention: RetentionPolicy
) -> tuple[float, int]:
    """Return microseconds per write into a full index, and writes kept."""
    writer = make_writer(count, retention)
    start = time.process_time()
    kept = sum(writer.write(0.5 * HOUR) for _ in range(EVICTIONS))
    spent = time.process_time() - start
    return spent * 1e6 / EVICTIONS, kept


def measure_ranks(count: int) -> float:
    """Return the mean share of entries of lower value than an evicted one."""
    writer = make_writer(count, GapRetention())
    gaps = dict(writer.gaps)
    sorted_gaps = sorted(gaps.values())
    victim_gaps = []
    for _ in range(EVICTIONS // 5):
        writer.write(0.5 * HOUR)
        for events in writer.index.log.drain():
            victim_gaps += [
                gaps[each] for each in events.removed if each in gaps
            ]
    shares = [1 - bisect_right(sorted_gaps, gap) / count for gap in victim_gaps]
    return sum(shares) / len(shares)


def main(argv: list[str]) -> None:
    """Print memory and eviction times for each number of entries."""
    for count in [int(each) for each in argv] or ENTRIES:
        plain = measure_bytes(count, GapRetention)
        with_policy = measure_bytes(
            count, lambda: make_expected_saving(PolicySettings())
        )
        micros, kept = measure_evictions(
            count, make_expected_saving(PolicySettings())
        )
        plain_micros, _ = measure_evictions(count, GapRetention())
        rank = measure_ranks(count)
        print(
            f'{count} entries: {plain:.0f} bytes each, '
            f'{with_policy - plain:.0f} more by the keeper; evicting write '
            f'{micros:.0f} us ({kept} of {EVICTIONS} kept), '
            f'{plain_micros:.0f} us with a plain keeper; '
            f'{100 * rank:.1f}% poorer than the mean victim'
        )


if __name__ == '__main__':
    main(sys.argv[1:])
