"""Health probes of the backend server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import anyio

from oleanderdyke.agent.settings import BackendSettings
from oleanderdyke.clock import SECOND
from oleanderdyke.errors import OleanderError, Ran

Probe: TypeAlias = Callable[[], Awaitable[object]]
Callback: TypeAlias = Callable[[], Awaitable[None]]


class Health:
    """Probe the backend server and report when it is lost or up again.

    The server counts as down until the first successful probe. A refused
    connection marks it as lost at once, since nothing listens there; other
    failures do after `missed_probes` in a row.
    """

    def __init__(
        self,
        probe: Probe,
        settings: BackendSettings,
        *,
        on_up: Callback,
        on_lost: Callback,
    ) -> None:
        self._probe = probe
        self._settings = settings
        self._on_up = on_up
        self._on_lost = on_lost
        self._failures = 0
        self._lock = anyio.Lock()
        self.alive = False

    async def run(self) -> None:
        """Probe at regular intervals until cancelled."""
        while True:
            await self.check()
            await anyio.sleep(self._settings.probe_interval / SECOND)

    async def check(self) -> bool:
        """Probe once, report a change, return whether the server is up."""
        async with self._lock:
            try:
                await self._probe()
            except OleanderError as error:
                await self._record_failure(refused=error.ran is Ran.NO)
                return self.alive
            await self._record_success()
            return self.alive

    async def mark_lost(self) -> None:
        """Mark a server as lost even if a new process already answers."""
        async with self._lock:
            if self.alive:
                self.alive = False
                await self._on_lost()

    async def _record_success(self) -> None:
        self._failures = 0
        if self.alive:
            return
        try:
            await self._on_up()
        except OleanderError:
            # The probe succeeded but the first use failed; the next probe
            # tries again.
            return
        self.alive = True

    async def _record_failure(self, *, refused: bool) -> None:
        self._failures += 1
        is_lost = refused or self._failures >= self._settings.missed_probes
        if is_lost and self.alive:
            self.alive = False
            await self._on_lost()
