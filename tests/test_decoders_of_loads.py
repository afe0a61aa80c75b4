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
    refused = []
    feed = LoadFeed(
        CannedStore(make_history(list(records))),
        lambda name, error: refused.append((name, error)),
    )
    return anyio.run(feed.read), refused


@given(st.binary() | JSON.map(encode))
def test_valid_notices_are_kept_beside_malformed_ones(foreign):
    found, refused = read_notices(encode(GOOD), foreign, encode(GOOD))
    assert (found[0], found[-1]) == (found[-1], found[0])
    assert len(found) + len(refused) == 3


@given(st.sampled_from(sorted(GOOD)), JSON)
def test_a_notice_with_one_malformed_field_stops_no_reader(name, strange):
    found, refused = read_notices(encode(GOOD | {name: strange}), encode(GOOD))
    assert found[-1].server == 'i-0'
    assert len(found) + len(refused) == 2


@pytest.mark.parametrize('name', ['server', 'agent', 'model'])
@pytest.mark.parametrize('strange', [1, None, True, 'x' * 100_000, ['i-0']])
def test_a_name_must_be_short_text(name, strange):
    found, refused = read_notices(encode(GOOD | {name: strange}), encode(GOOD))
    assert len(found) == 1
    assert len(refused) == 1


def test_many_malformed_notices_are_reported_in_few_lines():
    found, refused = read_notices(*[DEEP] * 1_000, encode(GOOD))
    assert len(found) == 1
    assert len(refused) <= 4


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
async def test_a_malformed_report_counts_as_an_unavailable_engine(report):
    async def answer(peer):
        peer.request.headers.setdefault('oleanderdyke-request-id', '-')
        await peer.answer(body=report)

    async with serving_replica(answer) as (_, address):
        with pytest.raises(EngineUnavailable):
            await EngineClient(address).read_state()


def test_a_notice_of_an_older_release_is_decoded():
    old = {'server': 'i-0', 'step': 'waits'}
    found, refused = read_notices(json.dumps(old).encode())
    assert found[0].holder == 'i-0'
    assert not refused
