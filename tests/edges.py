"""Run the application of an entry with fake sockets, links and log."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.clients.log import LogPage, LogRecord, LogUnavailable
from oleanderdyke.clock import make_clock
from oleanderdyke.entry.answers import WRITER_EXTENSION
from oleanderdyke.entry.app import App
from oleanderdyke.entry.claims import ClaimLog
from oleanderdyke.entry.core import Core, make_core
from oleanderdyke.entry.edge import Body, Head, make_not_found
from oleanderdyke.entry.effects import EntryResources
from oleanderdyke.entry.queue import ReleaseQueue
from oleanderdyke.entry.settings import (
    EntrySettings,
    HttpSettings,
    LogSettings,
    VmSettings,
)
from oleanderdyke.entry.stopping import Stopper
from oleanderdyke.errors import Ran
from oleanderdyke.events import Level
from oleanderdyke.kernel.objects import (
    Change,
    ModelVersionSpec,
    ObjectKind,
    ServiceKind,
    ServiceSpec,
    Spec,
    TeamSpec,
)
from oleanderdyke.kernel.records import encode_change
from oleanderdyke.links.messages import (
    PROTOCOL_VERSION,
    AgentPhase,
    BackendKind,
    Heartbeat,
    Hello,
    Load,
    Message,
    Role,
)

TOKEN = 'token-of-owls'
OTHER_TOKEN = 'token-of-toads'
WEIGHTS = ModelVersionSpec('lector', '1', 'a' * 64)


def _hash(token: str) -> tuple[str, ...]:
    return (sha256(token.encode()).hexdigest(),)


_OBJECTS: tuple[tuple[ObjectKind, str, Spec], ...] = (
    (ObjectKind.MODEL_VERSION, 'lector-1', WEIGHTS),
    (
        ObjectKind.SERVICE,
        'asistente',
        ServiceSpec(
            ServiceKind.MODEL, teams={'a': 'yes'}, model='lector', version='1'
        ),
    ),
    (
        ObjectKind.SERVICE,
        'taquilla',
        ServiceSpec(
            ServiceKind.PLAIN,
            teams={'a': 'yes'},
            methods=('GET', 'POST'),
            body_limit=1_000,
        ),
    ),
    (ObjectKind.TEAM, 'owls', TeamSpec({'a': 'yes'}, _hash(TOKEN))),
    (ObjectKind.TEAM, 'toads', TeamSpec({}, _hash(OTHER_TOKEN))),
)


@dataclass
class FakeLog:
    """Keep records in memory; `faults` are raised before an append."""

    batches: list[bytes] = field(default_factory=list)
    faults: list[Ran] = field(default_factory=list)
    appends: int = 0

    async def append(
        self, _log: str, records: Sequence[bytes], *, timeout: float = 0.0
    ) -> int:
        """Append, or fail before or after storing the records."""
        self.appends += 1
        fault = self.faults.pop(0) if self.faults else None
        await anyio.sleep(0)
        if fault is not Ran.NO:
            self.batches.extend(records)
        if fault is not None:
            raise LogUnavailable('out', ran=fault)
        return len(self.batches) - 1

    def read_back(self, core: Core, claims: ClaimLog) -> None:
        """Apply the records that the entry has not read."""
        table = core.claims
        for offset in range(table.next_offset, len(self.batches)):
            table.apply(offset, 1_000.0, self.batches[offset])
        table.set_catch_up_target(len(self.batches))
        claims.settle_claims()


@dataclass
class FakeLink:
    """Record messages sent to an agent; `react` may answer them."""

    peer: Hello
    address: str = '127.0.0.1:1'
    closed: bool = False
    sent: list[Message] = field(default_factory=list)
    react: Callable[[Message], None] = lambda _: None

    async def send(self, message: Message) -> None:
        """Record a message."""
        self.sent.append(message)
        self.react(message)

    def find(self, kind: type[Any]) -> list[Any]:
        """Return the messages of a kind."""
        return [message for message in self.sent if type(message) is kind]


@dataclass
class Reply:
    """Collect the response that the application sends."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    ended: bool = False

    async def send(self, event: Mapping[str, Any]) -> None:
        """Handle an ASGI event of the application."""
        if event['type'] == 'http.response.start':
            self.status = event['status']
            self.headers = {
                name.decode(): content.decode()
                for name, content in event['headers']
            }
            return
        self.body += event.get('body', b'')
        self.ended = not event.get('more_body', False)


