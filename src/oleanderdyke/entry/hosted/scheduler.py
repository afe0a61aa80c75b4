"""Schedule the calls of one entry together with those of all entries."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from importlib import import_module
from typing import TYPE_CHECKING

import anyio

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.hosted.admission import EntryAdmission
from oleanderdyke.entry.hosted.copies import CallCopies, make_call_copies
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.pools import UsableEngines, follow_demand
from oleanderdyke.entry.hosted.speed_samples import SpeedSampler
from oleanderdyke.events import EventName
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.context_stores import ContextPlan
from oleanderdyke.kernel.deployment import Deployment
from oleanderdyke.kernel.retries import RetryBudget
from oleanderdyke.kernel.scheduling.costs import Costs, CostTerm
from oleanderdyke.kernel.scheduling.demand_meter import DemandKey, DemandMeter
from oleanderdyke.kernel.scheduling.fetch_limits import limit_fetch
from oleanderdyke.kernel.scheduling.learned_speeds import LearnedSpeeds
from oleanderdyke.kernel.scheduling.placement import Choice
from oleanderdyke.kernel.scheduling.pools import Pools
from oleanderdyke.kernel.scheduling.retry_window import WindowedBudget
from oleanderdyke.kernel.scheduling.run_copies import RunCopies
from oleanderdyke.kernel.scheduling.scoring import (
    MAX_VIEW_AGE,
    HoldUpCost,
    MemoryCost,
    SampledDraw,
    WorkEstimate,
)
from oleanderdyke.kernel.scheduling.switch import LoadSwitch
from oleanderdyke.kernel.scheduling.work import WorkView
from oleanderdyke.kernel.scheduling.work_account import WorkAccount
from oleanderdyke.kernel.scheduling.work_reports import ReportSource
from oleanderdyke.kernel.scheduling.work_table import WorkTable
from oleanderdyke.kernel.servers import ModelDemand, ServerStart
from oleanderdyke.logs import LogValue

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.call import HostedCall


_WORK_PERIOD: Millis = 100.0
_RESTART_DELAY: Millis = 1 * SECOND


class Scheduler:
    """Hold the parts that decide under load."""

    def __init__(self, core: HostedCore, switch: LoadSwitch) -> None:
        self._core = core
        own = core.peers.own
        self.speeds = LearnedSpeeds(core.settings.regions)
        self.speed_sampler = SpeedSampler(core, self.speeds)
        self.account = WorkAccount()
        self.meter = DemandMeter(self.speeds)
        self.table = WorkTable(own.name, self.account, self.meter)
        self.view: WorkView = self.table
        self.pools = Pools(
            UsableEngines(core), switch, view=self.view, speeds=self.speeds
        )
        self.admission = EntryAdmission(core, self)
        self.budgets: dict[str, WindowedBudget] = {}
        self.copies = RunCopies(core.random, lambda: self.view, self.account)
        self._source = ReportSource(
            own.name,
            own.data_centre,
            int(core.clock.wall()),
            account=self.account,
            meter=self.meter,
        )

    def configure(self, deployment: Deployment) -> None:
        """Apply a new configuration."""
        self.speeds.configure(deployment)
        self.pools.configure(deployment)
        self.admission.configure(deployment)

    async def run(self) -> None:
        """Exchange news and follow the demand until cancelled."""
        async with anyio.create_task_group() as tasks:
            for task in (
                self._exchange_work,
                partial(follow_demand, self._core, self.pools),
                self._follow_work,
            ):
                tasks.start_soon(self._keep_running, task)

    async def _keep_running(self, task: Callable[[], Awaitable[None]]) -> None:
        """Begin a task again after a fault, as calls go on without it."""
        while True:
            try:
                await task()
            except Exception as error:
                self._core.log.write(
                    EventName.PROCESS_FAILED,
                    name='scheduler',
                    detail=_describe_fault(error),
                )
            else:
                return
            await anyio.sleep(_RESTART_DELAY / SECOND)

    async def _exchange_work(self) -> None:
        """Exchange news with other entries until cancelled."""
        core = self._core
        if not core.peers.own.address:
            return
        module = import_module('oleanderdyke.links.work_exchange')
        exchange = module.WorkExchange(
            core.peers.own,
            self._source,
            self.table,
            client=core.peers.reader,
            clock=core.clock,
            metrics=core.metrics,
            count_entries=self._count_entries,
        )
        await exchange.run(core.peers.desk, core.peers.make_hello, core.random)

    async def _follow_work(self) -> None:
        """Update what servers read for other entries, until cancelled.

        Otherwise a server that reads their prompts would count as silent.
        """
        while True:
            self.record_work(self._core.clock.now())
            await anyio.sleep(_WORK_PERIOD / SECOND)

    def record_work(self, now: Millis) -> None:
        """Record the prompt tokens that servers read for other entries."""
        for backend in self._core.backends.list_known():
            start = backend.record.start
            unread = self.view.find_work(start, now).unread
            own = self.account.find(start).unread
            backend.unread_elsewhere = max(unread - own, 0.0)

    def find_side(self, call: HostedCall, start: ServerStart) -> str | None:
        """Return the pool of an engine, None without pools."""
        now = self._core.clock.now()
        return self.pools.find_side(call.service, start, now)

    def record_arrival(self, call: HostedCall, model: ModelDemand) -> None:
        """Record a request of a caller before a server is chosen."""
        self.meter.record_arrival(
            _make_key(call), model, self._core.clock.now()
        )

    def begin(
        self,
        call: HostedCall,
        start: ServerStart,
        attempt: str,
        *,
        unread: int,
        is_first: bool,
    ) -> None:
        """Record an attempt with so many prompt tokens to prefill."""
        model = call.parameters.demand
        if model is None:
            return
        self.account.begin(
            start,
            attempt,
            unread=unread,
            memory=round(self.admission.estimate_memory(call, model)),
            is_long=self._core.scheduling.is_long(call),
        )
        if is_first:
            now = self._core.clock.now()
            self.meter.record_admission(_make_key(call), model, unread, now)

    def limit_fetch(
        self, call: HostedCall, backend: Backend, plan: ContextPlan
    ) -> ContextPlan:
        """Bound the wait of an engine for context that it could read."""
        core, now = self._core, self._core.clock.now()
        clock = core.engine_clock.convert(now)
        if clock is None:
            return plan
        unread = self.view.find_work(backend.record.start, now).unread
        return limit_fetch(
            plan,
            begins_at=clock + self.speeds.estimate_read(backend, unread, now),
            read_time=self.speeds.estimate_read(
                backend, plan.fetched_tokens, now
            ),
            target=call.route.target,
        )

    def record_first_byte(self, attempt: str) -> None:
        """Record that the prompt of an attempt was prefilled."""
        self.account.record_first_byte(attempt)

    def end(self, attempt: str) -> None:
        """Record that an attempt ended, whatever its outcome."""
        self.account.end(attempt)

    def find_costs(self, call: HostedCall) -> Costs | None:
        """Return the costs of a call's choice, None for the usual score."""
        core = self._core
        now = core.clock.now()
        age = self.view.find_age(now)
        return Costs(
            service=call.service,
            route=call.route.name,
            team=call.team,
            rank=call.priority,
            data_centre=core.settings.data_centre,
            target=call.route.target,
            first_byte=WorkEstimate(
                self.speeds, is_current=age <= MAX_VIEW_AGE
            ),
            view=self.view,
            speeds=self.speeds,
            memory=self._estimate_memory(call),
            terms=self._make_terms(call),
            draw=SampledDraw(core.random),
            pool=self.pools.list_pool(call.service, call.route.name, now),
        )

    def describe_choice(self, choice: Choice) -> Mapping[str, LogValue]:
        """Return log fields for the shared account of the chosen server."""
        now = self._core.clock.now()
        age = self.view.find_age(now)
        work = self.view.find_work(choice.backend.record.start, now)
        return {
            'work_age': round(age) if math.isfinite(age) else None,
            'unread': round(work.unread),
        }

    def _estimate_memory(self, call: HostedCall) -> float:
        model = call.parameters.demand
        if model is None:
            return 0.0
        return self.admission.estimate_memory(call, model)

    def _make_terms(self, call: HostedCall) -> tuple[CostTerm, ...]:
        core = self._core
        capacity = 0
        if core.deployment is not None:
            capacity = core.deployment.find_memory_tokens(call.service) or 0
        return (
            HoldUpCost(),
            MemoryCost(capacity),
            self.pools,
        )

    def _count_entries(self) -> int:
        return len(self._core.entries.list_known())

    def find_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service whose runs are copied."""
        if service not in self.budgets:
            core = self._core
            self.budgets[service] = WindowedBudget(
                core.find_budget(service),
                core.settings.retry_window,
                core.clock.now,
                core.retries.find_sends(service),
                may_have_earlier=core.retries.may_have_earlier,
            )
        return self.budgets[service]

    def make_copies(self, call: HostedCall) -> CallCopies | None:
        """Return the copies of a call's runs, None if it may have none."""
        return make_call_copies(self._core, call, self.copies)


def make_scheduler(
    core: HostedCore, switch: LoadSwitch | None = None
) -> Scheduler:
    """Build the scheduler of an entry."""
    return Scheduler(core, switch or LoadSwitch())


def _describe_fault(error: Exception) -> str:
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return f'{type(error).__name__}: {error}'


def _make_key(call: HostedCall) -> DemandKey:
    return DemandKey(call.service, call.route.name, call.team)
