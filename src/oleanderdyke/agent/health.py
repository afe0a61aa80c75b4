"""Notice when a backend server dies and when it answers again."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.settings import BackendSettings
from oleanderdyke.clock import SECOND
from oleanderdyke.errors import OleanderError, Ran
from oleanderdyke.links.messages import BackendKind

_PROBE_PATHS = {BackendKind.ENGINE: '/state', BackendKind.STORE: '/space'}


class Health:
    """Probe a backend server; it starts unproven.

    A refused connection counts at once, since nothing listens; silence counts
    after `missed_probes` in a row.
    """

    def __init__(
        self,
        backend: Backend,
        settings: BackendSettings,
        *,
        on_up: Callable[[], Awaitable[None]],
        on_lost: Callable[[], Awaitable[None]],
    ) -> None:
        self._backend = backend
        self._settings = settings
        self._on_up = on_up
        self._on_lost = on_lost
        self._missed = 0
        self._hurry = anyio.Event()
        self.alive = False

    def hurry(self) -> None:
        """Probe at once, since a connection was lost."""
        self._hurry.set()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self.probe()
            with anyio.move_on_after(self._settings.probe_interval / SECOND):
                await self._hurry.wait()
            self._hurry = anyio.Event()

    async def probe(self) -> None:
        """Probe once and tell about a change."""
        try:
            await self._call()
        except OleanderError as error:
            await self._note_missed(refused=error.ran is Ran.NO)
            return
        self._missed = 0
        if not self.alive:
            self.alive = True
            await self._on_up()

    async def _call(self) -> None:
        path = _PROBE_PATHS.get(self._settings.kind)
        if path is None:
            await self._backend.connect()
            return
        await self._backend.get_json(path)

    async def _note_missed(self, *, refused: bool) -> None:
        self._missed += 1
        over = refused or self._missed >= self._settings.missed_probes
        if over and self.alive:
            self.alive = False
            await self._on_lost()
