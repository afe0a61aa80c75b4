from __future__ import annotations

import gzip

import anyio
import pytest

from oleanderdyke.clock import make_clock
from oleanderdyke.entry.hosted.core import STALE_AFTER
from tests.hosted import CONFIGURATION, OPERATOR, staging
from tests.standins.scripts import answer_well

# The limit that the users set for an idle process.
CALLS_A_SECOND = 3
SECONDS = 6

pytestmark = pytest.mark.anyio


async def test_idle_entry_stays_within_the_store_call_rate(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        await anyio.sleep(1)
        before = len(stage.store.calls)
        await anyio.sleep(SECONDS)
        count = len(stage.store.calls) - before
    assert count <= CALLS_A_SECOND * SECONDS


async def test_configuration_of_an_idle_entry_stays_fresh(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        ages = []
        for _ in range(80):
            await anyio.sleep(0.05)
            ages.append(
                stage.core.clock.now() - stage.core.configuration_read_at
            )
        assert max(ages) < STALE_AFTER / 2
        assert (await stage.call('/other/1')).status == 404


async def test_configuration_age_counts_from_the_read_request(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        clock = stage.core.clock = SuspendedClock()
        await _wait_read(stage)
        await anyio.sleep(0.1)
        # The entry is suspended during a read and gets the answer afterwards.
        clock.suspended += 10_000
        await _wait_read(stage)
        assert (await stage.call('/other/1')).status == 503
        await _wait_read(stage)
        assert (await stage.call('/other/1')).status == 404


async def test_incomplete_read_does_not_refresh_the_configuration(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        clock = stage.core.clock = SuspendedClock()
        await _wait_read(stage)
        stage.store.most = 0
        await _wait_read(stage)
        stage.store.put(OPERATOR, 'config', {**CONFIGURATION, 'version': 8})
        await anyio.sleep(0.1)
        clock.suspended += 10_000
        await anyio.sleep(0.1)
        assert (await stage.call('/other/1')).status == 503
        stage.store.most = 1
        await _wait_read(stage)
        assert (await stage.call('/other/1')).status == 404


async def _wait_read(stage):
    before = stage.core.configuration_read_at
    with anyio.fail_after(5):
        while stage.core.configuration_read_at == before:
            await anyio.sleep(0.01)


class SuspendedClock:
    """A clock that includes simulated time of suspension, in milliseconds."""

    def __init__(self):
        self._clock = make_clock()
        self.suspended = 0.0

    def now(self):
        return self._clock.now() + self.suspended

    def wall(self):
        return self._clock.wall() + self.suspended


async def test_encoded_response_is_forwarded_unchanged(tmp_path):
    packed = gzip.compress(b'booked' * 100)

    async def run(peer):
        await peer.answer(body=packed, content_encoding='gzip')

    async with staging(tmp_path, run) as stage:
        found = await stage.call('/once/1', accept_encoding='gzip')
    assert found.headers['content-encoding'] == 'gzip'
    assert found.body == packed


async def test_encoded_request_is_forwarded_unchanged(tmp_path):
    packed = gzip.compress(b'two seats' * 100)
    async with staging(tmp_path, answer_well) as stage:
        found = await stage.call(
            '/once/1', body=packed, content_encoding='gzip'
        )
        assert found.status == 200
        (seen,) = stage.replicas[0].received
    assert seen.body == packed
    assert seen.headers['content-encoding'] == 'gzip'
