"""Start a region of real processes with many teams in the log."""

from __future__ import annotations

import functools
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import cbor2
import yaml

from bench.memory import make_team
from oleanderdyke.kernel.objects import SPEC_TYPES, Change, ObjectKind, Spec
from oleanderdyke.kernel.records import encode_change
from oleanderdyke.links.messages import BackendKind
from oleanderdyke.settings import structure_document
from tests.calls import call
from tests.deployment import (
    EXAMPLES,
    OPERATOR_TOKEN,
    Backends,
    Deployment,
    Entry,
    Layout,
    Server,
    wait_listening,
)
from tests.processes import Child, NotMet, wait_until

CONFIGURATION = '/logs/configuration'
_EXAMPLE = 'agency'
_RECORDS_PER_APPEND = 500
_PARALLEL_STARTS = 4
_SERVERS_PER_STANDIN = 34
_POLL_SECONDS = 0.5
_TIMEOUT_SECONDS = 120.0


def make_layout(engines: int, plains: int, stores: int) -> Layout:
    """Return the layout of one region with the given numbers of servers."""
    return Layout(
        name=_EXAMPLE,
        region='sierra-norte',
        data_centres=('dc-1', 'dc-2', 'dc-3', 'dc-4'),
        backends=(
            Backends(BackendKind.ENGINE, 'asistente', engines),
            Backends(BackendKind.PLAIN, 'taquilla', plains),
            Backends(BackendKind.STORE, 'memoria-reglas', stores),
        ),
        standins={'engine': {'decode_ms': 10}},
    )


class Region(Deployment):
    """A deployment that starts all agents first and entries on request."""

    def __init__(self, layout: Layout, directory: Path, *, teams: int) -> None:
        super().__init__(layout, directory, entries=0, shared=True)
        self._teams = teams
        self.appends = 0
        self.fill_seconds = 0.0

    def _add_backends(self) -> Iterator[tuple[Child, int]]:
        """Split the backend servers of a service among several processes."""
        for item in self.layout.backends:
            for start in range(0, item.count, _SERVERS_PER_STANDIN):
                count = min(_SERVERS_PER_STANDIN, item.count - start)
                name = f'{item.kind}-{item.service}-{start}'
                yield self._add_standin(name, item.kind.value, count), count

    def _start_own(self) -> None:
        self._fill_log()
        for start in range(0, len(self.servers), _PARALLEL_STARTS):
            batch = self.servers[start : start + _PARALLEL_STARTS]
            for server in batch:
                server.agent.start()
            for server in batch:
                wait_listening(server.agent, server.agent_address)

    def _fill_log(self) -> None:
        """Append every object to the log, several records per append."""
        started = time.monotonic()
        records = list(_list_records(self._teams))
        for start in range(0, len(records), _RECORDS_PER_APPEND):
            self._append(records[start : start + _RECORDS_PER_APPEND])
        self.fill_seconds = time.monotonic() - started

    def _append(self, records: Sequence[bytes]) -> None:
        body = cbor2.dumps(list(records))
        wait_until(
            lambda: self._post(body), 'the log takes an append', seconds=30
        )
        self.appends += 1

    def _post(self, body: bytes) -> bool:
        reply = call(self.platform['log'], 'POST', CONFIGURATION, body)
        return reply.status == 200

    def add_entry(self) -> Entry:
        """Start one more entry without waiting until it is ready."""
        self._add_entry(len(self.entries))
        entry = self.entries[-1]
        entry.child.start()
        return entry

    def wait_entry_ready(self, entry: Entry) -> None:
        """Wait until an entry is ready."""
        wait_listening(entry.child, entry.address)
        wait_until(
            functools.partial(self.is_ready, entry),
            f'{entry.name} is ready',
            seconds=_TIMEOUT_SECONDS,
        )

    def read_status(self, entry: Entry, offset: int | None = None) -> Any:
        """Return the status that an entry reports on its admin interface."""
        query = '' if offset is None else f'?offset={offset}'
        path = f'/admin/v1/status{query}'
        return call(entry.address, 'GET', path, token=OPERATOR_TOKEN).json

    def wait_configuration(self, entry: Entry, offset: int) -> None:
        """Wait until an entry sees a configuration offset at every process.

        Raises `NotMet` after the timeout.
        """
        wanted = len(self.servers) + 1
        limit = time.monotonic() + _TIMEOUT_SECONDS
        while time.monotonic() < limit:
            reach = self.read_status(entry, offset)['reach']
            if reach['have'] == reach['total'] == wanted:
                return
            # Poll slowly: a status request costs the entry some milliseconds.
            time.sleep(_POLL_SECONDS)
        raise NotMet(
            f'configuration offset {offset} is not at all {wanted} processes: '
            f'{reach}'
        )

    def publish(self, entry: Entry, changes: Sequence[Any]) -> int:
        """Publish changes through an entry; return the highest offset.

        Raises `ValueError` if the entry refuses them.
        """
        reply = call(
            entry.address,
            'POST',
            '/admin/v1/changes',
            {'changes': list(changes)},
            token=OPERATOR_TOKEN,
        )
        if reply.status != 200:
            raise ValueError(
                f'publishing failed with status {reply.status}: {reply.body!r}'
            )
        return max(int(each['offset']) for each in reply.json['outcomes'])

    @property
    def agent_ports(self) -> frozenset[int]:
        """Return the ports that agents listen on."""
        return frozenset(_get_port(each) for each in self.servers)


def _get_port(server: Server) -> int:
    return int(server.agent_address.rpartition(':')[2])


def _list_records(teams: int) -> Iterator[bytes]:
    for number, (kind, name, spec) in enumerate(_list_objects(teams)):
        change = Change(f'{number:032x}', 'example', kind, name, 0, spec, 1.0)
        yield encode_change(change)


def _list_objects(teams: int) -> Iterator[tuple[ObjectKind, str, Spec]]:
    path = EXAMPLES / _EXAMPLE / 'configuration.yaml'
    for document in yaml.safe_load_all(path.read_text()):
        kind = ObjectKind(document['kind'])
        spec = structure_document(
            document['spec'], SPEC_TYPES[kind], source=str(path)
        )
        yield kind, document['name'], spec
    for number in range(teams):
        yield ObjectKind.TEAM, f'team-{number:05}', make_team(number)
