"""Track the contents of context stores, and free outdated context."""

from __future__ import annotations

import math
from functools import partial

import anyio

from oleanderdyke.clients.keep_alive import closing
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.dependencies import Dependency
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.events import EventName
from oleanderdyke.kernel.context_stores import StoreView
from oleanderdyke.kernel.deployment import StoreTraits
from oleanderdyke.kernel.neighbours import (
    CONTEXT_SOURCES,
    find_context_source,
)
from oleanderdyke.kernel.outdated_context import (
    FreeSchedule,
    OutdatedContext,
)
from oleanderdyke.kernel.read_backoff import ReadBackoff
from oleanderdyke.links.messages.news import StorePosition
from oleanderdyke.links.news_client import SharedEvents
from oleanderdyke.links.news_server import encode_loads
from oleanderdyke.metrics import Count
from oleanderdyke.platform.contexts import ContextClient, ContextUnavailable
from oleanderdyke.platform.documents import MalformedRecord

_RETRY_PAUSE: Millis = 300.0
_PERIOD: Millis = 250.0
# Poll period until the first configuration is read. Requests sent meanwhile
# would recompute context that the stores hold.
_START_PERIOD: Millis = 10.0
# After a start, requests wait at most this long for the contents of the stores.
# A store lists them within some milliseconds unless it is down.
_FIRST_READ_TIMEOUT: Millis = 400.0
# On the first start of the whole system the stores are empty, and all entries
# reading at once would exceed their reader limit. After this pause the entries
# know each other and share reads.
_FIRST_START_PAUSE: Millis = 3 * SECOND
# A reading peer answers with the first changes, or after this.
_SHARED_WAIT: Millis = 1 * SECOND
# Maximum age of shared changes. The peer's own reads take up to a second, and
# it may lose its place at the store for a while; a view is valid for longer.
_SHARED_LIMIT: Millis = 2 * SECOND
# Without an answer from the peer for this long, each entry reads for itself.
_SHARED_TTL: Millis = 1.6 * SECOND
_FREE_TIMEOUT: Millis = 1 * SECOND


