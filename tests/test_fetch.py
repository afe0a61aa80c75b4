"""Fetches of cached context from a store into an engine."""

from __future__ import annotations

import contextlib
import json
from collections.abc import AsyncGenerator
from dataclasses import dataclass, replace
from typing import Any

import anyio
import pytest

from agents import (
    FakeEntry,
    connect_entry,
    make_settings,
    make_source,
    run_agent,
    wait_until,
)
from oleanderdyke.agent.settings import CacheSettings
from oleanderdyke.clients.keep_alive import KeepAliveSettings
from oleanderdyke.kernel.blocks import make_hint, split_segments
from oleanderdyke.kernel.fetch_pace import PACE_TOLERANCE, FetchPace
from oleanderdyke.links.messages import BackendKind, Dispatch, FetchPlan
from oleanderdyke.links.messages.segments import SegmentEvents
from standins import cache, engine, server, store, web, weights

pytestmark = pytest.mark.anyio
TEXT = 'reglas ' * 1000
BODY = json.dumps({'messages': [{'role': 'user', 'content': TEXT}]}).encode()
TOKENS = cache.count_tokens(f'user\0{TEXT}\n'.encode())
SEGMENT_KV = cache.KV_BYTES_PER_TOKEN * cache.SEGMENT_TOKENS
DIGEST = weights.make_digest('modelo', '1')
# For tests in which a fetch only has to succeed: its speed depends on the load
# of the machine, so it must not be abandoned for being slower than computing.
# The timeout of `CacheSettings` still applies.
UNLIMITED_PATIENCE = 1_000.0
# In bytes per second: the next segment would take half a minute.
STALLED_RATE = 500.0
SLOW_IMPORT = 2 * KeepAliveSettings().reuse_timeout


@dataclass
class Site:
    store: store.Store
    engines: list[engine.Engine]
    entries: list[FakeEntry]
    shells: list[Any]
    store_agent: Any
    watcher: FakeEntry

    def plan(self, segments: tuple[bytes, ...]) -> FetchPlan:
        return FetchPlan(
            'memoria', f'127.0.0.1:{self.store_agent.port}', segments
        )

    def make_chat(
        self, number: int, request: str, **more: Any
    ) -> tuple[Dispatch, FetchPlan]:
        chat = self.entries[number].make_chat(request)
        prompt = f'user\0{TEXT}\n'.encode()
        segments = split_segments(chat.namespace, prompt)
        plan = self.plan(segments)
        return replace(chat, segments=segments, **more), plan

    async def keep(self) -> None:
        """Run once on the first engine, until all segments are exported."""
        chat, plan = self.make_chat(0, 'first')
        outcome = await self.entries[0].call(replace(chat, keep=plan), BODY)
        assert outcome.end is not None
        count = len(plan.segments)
        await wait_until(lambda: len(self.store.objects) == 2 * count)

    async def ask(self, request: str, plan: FetchPlan | None) -> Any:
        """Run on the second engine and return the end of the response."""
        chat, _ = self.make_chat(1, request)
        outcome = await self.entries[1].call(replace(chat, fetch=plan), BODY)
        assert outcome.end is not None
        return outcome.end


def list_reported(watcher: FakeEntry, change: str) -> list[bytes]:
    return [
        segment
        for each in watcher.messages
        if isinstance(each, SegmentEvents)
        for segment in getattr(each, change)
    ]


@contextlib.asynccontextmanager
async def site(
    *,
    link: float = 0.0,
    prefill: float = 20_000.0,
    patience: float = UNLIMITED_PATIENCE,
    **more: Any,
) -> AsyncGenerator[Site, None]:
    store_app = store.make_app(store.StoreSettings(link_bytes_per_second=link))
    async with contextlib.AsyncExitStack() as stack:

        async def enter(manager: Any) -> Any:
            return await stack.enter_async_context(manager)

        weight, store_address = await enter(
            server.serving(weights.make_app(), store_app)
        )
        settings = engine.EngineSettings(
            weights=weight, prefill_tokens_per_second=prefill
        )
        engines = [engine.make_app(settings) for _ in range(2)]
        addresses = await enter(server.serving(*engines))
        store_agent = await enter(
            run_agent(
                make_settings(BackendKind.STORE, store_address, 'memoria')
            )
        )
        watcher = await enter(connect_entry(store_agent))
        found = Site(store_app, engines, [], [], store_agent, watcher)
        await watcher.wait_serving()
        for address in addresses:
            agent = make_settings(
                BackendKind.ENGINE,
                address,
                'asistente',
                cache=CacheSettings(patience=patience, **more),
            )
            shell = await enter(run_agent(agent))
            entry = await enter(connect_entry(shell, make_source(DIGEST)))
            await entry.send_offset()
            await entry.wait_weights(DIGEST)
            found.shells.append(shell)
            found.entries.append(entry)
        yield found


