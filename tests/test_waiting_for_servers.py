"""Guard against refusing requests just before servers are listed again.

After a power loss of the whole system, an entry is ready some ten milliseconds
after its start. The servers listed then are those from before the loss, and the
first requests find them gone; the restarted ones are listed half a second
later. A caller refused with "no server listed" retried within 200 ms, was
refused again and gave up: 42 of 153 requests in two seconds, all before the
read of the list that showed six restarted servers.
"""

from __future__ import annotations

import time

import anyio
import pytest

from tests.hosted import (
    MODEL,
    SERVERS,
    make_record,
    serving_replica,
    staging,
)
from tests.standins.scripts import answer_well

pytestmark = pytest.mark.anyio


async def ask(stage, path='/safe/1', wait=4_000, **headers):
    began = time.monotonic()
    found = await stage.call(
        path, oleanderdyke_deadline_ms=str(wait), **headers
    )
    return found, time.monotonic() - began


async def drop(stage):
    stage.store.drop(SERVERS, 'i-0')
    with anyio.fail_after(5):
        while stage.core.backends.list_service('desk', stage.core.clock.now()):
            await anyio.sleep(0.02)


async def list_later(stage, address, delay):
    await anyio.sleep(delay)
    stage.store.put(SERVERS, 'i-5', make_record(address))


# Requests waited a second for a server though the only one was leaving and none
# had been announced.
async def test_request_is_refused_at_once_while_all_servers_leave(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        backend = stage.core.backends.find('i-0')
        record = make_record(backend.record.address, state='draining', seq=12)
        stage.store.put(SERVERS, 'i-0', record)
        with anyio.fail_after(5):
            while not stage.core.backends.find('i-0').record.is_leaving:
                await anyio.sleep(0.02)
        found, duration = await ask(stage)
    assert found.status == 503
    assert duration < 0.3
    assert float(found.headers['retry-after']) >= 0.5


async def test_request_waits_while_a_server_that_stays_is_unread(tmp_path):
    async with staging(tmp_path, answer_well, answer_well) as stage:
        core = stage.core
        core.backends.mark_leaving(core.backends.find('i-0').record.start)
        core.backends.mark_unreadable(['i-1'])
        _, duration = await ask(stage)
    assert duration > 0.3


async def test_request_waits_for_a_server_that_is_listed_shortly_after(
    tmp_path,
):
    async with (
        serving_replica(answer_well) as (replica, address),
        staging(tmp_path, answer_well) as stage,
        anyio.create_task_group() as tasks,
    ):
        await drop(stage)
        tasks.start_soon(list_later, stage, address, 0.3)
        found, _ = await ask(stage)
        assert found.status == 200
        assert len(replica.received) == 1


async def test_server_list_is_read_sooner_while_a_request_waits(tmp_path):
    async with (
        serving_replica(answer_well) as (_, address),
        staging(tmp_path, answer_well) as stage,
    ):
        await drop(stage)
        stage.store.put(SERVERS, 'i-5', make_record(address))
        found, took = await ask(stage)
        assert found.status == 200
        assert took < 0.4


async def test_request_is_refused_in_time_if_no_server_appears(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        await drop(stage)
        found, took = await ask(stage)
        assert found.status == 503
        assert float(found.headers['retry-after']) > 0
        assert 0.9 < took < 1.5


async def test_request_waits_for_half_of_its_remaining_time(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        await drop(stage)
        found, took = await ask(stage, wait=600)
        assert found.status == 503
        assert 0.25 < took < 0.5


async def test_immediate_shutdown_ends_the_wait(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        await drop(stage)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(hurry, stage)
            found, took = await ask(stage)
        assert found.status == 503
        assert took < 1.0


async def hurry(stage):
    await anyio.sleep(0.3)
    for running in tuple(stage.core.running.values()):
        running.stop(immediate=True)


async def test_request_waits_while_all_engines_load_new_weights(tmp_path):
    old = [{'name': MODEL, 'version': 1, 'adapters': []}]
    async with staging(tmp_path, answer_well, models=old) as stage:
        core = stage.core
        (engine,) = core.backends.list_service('desk', core.clock.now())
        engine.reload_until = core.clock.now() + 400.0
        found, took = await ask(
            stage,
            oleanderdyke_model=MODEL,
            oleanderdyke_token_usage='100,10',
        )
        assert found.status == 200
        assert took > 0.3
        assert len(stage.replicas[0].received) == 1
