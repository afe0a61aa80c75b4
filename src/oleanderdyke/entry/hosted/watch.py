"""Follow what operators and backend servers write to the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.entry.hosted.roster import Roster
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
)
from oleanderdyke.platform.loads import LoadFeed
from oleanderdyke.platform.store import StoreClient, StoreUnavailable

# A long read returns at once when there is a change. A read on a connection
# that has gone silent costs this and the store's patience, which together
# stay under the two seconds in which a configuration has to be in force.
_CONFIGURATION_WAIT: Millis = 1 * SECOND
# Servers write every 1.2 s each, so that a long read would return at once
# and be asked again all the time. A server that leaves must get no work two
# seconds later; this leaves time for a failed read.
_SERVERS_PERIOD: Millis = 600.0
# The same while requests wait for a server that none is listed for: new starts
# are used up to half a second sooner, for ten calls a second at most.
_WANTED_PERIOD: Millis = 100.0
# Notices of loads come only when weights are named. Each of these waits is set
# so that an entry at rest makes under three calls a second in all.
_LOADS_WAIT: Millis = 10 * SECOND
# A neighbour that reads answers with the first news, or after this: one that is
# frozen or cut off holds up nobody for longer, and some more for the answer.
_SHARED_WAIT: Millis = 1 * SECOND
_SHARED_LOADS_WAIT: Millis = 3 * SECOND
# What a neighbour knows may be as old as its own reads take, and some more for
# the way; beyond that each reads for itself.
_CONFIGURATION_LIMIT: Millis = _CONFIGURATION_WAIT + 250.0
_SERVERS_LIMIT: Millis = _SERVERS_PERIOD + 350.0
_LOADS_LIMIT: Millis = _LOADS_WAIT + 1 * SECOND
# Engines that take turns append several notices together: those of so long are
# read in one call, where each alone would wake every reader.
_LOADS_HOLD: Millis = 40.0
# The store refuses what is over its rate and may be out for seconds; each
# call is paid for, also a refused one. The longest pause leaves most of the two
# seconds in which a configuration has to be in force once the store is back.
_RETRY_PAUSE: Millis = 150.0
_LONGEST_PAUSE: Millis = 600.0


class StoreWatch:
    """Keep the configuration and the list of servers of an entry."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        store = core.settings.store
        share = core.news.share
        self._long = StoreClient(
            store,
            _CONFIGURATION_WAIT,
            share(wait=_SHARED_WAIT, limit=_CONFIGURATION_LIMIT),
        )
        self._short = StoreClient(
            store,
            sharing=share(
                wait=_SERVERS_LIMIT,
                limit=_SERVERS_LIMIT,
                is_urgent=core.are_servers_wanted,
            ),
        )
        self._long_loads = StoreClient(
            store,
            _LOADS_WAIT,
            share(wait=_SHARED_LOADS_WAIT, limit=_LOADS_LIMIT),
        )
        self._loads = LoadFeed(self._long_loads, self._refuse)
        self._operator = OperatorFeed(self._long, self._refuse)
        self._servers = ServerFeed(self._short, self._refuse)
        self._roster = Roster(core.log)

    async def follow_operator(self) -> None:
        """Read configurations and versions until cancelled."""
        await self._follow('operator', self._read_operator, 0.0)

    async def follow_servers(self) -> None:
        """Read the list of servers until cancelled."""
        await self._follow('servers', self._read_servers, _SERVERS_PERIOD)

    async def follow_loads(self) -> None:
        """Read which engines take new weights until cancelled."""
        await self._follow('loads', self._read_loads, 0.0)

    def _refuse(self, name: str, error: MalformedRecord) -> None:
        """Keep the last good state where a record can't be read."""
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
            # The list tells the same up to two seconds later.
            backend = core.backends.find(notice.server)
            if backend is not None and notice.held:
                start = backend.record.start
                core.backends.record_version(start, notice.model, notice.held)
        if notices and not self._long_loads.was_shared:
            await anyio.sleep(_LOADS_HOLD / SECOND)

    async def _read_operator(self) -> None:
        core = self._core
        asked_at = core.clock.now()
        news = await self._operator.read()
        if news is not None:
            for deployment in news.list_configurations():
                self._apply(deployment)
            for named in news.list_versions():
                self._name(named)
            self._take_evacuations(news)
            if news.is_complete:
                # An answer that comes late, or that a suspended entry finds
                # once it goes on, tells nothing of the time in between.
                core.configuration_read = asked_at + news.waited
                core.rollout.weights.record_read(asked_at + news.waited)
                core.configuration_asked = asked_at + min(news.waited, 0.0)

    async def _read_servers(self) -> None:
        core = self._core
        asked_at = core.clock.now()
        news = await self._servers.read()
        if news is None:
            return
        now = core.clock.now()
        # What a neighbour tells may be older than the way that it came.
        read_at = asked_at + news.waited if self._short.was_shared else now
        core.backends.record_list_read(now, read_at)
        _take_servers(core.backends, news, now)
        core.backends.complete_read(now, read_at)
        self._roster.note(core.backends, now, now - (core.servers_read or now))
        core.servers_read = now
        # Connections to a start that has ended may be dead without a sign, as
        # behind a cut; each would cost a request half a second.
        for ended in core.backends.take_superseded():
            core.pool.drop_idle(ended.address)

    async def _follow(
        self, name: str, read: Callable[[], Awaitable[None]], period: Millis
    ) -> None:
        store, pause = self._core.make_store_dependency(name), _RETRY_PAUSE
        while True:
            try:
                await read()
            except StoreUnavailable as error:
                store.note_failed(error.message)
                await anyio.sleep(pause / SECOND)
                pause = min(2 * pause, _LONGEST_PAUSE)
                continue
            store.note_good()
            pause = _RETRY_PAUSE
            if period and not self._short.was_shared:
                await self._pause(period)

    async def _pause(self, period: Millis) -> None:
        """Wait for a period, less where requests wait for a server."""
        core = self._core
        await anyio.sleep(_WANTED_PERIOD / SECOND)
        with anyio.move_on_after((period - _WANTED_PERIOD) / SECOND):
            await core.servers_wanted.wait()
        core.servers_wanted = anyio.Event()

    def _name(self, named: NamedVersion) -> None:
        core = self._core
        if not core.rollout.weights.add(named.model, named.version):
            return
        core.log.write(
            EventName.VERSION_NAMED, model=named.model, version=named.version
        )

    def _take_evacuations(self, news: OperatorUpdate) -> None:
        """Stop new work where operators say so, until they take it back."""
        now, evacuations = self._core.clock.now(), self._core.limits.evacuations
        orders = tuple(news.list_evacuations())
        for order in orders:
            self._take_evacuation(order)
        ended = evacuations.find_expired(now)
        if news.is_whole:
            listed = [each.data_centre for each in orders if each.is_active]
            ended |= evacuations.find_missing(
                listed, now, is_restored=news.is_restored
            )
        for data_centre in ended:
            self._take_evacuation(EvacuationOrder(data_centre, is_active=False))

    def _take_evacuation(self, order: EvacuationOrder) -> None:
        core = self._core
        evacuations = core.limits.evacuations
        if order.is_active:
            is_news = evacuations.begin(order.data_centre)
            event = EventName.EVACUATION_BEGUN
        else:
            is_news = evacuations.end(order.data_centre, core.clock.now())
            event = EventName.EVACUATION_ENDED
        if is_news:
            core.log.write(event, name=order.data_centre)

    def _apply(self, deployment: Deployment) -> None:
        """Put a configuration in force; an older one never."""
        known = self._core.deployment
        if known is not None and deployment.version <= known.version:
            return
        self._core.deployment = deployment
        self._core.limits.cold_limits = self._core.find_cold_limits(deployment)
        self._core.log.write(
            EventName.CONFIGURATION_APPLIED,
            version=deployment.version,
            count=len(deployment.routes),
        )


def _take_servers(
    book: BackendRegistry, news: ServerUpdate, now: Millis
) -> None:
    """Take the whole list, or what has changed in it."""
    if news.is_restored:
        book.record_restore(now)
    if news.is_whole:
        book.replace(news.records, now, unread=news.unreadable)
        return
    for server in news.removed:
        book.remove(server, now)
    for record in news.records:
        book.put(record, now)
    book.mark_unreadable(news.unreadable)
