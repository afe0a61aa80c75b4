"""Fuzz every decoder of the platform package with malformed input."""

from __future__ import annotations

import json
import math
import string
from functools import partial

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderdyke.errors import SettingsError
from oleanderdyke.kernel.context_stores import (
    ContextEvent,
    decode_salt,
)
from oleanderdyke.kernel.neighbours import Neighbour
from oleanderdyke.platform import names
from oleanderdyke.platform.contexts import ContextClient, ContextUnavailable
from oleanderdyke.platform.documents import (
    MalformedRecord,
    decode_configuration,
    decode_server,
    decode_version,
)
from oleanderdyke.platform.entries import EntryFeed
from oleanderdyke.platform.feed import OperatorFeed, ServerFeed, list_servers
from oleanderdyke.platform.requests import (
    Dispatch,
    decode_answer,
    decode_request,
    encode_request,
)
from oleanderdyke.platform.settings import parse_host_settings
from oleanderdyke.platform.store import RecordsExpired, StoreUnavailable
from tests import foreign
from tests.hosted import CONFIGURATION

GOOD = foreign.encode(foreign.GOOD)
EMPTY = foreign.make_page([])
SETTINGS = {
    'nodeName': 'front-1',
    'zone': 'hall',
    'ip': '10.0.0.1',
    'platform.address': '10.0.0.9:80',
    'bounds.graceS': '8',
    'bounds.retrySlack': '52',
}
EVENT = [7, '+', '1/m/', 'aa', 800, 'm']
# Keys of other writers; valid ones begin with another letter.
KEYS = st.text(max_size=12).map('x{}'.format) | st.sampled_from(
    ['', ' ', 'x/y']
)

DECODER_ERRORS = (
    MalformedRecord,
    ContextUnavailable,
    StoreUnavailable,
    RecordsExpired,
)

each = settings(max_examples=150, derandomize=True, deadline=None)


class Refusals:
    """Count reported records and check that each report is bounded."""

    def __init__(self) -> None:
        self.count = 0

    def __call__(self, name: str, error: MalformedRecord) -> None:
        self.count += 1
        assert len(name) <= 64
        assert len(error.message) <= 200


def read(call):
    """Return what a decoder returns, None if it raises one of its errors."""
    try:
        return call()
    except (*DECODER_ERRORS, SettingsError) as error:
        check_error(error)
        return None


def check_error(error) -> None:
    assert str(error)
    assert isinstance(error, SettingsError) or len(error.message) <= 300


def mix(broken):
    """Draw valid and malformed records in any order; a valid one is None."""
    return st.lists(st.none() | broken, max_size=12)


def name_valid(drawn, make_broken):
    """Return the keys of valid records, and all records in the order drawn."""
    good = [f'g{at}' for at, each in enumerate(drawn) if each is None]
    records = [
        (f'g{at}', None) if each is None else make_broken(each)
        for at, each in enumerate(drawn)
    ]
    return good, records


@each
@given(mix(st.tuples(KEYS, foreign.list_slightly_broken())))
def test_valid_servers_of_a_list_are_kept_in_order(drawn):
    good, records = name_valid(drawn, tuple)
    items = foreign.list_items((key, value or GOOD) for key, value in records)
    client = foreign.CannedStore(foreign.make_page(items))
    found = anyio.run(list_servers, client, Refusals())
    assert [f.server for f in found if f.server[0] == 'g'] == good


@each
@given(
    mix(
        st.fixed_dictionaries(
            {},
            optional={
                'key': st.just('x') | foreign.FINITE,
                'value': st.just('e30=') | foreign.FINITE,
                'offset': st.just(3) | foreign.FINITE,
            },
        )
        | foreign.FINITE
    )
)
def test_valid_servers_are_kept_beside_malformed_items(drawn):
    good, records = name_valid(drawn, lambda item: ('', item))
    items = [
        item if key == '' else foreign.make_item(key, GOOD, offset)
        for offset, (key, item) in enumerate(records)
    ]
    client = foreign.CannedStore(foreign.make_page(items))
    found = anyio.run(list_servers, client, Refusals())
    assert [f.server for f in found if f.server[0] == 'g'] == good


