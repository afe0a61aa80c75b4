"""Segments that the agent of a store makes visible, hides or sends."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import AsyncGenerator
from typing import Any

import anyio
import pytest

from agents import (
    FakeEntry,
    connect_entry,
    make_settings,
    run_agent,
    wait_until,
)
from oleanderdyke.agent.link_scheduler import LinkScheduler
from oleanderdyke.agent.settings import CacheSettings
from oleanderdyke.clock import ManualClock
from oleanderdyke.kernel.blocks import digest_segment
from oleanderdyke.links.messages import AgentPhase, BackendKind, Cancel
from oleanderdyke.links.messages.segments import (
    SegmentEvents,
    SegmentMissing,
    SegmentPart,
    SegmentRead,
    SegmentWanted,
    SegmentWrite,
    SegmentWritten,
)
from standins import server, store

pytestmark = pytest.mark.anyio
NAMESPACE = bytes(32)
SEGMENT = b's' * 32
DATA = bytes(range(256)) * 400
PART = 40_000


@contextlib.asynccontextmanager
async def store_agent(
    app: store.Store, **more: Any
) -> AsyncGenerator[tuple[Any, FakeEntry], None]:
    async with server.serving(app) as (address,):
        settings = make_settings(
            BackendKind.STORE,
            address,
            'memoria',
            cache=CacheSettings(part_size=16 * 1024, **more),
        )
        async with run_agent(settings) as shell, connect_entry(shell) as entry:
            await entry.wait_serving()
            yield shell, entry


def make_write(
    request: str, segment: bytes = SEGMENT, data: bytes = DATA
) -> SegmentWrite:
    return SegmentWrite(
        request, NAMESPACE, segment, len(data), digest_segment(data)
    )


def split(write: SegmentWrite, data: bytes = DATA) -> list[SegmentPart]:
    starts = range(0, len(data), PART)
    return [
        SegmentPart(
            write.request,
            write.segment,
            0,
            start,
            data[start : start + PART],
            len(data),
            write.digest,
            last=start == starts[-1],
        )
        for start in starts
    ]


def find(entry: FakeEntry, kind: type[Any], request: str) -> list[Any]:
    return [
        each
        for each in entry.messages
        if isinstance(each, kind) and each.request == request
    ]


async def write_segment(
    entry: FakeEntry, write: SegmentWrite, parts: list[SegmentPart]
) -> SegmentWritten:
    def answered() -> bool:
        return bool(find(entry, SegmentWritten, write.request))

    await entry.link.send(write)
    await wait_until(
        lambda: answered() or bool(find(entry, SegmentWanted, write.request))
    )
    if not answered():
        for part in parts:
            await entry.link.send(part)
    await wait_until(answered)
    written: SegmentWritten = find(entry, SegmentWritten, write.request)[0]
    return written


async def read(
    entry: FakeEntry,
    request: str,
    *segments: bytes,
    namespace: bytes = NAMESPACE,
) -> bytes | None:
    segments = segments or (SEGMENT,)
    await entry.link.send(SegmentRead(request, namespace, segments))

    def lasts() -> list[SegmentPart]:
        parts = find(entry, SegmentPart, request)
        return [each for each in parts if each.last]

    await wait_until(
        lambda: (
            len(lasts()) == len(segments)
            or bool(find(entry, SegmentMissing, request))
        )
    )
    if find(entry, SegmentMissing, request):
        return None
    return b''.join(each.data for each in find(entry, SegmentPart, request))


async def wait_reported(entry: FakeEntry, change: str) -> None:
    await wait_until(
        lambda: any(
            SEGMENT[:8] in getattr(each, change)
            for each in entry.messages
            if isinstance(each, SegmentEvents)
        )
    )


async def test_stored_segment_is_read_complete_and_requested_once() -> None:
    async with store_agent(store.make_app()) as (_, entry):
        write = make_write('w')
        assert (await write_segment(entry, write, split(write))).sealed
        assert await read(entry, 'r') == DATA
        again = make_write('w2')
        assert (await write_segment(entry, again, [])).sealed
        assert not find(entry, SegmentWanted, 'w2')
        await wait_reported(entry, 'added')


async def test_another_namespace_finds_nothing() -> None:
    async with store_agent(store.make_app()) as (_, entry):
        write = make_write('w')
        await write_segment(entry, write, split(write))
        assert await read(entry, 'r', namespace=bytes([1]) * 32) is None


@pytest.mark.parametrize('damage', ['corrupt', 'truncate', 'lose'])
async def test_damaged_object_is_missing_and_freed(damage: str) -> None:
    app = store.make_app()
    async with store_agent(app) as (_, entry):
        write = make_write('w')
        await write_segment(entry, write, split(write))
        await wait_reported(entry, 'added')
        names = [each for each in app.objects if not each.endswith('.meta')]
        app.faults = store.StoreFaults(**{damage: names})
        app.note_faults()
        assert await read(entry, 'r') is None
        parts = find(entry, SegmentPart, 'r')
        assert not any(each.last for each in parts)
        await wait_reported(entry, 'removed')
        again = make_write('w2')
        assert (await write_segment(entry, again, split(again))).sealed


async def test_wrong_bytes_are_never_sealed() -> None:
    app = store.make_app()
    async with store_agent(app) as (_, entry):
        write = make_write('w')
        wrong = split(write, DATA[::-1])
        assert not (await write_segment(entry, write, wrong)).sealed
        assert await read(entry, 'r') is None
        assert not app.objects


async def test_full_store_shows_nothing_of_a_write() -> None:
    app = store.make_app()
    async with store_agent(app) as (_, entry):
        app.faults = store.StoreFaults(full=True)
        write = make_write('w')
        written = await write_segment(entry, write, split(write))
        assert (written.sealed, written.detail) == (False, 'store_full')
        assert await read(entry, 'r') is None


async def test_write_cut_off_by_its_link_leaves_nothing() -> None:
    app = store.make_app()
    async with store_agent(app) as (shell, entry):
        async with connect_entry(shell, name='e2') as other:
            write = make_write('w')
            await other.link.send(write)
            await wait_until(lambda: bool(find(other, SegmentWanted, 'w')))
            await other.link.send(split(write)[0])
        await wait_until(lambda: len(shell._outboxes) == 1)
        assert await read(entry, 'r') is None
        write = make_write('w')
        assert (await write_segment(entry, write, split(write))).sealed


async def test_restarted_agent_shows_only_what_is_whole() -> None:
    app = store.make_app()
    async with store_agent(app) as (_, entry):
        for number in range(2):
            write = make_write(f'w{number}', bytes([number]) * 32)
            await write_segment(entry, write, split(write))
    whole, broken = sorted(
        each for each in app.objects if not each.endswith('.meta')
    )
    app.objects[broken] = app.objects[broken][:-1]
    app.objects['orphan'] = b'never sealed'
    async with store_agent(app) as (_, entry):
        assert await read(entry, 'r0', bytes(32)) == DATA
        assert await read(entry, 'r1', bytes([1]) * 32) is None
        await wait_until(lambda: set(app.objects) == {whole, f'{whole}.meta'})


async def test_store_that_stops_answering_hides_everything() -> None:
    app = store.make_app()
    async with store_agent(app) as (_, entry):
        write = make_write('w')
        await write_segment(entry, write, split(write))
        app.faults = store.StoreFaults(down=True)
        await wait_until(
            lambda: (
                entry.beat is not None
                and entry.beat.phase is AgentPhase.STARTING
            )
        )
        assert await read(entry, 'r') is None
        assert not (await write_segment(entry, make_write('w2'), [])).sealed
        app.faults = store.StoreFaults()
        await entry.wait_serving()
        assert await read(entry, 'r2') == DATA


async def test_readers_share_the_link_part_by_part() -> None:
    app = store.make_app(store.StoreSettings(link_bytes_per_second=2e6))
    async with store_agent(app) as (shell, entry):
        for number in range(2):
            write = make_write(f'w{number}', bytes([number]) * 32)
            await write_segment(entry, write, split(write))
        # Block turns until the store has sent all data for both readers, so
        # that the order of turns alone decides, not that of the data.
        scheduler = shell._role._store._scheduler
        await wait_until(lambda: not scheduler._busy)
        scheduler._busy = True
        async with anyio.create_task_group() as group:
            for number in range(2):
                segment = bytes([number]) * 32
                group.start_soon(read, entry, f'r{number}', segment)
            await wait_until(
                lambda: (
                    len(scheduler._reads) == 2
                    and app.read_bytes == 2 * len(DATA)
                    and entry.beat is not None
                    and entry.beat.load.link_bytes_in_flight == 2 * len(DATA)
                )
            )
            scheduler._busy = False
            scheduler._wake_next()
        order = [
            each.request
            for each in entry.messages
            if isinstance(each, SegmentPart)
        ]
        switches = sum(a != b for a, b in itertools.pairwise(order))
        assert switches == len(order) - 1
        assert entry.beat is not None
        assert entry.beat.load.link_bytes_per_second > 0


async def test_cancelled_read_stops_sending() -> None:
    app = store.make_app(store.StoreSettings(link_bytes_per_second=1e6))
    async with store_agent(app) as (shell, entry):
        write = make_write('w')
        await write_segment(entry, write, split(write))
        await entry.link.send(SegmentRead('r', NAMESPACE, (SEGMENT,)))
        await wait_until(lambda: bool(find(entry, SegmentPart, 'r')))
        await entry.link.send(Cancel('r', 0))
        await wait_until(lambda: shell._role.measure().running == 0)
        assert not any(each.last for each in find(entry, SegmentPart, 'r'))
        assert shell._role.measure().link_bytes_in_flight == 0


async def test_writes_wait_for_every_reader() -> None:
    scheduler = LinkScheduler(ManualClock())
    order: list[str] = []

    async def read_one(name: str) -> None:
        await scheduler.wait_read(1)
        order.append(name)

    async def write_one() -> None:
        await scheduler.wait_write(1)
        order.append('write')

    scheduler._busy = True
    async with anyio.create_task_group() as group:
        group.start_soon(write_one)
        await anyio.wait_all_tasks_blocked()
        group.start_soon(read_one, 'one')
        group.start_soon(read_one, 'two')
        await anyio.wait_all_tasks_blocked()
        scheduler._busy = False
        scheduler._wake_next()
    assert order == ['one', 'two', 'write']
