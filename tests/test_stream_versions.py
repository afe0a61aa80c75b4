"""A stream goes on only at the software version that began it.

Events of two versions do not fit together, and servers do not check it.
"""

from __future__ import annotations

from functools import partial
from random import Random

import anyio
import pytest

from oleanderdyke.entry.hosted import watch
from oleanderdyke.entry.hosted.handover import StreamHandover
from oleanderdyke.entry.hosted.peer_sharing import PeerSharing
from oleanderdyke.kernel.software_history import SoftwareHistory
from oleanderdyke.kernel.stream_origins import (
    StreamOrigin,
    StreamStart,
    hash_stream,
)
from tests.hosted import (
    OPERATOR,
    SERVERS,
    make_record,
    prefer,
    run_while_connecting,
    staging,
    staging_linked,
)
from tests.standins.replica import serving_replica
from tests.stream_clients import (
    LAST,
    NOT_RUN,
    OTHER_KEY,
    RestartingServer,
    StreamClient,
    ask_all,
    break_off,
    configure,
    count_sent,
    find_begun,
    find_last_event,
    link_early,
    list_stops,
    send_versioned,
    settle,
    tell,
    tell_and_break,
    wait_listed,
    wait_until_gone,
)

pytestmark = pytest.mark.anyio

OLD, NEW = 'v1.1', 'v1.2'
_STREAMS = 12
_SLOTS = 64
# A stream is known elsewhere within 40 ms of its first event.
_KNOWN_ELSEWHERE = 0.25
_AT_ONCE = 1.0


@pytest.fixture(autouse=True)
def _link_early(monkeypatch):
    link_early(monkeypatch)


def stage_one(tmp_path, *scripts, versions, attempts=1):
    return staging(
        tmp_path,
        *scripts,
        configuration=configure(attempts=attempts),
        versions=versions,
        slots=_SLOTS,
    )


def stage_linked(tmp_path, *versions, entries=2):
    return staging_linked(
        tmp_path,
        *map(tell, versions),
        entries=entries,
        configuration=configure(attempts=1),
        versions=versions,
        slots=_SLOTS,
    )


def make_clients(path, *, count=_STREAMS, name='stream', **options):
    return [
        StreamClient(f'{name}-{number}', path, **options)
        for number in range(count)
    ]


def list_mixed(clients):
    return [each.events for each in clients if len(each.versions) > 1]


def list_incomplete(clients):
    return [
        (each.statuses, each.events) for each in clients if not each.is_complete
    ]


def assert_refused(clients, stage, attempt):
    """Check that an attempt of each client is refused as not run."""
    statuses = {each.statuses[attempt] for each in clients}
    sent = sum(count_sent(stage, each, attempt) for each in clients)
    assert (statuses <= NOT_RUN, sent) == (True, 0), statuses


async def ask_broken(clients, stage, broken, *, is_listed=True):
    """Begin all streams at the first server, then let it break off."""
    prefer(stage, 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask_all, clients, stage)
        with anyio.fail_after(5):
            while any(len(each.events) < 3 for each in clients):
                await anyio.sleep(0.01)
        if not is_listed:
            stage.store.drop(SERVERS, 'i-0')
            await wait_until_gone(stage, {'i-0'})
        broken.set()


# Guards against continuing a response at a server of another version.
async def test_response_goes_on_at_another_server_of_its_version(tmp_path):
    broken = anyio.Event()
    scripts = (tell_and_break(OLD, 3, broken), tell(NEW), tell(OLD))
    async with stage_one(
        tmp_path, *scripts, versions=(OLD, NEW, OLD), attempts=2
    ) as stage:
        await settle([stage], (OLD, NEW))
        clients = make_clients('/stream/')
        await ask_broken(clients, stage, broken)
    assert find_begun(stage, clients, 0)
    assert list_mixed(clients) == []
    assert list_incomplete(clients) == []


# Guards against completing a response with events of another version.
@pytest.mark.parametrize('is_listed', [True, False])
async def test_response_ends_truncated_without_its_version(tmp_path, is_listed):
    broken = anyio.Event()
    scripts = (tell_and_break(OLD, 3, broken), tell(NEW))
    async with stage_one(
        tmp_path, *scripts, versions=(OLD, NEW), attempts=2
    ) as stage:
        await settle([stage], (OLD, NEW))
        clients = make_clients('/stream/')
        await ask_broken(clients, stage, broken, is_listed=is_listed)
    cut = find_begun(stage, clients, 0)
    assert cut
    first_events = [(number, OLD) for number in (1, 2, 3)]
    assert [each.events for each in cut] == [first_events] * len(cut)
    assert not any(each.is_whole or each.is_abandoned for each in cut)


