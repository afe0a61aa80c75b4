"""Read typed fields of documents that anyone may have written."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Any, NoReturn

# Up to here all readers of JSON agree on whole numbers (RFC 8259, section 6).
_MOST_WHOLE = 2**53 - 1
_MOST_PORT = 65_535
_ADDRESS = re.compile(
    r'(?:[0-9A-Za-z._-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})', re.ASCII
)
# What reading numbers, text and documents of any shape may raise; a document
# that is nested too deep raises RecursionError.
MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


class FieldError(ValueError):
    """A field is missing or of another type."""


def load_object(data: bytes) -> Mapping[str, Any]:
    """Read one JSON object; raise one of MALFORMED."""
    found = _DECODER.decode(data.decode())
    if not isinstance(found, dict):
        raise FieldError('is no object')
    return found


def read_text(found: Mapping[str, Any], name: str) -> str:
    """Return printable text; raise one of MALFORMED."""
    text = found[name]
    if isinstance(text, str) and text and text.isprintable():
        return text
    raise FieldError(f'{name}: is no text')


def read_integer(found: Mapping[str, Any], name: str, least: int = 0) -> int:
    """Return a whole number within bounds; raise one of MALFORMED."""
    number = found[name]
    # A flag is a number to Python, and 1.0 is one to JSON.
    if type(number) is int and least <= number <= _MOST_WHOLE:
        return number
    raise FieldError(f'{name}: is no whole number within bounds')


def read_number(found: Mapping[str, Any], name: str) -> float:
    """Return a number that isn't negative; raise one of MALFORMED."""
    number = found[name]
    if type(number) in {int, float} and 0 <= number <= _MOST_WHOLE:
        return float(number)
    raise FieldError(f'{name}: is no number within bounds')


def read_flag(found: Mapping[str, Any], name: str) -> bool:
    """Return true or false; raise one of MALFORMED."""
    flag = found[name]
    if isinstance(flag, bool):
        return flag
    raise FieldError(f'{name}: is neither true nor false')


def read_address(found: Mapping[str, Any], name: str) -> str:
    """Return `host:port`; raise one of MALFORMED."""
    address = read_text(found, name)
    match = _ADDRESS.fullmatch(address)
    if match is not None and 0 < int(match[1]) <= _MOST_PORT:
        return address
    raise FieldError(f'{name}: is no address')


def read_objects(
    found: Mapping[str, Any], name: str
) -> list[Mapping[str, Any]]:
    """Return a list of objects; raise one of MALFORMED."""
    listed = found[name]
    if isinstance(listed, list) and all(
        isinstance(each, dict) for each in listed
    ):
        return listed
    raise FieldError(f'{name}: is no list of objects')


def _refuse_constant(name: str) -> NoReturn:
    raise FieldError(f'{name} is no JSON')


_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)
