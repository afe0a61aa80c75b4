from __future__ import annotations

import contextlib
import json
import signal
import time

import anyio
import pytest

from oleanderdyke.agent.hosted.shell import HostedAgent
from oleanderdyke.clock import make_clock
from oleanderdyke.logs import make_event_log, parse_line
from oleanderdyke.platform.settings import HostSettings
from tests.hosted import (
    MODEL,
    OPERATOR,
    SERVERS,
    call,
    make_record,
)
from tests.processes import Ports
from tests.standins import server
from tests.standins.hosted_engine import HostedEngine
from tests.standins.records import RecordFaults, RecordStore, Topic
from tests.standins.replica import serving_replica

LOADS = 'oleander-loads'
OTHER = 'model-b'

pytestmark = pytest.mark.anyio


class Stage:
    """A store, an engine and its agent."""

    def __init__(self, store, engine, log, port):
        self.store = store
        self.engine = engine
        self.log = log
        self.port = port

    def publish_version(self, version):
        named = {'model': MODEL, 'version': version}
        self.store.put(OPERATOR, f'version/{MODEL}', named)

    async def wait_version(self, version, seconds=5):
        with anyio.fail_after(seconds):
            while self.engine.version != version:
                await anyio.sleep(0.02)

    async def read_metrics(self):
        where = ('127.0.0.1', self.port)
        found = await call(where, '/metrics', method='GET')
        assert found.status == 200
        return found.body.decode().splitlines()

    async def wait_event(self, event, name, seconds=8):
        with anyio.fail_after(seconds):
            while name not in [
                line.get('name') for line in self.list_events(event)
            ]:
                await anyio.sleep(0.05)

    def list_events(self, name):
        lines = map(parse_line, self.log.read_text().splitlines())
        return [line for line in lines if line.get('event') == name]

    def list_notices(self):
        return [json.loads(each) for each in self.store.find(LOADS).records]


