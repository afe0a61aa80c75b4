"""Encode and decode the records of the configuration log."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.kernel.objects import Change

CONFIGURATION_LOG = 'configuration'


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Hold one part of a snapshot of the state at offset `through`."""

    through: int
    index: int
    last: bool
    items: bytes
    digest: bytes


def encode_change(change: Change) -> bytes:
    """Encode a change as a log record."""
    raise NotImplementedError
