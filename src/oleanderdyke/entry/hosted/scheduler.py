"""Schedule the calls of one entry together with those of all entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from oleanderdyke.entry.hosted.copies import CallCopies, make_call_copies
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.kernel.deployment import Deployment
from oleanderdyke.kernel.retries import RetryBudget
from oleanderdyke.kernel.scheduling.costs import Costs
from oleanderdyke.kernel.scheduling.retry_window import WindowedBudget
from oleanderdyke.kernel.scheduling.run_copies import RunCopies
from oleanderdyke.kernel.scheduling.work import NoWorkView, WorkView

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.call import HostedCall


class Scheduler:
    """Hold the parts that decide under load."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        self.view: WorkView = NoWorkView()
        self._budgets: dict[str, WindowedBudget] = {}
        self.copies = RunCopies(core.random, lambda: self.view)

    def configure(self, deployment: Deployment) -> None:
        """Apply a new configuration."""

    async def run(self) -> None:
        """Exchange news with other entries until cancelled."""
        await anyio.sleep_forever()

    def find_costs(self, _call: HostedCall) -> Costs | None:
        """Return the costs of a call's choice, None for the usual score."""
        return None

    def find_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service whose runs are copied."""
        if service not in self._budgets:
            core = self._core
            self._budgets[service] = WindowedBudget(
                core.find_budget(service),
                core.settings.retry_window,
                core.clock.now,
            )
        return self._budgets[service]

    def make_copies(self, call: HostedCall) -> CallCopies | None:
        """Return the copies of a call's runs, None if it may have none."""
        return make_call_copies(self._core, call, self.copies)


def make_scheduler(core: HostedCore) -> Scheduler:
    """Build the scheduler of an entry."""
    return Scheduler(core)
