"""Entries of two data centres exchange their work over real links.

The load is that of entries that each see a part of the requests; one of them
dies, stops reporting while its links stay open, or has no links.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator, Callable
from random import Random

import anyio
import pytest

from oleanderdyke.clock import make_clock
from oleanderdyke.entry.hosted import peer_sharing
from oleanderdyke.entry.hosted import scheduler as scheduler_module
from oleanderdyke.entry.hosted.core import HostedCore, make_hosted_core
from oleanderdyke.entry.hosted.scheduler import Scheduler, make_scheduler
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.kernel.neighbours import RECORD_SOURCE
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.links.messages import Hello
from oleanderdyke.logs import make_event_log
from oleanderdyke.metrics import Count
from oleanderdyke.platform.settings import parse_host_settings
from tests.processes import Ports

pytestmark = pytest.mark.anyio

_SETTINGS = """nodeName=front-{number}
zone=hall-{zone}
ip=127.0.0.1
platform.address=127.0.0.1:9
listen.front=127.0.0.1:9
listen.ready=127.0.0.1:9
{links}
firstStart=false
"""
_START = ServerStart('i-0', 5)
_SETTLED = 10
# Stated in the design note: 1.5 s, and 50 ms until the next check.
_LAPSED = 1.55
# A silent reader is passed over after 1 s; its successor is linked at once.
_REPLACED = 3


class Entry:
    """One entry without a store."""

    def __init__(self, number: int, address: str, log_path) -> None:
        text = _SETTINGS.format(
            number=number,
            zone=number % 2,
            links=f'portRange={address},{address}' if address else '',
        )
        stream = log_path.open('w', buffering=1)
        self.core: HostedCore = make_hosted_core(
            parse_host_settings(text, ''),
            make_clock(),
            make_event_log('front', stream=stream),
            Random(number),
        )
        self.scheduler: Scheduler = make_scheduler(self.core)
        self.scope = anyio.CancelScope()
        self.reports = anyio.CancelScope()
        self._make_hello = self.core.peers.make_hello
        self.core.peers.make_hello = self.make_hello

    def make_hello(self) -> Hello:
        if self.reports.cancel_called:
            raise OleanderError(ErrorKind.BACKEND_LOST, 'frozen')
        return self._make_hello()

    def freeze(self) -> None:
        """Send nothing more over open links, and accept no others."""
        self.reports.cancel()

    async def run(self) -> None:
        core = self.core
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(core.peers.run, core.log, core.random)
                with self.reports:
                    await self.scheduler.run()

    def is_reader(self) -> bool:
        neighbours = self.core.peers.neighbours
        return neighbours.find_reader(RECORD_SOURCE, self.now()) is None

    def now(self) -> float:
        return self.core.clock.now()

    def count_runs(self) -> int:
        return self.scheduler.view.find_work(_START, self.now()).runs

    def begin(self) -> None:
        self.scheduler.account.begin(_START, 'one', unread=9, memory=9)


async def meet(entries) -> None:
    while True:
        for entry in entries:
            for other in entries:
                if not other.scope.cancel_called:
                    entry.core.peers.neighbours.record_alive(
                        other.core.peers.own, entry.now()
                    )
        await anyio.sleep(0.2)


@contextlib.asynccontextmanager
async def running(tmp_path, monkeypatch) -> AsyncGenerator[list[Entry], None]:
    """Run three entries in each of two data centres, one run at each."""
    monkeypatch.setattr(peer_sharing, '_LINKS_IMPORT_DELAY', 50.0)
    with Ports() as ports:
        entries = [
            Entry(number, ports.reserve(), tmp_path / f'{number}.log')
            for number in range(6)
        ]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(meet, entries)
            for entry in entries:
                tasks.start_soon(entry.run)
                entry.begin()
            await wait(lambda: all_count(entries, 6), _SETTLED)
            yield entries
            tasks.cancel_scope.cancel()


def all_count(entries, runs) -> bool:
    return all(entry.count_runs() == runs for entry in entries)


async def wait(holds: Callable[[], bool], seconds: float) -> None:
    with anyio.fail_after(seconds):
        while not holds():
            await anyio.sleep(0.01)


async def test_work_reaches_all_entries_of_both_data_centres_once(
    tmp_path, monkeypatch
):
    async with running(tmp_path, monkeypatch) as entries:
        for _ in range(150):
            await anyio.sleep(0.01)
            assert all_count(entries, 6)
        entries[3].scheduler.account.end('one')
        # Three hops and the wait of a report at each.
        await wait(lambda: all_count(entries, 5), 0.5)
        for entry in entries:
            metrics = entry.core.metrics
            assert metrics.read_count(Count.WORK_BYTES, 'sent') > 0
            assert metrics.read_count(Count.WORK_REPORTS, 'received') > 0
        assert sum(each.is_reader() for each in entries) == 2


async def test_work_of_an_entry_that_dies_lapses(tmp_path, monkeypatch):
    async with running(tmp_path, monkeypatch) as entries:
        dead = next(each for each in entries if not each.is_reader())
        dead.scope.cancel()
        rest = [each for each in entries if each is not dead]
        await wait(lambda: all_count(rest, 5), _LAPSED + 0.2)


async def test_a_reader_that_freezes_is_replaced(tmp_path, monkeypatch):
    async with running(tmp_path, monkeypatch) as entries:
        silent = next(each for each in entries if each.is_reader())
        silent.freeze()
        rest = [each for each in entries if each is not silent]
        await wait(lambda: all_count(rest, 5), _REPLACED)
        for _ in range(300):
            await anyio.sleep(0.01)
            assert all_count(rest, 5)


async def test_without_links_own_work_counts(tmp_path):
    entry = Entry(0, '', tmp_path / 'log')
    entry.begin()
    assert entry.count_runs() == 1
    assert entry.scheduler.view.find_age(entry.now()) > 1e9


@pytest.mark.parametrize('name', ['_exchange_work', 'record_work'])
async def test_a_fault_in_a_task_does_not_end_the_entry(
    tmp_path, monkeypatch, name
):
    monkeypatch.setattr(scheduler_module, '_RESTART_DELAY', 10.0)
    entry = Entry(0, '', tmp_path / 'log')
    calls = 0

    def fail(*_) -> None:
        nonlocal calls
        calls += 1
        raise OverflowError('too large')

    monkeypatch.setattr(entry.scheduler, name, fail)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.run)
        await wait(lambda: calls == 3, _SETTLED)
        tasks.cancel_scope.cancel()
    lines = (tmp_path / 'log').read_text().splitlines()
    failed = [line for line in lines if 'event=process_failed' in line]
    assert len(failed) >= 2
    assert 'OverflowError' in failed[0]
