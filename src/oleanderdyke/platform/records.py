"""Split answers of the platform's store into records."""

from __future__ import annotations

import base64
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from oleanderdyke.clock import Millis
from oleanderdyke.platform.fields import (
    MALFORMED,
    FieldError,
    read_integer,
    show_value,
)

_LENGTH = struct.Struct('>I')
# Replaces bytes that are not valid UTF-8.
_REPLACEMENT_CHARACTER = '\ufffd'


class CutShort(Exception):
    """An answer ends within a record."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Hold one record; a record without a value removes its key.

    A malformed record has a `fault` and no value. It removes nothing, and its
    key may be empty.
    """

    key: str
    value: bytes | None
    fault: str = ''

    @property
    def is_dropped(self) -> bool:
        """Return whether the record removes its key."""
        return self.value is None and not self.fault


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Hold records in order; the next read starts at `end`.

    `is_complete` is set if there were no further records at the time of the
    read, nor within `waited` after the call: a waiting read returns at the
    first record. `waited` is negative if the read was before the call.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_complete: bool = True
    waited: Millis = 0.0


def join_record(record: bytes) -> bytes:
    """Return a record with its length prefix."""
    return _LENGTH.pack(len(record)) + record


def split_records(data: bytes) -> Iterator[bytes]:
    """Yield length-prefixed records; raise CutShort."""
    position = 0
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            raise CutShort
        yield data[position : position + length]
        position += length


def split_keyed(record: bytes) -> KeyedRecord:
    """Split a record into key and value; its first byte is the key's length."""
    if not record or len(record) < 1 + record[0]:
        return KeyedRecord(
            '', None, f'record: found {len(record)} bytes; too few for its key'
        )
    split = 1 + record[0]
    try:
        key = record[1:split].decode()
    except UnicodeDecodeError:
        return KeyedRecord('', None, 'key: found invalid UTF-8; allowed: text')
    return KeyedRecord(key, record[split:] or None)


def sort_items(items: list[Any]) -> tuple[KeyedRecord, ...]:
    """Return the newest records in the order of writing.

    Malformed records come first.
    """
    placed = sorted(map(_decode_item, items), key=_get_offset)
    return tuple(record for _, record in placed)


def find_last_key(items: list[Any]) -> str:
    """Return the key after which the next page of newest records starts.

    It is empty if there is none. The store returns a key that is not valid
    UTF-8 with replacement characters; starting after it would skip other keys.
    """
    keys = [item['key'] for item in items if _has_key(item)]
    valid = [key for key in keys if _REPLACEMENT_CHARACTER not in key]
    return str((valid or keys or [''])[-1])


def _has_key(item: Any) -> bool:
    """Return whether a key can be sent: a lone surrogate can't be encoded."""
    if not isinstance(item, dict):
        return False
    key = item.get('key')
    return isinstance(key, str) and not any(map(_is_surrogate, key))


def _is_surrogate(character: str) -> bool:
    return '\ud800' <= character <= '\udfff'


def _decode_item(item: Any) -> tuple[int, KeyedRecord]:
    key = ''
    try:
        key = _read_key(item)
        value = base64.b64decode(item['value'], validate=True)
        return read_integer(item, 'offset'), KeyedRecord(key, value or None)
    except MALFORMED as error:
        return -1, KeyedRecord(key, None, f'{type(error).__name__}: {error}')


def _read_key(item: Any) -> str:
    """Return a key as text; the record's decoder checks its format."""
    key = item['key']
    if not isinstance(key, str):
        raise FieldError(f'key: found {show_value(key)}; allowed: text')
    return str(key)


def _get_offset(placed: tuple[int, KeyedRecord]) -> int:
    return placed[0]
