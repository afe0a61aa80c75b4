"""Turn messages into CBOR and back."""

from __future__ import annotations

from oleanderdyke.links.messages import Message


def encode(message: Message) -> bytes:
    """Return the CBOR map of a message."""
    raise NotImplementedError


def decode(data: bytes) -> Message:
    """Return the message; raise OleanderError(PROTOCOL) for anything else."""
    raise NotImplementedError
