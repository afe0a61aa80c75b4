"""What differs between agents of engines, plain services and stores."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol, TypeAlias

from anyio.abc import TaskGroup

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.configuration import Configuration
from oleanderdyke.agent.engine import EngineView
from oleanderdyke.agent.export import Exporter
from oleanderdyke.agent.fetch import Fetcher
from oleanderdyke.agent.order_loop import OrderLoop
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.agent.peers import StorePeers
from oleanderdyke.agent.prepare import EnginePreparer, PlainPreparer, Preparer
from oleanderdyke.agent.runs import Runs
from oleanderdyke.agent.settings import AgentSettings
from oleanderdyke.agent.store import StoreShell
from oleanderdyke.clock import Clock
from oleanderdyke.kernel.gate import Gate, LoadedWeights
from oleanderdyke.kernel.segment_log import SegmentLog
from oleanderdyke.links.messages import BackendKind, Hello, Load
from oleanderdyke.links.messages.segments import (
    SegmentMissing,
    SegmentPart,
    SegmentRead,
    SegmentWrite,
    SegmentWritten,
)
from oleanderdyke.logs import EventLog
from oleanderdyke.policies import keeping  # noqa: F401 - registers itself
from oleanderdyke.policies.registries import KEEPERS

BackgroundLoop: TypeAlias = Callable[[], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class RoleDependencies:
    """The parts of an agent that its role may use."""

    backend: Backend
    configuration: Configuration
    gate: Gate
    runs: Runs
    clock: Clock
    random: Random
    events: EventLog
    tasks: TaskGroup
    incarnation: str
    make_hello: Callable[[], Hello]
    is_superseded: Callable[[], bool]
    client_tls: ssl.SSLContext | None = None


class Role(Protocol):
    """The behaviour specific to one kind of backend server."""

    preparer: Preparer
    segments: SegmentLog
    background_loops: Sequence[BackgroundLoop]

    @property
    def loaded(self) -> LoadedWeights:
        """Return the loaded weights, which each dispatch must name."""

    def measure(self) -> Load:
        """Return the load for the next heartbeat."""

    async def probe(self) -> None:
        """Check that the backend server responds; raise OleanderError."""

    async def open(self) -> None:
        """Initialize once the server responds; raise OleanderError."""

    def close(self) -> None:
        """Discard all state of a lost backend server."""

    def on_read(self, outbox: Outbox, message: SegmentRead) -> None:
        """Handle a request to read segments."""

    def stop_read(self, outbox: Outbox, request: str) -> None:
        """Stop a read that the peer has cancelled."""

    def on_write(self, outbox: Outbox, message: SegmentWrite) -> None:
        """Handle a request to write a segment."""

    def on_part(self, outbox: Outbox, message: SegmentPart) -> None:
        """Handle a part of a segment to write."""

    def drop_link(self, link: str) -> None:
        """Discard the reads and writes of a closed link."""


class PlainRole:
    """The role beside a plain service, which has no weights or segments."""

    def __init__(
        self, settings: AgentSettings, dependencies: RoleDependencies
    ) -> None:
        self.preparer: Preparer = PlainPreparer()
        self.segments = SegmentLog()
        self.background_loops: Sequence[BackgroundLoop] = ()
        self._backend = dependencies.backend
        self._gate = dependencies.gate
        self._slots = settings.backend.slots

    @property
    def loaded(self) -> LoadedWeights:
        """Return empty weights: a plain service has none."""
        return LoadedWeights()

    def measure(self) -> Load:
        """Return the number of runs within and beyond the slots."""
        running = self._gate.running
        return Load(
            running=min(running, self._slots),
            waiting=max(0, running - self._slots),
            slots=self._slots,
        )

    async def probe(self) -> None:
        """Open a connection only, since a request may have side effects."""
        await self._backend.connect()

    async def open(self) -> None:
        """Do nothing: there is no state."""

    def close(self) -> None:
        """Do nothing: there is no state."""

    def on_read(self, outbox: Outbox, message: SegmentRead) -> None:
        """Report the first segment as missing, which ends the read."""
        for segment in message.segments[:1]:
            outbox.put(SegmentMissing(message.request, segment))

    def stop_read(self, outbox: Outbox, request: str) -> None:
        """Do nothing: no reads are served."""

    def on_write(self, outbox: Outbox, message: SegmentWrite) -> None:
        """Refuse the write: a plain service stores no segments."""
        outbox.put(
            SegmentWritten(
                message.request,
                message.segment,
                sealed=False,
                detail='no store',
            )
        )

    def on_part(self, outbox: Outbox, message: SegmentPart) -> None:
        """Do nothing: a plain service stores no segments."""

    def drop_link(self, link: str) -> None:
        """Do nothing: there is no state per link."""


class EngineRole(PlainRole):
    """The role beside a model engine."""

    def __init__(
        self, settings: AgentSettings, dependencies: RoleDependencies
    ) -> None:
        super().__init__(settings, dependencies)
        cache = settings.cache
        self._engine = EngineView(
            dependencies.backend,
            clock=dependencies.clock,
            events=dependencies.events,
            on_loaded=self._on_loaded,
        )
        peers = StorePeers(
            dependencies.make_hello,
            settings=settings.links,
            clock=dependencies.clock,
            tasks=dependencies.tasks,
            tls=dependencies.client_tls,
        )
        fetcher = Fetcher(
            peers,
            dependencies.backend,
            tasks=dependencies.tasks,
            events=dependencies.events,
            timeout=cache.fetch_timeout,
            segment_limit=cache.segment_limit,
        )
        self._exporter = Exporter(
            peers,
            dependencies.backend,
            fetcher,
            settings=cache,
            clock=dependencies.clock,
            events=dependencies.events,
        )
        self.preparer = EnginePreparer(
            self._engine,
            fetcher,
            self._exporter,
            patience=cache.patience,
            fetch_timeout=cache.fetch_timeout,
            short_tokens=settings.policies.short_tokens,
        )
        orders = OrderLoop(
            dependencies.backend,
            self._engine,
            dependencies.configuration,
            service=settings.backend.service,
            checks_fencing=settings.backend.checks_fencing,
            incarnation=dependencies.incarnation,
            clock=dependencies.clock,
            events=dependencies.events,
            wait_started=dependencies.runs.wait_started,
            is_superseded=dependencies.is_superseded,
        )
        self.segments = self._engine.segments
        self.background_loops = (orders.run, self._exporter.run)

    @property
    def loaded(self) -> LoadedWeights:
        """Return the loaded weights, which each dispatch must name."""
        return self._engine.loaded

    def measure(self) -> Load:
        """Return the load that the engine reported last."""
        return self._engine.load

    async def probe(self) -> None:
        """Request the state, load and cache events of the engine."""
        await self._engine.read_state()
        await self._engine.poll()

    def close(self) -> None:
        """Discard the state of the lost engine and its pending exports."""
        self._engine.reset()
        self._exporter.clear()

    def _on_loaded(self, loaded: LoadedWeights) -> None:
        self._gate.set_loaded(loaded)
        self._exporter.clear()


class StoreRole(PlainRole):
    """The role beside a store, which keeps segments."""

    def __init__(
        self, settings: AgentSettings, dependencies: RoleDependencies
    ) -> None:
        super().__init__(settings, dependencies)
        make_retention_policy = KEEPERS.find(settings.keeper)
        self._store = StoreShell(
            dependencies.backend,
            settings=settings.cache,
            make_retention_policy=lambda: make_retention_policy(
                settings.policies
            ),
            incarnation=dependencies.incarnation,
            clock=dependencies.clock,
            random=dependencies.random,
            tasks=dependencies.tasks,
            events=dependencies.events,
        )
        self.segments = self._store.segments
        self.background_loops = (self._store.run,)

    def measure(self) -> Load:
        """Return the number of readers and the use of the link."""
        return self._store.measure()

    async def probe(self) -> None:
        """Request the capacity of the store."""
        await self._backend.get_json('/space')

    async def open(self) -> None:
        """Make the segments in the store visible; raise OleanderError."""
        await self._store.open()

    def close(self) -> None:
        """Make all segments invisible."""
        self._store.close()

    def on_read(self, outbox: Outbox, message: SegmentRead) -> None:
        """Handle a request to read segments."""
        self._store.read(outbox, message)

    def stop_read(self, outbox: Outbox, request: str) -> None:
        """Stop a read that the peer has cancelled."""
        self._store.stop_read(outbox.name, request)

    def on_write(self, outbox: Outbox, message: SegmentWrite) -> None:
        """Handle a request to write a segment."""
        self._store.offer(outbox, message)

    def on_part(self, outbox: Outbox, message: SegmentPart) -> None:
        """Handle a part of a segment to write."""
        self._store.add_part(outbox.name, message)

    def drop_link(self, link: str) -> None:
        """Discard the reads and writes of a closed link."""
        self._store.drop_link(link)


def make_role(settings: AgentSettings, dependencies: RoleDependencies) -> Role:
    """Build the role for the configured kind of backend server."""
    kind = settings.backend.kind
    if kind is BackendKind.ENGINE:
        return EngineRole(settings, dependencies)
    if kind is BackendKind.STORE:
        return StoreRole(settings, dependencies)
    return PlainRole(settings, dependencies)
