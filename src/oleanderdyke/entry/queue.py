"""Release queued requests as capacity becomes available."""

from __future__ import annotations

import anyio

from oleanderdyke.clock import SECOND
from oleanderdyke.entry.core import Core


class ReleaseQueue:
    """Poll the admission while requests are queued."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._waiting = 0
        self._wake = anyio.Event()

    def enter(self) -> None:
        """Count a request as queued."""
        self._waiting += 1
        self._wake.set()

    def leave(self) -> None:
        """Stop counting a request as queued."""
        self._waiting -= 1

    def release(self) -> None:
        """Pass admission decisions to the requests they concern."""
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
        """Release requests until cancelled; sleep while none is queued."""
        period = self._core.settings.requests.queue_period / SECOND
        while True:
            await self._wake.wait()
            while self._waiting:
                self.release()
                await anyio.sleep(period)
            self._wake = anyio.Event()
