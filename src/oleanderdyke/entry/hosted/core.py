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
from oleanderdyke.entry.hosted.peer_sharing import PeerSharing
from oleanderdyke.entry.stopping import StoppableRequest
from oleanderdyke.events import EventName
from oleanderdyke.kernel.backends import BackendBook
from oleanderdyke.kernel.cold_starts import ColdLimit
from oleanderdyke.kernel.context_stores import ContextStores
from oleanderdyke.kernel.deployment import Deployment
from oleanderdyke.kernel.drain import Drain, DrainSettings
from oleanderdyke.kernel.durations import Durations
from oleanderdyke.kernel.engine_clock import EngineClock
from oleanderdyke.kernel.load_board import TimedLoad
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
_ANNOUNCE_PERIOD: Millis = 2.5 * SECOND
# What is left of the grace time for closing connections and for the exit,
# which take up to half a second on a busy machine.
_EXIT_MARGIN: Millis = 600.0
# New work has to end so long before running work is cut off.
_CUT_MARGIN: Millis = 500.0
# A configuration that was read longer ago may lack a route or a key.
STALE_AFTER: Millis = 3 * SECOND
# What is used of the allowance that the operators bound.
_BUDGET_SHARE = 0.8
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
    peers: PeerSharing
    limits: SendLimits
    entries: EntryCount = field(default_factory=EntryCount)
    backends: BackendBook = field(default_factory=BackendBook)
    deployment: Deployment | None = None
    durations: Durations = field(default_factory=Durations)
    rollout: Rollout = field(default_factory=lambda: Rollout(math.inf))
    contexts: ContextStores = field(default_factory=ContextStores)
    # Set once the stores of context were read, or were waited for in vain.
    contexts_ready: anyio.Event = field(default_factory=anyio.Event)
    engine_clock: EngineClock = field(default_factory=EngineClock)
    configuration_read_at: Millis | None = None
    # When that which was read last had been asked for.
    configuration_requested_at: Millis = 0.0
    servers_read_at: Millis | None = None
    # Set while requests wait for a server and none is listed.
    servers_requested: anyio.Event = field(default_factory=anyio.Event)
    running: dict[str, HostedRequest] = field(default_factory=dict)
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def find_unready_reason(self) -> str:
        """Return why this entry is not ready, or nothing."""
        if self.drain.is_leaving:
            return 'stopping'
        if self.deployment is None:
            return 'no configuration yet'
        if self.servers_read_at is None:
            return 'no list of backend servers yet'
        return ''

    def record_load(self, start: ServerStart, load: ServerLoad) -> None:
        """Take the load that a server told, and keep it for neighbours."""
        backend = self.backends.find_start(start)
        rate_limit = None
        if backend is not None and backend.limit.was_named:
            rate_limit = backend.limit.per_second
        timed_load = TimedLoad(start, load, self.clock.now(), rate_limit)
        self.backends.note_load(start, load, timed_load.at)
        self.peers.desk.loads.note(timed_load)
        self.peers.desk.own_loads.note(timed_load)

    def apply_shared_load(self, timed_load: TimedLoad) -> None:
        """Take the load that a server told a neighbour."""
        if not self.peers.desk.loads.note(timed_load):
            return
        self.backends.note_load(
            timed_load.start, timed_load.load, timed_load.at
        )
        if timed_load.rate_limit is not None:
            self.record_rate_limit(
                timed_load.start,
                timed_load.rate_limit,
                reported_at=timed_load.at,
            )

    def record_rate_limit(
        self,
        start: ServerStart,
        per_second: float,
        *,
        reported_at: Millis | None = None,
        request: str | None = None,
    ) -> None:
        """Take the rate that a server accepts, infinite without a limit.

        The answer to `request` named it just now, or one to a neighbour
        earlier.
        """
        now = self.clock.now()
        reported_at = now if reported_at is None else reported_at
        if not self.backends.note_limit(start, per_second, reported_at, now):
            return
        self.log.write(
            EventName.BACKEND_LIMITED,
            peer=start.server,
            incarnation=start.born,
            request=request,
            value=None if math.isinf(per_second) else per_second,
            age=round(now - reported_at),
        )

    def mark_leaving(self, start: ServerStart, request: str) -> None:
        """Send nothing more to a start whose answer to a request says so."""
        if self.backends.note_leaving(start):
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
        if self.backends.note_backoff(start, pause, self.clock.now()):
            self.log.write(
                EventName.BACKEND_BACKOFF,
                peer=start.server,
                incarnation=start.born,
                request=request,
                duration=round(pause),
            )

    def request_servers(self) -> None:
        """Have the list of servers read sooner."""
        self.servers_requested.set()

    def are_servers_requested(self) -> bool:
        """Return whether requests wait for a server."""
        return self.servers_requested.is_set()

    @property
    def is_stale(self) -> bool:
        """Return whether the configuration may have changed unseen."""
        read = self.configuration_read_at
        return read is None or self.clock.now() - read > STALE_AFTER

    def find_cold_limits(self, deployment: Deployment) -> dict[str, ColdLimit]:
        """Return what cold servers of each service tolerate."""
        share, slack = self.settings.cold_share, self.settings.cold_slack
        return {
            name: ColdLimit(traits.cold_rate * share + slack, traits.cold_lasts)
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
            shift=self.engine_clock.most,
        )

    def find_replacement_time(self, model: str, version: int) -> Millis | None:
        """Return before when newer weights were not named, None if none are."""
        return self.rollout.weights.find_replaced(
            model, version, self.clock.now(), self.engine_clock.most
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
        read, deployment = self.configuration_read_at, self.deployment
        return {
            'version': None if deployment is None else deployment.version,
            'age': None if read is None else round(self.clock.now() - read),
        }

    def update_gauges(self) -> None:
        """Set the levels that are told only when they are asked for."""
        metrics = self.metrics
        metrics.set_gauge(Gauge.RUNNING, len(self.running))
        metrics.set_gauge(Gauge.READY, float(not self.find_unready_reason()))
        metrics.set_count(Count.LINES_DROPPED, self.log.count_dropped())
        if self.deployment is not None:
            version = self.deployment.version
            metrics.set_gauge(Gauge.CONFIGURATION_OFFSET, version)

    def find_budget(self, service: str) -> RetryBudget:
        """Return this entry's part of what may be sent again to a service."""
        if service not in self._budgets:
            self._budgets[service] = make_retry_budget(
                self._make_budget_settings(), self.random
            )
        return self._budgets[service]

    def resize_budgets(self) -> None:
        """Share what may be sent again among the entries that are alive."""
        for budget in self._budgets.values():
            budget.resize(self._make_budget_settings())

    def _make_budget_settings(self) -> RetrySettings:
        settings = self.settings
        slack = settings.retry_slack * _BUDGET_SHARE
        return RetrySettings(
            share=settings.retry_share * _BUDGET_SHARE,
            burst=max(slack / self.entries.count(self.clock.now()), 1.0),
            base_delay=_RETRY_DELAY,
        )


def make_hosted_core(
    settings: HostSettings, clock: Clock, log: EventLog, random: Random
) -> HostedCore:
    """Build the state of an entry that has just started."""
    limit = settings.grace - _EXIT_MARGIN
    drain = DrainSettings(
        accept=_ANNOUNCE_PERIOD,
        announce=_ANNOUNCE_PERIOD,
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
        peers=PeerSharing(settings, clock, log, metrics),
        limits=SendLimits(settings.process, entries, settings.regions),
        entries=entries,
    )
    core.peers.desk.note_urgent = core.request_servers
    return core
