"""No request starts on weights that were replaced too long ago.

Guards against requests that started on the old version 16.7 s after the new one
was published, where 15 s are allowed. Two engines load at a time. An engine
that crashed kept its place in the queue of loads for 7 s, under the ID of a
start that had ended; its agent's order was refused and it queued again behind
all others. Two such places blocked every engine behind them, and no process
enforced the limit on requests. A crash now frees the place, and requests are
not sent to weights past their limit.
"""

from __future__ import annotations

import contextlib
import json
import math

import anyio
import pytest

from oleanderdyke.agent.hosted.shell import HostedAgent
from oleanderdyke.clock import make_clock
from oleanderdyke.logs import make_event_log
from oleanderdyke.platform.settings import HostSettings
from tests import hosted
from tests.hosted import (
    CONFIGURATION,
    MODEL,
    OPERATOR,
    SERVERS,
    UNRESUMABLE_ROUTE,
    make_record,
)
from tests.standins import server
from tests.standins.contexts import ContextStore
from tests.standins.hosted_engine import HostedEngine
from tests.standins.records import RecordFaults, RecordStore
from tests.standins.replica import make_chunk, make_event, serving_replica
from tests.standins.scripts import answer_well, send_events

LIMIT = 3_000.0
LETTER = {**UNRESUMABLE_ROUTE, 'timeoutMs': 9_000}
LETTERS = {**CONFIGURATION, 'routes': [LETTER]}
OLD = [{'name': MODEL, 'version': 1, 'adapters': []}]

pytestmark = pytest.mark.anyio


def publish_weights(store, version):
    named = {'model': MODEL, 'version': version}
    store.put(OPERATOR, f'version/{MODEL}', named)


async def call_letter(stage, wait='2000'):
    return await stage.call(
        '/letter/1',
        oleanderdyke_deadline_ms=wait,
        oleanderdyke_model=MODEL,
        oleanderdyke_token_usage='100,10',
    )


async def test_no_request_is_sent_to_weights_past_their_limit(tmp_path):
    async with hosted.staging(
        tmp_path, answer_well, version_limit=LIMIT, models=OLD
    ) as stage:
        publish_weights(stage.store, 2)
        await anyio.sleep(0.1)
        assert (await call_letter(stage)).status == 200
        await anyio.sleep(LIMIT / 1_000)
        with anyio.fail_after(1):
            refused = await call_letter(stage)
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 0
        assert len(stage.replicas[0].received) == 1


async def test_old_weights_do_not_serve_if_the_age_of_newer_ones_is_unknown(
    tmp_path,
):
    store = RecordStore()
    publish_weights(store, 2)
    async with hosted.staging(
        tmp_path, answer_well, store=store, version_limit=LIMIT, models=OLD
    ) as stage:
        assert (await call_letter(stage)).status == 503
        assert not stage.replicas[0].received


async def test_a_request_that_waits_on_old_weights_is_cancelled(tmp_path):
    cancelled = anyio.Event()

    async def wait(peer):
        await peer.wait_closed()
        cancelled.set()

    async with hosted.staging(
        tmp_path,
        wait,
        configuration=LETTERS,
        version_limit=LIMIT,
        models=OLD,
    ) as stage:
        publish_weights(stage.store, 2)
        await anyio.sleep(0.1)
        with anyio.fail_after(LIMIT / 1_000 - 0.1):
            answer = await call_letter(stage, '9000')
            await cancelled.wait()
        assert answer.status == 502


