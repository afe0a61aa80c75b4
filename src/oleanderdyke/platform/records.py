"""Split what the platform's store answers into records."""

from __future__ import annotations

import base64
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from oleanderdyke.clock import Millis
from oleanderdyke.platform.fields import MALFORMED, FieldError, read_integer

_LENGTH = struct.Struct('>I')
# What `decode` puts in place of bytes that are no text.
_NO_TEXT = '\ufffd'


class CutShort(Exception):
    """An answer ends within a record."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Hold one record; without a value its key is dropped.

    `fault` tells why the record can't be split; its key may be empty then,
    and it drops nothing.
    """

    key: str
    value: bytes | None
    fault: str = ''

    @property
    def is_dropped(self) -> bool:
        """Return whether the record drops its key."""
        return self.value is None and not self.fault


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Hold records in their order; `end` is where to read on.

    `is_complete` tells that there were no more when they were read. For
    `waited` after the call there surely were none: a read that waits answers
    with the first. It is negative where they were read before the call.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_complete: bool = True
    waited: Millis = 0.0


def join_record(record: bytes) -> bytes:
    """Return a record with its length in front."""
    return _LENGTH.pack(len(record)) + record


def split_records(data: bytes) -> Iterator[bytes]:
    """Yield records that have their lengths in front; raise CutShort."""
    position = 0
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            raise CutShort
        yield data[position : position + length]
        position += length


def split_keyed(record: bytes) -> KeyedRecord:
    """Split a record: one byte for the key's length, the key, the value."""
    if not record or len(record) < 1 + record[0]:
        return KeyedRecord('', None, 'the record has no key')
    split = 1 + record[0]
    try:
        key = record[1:split].decode()
    except UnicodeDecodeError:
        return KeyedRecord('', None, 'the key is no text')
    return KeyedRecord(key, record[split:] or None)


def sort_items(items: list[Any]) -> tuple[KeyedRecord, ...]:
    """Return the newest records in the order in which they were written.

    Those that can't be read come first.
    """
    placed = sorted(map(_place_item, items), key=_get_place)
    return tuple(record for _, record in placed)


def find_last_key(items: list[Any]) -> str:
    """Return the key after which a list of newest records goes on.

    It is empty where there is none. A key that the store itself could not
    read is told with marks in it and would skip those after it.
    """
    keys = [item['key'] for item in items if _has_key(item)]
    clean = [key for key in keys if _NO_TEXT not in key]
    return str((clean or keys or [''])[-1])


def _has_key(item: Any) -> bool:
    """Return whether a key can be sent: half a surrogate pair can't."""
    if not isinstance(item, dict):
        return False
    key = item.get('key')
    return isinstance(key, str) and not any(map(_is_surrogate, key))


def _is_surrogate(letter: str) -> bool:
    return '\ud800' <= letter <= '\udfff'


def _place_item(item: Any) -> tuple[int, KeyedRecord]:
    key = ''
    try:
        key = _read_key(item)
        value = base64.b64decode(item['value'], validate=True)
        return read_integer(item, 'offset'), KeyedRecord(key, value or None)
    except MALFORMED as error:
        return -1, KeyedRecord(key, None, f'{type(error).__name__}: {error}')


def _read_key(item: Any) -> str:
    """Return a key of any shape; whoever reads the record judges it."""
    key = item['key']
    if not isinstance(key, str):
        raise FieldError('the key is no text')
    return str(key)


def _get_place(placed: tuple[int, KeyedRecord]) -> int:
    return placed[0]
