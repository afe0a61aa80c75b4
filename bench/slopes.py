"""Measure the cost of single control-plane operations.

Run `python -m bench.slopes`. Times are the minimum processor time of several
rounds; bytes are exact; memory is counted by tracemalloc.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import TypeVar

import anyio

from bench.memory import make_team
from bench.wire import linked, make_samples
from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.kernel.directory import Directory
from oleanderdyke.kernel.membership import FleetState
from oleanderdyke.kernel.objects import Change, ObjectKind
from oleanderdyke.kernel.records import encode_change
from oleanderdyke.links.codec import decode, encode
from oleanderdyke.links.messages import (
    PROTOCOL_VERSION,
    BackendKind,
    ConfigurationDifference,
    Heartbeat,
    Hello,
    Message,
    Role,
)
from oleanderdyke.links.messages.segments import SegmentEvents

AGENTS = 410
TEAM_COUNTS = (1_000, 10_000, 42_000)
_ROUNDS = 5
_REPETITIONS = 2_000
_HINTS = 100
_CHANGES = 200
_MICROS_PER_SECOND = 1e6

ResultT = TypeVar('ResultT')


def main() -> None:
    """Print the cost of every operation."""
    print_heartbeats()
    anyio.run(print_sent_messages)
    print_segment_hints()
    for count in TEAM_COUNTS:
        print_configuration(count)


def print_heartbeats() -> None:
    """Print the cost of a heartbeat without sockets and of agent state."""
    beat = make_beat()
    data = encode(beat)
    print(f'heartbeat: {len(data)} bytes')
    print_time('  encoded', lambda: encode(beat))
    print_time('  decoded', lambda: decode(data))
    gc.collect()
    tracemalloc.start()
    fleet = make_fleet(AGENTS)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    sequence = iter(range(1, 1_000_000))

    def apply() -> None:
        following = replace(
            beat, incarnation=f'{7:016x}', sequence=next(sequence)
        )
        if not fleet.on_heartbeat('agent-7', following, 1.0):
            raise AssertionError('the fleet did not accept the heartbeat')

    print_time(f'  taken into a fleet of {AGENTS}', apply)
    print(f'agent in the fleet state: {held / AGENTS:.0f} bytes')


def make_beat() -> Heartbeat:
    """Return the heartbeat of a busy engine's agent."""
    (beat,) = (
        each.message
        for each in make_samples()
        if isinstance(each.message, Heartbeat)
    )
    return beat


def make_fleet(count: int) -> FleetState:
    """Build a fleet in which every agent has sent a heartbeat."""
    fleet = FleetState(Catalog())
    for number in range(count):
        name = f'agent-{number}'
        incarnation = f'{number:016x}'
        hello = Hello(
            PROTOCOL_VERSION,
            Role.AGENT,
            name,
            incarnation,
            f'dc-{number % 10}',
            0,
            BackendKind.ENGINE,
            f'service-{number % 18}',
        )
        fleet.on_hello(hello, f'10.0.0.1:{number}', 0.0)
        data = encode(replace(make_beat(), incarnation=incarnation, sequence=0))
        beat = decode(data)
        if isinstance(beat, Heartbeat):
            fleet.on_heartbeat(name, beat, 0.0)
    return fleet


async def print_sent_messages() -> None:
    """Print the cost of a message at both ends of a link, with sockets."""
    for sample in make_samples()[1:3]:
        micros = await time_link(sample.message)
        print(f'{sample.name} sent and received: {micros:.1f} us at both ends')


async def time_link(message: Message) -> float:
    """Return the processor time of a message sent on its own, in us."""
    async with linked(1) as pairs:
        sender, receiver = pairs[0]
        best = float('inf')
        for _ in range(_ROUNDS):
            started = time.process_time()
            for _ in range(_REPETITIONS):
                await sender.send(message)
                await receiver.receive()
            best = min(best, time.process_time() - started)
    return best / _REPETITIONS * _MICROS_PER_SECOND


def print_segment_hints() -> None:
    """Print the mean cost of adding or removing one segment hint."""
    random = Random(1)
    hints = tuple(random.randbytes(8) for _ in range(_HINTS))
    messages = [
        SegmentEvents(turn * _HINTS, added=hints)
        if turn % 2 == 0
        else SegmentEvents(turn * _HINTS, removed=hints)
        for turn in range(_CHANGES)
    ]
    data = [encode(each) for each in messages]
    directory = Directory()
    directory.apply_events('agent', SegmentEvents(0, full=True), 0.0)

    def apply() -> None:
        for each in data:
            events = decode(each)
            if isinstance(events, SegmentEvents):
                directory.apply_events('agent', events, 0.0)

    started = time.process_time()
    apply()
    spent = (
        (time.process_time() - started)
        / (len(data) * _HINTS)
        * _MICROS_PER_SECOND
    )
    size = len(data[0]) / _HINTS
    print(f'segment hint: {size:.1f} bytes, {spent:.2f} us to take')


def print_configuration(count: int) -> None:
    """Print the cost of changes and snapshots with `count` teams."""
    catalog = Catalog()
    for number in range(count):
        catalog.apply_record(number, make_record(number))
    records = [make_record(count + number) for number in range(_CHANGES)]
    started = time.process_time()
    for number, data in enumerate(records):
        catalog.apply_record(count + number, data)
    spent = (time.process_time() - started) / _CHANGES * _MICROS_PER_SECOND
    message = ConfigurationDifference(0, 1, ((1, records[0]),))
    print(
        f'{count:,} teams: a change of {len(records[0])} bytes in a message '
        f'of {len(encode(message))}, {spent:.0f} us to apply'
    )
    chunks, making_time = time_once(catalog.snapshot)
    _, loading_time = time_once(lambda: Catalog().restore(chunks))
    size = sum(map(len, chunks))
    print(
        f'  snapshot of {size:,} bytes in {len(chunks)} records: '
        f'{making_time * 1e3:.0f} ms to make, '
        f'{loading_time * 1e3:.0f} ms to load'
    )


def make_record(number: int) -> bytes:
    """Encode the change that creates a team."""
    change = Change(
        f'{number:032x}',
        'example',
        ObjectKind.TEAM,
        f'team-{number:05}',
        0,
        make_team(number),
        1.0,
    )
    return encode_change(change)


def time_once(action: Callable[[], ResultT]) -> tuple[ResultT, float]:
    """Return a result and the processor time that it took, in seconds."""
    started = time.process_time()
    result = action()
    return result, time.process_time() - started


def print_time(label: str, action: Callable[[], object]) -> None:
    """Print the minimum processor time of an action."""
    best = float('inf')
    for _ in range(_ROUNDS):
        started = time.process_time()
        for _ in range(_REPETITIONS):
            action()
        best = min(best, time.process_time() - started)
    print(f'{label}: {best / _REPETITIONS * _MICROS_PER_SECOND:.1f} us')


if __name__ == '__main__':
    main()
