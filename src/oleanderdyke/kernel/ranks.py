"""Rank entries at a backend server, alike wherever it is computed."""

from __future__ import annotations

import hashlib
from collections.abc import Collection
from functools import lru_cache

_DIGEST_BYTES = 8
_RANKS = 256.0**_DIGEST_BYTES
# Ranks of some hundred entries at the servers that are ranked at one time.
_REMEMBERED = 8_192


@lru_cache(_REMEMBERED)
def find_rank(server: str, entry: str) -> int:
    """Return the rank of an entry at a server; lower ones go first."""
    text = f'{server}/{entry}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def find_spread(server: str, entry: str) -> float:
    """Return a number from 0 to 1, spread evenly over entries."""
    return find_rank(server, entry) / _RANKS


def count_ahead(
    server: str, entry: str, *, known: Collection[str], count: float
) -> float:
    """Count the entries that may rank ahead of one; never underestimates.

    `count` is how many may be alive, of which some are `known` by name. All
    others count as ahead.
    """
    unknown = max(count - len({*known, entry}), 0)
    own = find_rank(server, entry)
    return unknown + sum(find_rank(server, other) < own for other in known)
