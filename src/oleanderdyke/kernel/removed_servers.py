"""Detection of servers that return after their entry was removed."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.servers import ServerRecord

# A server writes a record when something changes, which may be only once. A
# record written before the entry was removed may arrive after that; it is
# removed in turn after three heartbeats of 1.2 s, and that removal is read at
# most 1.4 s later. An entry that stays longer belongs to a live server.
_CONFIRMATION_TIME: Millis = 5.5 * SECOND
# The platform guarantees that a server whose entry lapsed during an outage of
# the store is listed again within about two seconds.
_LAPSE_TIME: Millis = 2 * SECOND
# Gap between two reads of the list that may have let entries lapse.
_READ_GAP: Millis = 1_500.0


@dataclass(frozen=True, slots=True)
class _Candidate:
    """The first record after an entry was removed."""

    record: ServerRecord
    since: Millis


class RemovedServers:
    """Hold back records of removed servers until they are confirmed."""

    def __init__(self) -> None:
        self._removed: dict[str, _Candidate | None] = {}
        self._read_at: Millis | None = None
        self._lapse_until: Millis = 0.0

    def record_list_read(self, now: Millis, read_at: Millis) -> None:
        """Record a read of the list, before its entries are applied.

        `read_at` is earlier than `now` if another process made the read.
        """
        last = self._read_at
        if last is not None and read_at - last > _READ_GAP:
            self._lapse_until = now + _LAPSE_TIME
        self._read_at = read_at if last is None else max(read_at, last)

    def record_restore(self, now: Millis) -> None:
        """Record that the list was restored and may lack live servers."""
        self._lapse_until = now + _LAPSE_TIME

    def is_lapsing(self, now: Millis) -> bool:
        """Return whether entries may be missing only due to a store outage."""
        return now < self._lapse_until

    def remove(self, server: str, now: Millis) -> None:
        """Record that an entry was removed, unless it may just have lapsed."""
        if not self.is_lapsing(now):
            self._removed[server] = None

    def forget(self, server: str) -> None:
        """Accept all further records of a server, which has started anew."""
        self._removed.pop(server, None)

    def is_removed(self, server: str) -> bool:
        """Return whether a server's entry was removed, not confirmed since."""
        return server in self._removed

    def should_hold(self, record: ServerRecord, now: Millis) -> bool:
        """Return whether a record may be older than the removal of its entry.

        A second, later record confirms that the server is alive.
        """
        if record.server not in self._removed:
            return False
        first = self._removed[record.server]
        if first is not None and record.revision > first.record.revision:
            del self._removed[record.server]
            return False
        if first is None:
            self._removed[record.server] = _Candidate(record, now)
        return True

    def take_confirmed(self, now: Millis) -> list[ServerRecord]:
        """Return the records that have stayed long enough to be confirmed."""
        confirmed = [
            found.record
            for found in self._removed.values()
            if found is not None and now - found.since > _CONFIRMATION_TIME
        ]
        for record in confirmed:
            del self._removed[record.server]
        return confirmed
