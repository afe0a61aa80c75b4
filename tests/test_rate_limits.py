"""Backend servers in need name how many requests a second they accept."""

from __future__ import annotations

import contextlib

import anyio
import pytest

from oleanderdyke.clock import SECOND, make_clock
from tests.hosted import Stage, staging
from tests.standins.scripts import answer_well

LIMIT = 4.0
# Beside the rate itself a server tolerates some requests at once.
BURST = 5
CLOCK = make_clock()


class LimitedServer:
    """Name a limit in each answer and note when requests came."""

    def __init__(self, limit: float) -> None:
        self.limit: float | None = limit
        self.arrivals: list[float] = []

    async def __call__(self, peer) -> None:
        self.arrivals.append(CLOCK.now())
        named = '' if self.limit is None else f'{self.limit}'
        await peer.answer(server_limit=named)

    def count_since(self, moment: float) -> int:
        return sum(at >= moment for at in self.arrivals)


@contextlib.asynccontextmanager
async def serving_entries(directory, count, *scripts):
    """Run some entries before the same backend servers."""
    async with contextlib.AsyncExitStack() as stack:
        stages: list[Stage] = []
        for number in range(count):
            path = directory / f'front-{number}'
            path.mkdir()
            staged = staging(
                path,
                *(() if stages else scripts),
                store=stages[0].store if stages else None,
                name=f'front-{number}',
            )
            stages.append(await stack.enter_async_context(staged))
        for stage in stages:
            await wait_until(stage.is_ready)
        yield stages


async def wait_until(condition) -> None:
    with anyio.fail_after(10):
        while not await condition():
            await anyio.sleep(0.02)


async def send_for(stage: Stage, seconds: float) -> list[int]:
    """Send a request each 40 ms; return the statuses of the answers."""
    statuses: list[int] = []

    async def send() -> None:
        statuses.append((await stage.call('/safe/x')).status)

    async with anyio.create_task_group() as tasks:
        for _ in range(round(seconds / 0.04)):
            tasks.start_soon(send)
            await anyio.sleep(0.04)
    return statuses


# Two servers that had named a limit got up to three times as much, as no entry
# read what they named.
@pytest.mark.anyio
async def test_entries_together_keep_to_the_limit_that_a_server_names(tmp_path):
    limited = LimitedServer(LIMIT)
    async with serving_entries(tmp_path, 3, limited, answer_well) as stages:
        async with anyio.create_task_group() as tasks:
            for stage in stages:
                tasks.start_soon(send_for, stage, 3.0)
            await anyio.sleep(0.5)
            begun = CLOCK.now()
        seconds = (CLOCK.now() - begun) / SECOND
        assert limited.count_since(begun) <= LIMIT * seconds + BURST