class ContextWatch:
    """Keep one entry's views of all context stores up to date."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._outdated = OutdatedContext()
        # Until when peers are expected to share a store's changes, by address.
        self._shared_until: dict[str, Millis] = {}

    async def run(self) -> None:
        """Track the stores named in the configuration until cancelled."""
        background = self._core.background
        self._scopes.clear()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._signal_first_read)
            if self._core.settings.is_first_start:
                await anyio.sleep(_FIRST_START_PAUSE / SECOND)
            for source in CONTEXT_SOURCES:
                shared = partial(self._follow_shared, source)
                tasks.start_soon(background.run, 'shared contexts', shared)
            while True:
                self._configure()
                self._update_outdated()
                views = self._core.contexts.views
                for address in set(views) - set(self._scopes):
                    self._scopes[address] = anyio.CancelScope()
                    tasks.start_soon(self._follow_configured, views[address])
                for address in set(self._scopes) - set(views):
                    self._scopes.pop(address).cancel()
                is_known = self._core.deployment is not None
                period = _PERIOD if is_known else _START_PERIOD
                await anyio.sleep(period / SECOND)

    async def _signal_first_read(self) -> None:
        """Release waiting requests once all stores are read or a timeout ends.

        Requests sent earlier would recompute context that the stores hold.
        """
        core = self._core
        while core.deployment is None:
            await anyio.sleep(_START_PERIOD / SECOND)
        with anyio.move_on_after(_FIRST_READ_TIMEOUT / SECOND):
            while not core.contexts.are_read(self._list_managed()):
                await anyio.sleep(_START_PERIOD / SECOND)
        core.contexts_ready.set()

    def _configure(self) -> None:
        if self._core.deployment is not None:
            self._core.contexts.configure(self._list_managed())

    def _list_managed(self) -> list[StoreTraits]:
        deployment = self._core.deployment
        if deployment is None:
            return []
        return [
            service.store
            for service in deployment.services.values()
            if service.store is not None and service.store.is_managed
        ]

    async def _follow_configured(self, view: StoreView) -> None:
        """Track a store until the configuration names it no more."""
        with self._scopes[view.traits.address]:
            await self._core.background.run(
                'contexts', partial(self._follow, view)
            )

    async def _follow(self, view: StoreView) -> None:
        client = ContextClient(view.traits.address, self._log_refused_record)
        async with closing(client):
            await self._follow_by(client, view)

    async def _follow_by(self, client: ContextClient, view: StoreView) -> None:
        store = self._make_dependency(view)
        turns = ReadBackoff(self._core.random)
        frees = FreeSchedule(self._core.random)
        while True:
            if self._is_shared(view):
                await anyio.sleep(_PERIOD / SECOND)
                continue
            try:
                await self._read(client, view, turns.wait)
            except ContextUnavailable as error:
                pause = self._handle_unavailable(error, view, turns)
                store.record_failure(error.message)
                await anyio.sleep(pause / SECOND)
                continue
            store.record_success()
            await self._free_outdated(client, view, frees)
            await anyio.sleep(turns.find_pause() / SECOND)

    def _handle_unavailable(
        self, error: ContextUnavailable, view: StoreView, turns: ReadBackoff
    ) -> Millis:
        """Return the pause before the next read; forget a store that is down.

        The view of a store that only had no reader slot free stays, for as long
        as it is valid without a read: forgetting it would make requests
        recompute the context that others have saved.
        """
        if error.is_overloaded:
            return turns.record_rejection()
        view.invalidate()
        return _RETRY_PAUSE

    async def _read(
        self, client: ContextClient, view: StoreView, wait: Millis
    ) -> None:
        asked_at = self._core.clock.now()
        found = await client.read_events(view.position, wait)
        self._core.engine_clock.update(
            found.clock, asked_at=asked_at, now=self._core.clock.now()
        )
        if found.has_gap or found.boot != view.boot:
            self._core.log.write(
                EventName.SEGMENT_EVENTS_LOST,
                store=view.traits.address,
                count=len(found.events),
                generation=found.boot,
            )
        if view.boot is not None and found.boot != view.boot:
            # A restarted store numbers its events from 0 again, and they may
            # take a second to arrive.
            view.invalidate()
            view.position = 0
            found = await client.read_events(0, wait)
        since = view.position
        view.apply_events(found, asked_at, self._core.clock.now())
        self._core.peers.desk.buffer_events(
            view.traits.address, since, found, asked_at
        )

    async def _follow_shared(self, source: str) -> None:
        """Apply store changes that a peer entry reads, until cancelled."""
        core, sent = self._core, 0
        while True:
            board, now = core.peers.desk.local_loads, core.clock.now()
            loads = encode_loads(board.list_after(sent, now), now)
            sent = board.last_number
            found = await core.peers.reader.ask_events(
                source,
                self._list_positions(source),
                loads=loads,
                wait=_SHARED_WAIT,
                limit=_SHARED_LIMIT,
            )
            if found is None:
                await anyio.sleep(_PERIOD / SECOND)
                continue
            for news in found.stores:
                self._apply_shared(news)
            for load in found.loads:
                core.apply_shared_load(load)
            if not found.stores:
                await anyio.sleep(_PERIOD / SECOND)

    def _list_positions(self, source: str) -> tuple[StorePosition, ...]:
        return tuple(
            StorePosition(address, view.position, view.boot)
            for address, view in self._core.contexts.views.items()
            if find_context_source(address) == source
        )

    def _apply_shared(self, news: SharedEvents) -> None:
        core = self._core
        now = core.clock.now()
        view = core.contexts.views.get(news.store)
        if view is None or not view.apply_shared_events(
            news.found, news.asked_at, now
        ):
            return
        core.engine_clock.update(
            news.found.clock, asked_at=news.clock_from, now=now
        )
        self._shared_until[news.store] = now + _SHARED_TTL

    def _is_shared(self, view: StoreView) -> bool:
        until = self._shared_until.get(view.traits.address, -math.inf)
        return self._core.clock.now() < until

    def _update_outdated(self) -> None:
        """Record the newest weights and the oldest that engines still hold."""
        core = self._core
        now = core.clock.now()
        for model, newest in core.rollout.weights.list_newest().items():
            oldest = core.backends.find_oldest_version(model)
            known = None if core.is_stale else oldest
            self._outdated.update(model, newest, known, now)

    async def _free_outdated(
        self, client: ContextClient, view: StoreView, frees: FreeSchedule
    ) -> None:
        """Free parts of outdated weights once no fetch can be using them."""
        core = self._core
        now = core.clock.now()
        settled = self._outdated.list_oldest_usable(now)
        outdated = tuple(view.list_outdated(settled))
        boot = view.boot
        if boot is None or not frees.is_due(now, has_outdated=bool(outdated)):
            return
        until = view.find_clock(now) + _FREE_TIMEOUT
        try:
            is_freed = await client.free(
                outdated, boot, until, within=_FREE_TIMEOUT
            )
        except ContextUnavailable as error:
            frees.record_failure(core.clock.now())
            self._log_freed(view, len(outdated), 'failed', error.message)
            return
        frees.record_answer(core.clock.now(), is_freed=is_freed)
        self._log_freed(view, len(outdated), 'freed' if is_freed else 'refused')

    def _log_freed(
        self,
        view: StoreView,
        count: int,
        reason: str,
        detail: str | None = None,
    ) -> None:
        self._core.metrics.add(Count.CONTEXT_FREES, label=reason)
        self._core.log.write(
            EventName.CONTEXT_FREED,
            store=view.traits.address,
            count=count,
            reason=reason,
            detail=detail,
        )

    def _log_refused_record(self, name: str, error: MalformedRecord) -> None:
        self._core.log.write(
            EventName.RECORD_REFUSED, name=name, detail=error.message
        )

    def _make_dependency(self, view: StoreView) -> Dependency:
        core = self._core
        return Dependency(
            core.log,
            core.metrics,
            core.clock,
            lost=EventName.BACKEND_LOST,
            regained=EventName.BACKEND_UP,
            label='context',
            store=view.traits.address,
        )
