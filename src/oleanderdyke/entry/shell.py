"""Run the tasks of one entry on one loop."""

from __future__ import annotations

import ssl
from typing import Any

import anyio

from oleanderdyke.clients.log import LogClient, LogPage
from oleanderdyke.clients.vms import VmClient
from oleanderdyke.clock import make_clock
from oleanderdyke.entry.admin_edge import make_admin_edge
from oleanderdyke.entry.agents import AgentLinks
from oleanderdyke.entry.app import App
from oleanderdyke.entry.claims import ClaimLog
from oleanderdyke.entry.configuration import ConfigurationFeed
from oleanderdyke.entry.core import Core, log_readiness, make_core
from oleanderdyke.entry.effects import Tools
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

_FLUSH_LIMIT = 3.0
_CLOSE_LIMIT = 3.0
_TICK = 0.25
_SETTLE_LIMIT = 3.0
_SETTLE_POLL = 0.05


class Shell:
    """Hold the tasks of one entry."""

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
        self._watch = VmWatch(core, self._vms, self._pool)
        core.find_link = self._pool.find
        core.settled = False

    async def run(self) -> None:
        """Serve until a planned stop is over."""
        settings = self._core.settings
        # Whoever sees the entry listen may stop it at once.
        with (
            catch_signals() as signals,
            open_listener(settings.http.host, settings.http.port) as bound,
        ):
            server = self._make_server()
            async with anyio.create_task_group() as tasks:
                self._core.spawn = tasks.start_soon
                tasks.start_soon(server.serve, [bound])
                self._start_tasks(tasks)
                tasks.start_soon(self._stopper.watch, signals)
                host, port = bound.getsockname()[:2]
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
        log = self._core.settings.log
        configuration = LogReader(
            self._core,
            self._client,
            log.configuration,
            find_start=lambda: self._core.reader.log_position,
            take_page=self._feed.take_page,
        )
        claims = LogReader(
            self._core,
            self._client,
            log.claims,
            find_start=lambda: self._core.claims.next_offset,
            take_page=self._take_claims,
        )
        for run in (
            configuration.run,
            claims.run,
            self._claims.run,
            self._claims.carry,
            self._feed.append_snapshots,
            self._watch.run,
            self._settle,
            self._pool.run,
            self._queue.run,
            self._tick,
        ):
            tasks.start_soon(run)

    def _take_claims(self, page: LogPage) -> None:
        table = self._core.claims
        for record in page.records:
            table.apply(record.offset, record.at, record.data)
        table.set_catch_up_target(page.end)
        self._claims.settle_read()

    async def _tick(self) -> None:
        core, fault = self._core, ''
        while True:
            core.fleet.tick(core.clock.now())
            fault = log_readiness(core, fault)
            await anyio.sleep(_TICK)

    async def _settle(self) -> None:
        """Hold back readiness, for a bounded time, until links are up."""
        with anyio.move_on_after(_SETTLE_LIMIT):
            while not (self._watch.settled and self._claims.synced):
                await anyio.sleep(_SETTLE_POLL)
        self._core.settled = True

    async def _close(self, server: EdgeServer) -> None:
        """Let the last records and answers go out, within bounds."""
        with anyio.move_on_after(_FLUSH_LIMIT):
            while not self._claims.idle:
                await anyio.sleep(_TICK)
        server.should_exit = True
        with anyio.move_on_after(_CLOSE_LIMIT):
            while not server.closed:
                await anyio.sleep(_TICK)

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
        tools = Tools(self._core, self._claims, self._stopper)
        admin = make_admin_edge(self._core, self._client)
        app = App(tools, self._queue, admin.serve)
        return make_server(app, self._core.settings.http)


async def run_entry(
    settings: EntrySettings, log: EventLog | None = None
) -> None:
    """Run an entry until it has been told to stop."""
    await Shell(make_core(settings, make_clock(), log)).run()


def _make_tls(settings: EntrySettings) -> ssl.SSLContext | None:
    tls = settings.links_tls
    if not (tls.ca or tls.certificate):
        return None
    return make_client_context(tls)