class Writer:
    """Simulate the PartWriter of the server; usable while `ready`."""

    def __init__(self, reply: Reply) -> None:
        self._reply = reply
        self.ready = True
        self.parts: list[bytes] = []

    def is_ready(self) -> bool:
        """Return whether the test allows writes."""
        return self.ready

    def write_part(self, part: bytes) -> None:
        """Add a part to the response."""
        self.parts.append(part)
        self._reply.body += part


class Caller:
    """Simulate a caller that sends a body and stays until `gone` is set."""

    def __init__(self, parts: Iterable[bytes] = (b'',)) -> None:
        self._parts = list(parts)
        self.gone = anyio.Event()

    async def receive(self) -> Mapping[str, Any]:
        """Return the next ASGI event of the caller."""
        if self._parts:
            part = self._parts.pop(0)
            return {
                'type': 'http.request',
                'body': part,
                'more_body': bool(self._parts),
            }
        await self.gone.wait()
        return {'type': 'http.disconnect'}


class Edge:
    """Hold the application of an entry, its state and links to agents."""

    def __init__(
        self,
        *,
        configured: bool = True,
        http: HttpSettings | None = None,
        level: str = 'error',
    ) -> None:
        settings = EntrySettings(
            process='entry-1',
            data_centre='here',
            log=LogSettings('127.0.0.1:1'),
            vms=VmSettings('127.0.0.1:1'),
            http=http or HttpSettings(),
            log_level=Level(level),
            seed=1,
        )
        self.core = make_core(settings, make_clock())
        self.log = FakeLog()
        self.links: dict[str, FakeLink] = {}
        self.claims = ClaimLog(self.core, self.log)  # type: ignore[arg-type]
        self.stopper = Stopper(self.core)
        self.queue = ReleaseQueue(self.core)
        resources = EntryResources(self.core, self.claims, self.stopper)
        self.app = App(resources, self.queue, _serve_not_found)
        if configured:
            self.configure()

    def configure(self) -> None:
        """Apply the test configuration as if read from the log."""
        records = tuple(
            LogRecord(
                offset,
                0.0,
                encode_change(Change(name, 'me', kind, name, 0, spec)),
            )
            for offset, (kind, name, spec) in enumerate(_OBJECTS)
        )
        page = LogPage(records, 0, len(records))
        self.core.reader.on_page(page, self.core.clock.now())

    def add_agent(
        self,
        service: str,
        kind: BackendKind,
        *,
        name: str = '',
        link: FakeLink | None = None,
    ) -> FakeLink:
        """Register an agent with one heartbeat; agents may share a link."""
        name = name or f'agent-{service}'
        hello = Hello(
            PROTOCOL_VERSION, Role.AGENT, name, 'i1', 'here', 0, kind, service
        )
        link = link or FakeLink(hello)
        now = self.core.clock.now()
        self.core.fleet.on_hello(hello, f'127.0.0.1:{len(self.links)}', now)
        model = kind is BackendKind.ENGINE
        beat = Heartbeat(
            'i1',
            1,
            0,
            AgentPhase.SERVING,
            Load(slots=8, prefill_tokens_per_second=8_000.0),
            model='lector' if model else '',
            weight_version='1' if model else '',
            weight_digest=WEIGHTS.digest if model else '',
        )
        self.core.fleet.on_heartbeat(name, beat, now)
        self.links[name] = link
        self.core.find_link = self.links.get  # type: ignore[assignment]
        return link

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: Iterable[bytes] = (b'',),
        token: str = TOKEN,
        headers: Iterable[tuple[bytes, bytes]] = (),
        caller: Caller | None = None,
        reply: Reply | None = None,
        writer: Writer | None = None,
    ) -> Reply:
        """Send one request and return its response."""
        reply = reply or Reply()
        target, _, query = path.partition('?')
        scope = {
            'type': 'http',
            'method': method,
            'raw_path': target.encode('latin-1'),
            'extensions': {WRITER_EXTENSION: writer} if writer else {},
            'query_string': query.encode('latin-1'),
            'headers': [
                (b'authorization', b'Bearer ' + token.encode()),
                *headers,
            ],
        }
        caller = caller or Caller(body)
        await self.app(scope, caller.receive, reply.send)
        return reply

    def start(self, tasks: TaskGroup) -> None:
        """Start the background tasks of the application."""
        self.core.spawn = tasks.start_soon
        tasks.start_soon(self.claims.run)
        tasks.start_soon(self.queue.run)


async def _serve_not_found(_: Head, __: Body, ___: Any) -> None:
    raise make_not_found()