async def test_old_weights_serve_if_an_agent_reports_the_age_of_newer_ones(
    tmp_path,
):
    store = RecordStore()
    publish_weights(store, 2)
    contexts = ContextStore()
    async with server.serving(contexts) as (address,):
        notice = {
            'server': 'i-0',
            'step': 'waits',
            'agent': 'side-0',
            'model': MODEL,
            'held': 1,
            'newest_at': contexts.clock,
        }
        store.find('oleander-loads').append(json.dumps(notice).encode())
        async with hosted.staging(
            tmp_path,
            answer_well,
            store=store,
            configuration=hosted.configure_store(address),
            version_limit=6_000.0,
            models=OLD,
        ) as stage:
            await wait_until(lambda: contexts.reads > 1, 5)
            assert (await call_letter(stage)).status == 200
            await anyio.sleep(4.0)
            assert (await call_letter(stage)).status == 503


class Fleet:
    """Engines listed in the topic of servers, and their agents."""

    def __init__(self, directory, store, address, tasks, limit):
        self.store = store
        self.engines = {}
        self._directory = directory
        self._address = address
        self._tasks = tasks
        self._where = {}
        self._limit = limit

    async def add(self, stack, name, load_seconds):
        engine = HostedEngine(MODEL, load_seconds, server=f'i-{name}')
        _, where = await stack.enter_async_context(serving_replica(engine))
        self.engines[name] = engine
        self._where[name] = where
        self.register_engine(name)

    def register_engine(self, name):
        record = make_record(self._where[name], models=OLD)
        self.store.put(SERVERS, self.engines[name].server, record)

    def start_agent(self, name):
        process = f'side-{name}'
        settings = HostSettings(
            process=process,
            data_centre='hall',
            ip='127.0.0.1',
            store=self._address,
            server=self._where[name],
            version_limit=self._limit,
        )
        stream = (self._directory / f'{process}.log').open('w', buffering=1)
        log = make_event_log(process, stream=stream)
        self._tasks.start_soon(HostedAgent(settings, log, make_clock()).run)

    async def crash(self, name):
        """Crash and restart an engine; its new record appears 0.5 s later."""
        engine = self.engines[name]
        before = engine.server
        engine.crash()
        await anyio.sleep(0.5)
        engine.start_anew(f'{before}-again')
        await anyio.sleep(0.5)
        self.register_engine(name)
        self.store.drop(SERVERS, before)


@contextlib.asynccontextmanager
async def staging_fleet(directory, *, limit=math.inf, **load_seconds):
    store = RecordStore()
    async with contextlib.AsyncExitStack() as stack:
        (address,) = await stack.enter_async_context(server.serving(store))
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(directory, store, address, tasks, limit)
            for name, seconds in load_seconds.items():
                await fleet.add(stack, name, seconds)
            yield fleet
            tasks.cancel_scope.cancel()


async def wait_until(condition, seconds):
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.02)


async def test_crashed_engines_do_not_block_the_queue(tmp_path):
    async with staging_fleet(tmp_path, a=9.0, b=9.0, c=0.05) as fleet:
        publish_weights(fleet.store, 2)
        for name in 'ab':
            fleet.start_agent(name)
        first = [fleet.engines[name] for name in 'ab']
        await wait_until(lambda: all(each.orders for each in first), 8)
        fleet.start_agent('c')
        notices = fleet.store.find('oleander-loads').records
        await wait_until(
            lambda: any(
                json.loads(each)['server'] == 'i-c' for each in notices
            ),
            5,
        )
        async with anyio.create_task_group() as crashes:
            for name in 'ab':
                crashes.start_soon(fleet.crash, name)
        await wait_until(lambda: fleet.engines['c'].version == 2, 3)


async def test_engines_load_in_turns_while_there_is_time(tmp_path):
    names = dict.fromkeys('abcdef', 0.3)
    async with staging_fleet(tmp_path, limit=15_000.0, **names) as fleet:
        for name in names:
            fleet.start_agent(name)
        await anyio.sleep(0.5)
        publish_weights(fleet.store, 2)
        engines = list(fleet.engines.values())
        most = 0
        with anyio.fail_after(8):
            while any(each.version != 2 for each in engines):
                most = max(most, sum(each.busy for each in engines))
                await anyio.sleep(0.02)
    assert most == 2