@contextlib.asynccontextmanager
async def staging(directory, engine=None, before=()):
    store, engine = RecordStore(), engine or HostedEngine(MODEL)
    for notice in before:
        store.find(LOADS).append(json.dumps(notice).encode())
    async with (
        contextlib.AsyncExitStack() as stack,
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
        port = stack.enter_context(Ports()).reserve()
        agent = HostedAgent(settings, events, make_clock(), port)
        tasks.start_soon(agent.run)
        yield Stage(store, engine, log, port)
        tasks.cancel_scope.cancel()


async def test_named_weights_are_ordered_once(tmp_path):
    async with staging(tmp_path) as stage:
        stage.publish_version(2)
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
        stage.publish_version(2)
        stage.publish_version(3)
        await stage.wait_version(3)


async def test_older_weights_are_never_ordered(tmp_path):
    engine = HostedEngine(MODEL)
    engine.version = 5
    async with staging(tmp_path, engine) as stage:
        stage.publish_version(4)
        await anyio.sleep(0.8)
    assert not engine.orders


async def test_an_order_without_response_is_repeated_with_the_same_precondition(
    tmp_path,
):
    engine = HostedEngine(MODEL)
    engine.lose_answers = 2
    async with staging(tmp_path, engine) as stage:
        stage.publish_version(2)
        await stage.wait_version(2)
    assert {order['precondition'] for order in engine.orders} == {0}


async def test_an_order_that_arrives_late_after_a_newer_one_does_nothing(
    tmp_path,
):
    engine = HostedEngine(MODEL)
    async with staging(tmp_path, engine) as stage:
        stage.publish_version(2)
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
            stage.publish_version(2)
            await stage.wait_version(2)
            store_of_one = list(stage.store.find('oleander-fences').records)
        fences.append(stage.engine.orders[0]['fence'])
    assert fences[0] < fences[1]


async def test_a_fence_that_is_too_old_is_replaced(tmp_path):
    engine = HostedEngine(MODEL)
    engine.outcome = 412
    async with staging(tmp_path, engine) as stage:
        stage.publish_version(2)
        with anyio.fail_after(5):
            while len(engine.orders) < 2:
                await anyio.sleep(0.02)
        engine.outcome = 202
        await stage.wait_version(2)
    fences = [order['fence'] for order in engine.orders]
    assert fences == sorted(set(fences))


async def test_agent_waits_while_two_engines_load(tmp_path):
    before = [
        {'server': 'i-a', 'step': 'waits'},
        {'server': 'i-b', 'step': 'waits'},
    ]
    async with staging(tmp_path, before=before) as stage:
        stage.publish_version(2)
        await anyio.sleep(1.0)
        assert not stage.engine.orders
        ended = {'server': 'i-a', 'step': 'ended'}
        stage.store.find(LOADS).append(json.dumps(ended).encode())
        await stage.wait_version(2)


async def test_an_earlier_start_that_is_still_listed_gets_no_order(tmp_path):
    async with staging(tmp_path) as stage:
        later = json.loads(stage.store.find(SERVERS).newest['i-own'][1])
        stage.store.put(SERVERS, 'a-later', later)
        stage.publish_version(2)
        await stage.wait_version(2)
    (order,) = stage.engine.orders
    assert order['instance'] == 'a-later'


async def test_a_lost_response_of_the_store_does_not_stop_a_load(tmp_path):
    async with staging(tmp_path) as stage:
        stage.store.faults = RecordFaults(lose_answers=1)
        stage.store.note_faults()
        stage.publish_version(2)
        await stage.wait_version(2, seconds=8)


async def test_a_malformed_notice_is_logged_and_skipped(tmp_path):
    async with staging(tmp_path) as stage:
        stage.store.find(LOADS).append(b'no notice')
        await anyio.sleep(0.1)
        stage.publish_version(2)
        await stage.wait_version(2)
    assert 'event=record_refused' in stage.log.read_text()


async def test_a_changed_settings_file_does_not_end_an_agent(tmp_path):
    async with staging(tmp_path) as stage:
        await anyio.sleep(0.2)
        signal.raise_signal(signal.SIGHUP)
        await anyio.sleep(0.1)
        stage.publish_version(2)
        await stage.wait_version(2)


async def test_a_stopped_agent_logs_its_stop(tmp_path):
    async with staging(tmp_path) as stage:
        await anyio.sleep(0.2)
        signal.raise_signal(signal.SIGTERM)
        await anyio.sleep(0.2)
        assert 'event=process_stopped' in stage.log.read_text()


async def test_a_restarted_engine_is_found_again(tmp_path):
    engine = HostedEngine(MODEL)
    engine.outcome = 421
    async with staging(tmp_path, engine) as stage:
        stage.publish_version(2)
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
    """A topic that drops its records right after each of the first two."""

    drops = 2

    def append(self, record):
        offset = super().append(record)
        if self.drops:
            self.drops -= 1
            self.forget()
        return offset


async def test_a_notice_that_was_not_read_back_is_appended_again(tmp_path):
    async with staging(tmp_path) as stage:
        stage.store.topics[LOADS] = ForgetfulTopic()
        stage.publish_version(2)
        await stage.wait_version(2, seconds=12)


async def test_an_agent_logs_which_engines_it_waits_for(tmp_path):
    before = [
        {'server': 'i-a', 'step': 'waits'},
        {'server': 'i-b', 'step': 'waits'},
    ]
    async with staging(tmp_path, before=before) as stage:
        stage.publish_version(2)
        await anyio.sleep(1.0)
        (line,) = [
            line
            for line in stage.log.read_text().splitlines()
            if 'event=load_queued' in line
        ]
    assert 'peer=i-own' in line
    assert 'i-a,i-b' in line


class TwoModels(HostedEngine):
    """An engine with weights of two models, loaded separately."""

    other = 1

    def holds(self, order):
        if order['model'] == MODEL:
            return super().holds(order)
        return order['version'] == self.other

    async def load(self, version):
        if self.orders[-1]['model'] == MODEL:
            await super().load(version)
            return
        self.accepted += 1
        self.other = version

    def report(self):
        told = super().report()
        told['models'].append({'name': OTHER, 'version': self.other})
        return told


async def test_an_engine_asks_for_a_place_for_each_of_its_models(tmp_path):
    async with staging(tmp_path, TwoModels(MODEL)) as stage:
        stage.publish_version(2)
        named = {'model': OTHER, 'version': 2}
        stage.store.put(OPERATOR, f'version/{OTHER}', named)
        await stage.wait_version(2)
        with anyio.fail_after(5):
            while stage.engine.other != 2:
                await anyio.sleep(0.02)
        waits = [each for each in stage.list_notices() if each['model']]
        assert {each['model'] for each in waits} == {MODEL, OTHER}


async def test_an_agent_serves_metrics_of_orders_and_loads(tmp_path):
    async with staging(tmp_path) as stage:
        stage.publish_version(2)
        await stage.wait_version(2)
        await anyio.sleep(0.5)
        lines = await stage.read_metrics()
    label = f'label="{MODEL}"'
    assert 'oleander_orders_total{label="accepted"} 1.0' in lines
    assert f'oleander_weights_held{{{label}}} 2.0' in lines
    assert f'oleander_weights_named{{{label}}} 2.0' in lines
    assert f'oleander_load_milliseconds_count{{{label}}} 1.0' in lines
    assert f'oleander_queue_wait_milliseconds_count{{{label}}} 1.0' in lines
    assert 'oleander_order_milliseconds_count{label="accepted"} 1.0' in lines


async def test_a_store_outage_is_logged_once_and_its_end_once(tmp_path):
    async with staging(tmp_path) as stage:
        await anyio.sleep(0.3)
        stage.store.faults = RecordFaults(down=True)
        await stage.wait_event('log_down', 'operator')
        # Further attempts fail in the meantime.
        await anyio.sleep(1.0)
        stage.store.faults = RecordFaults()
        await stage.wait_event('log_up', 'operator')
        await anyio.sleep(0.3)
        names = [line['name'] for line in stage.list_events('log_down')]
        back = [line['name'] for line in stage.list_events('log_up')]
        lines = await stage.read_metrics()
    assert names.count('operator') == back.count('operator') == 1
    (faults,) = [
        line
        for line in lines
        if line.startswith('oleander_dependency_faults_total{label="operator"}')
    ]
    assert float(faults.split()[-1]) > 1


async def test_an_agent_logs_that_it_was_stalled(tmp_path):
    async with staging(tmp_path) as stage:
        await anyio.sleep(0.3)
        time.sleep(1.5)
        await anyio.sleep(0.2)
        (line,) = stage.list_events('process_stalled')
    assert int(line['duration']) > 1_000
