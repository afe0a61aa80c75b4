"""Order of what backend servers tell of their starts and weights."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.kernel.servers import ServerRecord

# A server that has ended may have a record or two under way. One that goes on
# writing has not ended, whatever another record under its name told.
_LIVE_RECORDS = 3


@dataclass(frozen=True, slots=True)
class _Run:
    """Count rising records in a row that are older than what is known."""

    born: int | None
    revision: int
    count: int = 1


class RisingRecords:
    """Find servers that write on what a single other record denied."""

    def __init__(self) -> None:
        self._runs: dict[str, _Run] = {}

    def forget(self, server: str) -> None:
        """Begin anew with the next record of a server."""
        self._runs.pop(server, None)

    def is_written_on(self, record: ServerRecord) -> bool:
        """Add a record; return whether enough have come in a row."""
        run = self._runs.get(record.server)
        found = _Run(record.born, record.revision)
        if run is not None and run.born == record.born:
            if record.revision == run.revision:
                return False
            if record.revision > run.revision:
                found = _Run(record.born, record.revision, run.count + 1)
        self._runs[record.server] = found
        return found.count >= _LIVE_RECORDS


class StartOrder:
    """Tell records of a server's latest start from those of earlier ones."""

    def __init__(self) -> None:
        # Kept after a server is gone: a record of an earlier start may still
        # arrive.
        self._latest: dict[str, int] = {}
        self._rising = RisingRecords()

    def is_stale(
        self, record: ServerRecord, known: ServerRecord | None
    ) -> bool:
        """Return whether a record belongs to an earlier start than known.

        A record without a start time does not belong to a server that has
        reported one.
        """
        if not self._is_earlier(record, known):
            self._rising.forget(record.server)
            return False
        if not self._rising.is_written_on(record):
            return True
        self._rising.forget(record.server)
        self._latest.pop(record.server, None)
        return False

    def record_start(self, record: ServerRecord) -> bool:
        """Record the start of a record; return whether it is a new one."""
        if record.born is None:
            return False
        is_new = record.born != self._latest.get(record.server)
        self._latest[record.server] = record.born
        return is_new

    def _is_earlier(
        self, record: ServerRecord, known: ServerRecord | None
    ) -> bool:
        if record.born is None:
            return known is not None and known.born is not None
        return record.born < self._latest.get(record.server, 0)