async def test_a_stream_started_on_old_weights_continues(tmp_path):
    async def dictate(peer):
        await send_events(peer, 1, 2)
        for number in range(3, 9):
            await anyio.sleep(0.4)
            await peer.send(make_chunk(make_event(number)))
        await peer.send(b'0\r\n\r\n')

    async with hosted.staging(
        tmp_path,
        dictate,
        configuration=LETTERS,
        version_limit=LIMIT,
        models=OLD,
    ) as stage:
        publish_weights(stage.store, 2)
        await anyio.sleep(0.7)
        with anyio.fail_after(8):
            answer = await call_letter(stage, '9000')
    assert (answer.status, answer.is_whole) == (200, True)
    assert answer.body.count(b'data:') == 8


def list_steps(fleet):
    records = fleet.store.find('oleander-loads').records
    return [json.loads(each)['step'] for each in records]


async def test_a_settled_agent_gives_up_a_place_that_is_requested_late(
    tmp_path,
):
    async with staging_fleet(tmp_path, a=0.05) as fleet:
        publish_weights(fleet.store, 2)
        fleet.start_agent('a')
        await wait_until(lambda: list_steps(fleet)[-1:] == ['ended'], 8)
        await anyio.sleep(0.3)
        topic = fleet.store.find('oleander-loads')
        topic.append(next(each for each in topic.records if b'waits' in each))
        await wait_until(lambda: list_steps(fleet)[-1] == 'ended', 3)


async def test_no_order_names_a_start_that_ended_between_rollouts(tmp_path):
    async with staging_fleet(tmp_path, a=0.05) as fleet:
        publish_weights(fleet.store, 2)
        fleet.start_agent('a')
        engine = fleet.engines['a']
        await wait_until(lambda: engine.version == 2, 8)
        await anyio.sleep(0.5)
        await fleet.crash('a')
        await anyio.sleep(0.5)
        before = len(engine.orders)
        publish_weights(fleet.store, 3)
        await wait_until(lambda: engine.version == 3, 5)
    named = [each['instance'] for each in engine.orders[before:]]
    assert named == ['i-a-again']


async def test_a_lost_engine_is_reported_once_the_store_is_back(tmp_path):
    async with staging_fleet(tmp_path, a=9.0) as fleet:
        publish_weights(fleet.store, 2)
        fleet.start_agent('a')
        await wait_until(lambda: fleet.engines['a'].orders, 8)
        fleet.store.faults = RecordFaults(down=True)
        fleet.engines['a'].crash()
        await anyio.sleep(1.0)
        assert 'lost' not in list_steps(fleet)
        fleet.store.faults = RecordFaults()
        await wait_until(lambda: 'lost' in list_steps(fleet), 3)


async def test_an_agent_rarely_calls_a_store_that_is_down(tmp_path):
    async with staging_fleet(tmp_path, a=0.05) as fleet:
        fleet.start_agent('a')
        await wait_until(lambda: list_steps(fleet), 5)
        publish_weights(fleet.store, 2)
        fleet.store.faults = RecordFaults(down=True)
        before = len(fleet.store.calls)
        await anyio.sleep(3.0)
        tried = len(fleet.store.calls) - before
    # Three tasks read or write, each at most four times a second, for 3 s.
    assert tried <= 3 * 3 * 4


async def test_callers_get_the_true_reason_where_no_engine_is_listed(
    tmp_path,
):
    async with hosted.staging(
        tmp_path, answer_well, version_limit=LIMIT, models=OLD
    ) as stage:
        publish_weights(stage.store, 2)
        plain = make_record('127.0.0.1:9', service='counter')
        stage.store.put(SERVERS, 'i-plain', plain)
        stage.store.drop(SERVERS, 'i-0')
        await anyio.sleep(1.5)
        refused = await call_letter(stage)
        assert refused.status == 503
        assert 'no server listed' in stage.log.read_text()
