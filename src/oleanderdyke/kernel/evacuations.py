"""Data centres whose backend servers must get no new work."""

from __future__ import annotations

import math
from collections.abc import Iterable

from oleanderdyke.clock import SECOND, Millis

# Operators write evacuations again that a restored store lacks; until then a
# missing one may still be in force.
_RESTORE_HOLD: Millis = 10 * SECOND


class Evacuations:
    """Evacuations of data centres that operators have ordered.

    Losing contact with the operators changes nothing: an evacuation ends only
    if they cancel it or if a complete listing does not contain it.
    """

    def __init__(self) -> None:
        self._active: frozenset[str] = frozenset()
        self._ended: dict[str, Millis] = {}
        # When the evacuations end that a restored store lacks.
        self._held_until: dict[str, Millis] = {}

    @property
    def active(self) -> frozenset[str]:
        """Return the data centres that get no new work."""
        return self._active

    def begin(self, data_centre: str) -> bool:
        """Stop new work; return whether it was allowed before."""
        self._held_until.pop(data_centre, None)
        if data_centre in self._active:
            return False
        self._active |= {data_centre}
        return True

    def end(self, data_centre: str, now: Millis) -> bool:
        """Allow new work again; return whether it was stopped before."""
        self._held_until.pop(data_centre, None)
        if data_centre not in self._active:
            return False
        self._active -= {data_centre}
        self._ended[data_centre] = now
        return True

    def find_missing(
        self, listed: Iterable[str], now: Millis, *, is_restored: bool
    ) -> frozenset[str]:
        """Return the evacuations that ended, given a complete listing.

        Those missing from a restored store stay in force for a while.
        """
        missing = self._active - frozenset(listed)
        if is_restored:
            self._held_until |= dict.fromkeys(missing, now + _RESTORE_HOLD)
        return missing - self._held_until.keys()

    def find_expired(self, now: Millis) -> frozenset[str]:
        """Return evacuations that were not written again since a restore."""
        return frozenset(
            data_centre
            for data_centre, until in self._held_until.items()
            if now >= until
        )

    def find_ended(self, data_centre: str) -> Millis:
        """Return when the last evacuation ended, minus infinity if none did."""
        return self._ended.get(data_centre, -math.inf)
