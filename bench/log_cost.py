"""Measure the cost of logging in an entry on the users' platform.

Run `python -m bench.log_cost`. It sends the same calls at the same rate
alternately to two entry processes, one of which does not log. All processes
that it starts are stopped.
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
    call,
    format_settings,
    make_record,
)
from tests.processes import ROOT, Ports
from tests.standins import server
from tests.standins.records import RecordStore
from tests.standins.replica import Peer, serving_replica
from tests.standins.scripts import answer_well, stream

_DIRECTORY = ROOT / 'build' / 'log-cost'
_ROUNDS = 5
# One-second turns, so that other work on the machine slows both equally.
_TURN_COUNT = 15
# Below the rate limit of the log: no line is dropped, so the cost of every
# line is measured.
_CALLS_A_SECOND = 50
_WARM_CALLS = 50
_EVENTS = 20
_GRACE_SECONDS = 2
_START_SECONDS = 20
_OK_STATUS = 200
_NS_PER_MICRO = 1e3
_VARIANTS = ('with', 'without')


@dataclass(frozen=True, slots=True)
class Run:
    """Processor time in microseconds, log lines and log bytes.

    Totals since the process start, or means per call.
    """

    processor: float
    lines: float
    size: float

    def per_call_since(self, before: Run) -> Run:
        """Return the means per call since an earlier reading."""
        count = _TURN_COUNT * _CALLS_A_SECOND
        return Run(
            (self.processor - before.processor) / count,
            (self.lines - before.lines) / count,
            (self.size - before.size) / count,
        )


class EntryProcess:
    """An entry process whose log output is read as a collector would."""

    def __init__(self, address: tuple[str, int], process: Process) -> None:
        self.address = address
        self._process = process
        self._lines = 0
        self._size = 0

    async def follow(self) -> None:
        """Count the log output until the process ends."""
        assert self._process.stdout is not None
        async for piece in self._process.stdout:
            self._lines += piece.count(b'\n')
            self._size += len(piece)

    def read(self) -> Run:
        """Return the totals since the process start."""
        text = Path(f'/proc/{self._process.pid}/schedstat').read_text()
        used = int(text.split()[0]) / _NS_PER_MICRO
        return Run(used, self._lines, self._size)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the rounds and print a summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=_ROUNDS)
    parser.add_argument(
        '--silent',
        action='store_true',
        help='run as the entry that does not log',
    )
    options, rest = parser.parse_known_args(arguments)
    if options.silent:
        return _run_silent(rest)
    rounds = [anyio.run(_measure) for _ in range(options.rounds)]
    _print_summary(rounds)
    return 0


def _run_silent(arguments: Sequence[str]) -> int:
    """Run an entry that does not log."""
    parser = make_parser()
    path = parser.parse_args(arguments).settings
    settings = find_host_settings(path, os.environ)
    anyio.run(_serve_silent, settings)
    return 0


async def _serve_silent(settings: HostSettings) -> None:
    log = make_event_log(settings.process, Level.ERROR, make_clock())
    await run_hosted_entry(settings, log)


async def _measure() -> dict[str, Run]:
    """Start both entries and call them alternately for a second each."""
    async with AsyncExitStack() as stack:
        served = {
            variant: await stack.enter_async_context(_running_entry(variant))
            for variant in _VARIANTS
        }
        for each in served.values():
            await _send_calls(each, _WARM_CALLS)
        before = {variant: each.read() for variant, each in served.items()}
        for _ in range(_TURN_COUNT):
            for each in served.values():
                await _send_calls(each, _CALLS_A_SECOND)
        runs = {
            variant: each.read().per_call_since(before[variant])
            for variant, each in served.items()
        }
    for variant, run in runs.items():
        print(
            f'{variant:8} {run.processor:7.1f} us of processor a call, '
            f'{run.lines:.2f} lines, {run.size:.0f} bytes',
            flush=True,
        )
    return runs


async def _send_calls(served: EntryProcess, count: int) -> None:
    """Send calls at a fixed rate, regardless of the response times."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            due = started + number / _CALLS_A_SECOND
            await anyio.sleep(max(due - loop.time(), 0))
            path = '/stream/1' if number % 2 else '/once/1'
            tasks.start_soon(_call, served.address, path, f'req-{number}')


async def _call(address: tuple[str, int], path: str, request: str) -> None:
    response = await call(address, path, oleanderdyke_request_id=request)
    assert response.status == _OK_STATUS, response


@asynccontextmanager
async def _running_entry(variant: str) -> AsyncGenerator[EntryProcess, None]:
    """Run an entry in front of two servers that answer immediately."""
    _DIRECTORY.mkdir(parents=True, exist_ok=True)
    store = RecordStore()
    store.put(OPERATOR, 'config', CONFIGURATION)
    async with AsyncExitStack() as stack:
        ports = stack.enter_context(Ports())
        caller_port, readiness_port = ports.reserve(), ports.reserve()
        (store_address,) = await stack.enter_async_context(
            server.serving(store)
        )
        for number in range(2):
            _, address = await stack.enter_async_context(
                serving_replica(_answer)
            )
            store.put(SERVERS, f'i-{number}', make_record(address))
        path = _DIRECTORY / f'{variant}.conf'
        path.write_text(
            format_settings(
                store_address,
                callers=caller_port,
                readiness=readiness_port,
                grace_seconds=_GRACE_SECONDS,
            )
        )
        tasks = await stack.enter_async_context(anyio.create_task_group())
        process = await stack.enter_async_context(_start_process(variant, path))
        served = EntryProcess(('127.0.0.1', caller_port), process)
        tasks.start_soon(served.follow)
        await _wait_ready(('127.0.0.1', readiness_port))
        yield served
        process.terminate()
        await process.wait()


async def _answer(peer: Peer) -> None:
    if peer.request.target.startswith('/stream'):
        await stream(1, _EVENTS)(peer)
    else:
        await answer_well(peer)


@asynccontextmanager
async def _start_process(
    variant: str, settings: Path
) -> AsyncGenerator[Process, None]:
    module = 'oleanderdyke.entry.main'
    options = ['--platform']
    if variant == 'without':
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
                response = await call(address, '/api/readiness', method='GET')
            except OSError:
                response = None
            if response is not None and response.status == _OK_STATUS:
                return
            await anyio.sleep(0.05)


def _print_summary(rounds: Sequence[dict[str, Run]]) -> None:
    for variant in _VARIANTS:
        used = [each[variant].processor for each in rounds]
        print(f'{variant:8} {_spread(used)} us of processor a call')
    costs = [
        each['with'].processor - each['without'].processor for each in rounds
    ]
    lines = statistics.mean(each['with'].lines for each in rounds)
    size = statistics.mean(each['with'].size for each in rounds)
    print(f'the lines: {_spread(costs)} us a call')
    print(
        f'{lines:.2f} lines of {size / lines:.0f} bytes: '
        f'{statistics.median(costs) / lines:.1f} us a line'
    )


def _spread(figures: Sequence[float]) -> str:
    return (
        f'median {statistics.median(figures):.1f}, '
        f'{min(figures):.1f} to {max(figures):.1f}'
    )


if __name__ == '__main__':
    raise SystemExit(main())
