"""Hold the counts and bytes on which the capacity page rests."""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import Mock

import pytest

from bench.memory import make_team
from bench.slopes import make_beat
from oleanderdyke.agent.beats import shorten
from oleanderdyke.clock import make_clock
from oleanderdyke.entry.core import make_core
from oleanderdyke.entry.settings import (
    EntrySettings,
    LogSettings,
    VmSettings,
)
from oleanderdyke.entry.vmwatch import VmWatch
from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.kernel.membership import FleetState
from oleanderdyke.kernel.objects import Change, ObjectKind
from oleanderdyke.kernel.records import decode_record, encode_change
from oleanderdyke.kernel.snapshots import SnapshotLoader
from oleanderdyke.links.codec import decode, encode
from oleanderdyke.links.messages import (
    PROTOCOL_VERSION,
    BackendKind,
    ConfigurationDifference,
    Hello,
    Role,
)
from oleanderdyke.platform.vms import Vm, VmClient

TEAMS = 400


class EndOfTest(Exception):
    """End a loop."""


@pytest.fixture
def anyio_backend():
    return 'asyncio'


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


def test_snapshot_in_the_log_costs_peers_only_its_places(catalog):
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


def test_peer_that_follows_named_chunks_reaches_the_same_state(catalog):
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
    assert other.take_over(loaded)
    assert other.digest() == catalog.digest()


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