# Guards against resuming at any version at the entry that began the stream.
async def test_stream_resumed_at_its_entry_keeps_its_version(tmp_path):
    async with stage_one(
        tmp_path, tell(OLD), tell(NEW), versions=(OLD, NEW)
    ) as stage:
        await settle([stage], (OLD, NEW))
        clients = make_clients('/stream/3/')
        await ask_all(clients, stage, until=3)
        await ask_all(clients, stage)
    assert list_mixed(clients) == []
    assert list_incomplete(clients) == []


# Guards against an entry that resumes a stream of another one at any version.
async def test_stream_resumed_at_another_entry_keeps_its_version(tmp_path):
    async with stage_linked(tmp_path, OLD, NEW) as linked:
        stages = linked.stages
        await settle(stages, (OLD, NEW))
        clients = make_clients('/stream/3/')
        await ask_all(clients, stages[0], until=3)
        await anyio.sleep(_KNOWN_ELSEWHERE)
        await ask_all(clients, stages[1])
    assert list_mixed(clients) == []
    assert list_incomplete(clients) == []


# Guards against losing a stream's version with the entry that began it.
async def test_stream_of_a_killed_entry_keeps_its_version(tmp_path):
    async with stage_linked(tmp_path, OLD, NEW) as linked:
        stages = linked.stages
        await settle(stages, (OLD, NEW))
        clients = make_clients('/stream/3/')
        await ask_all(clients, stages[0], until=3)
        await anyio.sleep(_KNOWN_ELSEWHERE)
        stages[0].kill()
        await ask_all(clients, stages[1])
    assert list_mixed(clients) == []
    assert list_incomplete(clients) == []


# Guards against ORDER: streams that were taken up after all entries had been
# killed, and their servers had left, were joined to those of a newer version.
@pytest.mark.parametrize('gone', ['before', 'after'])
@pytest.mark.parametrize('pause', [0.0, 1.0, 3.0])
async def test_stream_taken_up_after_all_entries_were_killed_never_mixes(
    tmp_path, gone, pause
):
    async with stage_linked(tmp_path, OLD, NEW) as linked:
        stages = linked.stages
        await settle(stages, (OLD, NEW))
        clients = make_clients('/stream/3/')
        for number in range(2):
            await ask_all(clients[number::2], stages[number], until=3)
        begun_old = [each for each in clients if each.versions == {OLD}]
        if gone == 'before':
            linked.store.drop(SERVERS, 'i-0')
        for stage in stages:
            stage.kill()
        later = [await linked.start() for _ in range(2)]
        if gone == 'after':
            linked.store.drop(SERVERS, 'i-0')
        await anyio.sleep(pause)
        for number in range(2):
            await ask_all(clients[number::2], later[number])
    assert begun_old
    assert list_mixed(clients) == []


# Guards against a guess about a stream whose entry died with its first event.
async def test_stream_of_an_entry_killed_at_once_never_mixes(tmp_path):
    async with stage_linked(tmp_path, OLD, NEW) as linked:
        stages = linked.stages
        await settle(stages, (OLD, NEW))
        clients = make_clients('/stream/1/')
        await ask_all(clients, stages[0], until=1)
        stages[0].kill()
        await ask_all(clients, stages[1])
    assert list_mixed(clients) == []
    lost = [each for each in clients if each.statuses[1] != 200]
    if lost:
        assert_refused(lost, stages[1], 1)


# Guards against an entry that nobody hears, which began streams at a version
# that all others took for gone.
async def test_entry_that_is_cut_off_begins_no_streams(tmp_path, monkeypatch):
    async with stage_linked(tmp_path, OLD, NEW) as linked:
        stage = linked.stages[0]
        await settle(linked.stages, (OLD, NEW))
        monkeypatch.setattr(PeerSharing, 'has_links', False)
        begun = make_clients('/stream/3/', count=2, name='begun')
        await ask_all(begun, stage, until=3)
        monkeypatch.setattr(SoftwareHistory, 'may_begin', lambda *_: False)
        refused = make_clients('/stream/3/', count=2, name='refused')
        await ask_all(refused, stage)
        await ask_all(begun, stage)
    assert_refused(refused, stage, 0)
    assert list_mixed(begun) == []
    assert list_incomplete(begun) == []


