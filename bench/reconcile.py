"""Compare methods to resynchronise an entry's directory of segments."""

from __future__ import annotations

import argparse
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from random import Random

from bench.iblt import FIRST_CELLS, Decoder, Table, count_cells
from oleanderdyke.kernel.segment_log import RECENT_EVENTS, SegmentLog
from oleanderdyke.links.codec import decode, encode
from oleanderdyke.links.messages.segments import (
    SegmentEvents,
    SegmentListRequest,
)

SIZES = (180_000, 2_000)
DIFFERENCES = (1, 10, 100, 1_000, 10_000)
SEEDS = (1, 2, 3, 4, 5)
_HINT_BYTES = 8
# Cells are sent in groups that grow with the number already sent, which keeps
# the number of decoding attempts small.
_GROUP_DIVISOR = 16
_MIN_GROUP_CELLS = 10
_MESSAGE_BYTES = 16
_LEVELS = 11


@dataclass(frozen=True, slots=True)
class Cost:
    """Hold the bytes in both directions and the processor time of both ends."""

    exchanged: int
    milliseconds: float


@dataclass(frozen=True, slots=True)
class Case:
    """Hold the sender's changes since the last event that the receiver got."""

    before: frozenset[bytes]
    gone: tuple[bytes, ...]
    new: tuple[bytes, ...]

    @property
    def after(self) -> set[bytes]:
        """Return the hints that the receiver must hold after the exchange."""
        return set(self.before) - set(self.gone) | set(self.new)


