"""Records of unknown writers in the platform's store.

A record that can't be split must not lose its page: the reader would request
the same page forever and miss later servers. A record that is nested too deeply
or has a huge number must not end the process. A record with missing or mistyped
fields must not be taken for a backend server and get requests.
"""

from __future__ import annotations

import gc
import io
import json
import statistics
import time

import anyio
import pytest

from oleanderdyke.events import EventName
from oleanderdyke.logs import make_event_log
from oleanderdyke.platform.documents import MalformedRecord, decode_server
from oleanderdyke.platform.feed import OperatorFeed, ServerFeed, list_servers
from oleanderdyke.platform.records import find_last_key
from oleanderdyke.platform.store import StoreUnavailable
from tests import foreign
from tests.hosted import (
    CONFIGURATION,
    ROUTE,
    SERVERS,
    make_record,
    staging,
)
from tests.standins.scripts import answer_well

GOOD = foreign.encode(foreign.GOOD)
EMPTY = foreign.make_page([])

pytestmark = pytest.mark.anyio

each_broken = pytest.mark.parametrize(
    'broken', foreign.BROKEN.values(), ids=foreign.BROKEN
)
# Records without a valid key, as stored in the history.
KEYLESS = {
    'empty': b'',
    'cut_key': b'\x05ab',
    'no_text': foreign.make_keyed(b'i-\xff', GOOD),
    'half_text': foreign.make_keyed(b'\xe9', GOOD),
}
ODD_KEYS = {
    'empty': '',
    'spaces': 'i 1',
    'line': 'i-1\r\nx: y',
    'path': 'version/i-1',
    'letters': 'í-1',
    'zero': 'i-\x00',
}
ODD_ITEMS = {
    'no_object': 7,
    'null': None,
    'list': ['i-9', '', 1],
    'no_key': {'value': '', 'offset': 1},
    'key_number': {**foreign.make_item('', GOOD, 1), 'key': 7},
    'no_value': {'key': 'i-9', 'offset': 1},
    'value_number': {'key': 'i-9', 'value': 7, 'offset': 1},
    'no_base64': {'key': 'i-9', 'value': 'a', 'offset': 1},
    'other_letters': {'key': 'i-9', 'value': 'é*é*', 'offset': 1},
    'no_offset': {'key': 'i-9', 'value': foreign.make_item('', GOOD)['value']},
    'offset_text': {**foreign.make_item('i-9', GOOD), 'offset': 'x'},
    'offset_list': {**foreign.make_item('i-9', GOOD), 'offset': [1]},
}


