"""Build a simulated system of entries, agents, servers, log and VMs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from oleanderdyke.agent.segment_assembler import SegmentAssembler
from oleanderdyke.clock import HOUR, SECOND, Millis
from oleanderdyke.kernel.attempts import RequestStateMachine
from oleanderdyke.kernel.blocks import verify_segment
from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.kernel.claims import ClaimTable
from oleanderdyke.kernel.drain import Drain, DrainPhase
from oleanderdyke.kernel.gate import Gate, LoadedWeights
from oleanderdyke.kernel.membership import FleetState
from oleanderdyke.kernel.objects import (
    Change,
    ModelVersionSpec,
    ObjectKind,
    ServiceKind,
    ServiceSpec,
    Spec,
    TeamSpec,
)
from oleanderdyke.kernel.quarantine import Quarantine
from oleanderdyke.kernel.records import encode_change
from oleanderdyke.kernel.store_index import StoreIndex
from oleanderdyke.kernel.stream_table import StreamTable
from oleanderdyke.links.messages import BackendKind, Dispatch
from tests.matrix.agent import ModelAgent
from tests.matrix.entry import ModelEntry
from tests.matrix.kv import Kv
from tests.matrix.loop import Process, Scheduler
from tests.matrix.net import End, Link
from tests.matrix.outside import Backend, LogService
from tests.matrix.points import Point, Points
from tests.safety_model import Call, Run

ENTRIES = ('entry-1', 'entry-2')
TEAMS = ('team-1', 'team-2')
TICKETS = 'taquilla'
CHAT = 'chat'
JSON = 'application/json'
EVENTS = 'text/event-stream'
RESTART: Millis = 3 * SECOND
# Time allowed to become idle; longer after a configuration change.
SETTLE: Millis = 1_500.0
SETTLE_CHANGED: Millis = 6 * SECOND
LIMIT: Millis = 240 * SECOND
IN_FORCE: Millis = 5 * SECOND
_WATCH: Millis = 500.0


@dataclass(frozen=True)
class Variants:
    """Select the classes under test; proofs replace one by an unsafe class."""

    gate: type[Gate] = Gate
    table: type[ClaimTable] = ClaimTable
    machine: type[RequestStateMachine] = RequestStateMachine
    catalog: type[Catalog] = Catalog
    streams: type[StreamTable] = StreamTable
    drain: type[Drain] = Drain
    fleet: type[FleetState] = FleetState
    quarantine: type[Quarantine] = Quarantine
    store: type[StoreIndex] = StoreIndex
    copy: type[SegmentAssembler] = SegmentAssembler
    is_whole: Callable[[bytes, int, bytes], bool] = verify_segment


@dataclass(frozen=True)
class Layout:
    """Define where an agent runs and what it serves."""

    name: str
    kind: BackendKind
    service: str
    content_type: str
    checks: bool = False


AGENTS = (
    Layout('plain-1', BackendKind.PLAIN, TICKETS, JSON),
    Layout('plain-2', BackendKind.PLAIN, TICKETS, JSON),
    Layout('engine-1', BackendKind.ENGINE, CHAT, EVENTS, checks=True),
    Layout('engine-2', BackendKind.ENGINE, CHAT, EVENTS),
)
SERVICE = ServiceSpec(ServiceKind.MODEL, model='m', version='v1')
_OBJECTS: tuple[tuple[ObjectKind, str, Spec], ...] = (
    *((ObjectKind.TEAM, team, TeamSpec()) for team in TEAMS),
    (ObjectKind.SERVICE, TICKETS, ServiceSpec(ServiceKind.PLAIN)),
    (ObjectKind.MODEL_VERSION, 'm-v1', ModelVersionSpec('m', 'v1', 'd1')),
    (ObjectKind.MODEL_VERSION, 'm-v2', ModelVersionSpec('m', 'v2', 'd2')),
    (ObjectKind.SERVICE, CHAT, SERVICE),
)


@dataclass(frozen=True)
class Start:
    """Record the start of a run at a backend server."""

    at: Millis
    agent: str
    incarnation: str
    wanted: LoadedWeights
    loaded: LoadedWeights


class Watch:
    """Check the configuration of every process periodically."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._seen: dict[int, int] = {}
        world.outside.every(_WATCH, self._poll)

    def _poll(self) -> None:
        world = self._world
        world.update_idle()
        records = world.log.logs['configuration']
        due = max(world.now - IN_FORCE, 0.0)
        # Processes affected by a fault get the same time after its end.
        since = max(world.busy_until, world.changed_at) + IN_FORCE
        newest = sum(record.at <= due for record in records) - 1
        for name, catalog in world.list_catalogs():
            if catalog.offset < self._seen.get(id(catalog), -1):
                world.regressions.append((name, catalog.offset))
            self._seen[id(catalog)] = catalog.offset
            if world.now > since and catalog.offset < newest:
                world.late.append((name, world.now, catalog.offset, newest))


