"""All entries are killed, and clients take their streams up again."""

from __future__ import annotations

import asyncio
import re
import sys
import time
from dataclasses import dataclass, field

from stage_2 import (
    BROKEN,
    HAS_TROUBLE,
    HELD,
    KEY,
    NOT_RUN,
    Answer,
    ServerProcess,
    Stage,
    call,
    make_configuration,
    make_route,
    run_case,
)

_ROUTES = [make_route('verdict', 'streaming', resumable=True, maxAttempts=2)]
_EVENTS = 40
_GAP = 0.25
_SERVERS = 3
_WARM_SECONDS = 6.0
# Streams begin in this time before the kill, and for a while after it.
_BEGIN_SECONDS = 3.5
_BEGIN_GAP = 0.125
_AFTER_SECONDS = 9.0
# A client's pauses before its retries, longer where `Retry-After` is.
_PAUSES = (0.3, 1.2, 3.0)
_DEADLINE = 12.0
# `stabilityWindowMs`.
_STABILITY = 3.0
# The rule counts from so many streams on.
_LEAST = 12
_EVENT = re.compile(rb'id: (\d+)\ndata: word\d+\n\n')


@dataclass(slots=True)
class Tries:
    """When streams were begun or taken up, and whether they were served."""

    new: list[tuple[float, bool]] = field(default_factory=list)
    taken_up: list[tuple[float, bool]] = field(default_factory=list)


def list_numbers(found: Answer) -> list[int]:
    """Return the numbers of the events that a client got."""
    if found.status != 200:
        return []
    return [int(number) for number in _EVENT.findall(found.body)]


class Client:
    """A client that takes its stream up a few times, at other entries."""

    def __init__(self, stage: Stage, number: int, tries: Tries) -> None:
        self._stage = stage
        self._number = number
        self._tries = tries
        self._ends = time.monotonic() + _DEADLINE

    async def run(self, cut_at: float) -> None:
        """Stream; without the kill, the client's own side cuts at a time."""
        seconds = _DEADLINE
        if not HAS_TROUBLE:
            seconds = max(cut_at - time.monotonic(), 0.1)
        found = await self._send(0, seconds)
        numbers = list_numbers(found)
        if not numbers or found.is_whole:
            return
        pause = 0.0
        for attempt, own_pause in enumerate(_PAUSES, start=1):
            await asyncio.sleep(max(own_pause, pause))
            if time.monotonic() >= self._ends:
                return
            at = time.monotonic()
            found = await self._take_up(attempt, numbers[-1])
            goes_on = list_numbers(found)[:1] == [numbers[-1] + 1]
            self._tries.taken_up.append((at, goes_on))
            self._stage.record.write(
                f'stream {self._number} taken up after {numbers[-1]}, '
                f'{found.status}, {"goes on" if goes_on else "does not"}: '
                f'{found.body[:120]!r}',
                at,
            )
            if goes_on:
                return
            pause = float(found.headers.get('retry-after', '0'))

    async def begin(self) -> None:
        """Begin a stream and leave it once it has begun."""
        at = time.monotonic()
        found = await self._send(0, 1.5)
        self._tries.new.append((at, bool(list_numbers(found))))

    async def _take_up(self, attempt: int, last: int) -> Answer:
        left = self._ends - time.monotonic()
        return await self._send(
            attempt,
            min(left, 2.5),
            last_event_id=str(last),
            resumes=f's{self._number}-0',
        )

    async def _send(
        self, attempt: int, seconds: float, **headers: str
    ) -> Answer:
        entries = self._stage.entries
        entry = entries[(self._number + attempt) % len(entries)]
        left = max(self._ends - time.monotonic(), 0.1)
        return await call(
            entry.front,
            '/verdict/1',
            body=f's{self._number}'.encode(),
            seconds=seconds,
            oleanderdyke_request_id=f's{self._number}-{attempt}',
            oleanderdyke_deadline_ms=str(int(left * 1_000)),
            oleanderdyke_key=KEY,
            **headers,
        )


async def play(stage: Stage) -> int:
    """Return BROKEN if streams that are taken up are mostly refused."""
    stage.configure(make_configuration(7, _ROUTES, [KEY]))
    servers = [
        ServerProcess(stage, f'model-{n}', f'events={_EVENTS}', f'gap={_GAP}')
        for n in range(_SERVERS)
    ]
    try:
        for number, each in enumerate(servers):
            await each.start()
            stage.list_server(f'i-{number}', each.where, seq=8)
        await stage.start_entries(2)
        await asyncio.sleep(_WARM_SECONDS)
        tries = Tries()
        in_touch = await _play_streams(stage, tries)
    finally:
        for each in servers:
            await each.kill()
    return _judge(stage, tries, in_touch)


async def _play_streams(stage: Stage, tries: Tries) -> float:
    """Begin streams, cut them all; return when the entries are in touch."""
    cut_at = time.monotonic() + _BEGIN_SECONDS + 0.5
    tasks = []
    for number in range(int(_BEGIN_SECONDS / _BEGIN_GAP)):
        client = Client(stage, number, tries)
        tasks.append(asyncio.ensure_future(client.run(cut_at)))
        await asyncio.sleep(_BEGIN_GAP)
    await asyncio.sleep(cut_at - time.monotonic())
    in_touch = await _restart(stage) if HAS_TROUBLE else cut_at
    for number in range(1_000, 1_000 + int(_AFTER_SECONDS / _BEGIN_GAP)):
        client = Client(stage, number, tries)
        tasks.append(asyncio.ensure_future(client.begin()))
        await asyncio.sleep(_BEGIN_GAP)
    await asyncio.gather(*tasks)
    return in_touch


async def _restart(stage: Stage) -> float:
    """Kill all entries and start them; return when they are in touch."""
    for entry in stage.entries:
        await entry.kill()
    for entry in stage.entries:
        await entry.start()
    for entry in stage.entries:
        await entry.wait_ready()
    return time.monotonic() + _STABILITY


def _judge(stage: Stage, tries: Tries, in_touch: float) -> int:
    taken_up = [is_on for at, is_on in tries.taken_up if at >= in_touch]
    new = [is_on for at, is_on in tries.new if at >= in_touch]
    stage.record.write(
        f'from {stage.record.convert(in_touch):.3f} on: {sum(taken_up)} of '
        f'{len(taken_up)} streams taken up went on, {sum(new)} of {len(new)} '
        'new ones began'
    )
    if not new or not any(new) or len(taken_up) < _LEAST:
        return NOT_RUN
    share = sum(taken_up) / len(taken_up)
    return BROKEN if share < sum(new) / len(new) / 2 else HELD


if __name__ == '__main__':
    sys.exit(run_case(play, __file__))
