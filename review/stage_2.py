"""Run entries as processes beside stand-ins, for the scripts of this review."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

import h11

from tests.standins import server
from tests.standins.records import RecordStore

ROOT = Path(__file__).resolve().parents[1]
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'rooms.example'
KEY = 'key-of-red'
MODEL = 'model-a'
OPERATOR = 'keyed.op'
SERVERS = 'keyed.servers'
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The period of the records of servers, in seconds (`heartbeatMs`).
BEAT = 1.2
# The store drops the entry of a server after three periods without a record.
LAPSE = 3 * BEAT

_SETTINGS = """\
nodeName={name}
role=oleander-entry
machineClass=front
serves=front
ip={ip}
zone=hall
region=ceredigion
zones.hall=ceredigion
listen.front={ip}:{front}
listen.ready={ip}:{ready}
portRange={links},{links}
firstStart={first}
limits.cpuShare=0.817
limits.cores=1
limits.memoryMb=300
limits.maxFds=4100
discovery=platform
entry=vip
heartbeatMs=1200
bounds.stabilityWindowMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.configApplyMs=2000
bounds.retryBudgetRatio=0.2
bounds.retryWindowS=10
bounds.retrySlack=58
bounds.versionMs=15000
platform.address={store}
platform.form=log
platform.keep_s=300
"""


def make_route(name: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the one service; `name` is its path as well."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 12_000,
        'targetLatencyMs': 800,
        'priority': 2,
        'service': 'desk',
        'maxAttempts': 1,
        **changes,
    }


def make_configuration(
    version: int, routes: list[dict[str, Any]], keys: list[str]
) -> dict[str, Any]:
    """Return a configuration with one tenant that holds some keys."""
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': 'desk', 'maxConnections': 96}],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3_000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [{'name': 'red', 'apiKeys': keys}],
    }


@dataclass(slots=True)
class Answer:
    """An answer as a client got it; status 0 if none came."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False


class Record:
    """Write what was sent, answered and run into `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began = time.monotonic()
        self.write(f'disruption: {"yes" if HAS_TROUBLE else "no"}')

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str, at: float | None = None) -> None:
        """Add a line with its time."""
        when = self.now if at is None else at - self._began
        self._file.write(f'{when:8.3f} {text}\n')
        self._file.flush()

    def convert(self, at: float) -> float:
        """Convert a monotonic time to seconds since the start."""
        return at - self._began


class Entry:
    """An entry as a process of its own."""

    def __init__(self, stage: Stage, number: int) -> None:
        self._stage = stage
        self.name = f'front-{number}'
        # Each machine has an address of its own.
        self.ip = f'127.77.{os.getpid() % 250 + 1}.{number}'
        self._ports = [find_port(self.ip) for _ in range(3)]
        self._process: asyncio.subprocess.Process | None = None
        self._starts = 0

    @property
    def front(self) -> tuple[str, int]:
        """Return where clients connect."""
        return self.ip, self._ports[0]

    async def start(self) -> None:
        """Start the process by the command of the deploy file."""
        settings = self._stage.folder / f'{self.name}.conf'
        front, ready, links = self._ports
        settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                front=front,
                ready=ready,
                links=links,
                first=str(not self._starts).lower(),
                store=self._stage.store_address,
            )
        )
        self._starts += 1
        log = self._stage.folder / f'{self.name}.log'
        with log.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                *find_command('oleander-entry'),
                cwd=ROOT,
                env=make_environment(OLEANDERDYKE_SETTINGS=str(settings)),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        self._stage.record.write(f'{self.name} started')

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until the entry says that it is ready."""
        async with asyncio.timeout(seconds):
            while not await self._is_ready():
                await asyncio.sleep(0.05)
        self._stage.record.write(f'{self.name} ready')

    async def _is_ready(self) -> bool:
        address = self.ip, self._ports[1]
        found = await call(address, '/api/readiness', method='GET')
        return found.status == 200

    async def kill(self) -> None:
        """End the process with SIGKILL."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
            self._stage.record.write(f'{self.name} killed')

    async def close(self) -> None:
        """End the process at the end of the case."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGKILL)
        await process.wait()


