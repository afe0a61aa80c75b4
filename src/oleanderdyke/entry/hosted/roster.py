"""Log which backend servers come, leave and go."""

from __future__ import annotations

import enum
from collections.abc import Mapping

from oleanderdyke.clock import Millis
from oleanderdyke.events import EventName
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.logs import EventLog

# One read of the list names so many changes one by one, then their count: a
# process that starts learns of all servers at once.
_NAMED = 16


class Standing(enum.StrEnum):
    """Say whether a start of a server may get new work, or why not."""

    LISTED = 'listed'
    LEAVING = 'leaving'
    MISSING = 'missing'
    UNREADABLE = 'unreadable'


class Roster:
    """Compare the servers after each read of the list with those before."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._known: Mapping[ServerStart, Standing] = {}

    def note(self, book: BackendRegistry, now: Millis, age: Millis) -> None:
        """Log what a read changed; `age` is how long before was the last."""
        present = find_standings(book, now)
        if present == self._known:
            return
        changes = [
            (start, present.get(start))
            for start in (*present, *(self._known.keys() - present.keys()))
            if present.get(start) != self._known.get(start)
        ]
        self._known = present
        for start, standing in changes[:_NAMED]:
            self._tell(book, start, standing, age)
        if len(changes) > _NAMED:
            self._log.write(
                EventName.BACKENDS_CHANGED,
                count=len(changes) - _NAMED,
                age=round(age),
            )

    def _tell(
        self,
        book: BackendRegistry,
        start: ServerStart,
        standing: Standing | None,
        age: Millis,
    ) -> None:
        event = EventName.BACKEND_LOST
        if standing is Standing.LISTED:
            event = EventName.BACKEND_UP
        backend = book.find_start(start)
        record = None if backend is None else backend.record
        self._log.write(
            event,
            peer=start.server,
            incarnation=start.born,
            service=None if record is None else record.service,
            address=None if record is None else record.address,
            reason='gone' if standing is None else standing.value,
            age=round(age),
        )


def find_standings(
    book: BackendRegistry, now: Millis
) -> Mapping[ServerStart, Standing]:
    """Return how each known start of a server stands."""
    return {
        backend.record.start: _find_standing(book, backend, now)
        for backend in book.list_known()
    }


def _find_standing(
    book: BackendRegistry, backend: Backend, now: Millis
) -> Standing:
    if backend.record.is_leaving:
        return Standing.LEAVING
    if backend.is_unread:
        return Standing.UNREADABLE
    if book.is_missing(backend, now):
        return Standing.MISSING
    return Standing.LISTED
