"""Backend servers announce in their answers that they are leaving."""

from __future__ import annotations

import anyio
import pytest

from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.servers import ServerRecord, ServerStart
from tests.hosted import (
    SERVERS,
    Stage,
    make_record,
    prefer,
    run_while_connecting,
    staging,
)
from tests.standins.scripts import answer_well, naming
from tests.test_hosted_log import list_events

ANSWERED, REFUSED = 200, 503


async def answer_leaving(peer) -> None:
    await peer.answer(server_leaving='1')


def count_received(stage: Stage) -> list[int]:
    return [len(replica.received) for replica in stage.replicas]


async def receive_leaving(stage: Stage) -> None:
    """Let an entry receive the announcement of its first server."""
    prefer(stage, 0)
    assert (await stage.call('/once/first')).status == ANSWERED
    assert count_received(stage) == [1, 0]


async def list_again(stage: Stage, revision: int) -> None:
    """List the first server as ready and wait until that is read."""
    backend = stage.core.backends.find('i-0')
    record = make_record(backend.record.address, seq=revision)
    stage.store.put(SERVERS, 'i-0', record)
    with anyio.fail_after(5):
        while stage.core.backends.find('i-0').record.revision != revision:
            await anyio.sleep(0.01)


@pytest.mark.anyio
# A server that had announced leaving in its answers got requests for six more
# seconds while the store with the list of servers was unavailable.
async def test_a_server_that_announces_leaving_gets_no_more_requests(tmp_path):
    async with staging(tmp_path, answer_leaving, answer_well) as stage:
        await receive_leaving(stage)
        for _ in range(4):
            assert (await stage.call('/once/x')).status == ANSWERED
        assert count_received(stage) == [1, 4]
        await list_again(stage, revision=2)
        for _ in range(4):
            assert (await stage.call('/once/x')).status == ANSWERED
        assert count_received(stage) == [1, 8]


def make_leaving_record(born=None, **changes) -> ServerRecord:
    return ServerRecord('a', 'desk', 'a:1', 'hall', born=born, **changes)


def make_registry(born=None) -> BackendRegistry:
    registry = BackendRegistry()
    registry.replace([make_leaving_record(born)], 0.0)
    registry.complete_read(0.0)
    return registry


def is_used(registry: BackendRegistry, now: float) -> bool:
    return bool(registry.list_service('desk', now))


def test_a_lagging_list_does_not_restore_a_leaving_server():
    registry = make_registry()
    assert registry.mark_leaving(ServerStart('a'))
    assert not registry.mark_leaving(ServerStart('a'))
    for revision in range(2, 5):
        registry.put(make_leaving_record(revision=revision), revision * 600.0)
        assert not is_used(registry, revision * 600.0)


def test_a_server_that_left_and_is_listed_late_gets_no_requests():
    """A restored store may list a server as ready whose entry has lapsed."""
    registry = make_registry()
    registry.mark_leaving(ServerStart('a'))
    registry.remove('a', 1_000.0)
    for now in (1_200.0, 1_800.0, 9_000.0):
        registry.complete_read(now)
    assert registry.find('a') is None
    for revision in range(5, 8):
        registry.put(make_leaving_record(revision=revision), 9_000.0 + revision)
    assert registry.find('a') is not None
    assert not is_used(registry, 9_100.0)


def test_a_new_start_of_a_server_that_left_is_used():
    registry = make_registry(born=1)
    registry.mark_leaving(ServerStart('a', 1))
    registry.put(make_leaving_record(born=2), 600.0)
    assert is_used(registry, 600.0)


def test_tracked_left_starts_are_bounded():
    registry = BackendRegistry()
    for born in range(3_000):
        registry.put(make_leaving_record(born=born), 0.0)
        registry.mark_leaving(ServerStart('a', born))
    assert len(registry._left_starts) < 2_000
    registry.put(make_leaving_record(born=2_999, revision=2), 600.0)
    assert not is_used(registry, 600.0)


@pytest.mark.anyio
async def test_a_server_that_leaves_is_logged_once(tmp_path):
    async with staging(tmp_path, answer_leaving, answer_well) as stage:
        await receive_leaving(stage)
        (line,) = list_events(stage.log, 'backend_leaving')
    assert (line['peer'], line['request']) == ('i-0', 'req-1')


@pytest.mark.parametrize('kind', naming())
@pytest.mark.parametrize('path', ['/once/x', '/safe/x', '/stream/x'])
@pytest.mark.anyio
async def test_any_answer_may_announce_leaving(tmp_path, kind, path):
    script = naming(server_leaving='1')[kind]
    async with staging(tmp_path, script) as stage:
        await stage.call(path)
        assert stage.core.backends.find('i-0').record.is_leaving


@pytest.mark.parametrize(
    'header', ['oleanderdyke_request_id', 'oleanderdyke_instance_id']
)
@pytest.mark.anyio
async def test_answers_of_other_servers_announce_no_leaving(tmp_path, header):
    async def answer_for_another(peer):
        await peer.answer(server_leaving='1', **{header: 'another'})

    async with staging(tmp_path, answer_for_another) as stage:
        await stage.call('/once/x')
        assert not stage.core.backends.find('i-0').record.is_leaving


@pytest.mark.anyio
async def test_a_server_may_announce_leaving_while_a_connection_is_opened(
    tmp_path,
):
    async with staging(tmp_path, answer_well) as stage:
        core = stage.core
        run_while_connecting(
            stage, lambda: core.mark_leaving(ServerStart('i-0'), 'another')
        )
        assert (await stage.call('/once/x')).status == REFUSED
        assert not stage.replicas[0].received
