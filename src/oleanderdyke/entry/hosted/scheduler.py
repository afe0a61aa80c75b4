"""Schedule the calls of one entry together with those of all entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.pools import UsableEngines, follow_demand
from oleanderdyke.kernel.deployment import Deployment
from oleanderdyke.kernel.scheduling.costs import Costs, CostTerm
from oleanderdyke.kernel.scheduling.pools import Pools
from oleanderdyke.kernel.scheduling.speeds import ServiceSpeeds, SpeedView
from oleanderdyke.kernel.scheduling.switch import LoadSwitch
from oleanderdyke.kernel.scheduling.work import NoWorkView, WorkView
from oleanderdyke.kernel.servers import ServerStart

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.call import HostedCall


class Scheduler:
    """Hold the parts that decide under load."""

    def __init__(self, core: HostedCore, switch: LoadSwitch) -> None:
        self._core = core
        self.view: WorkView = NoWorkView()
        self.speeds: SpeedView = ServiceSpeeds()
        self.pools = Pools(
            UsableEngines(core), switch, view=self.view, speeds=self.speeds
        )
        self.terms: tuple[CostTerm, ...] = (self.pools,)

    def configure(self, deployment: Deployment) -> None:
        """Apply a new configuration."""
        self.pools.configure(deployment)

    async def run(self) -> None:
        """Exchange news with other entries until cancelled."""
        await follow_demand(self._core, self.pools)

    def find_side(self, call: HostedCall, start: ServerStart) -> str | None:
        """Return the pool of an engine, None without pools."""
        now = self._core.clock.now()
        return self.pools.find_side(call.service, start, now)

    def list_pool(self, call: HostedCall) -> frozenset[ServerStart] | None:
        """Return the engines kept for a call's kind, None without pools."""
        now = self._core.clock.now()
        return self.pools.list_pool(call.service, call.route.name, now)

    def find_costs(self, _call: HostedCall) -> Costs | None:
        """Return the costs of a call's choice, None for the usual score."""
        return None


def make_scheduler(core: HostedCore, switch: LoadSwitch) -> Scheduler:
    """Build the scheduler of an entry."""
    return Scheduler(core, switch)
