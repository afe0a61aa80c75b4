"""The main object of an agent, which builds and runs its parts."""

from __future__ import annotations

import secrets
import signal
import ssl
from collections.abc import Callable, Sequence
from itertools import count
from random import Random

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.configuration import Configuration
from oleanderdyke.agent.drain_runner import DrainRunner
from oleanderdyke.agent.forward import Forwarder
from oleanderdyke.agent.health import Health
from oleanderdyke.agent.heartbeats import HeartbeatSender
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.agent.process_watch import ProcessStatus, ProcessWatch
from oleanderdyke.agent.readers import Readers
from oleanderdyke.agent.roles import BackgroundLoop, RoleDependencies, make_role
from oleanderdyke.agent.roles import Role as AgentRole
from oleanderdyke.agent.routing import Router
from oleanderdyke.agent.runs import Runs
from oleanderdyke.agent.settings import AgentSettings
from oleanderdyke.agent.stop_requests import StopRequests
from oleanderdyke.clients.keep_alive import closing
from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.events import EventName
from oleanderdyke.kernel.drain import make_agent_drain
from oleanderdyke.kernel.gate import Gate, GateSettings
from oleanderdyke.kernel.quarantine import (
    QuarantineSettings,
    make_quarantine,
)
from oleanderdyke.kernel.stream_table import StreamTable
from oleanderdyke.links.link import Link, LinkClosed
from oleanderdyke.links.listener import serve_links
from oleanderdyke.links.messages import (
    PROTOCOL_VERSION,
    AgentPhase,
    Hello,
    Role,
)
from oleanderdyke.logs import EventLog

_INCARNATION_BYTES = 8
_EXPIRY_INTERVAL: Millis = SECOND