# Guards against ORDER: an entry that stood still as it opened a connection
# began a stream by a list from before.
async def test_entry_that_stood_still_while_connecting_begins_no_stream(
    tmp_path, monkeypatch
):
    async with stage_one(tmp_path, tell(OLD), versions=(OLD,)) as stage:
        await settle([stage], (OLD,))
        stage.core.entries.list_known = lambda: range(2)

        def stand_still():
            monkeypatch.setattr(SoftwareHistory, 'may_begin', lambda *_: False)

        run_while_connecting(stage, stand_still)
        (client,) = make_clients('/stream/', count=1)
        await client.ask(stage)
    assert_refused([client], stage, 0)


# Guards against refusing all streams after a rolling stop in which every entry
# was replaced before the new ones had links.
async def test_stream_of_entries_that_left_goes_on_at_one_that_starts(tmp_path):
    async with stage_linked(tmp_path, OLD, NEW, entries=1) as linked:
        (first,) = linked.stages
        await settle([first], (OLD, NEW))
        clients = make_clients('/stream/3/')
        await ask_all(clients, first, until=3)
        await StreamHandover(first.core).leave()
        first.kill()
        later = await linked.start()
        await ask_all(clients, later)
    assert list_mixed(clients) == []
    assert list_incomplete(clients) == []


# Guards against forgetting the first attempt once a later one has run.
async def test_stream_resumed_twice_keeps_its_version(tmp_path):
    async with stage_linked(tmp_path, OLD, NEW) as linked:
        stages = linked.stages
        await settle(stages, (OLD, NEW))
        clients = make_clients('/stream/3-5/')
        await ask_all(clients, stages[0], until=3)
        await anyio.sleep(_KNOWN_ELSEWHERE)
        await ask_all(clients, stages[1], until=5)
        await ask_all(clients, stages[0])
    assert list_mixed(clients) == []
    assert list_incomplete(clients) == []
    assert {each.origin for each in clients} == {
        each.attempts[0] for each in clients
    }


# Guards against resuming at another version because the first has gone.
async def test_stream_without_its_version_is_refused_at_once(tmp_path):
    versions = (OLD, OLD, NEW, NEW)
    async with stage_one(
        tmp_path, *map(tell, versions), versions=versions
    ) as stage:
        await settle([stage], (OLD, NEW))
        clients = make_clients('/stream/3/')
        await ask_all(clients, stage, until=3)
        clients = [each for each in clients if each.versions == {OLD}]
        assert clients
        for server in ('i-0', 'i-1'):
            stage.store.drop(SERVERS, server)
        await wait_until_gone(stage, {'i-0', 'i-1'})
        with anyio.fail_after(_AT_ONCE):
            await ask_all(clients, stage)
    assert_refused(clients, stage, 1)


