"""Sound and poisonous requests, and the count that the rule makes."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence

from stage_2 import (
    KEY,
    MODEL,
    Answer,
    Entry,
    ServerProcess,
    Stage,
    call,
    make_configuration,
    make_route,
)

POISON = 'f00dbad1'
ROUTES = [make_route('verdict', 'streaming', resumable=True, maxAttempts=2)]
CONFIGURATION = make_configuration(7, ROUTES, [KEY])
# `stabilityWindowMs`.
STABILITY = 3.0
_PATH = '/verdict/1'
_FIFTH = 4
_SOUND_GAP = 0.1
_DOCUMENTS = ('b1000001', 'b1000002', 'b1000003', 'b1000004')


class Callers:
    """Send requests whose prompts have common parts to all entries in turn."""

    def __init__(
        self,
        stage: Stage,
        shared: Sequence[str],
        entries: Sequence[Entry] = (),
    ) -> None:
        self._stage = stage
        # Those that get sound requests.
        self._entries = entries or stage.entries
        self._shared = tuple(shared)
        self._numbers = itertools.count(1)
        self._sent: set[asyncio.Task[Answer]] = set()
        self.served = 0

    async def send_sound(self) -> None:
        """Send sound requests until cancelled."""
        for number in itertools.count():
            entry = self._pick(number)
            document = _DOCUMENTS[number % len(_DOCUMENTS)]
            self._send(entry, 'sound', (*self._shared, document))
            await asyncio.sleep(_SOUND_GAP)

    def send_poison(self, entry: Entry, parts: Sequence[str]) -> None:
        """Send a request that no other one equals."""
        self._send(entry, 'poison', parts)

    async def finish(self) -> None:
        """Wait for the answers of what was sent."""
        await asyncio.gather(*self._sent)

    def _pick(self, number: int) -> Entry:
        return self._entries[number % len(self._entries)]

    def _send(self, entry: Entry, kind: str, parts: Sequence[str]) -> None:
        number = next(self._numbers)
        sent = asyncio.ensure_future(
            self._call(entry, f'{kind}-{number}', (*parts, f'{number:08x}'))
        )
        self._sent.add(sent)
        sent.add_done_callback(self._sent.discard)

    async def _call(
        self, entry: Entry, name: str, parts: Sequence[str]
    ) -> Answer:
        prefix = ','.join(f'{part}:16' for part in parts)
        found = await call(
            entry.front,
            _PATH,
            body=name.encode(),
            seconds=8.0,
            oleanderdyke_request_id=name,
            oleanderdyke_deadline_ms='6000',
            oleanderdyke_key=KEY,
            oleanderdyke_model=MODEL,
            oleanderdyke_token_usage=f'{16 * len(parts)},40',
            oleanderdyke_prompt_prefix=prefix,
        )
        is_served = found.status == 200 and found.is_whole
        self.served += is_served
        if not is_served or name.startswith('poison'):
            self._stage.record.write(
                f'answer {name} at {entry.name}: {found.status}, '
                f'{"whole" if found.is_whole else "cut"}'
            )
        return found


def list_crashes(servers: Sequence[ServerProcess]) -> list[float]:
    """Return when servers crashed, in order."""
    return sorted(at for each in servers for at in each.crashes)


def count_late(
    stage: Stage, servers: Sequence[ServerProcess], since: float
) -> int:
    """Count the poisonous requests that came too late, and record them.

    They are those that reached servers later than `STABILITY` after the fifth
    crash, and later than `since`, when the entries were in touch again.
    """
    crashes = list_crashes(servers)
    if len(crashes) <= _FIFTH:
        stage.record.write(f'{len(crashes)} crashes; the rule begins at five')
        return 0
    limit = max(crashes[_FIFTH] + STABILITY, since)
    late = sum(
        bool(told.get('poisoned')) and told['at'] > limit
        for each in servers
        for told in each.told
    )
    stage.record.write(
        f'{len(crashes)} crashes, the fifth at '
        f'{stage.record.convert(crashes[_FIFTH]):.3f}; poisonous requests that '
        f'reached servers after {stage.record.convert(limit):.3f}: {late} '
        '(allowed: 3)'
    )
    return late
