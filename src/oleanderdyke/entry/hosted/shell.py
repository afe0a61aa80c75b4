"""Run the tasks of an entry on the users' platform."""

from __future__ import annotations

import math
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import AbstractContextManager
from dataclasses import replace
from functools import partial
from importlib import import_module
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import anyio

from oleanderdyke.clients.addresses import split_address
from oleanderdyke.clients.keep_alive import closing
from oleanderdyke.clock import SECOND, Millis, make_clock
from oleanderdyke.entry.hosted.app import HostedApp
from oleanderdyke.entry.hosted.contexts import ContextWatch
from oleanderdyke.entry.hosted.core import HostedCore, make_hosted_core
from oleanderdyke.entry.hosted.presence import Presence
from oleanderdyke.entry.hosted.watch import StoreWatch
from oleanderdyke.entry.http_settings import HttpSettings
from oleanderdyke.entry.intake import find_connection_limit
from oleanderdyke.entry.server import EdgeServer, make_server, open_listener
from oleanderdyke.entry.stopping import Stopper, catch_signals
from oleanderdyke.errors import SettingsError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.scheduling.request_bytes import find_bound
from oleanderdyke.logs import EventLog
from oleanderdyke.platform.settings import HostSettings, load_host_settings
from oleanderdyke.platform.store import StoreClient, StoreUnavailable
from oleanderdyke.platform.topics import CrashFeed

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.crash_news import CrashNews
    from oleanderdyke.entry.hosted.handover import StreamHandover
    from oleanderdyke.scrape import MetricsServer

_TICK_PERIOD: Millis = 50.0
# A process whose ticks are this far apart was suspended or blocked, and reads
# only now what arrived meanwhile. It is half the time after which a server
# counts as silent.
_STALL_THRESHOLD: Millis = 250.0
# Modules that the first requests don't need are imported after this.
_CRASHES_DELAY: Millis = 500.0
# Once a configuration is known, requests wait at most this long for the history
# of crashes. The store answers within milliseconds unless it is down.
_HISTORY_TIMEOUT: Millis = 1 * SECOND
_HISTORY_PERIOD: Millis = 500.0
_SETTINGS_PERIOD: Millis = 1 * SECOND
_EXPIRY_PERIOD: Millis = 2 * SECOND
# The grace time ends 600 ms after running requests are cut off; the interpreter
# needs the rest to exit.
_CLOSE_TIMEOUT: Millis = 400.0
_MIB = 1024 * 1024
# Safety limit in bytes; the actual body limit is part of the configuration.
_BODY_LIMIT = 64 * _MIB


