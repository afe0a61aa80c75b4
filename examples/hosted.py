"""Run an entry in platform mode against stand-ins on loopback."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio

from tests.hosted import (
    CONFIGURATION,
    HOST,
    KEY,
    MODEL,
    OPERATOR,
    SERVERS,
    ReceivedAnswer,
    call,
    format_settings,
    make_record,
)
from tests.processes import LOOPBACK, Ports
from tests.standins import server
from tests.standins.records import RecordStore
from tests.standins.replica import Peer, make_event, serving_replica
from tests.standins.scripts import send_events

_ROOT = Path(__file__).parents[1]
_BUILD = _ROOT / 'build' / 'hosted'
_START_SECONDS = 10
_GRACE_SECONDS = 8
_STOP_SECONDS = _GRACE_SECONDS + 1
_STOPPING = (signal.SIGINT, signal.SIGTERM)


@dataclass(frozen=True, slots=True)
class HostedDemo:
    """Hold the record store and the addresses on which the entry listens."""

    store: RecordStore
    callers: tuple[str, int]
    readiness: tuple[str, int]


async def run() -> int:
    """Send calls, break off a stream and stop; return the number of faults."""
    async with _running_demo() as demo:
        return await _run_calls(demo.callers, demo.store)


async def hold() -> None:
    """Run an entry with its stand-ins until Ctrl-C."""
    async with _running_demo() as demo:
        host, port = demo.callers
        print(f'an entry with two backend servers, log in {_BUILD}')
        print(f'ready: http://{host}:{demo.readiness[1]}/api/readiness')
        print('in another terminal:')
        for path in ('/once/1', '/stream/1'):
            print(
                f'  curl -N -X POST http://{host}:{port}{path} '
                f"-H 'host: {HOST}' -H 'oleanderdyke-request-id: try-1' "
                f"-H 'oleanderdyke-key: {KEY}'"
            )
        print('Ctrl-C stops everything gracefully', flush=True)
        with anyio.open_signal_receiver(*_STOPPING) as signals:
            async for _ in signals:
                return


@asynccontextmanager
async def _running_demo() -> AsyncGenerator[HostedDemo, None]:
    """Run an entry as a child process and its stand-ins in this process."""
    _BUILD.mkdir(parents=True, exist_ok=True)
    store = RecordStore()
    store.put(OPERATOR, 'config', CONFIGURATION)
    async with AsyncExitStack() as stack:
        (store_address,) = await stack.enter_async_context(
            server.serving(store)
        )
        for number, script in enumerate((_stream_and_break, _stream_the_rest)):
            _, address = await stack.enter_async_context(
                serving_replica(script)
            )
            store.put(SERVERS, f'i-{number}', make_record(address))
        ports = stack.enter_context(Ports())
        callers, readiness = ((LOOPBACK, ports.reserve()) for _ in range(2))
        demo = HostedDemo(store, callers, readiness)
        await stack.enter_async_context(_running_entry(demo, store_address))
        await _wait_ready(demo.readiness)
        yield demo


@asynccontextmanager
async def _running_entry(
    demo: HostedDemo, store_address: str
) -> AsyncGenerator[None, None]:
    settings = _BUILD / 'boot.conf'
    settings.write_text(
        format_settings(
            store_address,
            callers=demo.callers[1],
            readiness=demo.readiness[1],
            grace_seconds=_GRACE_SECONDS,
        )
    )
    with (_BUILD / 'entry.log').open('w') as log:
        entry = await asyncio.create_subprocess_exec(
            *(sys.executable, '-m', 'oleanderdyke.entry.main', '--platform'),
            env={**os.environ, 'OLEANDERDYKE_SETTINGS': str(settings)},
            stdout=log,
            # Keep Ctrl-C from the entry: this process stops it gracefully.
            start_new_session=True,
        )
    try:
        yield
    finally:
        with anyio.CancelScope(shield=True):
            entry.terminate()
            with anyio.fail_after(_STOP_SECONDS):
                await entry.wait()
        print(f'entry stopped with {entry.returncode}; log in {_BUILD}')


async def _run_calls(address: tuple[str, int], store: RecordStore) -> int:
    faults = 0
    booked = await call(address, '/once/1', body=b'two seats')
    faults += _check('a booking', booked, 200)
    unknown = await call(address, '/once/1', oleanderdyke_key='nobody')
    faults += _check('an unknown key', unknown, 401)
    streams = [await call(address, '/stream/1') for _ in range(4)]
    expected_body = b''.join(make_event(number) for number in range(1, 7))
    for found in streams:
        faults += _check('a stream whose server breaks off', found, 200)
        faults += found.body != expected_body
    store.put(OPERATOR, f'version/{MODEL}', {'model': MODEL, 'version': 2})
    store.put(OPERATOR, 'config', {**CONFIGURATION, 'version': 9, 'routes': []})
    await anyio.sleep(0.3)
    gone = await call(address, '/once/1')
    faults += _check('after a new configuration', gone, 404)
    return faults


def _check(description: str, found: ReceivedAnswer, expected: int) -> int:
    mark = 'as expected' if found.status == expected else f'not {expected}'
    print(f'{description}: {found.status}, {len(found.body)} bytes, {mark}')
    return int(found.status != expected)


async def _wait_ready(address: tuple[str, int]) -> None:
    with anyio.fail_after(_START_SECONDS):
        while True:
            try:
                found = await call(address, '/api/readiness', method='GET')
            except OSError:
                found = None
            if found is not None and found.status == 200:
                return
            await anyio.sleep(0.05)


async def _stream_and_break(peer: Peer) -> None:
    if not peer.request.target.startswith('/stream/'):
        await peer.answer(body=b'booked')
        return
    await send_events(peer, 1, 3)
    peer.reset()


async def _stream_the_rest(peer: Peer) -> None:
    if not peer.request.target.startswith('/stream/'):
        await peer.answer(body=b'booked')
        return
    last = int(peer.request.headers.get('last-event-id') or 0)
    await send_events(peer, last + 1, 6)
    await peer.send(b'0\r\n\r\n')


def main() -> int:
    """Run the demo; return 0 if every call was answered as expected."""
    faults = anyio.run(run)
    print(f'{faults} faults; the key of the team was {KEY}')
    return int(bool(faults))


if __name__ == '__main__':
    sys.exit(main())
