"""Restores of the store from a backup, which lose later records."""

from __future__ import annotations

import math

import anyio
import pytest

from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.evacuations import Evacuations
from oleanderdyke.kernel.load_queue import LoadNotice, LoadStep
from oleanderdyke.kernel.read_buffers import RecordBuffer
from oleanderdyke.kernel.servers import ServerRecord
from oleanderdyke.platform.entries import EntryFeed
from oleanderdyke.platform.eras import EraFault, StoreEra
from oleanderdyke.platform.feed import OperatorFeed, ServerFeed
from oleanderdyke.platform.loads import LoadFeed, append_fence, append_notice
from oleanderdyke.platform.store import (
    StoreClient,
    StoreRestored,
    StoreUnavailable,
)
from tests.hosted import (
    CONFIGURATION,
    OPERATOR,
    SERVERS,
    make_record,
    staging,
)
from tests.standins import server
from tests.standins.records import RecordStore

pytestmark = pytest.mark.anyio


async def answer(peer) -> None:
    await peer.answer()


def refuse(name, error) -> None:
    raise AssertionError(f'{name}: {error}')


async def wait_until(condition, within: float = 5.0) -> None:
    with anyio.fail_after(within):
        while not condition():
            await anyio.sleep(0.01)


def make_store() -> RecordStore:
    store = RecordStore()
    store.era = '1'
    store.put(OPERATOR, 'config', CONFIGURATION)
    return store


@pytest.mark.parametrize(
    ('text', 'fault'),
    [
        ('3', 'went back to 3'),
        ('', 'is missing'),
        ('five', "'five', not a whole number"),
        ('-6', "'-6', not a whole number"),
        ('9' * 300, 'not a whole number'),
    ],
)
def test_an_invalid_era_is_refused(text, fault):
    era = StoreEra()
    era.update((('store-era', '4'),))
    headers = (('store-era', text),) if text else ()
    with pytest.raises(EraFault, match=fault) as caught:
        era.update(headers)
    assert len(str(caught.value)) < 100
    assert era.highest == 4


def test_a_store_without_eras_is_accepted():
    era = StoreEra()
    era.update(())
    assert era.highest is None


async def test_an_answer_of_an_earlier_era_is_refused():
    store = make_store()
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        await client.append('t', b'x')
        store.era = '0'
        with pytest.raises(StoreUnavailable, match='went back'):
            await client.append('t', b'y')
        await client.close()


async def test_a_reassigned_offset_is_detected():
    store = make_store()
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        await client.append('t', b'kept')
        store.back_up()
        await client.append('t', b'lost')
        assert await client.read_plain('t', 0) == (b'kept', b'lost')
        store.restore()
        await client.append('t', b'other')
        await client.append('t', b'later')
        with pytest.raises(StoreRestored):
            await client.read_plain('t', 2)
        assert await client.read_plain('t', 0) == (b'kept', b'other', b'later')
        await client.close()


async def test_an_offset_past_the_end_reveals_a_restore():
    store = make_store()
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        store.back_up()
        await client.append('t', b'lost')
        assert await client.read_plain('t', 0) == (b'lost',)
        store.restore()
        store.find('t')
        with pytest.raises(StoreRestored):
            await client.read_plain('t', 1)
        await client.close()


async def test_fences_rise_over_a_restore():
    store = make_store()
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        await append_fence(client, 'side-0')
        store.back_up()
        before = await append_fence(client, 'side-1')
        store.restore()
        assert await append_fence(client, 'side-2') > before
        await client.close()


async def test_load_notices_are_read_again_after_a_restore():
    store = make_store()
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        feed = LoadFeed(client, refuse)
        waits = LoadNotice('i-0', LoadStep.WAITS, 'side-0', 'm', 1)
        store.back_up()
        await append_notice(client, waits)
        assert await feed.read() == (waits,)
        store.restore()
        other = LoadNotice('i-1', LoadStep.WAITS, 'side-1', 'm', 1)
        await append_notice(client, other)
        assert await feed.read() is None
        assert await feed.read() == (other,)
        await client.close()


