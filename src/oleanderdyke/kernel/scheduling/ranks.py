"""Rendezvous hashing of names, with the same result in every process."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection
from functools import lru_cache

_DIGEST_BYTES = 8
_RANK_COUNT = 256.0**_DIGEST_BYTES
# Bounds the memory for ranks of shared prompt parts at each engine.
_CACHE_SIZE = 8_192


@lru_cache(_CACHE_SIZE)
def find_rank(subject: str, name: str) -> int:
    """Return the rank of a name for a subject; lower ranks go first."""
    text = f'{subject}/{name}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def find_fraction(subject: str, name: str) -> float:
    """Return a number from 0 to 1, evenly distributed over names."""
    return find_rank(subject, name) / _RANK_COUNT


def limit_count(count: float) -> float:
    """Return a count of entries to divide by: at least 1, infinite if NaN."""
    return math.inf if math.isnan(count) else max(count, 1.0)


def count_ahead(
    subject: str, name: str, *, known: Collection[str], count: float
) -> float:
    """Return an upper bound of the names that rank before a name.

    `count` is an upper bound of the number of names, some of which are `known`.
    Unknown names count as ranking before it.
    """
    unknown = max(count - len({*known, name}), 0)
    own = find_rank(subject, name)
    return unknown + sum(find_rank(subject, other) < own for other in known)
