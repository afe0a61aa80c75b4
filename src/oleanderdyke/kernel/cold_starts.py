"""Shares of the request rate that a cold backend server tolerates.

A server that has just started crashes at a rate that it can serve later. The
limit holds for the sum over all entries. They do not coordinate while they
serve a request, so each entry computes its own share.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.scheduling.ranks import count_ahead, limit_count

# Slightly more than the second for which the limit is defined, so that two
# sends this far apart never fall into the same second.
_WINDOW: Millis = 1.05 * SECOND


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Requests per second that a cold server tolerates from all entries.

    `duration` is how long a server stays cold.
    """

    per_second: float
    duration: Millis


def find_interval(
    limit: ColdLimit,
    server: str,
    *,
    entry: str,
    known: Collection[str],
    count: float,
) -> Millis:
    """Return the minimum time between two sends of an entry to a server.

    It is infinite if the entry has no share. `count` is an upper bound of the
    number of live entries, some of which are `known` by name. As long as it is
    not an underestimate, the sends of all entries together stay within the
    limit in every second.
    """
    whole_rate = math.floor(limit.per_second)
    count = limit_count(count)
    if count <= whole_rate:
        return _WINDOW / (whole_rate // count)
    # More entries than requests per second: only the entries that rank first
    # for this server may send to it.
    ahead = count_ahead(server, entry, known=known, count=count)
    return _WINDOW if ahead < whole_rate else math.inf
