"""Notice when a backend server dies and when it answers again."""

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
    """Probe a backend server; it starts unproven.

    A refused connection counts at once, since nothing listens; silence counts
    after `missed_probes` in a row.
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
        """Probe until cancelled."""
        while True:
            await self.check()
            await anyio.sleep(self._settings.probe_interval / SECOND)

    async def check(self) -> bool:
        """Probe now, tell about a change, return whether it is alive."""
        async with self._lock:
            try:
                await self._probe()
            except OleanderError as error:
                await self._record_failure(refused=error.ran is Ran.NO)
                return self.alive
            await self._record_success()
            return self.alive

    async def mark_lost(self) -> None:
        """Take a server as lost that may answer again already."""
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
            # It answered once and failed in its first use; probe again.
            return
        self.alive = True

    async def _record_failure(self, *, refused: bool) -> None:
        self._failures += 1
        is_lost = refused or self._failures >= self._settings.missed_probes
        if is_lost and self.alive:
            self.alive = False
            await self._on_lost()
