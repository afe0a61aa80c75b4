"""Tables of objects and changes."""

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

JsonObject: TypeAlias = Mapping[str, Any]


def show_objects(objects: Iterable[JsonObject]) -> None:
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


def show_outcomes(outcomes: Sequence[JsonObject]) -> None:
    """Print changes and rejected changes as a table."""
    rows = [tuple(_make_cells(item)) for item in outcomes]
    show_table(
        ('AT', 'OFFSET', 'OBJECT', 'RESULT', 'GENERATION', 'OPERATOR', 'NOTE'),
        rows,
    )


def show_outcome_line(outcome: JsonObject, form: Format) -> None:
    """Print one change as one line or one document."""
    if form is Format.JSON:
        show(json.dumps(outcome, ensure_ascii=False))
    elif form is Format.YAML:
        show(make_yaml([outcome]).rstrip('\n'))
    else:
        show('  '.join(str(cell) for cell in _make_cells(outcome)).rstrip())


def _summarise(spec: JsonObject) -> str:
    hidden = {'labels', 'token_hashes', 'admin_token_hashes'}
    parts = [
        f'{name}={_format_value(value)}'
        for name, value in spec.items()
        if name not in hidden
    ]
    tokens = len(spec.get('token_hashes', ()))
    if tokens:
        parts.append(f'tokens={tokens}')
    return ' '.join(parts)


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        pairs = ','.join(f'{key}={inner}' for key, inner in value.items())
        return f'{{{pairs}}}'
    if isinstance(value, list):
        return ','.join(map(str, value))
    return str(value)


def _make_cells(outcome: JsonObject) -> Iterator[object]:
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
