"""Run and control a deployment of real processes on loopback."""

from __future__ import annotations

import functools
import itertools
import os
import subprocess
import sys
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import httpcore
import yaml

from oleanderdyke.links.messages import BackendKind
from oleanderdyke.settings import load_settings
from tests.calls import call
from tests.processes import (
    LOOPBACK,
    ROOT,
    Child,
    NotMet,
    Ports,
    accepts,
    wait_until,
)

EXAMPLES = ROOT / 'examples'
OPERATOR_TOKEN = 'example-admin'
_BATCH = 4
_CTL_SECONDS = 30
_READY = 200
_LOST = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class Backends:
    """Describe the backend servers of one service or one store."""

    kind: BackendKind
    service: str
    count: int = 1


@dataclass(frozen=True, slots=True)
class Layout:
    """Describe the processes of a deployment and the stand-in settings."""

    name: str
    region: str
    data_centres: tuple[str, ...]
    backends: tuple[Backends, ...]
    standins: dict[str, dict[str, Any]] = field(default_factory=dict)


@dataclass(slots=True)
class Server:
    """Pair an agent with its backend server."""

    name: str
    kind: BackendKind
    service: str
    data_centre: str
    agent: Child
    agent_address: str
    backend: Child
    address: str


@dataclass(slots=True)
class Entry:
    """Hold an entry process and the address that callers use."""

    name: str
    child: Child
    address: str


def load_layout(name: str) -> Layout:
    """Read the layout of an example deployment."""
    return load_settings(EXAMPLES / name / 'layout.yaml', Layout)


