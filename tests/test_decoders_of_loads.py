from __future__ import annotations

import json

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderdyke.platform.engines import EngineClient, EngineUnavailable
from oleanderdyke.platform.loads import LoadFeed
from tests.foreign import DEEP, JSON, CannedStore, encode, make_history
from tests.standins.replica import serving_replica

GOOD = {
    'server': 'i-0',
    'step': 'waits',
    'agent': 'side-0',
    'model': 'm',
    'held': 1,
    'newest_at': 1.0,
}


def read_notices(*records):
    told = []
    feed = LoadFeed(
        CannedStore(make_history(list(records))),
        lambda name, error: told.append((name, error)),
    )
    return anyio.run(feed.read), told


@given(st.binary() | JSON.map(encode))
def test_good_notices_are_kept_beside_any_other(foreign):
    found, told = read_notices(encode(GOOD), foreign, encode(GOOD))
    assert (found[0], found[-1]) == (found[-1], found[0])
    assert len(found) + len(told) == 3


@given(st.sampled_from(sorted(GOOD)), JSON)
def test_a_notice_with_one_strange_field_ends_no_reader(name, strange):
    found, told = read_notices(encode(GOOD | {name: strange}), encode(GOOD))
    assert found[-1].server == 'i-0'
    assert len(found) + len(told) == 2


@pytest.mark.parametrize('name', ['server', 'agent', 'model'])
@pytest.mark.parametrize('strange', [1, None, True, 'x' * 100_000, ['i-0']])
def test_a_name_is_short_text(name, strange):
    found, told = read_notices(encode(GOOD | {name: strange}), encode(GOOD))
    assert len(found) == 1
    assert len(told) == 1


def test_many_broken_notices_take_few_lines():
    found, told = read_notices(*[DEEP] * 1_000, encode(GOOD))
    assert len(found) == 1
    assert len(told) <= 4


@pytest.mark.anyio
@pytest.mark.parametrize(
    'report',
    [
        DEEP,
        b'{"models": [{"name": "m", "version": 1e999}]}',
        b'{"models": [{"name": "m", "version": true}]}',
        b'{"models": [{"name": "m", "version": "3"}]}',
        b'{"models": [], "seq": -1}',
        b'{"models": {}}',
        b'[]',
    ],
)
async def test_a_report_that_cannot_be_read_is_an_engine_that_is_away(report):
    async def answer(peer):
        peer.request.headers.setdefault('oleanderdyke-request-id', '-')
        await peer.answer(body=report)

    async with serving_replica(answer) as (_, address):
        with pytest.raises(EngineUnavailable):
            await EngineClient(address).read_state()


def test_a_notice_of_an_older_process_is_read():
    old = {'server': 'i-0', 'step': 'waits'}
    found, told = read_notices(json.dumps(old).encode())
    assert found[0].holder == 'i-0'
    assert not told
