"""Read configurations, server lists and weight loads from the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from oleanderdyke.clients.keep_alive import closing
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.server_changes import ServerChangeLog
from oleanderdyke.events import EventName
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.deployment import Deployment
from oleanderdyke.platform.documents import MalformedRecord, NamedVersion
from oleanderdyke.platform.feed import (
    EvacuationOrder,
    OperatorFeed,
    OperatorUpdate,
    ServerFeed,
    ServerUpdate,
    report_refused,
)
from oleanderdyke.platform.loads import LoadFeed
from oleanderdyke.platform.store import StoreClient, StoreUnavailable

# A long poll returns as soon as there is a change. A read on a dead connection
# costs this and the client's timeout, which together stay below the two seconds
# in which a configuration has to take effect.
_CONFIGURATION_WAIT: Millis = 1 * SECOND
# Each server writes every 1.2 s, so a long poll would return immediately and
# repeat without pause. A leaving server must get no requests after two seconds;
# this period leaves time for a failed read.
_SERVERS_PERIOD: Millis = 600.0
# Period while requests wait and no server is listed for them: new incarnations
# are used up to half a second sooner, at no more than ten calls a second.
_REQUESTED_PERIOD: Millis = 100.0
# Load notices come only when new weights are published. Each of these waits is
# set so that an idle entry makes under three calls a second in all.
_LOADS_WAIT: Millis = 10 * SECOND
# A reading peer answers with the first changes, or after this. A peer that is
# frozen or partitioned delays others no longer than this and the answer's way.
_SHARED_WAIT: Millis = 1 * SECOND
_SHARED_LOADS_WAIT: Millis = 3 * SECOND
# Maximum age of shared reads: the duration of the peer's own reads and some
# time for transfer. Beyond that each entry reads for itself.
_CONFIGURATION_LIMIT: Millis = _CONFIGURATION_WAIT + 250.0
_SERVERS_LIMIT: Millis = _SERVERS_PERIOD + 350.0
_LOADS_LIMIT: Millis = _LOADS_WAIT + 1 * SECOND
# Engines that take turns append several notices in short succession. Pausing
# this long reads them in one call instead of waking every reader for each.
_LOADS_BATCH_PERIOD: Millis = 40.0
# The store refuses calls over its rate limit and may be down for seconds; each
# call costs, even a refused one. The longest pause leaves most of the two
# seconds in which a configuration has to take effect once the store is back.
_RETRY_PAUSE: Millis = 150.0
_MAX_RETRY_PAUSE: Millis = 600.0


class StoreWatch:
    """Keep an entry's configuration, server list and loads up to date."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        store = core.settings.store
        share = core.peers.make_sharing
        self._operator_store = StoreClient(
            store,
            _CONFIGURATION_WAIT,
            share(wait=_SHARED_WAIT, limit=_CONFIGURATION_LIMIT),
        )
        self._servers_store = StoreClient(
            store,
            sharing=share(
                wait=_SERVERS_LIMIT,
                limit=_SERVERS_LIMIT,
                is_urgent=core.are_servers_requested,
            ),
        )
        self._loads_store = StoreClient(
            store,
            _LOADS_WAIT,
            share(wait=_SHARED_LOADS_WAIT, limit=_LOADS_LIMIT),
        )
        self._loads = LoadFeed(self._loads_store, self._log_refused_record)
        self._operator = OperatorFeed(
            self._operator_store, self._log_refused_record
        )
        self._servers = ServerFeed(
            self._servers_store, self._log_refused_record
        )
        self._changes = ServerChangeLog(core.log)

    async def follow_operator(self) -> None:
        """Read configurations, versions and evacuations until cancelled."""
        async with closing(self._operator_store):
            await self._follow('operator', self._read_operator, 0.0)

    async def follow_servers(self) -> None:
        """Read the list of servers until cancelled."""
        async with closing(self._servers_store):
            await self._follow('servers', self._read_servers, _SERVERS_PERIOD)

    async def follow_loads(self) -> None:
        """Read which engines are loading new weights, until cancelled."""
        async with closing(self._loads_store):
            await self._follow('loads', self._read_loads, 0.0)

    def _log_refused_record(self, name: str, error: MalformedRecord) -> None:
        """Log a malformed record; the last valid state stays in force."""
        self._core.log.write(
            EventName.RECORD_REFUSED, name=name, detail=error.message
        )

    async def _read_loads(self) -> None:
        core = self._core
        notices = await self._loads.read()
        if notices is None:
            core.rollout.queue.clear()
            return
        for notice in notices:
            core.rollout.apply(
                notice,
                now=core.clock.now(),
                clock_offset=core.engine_clock.max_offset,
            )
            # The server list shows the same up to two seconds later.
            backend = core.backends.find(notice.server)
            if backend is not None and notice.held:
                start = backend.record.start
                core.backends.record_version(start, notice.model, notice.held)
        if notices and not self._loads_store.was_shared:
            await anyio.sleep(_LOADS_BATCH_PERIOD / SECOND)

    async def _read_operator(self) -> None:
        core = self._core
        requested_at = core.clock.now()
        news = await self._operator.read()
        if news is not None:
            for deployment in news.list_configurations():
                self._apply_configuration(deployment)
            for named in news.list_versions():
                self._apply_version(named)
            self._apply_evacuations(news)
            if news.is_complete:
                # Count from the request: a response that arrives late, or that
                # a suspended entry reads after it resumes, says nothing about
                # the time in between.
                core.configuration_read_at = requested_at + news.waited
                core.rollout.weights.record_read(requested_at + news.waited)
                core.configuration_requested_at = requested_at + min(
                    news.waited, 0.0
                )

    async def _read_servers(self) -> None:
        core = self._core
        requested_at = core.clock.now()
        news = await self._servers.read()
        if news is None:
            return
        now = core.clock.now()
        # A read shared by a peer may be older than its transfer time.
        read_at = (
            requested_at + news.waited
            if self._servers_store.was_shared
            else now
        )
        core.backends.record_list_read(now, read_at)
        _apply_servers(core.backends, news, now)
        core.backends.complete_read(now, read_at)
        # An answer that arrives late tells of the time of its request.
        listed_at = min(read_at, requested_at)
        softwares = core.backends.list_softwares(now)
        core.software.record_list(softwares, listed_at, now)
        core.record_listed(listed_at)
        self._changes.log_changes(
            core.backends, now, now - (core.servers_read_at or now)
        )
        core.servers_read_at = now
        # Connections to an ended incarnation may be dead unnoticed, as after a
        # network partition; each would delay a request by half a second.
        for ended in core.backends.take_superseded():
            core.pool.drop_idle(ended.address)
            core.retries.record_ended(ended.start)

    async def _follow(
        self, name: str, read: Callable[[], Awaitable[None]], period: Millis
    ) -> None:
        store, pause = self._core.make_store_dependency(name), _RETRY_PAUSE
        while True:
            try:
                await read()
            except StoreUnavailable as error:
                store.record_failure(error.message)
                await anyio.sleep(pause / SECOND)
                pause = min(2 * pause, _MAX_RETRY_PAUSE)
                continue
            store.record_success()
            pause = _RETRY_PAUSE
            if period and not self._servers_store.was_shared:
                await self._pause(period)

    async def _pause(self, period: Millis) -> None:
        """Wait for a period, shortened while requests wait for a server."""
        core = self._core
        await anyio.sleep(_REQUESTED_PERIOD / SECOND)
        with anyio.move_on_after((period - _REQUESTED_PERIOD) / SECOND):
            await core.servers_requested.wait()
        core.servers_requested = anyio.Event()

    def _apply_version(self, named: NamedVersion) -> None:
        core = self._core
        if not core.rollout.weights.add(named.model, named.version):
            return
        core.log.write(
            EventName.VERSION_NAMED, model=named.model, version=named.version
        )

    def _apply_evacuations(self, news: OperatorUpdate) -> None:
        """Start and end evacuations of data centres as operators ordered."""
        now, evacuations = self._core.clock.now(), self._core.limits.evacuations
        orders = tuple(news.list_evacuations())
        for order in orders:
            self._apply_evacuation(order)
        ended = evacuations.find_expired(now)
        if news.is_whole:
            listed = [each.data_centre for each in orders if each.is_active]
            ended |= evacuations.find_missing(
                listed, now, is_restored=news.is_restored
            )
        for data_centre in ended:
            self._apply_evacuation(
                EvacuationOrder(data_centre, is_active=False)
            )

    def _apply_evacuation(self, order: EvacuationOrder) -> None:
        core = self._core
        evacuations = core.limits.evacuations
        if order.is_active:
            is_changed = evacuations.begin(order.data_centre)
            event = EventName.EVACUATION_BEGUN
        else:
            is_changed = evacuations.end(order.data_centre, core.clock.now())
            event = EventName.EVACUATION_ENDED
        if is_changed:
            core.log.write(event, name=order.data_centre)

    def _apply_configuration(self, deployment: Deployment) -> None:
        """Apply a configuration if it is newer than the current one."""
        known = self._core.deployment
        if known is not None and deployment.version <= known.version:
            return
        self._core.deployment = deployment
        software = self._core.software
        software.configure(deployment.stream_lifetimes)
        software.routes.configure(
            deployment.stream_routes, self._core.clock.now()
        )
        self._core.scheduling.configure(deployment)
        self._core.limits.cold_limits = self._core.find_cold_limits(deployment)
        self._core.log.write(
            EventName.CONFIGURATION_APPLIED,
            version=deployment.version,
            count=len(deployment.routes),
        )
        faults = [
            ('config', MalformedRecord(each)) for each in deployment.faults
        ]
        report_refused(faults, self._log_refused_record)


def _apply_servers(
    backends: BackendRegistry, news: ServerUpdate, now: Millis
) -> None:
    """Apply the complete server list, or the changes since the last read."""
    if news.is_restored:
        backends.record_restore(now)
    if news.is_whole:
        backends.replace(news.records, now, unread=news.unreadable)
        return
    for server in news.removed:
        backends.remove(server, now)
    for record in news.records:
        backends.put(record, now)
    backends.mark_unreadable(news.unreadable)