def make_case(before: frozenset[bytes], difference: int, seed: int) -> Case:
    """Return a case of `difference` changes, half of them removals."""
    random = Random(seed)
    lost = min(difference // 2, len(before))
    gone = random.sample(sorted(before), lost)
    new = _make_hints(random, difference - lost)
    return Case(before, tuple(gone), new)


def _make_hints(random: Random, count: int) -> tuple[bytes, ...]:
    return tuple(random.randbytes(_HINT_BYTES) for _ in range(count))


def _time(run: Callable[[], int]) -> Cost:
    start = time.process_time()
    exchanged = run()
    return Cost(exchanged, (time.process_time() - start) * 1_000)


def _make_log(case: Case) -> tuple[SegmentLog, int]:
    log = SegmentLog()
    log.replace(case.before)
    log.drain()
    number = log.next_number
    for gone in case.gone:
        log.remove(gone)
    for new in case.new:
        log.add(new)
    log.drain()
    return log, number


def _transfer(messages: Iterable[SegmentEvents], held: set[bytes]) -> int:
    transferred = 0
    for message in messages:
        data = encode(message)
        transferred += len(data)
        received = decode(data)
        assert isinstance(received, SegmentEvents)
        if received.full:
            held.clear()
        held.difference_update(received.removed)
        held.update(received.added)
    return transferred


def measure_list(case: Case) -> Cost:
    """Measure the transfer of the complete list."""
    log, _ = _make_log(case)
    held = set(case.before)
    request = len(encode(SegmentListRequest()))
    cost = _time(lambda: request + _transfer(log.list_all(), held))
    assert held == case.after
    return cost


def measure_log(case: Case) -> Cost:
    """Measure the transfer of the events after the receiver's last one."""
    log, number = _make_log(case)
    held = set(case.before)
    request = len(encode(SegmentListRequest(after=number)))
    cost = _time(lambda: request + _transfer(log.list_after(number), held))
    assert held == case.after
    return cost


def _to_keys(hints: Iterable[bytes]) -> set[int]:
    return {int.from_bytes(each, 'big') for each in hints}


def _list_groups() -> Iterator[tuple[int, int]]:
    start, end = 0, FIRST_CELLS
    while start < count_cells(_LEVELS):
        yield start, end
        size = max(_MIN_GROUP_CELLS, end // _GROUP_DIVISOR)
        start, end = end, min(end + size, count_cells(_LEVELS))


def _exchange(sender: Table, decoder: Decoder) -> int:
    exchanged = len(encode(SegmentListRequest())) + _MESSAGE_BYTES
    for start, end in _list_groups():
        data = sender.encode(start, end)
        exchanged += len(data) + _MESSAGE_BYTES
        if decoder.take(data):
            return exchanged
    raise AssertionError('the IBLT was not decoded with its last cells')


def measure_table(case: Case, tables: tuple[Table, Table]) -> Cost:
    """Measure the exchange of an IBLT, without building the two tables."""
    sender, receiver = tables
    decoder = Decoder(receiver)
    cost = _time(lambda: _exchange(sender, decoder))
    assert decoder.only_remote == _to_keys(case.new)
    assert decoder.only_local == _to_keys(case.gone)
    return cost


def _build(hints: Iterable[bytes]) -> Table:
    table = Table(_LEVELS)
    for key in _to_keys(hints):
        table.insert(key)
    return table


def _apply_changes(table: Table, case: Case) -> float:
    """Apply the changes of a case; return the milliseconds per change."""
    start = time.process_time()
    for key in _to_keys(case.new):
        table.insert(key)
    for key in _to_keys(case.gone):
        table.delete(key)
    spent = time.process_time() - start
    return spent * 1_000 / (len(case.new) + len(case.gone))


def _revert_changes(table: Table, case: Case) -> None:
    for key in _to_keys(case.new):
        table.delete(key)
    for key in _to_keys(case.gone):
        table.insert(key)


def _format_spread(values: Sequence[float], unit: str) -> str:
    middle = statistics.median(values)
    return f'{middle:,.2f} {unit} ({min(values):,.2f} to {max(values):,.2f})'


def _print_row(
    size: int, difference: int, name: str, costs: list[Cost]
) -> None:
    exchanged = _format_spread([cost.exchanged / 1_000 for cost in costs], 'kB')
    spent = _format_spread([cost.milliseconds for cost in costs], 'ms')
    print(f'| {size:,} | {difference:,} | {name} | {exchanged} | {spent} |')


def _measure_size(size: int, differences: Iterable[int]) -> None:
    costs: dict[tuple[int, str], list[Cost]] = {}
    builds, changes = [], []
    for seed in SEEDS:
        before = frozenset(_make_hints(Random(seed), size))
        start = time.process_time()
        sender = _build(before)
        builds.append((time.process_time() - start) * 1_000)
        receiver = _build(before)
        for difference in differences:
            case = make_case(before, difference, seed + difference)
            changes.append(_apply_changes(sender, case))
            found = {
                'full list': measure_list(case),
                'event log': measure_log(case),
                'MET IBLT': measure_table(case, (sender, receiver)),
            }
            _revert_changes(sender, case)
            for name, cost in found.items():
                costs.setdefault((difference, name), []).append(cost)
    for (difference, name), found_costs in costs.items():
        _print_row(size, difference, name, found_costs)
    print(f'\nIBLT of {size:,}: build {_format_spread(builds, "ms")},')
    print(
        'one change '
        f'{_format_spread([each * 1_000 for each in changes], "us")}\n'
    )


def _measure_memory() -> int:
    """Return the bytes of a full log, including the hints it holds."""
    tracemalloc.start()
    log = SegmentLog()
    for hint in _make_hints(Random(0), RECENT_EVENTS):
        log.add(hint)
        log.drain()
        log.remove(hint)
        log.drain()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def main() -> None:
    """Print a table of bytes and processor times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='+', default=SIZES)
    options = parser.parse_args()
    print('| hints | difference | way | bytes both ways | processor time |')
    print('|---|---|---|---|---|')
    for size in options.sizes:
        _measure_size(size, [each for each in DIFFERENCES if each <= 2 * size])
    used = _measure_memory() / 1_000
    print(f'full event log of {RECENT_EVENTS:,}: {used:,.0f} kB')


if __name__ == '__main__':
    main()
