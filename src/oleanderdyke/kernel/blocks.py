"""Ids of prompt segments, and digests of their cached bytes."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.kernel.demand import SEGMENT_BYTES, SegmentHint

SegmentId: TypeAlias = bytes
Namespace: TypeAlias = bytes

ID_BYTES = 32
HINT_BYTES = 8
_LENGTH_BYTES = 4


@dataclass(frozen=True, slots=True)
class PromptMessage:
    """Hold the role and the text of one message of a conversation."""

    role: str
    content: str


def encode_prompt(messages: Sequence[PromptMessage]) -> bytes:
    """Return the canonical bytes of a prompt.

    Raises BAD_REQUEST for a NUL, or a line feed in a role: with these, two
    conversations could have the same encoding.
    """
    if any(_is_ambiguous(message) for message in messages):
        raise OleanderError(
            ErrorKind.BAD_REQUEST,
            'a message has a NUL, or a line feed in its role',
        )
    text = ''.join(f'{each.role}\0{each.content}\n' for each in messages)
    try:
        return text.encode()
    except UnicodeEncodeError:
        raise OleanderError(
            ErrorKind.BAD_REQUEST,
            'a message has a lone surrogate, which UTF-8 cannot encode',
        ) from None


def make_namespace(
    team: str, service: str, model: str, weight_digest: str, adapter: str
) -> Namespace:
    """Return the namespace within which segments may be shared."""
    digest = hashlib.blake2b(digest_size=ID_BYTES)
    for part in (team, service, model, weight_digest, adapter):
        data = part.encode()
        digest.update(len(data).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(data)
    return digest.digest()


def split_segments(
    namespace: Namespace, prompt: bytes
) -> tuple[SegmentId, ...]:
    """Return the chained ids of the complete segments of a prompt."""
    return tuple(_chain(namespace, prompt))


def make_hint(segment: SegmentId) -> SegmentHint:
    """Return the first HINT_BYTES bytes of a segment's id."""
    return segment[:HINT_BYTES]


def digest_segment(data: bytes) -> bytes:
    """Return the BLAKE2b digest of a segment's cached bytes."""
    return hashlib.blake2b(data, digest_size=ID_BYTES).digest()


def verify_segment(data: bytes, length: int, digest: bytes) -> bool:
    """Return whether cached bytes match their length and digest."""
    if len(data) != length:
        return False
    return hmac.compare_digest(digest_segment(data), digest)


def _is_ambiguous(message: PromptMessage) -> bool:
    if '\0' in message.content:
        return True
    return '\0' in message.role or '\n' in message.role


def _chain(namespace: Namespace, prompt: bytes) -> Iterable[SegmentId]:
    parent = namespace
    blake2b = hashlib.blake2b
    complete = len(prompt) - len(prompt) % SEGMENT_BYTES
    for start in range(0, complete, SEGMENT_BYTES):
        data = parent + prompt[start : start + SEGMENT_BYTES]
        parent = blake2b(data, digest_size=ID_BYTES).digest()
        yield parent
