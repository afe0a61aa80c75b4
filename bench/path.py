"""Measure the overhead of entry and agent with real processes.

Run `python -m bench.path [streams] [calls] [memory]`. It stops every process
that it started. The idle use of a process is subtracted from its figures.
"""

from __future__ import annotations

import argparse
import dataclasses
import statistics
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

import anyio
import httpcore

from bench.memory import make_team
from examples.demo import make_token, publish, wait_served
from oleanderdyke.clients.log import LogClient
from oleanderdyke.kernel.objects import Change, ObjectKind
from oleanderdyke.kernel.records import encode_change
from oleanderdyke.links.messages import BackendKind
from tests.calls import call, make_chat, open_stream
from tests.deployment import Deployment, Entry, load_layout
from tests.processes import ROOT, Child, NotMet, wait_until

PARTS = ('streams', 'calls', 'memory')
STREAM_COUNTS = (1, 8)
TEAMS = 42_000

_DIRECTORY = ROOT / 'build' / 'path'
_MODEL_SERVICE = 'verdict-models'
_PLAIN_SERVICE = 'claims-desk'
_TEAM = 'caseworkers'
_SIZES = {BackendKind.ENGINE: 1, BackendKind.PLAIN: 1}
_TOKENS = 400
_CALLS = 400
_WARM_UP_CALLS = 40
_IDLE_SECONDS = 4.0
_BATCH = 500
_CATCH_UP_SECONDS = 120.0
_OK = 200
_EVENT_PREFIX = b'data: '
_MS_PER_SECOND = 1e3
_NS_PER_MS = 1e6
_KIB_PER_MIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessorTime:
    """Hold the processor time of the entry and the agent, in ms."""

    entry: float
    agent: float
    at: float

    def since(self, before: ProcessorTime) -> ProcessorTime:
        """Return the difference of two readings; `at` becomes the interval."""
        return ProcessorTime(
            self.entry - before.entry,
            self.agent - before.agent,
            self.at - before.at,
        )

    def subtract_idle(self, idle: ProcessorTime) -> ProcessorTime:
        """Subtract the idle use, scaled to the length of this measurement."""
        share = self.at / idle.at
        return ProcessorTime(
            self.entry - idle.entry * share,
            self.agent - idle.agent * share,
            self.at,
        )


class Probe:
    """Read the processor time of the entry and of one agent."""

    def __init__(self, entry: Child, agent: Child) -> None:
        self._entry = entry
        self._agent = agent

    def read(self) -> ProcessorTime:
        """Return the processor time used since the processes started."""
        return ProcessorTime(
            _read_processor_time(self._entry),
            _read_processor_time(self._agent),
            time.monotonic() * _MS_PER_SECOND,
        )

    def measure(self, action: Callable[[], object]) -> ProcessorTime:
        """Return the processor time that an action takes in both processes."""
        before = self.read()
        action()
        return self.read().since(before)

    def measure_idle(self) -> ProcessorTime:
        """Return the processor time of both processes without requests."""
        return self.measure(lambda: time.sleep(_IDLE_SECONDS))


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the selected measurements, all by default."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('parts', nargs='*', default=PARTS)
    parts = parser.parse_args(arguments).parts
    with _running(_DIRECTORY) as deployment:
        publish(deployment)
        deployment.wait_ready()
        wait_served(deployment, _MODEL_SERVICE, _TEAM)
        entry = deployment.entries[0]
        _print_memory('idle entry', entry.child)
        _print_memory('idle agent', deployment.find(_MODEL_SERVICE)[0].agent)
        if 'streams' in parts:
            _measure_streams(deployment)
        if 'calls' in parts:
            _measure_calls(deployment)
        if 'memory' in parts:
            _measure_teams(deployment)


@contextmanager
def _running(directory: Path) -> Iterator[Deployment]:
    layout = load_layout('council')
    backends = tuple(
        dataclasses.replace(item, count=_SIZES[item.kind])
        for item in layout.backends
        if item.kind in _SIZES
    )
    small = dataclasses.replace(layout, backends=backends)
    with Deployment(small, directory, entries=1) as deployment:
        yield deployment


# --- streamed chunks ----------------------------------------------------


def _measure_streams(deployment: Deployment) -> None:
    entry, agent = (
        deployment.entries[0],
        deployment.find(_MODEL_SERVICE)[0].agent,
    )
    probe = Probe(entry.child, agent)
    for count in STREAM_COUNTS:
        chunks: list[int] = []
        idle = probe.measure_idle()
        total = probe.measure(
            lambda count=count, chunks=chunks: chunks.extend(  # type: ignore[misc]
                _run_streams(entry, count)
            )
        )
        _print_processor_time(
            f'{count} streams, a chunk', total, idle, sum(chunks)
        )


def _run_streams(entry: Entry, count: int) -> list[int]:
    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(lambda n: _run_stream(entry, n), range(count)))


