"""Read the platform's store where other writers wrote to it too.

One record that could not be split lost the whole page of records around it,
and the reader asked for the same page for ever: no backend server that came
or left later was seen. A record nested too deep, or with a number beyond all
bounds, ended the process. One whose fields were missing or of another type
was taken for a backend server, and got requests. Each decoder trusted what
the platform's own servers write, and knew errors of a shape alone.
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
# Records of which no key can be told, as they stand in the history.
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


class Told:
    """Note what was refused."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.details: list[str] = []

    def __call__(self, name: str, error: MalformedRecord) -> None:
        self.names.append(name)
        self.details.append(error.message)

    def check_bounded(self) -> None:
        for text in (*self.names, *self.details):
            assert len(text) <= 300


def list_names(news) -> list[str]:
    return [record.server for record in news.records]


async def read_list(items, told) -> list[str]:
    client = foreign.CannedStore(foreign.make_page(items, end=len(items)))
    return [each.server for each in await list_servers(client, told)]


async def read_history(told, *records: bytes):
    """Read records that follow an empty list; return the news and position."""
    client = foreign.CannedStore(
        EMPTY, foreign.make_history(records), foreign.make_history([])
    )
    feed = ServerFeed(client, told)
    await feed.read()
    news = await feed.read()
    await feed.read()
    return news, client.asked[-1]['from']


def make_good(server: str) -> bytes:
    return foreign.make_keyed(server.encode(), GOOD)


def test_a_good_record_is_decoded_with_all_it_says():
    found = decode_server('i-1', GOOD)
    assert found.versions == {'m': 3}
    assert (found.address, found.slots, found.revision) == ('10.0.0.2:80', 6, 1)


@each_broken
def test_a_broken_record_names_no_server(broken):
    with pytest.raises(MalformedRecord) as caught:
        decode_server('i-1', broken)
    assert len(caught.value.message) <= 300


@each_broken
async def test_the_servers_listed_beside_a_broken_record_hold(broken):
    told = Told()
    items = foreign.list_items([('a', GOOD), ('b', broken), ('c', GOOD)])
    assert await read_list(items, told) == ['a', 'c']
    assert told.names == ['b']
    told.check_bounded()


@each_broken
async def test_the_servers_read_beside_a_broken_record_hold(broken):
    told = Told()
    news, position = await read_history(
        told, make_good('a'), foreign.make_keyed(b'b', broken), make_good('c')
    )
    assert list_names(news) == ['a', 'c']
    assert (news.removed, position) == ([], 3)
    assert told.names == ['b']
    told.check_bounded()


@pytest.mark.parametrize('broken', KEYLESS.values(), ids=KEYLESS)
async def test_a_record_without_a_readable_key_is_passed_over(broken):
    told = Told()
    news, position = await read_history(
        told, make_good('a'), broken, make_good('c')
    )
    assert list_names(news) == ['a', 'c']
    assert (news.removed, position) == ([], 3)
    assert len(told.details) == 1


@pytest.mark.parametrize('key', ODD_KEYS.values(), ids=ODD_KEYS)
async def test_a_key_of_another_shape_names_no_server(key):
    told = Told()
    items = foreign.list_items([('a', GOOD), (key, GOOD), ('c', GOOD)])
    assert await read_list(items, told) == ['a', 'c']
    news, _ = await read_history(
        told, make_good('a'), foreign.make_keyed(key.encode(), GOOD)
    )
    assert list_names(news) == ['a']
    assert len(told.details) == 2
    told.check_bounded()


@pytest.mark.parametrize('item', ODD_ITEMS.values(), ids=ODD_ITEMS)
async def test_an_item_of_another_shape_is_passed_over(item):
    told = Told()
    items = foreign.list_items([('a', GOOD), ('c', GOOD)])
    assert await read_list([items[0], item, items[1]], told) == ['a', 'c']
    assert len(told.details) == 1


async def test_pages_go_on_after_an_item_of_another_shape():
    told = Told()
    items = foreign.list_items([('a', GOOD), ('c', GOOD)])
    client = foreign.CannedStore(
        foreign.make_page([items[0], 7], end=9, more=True),
        foreign.make_page([{'key': 7}], end=9, more=True),
        foreign.make_page([items[1]], end=9),
    )
    found = await list_servers(client, told)
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
def test_pages_go_on_after_a_key_that_can_be_sent(keys, after):
    assert find_last_key([{'key': key} for key in keys]) == after


async def test_pages_that_never_end_are_left():
    client = foreign.CannedStore(
        *[foreign.make_page([foreign.make_item('a', GOOD)], more=True)] * 9
    )
    found = await list_servers(client, Told())
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
async def test_an_answer_that_is_no_page_is_asked_for_again(answer):
    feed = ServerFeed(foreign.CannedStore(answer, EMPTY), Told())
    with pytest.raises(StoreUnavailable):
        await feed.read()
    assert (await feed.read()).is_whole


@pytest.mark.parametrize('answer', [b'', b'7', b'{}', b'[]', foreign.DEEP])
async def test_an_append_without_a_proper_answer_is_told(answer):
    with pytest.raises(StoreUnavailable):
        await foreign.CannedStore(answer).append('ours', b'x')