async def test_context_is_fetched_from_the_store() -> None:
    async with site() as setup:
        await setup.keep()
        _, plan = setup.make_chat(1, 'x')
        end = await setup.ask('r', plan)
        assert end.recomputed_tokens < cache.SEGMENT_TOKENS
        assert end.prompt_tokens == TOKENS
        assert end.link_bytes == SEGMENT_KV * len(plan.segments)
        assert setup.engines[1].stats.imports == len(plan.segments)


async def test_requests_that_wait_for_one_segment_share_its_fetch() -> None:
    async with site(link=1e6, prefill=4_000.0) as setup:
        await setup.keep()
        _, plan = setup.make_chat(1, 'x')
        ends: list[Any] = []

        async def ask(request: str) -> None:
            ends.append(await setup.ask(request, plan))

        async with anyio.create_task_group() as group:
            for number in range(4):
                group.start_soon(ask, f'r{number}')
        assert setup.engines[1].stats.imports == len(plan.segments)
        assert sum(each.link_bytes > 0 for each in ends) == 1
        assert all(
            each.recomputed_tokens < cache.SEGMENT_TOKENS for each in ends
        )


@pytest.mark.parametrize('damage', ['corrupt', 'truncate', 'lose'])
async def test_damaged_context_is_recomputed(damage: str) -> None:
    async with site() as setup:
        await setup.keep()
        names = [
            each for each in setup.store.objects if not each.endswith('.meta')
        ]
        setup.store.faults = store.StoreFaults(**{damage: names})
        setup.store.note_faults()
        _, plan = setup.make_chat(1, 'x')
        end = await setup.ask('r', plan)
        assert end.recomputed_tokens == TOKENS
        assert setup.engines[1].stats.imports == 0
        assert setup.engines[1].stats.corrupt_used == 0


async def test_only_the_leading_whole_segments_are_used() -> None:
    async with site() as setup:
        await setup.keep()
        _, plan = setup.make_chat(1, 'x')
        broken = plan.segments[2].hex()
        names = [each for each in setup.store.objects if broken in each]
        setup.store.faults = store.StoreFaults(lose=names)
        setup.store.note_faults()
        end = await setup.ask('r', plan)
        assert setup.engines[1].stats.imports == 2
        assert end.recomputed_tokens == TOKENS - 2 * cache.SEGMENT_TOKENS


@pytest.mark.parametrize('how', ['evicted', 'lost by the store'])
async def test_segment_missing_since_the_plan_is_recomputed_and_reported(
    how: str,
) -> None:
    async with site() as setup:
        await setup.keep()
        _, plan = setup.make_chat(1, 'x')
        gone = plan.segments[2]
        # The removal of a segment is reported only if it has been added.
        await wait_until(
            lambda: make_hint(gone) in list_reported(setup.watcher, 'added')
        )
        if how == 'evicted':
            setup.store_agent._role._store._index.free(gone)
        else:
            names = [each for each in setup.store.objects if gone.hex() in each]
            setup.store.faults = store.StoreFaults(lose=names)
            setup.store.note_faults()
        end = await setup.ask('r', plan)
        assert end.recomputed_tokens == TOKENS - 2 * cache.SEGMENT_TOKENS
        await wait_until(
            lambda: make_hint(gone) in list_reported(setup.watcher, 'removed')
        )


async def test_unreachable_store_only_causes_a_recompute() -> None:
    async with site() as setup:
        _, plan = setup.make_chat(1, 'x')
        dead = replace(plan, address='127.0.0.1:1')
        end = await setup.ask('r', dead)
        assert end.recomputed_tokens == TOKENS


async def test_fetch_slower_than_computing_is_abandoned() -> None:
    usual = CacheSettings().patience
    async with site(link=2e5, prefill=50_000.0, patience=usual) as setup:
        chat, plan = setup.make_chat(0, 'first')
        few = replace(plan, segments=plan.segments[:2])
        await setup.entries[0].call(replace(chat, keep=few), BODY)
        await wait_until(lambda: len(setup.store.objects) == 4)
        setup.store.faults = store.StoreFaults(link_bytes_per_second=2e4)
        setup.store.note_faults()
        end = await setup.ask('r', few)
        assert end.recomputed_tokens > TOKENS - 2 * cache.SEGMENT_TOKENS
        fetcher = setup.shells[1]._role.preparer._fetcher
        with anyio.fail_after(10):
            await fetcher.wait_idle()


