"""Decide under load together with all entries, where a service needs it."""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module
from typing import TYPE_CHECKING

import anyio

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.deployment import Deployment

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.call import HostedCall
    from oleanderdyke.entry.hosted.copies import CallCopies
    from oleanderdyke.entry.hosted.core import HostedCore
    from oleanderdyke.entry.hosted.scheduler import Scheduler
    from oleanderdyke.kernel.retries import RequestRetries, RetryBudget
    from oleanderdyke.kernel.scheduling.costs import Costs
    from oleanderdyke.kernel.scheduling.placement import Choice
    from oleanderdyke.kernel.scheduling.switch import LoadSwitch
    from oleanderdyke.kernel.servers import ServerStart
    from oleanderdyke.logs import LogValue

_PERIOD: Millis = 100.0
# Importing modules is slow on a fraction of a core, so requests are served
# first.
_IMPORT_DELAY: Millis = 1 * SECOND


class Scheduling:
    """Load the scheduler once some service needs it, here or elsewhere."""

    def __init__(self) -> None:
        self.scheduler: Scheduler | None = None
        self._switch: LoadSwitch | None = None

    def configure(self, deployment: Deployment) -> None:
        """Apply a new configuration."""
        if self._switch is not None:
            self._switch.configure(deployment)
        if self.scheduler is not None:
            self.scheduler.configure(deployment)

    async def run(self, core: HostedCore) -> None:
        """Run the scheduler, once one is needed, until cancelled.

        An entry that gets reports of others passes them on, whatever requests
        it has seen itself.
        """
        await anyio.sleep(_IMPORT_DELAY / SECOND)
        module = import_module('oleanderdyke.kernel.scheduling.switch')
        self._switch = switch = module.LoadSwitch()
        if core.deployment is not None:
            switch.configure(core.deployment)
        while not (switch.is_needed_anywhere or core.peers.desk.has_work_news):
            await anyio.sleep(_PERIOD / SECOND)
        module = import_module('oleanderdyke.entry.hosted.scheduler')
        scheduler: Scheduler = module.make_scheduler(core, switch)
        if core.deployment is not None:
            scheduler.configure(core.deployment)
        self.scheduler = scheduler
        await scheduler.run()

    def find_scheduler(self, call: HostedCall) -> Scheduler | None:
        """Return the scheduler of a call, None if it is served as usual."""
        if call.parameters.demand is None or self._switch is None:
            return None
        if not self._switch.is_needed(call.service):
            return None
        return self.scheduler

    def record_arrival(self, call: HostedCall) -> None:
        """Record a request of a caller before a server is chosen."""
        demand = call.parameters.demand
        if demand is not None and self._switch is not None:
            self._switch.record_prompt(call.route.name, demand)
            scheduler = self.find_scheduler(call)
            if scheduler is not None:
                scheduler.record_arrival(call, demand)

    def is_long(self, call: HostedCall) -> bool:
        """Return whether the prompt of a call holds up others."""
        return self._switch is not None and self._switch.is_long(
            call.service, call.route.name
        )

    def describe_choice(
        self, call: HostedCall, choice: Choice
    ) -> Mapping[str, LogValue]:
        """Return log fields for the shared account of the chosen server."""
        scheduler = self.find_scheduler(call)
        return {} if scheduler is None else scheduler.describe_choice(choice)

    def find_side(self, call: HostedCall, start: ServerStart) -> str | None:
        """Return the pool of an engine, None for a call served as usual."""
        scheduler = self.find_scheduler(call)
        return None if scheduler is None else scheduler.find_side(call, start)

    def find_rank(self, call: HostedCall) -> int | None:
        """Return the rank of a scheduled call, None if it has the usual one."""
        scheduler = self.find_scheduler(call)
        return (
            None if scheduler is None else scheduler.admission.find_rank(call)
        )

    def record_answer(
        self, call: HostedCall, events: int, duration: Millis
    ) -> None:
        """Record an answer that ended and the time from its first byte."""
        if self.scheduler is not None:
            self.scheduler.admission.record_answer(call, events, duration)

    def record_left(self, call: HostedCall) -> None:
        """Record that a request has ended or that its caller has left."""
        if self.scheduler is not None:
            self.scheduler.admission.leave(call)

    def find_costs(self, call: HostedCall) -> Costs | None:
        """Return the costs of a call's choice, None for the usual score."""
        scheduler = self.find_scheduler(call)
        return None if scheduler is None else scheduler.find_costs(call)

    def open_retries(
        self, call: HostedCall, core: HostedCore
    ) -> RequestRetries:
        """Return the retries of a new call."""
        budget = self.find_budget(call, core)
        return core.retries.open_request(call.service, budget)

    def find_budget(self, call: HostedCall, core: HostedCore) -> RetryBudget:
        """Return the retry budget of a call.

        Calls that are served as usual share that of the scheduled ones.
        """
        scheduler = self.find_scheduler(call) or self.scheduler
        if scheduler is None:
            return core.find_budget(call.service)
        return scheduler.find_budget(call.service)

    def find_windowed(self, service: str) -> RetryBudget | None:
        """Return the budget of a service whose runs are copied, if any."""
        if self.scheduler is None:
            return None
        return self.scheduler.budgets.get(service)

    def make_copies(self, call: HostedCall) -> CallCopies | None:
        """Return the copies of a call's runs, None if it may have none."""
        scheduler = self.find_scheduler(call)
        return None if scheduler is None else scheduler.make_copies(call)
