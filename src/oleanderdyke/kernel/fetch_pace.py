"""Deadlines of a fetch, by the cost of computing its segments."""

from __future__ import annotations

from oleanderdyke.clock import Millis

# Measurement error of the arrival times.
PACE_TOLERANCE: Millis = 50.0


class FetchPace:
    """Compare a running fetch with computing the rest of its segments.

    `step` is the time to compute one segment. The first of `count` segments may
    take as long as computing all of them. After it has arrived, the fetch is
    worth waiting for while the others take no longer than `step` each on
    average. An engine that would have to compute for several fetches
    (`sharing`) takes that many times longer. `limit` bounds the fetch in any
    case.
    """

    def __init__(
        self, count: int, step: Millis, limit: Millis, *, now: Millis
    ) -> None:
        self._count = count
        self._step = step
        self._limit = now + limit
        self._start = now

    def find_deadline(
        self, arrived: int, now: Millis, *, sharing: int = 1
    ) -> Millis:
        """Return the time by which the next segment has to arrive.

        `arrived` counts the segments that have arrived. Call it once for each
        count, in rising order.
        """
        if arrived == 1:
            self._start = now + PACE_TOLERANCE
        steps = arrived or self._count
        wait = steps * self._step * max(1, sharing)
        return min(self._start + wait, self._limit)
