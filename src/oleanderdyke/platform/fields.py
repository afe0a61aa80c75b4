"""Read typed fields of untrusted JSON documents."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, NoReturn

from oleanderdyke.clients.addresses import InvalidAddress, split_address

# All JSON parsers agree on integers up to this bound (RFC 8259, section 6).
_MAX_INTEGER = 2**53 - 1
# Bounds the part of a text value that an error message shows.
_SHOWN_LENGTH = 40
# What reading fields of malformed documents may raise. A document that is
# nested too deeply raises RecursionError.
MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


class FieldError(ValueError):
    """A field has the wrong type or a value that is not allowed."""


def load_object(data: bytes) -> Mapping[str, Any]:
    """Parse one JSON object; raise one of MALFORMED."""
    found = _DECODER.decode(data.decode())
    if not isinstance(found, dict):
        raise FieldError(
            f'document: found {show_value(found)}; allowed: an object'
        )
    return found


def read_text(found: Mapping[str, Any], name: str) -> str:
    """Return non-empty printable text; raise one of MALFORMED."""
    text = found[name]
    if isinstance(text, str) and text and text.isprintable():
        return text
    raise FieldError(
        f'{name}: found {show_value(text)}; allowed: printable text'
    )


def read_integer(found: Mapping[str, Any], name: str, minimum: int = 0) -> int:
    """Return an integer of at least `minimum`; raise one of MALFORMED."""
    number = found[name]
    # Python's bool is an int, and JSON's 1.0 is a float.
    if type(number) is int and minimum <= number <= _MAX_INTEGER:
        return number
    raise FieldError(
        f'{name}: found {show_value(number)}; '
        f'allowed: an integer from {minimum} to {_MAX_INTEGER}'
    )


def read_number(found: Mapping[str, Any], name: str) -> float:
    """Return a non-negative number; raise one of MALFORMED."""
    number = found[name]
    if type(number) in {int, float} and 0 <= number <= _MAX_INTEGER:
        return float(number)
    raise FieldError(
        f'{name}: found {show_value(number)}; '
        f'allowed: a number from 0 to {_MAX_INTEGER}'
    )


def read_flag(found: Mapping[str, Any], name: str) -> bool:
    """Return a boolean; raise one of MALFORMED."""
    flag = found[name]
    if isinstance(flag, bool):
        return flag
    raise FieldError(f'{name}: found {show_value(flag)}; allowed: true, false')


def read_address(found: Mapping[str, Any], name: str) -> str:
    """Return `host:port`; raise one of MALFORMED."""
    address = read_text(found, name)
    try:
        split_address(address)
    except InvalidAddress as error:
        raise FieldError(
            f'{name}: found {show_value(address)}; {error}'
        ) from error
    return address


def read_objects(
    found: Mapping[str, Any], name: str
) -> list[Mapping[str, Any]]:
    """Return a list of objects; raise one of MALFORMED."""
    items = found[name]
    if isinstance(items, list) and all(
        isinstance(each, dict) for each in items
    ):
        return items
    raise FieldError(
        f'{name}: found {show_value(items)}; allowed: a list of objects'
    )


def show_value(value: Any) -> str:
    """Return a short text of a JSON value for an error message."""
    if isinstance(value, dict):
        return 'an object'
    if isinstance(value, list):
        return 'a list'
    if isinstance(value, str):
        return repr(value[:_SHOWN_LENGTH])
    return repr(value)[:_SHOWN_LENGTH]


def _refuse_constant(name: str) -> NoReturn:
    raise FieldError(f'found {name}; allowed: a finite JSON number')


_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)
