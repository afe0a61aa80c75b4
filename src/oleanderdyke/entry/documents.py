"""Parse JSON documents of callers with limits."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NoReturn

from oleanderdyke.errors import ErrorKind, OleanderError

_DEPTH_LIMIT = 64
# As an object, a value takes up to a hundred times the memory of its text.
_VALUE_LIMIT = 100_000
# Each of these bytes outside of strings begins a value, or follows one.
_VALUE_MARKS = (b',', b'[', b'{')


def parse_document(body: bytes) -> dict[str, Any]:
    """Parse a JSON object; raise BAD_REQUEST for anything else."""
    _check_value_count(body)
    try:
        document = json.loads(body.decode(), parse_constant=_refuse_constant)
    except UnicodeDecodeError as error:
        raise make_bad_request('the body is not UTF-8') from error
    except RecursionError as error:
        raise _make_too_deep() from error
    except ValueError as error:
        raise make_bad_request('the body is not JSON') from error
    if not isinstance(document, dict):
        raise make_bad_request('the body must be a JSON object')
    _check_depth(document)
    return document


def _check_value_count(body: bytes) -> None:
    """Raise BAD_REQUEST if there are too many values, without parsing them."""
    if _count_marks(body) <= _VALUE_LIMIT:
        return
    plain = body.replace(rb'\\', b'').replace(rb'\"', b'')
    # Each value has up to two strings: a key, and itself.
    if plain.count(b'"') <= 4 * _VALUE_LIMIT:
        outside = plain.split(b'"')[::2]
        if sum(map(_count_marks, outside)) <= _VALUE_LIMIT:
            return
    raise make_bad_request(f'the JSON holds over {_VALUE_LIMIT} values')


def _count_marks(text: bytes) -> int:
    return sum(map(text.count, _VALUE_MARKS))


def make_bad_request(message: str) -> OleanderError:
    """Return the error for a malformed or invalid document."""
    return OleanderError(ErrorKind.BAD_REQUEST, message)


def _make_too_deep() -> OleanderError:
    return make_bad_request(f'the JSON is nested deeper than {_DEPTH_LIMIT}')


def _check_depth(document: object) -> None:
    level = [document]
    for _ in range(_DEPTH_LIMIT):
        level = [inner for outer in level for inner in _list_inner(outer)]
        if not level:
            return
    raise _make_too_deep()


def _list_inner(outer: object) -> Iterator[object]:
    if isinstance(outer, dict):
        yield from outer.values()
    elif isinstance(outer, list):
        yield from outer


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(name)
