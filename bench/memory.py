"""Measure the memory of configured teams and of segment hints.

Run `python -m bench.memory`; it prints the bytes that tracemalloc counts.
"""

from __future__ import annotations

import gc
import hashlib
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random

from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.kernel.directory import Directory
from oleanderdyke.kernel.objects import Change, Limits, ObjectKind, TeamSpec
from oleanderdyke.kernel.records import encode_change
from oleanderdyke.links.messages.segments import SegmentEvents

TEAM_COUNTS = (1_000, 10_000, 42_000)
HINT_COUNTS = (10_000, 180_000, 540_000)
_REGIONS = ('sierra-norte', 'ceredigion', 'costa')
_MESSAGE_HINTS = 10_000
_AGENTS = 6
_HINT_BYTES = 8
_MIB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Sample:
    """Hold the memory and build time of a state with `count` items."""

    count: int
    held_bytes: int
    seconds: float

    @property
    def bytes_each(self) -> float:
        """Return the bytes per item."""
        return self.held_bytes / self.count


def main() -> None:
    """Print the memory and build time of every size."""
    for count in TEAM_COUNTS:
        sample = _measure(count, _fill_catalog)
        _show('teams', sample)
    for count in HINT_COUNTS:
        _show('hints', _measure(count, _fill_directory))
    _show_snapshot(TEAM_COUNTS[-1])


def make_team(number: int) -> TeamSpec:
    """Build a typical team: one token and, for odd numbers, one for admins."""
    return TeamSpec(
        labels={'region': _REGIONS[number % len(_REGIONS)], 'size': 'small'},
        token_hashes=(_hash('token', number),),
        admin_token_hashes=(_hash('admin', number),) if number % 2 else (),
        limits=Limits(requests_per_second=5, concurrency=8),
    )


def _hash(kind: str, number: int) -> str:
    return hashlib.sha256(f'{kind} {number}'.encode()).hexdigest()


def _fill_catalog(count: int) -> Catalog:
    catalog = Catalog()
    for number, data in enumerate(_list_records(count)):
        catalog.apply_record(number, data)
    return catalog


def _list_records(count: int) -> Iterator[bytes]:
    for number in range(count):
        name = f'team-{number:05}'
        spec = make_team(number)
        yield encode_change(
            Change(f'r{number}', 'ana', ObjectKind.TEAM, name, 0, spec, number)
        )


def _fill_directory(count: int) -> Directory:
    random = Random(1)
    directory = Directory()
    following = [0] * _AGENTS
    for start in range(0, count, _MESSAGE_HINTS):
        hints = tuple(
            random.randbytes(_HINT_BYTES)
            for _ in range(min(_MESSAGE_HINTS, count - start))
        )
        agent = random.randrange(_AGENTS)
        events = SegmentEvents(following[agent], added=hints)
        directory.apply_events(f'agent-{agent}', events, 0.0)
        following[agent] += len(hints)
    return directory


def _measure(count: int, fill: Callable[[int], object]) -> Sample:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    started = time.perf_counter()
    state = fill(count)
    seconds = time.perf_counter() - started
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del state
    return Sample(count, held_bytes, seconds)


def _show(noun: str, sample: Sample) -> None:
    print(
        f'{sample.count:>7} {noun}: {sample.held_bytes / _MIB:6.2f} MiB, '
        f'{sample.bytes_each:6.1f} bytes each '
        f'(traced fill {sample.seconds:.1f} s)'
    )


def _show_snapshot(count: int) -> None:
    catalog = _fill_catalog(count)
    started = time.perf_counter()
    first = next(catalog.iterate_snapshot())
    freezing = time.perf_counter() - started
    chunks = catalog.snapshot()
    encoding = time.perf_counter() - started - freezing
    other = Catalog()
    started = time.perf_counter()
    other.restore(chunks)
    restore = time.perf_counter() - started
    size = sum(map(len, chunks))
    print(
        f'snapshot of {count} teams: {size / _MIB:.2f} MiB in {len(chunks)} '
        f'chunks of {len(first)} bytes at most; to freeze {freezing * 1e3:.0f} '
        f'ms, to encode {encoding * 1e3:.0f} ms, '
        f'to restore {restore * 1e3:.0f} ms'
    )


if __name__ == '__main__':
    main()