def _run_stream(entry: Entry, number: int) -> int:
    """Read one stream to its end and return the number of its events."""
    text = f'question {number} of {time.monotonic_ns()}'
    body = make_chat(_MODEL_SERVICE, text, max_tokens=_TOKENS)
    with (
        httpcore.ConnectionPool() as pool,
        open_stream(
            pool,
            entry.address,
            'POST',
            '/v1/chat/completions',
            body,
            token=make_token(_TEAM),
        ) as response,
    ):
        data = response.read()
    count = data.count(_EVENT_PREFIX)
    if count < _TOKENS:
        raise NotMet(f'a stream ended after {count} of {_TOKENS} events')
    return count


# --- plain calls --------------------------------------------------------


def _measure_calls(deployment: Deployment) -> None:
    entry, server = deployment.entries[0], deployment.find(_PLAIN_SERVICE)[0]
    probe = Probe(entry.child, server.agent)
    idle = probe.measure_idle()
    direct: list[float] = []
    through: list[float] = []
    with httpcore.ConnectionPool() as pool:

        def call_both() -> None:
            direct.append(_time_call(pool, server.address, '/status'))
            path = f'/v1/services/{_PLAIN_SERVICE}/status'
            through.append(_time_call(pool, entry.address, path))

        def call_repeatedly() -> None:
            for _ in range(_CALLS):
                call_both()

        for _ in range(_WARM_UP_CALLS):
            call_both()
        direct.clear()
        through.clear()
        total = probe.measure(call_repeatedly)
    added = statistics.median(through) - statistics.median(direct)
    _print_processor_time('a plain call', total, idle, _CALLS)
    print(
        f'a plain call: direct {statistics.median(direct):.2f} ms, through '
        f'both {statistics.median(through):.2f} ms, added {added:.2f} ms '
        f'(medians of {_CALLS} in turn)'
    )


def _time_call(pool: httpcore.ConnectionPool, address: str, path: str) -> float:
    started = time.perf_counter()
    with open_stream(
        pool, address, 'GET', path, token=make_token(_TEAM)
    ) as response:
        response.read()
    if response.status != _OK:
        raise NotMet(f'{path} answered {response.status}')
    return (time.perf_counter() - started) * _MS_PER_SECOND


# --- memory -------------------------------------------------------------


def _measure_teams(deployment: Deployment) -> None:
    entry = deployment.entries[0]
    before = call(entry.address, 'GET', '/ready').json['offset']
    anyio.run(_append_teams, deployment.platform['log'])
    for label in ('that read them as they came', 'started afterwards'):
        wait_until(
            lambda: (
                deployment.is_ready(entry)
                and call(entry.address, 'GET', '/ready').json['offset']
                >= before + TEAMS
            ),
            'the entry knows the teams',
            seconds=_CATCH_UP_SECONDS,
        )
        time.sleep(_IDLE_SECONDS)
        _print_memory(f'entry with {TEAMS} teams {label}', entry.child)
        entry.child.stop()
        entry.child.start()


async def _append_teams(address: str) -> None:
    client = LogClient(address)
    for start in range(0, TEAMS, _BATCH):
        stop = min(start + _BATCH, TEAMS)
        records = [_make_record(number) for number in range(start, stop)]
        await client.append('configuration', records)
    await client.close()


def _make_record(number: int) -> bytes:
    name = f'team-{number:05}'
    return encode_change(
        Change(f'r{number}', 'a', ObjectKind.TEAM, name, 0, make_team(number))
    )


# --- reading and printing ------------------------------------------------


def _find_pid(child: Child) -> int:
    if child.process is None:
        raise NotMet(f'{child.name} was never started')
    return child.process.pid


def _read_processor_time(child: Child) -> float:
    text = Path(f'/proc/{_find_pid(child)}/schedstat').read_text()
    return int(text.split()[0]) / _NS_PER_MS


def _print_memory(label: str, child: Child) -> None:
    lines = Path(f'/proc/{_find_pid(child)}/status').read_text().splitlines()
    sizes = {name: rest for name, _, rest in (x.partition(':') for x in lines)}
    now, peak = (int(sizes[name].split()[0]) for name in ('VmRSS', 'VmHWM'))
    print(
        f'{label}: {now / _KIB_PER_MIB:.1f} MiB resident, '
        f'{peak / _KIB_PER_MIB:.1f} at its highest'
    )


def _print_processor_time(
    label: str, total: ProcessorTime, idle: ProcessorTime, count: int
) -> None:
    net = total.subtract_idle(idle)
    both = net.entry + net.agent
    print(
        f'{label}: entry {net.entry / count:.3f} ms, agent '
        f'{net.agent / count:.3f} ms, both {both / count:.3f} ms of processor '
        f'({count} counted; with idle use {total.entry / count:.3f} and '
        f'{total.agent / count:.3f})'
    )


if __name__ == '__main__':
    main()
