"""Choose which entry of a data centre reads a source for all the others.

Each process derives the same order of readers from the names of the entries, so
that no election is needed. Two readers of one source only cost extra calls, and
a missing reader only a delay; neither makes the data wrong.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.presence import ANNOUNCEMENT_LIFETIME
from oleanderdyke.kernel.scheduling.ranks import find_rank

# An entry that failed is excluded for this time, doubled with each further
# failure: a frozen or lost entry gets about ten futile requests a minute.
_MIN_BACKOFF: Millis = 1 * SECOND
_MAX_DOUBLINGS = 3
# An entry that is asked for a source that it does not read starts to read it
# for this time, as the requesting process knows other entries than it does.
_REQUESTED_READ_PERIOD: Millis = 3 * SECOND

# All topics of the platform that are followed have one common reader.
RECORD_SOURCE = 'records'
# Context stores are divided into this many groups, so that an entry has links
# to few neighbours and no entry reads all stores.
_CONTEXT_GROUPS = 2
CONTEXT_SOURCES = tuple(
    f'contexts-{number}' for number in range(_CONTEXT_GROUPS)
)


def find_context_source(store: str) -> str:
    """Return the source, a group of stores, that a context store is part of."""
    return CONTEXT_SOURCES[sum(store.encode()) % _CONTEXT_GROUPS]


@dataclass(frozen=True, slots=True)
class Neighbour:
    """Identify an entry of the system.

    `address` is the `host:port` at which it accepts links, empty for none.
    """

    name: str
    address: str
    data_centre: str


class Neighbours:
    """Rank the entries of a data centre as readers of each source.

    `own` is the name of this process. An agent uses the readers too but reads
    for no other process, so it is never one of the entries.
    """

    def __init__(self, own: str, data_centre: str) -> None:
        self._own_name = own
        self._data_centre = data_centre
        self._entries: dict[str, Neighbour] = {}
        self._remote: dict[str, Neighbour] = {}
        self._last_seen: dict[str, Millis] = {}
        self._failures: defaultdict[str, int] = defaultdict(int)
        self._excluded_until: dict[str, Millis] = {}
        self._requested_at: dict[str, Millis] = {}

    def record_alive(self, neighbour: Neighbour, now: Millis) -> None:
        """Record that an entry is alive; only local ones may be readers."""
        if not neighbour.address:
            return
        is_local = neighbour.data_centre == self._data_centre
        known = self._entries if is_local else self._remote
        other = self._remote if is_local else self._entries
        other.pop(neighbour.name, None)
        known[neighbour.name] = neighbour
        self._last_seen[neighbour.name] = now

    def record_success(self, name: str, now: Millis) -> None:
        """Record a successful answer of an entry, ending its exclusion."""
        self._failures.pop(name, None)
        self._excluded_until.pop(name, None)
        if name in self._last_seen:
            self._last_seen[name] = now

    def record_failure(self, name: str, now: Millis) -> None:
        """Exclude an entry, possibly this one, for a backoff time."""
        doublings = min(self._failures[name], _MAX_DOUBLINGS)
        self._failures[name] += 1
        self._excluded_until[name] = now + _MIN_BACKOFF * 2**doublings

    def record_request(self, source: str, now: Millis) -> None:
        """Record that another process asked this one for a source."""
        self._requested_at[source] = now

    def find_reader(self, source: str, now: Millis) -> Neighbour | None:
        """Return the reader of a source, None if it is this process."""
        asked_at = self._requested_at.get(source, -math.inf)
        if now - asked_at < _REQUESTED_READ_PERIOD and not self._is_excluded(
            self._own_name, now
        ):
            return None
        readers = self.rank(source, now)
        return (
            None
            if not readers or readers[0].name == self._own_name
            else readers[0]
        )

    def record_own_failure(self, now: Millis) -> None:
        """Exclude this process as a reader after a failed read of its own."""
        self.record_failure(self._own_name, now)

    def record_own_success(self, now: Millis) -> None:
        """Record a successful read by this process, ending its exclusion."""
        self.record_success(self._own_name, now)

    def rank(self, source: str, now: Millis) -> list[Neighbour]:
        """Return the entries that may read a source, the preferred first."""
        alive = self._list_alive(self._entries, now)
        return sorted(alive, key=lambda entry: find_rank(source, entry.name))

    def list_others(self, now: Millis) -> list[Neighbour]:
        """Return the other entries of all data centres."""
        known = {**self._entries, **self._remote}
        known.pop(self._own_name, None)
        return self._list_alive(known, now)

    def list_remote_readers(self, source: str, now: Millis) -> list[Neighbour]:
        """Return the preferred reader of each other data centre."""
        first: dict[str, Neighbour] = {}
        alive = self._list_alive(self._remote, now)
        for entry in sorted(
            alive, key=lambda entry: find_rank(source, entry.name)
        ):
            first.setdefault(entry.data_centre, entry)
        return list(first.values())

    def _list_alive(
        self, entries: Mapping[str, Neighbour], now: Millis
    ) -> list[Neighbour]:
        return [
            entry
            for name, entry in entries.items()
            if now - self._last_seen[name] < ANNOUNCEMENT_LIFETIME
            and not self._is_excluded(name, now)
        ]

    def _is_excluded(self, name: str, now: Millis) -> bool:
        return self._excluded_until.get(name, -math.inf) > now
