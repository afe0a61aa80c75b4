"""Helpers that run an agent in process and connect to it as an entry."""

from __future__ import annotations

import contextlib
import io
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, TextIO

import anyio

from oleanderdyke.agent.settings import AgentSettings, BackendSettings
from oleanderdyke.agent.shell import AgentShell
from oleanderdyke.clients.log import LogPage, LogRecord
from oleanderdyke.clock import make_clock
from oleanderdyke.kernel.blocks import make_namespace
from oleanderdyke.kernel.configuration import ConfigurationReader
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
from oleanderdyke.links.dialer import dial
from oleanderdyke.links.link import Link, LinkClosed, LinkSettings
from oleanderdyke.links.messages import (
    AgentPhase,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    BackendKind,
    BodyChunk,
    ConfigurationRequest,
    Dispatch,
    EntryBeat,
    Failed,
    Heartbeat,
    Hello,
    Message,
    Role,
)
from oleanderdyke.links.messages.claims import Claim
from oleanderdyke.logs import make_event_log

CLOCK = make_clock()
TEAM = 'escuela'
LIMIT = 20


def make_settings(
    kind: BackendKind, address: str, service: str, **more: Any
) -> AgentSettings:
    backend = BackendSettings(
        kind=kind, address=address, service=service, probe_interval=50.0
    )
    return replace(
        AgentSettings(
            process=f'{service}-agent', data_centre='dc', backend=backend
        ),
        beat=50.0,
        **more,
    )


@contextlib.asynccontextmanager
async def run_agent(
    settings: AgentSettings, stream: TextIO | None = None
) -> AsyncGenerator[AgentShell, None]:
    events = make_event_log(settings.process, stream=stream or io.StringIO())
    async with anyio.create_task_group() as tasks:
        shell = AgentShell(
            settings, clock=CLOCK, random=Random(1), events=events, tasks=tasks
        )
        started = anyio.Event()

        async def run() -> None:
            await shell.run(started=started.set)

        tasks.start_soon(run)
        await started.wait()
        yield shell
        tasks.cancel_scope.cancel()


class ConfigurationSource:
    """The configuration log that a fake entry serves."""

    def __init__(self, *specs: tuple[ObjectKind, str, Spec]) -> None:
        self.reader = ConfigurationReader(Random(1))
        self._records: list[LogRecord] = []
        for kind, name, spec in specs:
            self.publish(kind, name, spec)

    def publish(
        self, kind: ObjectKind, name: str, spec: Spec, expected: int = 0
    ) -> None:
        offset = len(self._records)
        change = Change(f'r{offset}', 'op', kind, name, expected, spec)
        record = LogRecord(offset, 0.0, encode_change(change))
        self._records.append(record)
        page = LogPage((record,), 0, offset + 1)
        self.reader.on_page(page, CLOCK.now())


def make_source(digest: str, service: str = 'asistente') -> ConfigurationSource:
    return ConfigurationSource(
        (ObjectKind.TEAM, TEAM, TeamSpec()),
        (
            ObjectKind.MODEL_VERSION,
            'v1',
            ModelVersionSpec('modelo', '1', digest),
        ),
        (
            ObjectKind.SERVICE,
            service,
            ServiceSpec(ServiceKind.MODEL, model='modelo', version='1'),
        ),
    )


@dataclass
class Outcome:
    head: AnswerHead | None = None
    chunks: dict[int, bytes] = field(default_factory=dict)
    end: AnswerEnd | None = None
    failed: Failed | None = None

    @property
    def over(self) -> bool:
        return self.end is not None or self.failed is not None

    @property
    def body(self) -> bytes:
        return b''.join(self.chunks[each] for each in sorted(self.chunks))


