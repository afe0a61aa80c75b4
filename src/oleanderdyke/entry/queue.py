"""Release queued requests as capacity returns."""

from __future__ import annotations

import anyio

from oleanderdyke.clock import SECOND
from oleanderdyke.entry.core import Core


class ReleaseQueue:
    """Ask the admission again while requests wait."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._waiting = 0
        self._wake = anyio.Event()

    def enter(self) -> None:
        """Count a request that waits."""
        self._waiting += 1
        self._wake.set()

    def leave(self) -> None:
        """Forget a request that waits no more."""
        self._waiting -= 1

    def release(self) -> None:
        """Tell the requests that the admission names."""
        core = self._core
        if not self._waiting:
            return
        for request, decision in core.admission.release(
            core.fleet, core.clock.now()
        ):
            running = core.running.get(request)
            if running is not None:
                running.release(decision)

    async def run(self) -> None:
        """Release until cancelled; sleep while nobody waits."""
        period = self._core.settings.requests.queue_period / SECOND
        while True:
            await self._wake.wait()
            while self._waiting:
                self.release()
                await anyio.sleep(period)
            self._wake = anyio.Event()
