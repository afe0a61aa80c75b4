"""Shares of the request rate that a backend server accepts.

An overloaded server announces a rate for the sum over all entries. They do not
coordinate while they serve a request: a few entries, ranked alike in every
process, have equal shares of most of the rate. All others, and entries that
some may not know yet, send seldom, to probe whether the limit still holds.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.scheduling.ranks import (
    count_ahead,
    find_fraction,
    limit_count,
)

# Least number of entries with a share; there are as many as requests per second
# if that is more. If all of them send at once, the server gets this many
# requests beyond its rate.
_MIN_SENDERS = 4
# Share of the rate that is left to all other entries.
_PROBE_SHARE = 0.2
# Requests per second by which a server that accepts none is probed.
_MIN_RATE = 0.1
# Answers may arrive out of order: one without a limit does not end a limit that
# another answer announced this shortly before.
_REORDERING: Millis = 250.0


@dataclass(frozen=True, slots=True)
class EntryCounts:
    """Counts of the entries that share a rate; none is an underestimate.

    `count` is the number of entries that may be alive, some of which are
    `known` by name. `sharing` is the number that shares the rate, infinite for
    an entry that others may not know yet.
    """

    known: Collection[str]
    count: float
    sharing: float


@dataclass(slots=True)
class RateLimit:
    """Requests per second that a server accepts from all entries together.

    The rate is infinite if the server announces no limit. `since` is the local
    time from which this entry has known of a limit.
    """

    per_second: float = math.inf
    since: Millis = -math.inf
    _limited_at: Millis = -math.inf
    _reported_at: Millis = -math.inf

    @property
    def is_set(self) -> bool:
        """Return whether the server currently announces a limit."""
        return self.per_second < math.inf

    @property
    def was_ever_set(self) -> bool:
        """Return whether the server has ever announced a limit."""
        return self._limited_at > -math.inf

    def update(
        self, per_second: float, reported_at: Millis, now: Millis
    ) -> bool:
        """Apply a rate from an answer; return whether it changed.

        `reported_at` is the time of the answer, which is earlier than `now` if
        another entry received it.
        """
        if reported_at < self._reported_at:
            return False
        self._reported_at = reported_at
        if (
            math.isinf(per_second)
            and reported_at - self._limited_at < _REORDERING
        ):
            return False
        if per_second < math.inf:
            self._limited_at = reported_at
        if per_second == self.per_second:
            return False
        if not self.is_set:
            self.since = now
        self.per_second = per_second
        return True


def find_interval(
    rate: float, server: str, *, entry: str, entries: EntryCounts
) -> Millis:
    """Return the minimum time between two requests of an entry to a server.

    It is infinite while the number of live entries is unknown.
    """
    rate = max(rate, _MIN_RATE)
    senders = max(_MIN_SENDERS, math.floor(rate))
    sharing = limit_count(entries.sharing)
    if sharing <= senders:
        return SECOND * sharing / rate
    ahead = count_ahead(server, entry, known=entries.known, count=sharing)
    if ahead < senders:
        return SECOND * senders / (rate * (1 - _PROBE_SHARE))
    # Spread the probes of entries that learn of a limit together.
    spread = 0.5 + find_fraction(server, entry)
    count = limit_count(entries.count)
    return SECOND * count / (rate * _PROBE_SHARE) * spread
