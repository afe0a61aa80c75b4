"""Measure fetches of cached segments from a store through real agents.

Run `python -m bench.fetch`. It starts a store, an engine and their agents as
processes, dispatches prompts whose segments are in the store, and reports the
time from dispatch to first token, the link bytes and the processor time.
`--against DIRECTORY` alternates with the agents of another source tree.
"""

from __future__ import annotations

import argparse
import json
import statistics
import tempfile
import time
from collections.abc import AsyncGenerator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import Any

import anyio
import yaml

from oleanderdyke.clients.http import HttpBackend
from oleanderdyke.kernel.blocks import (
    digest_segment,
    make_namespace,
    split_segments,
)
from oleanderdyke.kernel.store_meta import (
    META_SUFFIX,
    SealedMeta,
    encode_meta,
)
from oleanderdyke.links.dialer import dial
from oleanderdyke.links.link import LinkSettings
from oleanderdyke.links.messages import FetchPlan, Hello, Role
from tests.agents import CLOCK, TEAM, FakeEntry, make_source, wait_until
from tests.processes import LOOPBACK, ROOT, Child, Ports, accepts
from tests.processes import wait_until as wait_for
from tests.standins import cache, weights

_SERVICE = 'asistente'
_DIGEST = weights.make_digest('modelo', '1')
_NAMESPACE = make_namespace(TEAM, _SERVICE, 'modelo', _DIGEST, '')
_PROMPT_TAIL = 'x' * 900
_NANOS_PER_MS = 1e6
_PAUSE_SECONDS = 0.05
_QUANTILE = 0.9
_START_SCRIPT = """
import runpy, sys
sys.path.insert(0, {tree!r})
runpy.run_module('oleanderdyke.agent.main', run_name='__main__')
"""


@dataclass(frozen=True, slots=True)
class Size:
    """Dimensions of a run; a rate of zero means unlimited.

    `link` is in bytes per second and `prefill` in tokens per second.
    """

    rounds: int = 40
    segments: int = 19
    link: float = 8e6
    prefill: float = 20_000.0
    readers: int = 1


@dataclass(slots=True)
class Figures:
    """Measurements of the agents of one source tree; times in milliseconds."""

    first_token: list[float] = field(default_factory=list)
    recomputed: list[int] = field(default_factory=list)
    used_bytes: int = 0
    read_bytes: int = 0
    processor: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class MeasuredTree:
    """A measured source tree with its agents and backend addresses."""

    name: str
    store: str
    engine: str
    store_agent_address: str
    agents: dict[str, Child]
    entry: FakeEntry
    figures: Figures = field(default_factory=Figures)