@each
@given(
    mix(
        st.binary(max_size=40)
        | st.tuples(KEYS, foreign.list_slightly_broken()).map(
            lambda pair: foreign.make_keyed(pair[0].encode(), pair[1])
        )
    )
)
def test_valid_servers_of_a_history_are_kept_in_order(drawn):
    good, records = name_valid(drawn, lambda record: ('', record))
    history = [
        record if key == '' else foreign.make_keyed(key.encode(), GOOD)
        for key, record in records
    ]
    client = foreign.CannedStore(
        EMPTY, foreign.make_history(history), foreign.make_history([])
    )
    refusals = Refusals()

    async def read():
        feed = ServerFeed(client, refusals)
        await feed.read()
        update = await feed.read()
        await feed.read()
        return update

    update = anyio.run(read)
    found = [each.server for each in update.records]
    assert [name for name in found if name.startswith('g')] == good
    assert not {name for name in update.removed if name in good}
    assert client.asked[-1]['from'] == len(history)
    assert refusals.count <= 4


@each
@given(foreign.list_slightly_broken(), st.text(max_size=8))
def test_a_server_is_decoded_with_its_types_or_refused(data, key):
    found = read(lambda: decode_server(key, data))
    if found is None:
        return
    texts = (found.server, found.service, found.address, found.data_centre)
    assert all(type(text) is str and text.isprintable() for text in texts)
    host, port = found.address.rsplit(':', 1)
    assert host
    assert 0 < int(port) < 65_536
    numbers = (found.slots, found.revision, *found.versions.values())
    assert all(type(each) is int and 0 <= each < 2**53 for each in numbers)
    assert type(found.is_leaving) is bool


def list_broken_versions():
    changed = st.tuples(
        st.sampled_from(['model', 'version']), foreign.JSON
    ).map(lambda change: {'model': 'x', 'version': 2, change[0]: change[1]})
    return (
        st.binary(max_size=40)
        | foreign.JSON.map(foreign.encode)
        | changed.map(foreign.encode)
        | st.just(foreign.DEEP)
    )


@each
@given(mix(st.tuples(KEYS.map('version/{}'.format), list_broken_versions())))
def test_valid_versions_of_weights_are_kept_in_order(drawn):
    good, records = name_valid(drawn, tuple)
    items = foreign.list_items(
        (key, value)
        if value is not None
        else (f'version/{key}', foreign.encode({'model': key, 'version': 4}))
        for key, value in records
    )
    client = foreign.CannedStore(foreign.make_page(items))
    update = anyio.run(OperatorFeed(client, Refusals()).read)
    found = [named.model for named in update.list_versions()]
    assert [model for model in found if model.startswith('g')] == good


@each
@given(list_broken_versions())
def test_a_version_of_weights_is_decoded_with_its_types_or_refused(data):
    found = read(lambda: decode_version(data))
    if found is None:
        return
    assert type(found.model) is str
    assert found.model
    assert type(found.version) is int
    assert 1 <= found.version < 2**53


def list_broken_configurations():
    fields = st.sampled_from([*CONFIGURATION, 'unknown'])
    route = CONFIGURATION['routes'][0]
    in_route = st.tuples(st.sampled_from([*route]), foreign.JSON).map(
        lambda change: {
            **CONFIGURATION,
            'version': 8,
            'routes': [{**route, change[0]: change[1]}],
        }
    )
    changed = (
        st.tuples(fields, foreign.JSON)
        .map(
            lambda change: {**CONFIGURATION, 'version': 8, change[0]: change[1]}
        )
        .filter(lambda made: made['version'] in range(1_000))
    )
    return (
        st.binary(max_size=40)
        | foreign.JSON.map(foreign.encode)
        | changed.map(foreign.encode)
        | in_route.map(foreign.encode)
        | st.just(foreign.DEEP)
    )


@each
@given(mix(list_broken_configurations()))
def test_valid_configurations_are_kept_in_order(drawn):
    good, records = name_valid(drawn, lambda data: ('', data))
    numbered = {
        key: foreign.encode({**CONFIGURATION, 'version': 1_000 + at})
        for at, key in enumerate(good)
    }
    items = foreign.list_items(
        ('config', numbered.get(key, data)) for key, data in records
    )
    client = foreign.CannedStore(foreign.make_page(items))
    update = anyio.run(OperatorFeed(client, Refusals()).read)
    found = [made.version for made in update.list_configurations()]
    kept = [version for version in found if version >= 1_000]
    assert kept == list(range(1_000, 1_000 + len(good)))