class AgentShell:
    """Run one agent until its drain has finished."""

    def __init__(
        self,
        settings: AgentSettings,
        *,
        clock: Clock,
        random: Random,
        events: EventLog,
        tasks: TaskGroup,
        tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._events = events
        self._tasks = tasks
        self._tls = tls
        self.incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self._outboxes: dict[str, Outbox] = {}
        self._link_numbers = count(1)
        self._backend = Backend(settings.backend)
        self._process_watch = ProcessWatch(settings.backend, clock=clock)
        self._quarantine = make_quarantine(QuarantineSettings())
        self._configuration = Configuration(
            clock=clock, random=random, events=events
        )
        self._gate = Gate(
            settings.process,
            self.incarnation,
            settings.backend.service,
            settings=GateSettings(),
            quarantine=self._quarantine,
            rights=self._configuration,
        )
        self._streams = StreamTable(settings.streams)
        self._readers = Readers(
            self._streams, self._outboxes, clock=clock, events=events
        )
        self._drain_runner = DrainRunner(
            make_agent_drain(settings.drain),
            clock=clock,
            events=events,
            tasks=tasks,
            announce=self._announce,
            cut=self._cut_off,
        )
        self._stop_requests = StopRequests(
            settings.process,
            self.incarnation,
            self._drain_runner,
            events=events,
        )
        self._runs = Runs(
            self._gate,
            self._readers,
            settings=settings.runs,
            body_limit=settings.backend.body_limit,
            clock=clock,
            tasks=tasks,
            events=events,
            work_tracker=self._drain_runner,
            diagnose_loss=self._diagnose_loss,
            has_ended=self._process_watch.has_ended,
            report_suspects=lambda: self._heartbeats.send(),  # noqa: PLW0108 - _heartbeats is set below
        )
        self._role = self._make_role(random, client_tls)
        self._runs.set_forwarder(
            Forwarder(
                self._backend,
                self._role.preparer,
                self._streams,
                self._runs,
                chunk_size=settings.runs.chunk_size,
                clock=clock,
                events=events,
                is_leaving=lambda: self._drain_runner.is_leaving,
            )
        )
        self._health = Health(
            self._role.probe,
            settings.backend,
            on_up=self._on_up,
            on_lost=self._on_lost,
        )
        self._heartbeats = HeartbeatSender(
            self.incarnation,
            self._outboxes,
            gate=self._gate,
            quarantine=self._quarantine,
            configuration=self._configuration,
            role=self._role,
            clock=clock,
        )
        self._router = Router(
            runs=self._runs,
            readers=self._readers,
            role=self._role,
            heartbeats=self._heartbeats,
            gate=self._gate,
            configuration=self._configuration,
            quarantine=self._quarantine,
            stop_requests=self._stop_requests,
            clock=clock,
            events=events,
            tasks=tasks,
        )
        self.port = 0

    async def run(self, *, started: Callable[[], None] | None = None) -> None:
        """Serve until the drain has finished.

        Calls `started` once the listener accepts links.
        """
        background_loops: Sequence[BackgroundLoop] = (
            self._health.run,
            self._process_watch.run,
            self._run_heartbeats,
            self._run_expiry,
            *self._role.background_loops,
        )
        for loop in background_loops:
            self._tasks.start_soon(loop)
        links = serve_links(
            self._settings.listen.host,
            self._settings.listen.port,
            self._make_hello,
            self._handle,
            settings=self._settings.links,
            clock=self._clock,
            tls=self._tls,
        )
        async with closing(self._backend), links as self.port:
            self._events.write(
                EventName.PROCESS_STARTED,
                incarnation=self.incarnation,
                address=f'{self._settings.listen.host}:{self.port}',
            )
            if started is not None:
                started()
            await self._drain_runner.wait()
            await self._flush_outboxes()

    def stop(self, name: str) -> None:
        """Start the drain; a further interrupt cuts off the remaining work."""
        self._events.write(EventName.PROCESS_STOPPING, signal=name)
        if name == signal.SIGINT.name:
            self._drain_runner.interrupt()
        else:
            self._drain_runner.signal()

    def _make_hello(self) -> Hello:
        return Hello(
            version=PROTOCOL_VERSION,
            role=Role.AGENT,
            process=self._settings.process,
            incarnation=self.incarnation,
            data_centre=self._settings.data_centre,
            offset=self._configuration.offset,
            backend=self._settings.backend.kind,
            service=self._settings.backend.service,
        )

    def _make_role(
        self, random: Random, client_tls: ssl.SSLContext | None
    ) -> AgentRole:
        return make_role(
            self._settings,
            RoleDependencies(
                backend=self._backend,
                configuration=self._configuration,
                gate=self._gate,
                runs=self._runs,
                clock=self._clock,
                random=random,
                events=self._events,
                tasks=self._tasks,
                incarnation=self.incarnation,
                make_hello=self._make_hello,
                is_superseded=self._stop_requests.is_superseded,
                client_tls=client_tls,
            ),
        )

    async def _handle(self, link: Link) -> None:
        outbox = Outbox(f'{next(self._link_numbers)}', link)
        self._outboxes[outbox.name] = outbox
        self._log_link(outbox, EventName.LINK_UP)
        if link.peer.role is Role.ENTRY:
            self._configuration.add_entry(outbox)
        self._configuration.on_peer_offset(outbox, link.peer.offset)
        self._heartbeats.send_initial_state(outbox)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(outbox.run)
                await self._read(link, outbox)
                group.cancel_scope.cancel()
        finally:
            self._drop_link(outbox)

    async def _read(self, link: Link, outbox: Outbox) -> None:
        try:
            while True:
                message = await link.receive()
                self._router.route(outbox, message)
        except LinkClosed:
            return

    def _drop_link(self, outbox: Outbox) -> None:
        del self._outboxes[outbox.name]
        self._runs.drop_link(outbox.name)
        self._role.drop_link(outbox.name)
        self._configuration.drop_link(outbox.name)
        self._log_link(outbox, EventName.LINK_DOWN)

    def _log_link(self, outbox: Outbox, event: EventName) -> None:
        peer = outbox.peer
        self._events.write(
            event, peer=peer.process, incarnation=peer.incarnation
        )

    async def _diagnose_loss(self) -> ProcessStatus:
        ending = await self._process_watch.diagnose()
        if ending is ProcessStatus.ENDED:
            await self._health.mark_lost()
        await self._health.check()
        return ending

    async def _on_up(self) -> None:
        await self._role.open()
        self._heartbeats.set_phase(AgentPhase.SERVING)
        self._events.write(EventName.BACKEND_UP)
        self._heartbeats.send()

    async def _on_lost(self) -> None:
        self._events.write(EventName.BACKEND_LOST)
        self._heartbeats.set_phase(AgentPhase.STARTING)
        failures = self._runs.end_lost_runs()
        self._process_watch.reset()
        self._role.close()
        # Peers may retry requests as soon as they are told of lost runs, so
        # they must know the suspects before.
        self._heartbeats.send()
        for reader, failed in failures:
            self._runs.send(reader, (failed,))

    async def _run_heartbeats(self) -> None:
        while True:
            await anyio.sleep(self._settings.beat / SECOND)
            self._heartbeats.send()

    async def _run_expiry(self) -> None:
        while True:
            await anyio.sleep(_EXPIRY_INTERVAL / SECOND)
            self._runs.expire()

    def _announce(self) -> None:
        self._heartbeats.set_phase(AgentPhase.LEAVING)
        self._heartbeats.send()

    def _cut_off(self, work_ids: Sequence[str]) -> None:
        self._runs.cut(work_ids)

    async def _flush_outboxes(self) -> None:
        with anyio.move_on_after(_EXPIRY_INTERVAL / SECOND):
            for outbox in tuple(self._outboxes.values()):
                await outbox.flush()
        self._events.write(EventName.PROCESS_STOPPED)
