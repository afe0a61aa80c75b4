from __future__ import annotations

import contextlib
import json
import signal
from random import Random

import anyio
import pytest

from oleanderdyke.agent.hosted.shell import HostedAgent
from oleanderdyke.clock import make_clock
from oleanderdyke.logs import make_event_log
from oleanderdyke.platform.settings import HostSettings
from tests.hosted import MODEL, OPERATOR, SERVERS, make_record
from tests.standins import server
from tests.standins.hosted_engine import HostedEngine
from tests.standins.records import RecordFaults, RecordStore, Topic
from tests.standins.replica import serving_replica

LOADS = 'oleander-loads'

pytestmark = pytest.mark.anyio


class Stage:
    """Hold a store, an engine and its agent."""

    def __init__(self, store, engine, log):
        self.store = store
        self.engine = engine
        self.log = log

    def name(self, version):
        named = {'model': MODEL, 'version': version}
        self.store.put(OPERATOR, f'version/{MODEL}', named)

    async def wait_version(self, version, seconds=5):
        with anyio.fail_after(seconds):
            while self.engine.version != version:
                await anyio.sleep(0.02)

    def list_notices(self):
        return [json.loads(each) for each in self.store.find(LOADS).records]


@contextlib.asynccontextmanager
async def staging(directory, engine=None, before=()):
    store, engine = RecordStore(), engine or HostedEngine(MODEL)
    for notice in before:
        store.find(LOADS).append(json.dumps(notice).encode())
    async with (
        server.serving(store) as (address,),
        serving_replica(engine) as (_, where),
        anyio.create_task_group() as tasks,
    ):
        record = make_record(where, models=[{'name': MODEL, 'version': 1}])
        store.put(SERVERS, 'i-own', record)
        settings = HostSettings(
            process='side-1',
            data_centre='hall',
            ip='127.0.0.1',
            store=address,
            server=where,
        )
        log = directory / 'agent.log'
        events = make_event_log('side-1', stream=log.open('w', buffering=1))
        agent = HostedAgent(settings, events, make_clock(), Random(1))
        tasks.start_soon(agent.run)
        yield Stage(store, engine, log)
        tasks.cancel_scope.cancel()


async def test_named_weights_are_ordered_once(tmp_path):
    async with staging(tmp_path) as stage:
        stage.name(2)
        await stage.wait_version(2)
        await anyio.sleep(0.8)
    (order,) = stage.engine.orders
    assert order['op'] == 'version'
    assert order['version'] == 2
    assert order['instance'] == 'i-own'
    assert order['holder'] == 'side-1'
    assert [each['step'] for each in stage.list_notices()] == [
        'started',
        'waits',
        'ended',
    ]


async def test_the_newest_of_two_named_versions_is_loaded(tmp_path):
    async with staging(tmp_path) as stage:
        stage.name(2)
        stage.name(3)
        await stage.wait_version(3)


async def test_older_weights_are_never_ordered(tmp_path):
    engine = HostedEngine(MODEL)
    engine.version = 5
    async with staging(tmp_path, engine) as stage:
        stage.name(4)
        await anyio.sleep(0.8)
    assert not engine.orders


async def test_an_order_without_answer_is_repeated_on_the_same_terms(tmp_path):
    engine = HostedEngine(MODEL)
    engine.lose_answers = 2
    async with staging(tmp_path, engine) as stage:
        stage.name(2)
        await stage.wait_version(2)
    assert {order['precondition'] for order in engine.orders} == {0}


async def test_an_order_that_arrives_late_after_a_newer_one_does_nothing(
    tmp_path,
):
    engine = HostedEngine(MODEL)
    async with staging(tmp_path, engine) as stage:
        stage.name(2)
        await stage.wait_version(2)
        late = engine.orders[0]
        assert late['precondition'] != engine.accepted


async def test_every_process_has_a_fence_of_its_own(tmp_path):
    fences = []
    store_of_one = []
    for _ in range(2):
        async with staging(tmp_path) as stage:
            if store_of_one:
                topic = stage.store.find('oleander-fences')
                topic.records.extend(store_of_one)
            stage.name(2)
            await stage.wait_version(2)
            store_of_one = list(stage.store.find('oleander-fences').records)
        fences.append(stage.engine.orders[0]['fence'])
    assert fences[0] < fences[1]


