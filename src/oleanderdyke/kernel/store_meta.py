"""Stored form of the records that describe complete objects."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import TypeGuard

import cbor2

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.blocks import Namespace, SegmentId

META_SUFFIX = '.meta'
_META_VERSION = 2
# Records of version 1 have no depth, which is the last field.
_FIRST_VERSION = 1
_CHECKSUM_BYTES = 32
_FIELD_TYPES = (int, str, bytes, bytes, int, bytes, float, int)
# Deeper positions in a prompt are stored as this depth.
MAX_DEPTH = 65_535


@dataclass(frozen=True, slots=True)
class SealedMeta:
    """Describe a verified object; stored beside it.

    `gap` is the expected time until the next use, `depth` the position of the
    segment in its prompt.
    """

    object_name: str
    namespace: Namespace
    segment: SegmentId
    length: int
    digest: bytes
    gap: Millis = 0.0
    depth: int = 0


def encode_meta(meta: SealedMeta) -> bytes:
    """Return the stored form of a record: its digest, then CBOR."""
    body = cbor2.dumps(
        [
            _META_VERSION,
            meta.object_name,
            meta.namespace,
            meta.segment,
            meta.length,
            meta.digest,
            float(meta.gap),
            meta.depth,
        ]
    )
    return _checksum(body) + body


def decode_meta(data: bytes) -> SealedMeta | None:
    """Decode a stored record; None if it is damaged or of another form."""
    checksum, body = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
    if not hmac.compare_digest(checksum, _checksum(body)):
        return None
    fields: object = cbor2.loads(body)
    if isinstance(fields, list) and fields[:1] == [_FIRST_VERSION]:
        fields = [_META_VERSION, *fields[1:], 0]
    if not _is_record(fields):
        return None
    return SealedMeta(*fields[1:])


def _checksum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=_CHECKSUM_BYTES).digest()


def _is_record(
    fields: object,
) -> TypeGuard[tuple[int, str, bytes, bytes, int, bytes, float, int]]:
    if not isinstance(fields, list) or len(fields) != len(_FIELD_TYPES):
        return False
    if fields[0] != _META_VERSION:
        return False
    pairs = zip(fields, _FIELD_TYPES, strict=True)
    if not all(type(value) is expected for value, expected in pairs):
        return False
    return bool(0 <= fields[-1] <= MAX_DEPTH)
