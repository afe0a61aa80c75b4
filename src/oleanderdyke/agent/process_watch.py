"""Detection of a restart of the backend server between two probes."""

from __future__ import annotations

import enum

import anyio
from anyio.abc import SocketStream

from oleanderdyke.agent.settings import BackendSettings
from oleanderdyke.clients.addresses import connecting, split_address
from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.links.messages import BackendKind

# For this long after its end, broken connections and refusals are attributed
# to the ended process. Also the time to wait for the end to show.
_END_WINDOW: Millis = 250.0
_READ_BYTES = 1024


class ProcessStatus(enum.StrEnum):
    """The state of a server process after it has closed a connection."""

    ENDED = 'ended'
    ALIVE = 'lives'
    UNKNOWN = 'unknown'


class ProcessWatch:
    """Hold an idle connection, which is closed when its process ends.

    A process that restarts between two probes answers both of them, but closes
    this connection. No connection is held to a plain service, as it may serve
    only one at a time.
    """

    def __init__(self, settings: BackendSettings, *, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._held_scope: anyio.CancelScope | None = None
        self._ended_at: Millis | None = None
        self._changed = anyio.Event()

    async def run(self) -> None:
        """Hold a connection, and reconnect after its end, until cancelled."""
        if self._settings.kind is BackendKind.PLAIN:
            return
        while True:
            await self._hold_connection()
            await anyio.sleep(self._settings.probe_interval / SECOND)

    def has_ended(self) -> bool:
        """Return whether the process ended within `_END_WINDOW`."""
        ended_at = self._ended_at
        return ended_at is not None and (
            self._clock.now() - ended_at <= _END_WINDOW
        )

    async def diagnose(self) -> ProcessStatus:
        """Determine whether the process ended, after a run's connection broke.

        Waits briefly for the end of the held connection.
        """
        if self._held_scope is not None and not self.has_ended():
            with anyio.move_on_after(_END_WINDOW / SECOND):
                await self._changed.wait()
        if self.has_ended():
            return ProcessStatus.ENDED
        return (
            ProcessStatus.UNKNOWN
            if self._held_scope is None
            else ProcessStatus.ALIVE
        )

    def reset(self) -> None:
        """Discard all state of a lost server and close the connection."""
        self._ended_at = None
        if self._held_scope is not None:
            self._held_scope.cancel()

    async def _hold_connection(self) -> None:
        stream = await self._connect()
        if stream is None:
            return
        with anyio.CancelScope() as self._held_scope:
            await _wait_end(stream)
            self._ended_at = self._clock.now()
        self._held_scope = None
        self._changed.set()
        self._changed = anyio.Event()
        await anyio.aclose_forcefully(stream)

    async def _connect(self) -> SocketStream | None:
        limit = self._settings.connect_timeout / SECOND
        try:
            with connecting(), anyio.fail_after(limit):
                host, port = split_address(self._settings.address)
                return await anyio.connect_tcp(host, port)
        except OSError:
            return None


async def _wait_end(stream: SocketStream) -> None:
    try:
        while True:
            await stream.receive(_READ_BYTES)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return