class SlowingPipe(web.Pipe):
    """A link that carries one segment at once and the rest very slowly."""

    async def carry(self, units: float) -> None:
        await super().carry(units)
        self.rate = STALLED_RATE


async def test_fetch_that_slows_down_is_cancelled_and_the_rest_computed() -> (
    None
):
    # The first segment may take the time of six; the second only its own.
    async with site(patience=100.0) as setup:
        await setup.keep()
        setup.store._link = SlowingPipe(0.0)
        _, plan = setup.make_chat(1, 'x')
        end = await setup.ask('r', plan)
        assert end.recomputed_tokens == TOKENS - cache.SEGMENT_TOKENS
        assert end.link_bytes < 2 * SEGMENT_KV
        # The store's agent has stopped the read and unpinned all segments.
        await wait_until(lambda: setup.store_agent._role.measure().running == 0)
        assert setup.store_agent._role.measure().link_bytes_in_flight == 0
        assert not setup.store_agent._role._store._index._pins._pins


@pytest.mark.parametrize('patience', [CacheSettings().patience, 5.0])
async def test_segment_may_take_patience_times_what_computing_it_takes(
    patience: float,
) -> None:
    async with site(prefill=4_000.0, patience=patience) as setup:
        await setup.keep()
        fetcher = setup.shells[1]._role.preparer._fetcher
        fetch, steps = fetcher.fetch, []

        async def record(*args: Any, step: float, **more: Any) -> Any:
            steps.append(step)
            return await fetch(*args, step=step, **more)

        fetcher.fetch = record
        _, plan = setup.make_chat(1, 'x')
        await setup.ask('r', plan)
        assert steps == [patience * cache.SEGMENT_TOKENS / 4_000.0 * 1_000]


async def test_waiter_that_leaves_does_not_stop_the_fetch_of_others() -> None:
    async with site(link=1e6, prefill=4_000.0) as setup:
        await setup.keep()
        fetcher = setup.shells[1]._role.preparer._fetcher
        _, plan = setup.make_chat(1, 'x')
        counts: list[int] = []

        async def fetch(step: float) -> None:
            namespace = setup.make_chat(1, 'x')[0].namespace
            fetched = await fetcher.fetch(plan, namespace, step=step)
            counts.append(fetched.segments)

        async with anyio.create_task_group() as group:
            group.start_soon(fetch, 0.1)
            group.start_soon(fetch, 10_000.0)
        assert counts == [0, len(plan.segments)]
        assert setup.engines[1].stats.imports == len(plan.segments)


# Guards against sending a segment again to an engine that imports for longer
# than a reused connection may take to answer.
async def test_slow_engine_gets_each_segment_once() -> None:
    async with site() as setup:
        await setup.keep()
        slow = setup.engines[1]
        move = slow._move_kv

        async def move_slowly(segment: bytes, request: web.Request) -> Any:
            answer = await move(segment, request)
            await web.sleep(SLOW_IMPORT)
            return answer

        slow._move_kv = move_slowly  # type: ignore[method-assign]
        _, plan = setup.make_chat(1, 'x')
        end = await setup.ask('r', plan)
        assert slow.stats.imports == len(plan.segments)
        assert end.recomputed_tokens < cache.SEGMENT_TOKENS


def test_pace_is_measured_once_the_first_segment_has_come() -> None:
    pace = FetchPace(10, step=10.0, limit=500.0, now=1_000.0)
    assert pace.find_deadline(0, 1_000.0) == 1_100.0
    assert pace.find_deadline(0, 1_000.0, sharing=3) == 1_300.0
    assert pace.find_deadline(1, 1_090.0) == 1_090.0 + PACE_TOLERANCE + 10.0
    assert pace.find_deadline(2, 1_095.0) == 1_090.0 + PACE_TOLERANCE + 20.0
    assert (
        pace.find_deadline(3, 1_100.0, sharing=2)
        == 1_090.0 + PACE_TOLERANCE + 60.0
    )
    assert pace.find_deadline(40, 1_400.0) == 1_500.0


async def test_export_queue_is_bounded() -> None:
    async with site(export_queue=2) as setup:
        chat, plan = setup.make_chat(0, 'first')
        await setup.entries[0].call(replace(chat, keep=plan), BODY)
        await wait_until(lambda: len(setup.store.objects) == 4)
        assert setup.shells[0]._role._exporter.dropped == len(plan.segments) - 2
