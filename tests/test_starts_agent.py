from __future__ import annotations

import json

import anyio
import pytest

from oleanderdyke.kernel.rollout import EngineState
from tests.hosted import MODEL, SERVERS
from tests.standins.hosted_engine import HostedEngine
from tests.test_hosted_agent import LOADS, staging

EARLIER, LATER = 1_000, 2_000

pytestmark = pytest.mark.anyio


def put_record(stage, born, name='i-own'):
    found = json.loads(stage.store.find(SERVERS).newest['i-own'][1])
    stage.store.put(SERVERS, name, found | {'born': born})


def queue_others(stage):
    for server in ('i-a', 'i-b'):
        waits = {'server': server, 'step': 'waits'}
        stage.store.find(LOADS).append(json.dumps(waits).encode())


def end_other_loads(stage):
    for server in ('i-a', 'i-b'):
        ended = {'server': server, 'step': 'ended'}
        stage.store.find(LOADS).append(json.dumps(ended).encode())


def list_own_steps(stage):
    return [each['step'] for each in stage.list_notices() if each.get('agent')]


async def wait_steps(stage, steps, seconds=5):
    with anyio.fail_after(seconds):
        while list_own_steps(stage) != steps:
            await anyio.sleep(0.02)


def test_a_state_shows_that_its_engine_has_restarted():
    def report(orders, born):
        return EngineState({}, is_busy=False, orders=orders, born=born)

    assert not report(2, None).has_restarted_since(report(1, None))
    assert report(0, None).has_restarted_since(report(1, None))
    assert report(1, LATER).has_restarted_since(report(1, EARLIER))
    assert report(0, EARLIER).is_from_earlier_start(report(1, LATER))
    assert report(0, None).is_from_earlier_start(report(1, LATER))
    assert not report(0, LATER).is_from_earlier_start(report(1, EARLIER))
    assert not report(0, LATER).is_from_earlier_start(report(1, None))


async def test_a_restart_under_the_same_name_gives_up_its_place_first(tmp_path):
    engine = HostedEngine(MODEL)
    engine.born = EARLIER
    async with staging(tmp_path, engine) as stage:
        put_record(stage, EARLIER)
        queue_others(stage)
        stage.publish_version(2)
        await wait_steps(stage, ['started', 'waits'])
        engine.start_anew('', born=LATER)
        put_record(stage, LATER)
        await wait_steps(stage, ['started', 'waits', 'lost', 'waits'])
        assert not engine.orders
        end_other_loads(stage)
        await stage.wait_version(2)
    (order,) = engine.orders
    assert order['precondition'] == 0


async def test_an_unannounced_restart_shows_in_the_count_of_orders(
    tmp_path,
):
    engine = HostedEngine(MODEL)
    engine.accepted = 4
    async with staging(tmp_path, engine) as stage:
        queue_others(stage)
        stage.publish_version(2)
        await wait_steps(stage, ['started', 'waits'])
        engine.start_anew('')
        await wait_steps(stage, ['started', 'waits', 'lost', 'waits'])
        end_other_loads(stage)
        await stage.wait_version(2)
    (order,) = engine.orders
    assert order['precondition'] == 0


async def test_a_record_of_the_earlier_start_causes_no_order(tmp_path):
    engine = HostedEngine(MODEL)
    engine.born = LATER
    async with staging(tmp_path, engine) as stage:
        put_record(stage, EARLIER)
        stage.publish_version(2)
        await anyio.sleep(0.8)
        assert list_own_steps(stage) == ['started']
        put_record(stage, LATER)
        await stage.wait_version(2)


async def test_a_late_state_of_the_earlier_start_causes_no_order(tmp_path):
    engine = HostedEngine(MODEL)
    engine.born = LATER
    async with staging(tmp_path, engine) as stage:
        put_record(stage, LATER)
        queue_others(stage)
        stage.publish_version(2)
        await wait_steps(stage, ['started', 'waits'])
        engine.born = EARLIER
        await anyio.sleep(0.5)
        assert list_own_steps(stage) == ['started', 'waits']
        end_other_loads(stage)
        await anyio.sleep(0.5)
        assert not engine.orders
        engine.born = LATER
        await stage.wait_version(2)


