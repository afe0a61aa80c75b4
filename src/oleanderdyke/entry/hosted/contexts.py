"""Follow the stores of kept context, and free what is outdated."""

from __future__ import annotations

import math

import anyio

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
from oleanderdyke.kernel.outdated_context import OutdatedContext
from oleanderdyke.kernel.read_backoff import ReadBackoff
from oleanderdyke.links.messages.news import StorePosition
from oleanderdyke.links.news_desk import encode_loads
from oleanderdyke.links.news_reader import SharedEvents
from oleanderdyke.platform.contexts import ContextClient, ContextUnavailable
from oleanderdyke.platform.documents import MalformedRecord

_RETRY_PAUSE: Millis = 300.0
_PERIOD: Millis = 250.0
# The same until there is a configuration: whatever is asked in between is read
# from nothing, though stores hold it.
_START_PERIOD: Millis = 10.0
# For so long an entry that has just started waits for what stores hold. Each
# tells it within some milliseconds; one that is lost holds up nobody longer.
_FIRST_READ_LIMIT: Millis = 400.0
# When the whole system starts for the first time stores hold nothing, and all
# entries at once would find no place there. By then they know each other.
_FIRST_START_PAUSE: Millis = 3 * SECOND
# A neighbour that reads answers with the first changes, or after this.
_SHARED_WAIT: Millis = 1 * SECOND
# Its own reads take up to a second, and it may leave its place for a while;
# a view serves for longer than that.
_SHARED_LIMIT: Millis = 2 * SECOND
# Without an answer for so long each reads for itself.
_SHARED_LIFE: Millis = 1.6 * SECOND
# Entries don't all free the same parts at once.
_FREE_SPREAD: Millis = 1.5 * SECOND
_FREE_LIMIT: Millis = 1 * SECOND


class ContextWatch:
    """Keep the views of all stores of one entry."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        self._followed: dict[str, anyio.CancelScope] = {}
        self._outdated = OutdatedContext()
        # Until when neighbours tell of a store, by its address.
        self._shared_until: dict[str, Millis] = {}

    async def run(self) -> None:
        """Follow the stores that the configuration names until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tell_first_read)
            if self._core.settings.is_first_start:
                await anyio.sleep(_FIRST_START_PAUSE / SECOND)
            for source in CONTEXT_SOURCES:
                tasks.start_soon(self._follow_shared, source)
            while True:
                self._configure()
                self._note_weights()
                views = self._core.contexts.views
                for address in set(views) - set(self._followed):
                    self._followed[address] = anyio.CancelScope()
                    tasks.start_soon(self._follow, views[address])
                for address in set(self._followed) - set(views):
                    self._followed.pop(address).cancel()
                is_known = self._core.deployment is not None
                period = _PERIOD if is_known else _START_PERIOD
                await anyio.sleep(period / SECOND)

    async def _tell_first_read(self) -> None:
        """Let requests go on once all stores were read, or in a little while.

        What is sent before that is read from nothing, though stores hold it.
        """
        core = self._core
        while core.deployment is None:
            await anyio.sleep(_START_PERIOD / SECOND)
        with anyio.move_on_after(_FIRST_READ_LIMIT / SECOND):
            while not core.contexts.are_read(self._list_managed()):
                await anyio.sleep(_START_PERIOD / SECOND)
        core.contexts_known.set()

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

    async def _follow(self, view: StoreView) -> None:
        client = ContextClient(view.traits.address, self._refuse)
        scope = self._followed[view.traits.address]
        store = self._make_dependency(view)
        turns = ReadBackoff(self._core.random)
        with scope:
            while True:
                if self._is_shared(view):
                    await anyio.sleep(_PERIOD / SECOND)
                    continue
                try:
                    await self._read(client, view, turns.wait)
                except ContextUnavailable as error:
                    pause = self._note_unavailable(error, view, turns)
                    store.note_failed(error.message)
                    await anyio.sleep(pause / SECOND)
                    continue
                store.note_good()
                await self._free_outdated(client, view)
                await anyio.sleep(turns.find_pause() / SECOND)

    def _note_unavailable(
        self, error: ContextUnavailable, view: StoreView, turns: ReadBackoff
    ) -> Millis:
        """Return when to ask again; a store that only has no place holds on.

        What is known of it serves for as long as it would after any read that
        fails: without it, what others have saved would be read again.
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
            # Events of the new start begin anew, and may take a second to come.
            view.invalidate()
            view.position = 0
            found = await client.read_events(0, wait)
        since = view.position
        view.apply_events(found, asked_at, self._core.clock.now())
        self._core.news.desk.keep_events(
            view.traits.address, since, found, asked_at
        )

    async def _follow_shared(self, source: str) -> None:
        """Take what a neighbour reads of some stores, until cancelled."""
        core, told = self._core, 0
        while True:
            board, now = core.news.desk.own_loads, core.clock.now()
            loads = encode_loads(board.list_after(told, now), now)
            told = board.last_number
            found = await core.news.reader.ask_events(
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
                self._take_shared(news)
            for load in found.loads:
                core.take_shared_load(load)
            if not found.stores:
                await anyio.sleep(_PERIOD / SECOND)

    def _list_positions(self, source: str) -> tuple[StorePosition, ...]:
        return tuple(
            StorePosition(address, view.position, view.boot)
            for address, view in self._core.contexts.views.items()
            if find_context_source(address) == source
        )

    def _take_shared(self, news: SharedEvents) -> None:
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
        self._shared_until[news.store] = now + _SHARED_LIFE

    def _is_shared(self, view: StoreView) -> bool:
        until = self._shared_until.get(view.traits.address, -math.inf)
        return self._core.clock.now() < until

    def _note_weights(self) -> None:
        """Note which weights are newest and which engines still hold."""
        core = self._core
        now = core.clock.now()
        for model, newest in core.rollout.weights.list_newest().items():
            oldest = core.backends.find_oldest_version(model)
            known = None if core.is_stale else oldest
            self._outdated.update(model, newest, known, now)

    async def _free_outdated(
        self, client: ContextClient, view: StoreView
    ) -> None:
        """Free parts of old weights once no fetch of them can be running."""
        core = self._core
        settled = self._outdated.list_oldest_usable(core.clock.now())
        outdated = tuple(view.list_outdated(settled))
        boot = view.boot
        if not outdated or boot is None:
            return
        await anyio.sleep(core.random.uniform(0, _FREE_SPREAD) / SECOND)
        held = [part for part in outdated if part in view.parts]
        if not held:
            return
        until = view.find_clock(core.clock.now()) + _FREE_LIMIT
        is_freed = await client.free(held, boot, until)
        core.log.write(
            EventName.CONTEXT_FREED,
            store=view.traits.address,
            count=len(held),
            reason='freed' if is_freed else 'refused',
        )

    def _refuse(self, name: str, error: MalformedRecord) -> None:
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
