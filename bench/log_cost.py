"""Measure what log lines cost an entry on the users' platform.

Run `python -m bench.log_cost`: the same calls at the same pace, in turns with
and without a log, to a real process each time. It ends every process that it
started.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import sys
from collections.abc import AsyncGenerator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio
from anyio.abc import Process

from oleanderdyke.clock import make_clock
from oleanderdyke.entry.hosted.shell import run_hosted_entry
from oleanderdyke.entry.main import make_parser
from oleanderdyke.events import Level
from oleanderdyke.logs import make_event_log
from oleanderdyke.platform.settings import HostSettings, find_host_settings
from tests.hosted import (
    CONFIGURATION,
    OPERATOR,
    SERVERS,
    SETTINGS,
    call,
    find_port,
    make_record,
)
from tests.processes import ROOT
from tests.standins import server
from tests.standins.records import RecordStore
from tests.standins.replica import Peer, serving_replica
from tests.standins.scripts import answer_well, stream

_DIRECTORY = ROOT / 'build' / 'log-cost'
_ROUNDS = 5
_SECONDS = 12
# Under the budget of the log, so that no line is dropped and each is paid for.
_CALLS_A_SECOND = 50
_WARM_CALLS = 50
_EVENTS = 20
_GRACE_SECONDS = 2
_START_SECONDS = 20
_OK = 200
_NS_PER_MICRO = 1e3
_WAYS = ('with', 'without')


@dataclass(frozen=True, slots=True)
class Run:
    """Hold what one run took; `processor` is in microseconds a call."""

    processor: float
    lines: float
    size: float


class Reader:
    """Read what an entry writes, as a collector does."""

    def __init__(self) -> None:
        self.data = bytearray()

    async def read(self, process: Process) -> None:
        """Read until the process ends."""
        assert process.stdout is not None
        async for piece in process.stdout:
            self.data += piece


def main(arguments: Sequence[str] | None = None) -> int:
    """Run in turns, and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=_ROUNDS)
    parser.add_argument('--silent', action='store_true', help='be the entry')
    options, rest = parser.parse_known_args(arguments)
    if options.silent:
        return _run_silent(rest)
    found: dict[str, list[Run]] = {way: [] for way in _WAYS}
    for number in range(options.rounds):
        # Which goes first changes, as the machine warms up and cools down.
        for way in _WAYS if number % 2 else reversed(_WAYS):
            run = anyio.run(_measure, way)
            found[way].append(run)
            print(
                f'{way:8} {run.processor:7.1f} us of processor a call, '
                f'{run.lines:.2f} lines, {run.size:.0f} bytes',
                flush=True,
            )
    _show(found)
    return 0


def _run_silent(arguments: Sequence[str]) -> int:
    """Be an entry that logs nothing."""
    parser = make_parser()
    path = parser.parse_args(arguments).settings
    settings = find_host_settings(path, os.environ)
    anyio.run(_serve_silent, settings)
    return 0


async def _serve_silent(settings: HostSettings) -> None:
    log = make_event_log(settings.process, Level.ERROR, make_clock())
    await run_hosted_entry(settings, log)


async def _measure(way: str) -> Run:
    async with _serving(way) as (address, process, reader):
        await _call_often(address, _WARM_CALLS)
        before, written = _read_processor(process), len(reader.data)
        count = _SECONDS * _CALLS_A_SECOND
        await _call_often(address, count)
        used = _read_processor(process) - before
        lines = bytes(reader.data[written:])
    return Run(used / count, lines.count(b'\n') / count, len(lines) / count)


async def _call_often(address: tuple[str, int], count: int) -> None:
    """Call at a fixed pace, whatever the answers take."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            due = started + number / _CALLS_A_SECOND
            await anyio.sleep(max(due - loop.time(), 0))
            path = '/stream/1' if number % 2 else '/once/1'
            tasks.start_soon(_call, address, path, f'req-{number}')


async def _call(address: tuple[str, int], path: str, request: str) -> None:
    found = await call(address, path, oleanderdyke_request_id=request)
    assert found.status == _OK, found


@asynccontextmanager
async def _serving(
    way: str,
) -> AsyncGenerator[tuple[tuple[str, int], Process, Reader], None]:
    """Run an entry before two servers, which answer at once."""
    _DIRECTORY.mkdir(parents=True, exist_ok=True)
    store = RecordStore()
    store.put(OPERATOR, 'config', CONFIGURATION)
    callers, readiness = find_port(), find_port()
    async with AsyncExitStack() as stack:
        (where,) = await stack.enter_async_context(server.serving(store))
        for number in range(2):
            _, address = await stack.enter_async_context(
                serving_replica(_answer)
            )
            store.put(SERVERS, f'i-{number}', make_record(address))
        path = _DIRECTORY / 'boot.conf'
        path.write_text(
            SETTINGS.format(
                version_limit=15_000,
                store=where,
                callers=callers,
                readiness=readiness,
                grace=_GRACE_SECONDS,
            )
        )
        tasks = await stack.enter_async_context(anyio.create_task_group())
        process = await stack.enter_async_context(_start(way, path))
        reader = Reader()
        tasks.start_soon(reader.read, process)
        await _wait_ready(('127.0.0.1', readiness))
        yield ('127.0.0.1', callers), process, reader
        process.terminate()
        await process.wait()


async def _answer(peer: Peer) -> None:
    if peer.request.target.startswith('/stream'):
        await stream(1, _EVENTS)(peer)
    else:
        await answer_well(peer)


@asynccontextmanager
async def _start(way: str, settings: Path) -> AsyncGenerator[Process, None]:
    module = 'oleanderdyke.entry.main'
    options = ['--platform']
    if way == 'without':
        module, options = 'bench.log_cost', ['--silent', '--platform']
    command = [sys.executable, '-m', module, *options]
    env = {**os.environ, 'OLEANDERDYKE_SETTINGS': str(settings)}
    async with await anyio.open_process(
        command, cwd=ROOT, env=env, stderr=None
    ) as process:
        yield process


async def _wait_ready(address: tuple[str, int]) -> None:
    with anyio.fail_after(_START_SECONDS):
        while True:
            try:
                found = await call(address, '/api/readiness', method='GET')
            except OSError:
                found = None
            if found is not None and found.status == _OK:
                return
            await anyio.sleep(0.05)


def _read_processor(process: Process) -> float:
    text = Path(f'/proc/{process.pid}/schedstat').read_text()
    return int(text.split()[0]) / _NS_PER_MICRO


def _show(found: dict[str, list[Run]]) -> None:
    medians = {}
    for way, runs in found.items():
        used = [run.processor for run in runs]
        medians[way] = statistics.median(used)
        print(
            f'{way:8} median {medians[way]:.1f}, '
            f'{min(used):.1f} to {max(used):.1f} us of processor a call'
        )
    lines = statistics.mean(run.lines for run in found['with'])
    size = statistics.mean(run.size for run in found['with'])
    cost = medians['with'] - medians['without']
    print(
        f'{cost:.1f} us a call for {lines:.2f} lines of {size / lines:.0f} '
        f'bytes: {cost / lines:.1f} us a line, {cost / medians["with"]:.3f} '
        'of all'
    )


if __name__ == '__main__':
    raise SystemExit(main())
