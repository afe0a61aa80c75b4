from __future__ import annotations

import ast
import json
import math
import pathlib

import anyio
import pytest

from oleanderdyke.clients.http import HOP_BY_HOP
from oleanderdyke.errors import SettingsError
from oleanderdyke.kernel.context_stores import ContextPlan, Source
from oleanderdyke.kernel.deployment import CallKind, EngineTraits
from oleanderdyke.platform import names
from oleanderdyke.platform.documents import (
    MalformedRecord,
    decode_configuration,
    decode_server,
    decode_version,
)
from oleanderdyke.platform.loads import LoadFeed
from oleanderdyke.platform.requests import (
    Dispatch,
    decode_request,
    encode_refusal,
    encode_request,
)
from oleanderdyke.platform.settings import parse_host_settings
from oleanderdyke.platform.store import RecordsExpired, StoreClient
from tests.hosted import CONFIGURATION, make_record
from tests.standins import server, web
from tests.standins.records import RecordFaults, RecordStore

SOURCES = pathlib.Path(__file__).parents[1] / 'src' / 'oleanderdyke'
SETTINGS = """nodeName=front-1
zone=hall
ip=10.0.0.1
zones.hall=north
zones.yard=north
listen.front=10.0.0.1:81
platform.address=10.0.0.9:80
limits.memoryMb=150
heartbeatMs=700
bounds.graceS=8
bounds.retrySlack=52
strange.new=1
"""
TOPIC = 'keyed.servers'


def test_settings_are_read_and_unknown_fields_ignored():
    settings = parse_host_settings(SETTINGS, 'boot.conf')
    assert settings.process == 'front-1'
    assert settings.data_centre == 'hall'
    assert settings.grace == 8_000
    assert settings.retry_slack == 52
    assert settings.heartbeat == 700
    assert settings.server == ''


def test_all_faults_of_the_settings_are_reported_together():
    text = 'nodeName=a\nno mark\nbounds.graceS=soon\n'
    with pytest.raises(SettingsError) as caught:
        parse_host_settings(text, 'boot.conf')
    message = str(caught.value)
    for fault in (':2:', 'zone: is missing', 'platform.address', "'soon'"):
        assert fault in message


def test_a_configuration_is_decoded():
    deployment = decode_configuration(json.dumps(CONFIGURATION).encode())
    route = deployment.find_route('rooms.example', '/safe/9')
    assert deployment.version == 7
    assert route.kind is CallKind.IDEMPOTENT
    assert route.attempts == 2
    assert route.is_repeatable
    assert deployment.key_owners['key-of-red'].team == 'red'
    assert deployment.needs_key(route)


def test_the_longest_prefix_of_the_host_wins():
    routes = [
        {**CONFIGURATION['routes'][0], 'name': prefix, 'pathPrefix': prefix}
        for prefix in ('/', '/a/', '/a/b/')
    ]
    text = json.dumps({**CONFIGURATION, 'routes': routes}).encode()
    deployment = decode_configuration(text)
    assert deployment.find_route('rooms.example', '/a/b/c').name == '/a/b/'
    assert deployment.find_route('rooms.example', '/a/bc').name == '/a/'
    assert deployment.find_route('rooms.example', '/x').name == '/'
    assert deployment.find_route('else.example', '/x') is None


def test_a_stream_that_may_not_be_resumed_may_not_be_repeated():
    deployment = decode_configuration(json.dumps(CONFIGURATION).encode())
    letter = deployment.find_route('rooms.example', '/letter/1')
    stream = deployment.find_route('rooms.example', '/stream/1')
    assert not letter.is_repeatable
    assert stream.is_repeatable


def decode_traits(engine, store):
    services = [
        {'name': 'desk', 'engine': {'kvCapacity': 10, **engine}},
        {'name': 'shelf', 'kvStoreAddr': 's:1', 'zone': 'hall', **store},
    ]
    text = json.dumps({**CONFIGURATION, 'services': services}).encode()
    found = decode_configuration(text).services
    return found['desk'].engine, found['shelf'].store


def test_sizes_and_bandwidths_are_decoded():
    engine, store = decode_traits(
        {
            'kvTokenBytes': 327_680,
            'linkMbps': 740_000.0,
            'slots': 64,
            'stride': 5,
        },
        {'linkMbps': 390_000.0, 'first_ms': 6.0},
    )
    assert engine == EngineTraits(10, 327_680.0, 740_000.0, 64, 5)
    assert (store.link_mbps, store.first_delay) == (390_000.0, 6.0)


