"""Define the records of the claims log and their encoding."""

from __future__ import annotations

import dataclasses
import hashlib
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeAlias

from oleanderdyke.cbor import dump_cbor, load_cbor
from oleanderdyke.clock import Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.links.messages import Headers
from oleanderdyke.links.messages.claims import Claim

CLAIMS_LOG = 'claims'
KEY_BYTES = 20
MAX_RECORDED_BODY_BYTES = 16 * 1024
_LENGTH_BYTES = 4


class Place(NamedTuple):
    """Locate a record: the log offset of its batch and its index within it."""

    offset: int
    position: int


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Claim an idempotency key for one agent's incarnation.

    `claim_id` is unique to this append, so that reading the log finds the
    claim even if the reply to the append was lost. `horizon` is part of the
    record so that all readers expire it alike, whatever their configuration.
    """

    key: str
    digest: str
    agent: str
    incarnation: str
    beat: int
    appender: str
    claim_id: str
    horizon: Millis


@dataclass(frozen=True, slots=True)
class ReleaseRecord:
    """Free a key whose claim was barred by its agent."""

    key: str
    offset: int
    index: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class WithdrawRecord:
    """Withdraw a claim that its appender never dispatched and never will.

    The claim is identified by its id, because the appender may not know
    whether it reached the log or at which offset. A withdrawal also takes
    effect if it precedes its claim in the log.
    """

    key: str
    claim_id: str


@dataclass(frozen=True, slots=True)
class OutcomeRecord:
    """Record the answer to a claim; of a long body only the digest."""

    key: str
    offset: int
    index: int
    status: int
    headers: Headers
    body: bytes = b''
    body_digest: bytes = b''


@dataclass(frozen=True, slots=True)
class RenewalRecord:
    """Repeat a live claim, with its place and time, before its record expires.

    `through` is the last offset that the appender had applied.
    """

    claim: ClaimRecord
    offset: int
    index: int
    at: Millis
    through: int
    outcome: OutcomeRecord | None = None


ClaimsRecord: TypeAlias = (
    ClaimRecord | ReleaseRecord | WithdrawRecord | OutcomeRecord | RenewalRecord
)


def make_key(team: str, service: str, idempotency_key: str) -> str:
    """Return the claim key, unique to the team, service and idempotency key."""
    hasher = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (team, service, idempotency_key):
        data = part.encode()
        hasher.update(len(data).to_bytes(_LENGTH_BYTES, 'big'))
        hasher.update(data)
    return hasher.hexdigest()


def encode_batch(records: Sequence[ClaimsRecord]) -> bytes:
    """Encode records as one log record, in order."""
    return dump_cbor([_encode(record) for record in records])


def decode_batch(data: bytes) -> tuple[ClaimsRecord | None, ...]:
    """Decode a log record; None stands for each undecodable record in it."""
    try:
        items = load_cbor(data)
    except OleanderError:
        return ()
    if not isinstance(items, list):
        return ()
    return tuple(_decode(item) for item in items)


def make_claim(record: ClaimRecord, place: Place) -> Claim:
    """Return the claim made by a record at its place in the log."""
    return Claim(
        offset=place.offset,
        index=place.position,
        key=record.key,
        agent=record.agent,
        incarnation=record.incarnation,
        beat=record.beat,
    )


# A record is encoded as a list: its tag, then its fields in declared order.
# New fields must be added last with a default; readers ignore extra values.
_TAGS: Mapping[type[Any], int] = {
    ClaimRecord: 1,
    ReleaseRecord: 2,
    WithdrawRecord: 3,
    OutcomeRecord: 4,
    RenewalRecord: 5,
}
_TYPES: Mapping[int, type[Any]] = {tag: cls for cls, tag in _TAGS.items()}


class _Undecodable(Exception):
    """A record can't be decoded."""


def _encode(record: ClaimsRecord) -> list[object]:
    values = (
        _encode_value(field.name, getattr(record, field.name))
        for field in dataclasses.fields(record)
    )
    return [_TAGS[type(record)], *values]


def _encode_value(name: str, value: Any) -> object:
    if name == 'key':
        return bytes.fromhex(value)
    if name == 'headers':
        return [list(pair) for pair in value]
    if type(value) in _TAGS:
        return _encode(value)
    return value


def _decode(item: object) -> ClaimsRecord | None:
    try:
        record: ClaimsRecord = _decode_record(item)
    except _Undecodable:
        return None
    return record


def _decode_record(item: object) -> Any:
    if not isinstance(item, list) or not item:
        raise _Undecodable
    tag = item[0]
    if type(tag) is not int or tag not in _TYPES:
        raise _Undecodable
    decoders = _DECODERS[tag]
    values = item[1 : len(decoders) + 1]
    if len(values) < _REQUIRED[tag]:
        raise _Undecodable
    pairs = zip(decoders, values, strict=False)
    return _TYPES[tag](*(decode(value) for decode, value in pairs))


def _decode_text(value: object) -> str:
    if type(value) is not str:
        raise _Undecodable
    return value


def _decode_key(value: object) -> str:
    if type(value) is not bytes or len(value) != KEY_BYTES:
        raise _Undecodable
    return value.hex()


def _decode_count(value: object) -> int:
    if type(value) is not int or value < 0:
        raise _Undecodable
    return value


def _decode_millis(value: object) -> Millis:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise _Undecodable
    if not math.isfinite(value) or value < 0:
        raise _Undecodable
    return float(value)


def _decode_bytes(value: object) -> bytes:
    if type(value) is not bytes:
        raise _Undecodable
    return value


def _decode_headers(value: object) -> Headers:
    if not isinstance(value, list):
        raise _Undecodable
    return tuple(_decode_header(pair) for pair in value)


def _decode_header(pair: object) -> tuple[str, str]:
    if not isinstance(pair, list) or len(pair) != 2:
        raise _Undecodable
    return _decode_text(pair[0]), _decode_text(pair[1])


def _decode_claim(value: object) -> ClaimRecord:
    record: object = _decode_record(value)
    if not isinstance(record, ClaimRecord):
        raise _Undecodable
    return record


def _decode_outcome(value: object) -> OutcomeRecord | None:
    if value is None:
        return None
    record: object = _decode_record(value)
    if not isinstance(record, OutcomeRecord):
        raise _Undecodable
    return record


_DECODERS_BY_TYPE: Mapping[str, Callable[[object], object]] = {
    'str': _decode_text,
    'int': _decode_count,
    'Millis': _decode_millis,
    'bytes': _decode_bytes,
    'Headers': _decode_headers,
    'ClaimRecord': _decode_claim,
    'OutcomeRecord | None': _decode_outcome,
}


def _find_decoder(field: dataclasses.Field[Any]) -> Callable[[object], object]:
    if field.name == 'key':
        return _decode_key
    return _DECODERS_BY_TYPE[str(field.type)]


def _count_required(cls: type[Any]) -> int:
    missing = dataclasses.MISSING
    return sum(f.default is missing for f in dataclasses.fields(cls))


_DECODERS = {
    tag: tuple(_find_decoder(field) for field in dataclasses.fields(cls))
    for tag, cls in _TYPES.items()
}
_REQUIRED = {tag: _count_required(cls) for tag, cls in _TYPES.items()}
