"""Encode and decode the records of the configuration log.

Unknown fields are ignored. A record that can't be decoded is returned as an
`UnreadableRecord`, which every reader skips in the same way.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

import cbor2

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.objects import Change, ObjectKind
from oleanderdyke.kernel.specs import InvalidSpec, load_cbor, pack_spec

CONFIGURATION_LOG = 'configuration'
RECORD_LIMIT = 256 * 1024
_KIND_KEY = 'record'


class RecordKind(enum.StrEnum):
    """List the kinds of records."""

    CHANGE = 'change'
    SNAPSHOT = 'snapshot'


@dataclass(frozen=True, slots=True)
class PackedChange:
    """Hold a change whose spec is still encoded and not yet validated."""

    record_id: str
    operator: str
    kind: ObjectKind
    name: str
    expected: int
    at: Millis
    spec: bytes | None


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Hold one chunk of a snapshot of the state at offset `through`.

    The last chunk contains the digest of the items of all chunks.
    """

    through: int
    index: int
    last: bool
    items: bytes
    digest: bytes = b''


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """Represent a record that can't be decoded and is skipped."""

    reason: str


ConfigurationRecord: TypeAlias = PackedChange | SnapshotChunk | UnreadableRecord


def encode_change(change: Change) -> bytes:
    """Encode a change as a log record."""
    spec = None if change.spec is None else pack_spec(change.spec)
    return cbor2.dumps(
        {
            _KIND_KEY: RecordKind.CHANGE.value,
            'record_id': change.record_id,
            'operator': change.operator,
            'kind': change.kind.value,
            'name': change.name,
            'expected': change.expected,
            'at': change.at,
            'spec': spec,
        },
        canonical=True,
    )


def encode_chunk(chunk: SnapshotChunk) -> bytes:
    """Encode a chunk of a snapshot as a log record."""
    return cbor2.dumps(
        {
            _KIND_KEY: RecordKind.SNAPSHOT.value,
            'through': chunk.through,
            'index': chunk.index,
            'last': chunk.last,
            'items': chunk.items,
            'digest': chunk.digest,
        },
        canonical=True,
    )


def decode_record(data: bytes) -> ConfigurationRecord:
    """Decode any record of the log; return UnreadableRecord on errors."""
    if len(data) > RECORD_LIMIT:
        return UnreadableRecord(f'{len(data)} bytes exceed the record limit')
    try:
        raw = load_cbor(data)
    except InvalidSpec as error:
        return UnreadableRecord(str(error))
    if not isinstance(raw, dict):
        return UnreadableRecord(f'found {type(raw).__name__}; expected a map')
    if raw.get(_KIND_KEY) == RecordKind.CHANGE:
        return _decode_change(raw)
    if raw.get(_KIND_KEY) == RecordKind.SNAPSHOT:
        return _decode_chunk(raw)
    return UnreadableRecord(f'unknown kind in the field {_KIND_KEY!r}')


def _decode_change(raw: Mapping[str, Any]) -> ConfigurationRecord:
    try:
        return PackedChange(
            _get_field(raw, 'record_id', str),
            _get_field(raw, 'operator', str),
            ObjectKind(_get_field(raw, 'kind', str)),
            _get_field(raw, 'name', str),
            _get_field(raw, 'expected', int),
            float(_get_field(raw, 'at', int, float)),
            _get_field(raw, 'spec', bytes, type(None)),
        )
    except (ValueError, OverflowError) as error:
        return UnreadableRecord(f'invalid change: {error}')


def _decode_chunk(raw: Mapping[str, Any]) -> ConfigurationRecord:
    try:
        return SnapshotChunk(
            _get_field(raw, 'through', int),
            _get_field(raw, 'index', int),
            _get_field(raw, 'last', bool),
            _get_field(raw, 'items', bytes),
            _get_field(raw, 'digest', bytes),
        )
    except ValueError as error:
        return UnreadableRecord(f'invalid snapshot chunk: {error}')


def _get_field(raw: Mapping[str, Any], name: str, *types: type) -> Any:
    value = raw.get(name)
    if type(value) in types:
        return value
    raise ValueError(f'{name} is missing or has the wrong type')
