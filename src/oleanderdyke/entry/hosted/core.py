"""Hold what all parts of an entry on the users' platform share."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import anyio

from oleanderdyke.clients.direct import ConnectionPool
from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.dependencies import Dependency
from oleanderdyke.entry.hosted.news import SharedNews
from oleanderdyke.entry.stopping import StoppableRequest
from oleanderdyke.events import EventName
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.cold_starts import ColdLimit
from oleanderdyke.kernel.context_stores import ContextStores
from oleanderdyke.kernel.deployment import Deployment
from oleanderdyke.kernel.drain import Drain, DrainSettings
from oleanderdyke.kernel.durations import DurationEstimator
from oleanderdyke.kernel.engine_clock import EngineClock
from oleanderdyke.kernel.load_table import TimedLoad
from oleanderdyke.kernel.presence import EntryCount
from oleanderdyke.kernel.retries import (
    RetryBudget,
    RetrySettings,
    make_retry_budget,
)
from oleanderdyke.kernel.rollout import Rollout
from oleanderdyke.kernel.send_limits import SendLimits
from oleanderdyke.kernel.servers import ServerLoad, ServerStart
from oleanderdyke.logs import EventLog, LogValue
from oleanderdyke.metrics import Count, Gauge, Metrics
from oleanderdyke.platform.settings import HostSettings

# A connection within the deployment takes some milliseconds. One lost packet
# costs a second: another server is the better wait.
CONNECT_LIMIT: Millis = 300.0
# The balancer asks each second and takes a process out after two misses.
_ANNOUNCE: Millis = 2.5 * SECOND
# What is left of the grace time for closing connections and for the exit,
# which take up to half a second on a busy machine.
_EXIT_MARGIN: Millis = 600.0
# New work has to end so long before running work is cut off.
_CUT_MARGIN: Millis = 500.0
# A configuration that was read longer ago may lack a route or a key.
STALE_AFTER: Millis = 3 * SECOND
# What is used of the allowance that the operators bound.
_BUDGET_USE = 0.8
_RETRY_DELAY: Millis = 5.0


class HostedRequest(StoppableRequest, Protocol):
    """Lead one request; nothing here waits."""

    def check_attempt(self, now: Millis) -> None:
        """Give up what is silent, superseded, or waits on old weights."""


@dataclass
class HostedCore:
    """Hold the state of one entry."""

    settings: HostSettings
    clock: Clock
    random: Random
    log: EventLog
    metrics: Metrics
    drain: Drain
    pool: ConnectionPool
    news: SharedNews
    limits: SendLimits
    entries: EntryCount = field(default_factory=EntryCount)
    backends: BackendRegistry = field(default_factory=BackendRegistry)
    deployment: Deployment | None = None
    durations: DurationEstimator = field(default_factory=DurationEstimator)
    rollout: Rollout = field(default_factory=lambda: Rollout(math.inf))
    contexts: ContextStores = field(default_factory=ContextStores)
    # Set once the stores of context were read, or were waited for in vain.
    contexts_known: anyio.Event = field(default_factory=anyio.Event)
    engine_clock: EngineClock = field(default_factory=EngineClock)
    configuration_read: Millis | None = None
    # When that which was read last had been asked for.
    configuration_asked: Millis = 0.0
    servers_read: Millis | None = None
    # Set while requests wait for a server and none is listed.
    servers_wanted: anyio.Event = field(default_factory=anyio.Event)
    running: dict[str, HostedRequest] = field(default_factory=dict)
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def find_fault(self) -> str:
        """Return why this entry is not ready, or nothing."""
        if self.drain.is_leaving:
            return 'stopping'
        if self.deployment is None:
            return 'no configuration yet'
        if self.servers_read is None:
            return 'no list of backend servers yet'
        return ''

    def note_load(self, start: ServerStart, load: ServerLoad) -> None:
        """Take the load that a server told, and keep it for neighbours."""
        backend = self.backends.find_start(start)
        rate_limit = None
        if backend is not None and backend.limit.was_ever_set:
            rate_limit = backend.limit.per_second
        told = TimedLoad(start, load, self.clock.now(), rate_limit)
        self.backends.record_load(start, load, told.at)
        self.news.desk.loads.update(told)
        self.news.desk.local_loads.update(told)

    def take_shared_load(self, told: TimedLoad) -> None:
        """Take the load that a server told a neighbour."""
        if not self.news.desk.loads.update(told):
            return
        self.backends.record_load(told.start, told.load, told.at)
        if told.rate_limit is not None:
            self.record_rate_limit(told.start, told.rate_limit, told_at=told.at)

    def record_rate_limit(
        self,
        start: ServerStart,
        per_second: float,
        *,
        told_at: Millis | None = None,
        request: str | None = None,
    ) -> None:
        """Take the rate that a server accepts, infinite without a limit.

        The answer to `request` named it just now, or one to a neighbour
        earlier.
        """
        now = self.clock.now()
        told_at = now if told_at is None else told_at
        if not self.backends.record_rate_limit(start, per_second, told_at, now):
            return
        self.log.write(
            EventName.BACKEND_LIMITED,
            peer=start.server,
            incarnation=start.born,
            request=request,
            value=None if math.isinf(per_second) else per_second,
            age=round(now - told_at),
        )

    def mark_leaving(self, start: ServerStart, request: str) -> None:
        """Send nothing more to a start whose answer to a request says so."""
        if self.backends.mark_leaving(start):
            self.log.write(
                EventName.BACKEND_LEAVING,
                peer=start.server,
                incarnation=start.born,
                request=request,
            )

    def record_backoff(
        self, start: ServerStart, pause: Millis, request: str
    ) -> None:
        """Send nothing to a start that refused a request, for a pause."""
        if self.backends.record_backoff(start, pause, self.clock.now()):
            self.log.write(
                EventName.BACKEND_BACKOFF,
                peer=start.server,
                incarnation=start.born,
                request=request,
                duration=round(pause),
            )

    def want_servers(self) -> None:
        """Have the list of servers read sooner."""
        self.servers_wanted.set()

    def are_servers_wanted(self) -> bool:
        """Return whether requests wait for a server."""
        return self.servers_wanted.is_set()

    @property
    def is_stale(self) -> bool:
        """Return whether the configuration may have changed unseen."""
        read = self.configuration_read
        return read is None or self.clock.now() - read > STALE_AFTER

    def find_cold_limits(self, deployment: Deployment) -> dict[str, ColdLimit]:
        """Return what cold servers of each service tolerate."""
        share, slack = self.settings.cold_share, self.settings.cold_slack
        return {
            name: ColdLimit(
                traits.cold_rate * share + slack, traits.cold_duration
            )
            for name, traits in deployment.services.items()
            if traits.cold_rate > 0
        }

    def may_serve(
        self, model: str, version: int | None, margin: Millis
    ) -> bool:
        """Return whether weights may begin requests for a margin more."""
        return self.rollout.weights.may_serve(
            model,
            version,
            within=self.settings.version_limit - margin,
            now=self.clock.now(),
            clock_offset=self.engine_clock.max_offset,
        )

    def find_replaced(self, model: str, version: int) -> Millis | None:
        """Return before when newer weights were not named, None if none are."""
        return self.rollout.weights.find_replaced_at(
            model, version, self.clock.now(), self.engine_clock.max_offset
        )

    def make_store_dependency(self, name: str) -> Dependency:
        """Follow one kind of call to the platform's store."""
        return Dependency(
            self.log,
            self.metrics,
            self.clock,
            lost=EventName.LOG_DOWN,
            regained=EventName.LOG_UP,
            label=name,
            name=name,
        )

    def describe_configuration(self) -> Mapping[str, LogValue]:
        """Return what log lines tell of the configuration that decided."""
        read, deployment = self.configuration_read, self.deployment
        return {
            'version': None if deployment is None else deployment.version,
            'age': None if read is None else round(self.clock.now() - read),
        }

    def note_levels(self) -> None:
        """Set the levels that are told only when they are asked for."""
        metrics = self.metrics
        metrics.set_gauge(Gauge.RUNNING, len(self.running))
        metrics.set_gauge(Gauge.READY, float(not self.find_fault()))
        metrics.set_count(Count.LINES_DROPPED, self.log.count_dropped())
        if self.deployment is not None:
            version = self.deployment.version
            metrics.set_gauge(Gauge.CONFIGURATION_OFFSET, version)

    def find_budget(self, service: str) -> RetryBudget:
        """Return this entry's part of what may be sent again to a service."""
        if service not in self._budgets:
            self._budgets[service] = make_retry_budget(
                self._share_budget(), self.random
            )
        return self._budgets[service]

    def share_budgets(self) -> None:
        """Share what may be sent again among the entries that are alive."""
        for budget in self._budgets.values():
            budget.resize(self._share_budget())

    def _share_budget(self) -> RetrySettings:
        settings = self.settings
        slack = settings.retry_slack * _BUDGET_USE
        return RetrySettings(
            share=settings.retry_share * _BUDGET_USE,
            burst=max(slack / self.entries.count(self.clock.now()), 1.0),
            base_delay=_RETRY_DELAY,
        )


def make_hosted_core(
    settings: HostSettings, clock: Clock, log: EventLog, random: Random
) -> HostedCore:
    """Build the state of an entry that has just started."""
    limit = settings.grace - _EXIT_MARGIN
    drain = DrainSettings(
        accept=_ANNOUNCE,
        announce=_ANNOUNCE,
        drain=limit - _CUT_MARGIN,
        limit=limit,
    )
    metrics = Metrics()
    entries = EntryCount(is_first_start=settings.is_first_start)
    core = HostedCore(
        settings=settings,
        clock=clock,
        random=random,
        log=log,
        metrics=metrics,
        drain=Drain(drain),
        rollout=Rollout(settings.version_limit),
        pool=ConnectionPool(CONNECT_LIMIT),
        news=SharedNews(settings, clock, log, metrics),
        limits=SendLimits(settings.process, entries, settings.regions),
        entries=entries,
    )
    core.news.desk.on_urgent_request = core.want_servers
    return core
