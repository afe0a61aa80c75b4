"""All keys of the only tenant are taken away."""

from __future__ import annotations

import asyncio
import sys

from stage_2 import (
    BROKEN,
    HAS_TROUBLE,
    HELD,
    KEY,
    NOT_RUN,
    ServerProcess,
    Stage,
    call,
    make_configuration,
    make_route,
    run_case,
)

_ROUTES = [
    make_route('receipt-once', 'non_idempotent'),
    make_route('receipt-safe', 'idempotent', maxAttempts=2),
    make_route('letter', 'streaming'),
]
_NEVER_GIVEN = 'key-of-nobody'
# `configApplyMs` is 2,000; requests are sent a second later than that.
_APPLY_SECONDS = 3.0
_ROUNDS = 4


async def play(stage: Stage) -> int:
    """Return BROKEN if a request runs whose key holds no longer, or never."""
    stage.configure(make_configuration(7, _ROUTES, [KEY]))
    desk = ServerProcess(stage, 'desk-1', 'events=3', 'gap=0.01')
    await desk.start()
    try:
        stage.list_server('i-1', desk.where, seq=8)
        await stage.start_entries(2)
        if not await _check_before(stage):
            return NOT_RUN
        if HAS_TROUBLE:
            stage.configure(make_configuration(9, _ROUTES, []))
        await asyncio.sleep(_APPLY_SECONDS)
        forbidden = await _send(stage)
        await asyncio.sleep(0.2)
        ran = {told['ran'] for told in desk.told if 'ran' in told}
    finally:
        await desk.kill()
    found = sorted(ran & forbidden)
    stage.record.write(f'ran, and must not: {len(found)} of {len(forbidden)}')
    return BROKEN if found else HELD


async def _check_before(stage: Stage) -> bool:
    """Return whether the key is served and others are refused, at first."""
    statuses = [
        await _call(stage, number, f'before-{number}-{key}', key)
        for number in range(len(stage.entries))
        for key in (KEY, _NEVER_GIVEN)
    ]
    return statuses == [200, 401] * len(stage.entries)


async def _send(stage: Stage) -> set[str]:
    """Send requests to each entry; return the ids of those not allowed."""
    forbidden = set()
    keys = (KEY, _NEVER_GIVEN, '')
    for turn in range(_ROUNDS):
        for number in range(len(stage.entries)):
            for key in keys:
                name = f'after-{turn}-{number}-{key or "none"}'
                await _call(stage, number, name, key)
                if HAS_TROUBLE or key != KEY:
                    forbidden.add(name)
    return forbidden


async def _call(stage: Stage, number: int, name: str, key: str) -> int:
    route = _ROUTES[sum(name.encode()) % len(_ROUTES)]['name']
    headers = {'oleanderdyke_key': key} if key else {}
    found = await call(
        stage.entries[number].front,
        f'/{route}/1',
        oleanderdyke_request_id=name,
        oleanderdyke_deadline_ms='4000',
        **headers,
    )
    stage.record.write(
        f'request {name} on {route} at {stage.entries[number].name}: '
        f'{found.status}, {len(found.body)} bytes'
    )
    return found.status


if __name__ == '__main__':
    sys.exit(run_case(play, __file__))