@each
@given(list_broken_configurations())
def test_a_configuration_is_decoded_with_finite_numbers_or_refused(data):
    found = read(lambda: decode_configuration(data))
    if found is None:
        return
    assert type(found.version) is int
    assert found.version >= 0
    for route in found.routes:
        assert math.isfinite(route.timeout + route.target + route.gap)


@each
@given(mix(st.binary(max_size=30)))
def test_valid_announcements_of_entries_are_kept_in_order(drawn):
    good, records = name_valid(drawn, lambda record: ('', record))
    history = [record if key == '' else key.encode() for key, record in records]
    client = foreign.CannedStore(foreign.make_history(history))
    feed = EntryFeed(client, Refusals())
    found = anyio.run(feed.read)
    names = [entry.name for entry in found]
    assert [name for name in names if name in good] == good
    assert all(name.isprintable() and name for name in names)


@pytest.mark.parametrize(
    ('record', 'entry'),
    [
        (b'front-1', Neighbour('front-1', '', '')),
        (
            b'front-1 10.0.0.1:7580 hall',
            Neighbour('front-1', '10.0.0.1:7580', 'hall'),
        ),
        (b'front-1 hall', Neighbour('front-1', '', 'hall')),
        (b'front-1 10.0.0.1 hall', None),
        (b'front-1 10.0.0.1:x hall', None),
        (b'front-1 10.0.0.1:7580', None),
        (b'front-1 10.0.0.1:7580 hall more', None),
        (b'front-1 10.0.0.1:7580 ', None),
        (b' 10.0.0.1:7580 hall', None),
        (b'', None),
    ],
)
def test_an_announcement_holds_the_address_for_links(record, entry):
    refusals = Refusals()
    client = foreign.CannedStore(foreign.make_history([record]))
    found = anyio.run(EntryFeed(client, refusals).read)
    assert found == (() if entry is None else (entry,))
    assert refusals.count == (entry is None)


class CannedContexts(ContextClient):
    """Client whose calls are answered with fixed bytes."""

    def __init__(self, answer: bytes, refusals: Refusals) -> None:
        super().__init__('127.0.0.1:9', refusals)
        self._answer = answer

    async def _call(self, *_args):
        return 200, self._answer


def list_broken_events():
    changed = st.tuples(st.integers(0, 5), foreign.FINITE).map(
        lambda change: [
            change[1] if at == change[0] else known
            for at, known in enumerate(EVENT)
        ]
    )
    cut = st.integers(0, 4).map(lambda at: EVENT[:at])
    return foreign.FINITE | changed | cut


def make_events(events, **changes) -> bytes:
    answer = {'bootEpoch': 5, 'next': 9, 'lost': False, 'events': events}
    return foreign.encode({**answer, **changes})


@each
@given(mix(list_broken_events()))
def test_valid_events_of_a_context_store_are_kept_in_order(drawn):
    good, records = name_valid(drawn, lambda event: ('', event))
    events = [
        event if key == '' else [at, '+', '1/m/', key, 800, 'm']
        for at, (key, event) in enumerate(records)
    ]
    refusals = Refusals()
    client = CannedContexts(make_events(events), refusals)
    found = anyio.run(client.read_events, 0)
    kept = [event for event in found.events if event.part in good]
    assert kept == [
        ContextEvent(True, '1/m/', key, 800, number=at)  # noqa: FBT003
        for at, (key, _) in enumerate(records)
        if key in good
    ]
    assert refusals.count <= 4
    for event in found.events:
        assert type(event.tokens) is int
        assert 0 <= event.tokens < 2**53
        decode_salt(event.salt)


