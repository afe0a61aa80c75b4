"""A server that wants nothing for a while is cut off from the store."""

from __future__ import annotations

import asyncio
import itertools
import sys

from stage_2 import (
    BROKEN,
    HAS_TROUBLE,
    HELD,
    KEY,
    LAPSE,
    NOT_RUN,
    SERVERS,
    Answer,
    ServerProcess,
    Stage,
    call,
    make_configuration,
    make_route,
    run_case,
)

_ROUTES = [make_route('receipt', 'idempotent', maxAttempts=2, timeoutMs=4_000)]
_PAUSE = 30.0
# The default of `srv_cut`.
_CUT_SECONDS = 5.0
_GAP = 0.05
_MOST = 2
_GRACE = 0.5


async def play(stage: Stage) -> int:
    """Return BROKEN if the server gets requests within its `Retry-After`."""
    stage.configure(make_configuration(7, _ROUTES, [KEY]))
    needy = ServerProcess(
        stage, 'desk-1', 'events=2', 'gap=0.01', f'pause={_PAUSE:g}'
    )
    other = ServerProcess(stage, 'desk-2', 'events=2', 'gap=0.01')
    try:
        for number, each in enumerate((needy, other), start=1):
            await each.start()
            stage.list_server(f'i-{number}', each.where, seq=8)
        await stage.start_entries(1)
        calls = asyncio.ensure_future(_send(stage))
        asked_at = await _wait_refusal(stage, needy)
        if asked_at is None:
            return NOT_RUN
        await asyncio.sleep(1.0)
        if HAS_TROUBLE:
            await _cut(stage, 'i-1')
        ends = stage.record.convert(asked_at) + _PAUSE
        await asyncio.sleep(ends - stage.record.now)
        calls.cancel()
        return _judge(stage, needy, asked_at)
    finally:
        await needy.kill()
        await other.kill()


async def _send(stage: Stage) -> None:
    """Send requests to the one entry, until cancelled."""
    sent: set[asyncio.Task[Answer]] = set()
    for number in itertools.count(1):
        task = asyncio.ensure_future(
            call(
                stage.entries[0].front,
                '/receipt/1',
                oleanderdyke_request_id=f'request-{number}',
                oleanderdyke_deadline_ms='4000',
                oleanderdyke_key=KEY,
            )
        )
        sent.add(task)
        task.add_done_callback(sent.discard)
        await asyncio.sleep(_GAP)


async def _wait_refusal(stage: Stage, needy: ServerProcess) -> float | None:
    """Return when the server turned a request away, None if it didn't."""
    for _ in range(200):
        for told in needy.told:
            if 'refused' in told:
                at: float = told['at']
                return at
        await asyncio.sleep(0.05)
    stage.record.write('no request reached the server')
    return None


async def _cut(stage: Stage, server: str) -> None:
    """Keep the records of a server from the store, as a cut link does."""
    kept = stage.take_server(server)
    stage.record.write(f'{server} is cut off from the store')
    await asyncio.sleep(LAPSE)
    stage.store.drop(SERVERS, server)
    stage.record.write(f'the store has dropped the entry of {server}')
    await asyncio.sleep(_CUT_SECONDS - LAPSE)
    stage.put_server(server, kept)
    stage.record.write(f'{server} reaches the store again')


def _judge(stage: Stage, needy: ServerProcess, asked_at: float) -> int:
    within = [
        told['at']
        for told in needy.told
        if 'ran' in told and asked_at + _GRACE < told['at'] < asked_at + _PAUSE
    ]
    stage.record.write(
        f'requests that reached desk-1 between {_GRACE} and {_PAUSE} s after '
        f'its 503 with Retry-After: {len(within)} (allowed: {_MOST})'
    )
    return BROKEN if len(within) > _MOST else HELD


if __name__ == '__main__':
    sys.exit(run_case(play, __file__))