# Guards against refusing a stream whose version came after an old list.
async def test_stream_waits_for_a_list_that_may_hold_its_version(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(watch, '_SERVERS_PERIOD', 60_000.0)
    async with (
        serving_replica(tell(NEW)) as (_, address),
        stage_one(tmp_path, tell(OLD), versions=(OLD,)) as stage,
    ):
        await wait_listed(stage, 'i-0')
        await anyio.sleep(0.5)
        record = make_record(address, version=NEW, slots=_SLOTS)
        stage.store.put(SERVERS, 'i-1', record)
        await anyio.sleep(1.5)
        (client,) = make_clients('/stream/', count=1)
        client.events, client.origin = [(1, NEW)], 'elsewhere'
        stage.core.peers.begin_stream(
            StreamStart(
                hash_stream('red', 'elsewhere'),
                StreamOrigin('desk', NEW),
                stage.core.clock.now() + 9_000.0,
            )
        )
        await client.ask(stage)
    assert list_incomplete([client]) == []


# Guards against a guess where no entry knows which version began a stream.
@pytest.mark.parametrize('origin', ['invented', ''])
async def test_unknown_stream_is_refused_while_two_versions_serve(
    tmp_path, origin
):
    async with stage_linked(tmp_path, OLD, NEW) as linked:
        stages = linked.stages
        await settle(stages, (OLD, NEW))
        clients = make_clients('/stream/')
        for client in clients:
            client.events = [(1, OLD), (2, OLD), (3, OLD)]
            client.origin = origin and f'{origin}-{client.name}'
        with anyio.fail_after(_AT_ONCE):
            await ask_all(clients, stages[0])
    assert_refused(clients, stages[0], 0)


async def resume_unknown(stage, name):
    """Take up a stream that no entry knows; return whether it goes on."""
    client = StreamClient(name, events=[(1, OLD), (2, OLD), (3, OLD)])
    client.origin = f'unknown-{name}'
    return await client.ask(stage) == 200 and client.is_complete


async def wait_resumes(stage, seconds):
    """Wait until streams that no entry knows go on at an entry."""
    number = 0
    with anyio.fail_after(seconds):
        while not await resume_unknown(stage, f'try-{number}'):
            number += 1
            await anyio.sleep(0.05)


# Guards against refusing a stream where nothing is in doubt.
async def test_unknown_stream_goes_on_where_one_version_has_served_long(
    tmp_path,
):
    async with staging(
        tmp_path,
        tell(OLD),
        tell(OLD),
        configuration=configure(attempts=1, timeout=1_000),
        versions=(OLD, OLD),
        slots=_SLOTS,
    ) as stage:
        await wait_resumes(stage, 10)
        for number in range(_STREAMS):
            assert await resume_unknown(stage, f'later-{number}')


# Guards against a rolling restart in which each new entry refuses streams.
async def test_new_entry_learns_that_one_version_has_served_long(tmp_path):
    async with staging_linked(
        tmp_path,
        tell(OLD),
        tell(OLD),
        entries=1,
        configuration=configure(attempts=1, timeout=4_000),
        versions=(OLD, OLD),
        slots=_SLOTS,
    ) as linked:
        await wait_resumes(linked.stages[0], 15)
        late = await linked.start()
        await wait_resumes(late, 2)


# Guards against a new entry that refuses, or guesses, what others began.
async def test_new_entry_learns_the_versions_of_streams(tmp_path):
    async with stage_linked(tmp_path, OLD, NEW, entries=1) as linked:
        await settle(linked.stages, (OLD, NEW))
        clients = make_clients('/stream/3/')
        await ask_all(clients, linked.stages[0], until=3)
        late = await linked.start()
        await settle(linked.stages, (OLD, NEW))
        await ask_all(clients, late)
    assert list_mixed(clients) == []
    assert list_incomplete(clients) == []


# Guards against streams whose version no entry had to note as they began.
async def test_stream_begun_before_another_version_came_never_mixes(tmp_path):
    async with (
        serving_replica(tell(NEW)) as (replica, address),
        stage_linked(tmp_path, OLD) as linked,
    ):
        first, second = linked.stages
        await settle(linked.stages, (OLD,))
        clients = make_clients('/stream/3/')
        await ask_all(clients, first, until=3)
        record = make_record(address, version=NEW, slots=_SLOTS)
        linked.store.put(SERVERS, 'i-1', record)
        await wait_listed(second, 'i-1')
        prefer(second, 1)
        await ask_all(clients, second)
    assert list_mixed(clients) == []
    assert replica.received == []


# Guards against learning a version with the id of another team's attempt.
async def test_stream_of_another_team_is_unknown(tmp_path):
    async with stage_one(
        tmp_path, tell(OLD), tell(NEW), versions=(OLD, NEW)
    ) as stage:
        await settle([stage], (OLD, NEW))
        clients = make_clients('/stream/3/')
        await ask_all(clients, stage, until=3)
        others = make_clients('/stream/3/', name='other', key=OTHER_KEY)
        for client, other in zip(clients, others, strict=True):
            other.events = list(client.events)
            other.origin = client.origin
        await ask_all(others, stage)
        await ask_all(clients, stage)
    assert_refused(others, stage, 0)
    assert list_incomplete(clients) == []
    assert list_mixed(clients) == []


# Guards against changing the version of another team's stream.
async def test_streams_of_two_teams_with_one_id_keep_their_versions(tmp_path):
    async with stage_one(
        tmp_path, tell(OLD), tell(NEW), versions=(OLD, NEW)
    ) as stage:
        await settle([stage], (OLD, NEW))
        clients = make_clients('/stream/3/')
        others = make_clients('/stream/3/', key=OTHER_KEY)
        for each in (clients, others):
            await ask_all(each, stage, until=3)
        for each in (clients, others):
            await ask_all(each, stage)
    assert list_mixed([*clients, *others]) == []
    assert list_incomplete([*clients, *others]) == []


async def move_route(stage, address, version, *, timeout=9_000):
    """Let the route lead to another service, with one server."""
    record = make_record(address, service='till', version=version, slots=_SLOTS)
    stage.store.put(SERVERS, 'i-9', record)
    await wait_listed(stage, 'i-9')
    moved = configure(attempts=1, timeout=timeout)
    (route,) = moved['routes']
    moved = {
        **moved,
        'version': moved['version'] + 1,
        'routes': [{**route, 'service': 'till'}],
        'services': [*moved['services'], {'name': 'till'}],
    }
    stage.store.put(OPERATOR, 'config', moved)
    with anyio.fail_after(5):
        while stage.core.deployment.version < moved['version']:
            await anyio.sleep(0.01)


# Guards against joining a stream to one of a service that has another version.
@pytest.mark.parametrize('version', [OLD, NEW])
async def test_stream_whose_route_moves_goes_on_at_its_version_only(
    tmp_path, version
):
    async with (
        serving_replica(tell(version)) as (replica, address),
        stage_one(tmp_path, tell(OLD), versions=(OLD,)) as stage,
    ):
        await settle([stage], (OLD,))
        clients = make_clients('/stream/3/')
        await ask_all(clients, stage, until=3)
        await move_route(stage, address, version)
        # By now the new service may begin streams.
        await anyio.sleep(2.5)
        await ask_all(clients, stage)
    assert list_mixed(clients) == []
    if version == OLD:
        assert list_incomplete(clients) == []
    else:
        assert_refused(clients, stage, 1)
        assert replica.received == []


# Guards against taking a stream that no entry knows for one of the service to
# which its route leads by now.
async def test_unknown_stream_whose_route_moves_never_mixes(tmp_path):
    async with (
        serving_replica(tell(NEW)) as (replica, address),
        staging(
            tmp_path,
            tell(OLD),
            configuration=configure(attempts=1, timeout=1_000),
            versions=(OLD,),
            slots=_SLOTS,
        ) as stage,
    ):
        await wait_resumes(stage, 10)
        other = make_record(address, service='till', version=NEW, slots=_SLOTS)
        stage.store.put(SERVERS, 'i-9', other)
        await anyio.sleep(8)
        await move_route(stage, address, NEW, timeout=1_000)
        assert not await resume_unknown(stage, 'moved')
        await wait_resumes(stage, 10)
    assert replica.received


def replace_record(stage, **changes):
    """Replace the record of the first server, which keeps its address."""
    (listed,) = (
        backend.record.address
        for backend in stage.core.backends.list_known()
        if backend.record.server == 'i-0'
    )
    record = make_record(listed, version=NEW, slots=_SLOTS, seq=10, **changes)
    stage.store.put(SERVERS, 'i-0', record)


async def wait_replaced(stage):
    """Wait until the entry has read the record, before it gives up."""
    with anyio.fail_after(5):
        stage.core.request_servers()
        while stage.core.backends.find('i-0').record.revision < 10:
            await anyio.sleep(0.005)


def tell_once(version, begin):
    """Return a script that sends three events once told to, and resets."""

    async def run(peer):
        if list_stops(peer):
            await tell(OLD)(peer)
            return
        if not find_last_event(peer):
            await begin.wait()
            await send_versioned(peer, version, 1, 3)
            # A reset may overtake data sent before it.
            await anyio.sleep(0.05)
        break_off(peer)

    return run


async def ask_while_replaced(stage, clients, begin, restart, *, is_sent):
    """Begin streams at the first server, and restart it before they begin."""
    prefer(stage, 0)
    if not is_sent:
        run_while_connecting(stage, restart)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask_all, clients, stage)
        with anyio.fail_after(5):
            while not find_begun(stage, clients, 0):
                await anyio.sleep(0.005)
        # All others have reached a server, too.
        await anyio.sleep(0.05)
        if is_sent:
            restart()
        await wait_replaced(stage)
        begin.set()


