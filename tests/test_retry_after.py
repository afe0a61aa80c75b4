"""Backend servers that refuse a request may ask to retry it later."""

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
    """Refuse each request for a while, and note when requests came."""

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


# Two servers that had each asked an entry to retry after three seconds got six
# requests and more of it meanwhile, and callers were refused for want of
# retries while other servers had room.
@pytest.mark.anyio
async def test_a_server_that_asks_to_retry_later_gets_nothing_meanwhile(
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
async def test_a_call_that_all_servers_want_later_is_refused_at_once(tmp_path):
    async with staging(tmp_path, BackoffServer('2.5')) as stage:
        await stage.call('/once/x')
        with anyio.fail_after(0.5):
            found = await stage.call('/once/x')
        assert found.status == REFUSED
        assert 2.0 <= float(found.headers['retry-after']) <= 2.7
        assert len(stage.replicas[0].received) == 1
        assert 'asked to retry later' in stage.log.read_text()


# An entry that can't count the others has no turn at a limited server, ever:
# its callers were told to come back after "nan" seconds.
@pytest.mark.anyio
async def test_a_refused_caller_is_always_told_a_time(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        core = stage.core
        core.limits.entries = Entries(spare=math.inf)
        core.record_rate_limit(START, 2.0)
        core.record_backoff(START, 3 * SECOND, 'another')
        found = await stage.call('/once/x')
        assert found.status == REFUSED
        assert math.isfinite(float(found.headers['retry-after']))


@pytest.mark.anyio
async def test_a_pause_counts_while_a_connection_is_opened(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        core = stage.core
        run_while_connecting(
            stage, lambda: core.record_backoff(START, 3 * SECOND, 'another')
        )
        assert (await stage.call('/once/x')).status == REFUSED
        assert not stage.replicas[0].received


@pytest.mark.anyio
async def test_one_line_tells_for_how_long_a_server_gets_nothing(tmp_path):
    async with staging(tmp_path, BackoffServer('1.5')) as stage:
        for _ in range(3):
            await stage.call('/once/x')
        (line,) = list_events(stage.log, 'backend_backoff')
    assert (line['peer'], line['duration']) == ('i-0', '1500')


@pytest.mark.anyio
@pytest.mark.parametrize('text', ['soon', '-3', 'nan', '9' * 400, DATE])
async def test_a_pause_that_cannot_be_read_is_logged_once(tmp_path, text):
    async with staging(tmp_path, BackoffServer(text)) as stage:
        for _ in range(2):
            assert (await stage.call('/once/x')).status == REFUSED
        lines = list_events(stage.log, 'record_refused')
        assert [each['name'] for each in lines].count('retry after') == 1
        assert stage.core.backends.find('i-0').backoff_until == 0.0


A = ServerStart('a')


def make_book(**changes) -> BackendRegistry:
    book = BackendRegistry()
    book.replace([make_record('a', **changes)], 0.0)
    book.complete_read(0.0)
    return book


def find_obstacle(book: BackendRegistry, now: float) -> Obstacle | None:
    return make_limits().find_obstacle(book.find('a'), (), now)


def test_a_server_gets_nothing_until_the_end_and_no_longer():
    book = make_book()
    assert book.record_backoff(A, 3_000.0, 100.0)
    assert find_obstacle(book, 3_099.0) is Obstacle.BACKOFF
    assert find_obstacle(book, 3_100.0) is None


def test_a_later_shorter_pause_does_not_end_one_sooner():
    book = make_book()
    book.record_backoff(A, 3_000.0, 100.0)
    assert not book.record_backoff(A, 500.0, 200.0)
    assert find_obstacle(book, 3_099.0) is Obstacle.BACKOFF
    assert not book.record_backoff(A, 3_000.0, 1_000.0)
    assert find_obstacle(book, 3_999.0) is Obstacle.BACKOFF


@pytest.mark.parametrize('pause', [1e9, 1e300])
def test_a_server_gets_nothing_for_minutes_at_most(pause):
    book = make_book()
    book.record_backoff(A, pause, 0.0)
    assert find_obstacle(book, 60_000.0) is Obstacle.BACKOFF
    assert find_obstacle(book, 3_600_000.0) is None


def test_a_pause_of_no_time_changes_nothing():
    book = make_book()
    assert not book.record_backoff(A, 0.0, 100.0)
    assert find_obstacle(book, 100.0) is None


def test_a_new_start_of_a_server_asked_for_no_pause():
    book = make_book(born=1)
    book.record_backoff(ServerStart('a', 1), 3_000.0, 0.0)
    book.put(make_record('a', born=2), 100.0)
    assert find_obstacle(book, 100.0) is None


def test_a_server_with_a_limit_gets_requests_after_both_ends():
    book, limits = make_book(), make_limits()
    book.record_rate_limit(A, 1.0, 0.0, 0.0)
    limits.record_sent(book.find('a'), 0.0)
    book.record_backoff(A, 9_000.0, 0.0)
    assert limits.find_next_send_time([book.find('a')], 100.0) == 9_000.0
    assert find_obstacle(book, 100.0) is Obstacle.BACKOFF