async def test_a_restart_during_a_load_is_ordered_again(tmp_path):
    engine = HostedEngine(MODEL, load_seconds=0.6)
    engine.born = EARLIER
    async with staging(tmp_path, engine) as stage:
        put_record(stage, EARLIER)
        stage.publish_version(2)
        with anyio.fail_after(5):
            while not engine.busy:
                await anyio.sleep(0.01)
        engine.crash()
        await anyio.sleep(0.8)
        engine.start_anew('', born=LATER)
        put_record(stage, LATER)
        await stage.wait_version(2)
    assert [each['precondition'] for each in engine.orders] == [0, 0]
    assert list_own_steps(stage)[:4] == ['started', 'waits', 'lost', 'waits']


async def test_an_engine_that_restarts_with_older_weights_is_detected(tmp_path):
    engine = HostedEngine(MODEL)
    engine.born = EARLIER
    async with staging(tmp_path, engine) as stage:
        put_record(stage, EARLIER)
        stage.publish_version(2)
        await stage.wait_version(2)
        await wait_steps(stage, ['started', 'waits', 'ended'])
        engine.start_anew('', born=LATER)
        engine.version = 1
        put_record(stage, LATER)
        await stage.wait_version(2, seconds=9)


async def test_checks_of_a_settled_engine_make_no_calls_of_the_store(tmp_path):
    async with staging(tmp_path) as stage:
        stage.publish_version(2)
        await stage.wait_version(2)
        await wait_steps(stage, ['started', 'waits', 'ended'])
        stage.store.calls.clear()
        await anyio.sleep(6.0)
        # Only the long polls continue.
        assert set(stage.store.calls) <= {'/api/log-read'}


async def change_twice_with_a_lost_order(stage):
    """Load versions 2 and 3; the response to the first order is lost."""
    stage.engine.lose_answers = 1
    stage.publish_version(2)
    await stage.wait_version(2)
    stage.publish_version(3)
    await stage.wait_version(3)
    with anyio.fail_after(5):
        while list_own_steps(stage)[-1] != 'ended':
            await anyio.sleep(0.02)


async def wait_fence(engine, seconds=8):
    """Wait until the engine has a fencing token from its first order."""
    with anyio.fail_after(seconds):
        while not engine.fence:
            await anyio.sleep(0.02)


async def test_a_late_order_for_the_earlier_start_is_refused_by_a_higher_fence(
    tmp_path,
):
    engine = HostedEngine(MODEL)
    engine.born, engine.fence = EARLIER, 0
    async with staging(tmp_path, engine) as stage:
        put_record(stage, EARLIER)
        await change_twice_with_a_lost_order(stage)
        lost = engine.orders[0]
        engine.start_anew('', born=LATER)
        put_record(stage, LATER)
        await wait_fence(engine)
        await engine.take_late(lost)
        assert engine.version == 3
    assert engine.orders[-1]['version'] == 3
    assert engine.orders[-1]['fence'] > lost['fence']


async def test_a_start_under_another_name_needs_no_higher_fence(tmp_path):
    engine = HostedEngine(MODEL)
    engine.fence = 0
    async with staging(tmp_path, engine) as stage:
        await change_twice_with_a_lost_order(stage)
        given = len(engine.orders)
        found = json.loads(stage.store.find(SERVERS).newest['i-own'][1])
        stage.store.drop(SERVERS, 'i-own')
        stage.store.put(SERVERS, 'i-next', found)
        engine.start_anew('i-next')
        await anyio.sleep(6.0)
        assert len(engine.orders) == given


async def test_an_order_with_a_response_needs_no_higher_fence(tmp_path):
    engine = HostedEngine(MODEL)
    engine.born, engine.fence = EARLIER, 0
    async with staging(tmp_path, engine) as stage:
        put_record(stage, EARLIER)
        stage.publish_version(2)
        await stage.wait_version(2)
        await wait_steps(stage, ['started', 'waits', 'ended'])
        engine.start_anew('', born=LATER)
        put_record(stage, LATER)
        await anyio.sleep(6.0)
    assert len(engine.orders) == 1


async def test_a_late_order_that_is_accepted_costs_one_more_load(tmp_path):
    """This engine checks no fencing token: the newest weights load again."""
    engine = HostedEngine(MODEL)
    engine.born = EARLIER
    async with staging(tmp_path, engine) as stage:
        put_record(stage, EARLIER)
        await change_twice_with_a_lost_order(stage)
        lost = engine.orders[0]
        engine.start_anew('', born=LATER)
        put_record(stage, LATER)
        await engine.take_late(lost)
        assert engine.version == 2
        await stage.wait_version(3, seconds=8)
        await anyio.sleep(0.5)
        assert engine.version == 3
    assert engine.orders[-1]['version'] == 3
