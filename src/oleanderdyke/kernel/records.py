"""Encode and decode the records of the configuration log.

Unknown fields are ignored. A record that can't be decoded becomes
`Unreadable`, which every reader skips in the same way.
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
_KIND = 'record'


class RecordKind(enum.StrEnum):
    """Name the kinds of records."""

    CHANGE = 'change'
    SNAPSHOT = 'snapshot'


@dataclass(frozen=True, slots=True)
class PackedChange:
    """Hold a change whose spec is still packed, and not yet checked."""

    record_id: str
    operator: str
    kind: ObjectKind
    name: str
    expected: int
    at: Millis
    spec: bytes | None


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Hold one part of a snapshot of the state at offset `through`.

    The last chunk carries the digest over the items of all of them.
    """

    through: int
    index: int
    last: bool
    items: bytes
    digest: bytes = b''


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """Stand for a record that is skipped."""

    reason: str


ConfigurationRecord: TypeAlias = PackedChange | SnapshotChunk | UnreadableRecord


def encode_change(change: Change) -> bytes:
    """Encode a change as a log record."""
    spec = None if change.spec is None else pack_spec(change.spec)
    return cbor2.dumps(
        {
            _KIND: RecordKind.CHANGE.value,
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
    """Encode a part of a snapshot as a log record."""
    return cbor2.dumps(
        {
            _KIND: RecordKind.SNAPSHOT.value,
            'through': chunk.through,
            'index': chunk.index,
            'last': chunk.last,
            'items': chunk.items,
            'digest': chunk.digest,
        },
        canonical=True,
    )


def decode_record(data: bytes) -> ConfigurationRecord:
    """Decode any record of the log; never raise."""
    if len(data) > RECORD_LIMIT:
        return UnreadableRecord('longer than a record may be')
    try:
        raw = load_cbor(data)
    except InvalidSpec as error:
        return UnreadableRecord(str(error))
    if not isinstance(raw, dict):
        return UnreadableRecord('no map')
    if raw.get(_KIND) == RecordKind.CHANGE:
        return _decode_change(raw)
    if raw.get(_KIND) == RecordKind.SNAPSHOT:
        return _decode_chunk(raw)
    return UnreadableRecord('unknown kind of record')


def _decode_change(raw: Mapping[str, Any]) -> ConfigurationRecord:
    try:
        return PackedChange(
            _take(raw, 'record_id', str),
            _take(raw, 'operator', str),
            ObjectKind(_take(raw, 'kind', str)),
            _take(raw, 'name', str),
            _take(raw, 'expected', int),
            float(_take(raw, 'at', int, float)),
            _take(raw, 'spec', bytes, type(None)),
        )
    except (ValueError, OverflowError) as error:
        return UnreadableRecord(f'not a change: {error}')


def _decode_chunk(raw: Mapping[str, Any]) -> ConfigurationRecord:
    try:
        return SnapshotChunk(
            _take(raw, 'through', int),
            _take(raw, 'index', int),
            _take(raw, 'last', bool),
            _take(raw, 'items', bytes),
            _take(raw, 'digest', bytes),
        )
    except ValueError as error:
        return UnreadableRecord(f'not a part of a snapshot: {error}')


def _take(raw: Mapping[str, Any], name: str, *types: type) -> Any:
    value = raw.get(name)
    if type(value) in types:
        return value
    raise ValueError(f'{name} is missing or of the wrong type')