class Refusals:
    """Collect the reported records."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.details: list[str] = []

    def __call__(self, name: str, error: MalformedRecord) -> None:
        self.names.append(name)
        self.details.append(error.message)

    def check_bounded(self) -> None:
        for text in (*self.names, *self.details):
            assert len(text) <= 300


def list_names(update) -> list[str]:
    return [record.server for record in update.records]


async def read_list(items, refusals) -> list[str]:
    client = foreign.CannedStore(foreign.make_page(items, end=len(items)))
    return [each.server for each in await list_servers(client, refusals)]


async def read_history(refusals, *records: bytes):
    """Read records after an empty list; return the update and position."""
    client = foreign.CannedStore(
        EMPTY, foreign.make_history(records), foreign.make_history([])
    )
    feed = ServerFeed(client, refusals)
    await feed.read()
    update = await feed.read()
    await feed.read()
    return update, client.asked[-1]['from']


def make_good(server: str) -> bytes:
    return foreign.make_keyed(server.encode(), GOOD)


def test_a_valid_record_is_decoded_with_all_fields():
    found = decode_server('i-1', GOOD)
    assert found.versions == {'m': 3}
    assert (found.address, found.slots, found.revision) == ('10.0.0.2:80', 6, 9)


@each_broken
def test_a_malformed_record_is_no_server(broken):
    with pytest.raises(MalformedRecord) as caught:
        decode_server('i-1', broken)
    assert len(caught.value.message) <= 300


@each_broken
async def test_servers_listed_beside_a_malformed_record_are_kept(broken):
    refusals = Refusals()
    items = foreign.list_items([('a', GOOD), ('b', broken), ('c', GOOD)])
    assert await read_list(items, refusals) == ['a', 'c']
    assert refusals.names == ['b']
    refusals.check_bounded()


@each_broken
async def test_servers_read_beside_a_malformed_record_are_kept(broken):
    refusals = Refusals()
    update, position = await read_history(
        refusals,
        make_good('a'),
        foreign.make_keyed(b'b', broken),
        make_good('c'),
    )
    assert list_names(update) == ['a', 'c']
    assert (update.removed, position) == ([], 3)
    assert refusals.names == ['b']
    refusals.check_bounded()


@pytest.mark.parametrize('broken', KEYLESS.values(), ids=KEYLESS)
async def test_a_record_without_a_valid_key_is_skipped(broken):
    refusals = Refusals()
    update, position = await read_history(
        refusals, make_good('a'), broken, make_good('c')
    )
    assert list_names(update) == ['a', 'c']
    assert (update.removed, position) == ([], 3)
    assert len(refusals.details) == 1


@pytest.mark.parametrize('key', ODD_KEYS.values(), ids=ODD_KEYS)
async def test_a_key_that_is_no_server_id_is_no_server(key):
    refusals = Refusals()
    items = foreign.list_items([('a', GOOD), (key, GOOD), ('c', GOOD)])
    assert await read_list(items, refusals) == ['a', 'c']
    update, _ = await read_history(
        refusals, make_good('a'), foreign.make_keyed(key.encode(), GOOD)
    )
    assert list_names(update) == ['a']
    assert len(refusals.details) == 2
    refusals.check_bounded()


@pytest.mark.parametrize('item', ODD_ITEMS.values(), ids=ODD_ITEMS)
async def test_a_malformed_item_is_skipped(item):
    refusals = Refusals()
    items = foreign.list_items([('a', GOOD), ('c', GOOD)])
    assert await read_list([items[0], item, items[1]], refusals) == ['a', 'c']
    assert len(refusals.details) == 1


async def test_paging_continues_after_a_malformed_item():
    refusals = Refusals()
    items = foreign.list_items([('a', GOOD), ('c', GOOD)])
    client = foreign.CannedStore(
        foreign.make_page([items[0], 7], end=9, more=True),
        foreign.make_page([{'key': 7}], end=9, more=True),
        foreign.make_page([items[1]], end=9),
    )
    found = await list_servers(client, refusals)
    assert [each.server for each in found][:1] == ['a']
    assert client.asked[1]['after'] == 'a'


@pytest.mark.parametrize(
    ('keys', 'after'),
    [
        ([], ''),
        ([7, None], ''),
        (['a', 'b'], 'b'),
        (['a', 7], 'a'),
        (['a', 'b\ufffd'], 'a'),
        (['b\ufffd', 'c\ufffd'], 'c\ufffd'),
        (['a', '\ud800'], 'a'),
    ],
)
def test_paging_continues_after_a_key_that_can_be_encoded(keys, after):
    assert find_last_key([{'key': key} for key in keys]) == after


async def test_paging_that_never_advances_is_stopped():
    client = foreign.CannedStore(
        *[foreign.make_page([foreign.make_item('a', GOOD)], more=True)] * 9
    )
    found = await list_servers(client, Refusals())
    assert {each.server for each in found} == {'a'}
    assert len(client.asked) < 9


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'7',
        b'{}',
        b'\xff',
        foreign.DEEP,
        foreign.make_page(7),
        foreign.make_page([], end=None),
        foreign.make_page([], end='x'),
    ],
)
async def test_a_malformed_page_is_requested_again(answer):
    feed = ServerFeed(foreign.CannedStore(answer, EMPTY), Refusals())
    with pytest.raises(StoreUnavailable):
        await feed.read()
    assert (await feed.read()).is_whole


@pytest.mark.parametrize('answer', [b'', b'7', b'{}', b'[]', foreign.DEEP])
async def test_an_append_with_a_malformed_answer_raises_an_error(answer):
    with pytest.raises(StoreUnavailable):
        await foreign.CannedStore(answer).append('ours', b'x')


@pytest.mark.parametrize(
    'answer', [b'', b'7', b'[]', b'{"first": "x"}', foreign.DEEP]
)
async def test_an_expired_read_with_a_malformed_answer_raises_an_error(answer):
    client = foreign.CannedStore(answer, status=410)
    with pytest.raises(StoreUnavailable):
        await client.read_plain('ours', 7)


async def test_many_malformed_records_are_reported_in_few_lines_and_counted():
    refusals = Refusals()
    broken = [(f'b{number}', b'{') for number in range(1_000)]
    items = foreign.list_items([('a', GOOD), *broken, ('c', GOOD)])
    assert await read_list(items, refusals) == ['a', 'c']
    assert len(refusals.details) <= 4
    assert '997 more' in refusals.details[-1]
    refusals.check_bounded()


@pytest.mark.parametrize(
    ('records', 'unread'),
    [
        ([GOOD, b'{'], ['b']),
        ([b'{', GOOD], []),
        ([b'{', b''], []),
        ([b'', b'{'], ['b']),
    ],
    ids=['was_good', 'is_good_again', 'is_gone', 'came_back_broken'],
)
async def test_the_newest_record_of_a_server_decides_whether_it_is_readable(
    records, unread
):
    refusals = Refusals()
    keyed = [foreign.make_keyed(b'b', value) for value in records]
    update, _ = await read_history(refusals, make_good('a'), *keyed)
    assert update.unreadable == unread
    assert len(refusals.names) == 1


async def test_a_list_of_servers_includes_the_unreadable_keys():
    items = foreign.list_items([('a', GOOD), ('b', b'{')])
    feed = ServerFeed(
        foreign.CannedStore(foreign.make_page([*items, 7])), Refusals()
    )
    update = await feed.read()
    assert (list_names(update), 'b' in update.unreadable) == (['a'], True)


VERSION = {'model': 'm', 'version': 4}
BROKEN_VERSIONS = {
    'other_model': {**VERSION, 'model': 'n'},
    'no_model': {'version': 4},
    'model_number': {**VERSION, 'model': 7},
    'no_version': {'model': 'm'},
    'text': {**VERSION, 'version': '4'},
    'flag': {**VERSION, 'version': True},
    'part': {**VERSION, 'version': 4.0},
    'zero': {**VERSION, 'version': 0},
    'negative': {**VERSION, 'version': -4},
    'absurd': {**VERSION, 'version': 10**30},
    'list': [VERSION],
    'null': None,
}
BROKEN_CONFIGURATIONS = {
    'list': [CONFIGURATION],
    'version_text': {**CONFIGURATION, 'version': '9'},
    'version_flag': {**CONFIGURATION, 'version': True},
    'version_negative': {**CONFIGURATION, 'version': -9},
    'routes_number': {**CONFIGURATION, 'version': 9, 'routes': 7},
    'route_text': {**CONFIGURATION, 'version': 9, 'routes': ['r']},
    'services_number': {**CONFIGURATION, 'version': 9, 'services': 7},
    'limits_list': {**CONFIGURATION, 'version': 9, 'limits': [1]},
    'limit_beyond_all': {
        **CONFIGURATION,
        'version': 9,
        'limits': {'idleTimeoutMs': 10**400},
    },
    'limit_endless': {
        **CONFIGURATION,
        'version': 9,
        'limits': {'maxBodyBytes': float('inf')},
    },
    'owners_text': {**CONFIGURATION, 'version': 9, 'tenants': ['red']},
}


async def read_operator(refusals, *records: tuple[str, bytes]):
    client = foreign.CannedStore(foreign.make_page(foreign.list_items(records)))
    return await OperatorFeed(client, refusals).read()


@pytest.mark.parametrize(
    'broken',
    [*map(foreign.encode, BROKEN_VERSIONS.values()), foreign.DEEP, b'\xff'],
)
async def test_versions_published_beside_a_malformed_record_are_kept(broken):
    refusals = Refusals()
    good = foreign.encode({'model': 'k', 'version': 2})
    update = await read_operator(
        refusals, ('version/m', broken), ('version/k', good)
    )
    assert [each.model for each in update.list_versions()] == ['k']
    assert refusals.names == ['version/m']
    refusals.check_bounded()


@pytest.mark.parametrize(
    'broken',
    [
        *map(foreign.encode, BROKEN_CONFIGURATIONS.values()),
        foreign.DEEP,
        b'\xff',
    ],
)
async def test_a_malformed_configuration_leaves_the_valid_one(broken):
    refusals = Refusals()
    good = foreign.encode(CONFIGURATION)
    update = await read_operator(refusals, ('config', good), ('config', broken))
    assert [each.version for each in update.list_configurations()] == [7]
    assert refusals.names == ['config']
    refusals.check_bounded()


async def test_unknown_keys_of_operators_are_reported():
    refusals = Refusals()
    good = foreign.encode(CONFIGURATION)
    update = await read_operator(refusals, ('odd', b'{}'), ('config', good))
    assert [each.version for each in update.list_configurations()] == [7]
    assert refusals.names == ['odd']


async def test_an_entry_continues_after_records_of_other_writers(tmp_path):
    async with staging(tmp_path, answer_well, answer_well) as stage:
        topic = stage.store.find(SERVERS)
        for broken in (b'', b'\x09', *foreign.BROKEN_BYTES.values()):
            topic.append(foreign.make_keyed(b'x', broken) if broken else b'')
        topic.append(b'\x09')
        stage.store.drop(SERVERS, 'i-0')
        with anyio.fail_after(5):
            while len(list_usable(stage)) > 1:
                await anyio.sleep(0.05)
        found = await stage.call('/once/1')
        assert found.status == 200
        assert list_usable(stage) == ['i-1']
    lines = stage.log.read_text().splitlines()
    assert not [line for line in lines if 'event=log_down' in line]
    refused = [line for line in lines if 'event=record_refused' in line]
    assert 1 <= len(refused) <= 8
    assert max(map(len, refused)) < 600


def list_usable(stage) -> list[str]:
    core = stage.core
    listed = core.backends.list_service('desk', core.clock.now())
    return [backend.record.server for backend in listed]


async def test_a_server_whose_record_becomes_malformed_completes_its_requests(
    tmp_path,
):
    release = anyio.Event()

    async def run(peer):
        await release.wait()
        await answer_well(peer)

    route = {**ROUTE, 'timeoutMs': 9_000}
    async with staging(
        tmp_path,
        run,
        answer_well,
        configuration={**CONFIGURATION, 'routes': [route]},
    ) as stage:
        topic = stage.store.find(SERVERS)
        first, second = topic.newest['i-0'][1], topic.newest['i-1'][1]
        topic.put('i-1', b'{')
        await wait_usable(stage, ['i-0'])
        answered = []

        async def call():
            found = await stage.call('/once/1', oleanderdyke_deadline_ms='9000')
            answered.append(found.status)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            with anyio.fail_after(5):
                while not stage.replicas[0].received:
                    await anyio.sleep(0.02)
            topic.put('i-0', b'\xff')
            topic.put('i-1', second)
            await wait_usable(stage, ['i-1'])
            assert (await stage.call('/once/2')).status == 200
            assert len(stage.replicas[1].received) == 1
            release.set()
        assert answered == [200]
        topic.put('i-0', first)
        await wait_usable(stage, ['i-0', 'i-1'])


async def wait_usable(stage, servers) -> None:
    with anyio.fail_after(5):
        while sorted(list_usable(stage)) != servers:
            await anyio.sleep(0.05)


async def test_a_record_of_another_writer_gets_no_requests(tmp_path):
    async with staging(tmp_path, answer_well) as stage:
        for number, value in enumerate(foreign.BROKEN_FIELDS.values()):
            stage.store.find(SERVERS).put(f'x-{number}', value)
        stage.store.put(
            SERVERS, 'i-9', make_record('127.0.0.1:9', state='draining')
        )
        with anyio.fail_after(5):
            while stage.core.backends.find('i-9') is None:
                await anyio.sleep(0.05)
        assert list_usable(stage) == ['i-0']
    assert json.loads(GOOD) == foreign.GOOD


RECORDS = 1_000
TURNS = 15
# Bounds the extra time if one record in ten is malformed.
MAX_RATIO = 1.2
# Very long records are left out: they take as long to fetch if valid.
USUAL = [value for value in foreign.BROKEN.values() if len(value) < 5_000]


def make_records(*, every_tenth) -> list[tuple[str, bytes]]:
    """Build a thousand records, the malformed ones by turns."""
    return [
        (
            f'i-{number}',
            USUAL[number // 10 % len(USUAL)]
            if every_tenth and number % 10 == 5
            else GOOD,
        )
        for number in range(RECORDS)
    ]


def make_changes(records) -> bytes:
    keyed = [foreign.make_keyed(key.encode(), text) for key, text in records]
    return foreign.make_history(keyed)


async def time_reading(*answers) -> tuple[float, int, int]:
    """Read and log as an entry does; return CPU seconds, servers and lines."""
    stream = io.StringIO()
    log = make_event_log('front-1', stream=stream)

    def refuse(name, error):
        log.write(EventName.RECORD_REFUSED, name=name, detail=error.message)

    feed = ServerFeed(foreign.CannedStore(*answers), refuse)
    for _ in answers[1:]:
        await feed.read()
    gc.collect()
    began = time.process_time()
    update = await feed.read()
    took = time.process_time() - began
    return took, len(update.records), len(stream.getvalue().splitlines())


@pytest.mark.parametrize('is_whole', [True, False])
async def test_one_malformed_record_in_ten_costs_little(is_whole):
    good, mixed = (
        make_records(every_tenth=every_tenth) for every_tenth in (False, True)
    )
    if is_whole:
        answers = [
            [foreign.make_page(foreign.list_items(each))]
            for each in (good, mixed)
        ]
    else:
        answers = [[EMPTY, make_changes(each)] for each in (good, mixed)]
    ratios = [await compare_reading(*answers) for _ in range(TURNS)]
    assert statistics.median(ratios) <= MAX_RATIO


async def compare_reading(good, mixed) -> float:
    """Read valid records, then mixed ones; return the ratio of their times.

    Only consecutive reads are compared: the speed of a core may drop by half at
    any moment, as the core that shares its hardware gets work.
    """
    good_time, *good_counts = await time_reading(*good)
    mixed_time, *mixed_counts = await time_reading(*mixed)
    assert good_counts == [1_000, 0]
    assert mixed_counts == [900, 4]
    return mixed_time / good_time