@pytest.mark.parametrize('value', [None, 'many', -1, True, []])
def test_malformed_sizes_and_bandwidths_count_as_unknown(value):
    hints = dict.fromkeys(
        ('kvTokenBytes', 'linkMbps', 'slots', 'stride'), value
    )
    engine, store = decode_traits(hints, {'first_ms': value})
    assert engine == EngineTraits(10)
    assert store.first_delay == 0.0


@pytest.mark.parametrize(
    'text', [b'', b'{', b'[]', b'{}', b'{"version": 1, "routes": [{}]}']
)
def test_a_malformed_configuration_raises_an_error(text):
    with pytest.raises(MalformedRecord):
        decode_configuration(text)


def test_a_server_is_decoded():
    record = make_record(
        '10.0.0.2:80',
        state='draining',
        models=[{'name': 'm', 'version': 3, 'adapters': []}],
    )
    found = decode_server('i-1', json.dumps(record).encode())
    assert found.server == 'i-1'
    assert found.is_leaving
    assert found.versions == {'m': 3}
    assert found.data_centre == 'hall'


@pytest.mark.parametrize('text', [b'{}', b'nothing', b'{"model": "m"}'])
def test_malformed_records_raise_an_error(text):
    with pytest.raises(MalformedRecord):
        decode_server('i-1', text)
    with pytest.raises(MalformedRecord):
        decode_version(text)


def test_the_demand_of_a_request_is_decoded():
    found = decode_request(
        (
            (names.REQUEST_ID, 'r1'),
            (names.DEADLINE, '4000'),
            (names.API_KEY, 'k'),
            (names.MODEL, 'm'),
            (names.TOKENS, '1460,80'),
            (names.PROMPT_PARTS, '5c1e:800, 91bd:410,zz,e440:250'),
            (names.LAST_EVENT, '12'),
        )
    )
    assert (found.request, found.wait, found.api_key) == ('r1', 4_000, 'k')
    assert found.last_event == '12'
    demand = found.demand
    assert (demand.prompt_tokens, demand.output_tokens) == (1460, 80)
    assert [part.tokens for part in demand.parts] == [800, 410, 250]


def test_malformed_fields_of_a_head_are_ignored():
    found = decode_request(
        ((names.DEADLINE, 'soon'), (names.MODEL, 'm'), (names.TOKENS, 'x'))
    )
    assert found.wait is None
    assert found.demand.prompt_tokens == 0


def test_only_the_system_sets_its_headers():
    sent = tuple((name, 'forged') for name in names.OWN_HEADERS)
    kept = encode_request(
        (*sent, ('connection', 'x-hop'), ('x-hop', '1'), ('x-end', '2')),
        Dispatch(server='i-1', wait=500.4),
    )
    assert dict(kept) == {
        'x-end': '2',
        names.EXPECTED_INSTANCE: 'i-1',
        names.DEADLINE: '500',
    }
    assert not HOP_BY_HOP & set(dict(kept))


def test_context_sources_and_sinks_are_encoded_for_each_part():
    plan = ContextPlan(
        sources=(Source('a:1', 800), None, None),
        sinks=('', 'b:2', ''),
        until=12_345.9,
    )
    found = dict(
        encode_request(
            (),
            Dispatch('i-1', 10.0, salt='1/m/', version=1, contexts=plan),
        )
    )
    assert found[names.CONTEXT_SOURCE] == 'a:1/800,-,-'
    assert found[names.CONTEXT_SINK] == '-,b:2,-'
    assert found[names.CONTEXT_UNTIL] == '12345'
    assert found[names.CACHE_SALT] == '1/m/'
    assert found[names.EXPECTED_VERSION] == '1'


def test_retry_after_is_encoded_in_seconds():
    found = dict(encode_refusal('r1', 120.0))
    assert found == {names.REQUEST_ID: 'r1', 'retry-after': '0.120'}


@pytest.mark.anyio
async def test_the_store_is_listed_and_then_read_from_the_end():
    store = RecordStore()
    store.put(TOPIC, 'a', {'n': 1})
    store.put(TOPIC, 'a', {'n': 2})
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        page = await client.list_newest(TOPIC)
        assert [record.key for record in page.records] == ['a']
        assert json.loads(page.records[0].value) == {'n': 2}
        store.put(TOPIC, 'b', {'n': 3})
        store.drop(TOPIC, 'a')
        later = await client.read_keyed(TOPIC, page.end)
        assert [(r.key, r.value is None) for r in later.records] == [
            ('b', False),
            ('a', True),
        ]
        assert later.end == store.find(TOPIC).end
        await client.close()