# Guards against the version of a record that is replaced after the choice.
@pytest.mark.parametrize(
    ('is_sent', 'writer', 'before', 'after'),
    [
        (False, NEW, {}, {}),
        (True, NEW, {}, {}),
        (True, OLD, {}, {}),
        (True, NEW, {'born': 1}, {'born': 2}),
    ],
)
async def test_stream_of_a_server_that_restarts_never_mixes(
    tmp_path, is_sent, writer, before, after
):
    begin = anyio.Event()
    other = OLD if writer == NEW else NEW
    async with staging(
        tmp_path,
        tell_once(writer, begin),
        tell(other),
        tell(writer),
        configuration=configure(attempts=2),
        versions=(OLD, other, writer),
        slots=_SLOTS,
        **before,
    ) as stage:
        await settle([stage], (OLD, NEW))
        clients = make_clients('/stream/')
        restart = partial(replace_record, stage, **after)
        await ask_while_replaced(
            stage, clients, begin, restart, is_sent=is_sent
        )
        await ask_all([each for each in clients if not each.is_whole], stage)
    assert list_mixed(clients) == []
    assert not any(each.is_abandoned for each in clients)


async def follow_random(client, random, stages):
    """Begin at a random entry, leave, and go on at a random one."""
    await anyio.sleep(random.uniform(0, 1))
    leave = anyio.Event()
    async with anyio.create_task_group() as tasks:
        stage = random.choice(stages)
        tasks.start_soon(partial(client.ask, stage, until=3, leave=leave))
        await client.wait_for(3)
        await anyio.sleep(random.uniform(0.1, 0.4))
        leave.set()
    await client.ask(random.choice(stages))


