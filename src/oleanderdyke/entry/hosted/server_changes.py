"""Log backend servers that appear, leave or disappear."""

from __future__ import annotations

import enum
from collections.abc import Mapping

from oleanderdyke.clock import Millis
from oleanderdyke.events import EventName
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.logs import EventLog

# Changes logged one by one for each read of the list; the rest is only counted.
# The first read after a start finds all servers at once.
_MAX_NAMED = 16


class ServerState(enum.StrEnum):
    """Whether a server incarnation may get requests, or why not."""

    LISTED = 'listed'
    LEAVING = 'leaving'
    MISSING = 'missing'
    UNREADABLE = 'unreadable'


class ServerChangeLog:
    """Log the differences between successive reads of the server list."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._known: Mapping[ServerStart, ServerState] = {}

    def log_changes(
        self, backends: BackendRegistry, now: Millis, age: Millis
    ) -> None:
        """Log the changes since the last read, which was `age` ago."""
        states = find_server_states(backends, now)
        if states == self._known:
            return
        changes = [
            (start, states.get(start))
            for start in (*states, *(self._known.keys() - states.keys()))
            if states.get(start) != self._known.get(start)
        ]
        self._known = states
        for start, state in changes[:_MAX_NAMED]:
            self._log_change(backends, start, state, age)
        if len(changes) > _MAX_NAMED:
            self._log.write(
                EventName.BACKENDS_CHANGED,
                count=len(changes) - _MAX_NAMED,
                age=round(age),
            )

    def _log_change(
        self,
        backends: BackendRegistry,
        start: ServerStart,
        state: ServerState | None,
        age: Millis,
    ) -> None:
        event = EventName.BACKEND_LOST
        if state is ServerState.LISTED:
            event = EventName.BACKEND_UP
        backend = backends.find_start(start)
        record = None if backend is None else backend.record
        self._log.write(
            event,
            peer=start.server,
            incarnation=start.born,
            service=None if record is None else record.service,
            address=None if record is None else record.address,
            reason='gone' if state is None else state.value,
            age=round(age),
        )


def find_server_states(
    backends: BackendRegistry, now: Millis
) -> Mapping[ServerStart, ServerState]:
    """Return the state of each known server incarnation."""
    return {
        backend.record.start: _find_server_state(backends, backend, now)
        for backend in backends.list_known()
    }


def _find_server_state(
    backends: BackendRegistry, backend: Backend, now: Millis
) -> ServerState:
    if backend.record.is_leaving:
        return ServerState.LEAVING
    if backend.is_unread:
        return ServerState.UNREADABLE
    if backends.is_missing(backend, now):
        return ServerState.MISSING
    return ServerState.LISTED