class HostedShell:
    """Start, run and stop the tasks of one entry."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        self._path = Path(core.settings.source)
        self._stopper = Stopper(core)
        self._watch = StoreWatch(core)

    async def run(self) -> None:
        """Serve until a graceful shutdown is complete."""
        core = self._core
        callers = split_address(core.settings.callers)
        readiness = split_address(core.settings.readiness)
        with (
            catch_signals() as signals,
            _catch_reload() as reloads,
            open_listener(*callers) as front,
            open_listener(*readiness) as ready,
        ):
            presence = Presence(core)
            app = HostedApp(core, self._stopper, readiness[1])
            server = make_server(app, _make_http(core.settings))
            core.log.write(
                EventName.PROCESS_STARTED, address=core.settings.callers
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve, [front, ready])
                for name, work in self._list_background(presence):
                    tasks.start_soon(core.background.run, name, work)
                tasks.start_soon(self._tick, server)
                tasks.start_soon(self._reload, reloads)
                tasks.start_soon(self._stopper.watch, signals)
                await self._stopper.run()
                async with anyio.create_task_group() as ending:
                    ending.start_soon(self._leave_streams)
                    ending.start_soon(self._close, server)
                tasks.cancel_scope.cancel()
        core.log.write(EventName.PROCESS_STOPPED)

    def _list_background(
        self, presence: Presence
    ) -> Iterator[tuple[str, Callable[[], Awaitable[None]]]]:
        """Yield the name and the work of each task that calls peers."""
        core = self._core
        yield 'metrics', self._serve_metrics
        yield 'streams', self._learn_streams
        yield 'links', partial(core.peers.run, core.log, core.random)
        yield 'operator', self._watch.follow_operator
        yield 'servers', self._watch.follow_servers
        yield 'loads', self._watch.follow_loads
        yield 'contexts', ContextWatch(core).run
        yield 'losses', core.crashes.run
        yield 'crashes', self._share_crashes
        yield 'entries', presence.run
        yield 'starts', presence.record_start
        yield 'scheduling', partial(core.scheduling.run, core)
        yield 'settings', self._watch_settings
        yield 'connections', self._close_expired

    def _make_handover(self) -> StreamHandover:
        module = import_module('oleanderdyke.entry.hosted.handover')
        handover: StreamHandover = module.StreamHandover(self._core)
        return handover

    async def _leave_streams(self) -> None:
        """Tell entries that start which versions began streams, if need be."""
        now = self._core.clock.now()
        # Connections stay open and unread while the modules are imported.
        if any(self._core.peers.find_streams().origins.list_live(now)):
            await self._core.background.attempt(
                'streams', self._make_handover().leave
            )

    async def _learn_streams(self) -> None:
        """Read what entries left for this one, once a request needs it."""
        await self._core.origins_requested.wait()
        await self._make_handover().read()

    async def _share_crashes(self) -> None:
        """Read what the store holds of crashes, then share what is known."""
        core = self._core
        client = StoreClient(core.settings.store)
        feed = CrashFeed(client)
        async with closing(client), anyio.create_task_group() as tasks:
            tasks.start_soon(self._limit_history_wait)
            messages = await self._read_crashes(feed)
            if not messages:
                core.crashes.history_read.set()
                await anyio.sleep(_CRASHES_DELAY / SECOND)
            module = import_module('oleanderdyke.entry.hosted.crash_news')
            news: CrashNews = module.CrashNews(core, feed)
            news.apply(messages)
            core.crashes.history_read.set()
            await news.run()

    async def _read_crashes(self, feed: CrashFeed) -> tuple[bytes, ...]:
        """Return all messages, as soon as the store is available."""
        store = self._core.make_store_dependency('crashes')
        while True:
            try:
                messages = await feed.read_all()
            except StoreUnavailable as error:
                store.record_failure(error.message)
            else:
                store.record_success()
                return messages
            await anyio.sleep(_HISTORY_PERIOD / SECOND)

    async def _limit_history_wait(self) -> None:
        """Let requests go on without the history of crashes after a while."""
        core = self._core
        while core.deployment is None:
            await anyio.sleep(_TICK_PERIOD / SECOND)
        with anyio.move_on_after(_HISTORY_TIMEOUT / SECOND):
            await core.crashes.history_read.wait()
        core.crashes.history_read.set()

    async def _serve_metrics(self) -> None:
        """Serve metrics; log an error if their port can't be bound."""
        core = self._core
        # Callers are served before the module is imported.
        scrape = import_module('oleanderdyke.scrape')
        server: MetricsServer = scrape.MetricsServer(
            core.metrics, core.update_gauges
        )
        try:
            await server.serve(core.settings.ip)
        except OSError as error:
            core.log.write(
                EventName.RECORD_REFUSED,
                name='metrics',
                detail=f'port {scrape.METRICS_PORT}: {error}',
            )

    async def _tick(self, server: EdgeServer) -> None:
        """Check running requests, stalls and readiness periodically."""
        core, logged = self._core, 'starting'
        last = core.clock.now()
        while True:
            now = core.clock.now()
            if now - last > _STALL_THRESHOLD:
                core.backends.reset_silence(now)
                core.log.write(
                    EventName.PROCESS_STALLED, duration=round(now - last)
                )
            last = now
            self._check_running(now)
            core.rollout.tick(
                now=now, clock_offset=core.engine_clock.max_offset
            )
            fault = core.find_unready_reason()
            if fault != logged:
                logged = fault
                event = EventName.PROCESS_NOT_READY
                if not fault:
                    event = EventName.PROCESS_READY
                core.log.write(event, reason=fault or None)
            self._apply_limits(server)
            await anyio.sleep(_TICK_PERIOD / SECOND)

    def _check_running(self, now: Millis) -> None:
        for running in tuple(self._core.running.values()):
            running.check_attempt(now)

    def _apply_limits(self, server: EdgeServer) -> None:
        """Apply the idle timeout of the configuration to the server."""
        deployment = self._core.deployment
        if deployment is not None:
            server.set_idle_timeout(deployment.limits.idle_timeout)

    async def _watch_settings(self) -> None:
        """Poll the settings file for changes made without a signal."""
        while True:
            await anyio.sleep(_SETTINGS_PERIOD / SECOND)
            self._load_settings()

    async def _close_expired(self) -> None:
        """Close connections to servers that the last crowd left idle."""
        while True:
            await anyio.sleep(_EXPIRY_PERIOD / SECOND)
            self._core.pool.close_expired()

    async def _reload(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for _ in signals:
            self._load_settings()

    def _load_settings(self) -> None:
        """Apply changed settings; keep the last ones if they are invalid."""
        core = self._core
        try:
            settings = load_host_settings(self._path)
        except SettingsError as error:
            core.log.write(EventName.RECORD_REFUSED, detail=str(error))
            return
        if math.isinf(settings.version_limit):
            # A partially written file must not remove the limit.
            limit = core.settings.version_limit
            settings = replace(settings, version_limit=limit)
        if settings != core.settings:
            core.settings = settings
            core.log.write(EventName.SETTINGS_RELOADED)

    async def _close(self, server: EdgeServer) -> None:
        """Close the server; let pending responses finish until a timeout."""
        server.should_exit = True
        with anyio.move_on_after(_CLOSE_TIMEOUT / SECOND):
            while not server.closed:
                await anyio.sleep(_TICK_PERIOD / SECOND)
        self._core.pool.close()


async def run_hosted_entry(settings: HostSettings, log: EventLog) -> None:
    """Run an entry on the users' platform until a signal stops it."""
    core = make_hosted_core(settings, make_clock(), log, Random())
    await HostedShell(core).run()


def _catch_reload() -> AbstractContextManager[AsyncIterator[signal.Signals]]:
    return anyio.open_signal_receiver(signal.SIGHUP)


def _make_http(settings: HostSettings) -> HttpSettings:
    host, port = split_address(settings.callers)
    # Defaults until the configuration with the idle timeout has been read.
    return HttpSettings(
        host=host,
        port=port,
        body_limit=_BODY_LIMIT,
        keep_alive=15 * SECOND,
        body_timeout=15 * SECOND,
        connections=find_connection_limit(settings.descriptors),
        held_bytes=find_bound(settings.memory),
    )