class World:
    """Hold all simulated processes, services and recorded events."""

    def __init__(
        self, variants: Variants | None = None, retention: Millis = HOUR
    ) -> None:
        self.variants = variants or Variants()
        self.scheduler = Scheduler()
        self.outside = Process(self.scheduler, 'outside')
        self.log = LogService(self.scheduler)
        self.log.readers.append(self._notify_appended)
        self.points = Points()
        self.pause: Millis = 10.0
        self.retention = retention
        self.poison: set[str] = set()
        self.thief: Callable[[str], None] | None = None
        self.runs: list[Run] = []
        self.starts: list[Start] = []
        self.calls: dict[str, Call] = {}
        self.callers: list[Any] = []
        self.operators: list[Any] = []
        self.kv: Kv | None = None
        self.regressions: list[object] = []
        self.late: list[object] = []
        self.links: list[Link] = []
        self.leaving_since: dict[tuple[str, str], Millis] = {}
        self.cuts: list[tuple[str, ...]] = []
        self.busy_until: Millis = 0.0
        self.changed_at: Millis = 0.0
        self.dispatched = ''
        self.bad_vms: dict[str, str] | None = None
        self._incarnations = 0
        self._append_objects()
        self.backends = {each.name: self._make_backend(each) for each in AGENTS}
        self.agents = {each.name: self._make_agent(each) for each in AGENTS}
        self.entries = {name: self._make_entry(name) for name in ENTRIES}
        self._watch = Watch(self)
        self._is_idle = False

    @property
    def now(self) -> Millis:
        """Return the current simulated time."""
        return self.scheduler.now

    @property
    def vms(self) -> dict[str, str]:
        """Return the VM list as the platform reports it."""
        if self.bad_vms is not None:
            return self.bad_vms
        return {a.name: a.address for a in self.agents.values()}

    def run(self, until: Millis = LIMIT) -> None:
        """Run until the world is idle or a time limit is reached."""
        self.scheduler.run(until, lambda: self._is_idle)

    def run_for(self, time: Millis) -> None:
        """Run for a given simulated time."""
        self.scheduler.run(self.now + time, lambda: False)

    def keep_busy(self, time: Millis) -> None:
        """Extend the time before the world counts as idle."""
        self.busy_until = max(self.busy_until, self.now + time)

    def dial(self, entry: ModelEntry) -> None:
        """Connect an entry to the agents in its VM list."""
        listed = set(self.vms.values())
        for agent in self.agents.values():
            address = agent.address
            if address in listed and address not in entry.ends:
                self._connect(entry, agent, address)

    def note_run(
        self, dispatch: Dispatch, backend: Backend, agent: Any
    ) -> bytes:
        """Record the start of a run; return its response body."""
        call = self.calls[dispatch.request]
        text = f'data: {dispatch.team}/run-{len(self.runs)}'
        body = f'{text}/a\n\n{text}/b\n\n'.encode()
        self.runs.append(
            Run(
                dispatch.request,
                dispatch.team,
                call.key,
                dispatch.idempotent,
                body,
            )
        )
        wanted = LoadedWeights(
            dispatch.model,
            dispatch.weight_version,
            dispatch.weight_digest,
            dispatch.adapter,
        )
        self.dispatched = agent.slot
        start = Start(
            self.now, agent.name, agent.incarnation, wanted, backend.loaded
        )
        self.starts.append(start)
        return body

    def record_leaving(self, agent: ModelAgent) -> None:
        """Record when an agent decided to leave."""
        self.leaving_since.setdefault((agent.name, agent.incarnation), self.now)

    def tick_drain(
        self, process: Any, drain: Drain, act: Callable[[Any], None]
    ) -> None:
        """Advance the drain of a planned stop."""
        if process.left:
            return
        due = drain.next_time()
        is_due = due is not None and due <= self.now
        if drain.phase is DrainPhase.ANNOUNCED and is_due:
            self.points.reach(Point.DRAIN, process)
        process.do(lambda: act(drain.tick(self.now)))
        if drain.phase is not DrainPhase.ANNOUNCED:
            self.points.reach(Point.DRAIN, process, after=True)
        if drain.phase is DrainPhase.DONE and process.active:
            self._leave(process, drain)

    def kill(self, process: Any) -> None:
        """Kill an entry or an agent and schedule its replacement."""
        if not process.alive:
            return
        process.kill()
        for link in self.links:
            if any(end.process is process for end in link.ends):
                link.close()
        for caller in self.callers:
            caller.on_process_killed(process)
        self.outside.after(RESTART, lambda: self._restart(process))
        self.keep_busy(RESTART)

    def replace(self, slot: str, name: str = '') -> None:
        """Start a new agent at the address of an existing one."""
        layout = next(each for each in AGENTS if each.name == slot)
        self.agents[slot] = self._make_agent(layout, name)
        self.keep_busy(SECOND)

    def _restart(self, process: Any) -> None:
        if isinstance(process, ModelEntry):
            self.entries[process.name] = self._make_entry(process.name)
            self.keep_busy(SECOND)
        elif self.agents[process.slot] is process:
            self.replace(process.slot)

    def list_catalogs(self) -> list[tuple[str, Catalog]]:
        """Return the configuration of every serving process."""
        agents = [a for a in self.agents.values() if a.alive]
        entries = [e for e in self.entries.values() if e.alive]
        return [
            *((e.name, e.core.catalog) for e in entries),
            *((a.name, a.configuration._reader.catalog) for a in agents),
        ]

    def find_links(self, process: Process) -> list[Link]:
        """Return the open links of a process."""
        return [
            link
            for link in self.links
            if link.open and any(end.process is process for end in link.ends)
        ]

    def publish(self, *changes: Change) -> None:
        """Append changes directly to the log, as platform tools do."""
        self.log.put('configuration', [encode_change(c) for c in changes])

    def _leave(self, process: Any, drain: Drain) -> None:
        self.points.reach(Point.EXIT, process)

        def leave() -> None:
            process.left = True
            self.cuts.append(drain._cut or drain.running)
            self.points.reach(Point.EXIT, process, after=True)
            self.outside.after(100.0, lambda: self.kill(process))

        process.do(leave)

    def update_idle(self) -> None:
        """Check whether all callers are answered and all faults have ended."""
        if not self.callers or not all(c.done for c in self.callers):
            self.keep_busy(0)
        changed = len(self.log.logs['configuration']) > len(_OBJECTS)
        settle = SETTLE_CHANGED if changed else SETTLE
        self._is_idle = self.now >= self.busy_until + settle

    def _connect(
        self, entry: ModelEntry, agent: ModelAgent, address: str
    ) -> None:
        if not (entry.active and agent.active) or agent.left:
            return
        link = Link(self.scheduler, address)
        to_agent = End(link, entry, entry, agent.make_hello())
        to_entry = End(link, agent, agent, entry.make_hello())
        link.ends = (to_agent, to_entry)
        self.links = [each for each in self.links if each.open]
        self.links.append(link)
        entry.on_link_up(to_agent)
        agent.on_link_up(to_entry)

    def _notify_appended(self, log: str) -> None:
        for entry in self.entries.values():
            entry.read_soon(log)

    def _append_objects(self) -> None:
        changes = [
            Change(f'first-{name}', 'ana', kind, name, 0, spec)
            for kind, name, spec in _OBJECTS
        ]
        self.publish_before(changes)

    def publish_before(self, changes: Iterable[Change]) -> None:
        """Append initial changes before any process reads the log."""
        records: Sequence[bytes] = [encode_change(each) for each in changes]
        self.log.readers.clear()
        self.log.put('configuration', records)
        self.log.readers.append(self._notify_appended)

    def _make_backend(self, layout: Layout) -> Backend:
        backend = Backend(
            self,
            layout.name,
            content_type=layout.content_type,
            checks=layout.checks,
        )
        if layout.kind is BackendKind.ENGINE:
            backend.loaded = LoadedWeights('m', 'v1', 'd1', '')
        return backend

    def _make_agent(self, layout: Layout, name: str = '') -> ModelAgent:
        self._incarnations += 1
        return ModelAgent(
            self,
            name or layout.name,
            f'i{self._incarnations}',
            layout.kind,
            layout.service,
            slot=layout.name,
        )

    def _make_entry(self, name: str) -> ModelEntry:
        self._incarnations += 1
        return ModelEntry(self, name, f'i{self._incarnations}')
