"""Check the message counts and sizes that the capacity page states."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from unittest.mock import Mock

import pytest

from bench.memory import make_team
from bench.slopes import make_beat
from oleanderdyke.agent.beats import shorten
from oleanderdyke.clients.log import LogPage
from oleanderdyke.clients.vms import Vm, VmClient
from oleanderdyke.clock import make_clock
from oleanderdyke.entry.core import make_core
from oleanderdyke.entry.settings import (
    EntrySettings,
    LogSettings,
    VmSettings,
)
from oleanderdyke.entry.vmwatch import VmWatch
from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.kernel.configuration import ConfigurationReader
from oleanderdyke.kernel.membership import FleetState
from oleanderdyke.kernel.objects import Change, ObjectKind
from oleanderdyke.kernel.records import decode_record, encode_change
from oleanderdyke.kernel.snapshots import SnapshotLoader
from oleanderdyke.links.codec import decode, encode
from oleanderdyke.links.messages import (
    PROTOCOL_VERSION,
    BackendKind,
    ConfigurationDifference,
    ConfigurationRequest,
    Hello,
    Role,
)

TEAMS = 1_000


class EndOfTest(Exception):
    """End a loop."""


def make_change(number):
    name = f'team-{number:05}'
    spec = make_team(number)
    record = f'{number:032x}'
    return Change(record, 'ana', ObjectKind.TEAM, name, 0, spec, 1.0)


@pytest.fixture
def catalog():
    filled = Catalog()
    for number in range(TEAMS):
        filled.apply(number, make_change(number))
    return filled


def test_change_costs_each_peer_a_bounded_message(catalog):
    record = (TEAMS, encode_change(make_change(TEAMS)))
    message = ConfigurationDifference(TEAMS - 1, TEAMS, (record,))
    assert len(encode(message)) <= 420


def test_peers_get_only_the_offsets_of_a_snapshot_in_the_log(catalog):
    chunks = catalog.snapshot()
    for place, chunk in enumerate(chunks):
        catalog.apply_record(TEAMS + place, chunk)
    kept = catalog.difference(TEAMS - 1)
    assert kept is not None
    assert [offset for offset, _ in kept] == [
        TEAMS + place for place in range(len(chunks))
    ]
    assert max(len(data) for _, data in kept) <= 80
    assert sum(map(len, chunks)) > 100 * TEAMS


def test_peer_that_gets_only_chunk_offsets_reaches_the_same_state(catalog):
    peer = Catalog()
    for offset, data in catalog.difference(-1):
        peer.apply_record(offset, data)
    for place, chunk in enumerate(catalog.snapshot()):
        catalog.apply_record(TEAMS + place, chunk)
    for offset, data in catalog.difference(TEAMS - 1):
        peer.apply_record(offset, data)
    assert (peer.offset, peer.skipped) == (catalog.offset, 0)
    assert peer.digest() == catalog.digest()


def load(chunks):
    loader = SnapshotLoader(TEAMS - 1)
    taken = [loader.add(decode_record(chunk)) for chunk in chunks]
    return taken, loader.loaded


@pytest.mark.parametrize('gone', [0, 1, -1])
def test_loader_gives_nothing_for_a_snapshot_with_a_gap(catalog, gone):
    chunks = list(catalog.snapshot())
    assert len(chunks) > 2
    assert load(chunks)[1] is not None
    del chunks[gone]
    assert load(chunks)[1] is None


def test_loader_ignores_what_it_already_has(catalog):
    chunks = catalog.snapshot()
    taken, loaded = load((*chunks[:2], chunks[0], *chunks[2:]))
    assert taken == [True, True, False] + [True] * (len(chunks) - 2)
    other = Catalog()
    assert other.replace_state(loaded)
    assert other.digest() == catalog.digest()


def make_source(catalog):
    """Build a peer that keeps no records, so that it answers by a snapshot."""
    kept = Catalog()
    assert kept.restore(catalog.snapshot())
    source = ConfigurationReader(Random(1), catalog=kept)
    source.on_page(LogPage((), 0, TEAMS), 0.0)
    return source


def ask_for_all(reader, peer, now):
    request = reader.on_peer_offset(peer, TEAMS - 1, now)
    assert request is not None
    return request


def test_second_peer_does_not_discard_received_chunks(catalog):
    source = make_source(catalog)
    reader = ConfigurationReader(Random(2))
    first = iter(tuple(source.answer(ask_for_all(reader, 'slow', 0.0))))
    reader.on_difference('slow', next(first), 100.0)
    reader.on_difference('slow', next(first), 200.0)
    second = source.answer(ask_for_all(reader, 'other', 5_000.0))
    reader.on_difference('other', next(second), 5_100.0)
    for message in first:
        reader.on_difference('slow', message, 5_200.0)
    assert reader.offset == TEAMS - 1
    assert reader.readiness(5_200.0).ready


def test_peers_served_at_once_share_one_encoding(catalog, monkeypatch):
    source = make_source(catalog)
    counted = Mock(side_effect=source.catalog.iterate_snapshot)
    monkeypatch.setattr(source.catalog, 'iterate_snapshot', counted)
    answers = [source.answer(ConfigurationRequest(-1)) for _ in range(3)]
    firsts = [next(answer) for answer in answers]
    assert counted.call_count == 1
    alone = [*firsts[:1], *answers[0]]
    assert [*firsts[1:2], *answers[1]] == alone
    assert tuple(each.records[0][1] for each in alone) == catalog.snapshot()
    del answers
    next(source.answer(ConfigurationRequest(-1)))
    assert counted.call_count == 2


def test_no_peer_is_asked_while_a_snapshot_arrives(catalog):
    source = make_source(catalog)
    reader = ConfigurationReader(Random(2))
    messages = source.answer(ask_for_all(reader, 'asked first', 0.0))
    ask_for_all(reader, 'asked next', 2_000.0)
    for now in (3_000.0, 4_900.0, 6_800.0):
        reader.on_difference('asked first', next(messages), now)
        assert reader.on_peer_offset('asked next', TEAMS, now + 1_900) is None


def test_rest_of_a_snapshot_may_come_from_another_peer(catalog):
    source = make_source(catalog)
    reader = ConfigurationReader(Random(2))
    gone = source.answer(ask_for_all(reader, 'gone', 0.0))
    reader.on_difference('gone', next(gone), 0.0)
    reader.on_peer_disconnected('gone')
    for message in source.answer(ask_for_all(reader, 'other', 1.0)):
        reader.on_difference('other', message, 1.0)
    assert reader.offset == TEAMS - 1


def test_stalled_snapshot_gives_way_to_a_newer_one(catalog):
    reader = ConfigurationReader(Random(2))
    old = make_source(catalog).answer(ask_for_all(reader, 'gone', 0.0))
    reader.on_difference('gone', next(old), 0.0)
    catalog.apply(TEAMS, make_change(TEAMS))
    chunks = tuple(catalog.iterate_snapshot())
    for now, reached in ((1_000.0, -1), (9_000.0, TEAMS)):
        for place, chunk in enumerate(chunks):
            message = ConfigurationDifference(
                -1,
                TEAMS,
                ((TEAMS, chunk),),
                snapshot=True,
                chunk=place,
                last=place == len(chunks) - 1,
            )
            reader.on_difference('other', message, now)
        assert reader.offset == reached


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('region', 'linked'),
    [
        ((), ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3']),
        (('quito', 'ibarra'), ['127.0.0.1:1', '127.0.0.1:3']),
        (('cardigan',), []),
    ],
)
async def test_entry_links_to_the_agents_of_its_region(region, linked):
    places = ('quito', 'lampeter', 'ibarra')
    vms = [
        Vm(f'vm-{number}', f'127.0.0.1:{number}', place, leaving=False)
        for number, place in enumerate(places, 1)
    ]
    settings = EntrySettings(
        'entry',
        'quito',
        LogSettings('127.0.0.1:4'),
        VmSettings('127.0.0.1:5', data_centres=region),
    )
    client, pool = Mock(spec=VmClient), Mock()
    client.list.side_effect = [vms, EndOfTest]
    pool.find.return_value = None
    with pytest.raises(EndOfTest):
        await VmWatch(make_core(settings, make_clock()), client, pool).run()
    called = [list(call.args[0]) for call in pool.set_addresses.mock_calls]
    assert called == ([sorted(linked)] if linked else [])


def change_load(beat):
    return replace(beat.load, running=beat.load.running + 1)


@pytest.mark.parametrize(
    ('make_following', 'limit'),
    [
        (lambda beat: {}, 120),
        (lambda beat: {'load': change_load(beat)}, 260),
        (lambda beat: {'weight_version': 'v4'}, 270),
    ],
    ids=['nothing new', 'new load', 'new weights'],
)
def test_heartbeat_carries_only_what_changed(make_following, limit):
    before = replace(make_beat(), sequence=1)
    beat = replace(before, sequence=2, **make_following(before))
    data = encode(shorten(beat, before))
    assert len(data) <= limit < len(encode(before))
    fleet = make_fleet(before)
    assert fleet.on_heartbeat('agent', before, 1.0)
    assert fleet.on_heartbeat('agent', decode(data), 2.0)
    known = fleet.find('agent')
    assert known.load == beat.load
    assert known.weight_version == beat.weight_version
    assert known.weight_digest == beat.weight_digest
    assert known.model == beat.model


def test_short_heartbeat_counts_only_after_a_whole_one():
    before = replace(make_beat(), sequence=1)
    beat = replace(before, sequence=2)
    fleet = make_fleet(before)
    assert not fleet.on_heartbeat('agent', shorten(beat, before), 1.0)
    assert fleet.on_heartbeat('agent', before, 1.0)
    assert fleet.find('agent').weight_digest == before.weight_digest


def make_fleet(beat):
    fleet = FleetState(Catalog())
    hello = Hello(
        PROTOCOL_VERSION,
        Role.AGENT,
        'agent',
        beat.incarnation,
        'dc',
        0,
        BackendKind.ENGINE,
        'service',
    )
    assert fleet.on_hello(hello, '127.0.0.1:1', 0.0)
    return fleet
