"""Pins of objects that readers are copying."""

from __future__ import annotations

from collections import Counter
from itertools import count

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.store_meta import SealedMeta
from oleanderdyke.kernel.store_outcomes import Pinned


class PinTable:
    """Hold pins; their number and lifetime are limited."""

    def __init__(self, *, limit: int, time: Millis) -> None:
        self._limit = limit
        self._time = time
        self._numbers = count(1)
        # All pins have the same lifetime, so they expire in insertion order.
        self._pins: dict[int, Pinned] = {}
        self._counts: Counter[int] = Counter()

    def add(
        self, meta: SealedMeta, generation: int, now: Millis
    ) -> Pinned | None:
        """Return a new pin, or None if the limit is reached."""
        if len(self._pins) >= self._limit:
            return None
        pinned = Pinned(
            number=next(self._numbers),
            segment=meta.segment,
            generation=generation,
            object_name=meta.object_name,
            length=meta.length,
            digest=meta.digest,
            until=now + self._time,
        )
        self._pins[pinned.number] = pinned
        self._counts[generation] += 1
        return pinned

    def is_valid(self, pinned: Pinned, now: Millis) -> bool:
        """Return whether a pin exists and has not expired."""
        return pinned.number in self._pins and now < pinned.until

    def is_pinned(self, generation: int) -> bool:
        """Return whether a reader may be copying the object of a generation."""
        return generation in self._counts

    def remove(self, pinned: Pinned) -> bool:
        """Remove a pin; return whether its object has none left."""
        if self._pins.pop(pinned.number, None) is None:
            return False
        self._counts[pinned.generation] -= 1
        if self._counts[pinned.generation]:
            return False
        del self._counts[pinned.generation]
        return True

    def list_expired(self, now: Millis) -> tuple[Pinned, ...]:
        """Return the expired pins."""
        expired = []
        for pinned in self._pins.values():
            if now < pinned.until:
                break
            expired.append(pinned)
        return tuple(expired)
