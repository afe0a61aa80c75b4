"""Show an entry as it runs on the users' platform, on loopback."""

from __future__ import annotations

import asyncio
import os
import sys
from contextlib import AsyncExitStack
from pathlib import Path

import anyio

from tests.hosted import (
    CONFIGURATION,
    KEY,
    MODEL,
    OPERATOR,
    SERVERS,
    Answered,
    call,
    find_port,
    make_record,
)
from tests.standins import server
from tests.standins.records import RecordStore
from tests.standins.replica import (
    Peer,
    make_chunk,
    make_event,
    make_head,
    serving_replica,
)

_ROOT = Path(__file__).parents[1]
_BUILD = _ROOT / 'build' / 'hosted'
_START_SECONDS = 10
_STOP_SECONDS = 9
_SETTINGS = """nodeName=front-1
zone=hall
ip=127.0.0.1
platform.address={store}
listen.front=127.0.0.1:{callers}
listen.ready=127.0.0.1:{readiness}
bounds.graceS=8
"""


async def run() -> int:
    """Serve calls, lose a server under a stream, stop; return the faults."""
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
        return await _show(store, store_address)


async def _show(store: RecordStore, store_address: str) -> int:
    callers, readiness = find_port(), find_port()
    settings = _BUILD / 'boot.conf'
    settings.write_text(
        _SETTINGS.format(
            store=store_address, callers=callers, readiness=readiness
        )
    )
    with (_BUILD / 'entry.log').open('w') as log:
        entry = await asyncio.create_subprocess_exec(
            *(sys.executable, '-m', 'oleanderdyke.entry.main', '--platform'),
            env={**os.environ, 'OLEANDERDYKE_SETTINGS': str(settings)},
            stdout=log,
        )
    try:
        await _wait_ready(('127.0.0.1', readiness))
        return await _tell(('127.0.0.1', callers), store)
    finally:
        entry.terminate()
        with anyio.fail_after(_STOP_SECONDS):
            await entry.wait()
        print(f'entry stopped with {entry.returncode}; log in {_BUILD}')


async def _tell(address: tuple[str, int], store: RecordStore) -> int:
    faults = 0
    booked = await call(address, '/once/1', body=b'two seats')
    faults += _say('a booking', booked, 200)
    unknown = await call(address, '/once/1', oleanderdyke_key='nobody')
    faults += _say('an unknown key', unknown, 401)
    streams = [await call(address, '/stream/1') for _ in range(4)]
    whole = b''.join(make_event(number) for number in range(1, 7))
    for found in streams:
        faults += _say('a stream whose server breaks off', found, 200)
        faults += found.body != whole
    store.put(OPERATOR, f'version/{MODEL}', {'model': MODEL, 'version': 2})
    store.put(OPERATOR, 'config', {**CONFIGURATION, 'version': 9, 'routes': []})
    await anyio.sleep(0.3)
    gone = await call(address, '/once/1')
    faults += _say('after a new configuration', gone, 404)
    return faults


def _say(what: str, found: Answered, expected: int) -> int:
    mark = 'as expected' if found.status == expected else f'not {expected}'
    print(f'{what}: {found.status}, {len(found.body)} bytes, {mark}')
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
    await _stream(peer, 1, 3)
    peer.reset()


async def _stream_the_rest(peer: Peer) -> None:
    if not peer.request.target.startswith('/stream/'):
        await peer.answer(body=b'booked')
        return
    last = int(peer.request.headers.get('last-event-id') or 0)
    await _stream(peer, last + 1, 6)
    await peer.send(b'0\r\n\r\n')


async def _stream(peer: Peer, first: int, last: int) -> None:
    await peer.send(
        make_head(
            peer.request,
            content_type='text/event-stream',
            transfer_encoding='chunked',
        )
    )
    for number in range(first, last + 1):
        await peer.send(make_chunk(make_event(number)))


def main() -> int:
    """Run the show; return 0 where all went as expected."""
    faults = anyio.run(run)
    print(f'{faults} faults; the key of the team was {KEY}')
    return int(bool(faults))


if __name__ == '__main__':
    sys.exit(main())
