"""Plain CBOR: no tags, no indefinite lengths and limited nesting."""

from __future__ import annotations

import io
from typing import NoReturn

import cbor2

from oleanderdyke.errors import ErrorKind, OleanderError

MAX_DEPTH = 8

# Tags that the library decodes itself, such as dates, big numbers, references,
# patterns, addresses and sets. All others reach the tag hook.
_BUILT_IN_TAGS = (
    *range(6),
    *(25, 28, 29, 30, 35, 36, 37, 52, 54, 100, 256, 258, 260, 261, 1004),
    *(43000, 55799),
)


def _refuse_tag(_tag: object, _immutable: object = None) -> NoReturn:
    raise cbor2.CBORDecodeError('tags are not allowed')


_TAG_DECODERS = dict.fromkeys(_BUILT_IN_TAGS, _refuse_tag)


def dump_cbor(value: object) -> bytes:
    """Encode a plain value as CBOR."""
    return cbor2.dumps(value)


def load_cbor(data: bytes) -> object:
    """Decode one value; raise OleanderError(PROTOCOL) for any other data."""
    stream = io.BytesIO(data)
    try:
        value: object = cbor2.CBORDecoder(
            stream,
            tag_hook=_refuse_tag,
            semantic_decoders=_TAG_DECODERS,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        ).decode()
    except Exception as error:  # the library raises several types
        raise OleanderError(ErrorKind.PROTOCOL, 'invalid CBOR') from error
    if stream.tell() != len(data):
        raise OleanderError(ErrorKind.PROTOCOL, 'bytes after the CBOR value')
    return value
