from __future__ import annotations

import gzip

import anyio
import pytest

from tests.hosted import staging
from tests.standins.scripts import answer_well

# What the users allow each process that has nothing to do.
CALLS_A_SECOND = 3
SECONDS = 6

pytestmark = pytest.mark.anyio


async def test_an_entry_at_rest_seldom_calls_the_store(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        await anyio.sleep(1)
        before = len(stage.store.calls)
        await anyio.sleep(SECONDS)
        count = len(stage.store.calls) - before
    assert count <= CALLS_A_SECOND * SECONDS


async def test_an_encoded_answer_is_passed_on_as_it_is(tmp_path):
    packed = gzip.compress(b'booked' * 100)

    async def run(peer):
        await peer.answer(body=packed, content_encoding='gzip')

    async with staging(tmp_path, run) as stage:
        found = await stage.call('/once/1', accept_encoding='gzip')
    assert found.headers['content-encoding'] == 'gzip'
    assert found.body == packed


async def test_an_encoded_request_is_passed_on_as_it_is(tmp_path):
    packed = gzip.compress(b'two seats' * 100)
    async with staging(tmp_path, answer_well) as stage:
        found = await stage.call(
            '/once/1', body=packed, content_encoding='gzip'
        )
        assert found.status == 200
        (seen,) = stage.replicas[0].received
    assert seen.body == packed
    assert seen.headers['content-encoding'] == 'gzip'