class Deployment:
    """Run the processes of one deployment; leaving the context kills them all.

    With `shared`, the backend servers of a kind run in one process and cannot
    be killed individually. `options` overrides settings by kind of process.
    """

    def __init__(
        self,
        layout: Layout,
        directory: Path,
        *,
        entries: int = 3,
        shared: bool = False,
        options: Mapping[str, Mapping[str, Any]] | None = None,
    ) -> None:
        self.layout = layout
        self.directory = directory
        self.entries: list[Entry] = []
        self.servers: list[Server] = []
        self.platform: dict[str, str] = {}
        self.children: dict[str, Child] = {}
        self._ports = Ports()
        self._entry_count = entries
        self._shared = shared
        self._options = options or {}

    def __enter__(self) -> Self:
        self.directory.mkdir(parents=True, exist_ok=True)
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Kill the processes that are still running, by process id."""
        for child in self.children.values():
            child.kill()
        self._ports.close()

    def stop(self) -> dict[str, int]:
        """Stop entries, then agents, gracefully; return the exit codes."""
        codes = stop_all([entry.child for entry in self.entries])
        return codes | stop_all([server.agent for server in self.servers])

    def find(self, service: str) -> list[Server]:
        """Return the servers of a service or store."""
        return [item for item in self.servers if item.service == service]

    def set_faults(self, address: str, **faults: Any) -> None:
        """Replace the faults of a stand-in."""
        reply = call(address, 'PUT', '/faults', faults)
        if reply.status != _READY:
            raise NotMet(f'{address} refused faults: {reply.body!r}')

    def read_stats(self, address: str) -> Any:
        """Return the counters of a stand-in."""
        return call(address, 'GET', '/stats').json

    def is_live(self, entry: Entry) -> bool:
        """Return whether an entry passes its liveness check."""
        return self._check(entry, '/live')

    def is_ready(self, entry: Entry) -> bool:
        """Return whether an entry reports that it is ready."""
        return self._check(entry, '/ready')

    def _check(self, entry: Entry, path: str) -> bool:
        try:
            return call(entry.address, 'GET', path).status == _READY
        except _LOST:
            return False

    def wait_ready(self, *, seconds: float = 30.0) -> None:
        """Wait until every entry is ready."""
        for entry in self.entries:
            wait_until(
                functools.partial(self.is_ready, entry),
                f'{entry.name} is ready',
                seconds=seconds,
            )

    def run_ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run oleanderctl as the example operator; return its result."""
        entries = [f'http://{entry.address}' for entry in self.entries]
        environ = {
            **os.environ,
            'OLEANDER_ENTRY': ','.join(entries),
            'OLEANDER_TOKEN': OPERATOR_TOKEN,
        }
        return subprocess.run(
            [sys.executable, '-m', 'oleanderdyke.ctl.main', *arguments],
            cwd=ROOT,
            env=environ,
            capture_output=True,
            text=True,
            timeout=_CTL_SECONDS,
            check=False,
        )

    def list_logs(self) -> list[str]:
        """Return the log file paths of entries and agents."""
        children = [entry.child for entry in self.entries]
        children += [server.agent for server in self.servers]
        return [str(child.log) for child in children]

    def _start(self) -> None:
        self._start_platform()
        self._start_backends()
        self._publish_vms()
        self._start_daemons()

    def _start_platform(self) -> None:
        for name in ('log', 'vms', 'weights'):
            self._add_standin(name, name, 1)
        for name in ('log', 'vms', 'weights'):
            self.platform[name] = self.children[name].wait_ready()[0]

    def _start_backends(self) -> None:
        started = list(self._add_backends())
        addresses = [
            address
            for child, count in started
            for address in child.wait_ready(count)
        ]
        children = [child for child, count in started for _ in range(count)]
        places = itertools.cycle(self.layout.data_centres)
        wanted = [
            (item, number)
            for item in self.layout.backends
            for number in range(item.count)
        ]
        for (item, number), child, address in zip(
            wanted, children, addresses, strict=True
        ):
            self._add_server(item, number, next(places), child, address)

    def _add_backends(self) -> Iterator[tuple[Child, int]]:
        for item in self.layout.backends:
            count = item.count if self._shared else 1
            for number in range(item.count // count):
                name = f'{item.kind}-{item.service}-{number}'
                yield self._add_standin(name, item.kind.value, count), count

    def _add_standin(self, name: str, kind: str, count: int) -> Child:
        options = dict(self.layout.standins.get(kind, {}))
        options |= self._options.get(kind, {})
        if kind == 'engine':
            options['weights'] = self.platform['weights']
        argv = ['-m', f'tests.standins.{kind}']
        for _ in range(count):
            argv += ['--port', str(self._ports.reserve())]
        for key, found in options.items():
            argv += [f'--{key.replace("_", "-")}', str(found)]
        return self._start_child(name, argv)

    def _add_server(
        self,
        item: Backends,
        number: int,
        data_centre: str,
        child: Child,
        address: str,
    ) -> None:
        name = f'{item.service}-{number}'
        port = self._ports.reserve()
        settings = {
            'process': name,
            'data_centre': data_centre,
            'backend': {'address': address, 'service': item.service},
            'listen': {'port': port},
        }
        template = f'agent-{item.kind}.yaml'
        path = self._write_settings(name, template, settings, 'agent')
        agent = self._make_child(
            name, ['-m', 'oleanderdyke.agent.main', '--settings', str(path)]
        )
        self.servers.append(
            Server(
                name=name,
                kind=item.kind,
                service=item.service,
                data_centre=data_centre,
                agent=agent,
                agent_address=f'{LOOPBACK}:{port}',
                backend=child,
                address=address,
            )
        )

    def _publish_vms(self) -> None:
        vms = [
            {
                'name': server.name,
                'address': server.agent_address,
                'data_centre': server.data_centre,
                'leaving': False,
            }
            for server in self.servers
        ]
        call(self.platform['vms'], 'PUT', '/vms', vms)

    def _start_daemons(self) -> None:
        for number in range(self._entry_count):
            self._add_entry(number)
        waiting = [
            (server.agent, server.agent_address) for server in self.servers
        ]
        waiting += [(entry.child, entry.address) for entry in self.entries]
        for start in range(0, len(waiting), _BATCH):
            batch = waiting[start : start + _BATCH]
            for child, _ in batch:
                child.start()
            for child, address in batch:
                wait_listening(child, address)

    def _add_entry(self, number: int) -> None:
        places = self.layout.data_centres
        place = places[number % len(places)]
        name = f'entry-{place}-{number // len(places)}'
        port = self._ports.reserve()
        settings = {
            'process': name,
            'data_centre': place,
            'http': {'port': port},
            'log': {'address': self.platform['log']},
            'vms': {'address': self.platform['vms']},
            'policies': {'entries': self._entry_count},
        }
        path = self._write_settings(name, 'entry.yaml', settings, 'entry')
        child = self._make_child(
            name, ['-m', 'oleanderdyke.entry.main', '--settings', str(path)]
        )
        self.entries.append(Entry(name, child, f'{LOOPBACK}:{port}'))

    def _write_settings(
        self, name: str, template: str, settings: Mapping[str, Any], kind: str
    ) -> Path:
        source = EXAMPLES / self.layout.name / template
        merged = merge(yaml.safe_load(source.read_text()), settings)
        merged = merge(merged, self._options.get(kind, {}))
        path = self.directory / f'{name}.yaml'
        path.write_text(yaml.safe_dump(merged, sort_keys=False))
        return path

    def _start_child(self, name: str, argv: Sequence[str]) -> Child:
        child = self._make_child(name, argv)
        child.start()
        return child

    def _make_child(self, name: str, argv: Sequence[str]) -> Child:
        child = Child(name, argv, self.directory)
        for path in (child.output, child.log):
            path.unlink(missing_ok=True)
        self.children[name] = child
        return child


def merge(base: Mapping[str, Any], over: Mapping[str, Any]) -> dict[str, Any]:
    """Merge a settings tree into another; values of `over` win."""
    merged = dict(base)
    for key, found in over.items():
        below = merged.get(key)
        if isinstance(found, Mapping) and isinstance(below, Mapping):
            merged[key] = merge(below, found)
        else:
            merged[key] = found
    return merged


def wait_listening(child: Child, address: str) -> None:
    """Wait until a process accepts connections; raise NotMet if it exits."""

    def check() -> bool:
        if not child.running:
            raise NotMet(f'{child.name} exited: {_read_log_tail(child.log)}')
        return accepts(address)

    wait_until(check, f'{child.name} listens')


def stop_all(children: Sequence[Child]) -> dict[str, int]:
    """Request the shutdown of all processes, then return their exit codes."""
    for child in children:
        child.terminate()
    return {child.name: child.wait() for child in children}


def _read_log_tail(path: Path) -> str:
    return path.read_text(errors='replace')[-600:]
