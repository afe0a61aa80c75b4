"""Know the entries of one data centre, and who of them reads what for all.

Each process draws the same order of readers for a source from the names of the
entries, so nobody is elected. Two that read the same cost calls, none costs the
time until someone notices; what is read is never wrong for it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.presence import ANNOUNCEMENT_LIFETIME
from oleanderdyke.kernel.ranks import find_rank

# Who failed is passed over for so long, and twice as long for each further
# failure: a frozen or lost entry is asked in vain some ten times a minute.
_FIRST_PAUSE: Millis = 1 * SECOND
_LONGEST_PAUSE: Millis = 8 * SECOND
# Who is asked for what it doesn't read, reads it for so long: its asker knows
# other entries than it does.
_ASKED_LIFE: Millis = 3 * SECOND

# Who reads one of the platform's topics reads all that are followed.
RECORD_SOURCE = 'records'
# Stores of context are read in so many groups, so that an entry has links to
# few neighbours, and none reads all.
_CONTEXT_GROUPS = 2
CONTEXT_SOURCES = tuple(
    f'contexts-{number}' for number in range(_CONTEXT_GROUPS)
)


def find_context_source(store: str) -> str:
    """Return the source that a store of context is read with."""
    return CONTEXT_SOURCES[sum(store.encode()) % _CONTEXT_GROUPS]


@dataclass(frozen=True, slots=True)
class Neighbour:
    """Name an entry, and the `host:port` that it takes links at, if any."""

    name: str
    address: str
    data_centre: str


class Neighbours:
    """Rank the entries of a data centre as readers of each source.

    `own` is the name of this process; an agent, which reads for nobody else,
    is not among the entries.
    """

    def __init__(self, own: str, data_centre: str) -> None:
        self._own = own
        self._data_centre = data_centre
        self._known: dict[str, Neighbour] = {}
        self._heard: dict[str, Millis] = {}
        self._failures: defaultdict[str, int] = defaultdict(int)
        self._out_until: dict[str, Millis] = {}
        self._asked_at: dict[str, Millis] = {}

    def record_alive(self, neighbour: Neighbour, now: Millis) -> None:
        """Learn that an entry is alive."""
        if neighbour.address and neighbour.data_centre == self._data_centre:
            self._known[neighbour.name] = neighbour
            self._heard[neighbour.name] = now

    def record_success(self, name: str, now: Millis) -> None:
        """Learn that an entry answered well."""
        self._failures.pop(name, None)
        self._out_until.pop(name, None)
        if name in self._known:
            self._heard[name] = now

    def record_failure(self, name: str, now: Millis) -> None:
        """Pass an entry over for a while, this process too."""
        pause = _FIRST_PAUSE * 2 ** self._failures[name]
        self._failures[name] += 1
        self._out_until[name] = now + min(pause, _LONGEST_PAUSE)

    def record_request(self, source: str, now: Millis) -> None:
        """Learn that another process relies on this one for a source."""
        self._asked_at[source] = now

    def find_reader(self, source: str, now: Millis) -> Neighbour | None:
        """Return who reads a source, None where this process does."""
        asked_at = self._asked_at.get(source, -math.inf)
        if now - asked_at < _ASKED_LIFE and not self._is_out(self._own, now):
            return None
        found = self.rank(source, now)
        return None if not found or found[0].name == self._own else found[0]

    def record_own_failure(self, now: Millis) -> None:
        """Learn that this process can't read for itself, and pass it over."""
        self.record_failure(self._own, now)

    def record_own_success(self, now: Millis) -> None:
        """Learn that this process reads for itself."""
        self.record_success(self._own, now)

    def rank(self, source: str, now: Millis) -> list[Neighbour]:
        """Return the entries that may read a source, the first one first."""
        alive = [
            each
            for name, each in self._known.items()
            if now - self._heard[name] < ANNOUNCEMENT_LIFETIME
            and not self._is_out(name, now)
        ]
        return sorted(alive, key=lambda each: find_rank(source, each.name))

    def _is_out(self, name: str, now: Millis) -> bool:
        return self._out_until.get(name, -math.inf) > now