def make_text(number: int, size: Size) -> str:
    """Return a prompt of `size.segments` full segments plus a tail."""
    line = f'regla {number:06d}; '
    length = size.segments * cache.SEGMENT_BYTES
    head = (line * (length // len(line) + 1))[: length - len('user\0')]
    return head + _PROMPT_TAIL


def split_text(text: str) -> tuple[bytes, ...]:
    """Return the IDs of the complete segments of a prompt."""
    return split_segments(_NAMESPACE, f'user\0{text}\n'.encode())


class Environment:
    """Start and stop the processes of a measurement."""

    def __init__(self, size: Size, directory: Path) -> None:
        self._size = size
        self._directory = directory
        self._ports = Ports()
        self._children: list[Child] = []

    def close(self) -> None:
        """Kill all processes; print the log of any that exited early."""
        for child in self._children:
            if not child.running:
                log_tail = child.log.read_text(errors='replace')[-1_000:]
                print(f'{child.name} exited early: {log_tail}', flush=True)
            child.kill()
        self._ports.close()

    def start_platform(self, count: int) -> tuple[Sequence[str], Sequence[str]]:
        """Start stand-in backends; return the store and engine addresses."""
        weight = self._start_standin('weights', 1)[0]
        stores = self._start_standin(
            'store', count, '--link-bytes-per-second', str(self._size.link)
        )
        engines = self._start_standin(
            'engine',
            count,
            *('--weights', weight, '--cache-segments', '100000'),
            *('--prefill-tokens-per-second', str(self._size.prefill)),
        )
        return stores, engines

    def _start_standin(
        self, kind: str, count: int, *options: str
    ) -> tuple[str, ...]:
        argv = ['-m', f'tests.standins.{kind}', *options]
        for _ in range(count):
            argv += ['--port', str(self._ports.reserve())]
        child = Child(f'standin-{kind}', argv, self._directory)
        self._children.append(child)
        child.start()
        return child.wait_ready(count)

    def start_agent(
        self, name: str, kind: str, service: str, address: str, tree: Path
    ) -> tuple[Child, str]:
        """Start an agent from a source tree; return its process and address."""
        port = self._ports.reserve()
        path = self._directory / f'{name}.yaml'
        path.write_text(
            yaml.safe_dump(
                {
                    'process': name,
                    'data_centre': 'dc',
                    'backend': {
                        'kind': kind,
                        'address': address,
                        'service': service,
                    },
                    'listen': {'port': port},
                }
            )
        )
        code = _START_SCRIPT.format(tree=str(tree / 'src'))
        child = Child(
            name, ['-c', code, '--settings', str(path)], self._directory
        )
        self._children.append(child)
        child.start()
        listen_address = f'{LOOPBACK}:{port}'
        wait_for(lambda: accepts(listen_address), f'{name} listens')
        return child, listen_address


async def fill_store(address: str, size: Size, count: int) -> None:
    """Write the segments of the first `count` prompts to a store."""
    store = HttpBackend(address)
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            segments = split_text(make_text(number, size))
            tasks.start_soon(_store_segments, store, segments[: size.segments])


async def _store_segments(
    store: HttpBackend, segments: Sequence[bytes]
) -> None:
    for segment in segments:
        data = cache.make_kv(segment)
        name = f'{segment.hex()}-i-1'
        meta = SealedMeta(
            name, _NAMESPACE, segment, len(data), digest_segment(data)
        )
        for each, body in (
            (name, data),
            (name + META_SUFFIX, encode_meta(meta)),
        ):
            await _exchange(store, 'PUT', f'/objects/{each}', body)


async def _exchange(
    http: HttpBackend, method: str, path: str, body: bytes | None = None
) -> bytes:
    async with http.request(method, path, body=body) as answer:
        return await answer.read(1 << 24)


@asynccontextmanager
async def _start_measured(
    environment: Environment, name: str, tree: Path, store: str, engine: str
) -> AsyncGenerator[MeasuredTree, None]:
    store_agent, store_agent_address = environment.start_agent(
        f'{name}-store', 'store', 'memoria', store, tree
    )
    agent, agent_address = environment.start_agent(
        f'{name}-engine', 'engine', _SERVICE, engine, tree
    )
    world = make_source(_DIGEST)
    async with anyio.create_task_group() as tasks:
        store_entry = await _dial(store_agent_address, world)
        tasks.start_soon(store_entry.read)
        await store_entry.wait_serving()
        entry = await _dial(agent_address, world)
        tasks.start_soon(entry.read)
        await wait_until(lambda: entry.beat is not None)
        await entry.send_offset()
        await entry.wait_weights(_DIGEST)
        agents = {'engine agent': agent, 'store agent': store_agent}
        yield MeasuredTree(
            name, store, engine, store_agent_address, agents, entry
        )
        tasks.cancel_scope.cancel()


async def _dial(address: str, world: Any) -> FakeEntry:
    hello = Hello(1, Role.ENTRY, 'bench', 'i', 'dc', world.reader.offset)
    link = await dial(address, hello, settings=LinkSettings(), clock=CLOCK)
    return FakeEntry(link, world)


async def send_prompt(measured: MeasuredTree, size: Size, number: int) -> None:
    """Send one prompt and record its time to first token."""
    text = make_text(number, size)
    segments = split_text(text)
    fetched_segments = segments[: size.segments]
    plan = FetchPlan('memoria', measured.store_agent_address, fetched_segments)
    chat = measured.entry.make_chat(f'{measured.name}-{number}')
    chat = replace(chat, segments=segments, fetch=plan)
    body = {
        'messages': [{'role': 'user', 'content': text}],
        'stream': True,
        'max_tokens': 2,
    }
    started = time.perf_counter()
    outcome = await measured.entry.send(chat, json.dumps(body).encode())
    while not outcome.chunks and not outcome.over:
        await anyio.sleep(0.0005)
    measured.figures.first_token.append((time.perf_counter() - started) * 1e3)
    await wait_until(lambda: outcome.over)
    if outcome.end is None:
        raise RuntimeError(f'prompt {number} got no answer: {outcome.failed}')
    measured.figures.recomputed.append(outcome.end.recomputed_tokens)
    used = outcome.end.prompt_tokens - outcome.end.recomputed_tokens
    measured.figures.used_bytes += used * cache.KV_BYTES_PER_TOKEN


async def measure(
    measured: MeasuredTree, size: Size, numbers: Sequence[int]
) -> None:
    """Send prompts concurrently and add the resources that they used."""
    before = {name: _read_processor(c) for name, c in measured.agents.items()}
    read = await _count_read(measured)
    async with anyio.create_task_group() as tasks:
        for number in numbers:
            tasks.start_soon(send_prompt, measured, size, number)
    figures = measured.figures
    for name, child in measured.agents.items():
        spent = _read_processor(child) - before[name]
        figures.processor[name] = figures.processor.get(name, 0.0) + spent
    figures.read_bytes += await _count_read(measured) - read


async def _count_read(measured: MeasuredTree) -> int:
    found = await _exchange(HttpBackend(measured.store), 'GET', '/stats')
    return int(json.loads(found)['read_bytes'])


def _read_processor(child: Child) -> float:
    if child.process is None:
        return 0.0
    path = Path(f'/proc/{child.process.pid}/schedstat')
    return int(path.read_text().split()[0]) / _NANOS_PER_MS


async def run(
    size: Size, trees: Sequence[tuple[str, Path]]
) -> list[MeasuredTree]:
    """Measure the source trees alternately; the first round is a warm-up."""
    count = (size.rounds + 1) * size.readers
    with tempfile.TemporaryDirectory() as directory:
        environment = Environment(size, Path(directory))
        try:
            return await _run_in(environment, size, trees, count)
        finally:
            environment.close()


async def _run_in(
    environment: Environment,
    size: Size,
    trees: Sequence[tuple[str, Path]],
    count: int,
) -> list[MeasuredTree]:
    stores, engines = environment.start_platform(len(trees))
    measured_trees: list[MeasuredTree] = []
    async with AsyncExitStack() as stack:
        for (name, tree), store, engine in zip(
            trees, stores, engines, strict=True
        ):
            await fill_store(store, size, count)
            measured_trees.append(
                await stack.enter_async_context(
                    _start_measured(environment, name, tree, store, engine)
                )
            )
        for round_number in range(size.rounds + 1):
            first = round_number * size.readers
            numbers = range(first, first + size.readers)
            for measured in measured_trees[:: 1 if round_number % 2 else -1]:
                await measure(measured, size, numbers)
                await anyio.sleep(_PAUSE_SECONDS)
            if not round_number:
                for measured in measured_trees:
                    measured.figures = Figures()
    return measured_trees


def print_figures(measured: MeasuredTree) -> None:
    """Print the measurements of one source tree."""
    figures = measured.figures
    asked = len(figures.first_token)
    ordered = sorted(figures.first_token)
    high = ordered[int(_QUANTILE * (asked - 1))]
    wasted = figures.read_bytes - figures.used_bytes
    spent = ', '.join(
        f'{name} {total / asked:.1f} ms'
        for name, total in figures.processor.items()
    )
    print(
        f'{measured.name:>8}: first token median '
        f'{statistics.median(ordered):.1f} ms, {_QUANTILE:.0%} {high:.1f} ms; '
        f'recomputed {statistics.mean(figures.recomputed):.0f} tokens; '
        f'link {figures.read_bytes / asked:,.0f} bytes, '
        f'{wasted / asked:,.0f} of them in vain; processor {spent}',
        flush=True,
    )


def main() -> None:
    """Parse the options, measure and print the results."""
    parser = argparse.ArgumentParser(prog='bench.fetch')
    parser.add_argument(
        '--against', type=Path, help='source tree to compare with'
    )
    for name, value in asdict(Size()).items():
        parser.add_argument(f'--{name}', type=type(value), default=value)
    options = vars(parser.parse_args())
    against = options.pop('against')
    trees = [('here', ROOT)]
    if against is not None:
        trees.append(('against', against.resolve()))
    size = Size(**options)
    print(size, flush=True)
    for measured in anyio.run(run, size, trees):
        print_figures(measured)


if __name__ == '__main__':
    main()
