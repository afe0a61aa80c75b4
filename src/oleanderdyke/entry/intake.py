"""Share connections, memory and parsing of an entry among its callers."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
from collections.abc import Iterator
from itertools import islice
from typing import Protocol, cast

import h11

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.scheduling.request_bytes import RequestBytes

# Events that one read of a connection may parse at once.
READ_EVENTS = 128
# Events that one connection parses of its rest, and how many connections do so,
# before the loop serves others.
_REST_EVENTS = 32
_REST_CONNECTIONS = 4
# The longest pause between two rounds, for a process that was suspended.
_MAX_PAUSE_SECONDS = 0.02
# Idle connections that are looked at before none is displaced.
_LOOKED_AT = 8
# A caller that has just had an answer may be about to send its next request.
_KEPT_IDLE_TIME: Millis = 500.0
# After requests have released this much, free memory is returned to the system
# once their tasks have ended.
_TRIMMED_BYTES = 8 * 1024 * 1024
_TRIM_DELAY_SECONDS = 0.5
# Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS = 200
# Share of the others for callers. Each call may open a connection to a server,
# and peers and the store need some.
_CALLER_SHARE = 7 / 16
_MAX_CONNECTIONS = 3_000
_MIN_CONNECTIONS = 16


class TurnParser(h11.Connection):
    """Parse a bounded number of events at a time.

    A chunk of one byte costs as much as one of 64 KiB.
    """

    is_behind = False
    _events_left = READ_EVENTS

    def allow(self, count: int) -> None:
        """Allow some more events to be parsed."""
        self._events_left = count
        self.is_behind = False

    def next_event(self) -> type[h11.NEED_DATA | h11.PAUSED] | h11.Event:
        """Return the next event, NEED_DATA if no more are allowed now."""
        if not self._events_left:
            self.is_behind = True
            return h11.NEED_DATA
        self._events_left -= 1
        return super().next_event()


class ParsedConnection(Protocol):
    """A connection with received bytes that were not parsed yet."""

    def parse_rest(self, events: int) -> bool:
        """Parse some more events; return whether a rest is left."""


class ParseTurns:
    """Let connections parse their rests in turn, in half of the time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: dict[ParsedConnection, None] = {}
        self._is_scheduled = False

    def add(self, connection: ParsedConnection) -> None:
        """Let a connection parse its rest."""
        self._waiting[connection] = None
        if not self._is_scheduled:
            self._schedule(0.0)

    def discard(self, connection: ParsedConnection) -> None:
        """Parse no more of a connection."""
        self._waiting.pop(connection, None)

    def _schedule(self, pause: float) -> None:
        self._is_scheduled = True
        self._loop.call_later(pause, self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        began = self._loop.time()
        for connection in tuple(self._waiting)[:_REST_CONNECTIONS]:
            del self._waiting[connection]
            if connection.parse_rest(_REST_EVENTS):
                self._waiting[connection] = None
        if self._waiting and not self._is_scheduled:
            spent = self._loop.time() - began
            self._schedule(min(spent, _MAX_PAUSE_SECONDS))


class IntakeConnection(ParsedConnection, Protocol):
    """The connection of a caller."""

    def __hash__(self) -> int:
        """Return the hash of its identity."""

    def refuse_rest(self, error: OleanderError) -> None:
        """End an arriving request, and release what was received of it."""

    def displace(self) -> bool:
        """Close if no request has arrived; return whether it closes."""

    def abort(self) -> None:
        """Close at once."""


class Intake:
    """Bound the open connections and what their requests hold."""

    def __init__(self, connection_limit: int, held_bytes: int) -> None:
        self.connection_limit = connection_limit
        self._ledger = RequestBytes(held_bytes)
        # Connections that have had no request yet, the oldest first.
        self._silent: dict[IntakeConnection, None] = {}
        # Those between requests, with the time since when.
        self._idle: dict[IntakeConnection, Millis] = {}
        self._loop = asyncio.get_running_loop()
        self.turns = ParseTurns(self._loop)
        # The most that requests held since memory was returned.
        self._most = 0

    def hold(
        self, connection: IntakeConnection, held: int, received: int
    ) -> None:
        """Record what an arriving request holds; refuse others if need be."""
        if not held:
            self._ledger.forget(connection)
            return
        self._ledger.hold(connection, held, received, self._now())
        self._refuse_excess()

    def finish(self, connection: IntakeConnection, held: int) -> bool:
        """Record what a whole request holds; refuse others if need be.

        Return False if there is no memory for it all the same.
        """
        self._ledger.finish(connection, held)
        self._refuse_excess()
        return not self._ledger.is_full

    def refuse(self, connection: IntakeConnection) -> None:
        """Refuse a request that has not been handed over."""
        connection.refuse_rest(_make_refusal())

    def forget(self, connection: IntakeConnection) -> None:
        """Release what a request held."""
        self._ledger.forget(connection)
        if self._most - self._ledger.total > _TRIMMED_BYTES:
            self._most = self._ledger.total
            self._loop.call_later(_TRIM_DELAY_SECONDS, _trim_memory)

    def find_idle_time(self, connection: IntakeConnection) -> Millis:
        """Return for how long an arriving request has made no progress."""
        return self._ledger.find_idle_time(connection, self._now())

    def add(self, connection: IntakeConnection) -> None:
        """Record a new connection."""
        self._silent[connection] = None

    def add_idle(self, connection: IntakeConnection) -> None:
        """Record that a request on a connection has ended."""
        self._idle[connection] = self._now()

    def remove_idle(self, connection: IntakeConnection) -> None:
        """Record that a request has come on a connection."""
        self._silent.pop(connection, None)
        self._idle.pop(connection, None)

    def displace_for(self, newcomer: IntakeConnection) -> None:
        """Close the connection that needs its place least.

        First come those without any request, then those that were idle for a
        while. It is the new one if there are none of either.
        """
        for connection in tuple(self._list_displaceable(newcomer)):
            if connection.displace():
                self.remove_idle(connection)
                return
        newcomer.abort()

    def _list_displaceable(
        self, newcomer: IntakeConnection
    ) -> Iterator[IntakeConnection]:
        for connection in islice(self._silent, _LOOKED_AT):
            if connection is not newcomer:
                yield connection
        latest = self._now() - _KEPT_IDLE_TIME
        for connection, since in islice(self._idle.items(), _LOOKED_AT):
            if since <= latest:
                yield connection

    def remove(self, connection: IntakeConnection) -> None:
        """Forget a connection that was closed."""
        self.remove_idle(connection)
        self._ledger.forget(connection)
        self.turns.discard(connection)

    def _refuse_excess(self) -> None:
        self._most = max(self._most, self._ledger.total)
        while (found := self._ledger.find_excess()) is not None:
            self.refuse(cast('IntakeConnection', found))

    def _now(self) -> Millis:
        return self._loop.time() * SECOND


def _make_refusal() -> OleanderError:
    return OleanderError(
        ErrorKind.OVERLOADED,
        'all requests together hold too much memory',
        ran=Ran.NO,
    )


def _trim_memory() -> None:
    """Return free memory to the system, where the C library can do that."""
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).malloc_trim(0)


def find_connection_limit(descriptors: float) -> int:
    """Return how many callers may be connected at once.

    `descriptors` is how many the process may have open. The limit that the
    operating system sets may be lower.
    """
    allowed = os.sysconf('SC_OPEN_MAX')
    if allowed > 0:
        descriptors = min(descriptors, allowed)
    sockets = (descriptors - _FILE_DESCRIPTORS) * _CALLER_SHARE
    return int(min(max(sockets, _MIN_CONNECTIONS), _MAX_CONNECTIONS))
