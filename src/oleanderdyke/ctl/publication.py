"""Publication of the differences between files and stored objects."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from oleanderdyke.ctl.client import Client, make_path
from oleanderdyke.ctl.files import Document
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.kernel.objects import ObjectKind
from oleanderdyke.kernel.specs import describe_spec

_BATCH_SIZE = 100
_MAX_SINGLE_READS = 20
_HIDDEN_FIELDS = frozenset(('token_hashes', 'admin_token_hashes'))
_ABSENT: Mapping[str, Any] = {'generation': 0, 'spec': None}


class Result(enum.StrEnum):
    """Results of publishing one object."""

    CREATED = 'created'
    CHANGED = 'changed'
    UNCHANGED = 'unchanged'
    DELETED = 'deleted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True)
class Published:
    """Hold the result for one object; `offset` is -1 if nothing was written."""

    kind: str
    name: str
    result: Result
    generation: int
    offset: int = -1
    detail: str = ''


def find_current(
    client: Client, documents: Sequence[Document]
) -> dict[tuple[str, str], Any]:
    """Return the stored objects of the documents by kind and name."""
    counts = Counter(item.kind for item in documents)
    found: dict[tuple[str, str], Any] = {}
    for kind, count in counts.items():
        names = [item.name for item in documents if item.kind is kind]
        is_small = count <= _MAX_SINGLE_READS
        objects = (
            _get_each(client, kind, names) if is_small else _list(client, kind)
        )
        found |= {(kind.value, item['name']): item for item in objects}
    return found


def list_objects(
    client: Client, kind: str, selector: str = ''
) -> Iterator[Any]:
    """Yield the objects of a kind, page by page."""
    after = ''
    while True:
        page = client.get(
            make_path('objects', kind, selector=selector, after=after)
        )
        yield from page['objects']
        after = page['after']
        if not after:
            return


def apply_documents(
    client: Client, documents: Sequence[Document]
) -> list[Published]:
    """Publish the documents that differ; return all results in order."""
    current = find_current(client, documents)
    changes = [
        _make_change(item, current)
        for item in documents
        if _differs(item, current)
    ]
    outcomes = {
        (outcome['kind'], outcome['name']): outcome
        for outcome in publish_all(client, changes)
    }
    return [
        _add_difference(client, item, _make_result(item, current, outcomes))
        for item in documents
    ]


def publish_all(
    client: Client, changes: Sequence[Mapping[str, Any]]
) -> Iterator[Any]:
    """Publish changes in batches and yield their outcomes."""
    for start in range(0, len(changes), _BATCH_SIZE):
        yield from client.publish(changes[start : start + _BATCH_SIZE])


def read_outcome(outcome: Mapping[str, Any], applied: Result) -> Published:
    """Convert an entry's outcome; `applied` is the result on success."""
    offset, result, detail = outcome['offset'], applied, ''
    if outcome['result'] != 'applied':
        invalid = outcome['reason'] == 'invalid'
        offset = -1
        result = Result.INVALID if invalid else Result.CONFLICT
        detail = _explain(outcome)
    return Published(
        outcome['kind'],
        outcome['name'],
        result,
        outcome['generation'],
        offset,
        detail,
    )


def _get_each(
    client: Client, kind: ObjectKind, names: Iterable[str]
) -> Iterator[Any]:
    for name in names:
        try:
            yield client.get(make_path('objects', kind.value, name))
        except OleanderError as error:
            if error.kind is not ErrorKind.NOT_FOUND:
                raise


def _list(client: Client, kind: ObjectKind) -> Iterator[Any]:
    return list_objects(client, kind.value)


def _differs(item: Document, current: Mapping[tuple[str, str], Any]) -> bool:
    known = current.get((item.kind.value, item.name))
    return known is None or known['spec'] != describe_spec(item.spec)


def _make_change(
    item: Document, current: Mapping[tuple[str, str], Any]
) -> dict[str, Any]:
    known = current.get((item.kind.value, item.name), _ABSENT)
    expected = known['generation']
    if item.generation is not None:
        expected = item.generation
    return {
        'kind': item.kind.value,
        'name': item.name,
        'expected': expected,
        'spec': describe_spec(item.spec),
    }


def _make_result(
    item: Document,
    current: Mapping[tuple[str, str], Any],
    outcomes: Mapping[tuple[str, str], Any],
) -> Published:
    key = (item.kind.value, item.name)
    known = current.get(key, _ABSENT)
    if key not in outcomes:
        return Published(*key, Result.UNCHANGED, known['generation'])
    created = known['generation'] == 0
    result = Result.CREATED if created else Result.CHANGED
    return read_outcome(outcomes[key], result)


def _add_difference(
    client: Client, item: Document, result: Published
) -> Published:
    """Add the differences from the stored object to a conflict's detail."""
    if result.result is not Result.CONFLICT:
        return result
    found = list(_get_each(client, item.kind, [item.name]))
    stored = found[0]['spec'] if found else {}
    differences = ', '.join(_compare(stored, describe_spec(item.spec)))
    if not differences:
        return result
    return replace(result, detail=f'{result.detail}; {differences}')


def _compare(
    stored: Mapping[str, Any], wanted: Mapping[str, Any]
) -> Iterator[str]:
    for key in sorted({*stored, *wanted}):
        found, expected = stored.get(key), wanted.get(key)
        if found == expected:
            continue
        if key in _HIDDEN_FIELDS:
            yield f'{key} differs'
        else:
            yield f'{key} is {_show(found)}, not {_show(expected)}'


def _show(value: Any) -> str:
    return 'its default' if value is None else str(value)


def _explain(outcome: Mapping[str, Any]) -> str:
    winner = outcome['winner']
    by = f'; last changed by {winner}' if winner else ''
    return f'{outcome["detail"]}{by}'
