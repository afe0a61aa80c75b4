"""Tell a backend server that is back from a record that came late."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.servers import ServerRecord

# A server writes a record when something changes, which may be once. What was
# written before its entry was removed may come after that, and is removed in
# turn after three heartbeats of 1.2 s; the removal is read 1.4 s later at most.
# So an entry that stays for longer is that of a server which lives.
_CONFIRMATION_TIME: Millis = 5.5 * SECOND
# The platform promises that a server whose entry lapsed while the store was
# away is back within about two seconds.
_LAPSE_TIME: Millis = 2 * SECOND
# A gap between readings of the list from which on entries may have lapsed.
_READ_GAP: Millis = 1_500.0


@dataclass(frozen=True, slots=True)
class _Candidate:
    """Hold the first record after an entry was removed."""

    record: ServerRecord
    since: Millis


class RemovedServers:
    """Keep servers whose entries were removed until they are surely back."""

    def __init__(self) -> None:
        self._removed: dict[str, _Candidate | None] = {}
        self._read_at: Millis | None = None
        self._lapse_until: Millis = 0.0

    def record_list_read(self, now: Millis, read_at: Millis) -> None:
        """Learn that the list was read, before what it says is taken.

        `read_at` is when, earlier than `now` where a neighbour did.
        """
        last = self._read_at
        if last is not None and read_at - last > _READ_GAP:
            self._lapse_until = now + _LAPSE_TIME
        self._read_at = read_at if last is None else max(read_at, last)

    def record_restore(self, now: Millis) -> None:
        """Learn that the list comes from a copy and may lack live servers."""
        self._lapse_until = now + _LAPSE_TIME

    def is_lapsing(self, now: Millis) -> bool:
        """Return whether entries may lack only because the store was away."""
        return now < self._lapse_until

    def remove(self, server: str, now: Millis) -> None:
        """Learn that an entry is gone; one that lapsed may just come back."""
        if not self.is_lapsing(now):
            self._removed[server] = None

    def forget(self, server: str) -> None:
        """Learn that what a server writes now can't have come late."""
        self._removed.pop(server, None)

    def is_removed(self, server: str) -> bool:
        """Return whether a server's entry is gone and it isn't surely back."""
        return server in self._removed

    def should_hold(self, record: ServerRecord, now: Millis) -> bool:
        """Return whether a record may be older than the end of its entry.

        A second, later one proves that the server lives.
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
        """Return records that have stayed for so long that they are true."""
        confirmed = [
            found.record
            for found in self._removed.values()
            if found is not None and now - found.since > _CONFIRMATION_TIME
        ]
        for record in confirmed:
            del self._removed[record.server]
        return confirmed