async def test_a_fence_that_is_too_old_is_replaced(tmp_path):
    engine = HostedEngine(MODEL)
    engine.outcome = 412
    async with staging(tmp_path, engine) as stage:
        stage.name(2)
        with anyio.fail_after(5):
            while len(engine.orders) < 2:
                await anyio.sleep(0.02)
        engine.outcome = 202
        await stage.wait_version(2)
    fences = [order['fence'] for order in engine.orders]
    assert fences == sorted(set(fences))


async def test_one_that_loads_is_waited_for(tmp_path):
    before = [{'server': 'i-a', 'step': 'waits'}]
    async with staging(tmp_path, before=before) as stage:
        stage.name(2)
        await anyio.sleep(1.5)
        assert not stage.engine.orders
        ended = {'server': 'i-a', 'step': 'ended'}
        stage.store.find(LOADS).append(json.dumps(ended).encode())
        await stage.wait_version(2)


async def test_an_earlier_start_that_is_still_listed_gets_no_order(tmp_path):
    async with staging(tmp_path) as stage:
        later = json.loads(stage.store.find(SERVERS).newest['i-own'][1])
        stage.store.put(SERVERS, 'a-later', later)
        stage.name(2)
        await stage.wait_version(2)
    (order,) = stage.engine.orders
    assert order['instance'] == 'a-later'


async def test_a_lost_answer_of_the_store_stops_nothing(tmp_path):
    async with staging(tmp_path) as stage:
        stage.store.faults = RecordFaults(lose_answers=1)
        stage.store.note_faults()
        stage.name(2)
        await stage.wait_version(2, seconds=8)


async def test_a_malformed_notice_is_told_and_passed_over(tmp_path):
    async with staging(tmp_path) as stage:
        stage.store.find(LOADS).append(b'no notice')
        await anyio.sleep(0.1)
        stage.name(2)
        await stage.wait_version(2)
    assert 'event=record_refused' in stage.log.read_text()


async def test_a_changed_settings_file_does_not_end_an_agent(tmp_path):
    async with staging(tmp_path) as stage:
        await anyio.sleep(0.2)
        signal.raise_signal(signal.SIGHUP)
        await anyio.sleep(0.1)
        stage.name(2)
        await stage.wait_version(2)


async def test_a_stopped_agent_tells_so(tmp_path):
    async with staging(tmp_path) as stage:
        await anyio.sleep(0.2)
        signal.raise_signal(signal.SIGTERM)
        await anyio.sleep(0.2)
        assert 'event=process_stopped' in stage.log.read_text()


async def test_an_engine_that_started_anew_is_found_again(tmp_path):
    engine = HostedEngine(MODEL)
    engine.outcome = 421
    async with staging(tmp_path, engine) as stage:
        stage.name(2)
        with anyio.fail_after(5):
            while not engine.orders:
                await anyio.sleep(0.02)
        address = json.loads(stage.store.find(SERVERS).newest['i-own'][1])
        stage.store.put(SERVERS, 'i-new', address)
        stage.store.drop(SERVERS, 'i-own')
        engine.outcome = 202
        await stage.wait_version(2)
    assert engine.orders[-1]['instance'] == 'i-new'


class ForgetfulTopic(Topic):
    """Drop the history right after the first records."""

    drops = 2

    def append(self, record):
        offset = super().append(record)
        if self.drops:
            self.drops -= 1
            self.forget()
        return offset


async def test_a_notice_that_was_never_read_back_is_told_again(tmp_path):
    async with staging(tmp_path) as stage:
        stage.store.topics[LOADS] = ForgetfulTopic()
        stage.name(2)
        await stage.wait_version(2, seconds=12)


async def test_an_agent_logs_whom_its_engine_waits_for(tmp_path):
    before = [
        {'server': 'i-a', 'step': 'waits'},
        {'server': 'i-b', 'step': 'waits'},
    ]
    async with staging(tmp_path, before=before) as stage:
        stage.name(2)
        await anyio.sleep(1.0)
        (line,) = [
            line
            for line in stage.log.read_text().splitlines()
            if 'event=load_queued' in line
        ]
    assert 'peer=i-own' in line
    assert 'behind i-a' in line