@pytest.mark.anyio
async def test_expired_and_future_offsets_raise_an_error():
    store = RecordStore()
    store.put(TOPIC, 'a', {})
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        store.find(TOPIC).forget()
        with pytest.raises(RecordsExpired) as caught:
            await client.read_keyed(TOPIC, 0)
        assert caught.value.first == 1
        with pytest.raises(RecordsExpired):
            await client.read_keyed(TOPIC, 50)
        await client.close()


@pytest.mark.anyio
async def test_an_append_whose_answer_is_lost_is_retried():
    store = RecordStore()
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        assert (await client.append('ours', b'one')).offset == 0
        store.faults = RecordFaults(lose_answers=1)
        store.note_faults()
        offset = (await client.append('ours', b'two')).offset
        assert store.find('ours').records[offset] == b'two'
        await client.close()


def list_platform_texts() -> frozenset[str]:
    """Return the names that only the platform package may use."""
    found = {
        text
        for name, text in vars(names).items()
        if name.isupper() and isinstance(text, str)
    }
    return frozenset(found | names.OWN_HEADERS) - {'last-event-id', 'config'}


def find_strings(path: pathlib.Path) -> set[str]:
    tree = ast.parse(path.read_text(encoding='utf-8'))
    return {
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }


def test_names_of_the_platform_are_used_only_in_its_package():
    known = list_platform_texts()
    for path in SOURCES.rglob('*.py'):
        if 'platform' in path.relative_to(SOURCES).parts:
            continue
        text = path.read_text(encoding='utf-8').lower()
        used = {
            each
            for each in find_strings(path)
            if each in known or each.lower().startswith('oleanderdyke-')
        }
        assert not used, path
        for word in ('/api/', 'kv-events', 'log-append', 'servers/', 'op/'):
            assert f"'{word}" not in text, path


def test_the_check_of_names_finds_names():
    assert 'oleanderdyke-key' in list_platform_texts()
    assert find_strings(SOURCES / 'platform' / 'names.py') & (
        list_platform_texts()
    )


@pytest.mark.anyio
async def test_a_read_without_records_returns_how_long_it_waited():
    store = RecordStore()
    async with server.serving(store) as (address,):
        client = StoreClient(address, wait=200.0)
        store.put(TOPIC, 'a', 1)
        some = await client.read_keyed(TOPIC, 0)
        none = await client.read_keyed(TOPIC, some.end)
    assert (some.waited, none.waited) == (0.0, 200.0)
    assert some.is_complete
    assert none.is_complete


@pytest.mark.anyio
async def test_a_read_answered_before_the_end_of_its_wait_counts_no_wait():
    store = RecordStore()
    async with server.serving(store) as (address,):
        client = StoreClient(address, wait=2_000.0)
        store.put(TOPIC, 'a', 1)
        pages = []

        async def read():
            pages.append(await client.read_keyed(TOPIC, 1))

        with anyio.fail_after(1):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read)
                await anyio.sleep(0.2)
                store.find(TOPIC).changed.set()
    assert [(each.records, each.waited) for each in pages] == [((), 0.0)]


@pytest.mark.anyio
async def test_a_page_that_ends_before_the_topic_is_not_complete():
    store = RecordStore()
    store.most = 1
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        for key in 'ab':
            store.put(TOPIC, key, 1)
        first = await client.read_keyed(TOPIC, 0)
        last = await client.read_keyed(TOPIC, first.end)
    assert not first.is_complete
    assert last.is_complete


@pytest.mark.anyio
@pytest.mark.parametrize(
    'changes',
    [{'held': math.inf}, {'newest_at': math.nan}, {'newest_at': math.inf}],
)
async def test_a_notice_with_an_invalid_number_is_refused(changes):
    notice = {'server': 'i', 'step': 'waits', 'held': 1, 'newest_at': 1.0}
    store, refused = RecordStore(), []
    for each in (notice | changes, notice):
        store.find(names.LOAD_TOPIC).append(json.dumps(each).encode())
    async with server.serving(store) as (address,):
        client = StoreClient(address)
        feed = LoadFeed(client, lambda name, _: refused.append(name))
        (good,) = await feed.read()
    assert good.held == 1
    assert refused == ['loads']


class NoTopics(RecordStore):
    """Store without topics, as before the first record."""

    async def answer(self, request):
        return web.refuse(404, 'no such topic')


@pytest.mark.anyio
async def test_a_read_of_a_missing_topic_is_not_complete():
    async with server.serving(NoTopics()) as (address,):
        client = StoreClient(address, wait=50.0)
        page = await client.read_keyed('keyed.absent', 0)
    assert not page.is_complete
