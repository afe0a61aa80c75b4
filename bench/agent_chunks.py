"""Count the function calls that an agent makes per streamed chunk.

Run `python -m bench.agent_chunks`. The server, the agent and the reader share
this process, so calls are listed by module. Call counts do not depend on the
load of the machine. The processor time covers all three and is taken in a
separate run without the profiler.
"""

from __future__ import annotations

import cProfile
import time
from collections import Counter
from contextlib import nullcontext

import anyio
from anyio.abc import SocketAttribute, SocketStream

from oleanderdyke.links.messages import BackendKind, Credit
from tests.agents import (
    FakeEntry,
    Outcome,
    connect_entry,
    make_settings,
    run_agent,
)

CHUNKS = 10_000
_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_EVENT = b'data: {"choices": [{"delta": {"content": "word "}}]}\n\n'
_CHUNK = b'%x\r\n%s\r\n' % (len(_EVENT), _EVENT)
_CREDIT_CHUNKS = 32
_CHUNK_INTERVAL_SECONDS = 0.0005
_POLL_SECONDS = 0.002
_SHOWN_PACKAGES = (
    'oleanderdyke/',
    'httpcore/',
    'h11/',
    'anyio/',
    'websockets/',
)
_SHOWN_MODULES = 24


async def _serve_answer(stream: SocketStream) -> None:
    async with stream:
        try:
            await stream.receive()
        except anyio.EndOfStream:
            return
        await stream.send(_HEAD)
        for _ in range(CHUNKS):
            await stream.send(_CHUNK)
            await anyio.sleep(_CHUNK_INTERVAL_SECONDS)
        await stream.send(b'0\r\n\r\n')


async def _grant_credit(entry: FakeEntry, outcome: Outcome) -> None:
    granted = 0
    while not outcome.over:
        await anyio.sleep(_POLL_SECONDS)
        ungranted = len(outcome.chunks) - granted
        if ungranted >= _CREDIT_CHUNKS:
            await entry.link.send(Credit('r', 1, ungranted))
            granted += ungranted


async def _measure(profile: cProfile.Profile | None) -> float:
    """Return the processor time of one streamed answer, in seconds."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(SocketAttribute.local_port)  # noqa: S610 - not Django
    settings = make_settings(BackendKind.PLAIN, f'127.0.0.1:{port}', 'x')
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, _serve_answer)
        async with run_agent(settings) as shell, connect_entry(shell) as entry:
            await entry.wait_serving()
            dispatch = entry.make_dispatch('r', deadline=600_000.0)
            start = time.process_time()
            with profile or nullcontext():
                outcome = await entry.send(dispatch, b'x')
                await _grant_credit(entry, outcome)
            processor_seconds = time.process_time() - start
            assert len(outcome.chunks) == CHUNKS
        group.cancel_scope.cancel()
    return processor_seconds


def _find_module(file: str) -> str:
    for start in _SHOWN_PACKAGES:
        if start in file:
            return start + file.rpartition(start)[2]
    return 'other'


def main() -> None:
    """Print the number of calls per chunk, by module."""
    processor_seconds = anyio.run(_measure, None)
    profile = cProfile.Profile()
    anyio.run(_measure, profile)
    counts: Counter[str] = Counter()
    for entry in profile.getstats():
        file = getattr(entry.code, 'co_filename', '')
        counts[_find_module(file)] += entry.callcount
    total = sum(counts.values()) / CHUNKS
    print(
        f'{total:.1f} calls, '
        f'{processor_seconds * 1e6 / CHUNKS:.0f} us for each chunk'
    )
    for module, calls in counts.most_common(_SHOWN_MODULES):
        print(f'{calls / CHUNKS:8.2f}  {module}')


if __name__ == '__main__':
    main()
