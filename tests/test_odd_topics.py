"""Odd records in the topics that processes of the system write themselves."""

from __future__ import annotations

import json

import anyio
import pytest

from oleanderdyke.platform import names
from tests.hosted import (
    MODEL,
    SERVERS,
    configure_store,
    make_record,
    staging,
    staging_linked,
    starting,
)
from tests.processes import Ports
from tests.standins import server
from tests.standins.contexts import ContextStore
from tests.standins.scripts import answer_well

pytestmark = pytest.mark.anyio

MODELS = [{'name': MODEL, 'version': 1, 'adapters': []}]
MOST = 2**53 - 1
TOPICS = (
    names.LOAD_TOPIC,
    names.FENCE_TOPIC,
    names.CRASH_TOPIC,
    names.START_TOPIC,
    names.STREAM_TOPIC,
    names.ENTRY_TOPIC,
)


def make_load(**changes) -> bytes:
    notice = {'server': 'i-9', 'step': 'queued', 'agent': 'a', 'model': MODEL}
    return json.dumps({**notice, **changes}).encode()


ODD = [
    b'\x00',
    b'\xff' * 40,
    b'\xa0',
    b'\x9f' * 200,
    b'\xbb' + b'\xff' * 8,
    b'[' * 9_000,
    b'{}',
    b' ',
    b'front-9 ' + b'9' * 300 + b' x',
    b'1 2 3',
    b'-1 x front-9',
    b'9' * 400 + b' x front-9',
    b'nan inf front-9',
    make_load(step='odd'),
    make_load(held=MOST),
    make_load(held=10**400),
    make_load(newest_at=MOST),
    make_load(step='done', held=MOST, newest_at=MOST),
    make_load(step='begun', held=MOST, newest_at=0),
]


# Guards against a record of another writer in a topic of the system that ends
# entries, or those that start later.
@pytest.mark.parametrize('topic', TOPICS)
async def test_entries_go_on_and_start_beside_odd_records(tmp_path, topic):
    scripts = [answer_well] * 2
    async with staging(tmp_path, *scripts, models=MODELS) as stage:
        for odd in ODD:
            stage.store.find(topic).append(odd)
        stage.store.put(SERVERS, 'i-9', make_record('a..b:80', models=MODELS))
        await anyio.sleep(1)
        assert (await stage.call('/once/1')).status == 200
        with Ports() as ports:
            async with starting(
                tmp_path, stage.store, ports, stage.replicas, name='late'
            ) as late:
                await anyio.sleep(1)
                for served in (stage, late):
                    assert (await served.call('/safe/1')).status == 200


# Guards against text that no message between entries can carry.
@pytest.mark.parametrize('odd', ['\ud800', '1/\udfff/', '\x00\n'])
async def test_entries_share_a_store_with_an_odd_salt(tmp_path, odd):
    contexts = ContextStore()
    async with (
        server.serving(contexts) as (address,),
        staging_linked(
            tmp_path,
            answer_well,
            entries=2,
            configuration=configure_store(address),
            models=MODELS,
        ) as linked,
    ):
        with anyio.fail_after(10):
            while not all(
                stage.core.peers.has_links for stage in linked.stages
            ):
                await anyio.sleep(0.05)
        contexts.add(odd, 'aa', 2_000)
        contexts.add(f'1/{MODEL}/', 'bb', 2_000)
        await anyio.sleep(2)
        for stage in linked.stages:
            assert (await stage.call('/safe/1')).status == 200
            (view,) = stage.core.contexts.views.values()
            assert (f'1/{MODEL}/', 'bb') in view.parts
            assert 'event=task_failed' not in stage.log.read_text()


# Guards against names of a configuration that no message can carry.
@pytest.mark.parametrize('odd', ['\ud800', 'a\r\nb'])
async def test_entries_serve_a_service_with_an_odd_name(tmp_path, odd):
    found = configure_store('127.0.0.1:9')
    services = [*found['services'], {'name': odd, 'engine': {'slots': 4}}]
    routes = [
        *found['routes'],
        {**found['routes'][0], 'name': odd, 'pathPrefix': '/o/'},
        {**found['routes'][2], 'name': odd, 'pathPrefix': '/s/'},
        {**found['routes'][2], 'pathPrefix': '/t/', 'service': odd},
    ]
    configuration = {**found, 'services': services, 'routes': routes}
    async with staging_linked(
        tmp_path,
        answer_well,
        entries=2,
        configuration=configuration,
        models=MODELS,
    ) as linked:
        for stage in linked.stages:
            for path in ('/o/1', '/safe/1'):
                assert (await stage.call(path)).status == 200
            for path in ('/s/1', '/t/1'):
                answer = await stage.call(path, oleanderdyke_model=MODEL)
                assert answer.status != 500
        await anyio.sleep(1.5)
        for stage in linked.stages:
            assert (await stage.call('/safe/1')).status == 200
            assert 'event=task_failed' not in stage.log.read_text()
