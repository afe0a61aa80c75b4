"""Entries of a data centre share reads of the platform's store."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import AsyncGenerator
from dataclasses import dataclass
from random import Random

import anyio
import pytest

from oleanderdyke.clock import make_clock
from oleanderdyke.entry.hosted import peer_sharing, presence
from oleanderdyke.entry.hosted.core import HostedCore, make_hosted_core
from oleanderdyke.entry.hosted.shell import HostedShell
from oleanderdyke.kernel.neighbours import RECORD_SOURCE
from oleanderdyke.logs import make_event_log
from oleanderdyke.platform.settings import parse_host_settings
from tests.hosted import CONFIGURATION, OPERATOR, SERVERS, make_record
from tests.processes import Ports
from tests.standins import server
from tests.standins.records import RecordStore

pytestmark = pytest.mark.anyio

_ENTRIES = 4
_SETTINGS = """nodeName=front-{number}
zone=hall
ip=127.0.0.1
platform.address={store}
listen.front=127.0.0.1:{callers}
listen.ready=127.0.0.1:{readiness}
portRange={links},{links}
firstStart=false
"""
_SETTLED = 10
_APPLIED = 2


@dataclass
class Entry:
    core: HostedCore
    scope: anyio.CancelScope

    @property
    def name(self) -> str:
        return self.core.settings.process

    def find_reader(self) -> str:
        """Return the entry that reads for this one, itself if none does."""
        neighbours = self.core.peers.neighbours
        found = neighbours.find_reader(RECORD_SOURCE, self.core.clock.now())
        return self.name if found is None else found.name


def make_core(tmp_path, address, ports, number) -> HostedCore:
    callers, readiness, links = (ports.reserve() for _ in range(3))
    text = _SETTINGS.format(
        number=number,
        store=address,
        callers=callers,
        readiness=readiness,
        links=links,
    )
    path = tmp_path / f'front-{number}.conf'
    path.write_text(text)
    stream = (tmp_path / f'front-{number}.log').open('w', buffering=1)
    log = make_event_log(f'front-{number}', stream=stream)
    settings = parse_host_settings(text, str(path))
    return make_hosted_core(settings, make_clock(), log, Random(number))


@contextlib.asynccontextmanager
async def running_entries(
    tmp_path, monkeypatch
) -> AsyncGenerator[tuple[RecordStore, list[Entry]], None]:
    """Run entries, and yield once all are linked to the reading one."""
    monkeypatch.setattr(peer_sharing, '_LINKS_IMPORT_DELAY', 50.0)
    monkeypatch.setattr(presence, '_INITIAL_PERIODS', (300.0, 300.0))
    store = RecordStore()
    store.put(OPERATOR, 'config', CONFIGURATION)
    store.put(SERVERS, 'i-0', make_record('127.0.0.1:9'))
    async with contextlib.AsyncExitStack() as stack:
        (address,) = await stack.enter_async_context(server.serving(store))
        ports = stack.enter_context(Ports())
        tasks = await stack.enter_async_context(anyio.create_task_group())
        entries = []
        for number in range(_ENTRIES):
            core = make_core(tmp_path, address, ports, number)
            entry = Entry(core, anyio.CancelScope())
            entries.append(entry)
            tasks.start_soon(run_entry, entry)
        with anyio.fail_after(_SETTLED):
            while not are_linked(entries):
                await anyio.sleep(0.05)
        yield store, entries
        tasks.cancel_scope.cancel()


async def run_entry(entry: Entry) -> None:
    with entry.scope:
        await HostedShell(entry.core).run()


def are_linked(entries) -> bool:
    reader = entries[0].find_reader()
    for entry in entries:
        if entry.find_reader() != reader:
            return False
        links = entry.core.peers.reader
        if entry.name != reader and links._find_link(reader) is None:
            return False
    return True


async def wait_applied(entries, version) -> None:
    with anyio.fail_after(_APPLIED):
        while any(each.core.deployment.version < version for each in entries):
            await anyio.sleep(0.01)


def count_reads(store) -> Counter[str]:
    """Count reads by topic from now on."""
    answer, reads = store.answer, Counter()

    async def record(request):
        if request.path == '/api/log-read':
            reads[request.query['topic']] += 1
        return await answer(request)

    store.answer = record
    return reads


async def test_entries_share_the_reads_of_one_of_them(tmp_path, monkeypatch):
    async with running_entries(tmp_path, monkeypatch) as (store, entries):
        # An entry asked to read before it knew the others reads for 3 s more.
        await anyio.sleep(4)
        reads = count_reads(store)
        await anyio.sleep(3)
        # One reader asks for the list every 600 ms, and its long reads end each
        # second; four would make twenty and twelve.
        assert reads[SERVERS] <= 6
        assert reads[OPERATOR] <= 4
        store.put(OPERATOR, 'config', {**CONFIGURATION, 'version': 8})
        await wait_applied(entries, 8)


async def test_loss_of_the_reading_entry_delays_no_configuration(
    tmp_path, monkeypatch
):
    async with running_entries(tmp_path, monkeypatch) as (store, entries):
        name = entries[0].find_reader()
        for entry in entries:
            if entry.name == name:
                entry.scope.cancel()
        others = [entry for entry in entries if entry.name != name]
        store.put(OPERATOR, 'config', {**CONFIGURATION, 'version': 8})
        await wait_applied(others, 8)


async def test_entry_refused_by_the_store_reads_from_its_peers(
    tmp_path, monkeypatch
):
    async with running_entries(tmp_path, monkeypatch) as (store, entries):
        name = entries[0].find_reader()
        (reader,) = (entry for entry in entries if entry.name == name)
        refuse_reads(reader, monkeypatch)
        store.put(OPERATOR, 'config', {**CONFIGURATION, 'version': 8})
        await wait_applied(entries, 8)
        store.put(OPERATOR, 'config', {**CONFIGURATION, 'version': 9})
        await wait_applied(entries, 9)


def refuse_reads(entry, monkeypatch) -> None:
    """Let the store refuse one entry, and answer all others."""
    from oleanderdyke.platform.store import StoreClient, StoreUnavailable

    read = StoreClient._read_once

    async def refuse(client, topic, start):
        sharing = client._sharing
        if sharing is not None and sharing._reader is entry.core.peers.reader:
            raise StoreUnavailable('answered with 503')
        return await read(client, topic, start)

    monkeypatch.setattr(StoreClient, '_read_once', refuse)
