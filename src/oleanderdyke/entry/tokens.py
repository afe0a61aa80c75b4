"""Encode resume tokens, which name the agent that holds a stream."""

from __future__ import annotations

import base64
import binascii
import json
from dataclasses import dataclass

from oleanderdyke.errors import ErrorKind, OleanderError

_TOKEN_MAX_CHARS = 1024


@dataclass(frozen=True, slots=True)
class StreamToken:
    """Identify a stream and the agent that holds it."""

    agent: str
    token: str


def encode_token(stream: StreamToken) -> str:
    """Return the token in the form sent to callers."""
    text = json.dumps([stream.agent, stream.token], separators=(',', ':'))
    return base64.urlsafe_b64encode(text.encode()).rstrip(b'=').decode()


def decode_token(text: str) -> StreamToken:
    """Decode a resume token; raise STREAM_GONE if it is malformed."""
    try:
        return _decode(text)
    except (ValueError, binascii.Error, RecursionError) as error:
        raise make_stream_gone() from error


def make_stream_gone() -> OleanderError:
    """Return the error for a malformed token or a missing stream."""
    return OleanderError(ErrorKind.STREAM_GONE, 'no such stream')


def _decode(text: str) -> StreamToken:
    if len(text) > _TOKEN_MAX_CHARS:
        raise ValueError
    padding = '=' * (-len(text) % 4)
    match json.loads(base64.urlsafe_b64decode(text + padding)):
        case [str(agent), str(token)]:
            return StreamToken(agent, token)
        case _:
            raise ValueError
