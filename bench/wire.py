"""Measure the cost of messages and links: `python -m bench.wire`."""

from __future__ import annotations

import gc
import pathlib
import re
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from oleanderdyke.clock import make_clock
from oleanderdyke.links.codec import decode, encode
from oleanderdyke.links.dialer import dial
from oleanderdyke.links.link import Link, LinkClosed, LinkSettings
from oleanderdyke.links.listener import serve_links
from oleanderdyke.links.messages import (
    PROTOCOL_VERSION,
    AgentPhase,
    AnswerChunk,
    Dispatch,
    EntryBeat,
    Heartbeat,
    Hello,
    Load,
    Message,
    Ping,
    Role,
)

HOST = '127.0.0.1'
ROUNDS = 5
CALLS = 10_000
LINKS = 200
CHUNKS = 20_000
ROUND_TRIPS = 3_000
MICROS_PER_SECOND = 1e6
SETTINGS = LinkSettings()

_IMPORTS = {
    'nothing': '',
    'anyio, cbor2': 'import anyio, cbor2',
    'links': 'import oleanderdyke.links.pool, oleanderdyke.links.listener',
    'links, platform': (
        'import oleanderdyke.links.pool, oleanderdyke.links.listener,'
        ' oleanderdyke.clients.log, oleanderdyke.clients.vms,'
        ' oleanderdyke.clients.weights'
    ),
}
_PRINT_RSS = """
import asyncio
asyncio.run(asyncio.sleep(0))
for line in open('/proc/self/status'):
    if line.startswith('VmRSS'):
        print(line.split()[1])
"""


@dataclass(frozen=True, slots=True)
class Sample:
    """Pair a message with its name in the table."""

    name: str
    message: Message


def make_samples() -> tuple[Sample, ...]:
    """Return one message of each kind that is measured."""
    request = '01J8Z3K6M4T0V9QX2B7C5D1E8F'
    load = Load(3, 1, 2_000, 9_000.0, 16, 10**9, 5_000, 1e8)
    digest = 'ab' * 32
    return (
        Sample('Ping', Ping(1_000)),
        Sample('EntryBeat', EntryBeat('a' * 16, 12_345, 6_789)),
        Sample(
            'Heartbeat',
            Heartbeat(
                incarnation='a' * 16,
                sequence=12_345,
                offset=6_789,
                phase=AgentPhase.SERVING,
                load=load,
                model='claims-7b',
                weight_version='v3',
                weight_digest=digest,
            ),
        ),
        Sample(
            'AnswerChunk of 80 bytes', AnswerChunk(request, 1, 7, b'x' * 80)
        ),
        Sample(
            'AnswerChunk of 16 KiB', AnswerChunk(request, 1, 7, bytes(16_384))
        ),
        Sample('Dispatch, 20 segments', make_dispatch(request, digest)),
    )


def make_dispatch(request: str, digest: str) -> Dispatch:
    """Return a dispatch of a chat request with 20 segments."""
    return Dispatch(
        request=request,
        attempt=1,
        team='council-large',
        service='verdict-models',
        method='POST',
        path='/v1/chat/completions',
        headers=(('content-type', 'application/json'),),
        digest=digest,
        deadline=30_000.0,
        idempotent=True,
        offset=6_789,
        model='claims-7b',
        weight_version='v3',
        weight_digest=digest,
        namespace=bytes(32),
        segments=tuple(bytes([each]) * 32 for each in range(20)),
    )


def time_call(call: Callable[[], object]) -> float:
    """Return the lowest mean time of several rounds, in microseconds."""
    best = float('inf')
    for _ in range(ROUNDS):
        start = time.perf_counter()
        for _ in range(CALLS):
            call()
        best = min(best, time.perf_counter() - start)
    return best / CALLS * MICROS_PER_SECOND


def print_codec() -> None:
    """Print the size and coding times of every sample."""
    print(f'{"message":26}{"bytes":>8}{"encode us":>11}{"decode us":>11}')
    for sample in make_samples():
        print_sample(sample.name, sample.message)


def print_sample(name: str, message: Message) -> None:
    """Print the size and coding times of one message."""
    data = encode(message)
    encoding = time_call(lambda: encode(message))
    decoding = time_call(lambda: decode(data))
    print(f'{name:26}{len(data):8}{encoding:11.2f}{decoding:11.2f}')


def make_hello() -> Hello:
    """Return the greeting of both ends."""
    return Hello(PROTOCOL_VERSION, Role.AGENT, 'bench', 'i', 'hall', 0)


