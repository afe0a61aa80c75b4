"""Overloaded backend servers announce the request rate they accept."""

from __future__ import annotations

import contextlib
from collections.abc import Sequence

import anyio
import pytest

from oleanderdyke.clock import SECOND, make_clock
from oleanderdyke.kernel.servers import ServerStart
from tests.hosted import Stage, prefer, run_while_connecting, staging
from tests.standins.scripts import answer_well, naming
from tests.test_send_limits import Entries

LIMIT = 4.0
# Requests that a server tolerates at once beyond its rate.
BURST = 5
ANSWERED, REFUSED = 200, 503
CLOCK = make_clock()


class LimitedServer:
    """Announce a limit in each answer and record the arrivals."""

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
    """Run several entries with the same backend servers."""
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
            set_known_entries(stage, stages)
        yield stages


def set_known_entries(stage: Stage, others: Sequence[Stage] = ()) -> None:
    """Make the exact set of entries known, as it is after a while."""
    names = {each.core.settings.process for each in (stage, *others)}
    stage.core.limits.entries = Entries(tuple(names), spare=0)


async def wait_until(condition) -> None:
    with anyio.fail_after(10):
        while not await condition():
            await anyio.sleep(0.02)


async def send_for(stage: Stage, seconds: float) -> list[int]:
    """Send a request every 40 ms; return the statuses of the answers."""
    statuses: list[int] = []

    async def send() -> None:
        statuses.append((await stage.call('/safe/x')).status)

    async with anyio.create_task_group() as tasks:
        for _ in range(round(seconds / 0.04)):
            tasks.start_soon(send)
            await anyio.sleep(0.04)
    return statuses


# Entries that ignored announced limits sent two servers up to three times their
# rate.
@pytest.mark.anyio
async def test_entries_together_respect_an_announced_limit(tmp_path):
    limited = LimitedServer(LIMIT)
    async with serving_entries(tmp_path, 3, limited, answer_well) as stages:
        async with anyio.create_task_group() as tasks:
            for stage in stages:
                tasks.start_soon(send_for, stage, 3.0)
            await anyio.sleep(0.5)
            begun = CLOCK.now()
        seconds = (CLOCK.now() - begun) / SECOND
        assert limited.count_since(begun) <= LIMIT * seconds + BURST


async def receive_limit(stage: Stage) -> None:
    """Let a single entry receive the limit of its first server."""
    set_known_entries(stage)
    assert (await stage.call('/safe/first')).status == ANSWERED
    backend = stage.core.backends.find('i-0')
    assert backend.limit.is_set


@pytest.mark.anyio
async def test_a_call_beyond_all_limits_is_refused_at_once(tmp_path):
    async with staging(tmp_path, LimitedServer(2.0)) as stage:
        await receive_limit(stage)
        with anyio.fail_after(0.5):
            found = await stage.call('/once/x')
        assert found.status == REFUSED
        # One of two requests per second has just been sent.
        assert 0.3 <= float(found.headers['retry-after']) <= 0.7
        assert len(stage.replicas[0].received) == 1
        assert 'got the requests that they accept' in stage.log.read_text()


@pytest.mark.anyio
async def test_a_call_beyond_one_limit_goes_to_another_server(tmp_path):
    limited = LimitedServer(2.0)
    async with staging(tmp_path, limited, answer_well) as stage:
        prefer(stage, 0)
        await receive_limit(stage)
        assert (await stage.call('/once/x')).status == ANSWERED
        assert [len(each.received) for each in stage.replicas] == [1, 1]


@pytest.mark.anyio
async def test_a_server_gets_requests_again_after_its_limit_ends(tmp_path):
    limited = LimitedServer(6.0)
    async with staging(tmp_path, limited) as stage:
        await receive_limit(stage)
        limited.limit = None
        await anyio.sleep(0.6)
        for _ in range(5):
            assert (await stage.call('/once/x')).status == ANSWERED


@pytest.mark.anyio
async def test_a_limit_counts_while_a_connection_is_opened(tmp_path):
    async with staging(tmp_path, LimitedServer(2.0)) as stage:
        core = stage.core
        run_while_connecting(
            stage, lambda: core.record_rate_limit(ServerStart('i-0'), 2.0)
        )
        assert (await stage.call('/once/x')).status == REFUSED
        assert not stage.replicas[0].received


@pytest.mark.anyio
@pytest.mark.parametrize('kind', naming())
@pytest.mark.parametrize('path', ['/once/x', '/safe/x', '/stream/x'])
async def test_any_answer_may_announce_a_limit(tmp_path, kind, path):
    script = naming(server_limit='2.0')[kind]
    async with staging(tmp_path, script) as stage:
        await stage.call(path)
        assert stage.core.backends.find('i-0').limit.per_second == 2.0


@pytest.mark.anyio
@pytest.mark.parametrize(
    'header', ['oleanderdyke_request_id', 'oleanderdyke_instance_id']
)
async def test_answers_of_other_servers_set_no_limit(tmp_path, header):
    async def answer_for_another(peer):
        await peer.answer(server_limit='2.0', **{header: 'another'})

    async with staging(tmp_path, answer_for_another) as stage:
        await stage.call('/once/x')
        assert not stage.core.backends.find('i-0').limit.is_set
