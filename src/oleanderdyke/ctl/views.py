"""Show objects and changes as tables."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, TypeAlias

from oleanderdyke.ctl.output import (
    Format,
    make_yaml,
    show,
    show_table,
    show_time,
)

Shown: TypeAlias = Mapping[str, Any]


def show_objects(objects: Iterable[Shown]) -> None:
    """Print objects as a table."""
    rows = [
        (
            f'{item["kind"]}/{item["name"]}',
            item['generation'],
            item['spec'].get('labels', {}),
            _summarise(item['spec']),
        )
        for item in objects
    ]
    show_table(('OBJECT', 'GENERATION', 'LABELS', 'SPEC'), rows)


def show_outcomes(outcomes: Sequence[Shown]) -> None:
    """Print changes and lost races as a table."""
    rows = [tuple(_make_cells(item)) for item in outcomes]
    show_table(
        ('AT', 'OFFSET', 'OBJECT', 'RESULT', 'GENERATION', 'OPERATOR', 'NOTE'),
        rows,
    )


def show_outcome_line(outcome: Shown, form: Format) -> None:
    """Print one change on one line, or as one document."""
    if form is Format.JSON:
        show(json.dumps(outcome, ensure_ascii=False))
    elif form is Format.YAML:
        show(make_yaml([outcome]).rstrip('\n'))
    else:
        show('  '.join(str(cell) for cell in _make_cells(outcome)).rstrip())


def _summarise(spec: Shown) -> str:
    hidden = {'labels', 'token_hashes', 'admin_token_hashes'}
    parts = [
        f'{name}={_shorten(found)}'
        for name, found in spec.items()
        if name not in hidden
    ]
    tokens = len(spec.get('token_hashes', ()))
    if tokens:
        parts.append(f'tokens={tokens}')
    return ' '.join(parts)


def _shorten(found: object) -> str:
    if isinstance(found, dict):
        pairs = ','.join(f'{key}={inner}' for key, inner in found.items())
        return f'{{{pairs}}}'
    if isinstance(found, list):
        return ','.join(map(str, found))
    return str(found)


def _make_cells(outcome: Shown) -> Iterator[object]:
    lost = outcome['result'] == 'lost'
    yield show_time(outcome['at'])
    yield outcome['offset']
    yield f'{outcome["kind"]}/{outcome["name"]}'
    yield 'deleted' if outcome.get('deleted') else outcome['result']
    yield outcome['generation']
    yield outcome['operator']
    winner = outcome.get('winner', '')
    by = f'; last changed by {winner}' if winner else ''
    yield f'{outcome["detail"]}{by}' if lost else ''
