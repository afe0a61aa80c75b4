"""Backend servers that refuse a request may ask for a later retry."""

from __future__ import annotations

import math

import anyio
import pytest

from oleanderdyke.clock import SECOND, make_clock
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.send_limits import Obstacle
from oleanderdyke.kernel.servers import ServerStart
from tests.hosted import Stage, prefer, run_while_connecting, staging
from tests.standins.scripts import answer_well
from tests.test_hosted_log import list_events
from tests.test_send_limits import Entries, make_limits, make_record

ANSWERED, REFUSED = 200, 503
CLOCK = make_clock()
START = ServerStart('i-0')
DATE = 'Thu, 03 Dec 2026 12:00:00 GMT'


class BackoffServer:
    """Refuse every request with a retry time and record the arrivals."""

    def __init__(self, pause: str) -> None:
        self.pause = pause
        self.arrivals: list[float] = []

    async def __call__(self, peer) -> None:
        self.arrivals.append(CLOCK.now())
        await peer.answer(
            503, oleanderdyke_not_executed='1', retry_after=self.pause
        )


async def send_until(stage: Stage, moment: float) -> list[int]:
    statuses = []
    while CLOCK.now() < moment:
        statuses.append((await stage.call('/once/x')).status)
    return statuses


# Two servers that had asked for a retry after three seconds got six or more
# requests in that time, and callers were refused for lack of retries although
# other servers had free slots.
@pytest.mark.anyio
async def test_a_server_that_asks_to_retry_later_gets_no_requests(
    tmp_path,
):
    refusing = BackoffServer('1.5')
    async with staging(tmp_path, refusing, answer_well) as stage:
        prefer(stage, 0)
        assert (await stage.call('/once/x')).status == ANSWERED
        (begun,) = refusing.arrivals
        statuses = await send_until(stage, begun + 1.4 * SECOND)
        assert set(statuses) == {ANSWERED}
        assert len(refusing.arrivals) == 1


@pytest.mark.anyio
async def test_a_call_is_refused_at_once_if_all_servers_back_off(tmp_path):
    async with staging(tmp_path, BackoffServer('2.5')) as stage:
        await stage.call('/once/x')
        with anyio.fail_after(0.5):
            found = await stage.call('/once/x')
        assert found.status == REFUSED
        assert 2.0 <= float(found.headers['retry-after']) <= 2.7
        assert len(stage.replicas[0].received) == 1
        assert 'asked to retry later' in stage.log.read_text()


# An entry that cannot count the others may never send to a limited server; its
# callers got a retry time of "nan" seconds.
@pytest.mark.anyio
async def test_a_refusal_always_has_a_finite_retry_time(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        core = stage.core
        core.limits.entries = Entries(spare=math.inf)
        core.record_rate_limit(START, 2.0)
        core.record_backoff(START, 3 * SECOND, 'another')
        found = await stage.call('/once/x')
        assert found.status == REFUSED
        assert math.isfinite(float(found.headers['retry-after']))


@pytest.mark.anyio
async def test_a_backoff_applies_while_a_connection_is_opened(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        core = stage.core
        run_while_connecting(
            stage, lambda: core.record_backoff(START, 3 * SECOND, 'another')
        )
        assert (await stage.call('/once/x')).status == REFUSED
        assert not stage.replicas[0].received


@pytest.mark.anyio
async def test_one_log_line_has_the_duration_of_a_backoff(tmp_path):
    async with staging(tmp_path, BackoffServer('1.5')) as stage:
        for _ in range(3):
            await stage.call('/once/x')
        (line,) = list_events(stage.log, 'backend_backoff')
    assert (line['peer'], line['duration']) == ('i-0', '1500')


@pytest.mark.anyio
@pytest.mark.parametrize('text', ['soon', '-3', 'nan', '9' * 400, DATE])
async def test_a_malformed_backoff_is_logged_once(tmp_path, text):
    async with staging(tmp_path, BackoffServer(text)) as stage:
        for _ in range(2):
            assert (await stage.call('/once/x')).status == REFUSED
        lines = list_events(stage.log, 'record_refused')
        assert [each['name'] for each in lines].count('retry after') == 1
        assert stage.core.backends.find('i-0').backoff_until == 0.0


A = ServerStart('a')


def make_registry(**changes) -> BackendRegistry:
    registry = BackendRegistry()
    registry.replace([make_record('a', **changes)], 0.0)
    registry.complete_read(0.0)
    return registry


def find_obstacle(registry: BackendRegistry, now: float) -> Obstacle | None:
    return make_limits().find_obstacle(registry.find('a'), (), now)


def test_a_backoff_ends_in_time():
    registry = make_registry()
    assert registry.record_backoff(A, 3_000.0, 100.0)
    assert find_obstacle(registry, 3_099.0) is Obstacle.BACKOFF
    assert find_obstacle(registry, 3_100.0) is None


def test_a_shorter_backoff_does_not_shorten_the_current_one():
    registry = make_registry()
    registry.record_backoff(A, 3_000.0, 100.0)
    assert not registry.record_backoff(A, 500.0, 200.0)
    assert find_obstacle(registry, 3_099.0) is Obstacle.BACKOFF
    assert not registry.record_backoff(A, 3_000.0, 1_000.0)
    assert find_obstacle(registry, 3_999.0) is Obstacle.BACKOFF


@pytest.mark.parametrize('pause', [1e9, 1e300])
def test_a_backoff_lasts_minutes_at_most(pause):
    registry = make_registry()
    registry.record_backoff(A, pause, 0.0)
    assert find_obstacle(registry, 60_000.0) is Obstacle.BACKOFF
    assert find_obstacle(registry, 3_600_000.0) is None


def test_a_zero_backoff_is_ignored():
    registry = make_registry()
    assert not registry.record_backoff(A, 0.0, 100.0)
    assert find_obstacle(registry, 100.0) is None


def test_a_new_start_of_a_server_has_no_backoff():
    registry = make_registry(born=1)
    registry.record_backoff(ServerStart('a', 1), 3_000.0, 0.0)
    registry.put(make_record('a', born=2), 100.0)
    assert find_obstacle(registry, 100.0) is None


def test_rate_limit_and_backoff_must_both_end():
    registry, limits = make_registry(), make_limits()
    registry.record_rate_limit(A, 1.0, 0.0, 0.0)
    limits.record_sent(registry.find('a'), 0.0)
    registry.record_backoff(A, 9_000.0, 0.0)
    assert limits.find_next_send_time([registry.find('a')], 100.0) == 9_000.0
    assert find_obstacle(registry, 100.0) is Obstacle.BACKOFF
