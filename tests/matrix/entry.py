"""Run an entry's own parts in simulated time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry import claims as entry_claims
from oleanderdyke.entry.agents import AgentLinks
from oleanderdyke.entry.answers import Answer
from oleanderdyke.entry.calls import Call
from oleanderdyke.entry.claims import ClaimLog
from oleanderdyke.entry.configuration import ConfigurationFeed
from oleanderdyke.entry.core import Core
from oleanderdyke.entry.delivery import Delivery
from oleanderdyke.entry.effects import EntryResources
from oleanderdyke.entry.queue import ReleaseQueue
from oleanderdyke.entry.resume import ResumeRequest
from oleanderdyke.entry.settings import (
    EntrySettings,
    LogSettings,
    VmSettings,
)
from oleanderdyke.entry.stopping import Stopper
from oleanderdyke.errors import OleanderError
from oleanderdyke.kernel.attempts import AttemptSettings
from oleanderdyke.kernel.configuration import (
    ConfigurationReader,
    ReaderSettings,
)
from oleanderdyke.kernel.drain import DrainSettings
from oleanderdyke.kernel.quarantine import QuarantineSettings
from oleanderdyke.kernel.retries import RetrySettings, make_retry_budget
from oleanderdyke.links.messages import EntryBeat, Hello, Message
from oleanderdyke.policies.exports import ExportPolicy
from oleanderdyke.policies.registries import ADMISSIONS, ROUTERS, TeamTerms
from oleanderdyke.policies.settings import PolicySettings
from tests.matrix.drivers import ModelRequest, ModelResume
from tests.matrix.loop import Later, Null, Process, drive
from tests.matrix.net import End
from tests.matrix.points import Point

if TYPE_CHECKING:
    from tests.matrix.world import World

_NULL: Any = Null()
_POLL: Millis = 1 * SECOND
_DIAL: Millis = 500.0
_STOP_TICK: Millis = 500.0
ENTRY_DRAIN = DrainSettings(
    accept=1_000.0, announce=1_000.0, drain=2_000.0, limit=30_000.0
)


def make_settings(name: str, retention: Millis) -> EntrySettings:
    """Build the settings of an entry."""
    log = LogSettings('log', retention=retention)
    return EntrySettings(name, 'centre', log, VmSettings('vms'))


class LogPort:
    """Append to the log for one entry."""

    def __init__(self, entry: ModelEntry) -> None:
        self._entry = entry

    async def append(
        self, log: str, records: Sequence[bytes], *, timeout: Millis
    ) -> int:
        """Append as `LogClient` does; raise LogUnavailable."""
        world, entry = self._entry.world, self._entry
        point = world.points.name_append(log, records)
        world.points.strike(point, entry)
        await entry.checkpoint()
        later = Later(entry)
        world.log.append(
            log,
            records,
            later,
            caller=entry,
            timeout=timeout,
            note=lambda: world.points.strike(point, entry, after=True),
        )
        offset: int = await later
        return offset


class ModelClaimLog(ClaimLog):
    """Append what is pending without tasks of its own."""

    def __init__(self, core: Core, port: Any, process: Process) -> None:
        super().__init__(core, port)
        self._process = process

    def flush(self) -> None:
        """Append what is pending, as far as the bound allows."""
        while (
            self._pending
            and self._active < entry_claims._MAX_CONCURRENT_APPENDS
        ):
            self._active += 1
            drive(self._append_next(self._take_group()))

    def _add(self, pending: Any) -> None:
        super()._add(pending)
        self._process.after(self._settings.delay, self.flush)

    async def _append_next(self, group: Any) -> None:
        await self._append(group)
        self.flush()


class ModelEntry(Process):
    """Run an entry: its links, its reading of the log and its requests."""

    def __init__(self, world: World, name: str, incarnation: str) -> None:
        super().__init__(world.scheduler, name)
        self.world = world
        self.ends: dict[str, End] = {}
        self.reads_log = True
        self.left = False
        self._beats = 0
        self.core = core = self._make_core(incarnation)
        port: Any = LogPort(self)
        self.claim_log = ModelClaimLog(core, port, self)
        self.feed = ConfigurationFeed(core, port)
        self.stopper = Stopper(core)
        self.links = AgentLinks(core, self.feed)
        self.tools = EntryResources(core, self.claim_log, self.stopper)
        self.queue = ReleaseQueue(core)
        core.find_link = self._find_link  # type: ignore[assignment]
        core.spawn = self._spawn
        self.after(0, self._dial)
        self.every(_DIAL, self._dial)
        self.every(core.settings.beat, self._beat)
        self.every(_POLL, self._poll)
        self.after(0, self._poll)
        self.every(_STOP_TICK, self._tick)

    @property
    def ready(self) -> bool:
        """Tell what the balancer's probe is told."""
        return self.active and not self.core.find_fault()

    def serve(self, call: Call, answer: Answer) -> ModelRequest:
        """Take a call; raise OleanderError."""
        self.stopper.begin(call.request)
        try:
            request = ModelRequest(self, call, answer)
        except OleanderError:
            self.stopper.end(call.request)
            raise
        self._run(request.begin, answer)
        return request

    def resume(self, ask: ResumeRequest, answer: Answer) -> None:
        """Go on with a stream; raise OleanderError."""
        self.stopper.begin(ask.request)
        delivery = Delivery(
            answer,
            request=ask.request,
            label='resumed',
            clock=self.core.clock,
            metrics=_NULL,
            position=ask.position,
        )
        self._run(ModelResume(self, ask, delivery).begin, answer)

    def receive(self, end: End, message: Message) -> None:
        """Take a message of an agent."""
        drive(self.links.on_message(end, message))  # type: ignore[arg-type]

    def lose(self, end: End) -> None:
        """Learn that a link is gone."""
        if self.ends.get(end.address) is end:
            del self.ends[end.address]
        drive(self.links.on_down(end))  # type: ignore[arg-type]

    def greet(self, end: End) -> None:
        """Take a new link."""
        self.ends[end.address] = end
        drive(self.links.on_up(end))  # type: ignore[arg-type]

    async def before_send(self, message: Message) -> None:
        """Let a fault strike before a message is sent."""
        self.world.points.strike(self.world.points.name_sent(message), self)

    def after_send(self, message: Message) -> None:
        """Let a fault strike after a message was sent."""
        point = self.world.points.name_sent(message)
        self.world.points.strike(point, self, after=True)

    def make_hello(self) -> Hello:
        """Build what this entry says first."""
        return self.core.make_hello()

    def read_soon(self, log: str) -> None:
        """Read a log, as after a long poll."""
        self.after(self.world.log.delay + 1.0, lambda: self._read(log))

    def stop(self) -> None:
        """Take a stop signal."""
        self.world.points.strike(Point.LEAVING, self)
        self.do(lambda: self.stopper.handle_signal('SIGTERM'))
        self.world.points.strike(Point.LEAVING, self, after=True)

    def _make_core(self, incarnation: str) -> Core:
        world = self.world
        settings = make_settings(self.name, world.retention)
        random = Random(f'{self.name}{incarnation}')
        reader = ConfigurationReader(
            random,
            ReaderSettings(
                ask_after=250.0, snapshot_age=settings.log.retention / 2
            ),
            world.variants.catalog(),
        )
        policies = PolicySettings()
        plugins = settings.plugins
        return Core(
            settings=settings,
            clock=world.scheduler.clock,
            random=random,
            incarnation=incarnation,
            log=_NULL,
            metrics=_NULL,
            reader=reader,
            fleet=world.variants.fleet(reader.catalog),
            claims=world.variants.table(),
            quarantine=world.variants.quarantine(QuarantineSettings()),
            budget=make_retry_budget(RetrySettings(), random),
            router=ROUTERS.find(plugins.router)(policies),
            admission=ADMISSIONS.find(plugins.admission)(
                policies, lambda _: TeamTerms()
            ),
            exports=ExportPolicy(policies),
            drain=world.variants.drain(ENTRY_DRAIN),
            attempt_settings=AttemptSettings(
                claim_timeout=settings.claims.wait
            ),
        )

    def _run(
        self, begin: Callable[[], Awaitable[None]], answer: Answer
    ) -> None:
        async def run() -> None:
            try:
                await begin()
            except OleanderError as error:
                await answer.send_error(error)

        self.world.points.strike(Point.ADMISSION, self)
        self.do(lambda: drive(run()))
        self.world.points.strike(Point.ADMISSION, self, after=True)

    def _find_link(self, agent: str) -> End | None:
        for end in self.ends.values():
            if end.peer.process == agent and not end.closed:
                return end
        return None

    def _spawn(self, act: Callable[..., Any], *args: Any) -> None:
        if act == self.claim_log.retry:
            retry = self.core.settings.log.retry
            self.after(retry, lambda: self.claim_log._add(args[0]))
        elif act != self.links._send_beats:
            drive(act(*args))

    def _dial(self) -> None:
        if not self.left:
            self.world.dial(self)

    def _beat(self) -> None:
        core = self.core
        self._beats += 1
        beat = EntryBeat(
            core.incarnation,
            self._beats,
            core.reader.offset,
            core.quarantine.list_quarantined(self.now),
            core.quarantine.list_suspects(self.now),
        )
        for end in tuple(self.ends.values()):
            drive(_send(end, beat))
        core.fleet.tick(self.now)

    def _poll(self) -> None:
        self.read_soon(self.core.settings.log.configuration)
        self.read_soon(self.core.settings.log.claims)
        self.claim_log.append_due_renewals(self.world.retention)
        if self.core.reader.is_snapshot_due(self.core.clock.wall()):
            drive(self.feed.append_snapshot())

    def _read(self, log: str) -> None:
        core = self.core
        is_claims = log == core.settings.log.claims
        position = core.reader.log_position
        start = core.claims.next_offset if is_claims else position
        page = self.world.log.read(log, start) if self.reads_log else None
        if page is None:
            return
        point = self.world.points.name_read(log, page, self)
        self.world.points.strike(point, self)

        def take() -> None:
            if is_claims:
                self._take_claims(page)
            else:
                self.feed.apply_page(page)
            self.world.points.strike(point, self, after=True)

        self.do(take)

    def _take_claims(self, page: Any) -> None:
        table = self.core.claims
        for record in page.records:
            table.apply(record.offset, record.at, record.data)
        table.set_catch_up_target(page.end)
        self.claim_log.settle_claims()

    def _tick(self) -> None:
        if self.stopper._signalled.is_set():
            drain = self.core.drain
            self.world.tick_drain(self, drain, self.stopper._execute)
            self.stopper._notify_requests()


async def _send(end: End, message: Message) -> None:
    try:
        await end.send(message)
    except OleanderError:
        return