@pytest.mark.parametrize('sign', ['*', '', None, 7, '++'])
def test_an_event_with_an_unknown_sign_is_skipped(sign):
    refusals = Refusals()
    client = CannedContexts(make_events([[7, sign, *EVENT[2:]]]), refusals)
    assert anyio.run(client.read_events, 0).events == ()
    assert refusals.count == 1


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'[]',
        foreign.DEEP,
        make_events(7),
        make_events([], bootEpoch='5'),
        make_events([], bootEpoch=True),
        make_events([], next=-1),
        make_events([], next=10**400),
        make_events([], next=float('inf')),
        make_events([], clock_ms=float('nan')),
        make_events([], clock_ms=10**400),
        make_events([], clock_ms='soon'),
        make_events([], lost='no'),
    ],
)
def test_a_malformed_answer_of_a_context_store_raises_an_error(answer):
    with pytest.raises(ContextUnavailable):
        anyio.run(CannedContexts(answer, Refusals()).read_events, 0)


@each
@given(st.binary(max_size=60) | foreign.JSON.map(foreign.encode))
def test_any_answer_of_a_context_store_is_decoded_or_raises_its_error(answer):
    client = CannedContexts(answer, Refusals())
    read(lambda: anyio.run(client.read_events, 0))


@each
@given(
    st.text(max_size=20)
    | st.sampled_from(['\u00b2/m/', '9' * 6_000 + '/m/', '/m/', '1/m'])
)
def test_any_salt_is_decoded_or_ignored(text):
    found = decode_salt(text)
    assert found is None or found.encode() == text


@each
@given(st.binary(max_size=60) | foreign.JSON.map(foreign.encode))
def test_any_answer_of_the_store_is_decoded_or_raises_its_error(answer):
    for status in (200, 410):
        client = foreign.CannedStore(answer, answer, answer, status=status)
        read(partial(anyio.run, client.append, 'ours', b'x'))
        read(partial(anyio.run, client.read_plain, 'ours', 0))
        read(partial(anyio.run, client.list_newest, 'ours'))


HEADS = st.sampled_from(
    [
        names.REQUEST_ID,
        names.DEADLINE,
        names.MODEL,
        names.TOKENS,
        names.PROMPT_PARTS,
        names.LAST_EVENT,
        names.LOAD,
        names.WEIGHT_VERSION,
        names.RATE_LIMIT,
        'retry-after',
        names.INSTANCE,
        'keep-alive',
        'connection',
    ]
)
LATIN = st.text(st.characters(max_codepoint=255), max_size=30)
NUMBERS = st.sampled_from(
    [
        'nan',
        'inf',
        '-inf',
        '1e400',
        '-5',
        '\u00b2',
        '9' * 6_000,
        'timeout=' + '9' * 6_000,
        'timeout=\u00b2',
        'aa:' + '9' * 6_000,
        ','.join(['9' * 6_000] * 3),
        '9' * 400,
    ]
)


@each
@given(st.lists(st.tuples(HEADS, LATIN | NUMBERS), max_size=8))
def test_any_head_is_read(headers):
    asked = decode_request(tuple(headers))
    assert asked.wait is None or math.isfinite(asked.wait)
    facts = decode_answer(503, tuple(headers))
    assert facts.idle_timeout is None or math.isfinite(facts.idle_timeout)
    assert facts.rate_limit is None or facts.rate_limit >= 0
    assert facts.retry_after is None or facts.retry_after >= 0
    assert all(len(found.text) <= 40 for found in facts.malformed)
    encode_request(tuple(headers), Dispatch('i-1', wait=asked.wait or 1.0))


@each
@given(
    st.lists(
        st.sampled_from(sorted(SETTINGS)).flatmap(
            lambda name: st.tuples(
                st.just(name),
                st.text(string.printable, max_size=8)
                | st.sampled_from(['nan', 'inf', '-1', '1e999']),
            )
        ),
        max_size=4,
    ),
    st.text(max_size=30),
)
def test_any_settings_are_parsed_or_raise_an_error(changes, line):
    fields = {**SETTINGS, **dict(changes)}
    text = ''.join(f'{name}={value}\n' for name, value in fields.items())
    found = read(lambda: parse_host_settings(f'{text}{line}', 'boot.conf'))
    if found is None:
        return
    numbers = (found.grace, found.retry_share, found.retry_slack)
    assert all(math.isfinite(number) for number in numbers)


def test_the_fields_that_are_changed_are_those_of_a_good_record():
    assert json.loads(GOOD).keys() == foreign.GOOD.keys()
    assert set(foreign.GOOD) >= {'service', 'address', 'state', 'models'}
