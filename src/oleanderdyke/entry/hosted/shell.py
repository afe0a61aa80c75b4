"""Run the tasks of an entry on the users' platform."""

from __future__ import annotations

import math
import signal
from collections.abc import AsyncIterator
from contextlib import AbstractContextManager
from dataclasses import replace
from pathlib import Path
from random import Random

import anyio

from oleanderdyke.clients.addresses import split_address
from oleanderdyke.clock import SECOND, Millis, make_clock
from oleanderdyke.entry.hosted.app import HostedApp
from oleanderdyke.entry.hosted.contexts import ContextWatch
from oleanderdyke.entry.hosted.core import HostedCore, make_hosted_core
from oleanderdyke.entry.hosted.presence import Presence
from oleanderdyke.entry.hosted.watch import StoreWatch
from oleanderdyke.entry.http_settings import HttpSettings
from oleanderdyke.entry.server import EdgeServer, make_server, open_listener
from oleanderdyke.entry.stopping import Stopper, catch_signals
from oleanderdyke.errors import SettingsError
from oleanderdyke.events import EventName
from oleanderdyke.logs import EventLog
from oleanderdyke.platform.settings import HostSettings, load_host_settings
from oleanderdyke.scrape import METRICS_PORT, MetricsServer

_TICK: Millis = 50.0
# A process whose ticks are so far apart was suspended or stood still: what came
# meanwhile is read only now. Half of the time after which a server is silent.
_STALL: Millis = 250.0
_SETTINGS_PERIOD: Millis = 1 * SECOND
# The grace time ends 600 ms after running work was cut off; the exit of the
# interpreter needs the rest.
_CLOSE_LIMIT: Millis = 400.0
_MIB = 1024 * 1024
# The platform bounds a body by its configuration; this one only guards.
_BODY_LIMIT = 64 * _MIB


class HostedShell:
    """Hold the tasks of one entry."""

    def __init__(self, core: HostedCore) -> None:
        self._core = core
        self._path = Path(core.settings.source)
        self._stopper = Stopper(core)
        self._watch = StoreWatch(core)

    async def run(self) -> None:
        """Serve until a planned stop is over."""
        core = self._core
        callers = split_address(core.settings.callers)
        readiness = split_address(core.settings.readiness)
        with (
            catch_signals() as signals,
            _catch_reload() as reloads,
            open_listener(*callers) as front,
            open_listener(*readiness) as ready,
        ):
            app = HostedApp(core, self._stopper, readiness[1])
            server = make_server(app, _make_http(callers))
            core.log.write(
                EventName.PROCESS_STARTED, address=core.settings.callers
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve, [front, ready])
                tasks.start_soon(self._serve_metrics)
                tasks.start_soon(core.news.run, core.log, core.random)
                tasks.start_soon(self._watch.follow_operator)
                tasks.start_soon(self._watch.follow_servers)
                tasks.start_soon(self._watch.follow_loads)
                tasks.start_soon(ContextWatch(core).run)
                tasks.start_soon(Presence(core).run)
                tasks.start_soon(self._tick, server)
                tasks.start_soon(self._watch_settings)
                tasks.start_soon(self._reload, reloads)
                tasks.start_soon(self._stopper.watch, signals)
                await self._stopper.run()
                await self._close(server)
                tasks.cancel_scope.cancel()
        core.log.write(EventName.PROCESS_STOPPED)

    async def _serve_metrics(self) -> None:
        """Go on without metrics where their port can't be had."""
        core = self._core
        server = MetricsServer(core.metrics, core.note_levels)
        try:
            await server.serve(core.settings.ip)
        except OSError as error:
            core.log.write(
                EventName.RECORD_REFUSED,
                name='metrics',
                detail=f'port {METRICS_PORT}: {error}',
            )

    async def _tick(self, server: EdgeServer) -> None:
        """Look after silent servers and tell changes of readiness."""
        core, told = self._core, 'starting'
        last = core.clock.now()
        while True:
            now = core.clock.now()
            if now - last > _STALL:
                core.backends.reset_silence(now)
                core.log.write(
                    EventName.PROCESS_STALLED, duration=round(now - last)
                )
            last = now
            for running in tuple(core.running.values()):
                running.check_attempt(now)
            core.rollout.tick(
                now=now, clock_offset=core.engine_clock.max_offset
            )
            fault = core.find_fault()
            if fault != told:
                told = fault
                event = EventName.PROCESS_NOT_READY
                if not fault:
                    event = EventName.PROCESS_READY
                core.log.write(event, reason=fault or None)
            self._apply_limits(server)
            await anyio.sleep(_TICK / SECOND)

    def _apply_limits(self, server: EdgeServer) -> None:
        """Keep idle connections as long as the configuration says."""
        deployment = self._core.deployment
        if deployment is not None:
            server.set_idle_timeout(deployment.limits.idle_timeout)

    async def _watch_settings(self) -> None:
        """Notice a settings file that changes without a signal."""
        while True:
            await anyio.sleep(_SETTINGS_PERIOD / SECOND)
            self._load_settings()

    async def _reload(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for _ in signals:
            self._load_settings()

    def _load_settings(self) -> None:
        """Take changed settings; keep the last good ones."""
        core = self._core
        try:
            settings = load_host_settings(self._path)
        except SettingsError as error:
            core.log.write(EventName.RECORD_REFUSED, detail=str(error))
            return
        if math.isinf(settings.version_limit):
            # A file that is read half written must not lift the bound.
            limit = core.settings.version_limit
            settings = replace(settings, version_limit=limit)
        if settings != core.settings:
            core.settings = settings
            core.log.write(EventName.SETTINGS_RELOADED)

    async def _close(self, server: EdgeServer) -> None:
        """Let the last answers go out, within bounds."""
        server.should_exit = True
        with anyio.move_on_after(_CLOSE_LIMIT / SECOND):
            while not server.closed:
                await anyio.sleep(_TICK / SECOND)
        self._core.pool.close()


async def run_hosted_entry(settings: HostSettings, log: EventLog) -> None:
    """Run an entry on the users' platform until it is told to stop."""
    core = make_hosted_core(settings, make_clock(), log, Random())
    await HostedShell(core).run()


def _catch_reload() -> AbstractContextManager[AsyncIterator[signal.Signals]]:
    return anyio.open_signal_receiver(signal.SIGHUP)


def _make_http(callers: tuple[str, int]) -> HttpSettings:
    host, port = callers
    # Until the configuration tells how long callers may idle.
    return HttpSettings(
        host=host,
        port=port,
        body_limit=_BODY_LIMIT,
        keep_alive=15 * SECOND,
        body_timeout=15 * SECOND,
        connections=3_000,
    )
