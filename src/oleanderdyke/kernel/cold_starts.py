"""Share among entries what a backend server tolerates while it is cold.

A server that has just started crashes under a rate that it bears later. The
bound holds for the sum over all entries, which exchange nothing on the path of
a request, so each keeps to a share that needs no agreement.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.ranks import count_ahead

# Slightly longer than the second that the bound is stated for, so that two
# sends this far apart never count in the same one.
_WINDOW: Millis = 1.05 * SECOND


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Requests a second that a cold server tolerates from all entries.

    A server stays cold for `lasts` after it became so.
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
    """Return the least time between two sends of an entry to a cold server.

    Infinity where the entry has no share. `count` is how many entries may be
    alive, of which some are `known` by name. While it is no underestimate, the
    sends of all entries stay within the limit in every second.
    """
    whole_rate = math.floor(limit.per_second)
    if count <= whole_rate:
        return _WINDOW / (whole_rate // max(count, 1))
    # More entries than requests: each server has others that may send.
    ahead = count_ahead(server, entry, known=known, count=count)
    return _WINDOW if ahead < whole_rate else math.inf
