"""Keep the pools of engines up to date, log and show their sizes."""

from __future__ import annotations

from collections.abc import Sequence

import anyio

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.events import EventName
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.scheduling.pool_members import is_fit
from oleanderdyke.kernel.scheduling.pool_sizes import PERIOD
from oleanderdyke.kernel.scheduling.pools import Pools, PoolState, Side
from oleanderdyke.metrics import Gauge


class UsableEngines:
    """List the engines that may get requests of any caller."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core

    def list_usable(self, service: str, now: Millis) -> Sequence[Backend]:
        """Return the usable engines of a service."""
        limits = self._core.limits
        loading = self._core.rollout.queue.find_turns(now).busy
        return [
            backend
            for backend in self._core.backends.list_service(service, now)
            if is_fit(backend, now)
            and backend.record.server not in loading
            and backend.record.data_centre not in limits.evacuations.active
            and not limits.is_cold(backend, now)
        ]


async def follow_demand(core: HostedCore, pools: Pools) -> None:
    """Update the pools until cancelled."""
    while True:
        for changed in pools.update(core.clock.now()):
            _log_size(core, changed)
        for state in pools.list_states():
            _show_sizes(core, state)
        await anyio.sleep(PERIOD / SECOND)


def _log_size(core: HostedCore, state: PoolState) -> None:
    core.log.write(
        EventName.POOLS_CHANGED,
        service=state.service,
        count=state.size,
        limit=state.usable,
        reason=state.reason.value,
    )


def _show_sizes(core: HostedCore, state: PoolState) -> None:
    sizes = {Side.SHORT: state.size, Side.LONG: state.usable - state.size}
    for side, size in sizes.items():
        core.metrics.set_gauge(Gauge.POOL_SIZE, size, f'{state.service} {side}')