class Stage:
    """The store of the platform, entries, and the records of servers."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = RecordStore()
        self.store_address = ''
        self.entries: list[Entry] = []
        self._records: dict[str, dict[str, Any]] = {}
        self._stack = contextlib.AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        """Start the store, which hears from the servers from then on."""
        served = server.serving(self.store)
        (self.store_address,) = await self._stack.enter_async_context(served)
        self.run_soon(self._beat())
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes of the case."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for entry in self.entries:
            await entry.close()
        await self._stack.aclose()
        if os.environ.get('KEEP'):
            sys.stderr.write(f'logs are kept in {self.folder}\n')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def run_soon(self, work: Awaitable[None]) -> None:
        """Run a task until the end of the case."""
        self._tasks.append(asyncio.ensure_future(work))

    async def start_entries(self, count: int) -> None:
        """Start some entries and wait until all are ready."""
        for number in range(1, count + 1):
            entry = Entry(self, number)
            self.entries.append(entry)
            await entry.start()
        for entry in self.entries:
            await entry.wait_ready()

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration as the operator does."""
        self.store.put(OPERATOR, 'config', configuration)
        self.record.write(
            f'the store acknowledged configuration {configuration["version"]}'
        )

    def list_server(self, name: str, address: str, **changes: Any) -> None:
        """Register a server; its records go on until it is dropped."""
        self._records[name] = {
            'service': 'desk',
            'address': address,
            'zone': 'hall',
            'version': 'v1',
            'slots': 128,
            'state': 'ready',
            'coldRemainingMs': 0,
            'born': int(time.time() * 1_000),
            'seq': 0,
            **changes,
        }
        self._write_server(name)

    def change_server(self, name: str, **changes: Any) -> None:
        """Write a record with changes at once."""
        self._records[name] |= changes
        self._write_server(name)

    def take_server(self, name: str) -> dict[str, Any]:
        """Let the store hear no more of a server; return its record."""
        return self._records.pop(name)

    def put_server(self, name: str, record: dict[str, Any]) -> None:
        """Let the store hear of a server again."""
        self._records[name] = record
        self._write_server(name)

    def silence_server(self, name: str) -> None:
        """Let a server write no more; its entry lapses."""
        if self._records.pop(name, None) is not None:
            self.run_soon(self._lapse(name))

    async def _lapse(self, name: str) -> None:
        await asyncio.sleep(LAPSE)
        if name not in self._records:
            self.store.drop(SERVERS, name)

    def _write_server(self, name: str) -> None:
        found = self._records[name]
        found['seq'] += 1
        self.store.put(SERVERS, name, found)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT)
            for name in tuple(self._records):
                self._write_server(name)


