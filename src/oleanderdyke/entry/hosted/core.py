"""Shared state of an entry on the users' platform."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Protocol

import anyio

from oleanderdyke.background import BackgroundTasks
from oleanderdyke.clients.direct import ConnectionPool
from oleanderdyke.clock import SECOND, Clock, EngineClock, Millis
from oleanderdyke.dependencies import Dependency
from oleanderdyke.entry.hosted.crashes import CrashWatch
from oleanderdyke.entry.hosted.events import EventSteps
from oleanderdyke.entry.hosted.peer_sharing import PeerSharing
from oleanderdyke.entry.hosted.scheduling import Scheduling
from oleanderdyke.entry.stopping import StoppableRequest
from oleanderdyke.events import EventName
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.cold_starts import ColdLimit
from oleanderdyke.kernel.context_stores import ContextStores
from oleanderdyke.kernel.deployment import Deployment
from oleanderdyke.kernel.drain import Drain, DrainSettings
from oleanderdyke.kernel.outstanding_sends import OutstandingSends
from oleanderdyke.kernel.presence import EntryCount
from oleanderdyke.kernel.retries import RetryBudget, RetryLimits, RetryShares
from oleanderdyke.kernel.rollout import Rollout
from oleanderdyke.kernel.scheduling.load_table import TimedLoad
from oleanderdyke.kernel.send_limits import SendLimits
from oleanderdyke.kernel.servers import ServerLoad, ServerStart
from oleanderdyke.kernel.software_history import SoftwareHistory
from oleanderdyke.logs import EventLog, LogValue
from oleanderdyke.metrics import Count, Gauge, Metrics
from oleanderdyke.platform.settings import HostSettings

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.call import HostedCall
    from oleanderdyke.entry.hosted.stream_pin import StreamPin
    from oleanderdyke.entry.hosted.unread import UnreadAnswers

# A connection within the deployment opens within milliseconds. A lost packet
# is retransmitted after a second, so trying another server is faster.
CONNECT_LIMIT: Millis = 300.0
# The balancer checks every second and removes a process after two failures.
_ANNOUNCE_PERIOD: Millis = 2.5 * SECOND
# Grace time reserved for closing connections and exiting, which take up to
# half a second on a busy machine.
_EXIT_MARGIN: Millis = 600.0
# New requests must end this long before the cut-off.
_CUT_MARGIN: Millis = 500.0
# A configuration that was read longer ago may lack a new route or key.
STALE_AFTER: Millis = 3 * SECOND


class HostedRequest(StoppableRequest, Protocol):
    """A running request, whose methods never block."""

    def check_attempt(self, now: Millis) -> None:
        """Abort an attempt that is silent, superseded or on old weights."""


@dataclass
class HostedCore:
    """State of one entry process, shared by its tasks."""

    settings: HostSettings
    clock: Clock
    random: Random
    log: EventLog
    metrics: Metrics
    drain: Drain
    pool: ConnectionPool
    peers: PeerSharing
    limits: SendLimits
    software: SoftwareHistory
    entries: EntryCount = field(default_factory=EntryCount)
    backends: BackendRegistry = field(default_factory=BackendRegistry)
    deployment: Deployment | None = None
    rollout: Rollout = field(default_factory=lambda: Rollout(math.inf))
    contexts: ContextStores = field(default_factory=ContextStores)
    scheduling: Scheduling = field(default_factory=Scheduling)
    # Set once the context stores have been read or the wait has timed out.
    contexts_ready: anyio.Event = field(default_factory=anyio.Event)
    engine_clock: EngineClock = field(default_factory=EngineClock)
    configuration_read_at: Millis | None = None
    # When the last configuration read was requested.
    configuration_requested_at: Millis = 0.0
    servers_read_at: Millis | None = None
    # When the newest list of servers was requested, and an event for the next.
    servers_listed_at: Millis = -math.inf
    servers_listed: anyio.Event = field(default_factory=anyio.Event)
    # Set while requests wait and no server is listed for them.
    servers_requested: anyio.Event = field(default_factory=anyio.Event)
    # Set while streams wait for news of what began them.
    origins_requested: anyio.Event = field(default_factory=anyio.Event)
    running: dict[str, HostedRequest] = field(default_factory=dict)
    retries: RetryShares = field(init=False)
    # The burst that was logged last.
    _logged_burst: float | None = None
    crashes: CrashWatch = field(init=False)
    background: BackgroundTasks = field(init=False)
    _unread: UnreadAnswers | None = None
    _steps: dict[str, EventSteps] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Build the parts that depend on the others."""
        self.crashes = CrashWatch(self)
        self.background = BackgroundTasks(
            self.log, self.metrics, self.clock, self.random
        )
        self.retries = RetryShares(
            self.settings.process,
            self.entries,
            self._find_retry_limits,
            random=self.random,
            now=self.clock.now,
            is_leaving=lambda: self.drain.is_leaving,
        )

    def find_unready_reason(self) -> str:
        """Return why this entry is not ready, or '' if it is."""
        if self.drain.is_leaving:
            return 'stopping'
        if self.deployment is None:
            return 'no configuration yet'
        if self.servers_read_at is None:
            return 'no list of backend servers yet'
        return ''

    def record_load(self, start: ServerStart, load: ServerLoad) -> None:
        """Record the load a server reported, and queue it for peer entries."""
        backend = self.backends.find_start(start)
        rate_limit = None
        if backend is not None and backend.limit.was_ever_set:
            rate_limit = backend.limit.per_second
        timed_load = TimedLoad(start, load, self.clock.now(), rate_limit)
        self.backends.record_load(start, load, timed_load.at)
        self.peers.desk.loads.update(timed_load)
        self.peers.desk.local_loads.update(timed_load)

    def apply_shared_load(self, timed_load: TimedLoad) -> None:
        """Record a load that a server reported to a peer entry."""
        if not self.peers.desk.loads.update(timed_load):
            return
        self.backends.record_load(
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
        """Record the request rate a server accepts, infinite if unlimited.

        Pass `request` for a limit in a response just received, or
        `reported_at` for one that a peer entry received earlier.
        """
        now = self.clock.now()
        reported_at = now if reported_at is None else reported_at
        if not self.backends.record_rate_limit(
            start, per_second, reported_at, now
        ):
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
        """Stop sending to an incarnation whose response says it is leaving."""
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
        """Stop sending for `pause` to an incarnation that asked for it."""
        if self.backends.record_backoff(start, pause, self.clock.now()):
            self.log.write(
                EventName.BACKEND_BACKOFF,
                peer=start.server,
                incarnation=start.born,
                request=request,
                duration=round(pause),
            )

    def record_listed(self, requested_at: Millis) -> None:
        """Record that a list of servers was read."""
        self.servers_listed_at = requested_at
        self.servers_listed.set()
        self.servers_listed = anyio.Event()

    async def wait_listed(self, since: Millis, limit: Millis) -> bool:
        """Wait for a list of servers that was requested after `since`."""
        with anyio.move_on_after(limit / SECOND):
            while self.servers_listed_at < since:
                self.servers_requested.set()
                await self.servers_listed.wait()
        return self.servers_listed_at >= since

    def request_servers(self) -> None:
        """Request an earlier read of the server list for waiting requests."""
        self.servers_requested.set()

    def are_servers_requested(self) -> bool:
        """Return whether an earlier read of the server list is requested."""
        return self.servers_requested.is_set()

    @property
    def is_stale(self) -> bool:
        """Return whether the configuration may have changed unnoticed."""
        read = self.configuration_read_at
        return read is None or self.clock.now() - read > STALE_AFTER

    def find_cold_limits(self, deployment: Deployment) -> dict[str, ColdLimit]:
        """Return the limits of cold servers by service name."""
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
        """Return whether requests may start on weights `margin` from now."""
        return self.rollout.weights.may_serve(
            model,
            version,
            within=self.settings.version_limit - margin,
            now=self.clock.now(),
            clock_offset=self.engine_clock.max_offset,
        )

    def find_replacement_time(self, model: str, version: int) -> Millis | None:
        """Return the earliest time newer weights may have been published.

        It is None if there are no newer weights.
        """
        return self.rollout.weights.find_replaced_at(
            model, version, self.clock.now(), self.engine_clock.max_offset
        )

    def make_store_dependency(self, name: str) -> Dependency:
        """Track the availability of the platform's store for one task."""
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
        """Return log fields for the configuration in force and its age."""
        read, deployment = self.configuration_read_at, self.deployment
        return {
            'version': None if deployment is None else deployment.version,
            'age': None if read is None else round(self.clock.now() - read),
        }

    def update_gauges(self) -> None:
        """Update the metrics that are computed only when scraped."""
        metrics = self.metrics
        metrics.set_gauge(Gauge.RUNNING, len(self.running))
        metrics.set_gauge(Gauge.READY, float(not self.find_unready_reason()))
        metrics.set_count(Count.LINES_DROPPED, self.log.count_dropped())
        if self._unread is not None:
            self._unread.update_gauge()
        has_earlier = self.retries.may_have_earlier()
        metrics.set_gauge(Gauge.RETRY_EARLIER, float(has_earlier))
        for service, budget in self.retries.list_budgets():
            found = self.scheduling.find_windowed(service) or budget
            metrics.set_gauge(Gauge.RETRY_TOKENS, found.tokens, service)
            metrics.set_gauge(Gauge.RETRY_BURST, found.settings.burst, service)
            self._update_sends(service, self.retries.find_sends(service))
        if self.deployment is not None:
            version = self.deployment.version
            metrics.set_gauge(Gauge.CONFIGURATION_OFFSET, version)

    def _update_sends(self, service: str, sends: OutstandingSends) -> None:
        metrics = self.metrics
        metrics.set_gauge(Gauge.RETRY_OUTSTANDING, sends.repeats, service)
        metrics.set_gauge(Gauge.RETRY_RESERVED, sends.reserved, service)
        metrics.set_gauge(Gauge.RETRY_UNREAD, sends.unread, service)
        for end, total in sends.ends.items():
            label = f'{service}, {end.value}'
            metrics.set_count(Count.SENDS_ENDED, total, label)

    def find_unread(self) -> UnreadAnswers:
        """Return the bound on unread answers, from the first one that waits."""
        if self._unread is None:
            # Most entries never need it, and all start at the same time.
            from oleanderdyke.entry.hosted import unread  # noqa: PLC0415 - see above

            self._unread = unread.UnreadAnswers(self)
        return self._unread

    def make_pin(self, call: HostedCall) -> StreamPin | None:
        """Return the pin of a stream that may be taken up, else None."""
        may_go_on = call.goes_on and self.software.had_streams(call.service)
        if not may_go_on and not call.route.is_resumable:
            return None
        # Few entries serve such a stream right after their start.
        from oleanderdyke.entry.hosted import stream_pin  # noqa: PLC0415 - see above

        return stream_pin.StreamPin(self, call)

    def find_steps(self, service: str) -> EventSteps:
        """Return how the events of a service's streams are numbered."""
        return self._steps.setdefault(service, EventSteps())

    def find_budget(self, service: str) -> RetryBudget:
        """Return this entry's retry budget for a service."""
        return self.retries.find(service)

    def log_retry_share(self) -> None:
        """Log a changed share of the retries of all entries."""
        burst = self.retries.find_settings().burst
        if burst == self._logged_burst:
            return
        self._logged_burst = burst
        now = self.clock.now()
        count = self.entries.count(now)
        self.log.write(
            EventName.RETRY_BUDGET_CHANGED,
            limit=round(burst, 2),
            count=None if math.isinf(count) else count,
            age=self.entries.find_age(now),
        )

    def _find_retry_limits(self) -> RetryLimits:
        settings = self.settings
        return RetryLimits(settings.retry_share, settings.retry_slack)


def make_hosted_core(
    settings: HostSettings, clock: Clock, log: EventLog, random: Random
) -> HostedCore:
    """Build the initial state of an entry."""
    limit = settings.grace - _EXIT_MARGIN
    drain = DrainSettings(
        accept=_ANNOUNCE_PERIOD,
        announce=_ANNOUNCE_PERIOD,
        drain=limit - _CUT_MARGIN,
        limit=limit,
    )
    metrics = Metrics()
    entries = EntryCount(
        settings.process, is_first_start=settings.is_first_start
    )
    software = SoftwareHistory(
        is_first_start=settings.is_first_start, heartbeat=settings.heartbeat
    )
    core = HostedCore(
        settings=settings,
        clock=clock,
        random=random,
        log=log,
        metrics=metrics,
        drain=Drain(drain),
        rollout=Rollout(settings.version_limit),
        pool=ConnectionPool(CONNECT_LIMIT),
        peers=PeerSharing(settings, clock, log, metrics, software),
        software=software,
        limits=SendLimits(settings.process, entries, settings.regions),
        entries=entries,
    )
    core.peers.desk.on_urgent_request = core.request_servers
    return core