async def test_an_entry_detects_a_restore_to_announce_itself_again():
    store = make_store()
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        feed = EntryFeed(client, refuse)
        store.back_up()
        await client.append('oleander-entries', b'front-1')
        assert len(await feed.read()) == 1
        store.restore()
        assert await feed.read() is None
        assert feed.was_restored
        await feed.read()
        assert not feed.was_restored
        await client.close()


@pytest.mark.parametrize('feed_type', [OperatorFeed, ServerFeed])
async def test_a_keyed_topic_is_listed_again_after_a_restore(feed_type):
    store = make_store()
    store.put(SERVERS, 'i-0', make_record('127.0.0.1:1'))
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        feed = feed_type(client, refuse)
        first = await feed.read()
        assert first.is_whole
        assert not first.is_restored
        for _ in range(2):
            store.back_up()
            store.restore()
            assert await feed.read() is None
            again = await feed.read()
            assert again.is_whole
            assert again.is_restored
            following = await feed.read()
            assert not following.is_restored
        await client.close()


def test_records_of_an_earlier_era_are_not_passed_on():
    buffer = RecordBuffer()
    buffer.add(0, (b'a', b'b'), known_at=1.0, now=1.0, era=1)
    buffer.add(2, (b'c',), known_at=2.0, now=2.0, era=2)
    assert buffer.find(0) is None
    assert buffer.find(2) == (b'c',)


def test_an_evacuation_that_a_restored_store_lacks_stays_for_a_while():
    evacuations = Evacuations()
    evacuations.begin('hall')
    assert not evacuations.find_missing([], 0.0, is_restored=True)
    assert not evacuations.find_missing([], 5_000.0, is_restored=False)
    assert not evacuations.find_expired(9_999.0)
    assert evacuations.find_expired(10_000.0) == {'hall'}


def test_an_evacuation_that_is_written_again_does_not_expire():
    evacuations = Evacuations()
    evacuations.begin('hall')
    evacuations.find_missing([], 0.0, is_restored=True)
    evacuations.begin('hall')
    assert not evacuations.find_expired(math.inf)
    assert evacuations.active == {'hall'}


def test_a_server_missing_after_a_restore_is_kept_for_two_seconds():
    registry = BackendRegistry()
    record = ServerRecord('a', 'desk', 'a:1', 'hall')
    registry.replace([record], 0.0)
    registry.complete_read(0.0)
    registry.record_restore(600.0)
    registry.replace([], 600.0)
    registry.complete_read(600.0)
    assert registry.list_service('desk', 2_500.0)
    assert not registry.list_service('desk', 2_601.0)


async def test_settings_of_operators_survive_a_restore(tmp_path):
    store = make_store()
    store.back_up()
    async with staging(tmp_path, answer, store=store) as stage:
        core = stage.core
        store.put(OPERATOR, 'config', {**CONFIGURATION, 'version': 9})
        store.put(OPERATOR, 'version/m', {'model': 'm', 'version': 2})
        store.put(OPERATOR, 'evacuate/hall', {})
        evacuations = core.limits.evacuations
        await wait_until(lambda: 'hall' in evacuations.active)
        for _ in range(2):
            store.restore()
            await anyio.sleep(1.5)
            assert core.deployment.version == 9
            assert core.rollout.weights.find_newest('m') == 2
            assert evacuations.active == {'hall'}
        store.put(OPERATOR, 'evacuate/hall', {})
        await anyio.sleep(0.2)
        store.drop(OPERATOR, 'evacuate/hall')
        await wait_until(lambda: not evacuations.active)


async def test_an_entry_keeps_serving_after_the_store_lost_its_servers(
    tmp_path,
):
    store = make_store()
    store.back_up()
    async with staging(tmp_path, answer, store=store) as stage:
        registry = stage.core.backends
        record = make_record(registry.find('i-0').record.address, seq=3)
        store.restore()
        await anyio.sleep(1)
        assert (await stage.call('/once/x')).status == 200
        store.put(SERVERS, 'i-0', record)
        await anyio.sleep(2)
        assert (await stage.call('/once/x')).status == 200