class FakeEntry:
    """An entry that sends dispatches and collects the responses."""

    def __init__(self, link: Link, source: ConfigurationSource) -> None:
        self.link = link
        self.source = source
        self.beat: Heartbeat | None = None
        self.beats = 0
        self.messages: list[Message] = []
        self.outcomes: dict[tuple[str, int], Outcome] = {}

    async def read(self) -> None:
        with contextlib.suppress(LinkClosed):
            while True:
                await self._receive(await self.link.receive())

    async def _receive(self, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self.beat = message
            self.beats += 1
            return
        if isinstance(message, ConfigurationRequest):
            for each in self.source.reader.answer(message):
                await self.link.send(each)
            return
        self.messages.append(message)
        if isinstance(message, AnswerHead | AnswerChunk | AnswerEnd | Failed):
            self._record(message)

    def _record(self, message: Any) -> None:
        key = (message.request, message.attempt)
        outcome = self.outcomes.setdefault(key, Outcome())
        if isinstance(message, AnswerHead):
            outcome.head = message
        elif isinstance(message, AnswerChunk):
            outcome.chunks[message.sequence] = message.data
        elif isinstance(message, AnswerEnd):
            outcome.end = message
        else:
            outcome.failed = message

    async def send_offset(self) -> None:
        offset = self.source.reader.offset
        await self.link.send(EntryBeat('e', 1, offset))

    async def wait_serving(self) -> None:
        await wait_until(
            lambda: (
                self.beat is not None and self.beat.phase is AgentPhase.SERVING
            )
        )

    async def wait_weights(self, digest: str) -> None:
        await wait_until(
            lambda: self.beat is not None and self.beat.weight_digest == digest
        )

    def make_dispatch(self, request: str, **more: Any) -> Dispatch:
        beat = self.beat
        assert beat is not None
        defaults: dict[str, Any] = {
            'attempt': 1,
            'team': TEAM,
            'service': self.link.peer.service,
            'method': 'POST',
            'path': '/x',
            'headers': (),
            'digest': request,
            'deadline': 10_000.0,
            'idempotent': False,
            'offset': -1,
            'incarnation': beat.incarnation,
            'beat': beat.sequence,
        }
        return Dispatch(request=request, **(defaults | more))

    def make_claim(self, key: str) -> Claim:
        beat = self.beat
        assert beat is not None
        return Claim(
            0,
            0,
            key,
            self.link.peer.process,
            beat.incarnation,
            beat.sequence,
        )

    def make_chat(self, request: str, **more: Any) -> Dispatch:
        beat = self.beat
        assert beat is not None
        weights = {
            'model': beat.model,
            'weight_version': beat.weight_version,
            'weight_digest': beat.weight_digest,
            'namespace': make_namespace(
                TEAM,
                self.link.peer.service,
                beat.model,
                beat.weight_digest,
                '',
            ),
            'path': '/v1/chat/completions',
            'idempotent': True,
        }
        return self.make_dispatch(request, **(weights | more))

    async def send(self, dispatch: Dispatch, *body: bytes) -> Outcome:
        key = (dispatch.request, dispatch.attempt)
        outcome = self.outcomes.setdefault(key, Outcome())
        await self.link.send(dispatch)
        for number, data in enumerate(body):
            last = number == len(body) - 1
            await self.link.send(BodyChunk(*key, number, data, last))
        return outcome

    async def send_unfinished(self, dispatch: Dispatch, body: bytes) -> Outcome:
        """Send a request whose body lacks its last chunk."""
        outcome = await self.send(dispatch)
        key = (dispatch.request, dispatch.attempt)
        chunk = BodyChunk(*key, 0, body, last=False)
        await self.link.send(chunk)
        return outcome

    async def call(self, dispatch: Dispatch, *body: bytes) -> Outcome:
        outcome = await self.send(dispatch, *body)
        await wait_until(lambda: outcome.over)
        return outcome


@contextlib.asynccontextmanager
async def connect_entry(
    shell: AgentShell,
    source: ConfigurationSource | None = None,
    name: str = 'e1',
) -> AsyncGenerator[FakeEntry, None]:
    source = source or ConfigurationSource()
    hello = Hello(1, Role.ENTRY, name, f'{name}-i', 'dc', source.reader.offset)
    link = await dial(
        f'127.0.0.1:{shell.port}', hello, settings=LinkSettings(), clock=CLOCK
    )
    entry = FakeEntry(link, source)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.read)
        await wait_until(lambda: entry.beat is not None)
        yield entry
        await link.close()
        tasks.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(LIMIT):
        while not condition():
            await anyio.sleep(0.005)
