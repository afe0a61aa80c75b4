"""Start programs of the project on loopback against stand-ins, for the cases.

The programs run as separate processes with the commands of the deploy file and
the settings file that the platform gives. The harness and its stand-ins use
only the libraries that the build of the deploy file installs.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.processes import LOOPBACK, ROOT, Ports
from tests.standins import server
from tests.standins.records import RecordStore

OPERATOR = 'keyed.op'
SERVERS = 'keyed.servers'
HOST = 'pule25.example'
KEY = 'nu6wsjnbanfqasnmgkcu'
TEAM = 'jeye930'
MODEL = 'daka510000'
ZONES = ('sala-quito', 'sala-ibarra', 'sala-latacunga')
# Exit codes of a case. That of a broken rule isn't one that Python uses itself.
HELD, UNABLE, BROKEN = 0, 2, 10
_GRACE = 8
_PASSED_ON = ('PATH', 'HOME', 'LANG')
_SETTINGS = """nodeName={name}
role={role}
machineClass={machine}
ip=127.0.0.1
zone={zone}
region=sierra-norte
zones.sala-quito=sierra-norte
zones.sala-ibarra=sierra-norte
zones.sala-latacunga=sierra-norte
portRange={links},{links}
firstStart={first}
limits.cpuShare=0.817
limits.cores=1
limits.memoryMb=300
limits.maxFds=4100
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
bounds.stabilityWindowMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.configApplyMs=2000
bounds.retryBudgetRatio=0.2
bounds.retryWindowS=10
bounds.retrySlack=52
bounds.versionMs=15000
bounds.versionAllMs=21000
platform.address={store}
platform.form=log
"""


def is_disturbed() -> bool:
    """Return whether the run has its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


@dataclass
class Record:
    """Write what was sent, answered and run to a file, one line each."""

    path: Path
    began: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, *words: object) -> None:
        """Add one line with the seconds since the start."""
        at = time.monotonic() - self.began
        self.lines.append(f'{at:9.4f} ' + ' '.join(map(str, words)))

    def write(self) -> None:
        """Write all lines."""
        self.path.write_text('\n'.join((*self.lines, '')))


@dataclass
class Program:
    """One process of the project, started like the platform starts it."""

    name: str
    role: str
    directory: Path
    settings: str
    callers: tuple[str, int] = (LOOPBACK, 0)
    readiness: tuple[str, int] = (LOOPBACK, 0)
    process: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> Path:
        """Return the file that holds the output of all its processes."""
        return self.directory / f'{self.name}.log'

    def start(self) -> None:
        """Start a process with the command of the deploy file."""
        path = self.directory / f'{self.name}.conf'
        path.write_text(self.settings)
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        environment = {
            name: os.environ[name] for name in _PASSED_ON if name in os.environ
        }
        environment['PYTHONPATH'] = 'target/deps'
        environment['OLEANDERDYKE_SETTINGS'] = str(path)
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(  # noqa: S603 - the deploy file's
                deploy['roles'][self.role]['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def restart(self) -> None:
        """Start the next process after one that has ended."""
        self.settings = self.settings.replace(
            'firstStart=true', 'firstStart=false'
        )
        self.start()

    def find_exit(self) -> int | None:
        """Return the exit code of the process, None while it runs."""
        return None if self.process is None else self.process.poll()

    def stop(self) -> None:
        """End the process and wait for it."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(_GRACE)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


@dataclass
class Stage:
    """A store with records, and the programs that use it."""

    store: RecordStore
    store_address: str
    directory: Path
    ports: Ports
    programs: list[Program] = field(default_factory=list)

    def start_entry(
        self, name: str, *, zone: str = ZONES[0], first: bool = True
    ) -> Program:
        """Start an entry with the command of the deploy file."""
        callers, readiness, links = (self.ports.reserve() for _ in range(3))
        program = Program(
            name,
            'oleander-entry',
            self.directory,
            _SETTINGS.format(
                name=name,
                role='oleander-entry',
                machine='front',
                zone=zone,
                links=links,
                first='true' if first else 'false',
                store=self.store_address,
            )
            + f'listen.front={LOOPBACK}:{callers}\n'
            + f'listen.ready={LOOPBACK}:{readiness}\n',
            (LOOPBACK, callers),
            (LOOPBACK, readiness),
        )
        return self._start(program)

    def start_agent(
        self, name: str, app: str, *, zone: str = ZONES[0]
    ) -> Program:
        """Start the agent of the replica at `app`."""
        program = Program(
            name,
            'oleander-agent',
            self.directory,
            _SETTINGS.format(
                name=name,
                role='oleander-agent',
                machine='side',
                zone=zone,
                links=self.ports.reserve(),
                first='true',
                store=self.store_address,
            )
            + f'app={app}\n',
        )
        return self._start(program)

    def _start(self, program: Program) -> Program:
        program.start()
        self.programs.append(program)
        return program

    async def wait_ready(self, program: Program, limit: float = 20.0) -> None:
        """Wait until an entry answers its readiness check with 200."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await _is_ready(program.readiness):
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(f'{program.name} is not ready')


@contextlib.asynccontextmanager
async def staging() -> AsyncGenerator[Stage, None]:
    """Serve an empty store; end all programs afterwards."""
    store = RecordStore()
    directory = Path(tempfile.mkdtemp(prefix='review-'))
    try:
        async with server.serving(store) as (address,):
            with Ports() as ports:
                stage = Stage(store, address, directory, ports)
                try:
                    yield stage
                finally:
                    for program in stage.programs:
                        await asyncio.to_thread(program.stop)
    finally:
        shutil.rmtree(directory, ignore_errors=True)


def make_server_record(address: str, **changes: Any) -> dict[str, Any]:
    """Build the entry that a replica writes to the list."""
    return {
        'service': 'taquilla',
        'address': address,
        'zone': 'sala-quito',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'coldRemainingMs': 0,
        'seq': 9,
        **changes,
    }


async def _is_ready(address: tuple[str, int]) -> bool:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(
            b'GET /api/readiness HTTP/1.1\r\nhost: x\r\n'
            b'connection: close\r\n\r\n'
        )
        async with asyncio.timeout(2):
            return b' 200 ' in await reader.readline()
    except TimeoutError:
        return False
    finally:
        writer.close()


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, mark, text = line.partition(':')
        if mark:
            headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Read a body with a length or in chunks; raise if it is cut off."""
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    body = b''
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return body
    while length := int(await reader.readuntil(b'\r\n'), 16):
        body += (await reader.readexactly(length + 2))[:-2]
    await reader.readuntil(b'\r\n')
    return body


async def send_call(
    address: tuple[str, int],
    path: str,
    request: str,
    *,
    method: str = 'POST',
    body: bytes = b'',
    deadline: int = 1_500,
    headers: dict[str, str] | None = None,
) -> tuple[int | None, dict[str, str], bytes]:
    """Send a request as a client; the status is None without an answer."""
    named = {
        'Host': HOST,
        'Oleanderdyke-Request-Id': request,
        'Oleanderdyke-Key': KEY,
        'Oleanderdyke-Deadline-Ms': str(deadline),
        'Content-Length': str(len(body)),
        **(headers or {}),
    }
    lines = ''.join(f'{name}: {text}\r\n' for name, text in named.items())
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return None, {}, b''
    try:
        writer.write(f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body)
        async with asyncio.timeout(deadline / 1000 + 1):
            first, found = await read_head(reader)
            return int(first.split()[1]), found, await read_body(reader, found)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None, {}, b''
    finally:
        writer.close()


def show(value: object) -> str:
    """Return JSON of a value on one line."""
    return json.dumps(value, sort_keys=True)
