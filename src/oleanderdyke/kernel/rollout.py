"""Decide when a model engine takes newly named weights."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.servers import ServerRecord

# Loads share the weight store: over two at once take longer, and the others
# have to serve meanwhile.
_AT_ONCE = 2
# A load takes two seconds after the runs have ended, which takes up to three,
# and is seen in the list a heartbeat later. Whoever takes longer no longer
# holds up the others; three rounds so spaced stay under the time in which new
# weights have to be in place.
_STUCK_AFTER: Millis = 7 * SECOND


@dataclass(frozen=True, slots=True)
class EngineState:
    """Hold what an engine reports; `orders` counts those it accepted."""

    versions: Mapping[str, int]
    is_busy: bool
    orders: int


@dataclass(frozen=True, slots=True)
class Target:
    """Name the newest weights of a model, and when they were heard of."""

    model: str
    version: int
    heard: Millis


@dataclass(frozen=True, slots=True)
class Turn:
    """Tell whether it is an engine's turn, and what decided.

    `ahead` counts the engines on old weights that go first, `allowed` how
    many of those may load at once by now.
    """

    is_due: bool
    ahead: int
    allowed: int


def find_target(state: EngineState, targets: Iterable[Target]) -> Target | None:
    """Return newer weights of a model that the engine holds."""
    for target in targets:
        held = state.versions.get(target.model)
        if held is not None and held < target.version:
            return target
    return None


def find_turn(
    server: str, target: Target, listed: Iterable[ServerRecord], now: Millis
) -> Turn:
    """Let engines take new weights in an order that all agree on.

    Every agent sorts the same list, so nobody has to lead.
    """
    ahead = count_ahead(server, target, listed)
    waited = max(now - target.heard, 0.0)
    allowed = _AT_ONCE * (1 + int(waited / _STUCK_AFTER))
    return Turn(ahead < allowed, ahead, allowed)


def count_ahead(
    server: str, target: Target, listed: Iterable[ServerRecord]
) -> int:
    """Count the engines on old weights that take new ones before a server."""
    own = _rank(server, target)
    ahead = 0
    for record in listed:
        held = record.versions.get(target.model)
        is_old = held is not None and held < target.version
        if is_old and not record.is_leaving:
            ahead += _rank(record.server, target) < own
    return ahead


def is_next(
    server: str, target: Target, listed: Iterable[ServerRecord]
) -> bool:
    """Tell whether a server takes new weights now or in the next round."""
    return count_ahead(server, target, listed) < 2 * _AT_ONCE


def _rank(server: str, target: Target) -> bytes:
    """Spread the order anew for each version."""
    text = f'{server}/{target.model}/{target.version}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
