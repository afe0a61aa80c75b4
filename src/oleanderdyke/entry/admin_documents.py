"""Convert administration requests from JSON and results to JSON."""

from __future__ import annotations

import dataclasses
import enum
import json
import re
from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import parse_qs

from oleanderdyke.clock import Millis
from oleanderdyke.entry.admin import ChangeInput, WatchResult
from oleanderdyke.entry.documents import make_bad_request, parse_document
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.kernel.catalog import Applied, ObjectPage, Outcome
from oleanderdyke.kernel.objects import (
    SPEC_TYPES,
    Labels,
    ObjectKind,
    Spec,
    StoredObject,
)
from oleanderdyke.kernel.specs import describe_spec
from oleanderdyke.settings import structure_document

_BODY = 'body'
_NUMBER = re.compile(r'-?[0-9]{1,15}')


@dataclasses.dataclass(frozen=True, slots=True)
class _ChangeHead:
    kind: ObjectKind
    name: str
    expected: int
    record_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _ChangeList:
    changes: tuple[Any, ...]


class Query:
    """Parse query parameters; raise BAD_REQUEST for malformed ones."""

    def __init__(self, text: str) -> None:
        self._values = parse_qs(text)

    def read_text(self, name: str) -> str:
        """Return a parameter, or an empty string if it is missing."""
        return self._values.get(name, [''])[0]

    def read_number(self, name: str, default: int) -> int:
        """Return an integer parameter; raise BAD_REQUEST."""
        text = self.read_text(name)
        if not text:
            return default
        if not _NUMBER.fullmatch(text):
            raise make_bad_request(f'{name}: allowed: a whole number')
        return int(text)

    def read_wait(self) -> Millis:
        """Return the `wait` parameter in ms, at least 0."""
        return float(max(0, self.read_number('wait', 0)))

    def read_selector(self) -> Labels:
        """Return the label selector in the `selector` parameter."""
        return parse_selector(self.read_text('selector'))


def parse_selector(text: str) -> Labels:
    """Parse a selector such as `region=north,size=large`."""
    pairs = [part.partition('=') for part in text.split(',') if part]
    if not all(name and mark for name, mark, _ in pairs):
        raise make_bad_request('selector: allowed: name=value,name=value')
    return {name: value for name, _, value in pairs}


def parse_kind(text: str) -> ObjectKind:
    """Parse an object kind; raise NOT_FOUND for an unknown one."""
    if text in tuple(ObjectKind):
        return ObjectKind(text)
    allowed = ', '.join(ObjectKind)
    fault = f'unknown object kind; allowed: {allowed}'
    raise OleanderError(ErrorKind.NOT_FOUND, fault)


def parse_changes(body: bytes) -> tuple[ChangeInput, ...]:
    """Parse the body of a publication; raise BAD_REQUEST with all faults."""
    found = structure_document(parse_document(body), _ChangeList, source=_BODY)
    return tuple(
        _parse_change(raw, ('changes', str(index)))
        for index, raw in enumerate(found.changes)
    )


def _parse_change(raw: object, prefix: tuple[str, ...]) -> ChangeInput:
    if not isinstance(raw, dict):
        raise make_bad_request(f'{".".join(prefix)}: allowed: an object')
    rest = {key: found for key, found in raw.items() if key != 'spec'}
    head = structure_document(rest, _ChangeHead, source=_BODY, prefix=prefix)
    spec: Spec | None = None
    if raw.get('spec') is not None:
        spec = structure_document(
            raw['spec'],
            SPEC_TYPES[head.kind],
            source=_BODY,
            prefix=(*prefix, 'spec'),
        )
    return ChangeInput(
        head.kind, head.name, head.expected, spec, head.record_id
    )


def describe_object(stored: StoredObject) -> dict[str, Any]:
    """Return the JSON form of an object, omitting default values."""
    return {
        'kind': stored.kind.value,
        'name': stored.name,
        'generation': stored.generation,
        'spec': describe_spec(stored.spec),
    }


def describe_page(page: ObjectPage, offset: int) -> dict[str, Any]:
    """Return the JSON form of a page of objects read at an offset."""
    objects = [describe_object(item) for item in page.objects]
    return {'objects': objects, 'after': page.after, 'offset': offset}


def describe_outcome(outcome: Outcome) -> dict[str, Any]:
    """Return the JSON form of an outcome."""
    result = 'applied' if isinstance(outcome, Applied) else 'lost'
    return {'result': result, **dataclasses.asdict(outcome)}


def describe_outcomes(outcomes: Iterable[Outcome]) -> dict[str, Any]:
    """Return the JSON form of a sequence of outcomes."""
    return {'outcomes': [describe_outcome(item) for item in outcomes]}


def describe_watch(watched: WatchResult) -> dict[str, Any]:
    """Return the JSON form of the result of a watch."""
    return {
        'offset': watched.offset,
        'complete': watched.complete,
        **describe_outcomes(watched.outcomes),
    }


def encode(document: object) -> bytes:
    """Encode JSON, including data classes, enumerations and mappings."""
    return json.dumps(document, default=_convert_value).encode()


def _convert_value(value: Any) -> Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, Mapping):
        return dict(value)
    raise TypeError(type(value).__name__)
