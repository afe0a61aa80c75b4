"""Share among entries the rate of requests that a backend server accepts.

A server in need names a rate for the sum of what all entries send. They agree
on nothing on the path of a request: a few of them, ranked alike everywhere,
have equal shares of most of the rate. Each of the others, and each that some
may not know yet, sends seldom, to find out whether the limit still holds.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.ranks import count_ahead, find_fraction

# So many entries have a share, or as many as there are requests in a second.
# Where all send at once, the server gets so many more than the rate allows.
_MIN_SENDERS = 4
# The part of the rate that is left to all other entries.
_PROBE_SHARE = 0.2
# A server that accepts nothing is asked so often, in requests a second,
# whether it does again.
_MIN_RATE = 0.1
# Answers may overtake each other. One without a limit doesn't end a limit that
# another named so shortly before.
_REORDERING: Millis = 250.0


@dataclass(frozen=True, slots=True)
class EntryCounts:
    """Entries among which a rate is shared.

    `count` is how many may be alive, of which some are `known` by name;
    `sharing` is among how many a rate is shared, infinite for an entry that
    others may not know yet. Neither is an underestimate.
    """

    known: Collection[str]
    count: float
    sharing: float


@dataclass(slots=True)
class RateLimit:
    """Requests a second that a server accepts from all entries together.

    It is infinite unless the server names one. This entry has known of it
    `since` a moment on its own clock.
    """

    per_second: float = math.inf
    since: Millis = -math.inf
    _limited_at: Millis = -math.inf
    _reported_at: Millis = -math.inf

    @property
    def is_set(self) -> bool:
        """Return whether the server names a limit."""
        return self.per_second < math.inf

    @property
    def was_ever_set(self) -> bool:
        """Return whether the server has ever named a limit."""
        return self._limited_at > -math.inf

    def update(
        self, per_second: float, reported_at: Millis, now: Millis
    ) -> bool:
        """Take what an answer named at a moment; return whether it is new.

        A neighbour may have been told earlier than now.
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
    """Return the least time between two requests of an entry to a server.

    Infinity while it isn't known how many entries may be alive.
    """
    rate = max(rate, _MIN_RATE)
    senders = max(_MIN_SENDERS, math.floor(rate))
    if entries.sharing <= senders:
        return SECOND * entries.sharing / rate
    ahead = count_ahead(
        server, entry, known=entries.known, count=entries.sharing
    )
    if ahead < senders:
        return SECOND * senders / (rate * (1 - _PROBE_SHARE))
    # Entries that learn of a limit together don't probe together.
    spread = 0.5 + find_fraction(server, entry)
    return SECOND * entries.count / (rate * _PROBE_SHARE) * spread
