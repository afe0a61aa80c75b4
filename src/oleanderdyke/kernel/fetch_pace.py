"""Decide how long a fetch is worth its wait."""

from __future__ import annotations

from oleanderdyke.clock import Millis

# A pace is not known to within this.
PACE_TOLERANCE: Millis = 50.0


class FetchPace:
    """Compare a fetch, as measured, with computing what is left of it.

    Until the first of `count` segments has come, all may take `step` each.
    From then on the pace is known, and the fetch is worth its wait while the
    others keep to `step`. An engine that would have to compute for several
    fetches takes so many times longer. `limit` bounds the fetch in any case.
    """

    def __init__(
        self, count: int, step: Millis, limit: Millis, *, now: Millis
    ) -> None:
        self._count = count
        self._step = step
        self._limit = now + limit
        self._from = now

    def find_deadline(
        self, arrived: int, now: Millis, *, sharing: int = 1
    ) -> Millis:
        """Return the time by which the segment after these must be there.

        Call it once for each number of arrived segments, in order.
        """
        if arrived == 1:
            self._from = now + PACE_TOLERANCE
        steps = arrived or self._count
        wait = steps * self._step * max(1, sharing)
        return min(self._from + wait, self._limit)