@asynccontextmanager
async def linked(count: int) -> AsyncIterator[list[tuple[Link, Link]]]:
    """Yield pairs of connected links, the dialing side first."""
    clock = make_clock()
    accepted: list[Link] = []

    async def hold(link: Link) -> None:
        accepted.append(link)
        await anyio.sleep_forever()

    async with serve_links(
        HOST, 0, make_hello, hold, settings=SETTINGS, clock=clock
    ) as port:
        pairs: list[tuple[Link, Link]] = []
        for _ in range(count):
            link = await dial(
                f'{HOST}:{port}', make_hello(), settings=SETTINGS, clock=clock
            )
            while len(accepted) <= len(pairs):
                await anyio.sleep(0)
            pairs.append((link, accepted[-1]))
        yield pairs
        for sender, _ in pairs:
            await sender.close()


async def print_round_trip() -> None:
    """Print the time of a chunk that is sent and returned."""
    message = make_samples()[3].message
    async with linked(1) as pairs:
        sender, receiver = pairs[0]
        start, used = time.perf_counter(), time.process_time()
        for _ in range(ROUND_TRIPS):
            await sender.send(message)
            await receiver.send(await receiver.receive())
            await sender.receive()
        wall = (time.perf_counter() - start) / ROUND_TRIPS * MICROS_PER_SECOND
        processor = (
            (time.process_time() - used) / ROUND_TRIPS * MICROS_PER_SECOND
        )
    print(f'round trip of a chunk: {wall:.1f} us, processor {processor:.1f} us')


async def print_stream() -> None:
    """Print the processor time per chunk of a stream."""
    message = make_samples()[3].message
    async with linked(1) as pairs:
        sender, receiver = pairs[0]

        async def send_all() -> None:
            for _ in range(CHUNKS):
                await sender.send(message)

        used = time.process_time()
        async with anyio.create_task_group() as group:
            group.start_soon(send_all)
            for _ in range(CHUNKS):
                await receiver.receive()
        each = (time.process_time() - used) / CHUNKS * MICROS_PER_SECOND
    print(f'streamed chunk, sent and received: processor {each:.1f} us')


async def print_idle_links() -> None:
    """Print the memory, processor time and traffic of idle links."""
    seconds = 5
    gc.collect()
    before = read_rss()
    async with linked(LINKS) as pairs, anyio.create_task_group() as group:
        gc.collect()
        held = read_rss() - before
        for pair in pairs:
            for link in pair:
                group.start_soon(receive_until_closed, link)
        await anyio.sleep(1)
        sent = count_bytes(pairs)
        used = time.process_time()
        await anyio.sleep(seconds)
        used = time.process_time() - used
        sent = count_bytes(pairs) - sent
        group.cancel_scope.cancel()
    ends = 2 * LINKS
    share = used / seconds / ends * 100
    print(f'{LINKS} idle links, both ends in this process, for each end:')
    print(f'  memory {held / ends:.1f} KiB')
    print(f'  processor {share:.4f}% of a core')
    print(f'  control sent {sent / seconds / ends:.1f} bytes a second')


async def receive_until_closed(link: Link) -> None:
    """Receive and discard messages until the link is closed."""
    try:
        while True:
            await link.receive()
    except LinkClosed:
        return


def count_bytes(pairs: list[tuple[Link, Link]]) -> int:
    """Return the control bytes sent by all links."""
    return sum(link.counters.control_out for pair in pairs for link in pair)


def read_rss() -> int:
    """Return the resident memory of this process in KiB."""
    status = pathlib.Path('/proc/self/status').read_text(encoding='ascii')
    (line,) = re.findall(r'VmRSS:\s+(\d+)', status)
    return int(line)


def print_memory() -> None:
    """Print the resident memory of a process after its imports."""
    print('resident memory after importing, MiB:')
    for name, code in _IMPORTS.items():
        process = subprocess.run(  # noqa: S603 - the program is a constant of this module
            [sys.executable, '-c', f'{code}\n{_PRINT_RSS}'],
            capture_output=True,
            check=True,
            text=True,
        )
        print(f'  {name:20}{int(process.stdout) / 1024:8.1f}')


def main() -> None:
    """Run and print all measurements."""
    print_codec()
    anyio.run(print_round_trip)
    anyio.run(print_stream)
    anyio.run(print_idle_links)
    print_memory()


if __name__ == '__main__':
    main()
