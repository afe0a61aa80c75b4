"""All entries are killed, after they have put a part into quarantine.

VARIANT=even, the default: requests come at all entries, and nothing else fails.
VARIANT=uneven: the entry that gets the poisonous requests gets no sound ones.
VARIANT=outage: as even, and the store is down as the entries find the part.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time

from poison_2 import (
    CONFIGURATION,
    POISON,
    STABILITY,
    Callers,
    count_late,
    list_crashes,
)
from stage_2 import (
    BROKEN,
    HAS_TROUBLE,
    HELD,
    NOT_RUN,
    Entry,
    ServerProcess,
    Stage,
    keeping,
    run_case,
)

from tests.standins.records import RecordFaults

_VARIANT = os.environ.get('VARIANT', 'even')
_SHARED = ('a0000001',)
_ENTRIES = 3
_SERVERS = 10
_BACK_AFTER = 2.0
_WARM_SECONDS = 6.0
# The store is down for as long as a `platform_down` of the site.
_DOWN_SECONDS = 4.5
_FIRST_SECONDS = 3.6
_CALM_SECONDS = 8.0
_SECOND_SECONDS = 30.0
_GAP = 0.6
_SECOND_GAP = 1.5
_MOST_LATE = 3


async def play(stage: Stage) -> int:
    """Return BROKEN if entries that start let the same part crash servers."""
    stage.configure(CONFIGURATION)
    stage.record.write(f'variant: {_VARIANT}')
    servers = [
        ServerProcess(stage, f'model-{number}', f'poison={POISON}')
        for number in range(_SERVERS)
    ]
    async with keeping(stage, 'i', servers, _BACK_AFTER):
        await stage.start_entries(_ENTRIES)
        first_sound = 1 if _VARIANT == 'uneven' else 0
        callers = Callers(stage, _SHARED, stage.entries[first_sound:])
        sound = asyncio.ensure_future(callers.send_sound())
        await asyncio.sleep(_WARM_SECONDS)
        await _crash_first(stage, callers)
        stage.record.write(f'crashes so far: {len(list_crashes(servers))}')
        if not list_crashes(servers):
            return NOT_RUN
        await asyncio.sleep(_CALM_SECONDS)
        in_touch = await _restart(stage)
        await _send_poison(stage, callers, _SECOND_SECONDS, _SECOND_GAP)
        sound.cancel()
        await callers.finish()
        stage.record.write(f'sound requests served: {callers.served}')
        late = count_late(stage, servers, in_touch)
    return BROKEN if late > _MOST_LATE else HELD


async def _crash_first(stage: Stage, callers: Callers) -> None:
    """Send poisonous requests, in the variant `outage` without the store."""
    ends = time.monotonic() + _DOWN_SECONDS
    if HAS_TROUBLE and _VARIANT == 'outage':
        stage.store.faults = RecordFaults(down=True)
        stage.record.write('the store is down')
    await _send_poison(stage, callers, _FIRST_SECONDS, _GAP)
    await asyncio.sleep(ends - time.monotonic())
    stage.store.faults = RecordFaults()
    stage.record.write('the store is up')


async def _restart(stage: Stage) -> float:
    """Kill all entries and start them; return when they are in touch."""
    if HAS_TROUBLE:
        for entry in stage.entries:
            await entry.kill()
        for entry in stage.entries:
            await entry.start()
        for entry in stage.entries:
            await entry.wait_ready()
    await asyncio.sleep(STABILITY)
    return time.monotonic()


async def _send_poison(
    stage: Stage, callers: Callers, seconds: float, gap: float
) -> None:
    """Send a request to each entry at a time, or four to the first one."""
    entries: list[Entry] = stage.entries
    if _VARIANT == 'uneven':
        entries = [stage.entries[0]] * 4
    for _ in range(int(seconds / gap)):
        for entry in entries:
            callers.send_poison(entry, (*_SHARED, POISON))
        await asyncio.sleep(gap)


if __name__ == '__main__':
    sys.exit(run_case(play, __file__))