@pytest.mark.parametrize(
    'answer', [b'', b'7', b'[]', b'{"first": "x"}', foreign.DEEP]
)
async def test_a_history_that_is_gone_without_a_proper_answer_is_told(answer):
    client = foreign.CannedStore(answer, status=410)
    with pytest.raises(StoreUnavailable):
        await client.read_plain('ours', 7)


async def test_many_broken_records_are_told_in_few_lines_and_counted():
    told = Told()
    broken = [(f'b{number}', b'{') for number in range(1_000)]
    items = foreign.list_items([('a', GOOD), *broken, ('c', GOOD)])
    assert await read_list(items, told) == ['a', 'c']
    assert len(told.details) <= 4
    assert '997 more' in told.details[-1]
    told.check_bounded()


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
async def test_the_newest_entry_of_a_server_tells_whether_it_is_read(
    records, unread
):
    told = Told()
    keyed = [foreign.make_keyed(b'b', value) for value in records]
    news, _ = await read_history(told, make_good('a'), *keyed)
    assert news.unreadable == unread
    assert len(told.names) == 1


async def test_a_whole_list_tells_which_entries_cannot_be_read():
    items = foreign.list_items([('a', GOOD), ('b', b'{')])
    feed = ServerFeed(
        foreign.CannedStore(foreign.make_page([*items, 7])), Told()
    )
    news = await feed.read()
    assert (list_names(news), 'b' in news.unreadable) == (['a'], True)


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


async def read_operator(told, *records: tuple[str, bytes]):
    client = foreign.CannedStore(foreign.make_page(foreign.list_items(records)))
    return await OperatorFeed(client, told).read()


@pytest.mark.parametrize(
    'broken',
    [*map(foreign.encode, BROKEN_VERSIONS.values()), foreign.DEEP, b'\xff'],
)
async def test_the_weights_named_beside_a_broken_record_hold(broken):
    told = Told()
    good = foreign.encode({'model': 'k', 'version': 2})
    news = await read_operator(told, ('version/m', broken), ('version/k', good))
    assert [each.model for each in news.list_versions()] == ['k']
    assert told.names == ['version/m']
    told.check_bounded()


@pytest.mark.parametrize(
    'broken',
    [
        *map(foreign.encode, BROKEN_CONFIGURATIONS.values()),
        foreign.DEEP,
        b'\xff',
    ],
)
async def test_a_broken_configuration_leaves_the_good_one(broken):
    told = Told()
    good = foreign.encode(CONFIGURATION)
    news = await read_operator(told, ('config', good), ('config', broken))
    assert [each.version for each in news.list_configurations()] == [7]
    assert told.names == ['config']
    told.check_bounded()


async def test_what_operators_write_under_other_keys_is_told():
    told = Told()
    good = foreign.encode(CONFIGURATION)
    news = await read_operator(told, ('odd', b'{}'), ('config', good))
    assert [each.version for each in news.list_configurations()] == [7]
    assert told.names == ['odd']


async def test_an_entry_reads_on_past_records_of_other_writers(tmp_path):
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


async def test_a_server_whose_entry_becomes_broken_ends_what_it_runs(tmp_path):
    release = anyio.Event()

    async def run(peer):
        await release.wait()
        await answer_well(peer)

    patient = {**ROUTE, 'timeoutMs': 9_000}
    async with staging(
        tmp_path,
        run,
        answer_well,
        configuration={**CONFIGURATION, 'routes': [patient]},
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
# What reading may take longer where one record in ten is broken.
MOST_RATIO = 1.2
# A record as long as hundreds takes as long to fetch, good or not.
USUAL = [value for value in foreign.BROKEN.values() if len(value) < 5_000]


def make_records(*, every_tenth) -> list[tuple[str, bytes]]:
    """Build a thousand records; each broken one is broken otherwise."""
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
    """Read and log as an entry does; return seconds, servers and lines."""
    told = io.StringIO()
    log = make_event_log('front-1', stream=told)

    def refuse(name, error):
        log.write(EventName.RECORD_REFUSED, name=name, detail=error.message)

    feed = ServerFeed(foreign.CannedStore(*answers), refuse)
    for _ in answers[1:]:
        await feed.read()
    gc.collect()
    began = time.process_time()
    news = await feed.read()
    took = time.process_time() - began
    return took, len(news.records), len(told.getvalue().splitlines())


@pytest.mark.parametrize('is_whole', [True, False])
async def test_one_broken_record_in_ten_costs_little(is_whole):
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
    assert statistics.median(ratios) <= MOST_RATIO


async def compare_reading(good, mixed) -> float:
    """Read good records, then mixed ones; return the ratio of their times.

    A core may run at half its speed from one moment to the next, as its
    neighbour gets work, so only two reads in a row are compared.
    """
    good_time, *good_counts = await time_reading(*good)
    mixed_time, *mixed_counts = await time_reading(*mixed)
    assert good_counts == [1_000, 0]
    assert mixed_counts == [900, 4]
    return mixed_time / good_time