class ServerProcess:
    """A server stand-in as a process of its own, which tells of each run."""

    def __init__(self, stage: Stage, name: str, *options: str) -> None:
        self._stage = stage
        self.name = name
        self._options = options
        self.address = f'127.78.{os.getpid() % 250 + 1}.1'
        self.port = find_port(self.address)
        self._process: asyncio.subprocess.Process | None = None
        # What the process told, oldest first.
        self.told: list[dict[str, Any]] = []
        # When the process ended by itself, by the monotonic clock.
        self.crashes: list[float] = []

    @property
    def where(self) -> str:
        """Return the address and the port."""
        return f'{self.address}:{self.port}'

    async def start(self) -> None:
        """Start the process, and read what it tells."""
        self._process = await asyncio.create_subprocess_exec(
            'python3',
            '-S',
            str(ROOT / 'review' / 'server_2.py'),
            self.address,
            str(self.port),
            *self._options,
            cwd=ROOT,
            env=make_environment(),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        if self._process.stdout is None:
            raise RuntimeError('no output of a server')
        async with asyncio.timeout(10):
            await self._process.stdout.readline()
        self._stage.run_soon(self._read(self._process.stdout))

    async def _read(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            told = json.loads(line)
            self.told.append(told)
            text = ' '.join(f'{key}={told[key]}' for key in told if key != 'at')
            self._stage.record.write(f'{self.name}: {text}', told['at'])

    async def wait(self) -> None:
        """Wait until the process has ended."""
        if self._process is not None:
            await self._process.wait()

    async def kill(self) -> None:
        """End the process with SIGKILL."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


def find_port(address: str) -> int:
    """Return a free port of a loopback address."""
    with socket.socket() as found:
        found.bind((address, 0))
        port: int = found.getsockname()[1]
    return port


def find_command(role: str) -> list[str]:
    """Return the words of a role's command in the deploy file."""
    with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
        words: str = tomllib.load(file)['roles'][role]['run']
    return words.split()


def make_environment(**more: str) -> dict[str, str]:
    """Return the variables that the platform passes on."""
    kept = {name: os.environ.get(name, '') for name in ('PATH', 'HOME')}
    return {**kept, 'PYTHONPATH': 'target/deps', **more}


async def call(
    address: tuple[str, int],
    path: str,
    *,
    method: str = 'POST',
    body: bytes = b'',
    seconds: float = 15.0,
    **headers: str,
) -> Answer:
    """Send one request on a new connection and read what comes."""
    found = Answer()
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(_encode(method, path, body, headers))
                await _receive(reader, found, method)
            finally:
                writer.close()
    except (OSError, TimeoutError, h11.RemoteProtocolError):
        found.is_whole = False
    return found


def _encode(
    method: str, path: str, body: bytes, headers: dict[str, str]
) -> bytes:
    named = {
        'host': HOST,
        'content-length': str(len(body)),
        'connection': 'close',
    }
    named |= {name.replace('_', '-'): text for name, text in headers.items()}
    lines = ''.join(f'{name}: {text}\r\n' for name, text in named.items())
    return f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body


async def _receive(
    reader: asyncio.StreamReader, found: Answer, method: str
) -> None:
    parser = h11.Connection(h11.CLIENT)
    parser.send(
        h11.Request(method=method, target='/', headers=[('host', HOST)])
    )
    parser.send(h11.EndOfMessage())
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Response):
            found.status = event.status_code
            found.headers = {
                name.decode(): text.decode('latin-1')
                for name, text in event.headers
            }
        elif isinstance(event, h11.Data):
            found.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            found.is_whole = True
            return
        else:
            return


@contextlib.asynccontextmanager
async def keeping(
    stage: Stage, name: str, servers: list[ServerProcess], pause: float
) -> AsyncGenerator[None, None]:
    """Start servers anew some seconds after each crash, with a new id."""
    tasks = [
        asyncio.ensure_future(_keep(stage, f'{name}-{number}', each, pause))
        for number, each in enumerate(servers)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for each in servers:
            await each.kill()


async def _keep(
    stage: Stage, name: str, served: ServerProcess, pause: float
) -> None:
    start = 0
    while True:
        start += 1
        await served.start()
        # A server that has served for long has written several records.
        stage.list_server(f'{name}-{start}', served.where, seq=8)
        await served.wait()
        served.crashes.append(time.monotonic())
        stage.silence_server(f'{name}-{start}')
        stage.record.write(f'{served.name} has crashed')
        await asyncio.sleep(pause)


def run_case(play: Callable[[Stage], Awaitable[int]], file: str) -> int:
    """Play a case; return its exit code, also where it couldn't run."""

    async def run() -> int:
        # Whoever ends the case early still gets all of its processes ended.
        task = asyncio.current_task()
        if task is not None:
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
        async with Stage(Path(file).resolve().parent) as stage:
            code = await play(stage)
            verdict = ('held', 'BROKEN', 'could not run')[code]
            stage.record.write(f'verdict: {verdict}')
            return code

    try:
        return asyncio.run(asyncio.wait_for(run(), 115))
    except (Exception, asyncio.CancelledError) as error:
        sys.stderr.write(f'the case could not run: {error!r}\n')
        return NOT_RUN