# Guards against refusing streams where servers of their version are at hand.
async def test_nearly_all_streams_go_on_at_random_entries(tmp_path):
    random = Random(1)
    async with stage_linked(tmp_path, OLD, OLD, NEW, NEW, entries=3) as linked:
        await settle(linked.stages, (OLD, NEW))
        clients = make_clients('/stream/3/', count=30)
        async with anyio.create_task_group() as tasks:
            for client in clients:
                tasks.start_soon(follow_random, client, random, linked.stages)
    assert list_mixed(clients) == []
    assert len(list_incomplete(clients)) <= 3


async def break_streams(stage, server, clients):
    """Begin streams, and restart a server once it has sent to some of them."""
    async with anyio.create_task_group() as tasks:
        for client in clients:
            tasks.start_soon(client.ask, stage)
            await client.wait_for(1)
        server.restart(stage, OLD)
        await wait_listed(stage, server.server)
        tasks.cancel_scope.cancel()


# Guards against a scene whose streams pass for one request, which is kept from
# all servers once some have ended on it.
async def test_stream_begins_though_servers_ended_on_streams_of_others(
    tmp_path,
):
    servers = [RestartingServer(Random(0), OLD, number) for number in range(2)]
    async with staging(
        tmp_path,
        *(server.run for server in servers),
        configuration=configure(attempts=1),
        versions=(OLD, OLD),
        slots=_SLOTS,
    ) as stage:
        find_addresses(stage, servers)
        await settle([stage], (OLD,))
        for number, server in enumerate(servers * 2):
            clients = make_clients('/stream/1/', name=f'broken-{number}')
            await break_streams(stage, server, clients)
        later = make_clients('/stream/1/', name='later')
        await ask_all(later, stage, until=1)
    assert {each.statuses[0] for each in later} == {200}


async def retry_random(client, random, stages):
    """Take a stream up at random entries until it is complete."""
    await anyio.sleep(random.uniform(0, 2))
    for _ in range(6):
        until = random.choice([LAST + 1, LAST + 1, random.randint(1, 5)])
        await client.ask(random.choice(stages), until=until)
        if client.is_whole:
            return
        await anyio.sleep(random.uniform(0.02, 0.2))


async def restart_random(random, linked, servers):
    """Restart random servers, and kill an entry meanwhile."""
    for number in range(8):
        await anyio.sleep(0.25)
        version = random.choice([OLD, NEW])
        random.choice(servers).restart(linked.stages[0], version)
        if number == 4:
            linked.stages.pop().kill()


def find_addresses(stage, servers):
    """Let each server know the address at which it starts anew."""
    for server in servers:
        backend = stage.core.backends.find(server.server)
        server.address = backend.record.address


# Guards against every way to a server of another version that no one foresaw.
@pytest.mark.parametrize('seed', range(3))
async def test_no_stream_mixes_versions_whatever_breaks(tmp_path, seed):
    random = Random(seed)
    servers = [
        RestartingServer(random, version, number)
        for number, version in enumerate((OLD, OLD, NEW, NEW))
    ]
    async with staging_linked(
        tmp_path,
        *(server.run for server in servers),
        entries=3,
        configuration=configure(attempts=2),
        versions=[server.version for server in servers],
        slots=_SLOTS,
    ) as linked:
        find_addresses(linked.stages[0], servers)
        await settle(linked.stages, (OLD, NEW))
        clients = make_clients('/stream/', count=40)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(restart_random, random, linked, servers)
            for client in clients:
                tasks.start_soon(retry_random, client, random, linked.stages)
    assert list_mixed(clients) == []
    # Some streams were taken up.
    assert any(
        each.is_complete and each.statuses.count(200) > 1 for each in clients
    )
