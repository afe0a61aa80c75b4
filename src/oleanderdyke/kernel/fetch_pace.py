"""Decide how long a fetch is worth its wait."""

from __future__ import annotations

from oleanderdyke.clock import Millis

# A pace is not known to within this.
GRACE: Millis = 50.0


class FetchPace:
    """Compare a fetch, as measured, with computing what is left of it.

    Until the first segment has come, the wait is bounded by the whole budget.
    From then on the pace is known, and the fetch is worth its wait while the
    others keep to `step` for each; `limit` bounds it in any case.
    """

    def __init__(
        self, budget: Millis, step: Millis, limit: Millis, *, now: Millis
    ) -> None:
        self._limit = now + limit
        self._from = now + budget
        self._step = step

    def find_deadline(self, count: int, now: Millis) -> Millis:
        """Return the time by which the segment after `count` must be there.

        Call it once for each count, in order.
        """
        if count == 1:
            self._from = now + GRACE
        return min(self._from + count * self._step, self._limit)
