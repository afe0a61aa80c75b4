"""Backend servers of a soak as processes, each behind a proxy of its own."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from tests.hosted import SERVERS, make_record
from tests.processes import Child, Ports
from tools.soak.arrivals import Observations
from tools.soak.attempts import RunEnd, ServerRun
from tools.soak.backend_process import Conduct, Mark, make_body
from tools.soak.links import Link, linking
from tools.soak.store import SoakStore

_PROGRAM = 'tools.soak.backend_process'
# The platform removes the record of a server that has been silent for three
# heartbeats, and takes it back with the next one.
_LAPSE_SECONDS = 3.6
_HEARTBEAT_SECONDS = 1.2
_ENDS = {
    Mark.FINISHED: RunEnd.FINISHED,
    Mark.REFUSED: RunEnd.REFUSED,
    Mark.BROKE_OFF: RunEnd.BROKE_OFF,
    Mark.ABANDONED: RunEnd.ABANDONED,
}


@dataclass
class BackendProcess:
    """A server process, the link before it, and its record."""

    child: Child
    link: Link
    address: str
    port: int
    server: str
    seq: int = 0
    pauses: int = 0


@dataclass
class Backends:
    """The server processes of one service.

    `started` is when the soak started by the steady clock. With `lapses` a
    record lapses while its server stands still for long.
    """

    store: SoakStore
    directory: Path
    started: float
    lapses: bool
    members: list[BackendProcess] = field(default_factory=list)
    _conducts: list[Conduct] = field(default_factory=list)
    _count: int = 0

    @contextlib.asynccontextmanager
    async def running(self, count: int) -> AsyncGenerator[None, None]:
        """Run servers until the end of the context."""
        self._write_conduct()
        async with contextlib.AsyncExitStack() as stack:
            ports = stack.enter_context(Ports())
            for _ in range(count):
                port = ports.reserve()
                link, address = await stack.enter_async_context(linking(port))
                member = self._make(link, address, port)
                stack.callback(_kill, member)
                self.members.append(member)
                self._start(member)
            await anyio.sleep(1)
            yield

    def find(self, slot: int) -> BackendProcess:
        """Return the server of a slot."""
        return self.members[slot % len(self.members)]

    @contextlib.contextmanager
    def behaving(self, conduct: Conduct) -> Iterator[None]:
        """Let all servers answer in one way; the newest one applies."""
        self._conducts.append(conduct)
        self._write_conduct()
        yield
        self._conducts.remove(conduct)
        self._write_conduct()

    async def pause(
        self, members: Iterable[BackendProcess], seconds: float
    ) -> None:
        """Pause servers with SIGSTOP, then SIGCONT; pauses may overlap."""
        async with anyio.create_task_group() as tasks:
            for member in tuple(members):
                tasks.start_soon(self._pause, member, seconds)

    async def _pause(self, member: BackendProcess, seconds: float) -> None:
        member.pauses += 1
        member.child.freeze()
        lapse = min(seconds, _LAPSE_SECONDS)
        await anyio.sleep(lapse)
        has_lapsed = self.lapses and seconds > lapse
        if has_lapsed:
            self.store.drop(SERVERS, member.server)
        await anyio.sleep(seconds - lapse)
        member.pauses -= 1
        if not member.pauses:
            member.child.thaw()
        if has_lapsed:
            await anyio.sleep(_HEARTBEAT_SECONDS)
            self._publish(member)

    async def restart(self, member: BackendProcess, down: float) -> None:
        """Kill a server and start the next one at its address."""
        member.child.kill()
        await anyio.sleep(down)
        self.store.drop(SERVERS, member.server)
        member.server = self._make_name()
        member.child = self._make_child(member.server, member.port)
        self._start(member)

    def collect(self, observations: Observations) -> None:
        """Add what the servers wrote to what was observed, in its order."""
        lines = sorted(self._read_lines())
        running: dict[tuple[str, str], ServerRun] = {}
        for at, server, mark, request in lines:
            now = at - self.started
            key = server, request
            if mark is Mark.ARRIVED:
                observations.record_arrival(request, now)
                running[key] = observations.begin_run(request, now)
            elif mark is Mark.RAN:
                observations.record_run(request, make_body(request))
            else:
                running[key].end(_ENDS[mark], now)

    def _read_lines(self) -> Iterator[tuple[float, str, Mark, str]]:
        for path in self.directory.glob('i-*.out'):
            for line in path.read_text().splitlines():
                at, mark, request = line.split()
                yield float(at), path.stem, Mark(mark), request

    def _make(self, link: Link, address: str, port: int) -> BackendProcess:
        name = self._make_name()
        child = self._make_child(name, port)
        return BackendProcess(child, link, address, port, name)

    def _make_child(self, name: str, port: int) -> Child:
        arguments = ('--server', name, '--port', f'{port}')
        control = ('--control', str(self._control))
        return Child(
            name, ('-m', _PROGRAM, *arguments, *control), self.directory
        )

    def _make_name(self) -> str:
        self._count += 1
        return f'i-{self._count}'

    def _start(self, member: BackendProcess) -> None:
        member.child.start()
        self._publish(member)

    def _publish(self, member: BackendProcess) -> None:
        member.seq += 1
        record = make_record(member.address, slots=24, seq=member.seq)
        self.store.put(SERVERS, member.server, record)

    def _write_conduct(self) -> None:
        newest = self._conducts[-1] if self._conducts else Conduct.ANSWER
        changed = self._control.with_suffix('.new')
        changed.write_text(newest.value)
        changed.replace(self._control)

    @property
    def _control(self) -> Path:
        return self.directory / 'conduct'


def _kill(member: BackendProcess) -> None:
    """Kill the newest process of a server."""
    member.child.kill()
