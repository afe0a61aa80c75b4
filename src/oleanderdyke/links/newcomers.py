"""Bound what accepted connections take before their peers are known."""

from __future__ import annotations

import math
import os
from typing import Protocol

# Bytes that all newcomers may have sent together. A hello takes a few hundred.
_RECEIVED_BYTES = 8 * 1024 * 1024
# Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS = 200
# Share of the others. Callers, servers, the store and known peers need the
# rest.
_DESCRIPTOR_SHARE = 1 / 16
_MIN_NEWCOMERS = 8
MAX_NEWCOMERS = 256


class Newcomer(Protocol):
    """A connection whose peer has sent no valid hello yet."""

    def __hash__(self) -> int:
        """Return the hash of its identity."""

    def abort(self) -> None:
        """Close the connection immediately."""


class Newcomers:
    """Close newcomers that are too many or send too much.

    Peers send their hello at once, so the oldest newcomer goes first.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # The bytes received from each, the oldest first.
        self._received: dict[Newcomer, int] = {}
        self._total = 0

    def add(self, connection: Newcomer) -> None:
        """Record a new connection, and close the oldest above the limit."""
        self._received[connection] = 0
        if len(self._received) > self._limit:
            self._close(next(iter(self._received)))

    def receive(self, connection: Newcomer, size: int) -> None:
        """Record received bytes; close those that sent most if need be."""
        if connection not in self._received:
            return
        self._received[connection] += size
        self._total += size
        while self._total > _RECEIVED_BYTES:
            self._close(max(self._received, key=self._received.__getitem__))

    def remove(self, connection: Newcomer) -> None:
        """Forget a connection that was closed, or whose peer is known."""
        self._total -= self._received.pop(connection, 0)

    def _close(self, connection: Newcomer) -> None:
        self.remove(connection)
        connection.abort()


def find_newcomer_limit(descriptors: float) -> int:
    """Return how many newcomers there may be at once.

    `descriptors` is how many the process may have open. The limit that the
    operating system sets may be lower.
    """
    allowed = os.sysconf('SC_OPEN_MAX')
    if allowed > 0:
        descriptors = min(descriptors, allowed)
    if math.isinf(descriptors):
        return MAX_NEWCOMERS
    found = int((descriptors - _FILE_DESCRIPTORS) * _DESCRIPTOR_SHARE)
    return min(max(found, _MIN_NEWCOMERS), MAX_NEWCOMERS)
