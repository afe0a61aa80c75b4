"""Run the tasks of one entry on one event loop."""

from __future__ import annotations

import ssl
from typing import Any

import anyio

from oleanderdyke.background import BackgroundTasks
from oleanderdyke.clients.log import LogClient, LogPage
from oleanderdyke.clients.vms import VmClient
from oleanderdyke.clock import make_clock
from oleanderdyke.entry.admin_edge import make_admin_edge
from oleanderdyke.entry.agents import AgentLinks
from oleanderdyke.entry.app import App
from oleanderdyke.entry.claims import ClaimLog
from oleanderdyke.entry.configuration import ConfigurationFeed
from oleanderdyke.entry.core import Core, log_readiness, make_core
from oleanderdyke.entry.effects import EntryResources
from oleanderdyke.entry.logreader import LogReader
from oleanderdyke.entry.queue import ReleaseQueue
from oleanderdyke.entry.server import EdgeServer, make_server, open_listener
from oleanderdyke.entry.settings import EntrySettings
from oleanderdyke.entry.stopping import Stopper, catch_signals
from oleanderdyke.entry.vmwatch import VmWatch
from oleanderdyke.events import EventName
from oleanderdyke.links.pool import LinkPool
from oleanderdyke.links.tls import make_client_context
from oleanderdyke.logs import EventLog

_FLUSH_TIMEOUT_SECONDS = 3.0
_CLOSE_TIMEOUT_SECONDS = 3.0
_TICK_SECONDS = 0.25
_LINK_TIMEOUT_SECONDS = 3.0
_LINK_POLL_SECONDS = 0.05


class Shell:
    """Start and stop the tasks of one entry."""

    def __init__(self, core: Core) -> None:
        self._core = core
        settings = core.settings
        self._client = LogClient(settings.log.address)
        self._vms = VmClient(settings.vms.address)
        self._feed = ConfigurationFeed(core, self._client)
        self._claims = ClaimLog(core, self._client)
        self._stopper = Stopper(core)
        self._queue = ReleaseQueue(core)
        self._pool = self._make_pool()
        self._vm_watch = VmWatch(core, self._vms, self._pool)
        core.find_link = self._pool.find
        core.links_ready = False

    async def run(self) -> None:
        """Serve until a graceful stop has finished."""
        settings = self._core.settings
        # Signal handlers come before the listener: a supervisor that sees the
        # port open may send a signal at once.
        with (
            catch_signals() as signals,
            open_listener(settings.http.host, settings.http.port) as listener,
        ):
            server = self._make_server()
            async with anyio.create_task_group() as tasks:
                self._core.spawn = tasks.start_soon
                tasks.start_soon(server.serve, [listener])
                self._start_tasks(tasks)
                tasks.start_soon(self._stopper.watch, signals)
                host, port = listener.getsockname()[:2]
                self._core.log.write(
                    EventName.PROCESS_STARTED,
                    address=f'{host}:{port}',
                    incarnation=self._core.incarnation,
                )
                await self._stopper.run()
                await self._close(server)
                tasks.cancel_scope.cancel()
        self._core.log.write(EventName.PROCESS_STOPPED)

    def _start_tasks(self, tasks: Any) -> None:
        core = self._core
        log = core.settings.log
        background = BackgroundTasks(
            core.log, core.metrics, core.clock, core.random
        )
        configuration = LogReader(
            self._core,
            self._client,
            log.configuration,
            find_start=lambda: self._core.reader.log_position,
            apply_page=self._feed.apply_page,
        )
        claims = LogReader(
            self._core,
            self._client,
            log.claims,
            find_start=lambda: self._core.claims.next_offset,
            apply_page=self._take_claims,
        )
        for name, run in (
            ('configuration', configuration.run),
            ('claims', claims.run),
            ('claim writer', self._claims.run),
            ('claim leases', self._claims.renew_claims),
            ('snapshots', self._feed.append_snapshots),
            ('vms', self._vm_watch.run),
            ('readiness', self._wait_until_linked),
            ('links', self._pool.run),
            ('queue', self._queue.run),
            ('ticks', self._tick),
        ):
            tasks.start_soon(background.run, name, run)

    def _take_claims(self, page: LogPage) -> None:
        table = self._core.claims
        for record in page.records:
            table.apply(record.offset, record.at, record.data)
        table.set_catch_up_target(page.end)
        self._claims.settle_claims()

    async def _tick(self) -> None:
        core, fault = self._core, ''
        while True:
            core.fleet.tick(core.clock.now())
            fault = log_readiness(core, fault)
            await anyio.sleep(_TICK_SECONDS)

    async def _wait_until_linked(self) -> None:
        """Delay readiness until links are up and the claims log is read.

        The delay is limited to `_LINK_TIMEOUT_SECONDS`.
        """
        with anyio.move_on_after(_LINK_TIMEOUT_SECONDS):
            while not (self._vm_watch.all_linked and self._claims.is_caught_up):
                await anyio.sleep(_LINK_POLL_SECONDS)
        self._core.links_ready = True

    async def _close(self, server: EdgeServer) -> None:
        """Flush pending records and answers, each with a timeout."""
        with anyio.move_on_after(_FLUSH_TIMEOUT_SECONDS):
            while not self._claims.idle:
                await anyio.sleep(_TICK_SECONDS)
        server.should_exit = True
        with anyio.move_on_after(_CLOSE_TIMEOUT_SECONDS):
            while not server.closed:
                await anyio.sleep(_TICK_SECONDS)

    def _make_pool(self) -> LinkPool:
        core = self._core
        links = AgentLinks(core, self._feed)
        return LinkPool(
            core.make_hello,
            on_up=links.on_up,
            on_message=links.on_message,
            handle_inline=links.take,
            on_down=links.on_down,
            settings=core.settings.links,
            clock=core.clock,
            random=core.random,
            tls=_make_tls(core.settings),
        )

    def _make_server(self) -> EdgeServer:
        resources = EntryResources(self._core, self._claims, self._stopper)
        admin = make_admin_edge(self._core, self._client)
        app = App(resources, self._queue, admin.serve)
        return make_server(app, self._core.settings.http)


async def run_entry(
    settings: EntrySettings, log: EventLog | None = None
) -> None:
    """Run an entry until a signal has stopped it."""
    await Shell(make_core(settings, make_clock(), log)).run()


def _make_tls(settings: EntrySettings) -> ssl.SSLContext | None:
    tls = settings.links_tls
    if not (tls.ca or tls.certificate):
        return None
    return make_client_context(tls)
