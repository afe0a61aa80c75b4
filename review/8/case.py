"""A part that crashes servers stands far back in long prompts."""

from __future__ import annotations

import asyncio
import os
import sys

from poison_2 import (
    CONFIGURATION,
    POISON,
    Callers,
    count_late,
    list_crashes,
)
from stage_2 import (
    BROKEN,
    HAS_TROUBLE,
    HELD,
    NOT_RUN,
    ServerProcess,
    Stage,
    keeping,
    run_case,
)

# The parts of a prompt before the poisonous one: a long conversation.
_POSITION = int(os.environ.get('POSITION', '70'))
_SERVERS = 5
_BACK_AFTER = 2.0
_WARM_SECONDS = 5.0
_POISON_SECONDS = 40.0
_POISON_GAP = 1.5
_MOST_LATE = 3


async def play(stage: Stage) -> int:
    """Return BROKEN if requests with the part go on to reach servers."""
    stage.configure(CONFIGURATION)
    servers = [
        ServerProcess(stage, f'model-{number}', f'poison={POISON}')
        for number in range(_SERVERS)
    ]
    shared = [f'a{number:07x}' for number in range(_POSITION)]
    async with keeping(stage, 'i', servers, _BACK_AFTER):
        await stage.start_entries(2)
        callers = Callers(stage, shared)
        sound = asyncio.ensure_future(callers.send_sound())
        await asyncio.sleep(_WARM_SECONDS)
        await _send_poison(stage, callers, shared)
        sound.cancel()
        await callers.finish()
        stage.record.write(f'sound requests served: {callers.served}')
        if HAS_TROUBLE and not list_crashes(servers):
            return NOT_RUN
        late = count_late(stage, servers, 0.0)
    return BROKEN if late > _MOST_LATE else HELD


async def _send_poison(
    stage: Stage, callers: Callers, shared: list[str]
) -> None:
    for turn in range(int(_POISON_SECONDS / _POISON_GAP)):
        if HAS_TROUBLE:
            entry = stage.entries[turn % len(stage.entries)]
            callers.send_poison(entry, (*shared, POISON))
        await asyncio.sleep(_POISON_GAP)


if __name__ == '__main__':
    sys.exit(run_case(play, __file__))
