"""Print the fault matrix: every fault at every step, and pairs of faults."""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from tests.matrix.cells import (
    Result,
    State,
    list_cells,
    list_pairs,
    list_racing,
    run_cells,
)
from tests.matrix.faults import Kind, find_reason
from tests.matrix.points import Point

_STATE_LABELS = {State.HELD: 'held', State.BROKEN: 'BROKEN'}
_KIND_WIDTH = max(len(kind) for kind in Kind) + 2
_COLUMN_WIDTH = 8


def main() -> int:
    """Run and print the fault matrix; return 1 if any cell is broken."""
    singles = run_cells(list(list_cells()))
    pairs = run_cells([*list_racing(), *list_pairs()])
    _print_table(singles)
    _print_reasons()
    _print_broken([*singles, *pairs])
    print()
    print(_summarize('single faults', singles))
    print(_summarize('pairs of faults', pairs))
    results = [*singles, *pairs]
    return int(any(each.state is State.BROKEN for each in results))


def _print_table(results: Iterable[Result]) -> None:
    by_cell: dict[tuple[Kind, Point], list[Result]] = defaultdict(list)
    for result in results:
        by_cell[result.cell.kinds[0], result.cell.point].append(result)
    print('fault x step; a cell holds before and after the step, in every')
    print('scenario that passes through it; n/a has its reason below')
    print()
    for number, point in enumerate(Point, 1):
        print(f'{number:>3} {point}')
    print()
    header = ''.join(
        f'{number:>{_COLUMN_WIDTH}}' for number, _ in enumerate(Point, 1)
    )
    print(' ' * _KIND_WIDTH + header)
    for kind in Kind:
        print(f'{kind:<{_KIND_WIDTH}}' + _format_row(kind, by_cell))


def _format_row(
    kind: Kind, by_cell: Mapping[tuple[Kind, Point], Sequence[Result]]
) -> str:
    return ''.join(
        f'{_format(by_cell.get((kind, point), ())):>{_COLUMN_WIDTH}}'
        for point in Point
    )


def _format(results: Sequence[Result]) -> str:
    if not results:
        return str(State.NOT_APPLICABLE)
    broken = any(each.state is State.BROKEN for each in results)
    return _STATE_LABELS[State.BROKEN if broken else State.HELD]


def _print_reasons() -> None:
    reasons: dict[str, list[str]] = defaultdict(list)
    for kind in Kind:
        for number, point in enumerate(Point, 1):
            reason = find_reason(kind, point)
            if reason:
                reasons[reason].append(f'{kind} at {number}')
    print()
    for reason, places in reasons.items():
        print(f'n/a, {reason}: {", ".join(places)}')


def _print_broken(results: Iterable[Result]) -> None:
    for result in results:
        if result.state is State.BROKEN:
            print(f'BROKEN {result.cell}: {result.detail}')


def _summarize(name: str, results: Sequence[Result]) -> str:
    held = sum(each.state is State.HELD for each in results)
    return (
        f'{name}: {len(results)} run, {held} held, {len(results) - held} broken'
    )


if __name__ == '__main__':
    sys.exit(main())
