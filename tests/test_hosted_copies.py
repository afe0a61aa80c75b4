"""Check that a lost run goes on from its copy, and only where it may.

Each test names the rule of the platform that it guards, if there is one.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import anyio
import pytest

from oleanderdyke.clients.direct import (
    BackendConnection,
    ConnectionPool,
    make_head,
)
from oleanderdyke.entry.hosted import attempt
from oleanderdyke.entry.hosted.copies import CallCopies
from oleanderdyke.entry.hosted.events import EventSplitter
from oleanderdyke.kernel.deployment import EngineTraits
from oleanderdyke.kernel.retries import RetrySettings
from oleanderdyke.kernel.scheduling.run_copies import RunCopies, RunCopy
from oleanderdyke.kernel.servers import ModelDemand
from tests.hosted import (
    MODEL,
    SERVERS,
    STREAM_ROUTE,
    UNRESUMABLE_ROUTE,
    make_record,
    prefer,
    run_while_connecting,
    staging,
)
from tests.hosted_copies import COPYING, MODEL_HEADERS, MODELS
from tests.hosted_copies import copying as copying_anywhere
from tests.scheduling import NoWorkView
from tests.standins.copies import CopyingEngine
from tests.standins.replica import make_event

pytestmark = pytest.mark.anyio

WHOLE = b''.join(make_event(number) for number in range(1, 7))


@contextlib.asynccontextmanager
async def copying(directory, *scripts, **options):
    """Run an entry that sends to the first engine if it can."""
    async with copying_anywhere(directory, *scripts, **options) as stage:
        prefer(stage, 0)
        yield stage


async def ask(stage, path='/letter/1', **headers):
    return await stage.call(
        path,
        oleanderdyke_deadline_ms='1900',
        **MODEL_HEADERS,
        **headers,
    )


def make_spaced_event(number):
    return make_event(number) + b'\n'


def count_received(stage):
    return [len(replica.received) for replica in stage.replicas]


def change_engine(stage, number, **changes):
    """Change what the entry knows of an engine."""
    backend = stage.core.backends.find(f'i-{number}')
    backend.record = replace(backend.record, **changes)


def read_log(stage, event):
    return [
        line for line in stage.log.read_text().splitlines() if event in line
    ]


@pytest.mark.parametrize('path', ['/letter/1', '/stream/1'])
async def test_lost_run_goes_on_at_its_copy_in_the_same_response(
    tmp_path, path
):
    engine = CopyingEngine(crashes_after=3)
    async with copying(tmp_path, engine, engine) as stage:
        found = await ask(stage, path)
        first, second = (each.received[0] for each in stage.replicas)
        assert read_log(stage, 'copy_asked')
        assert read_log(stage, 'copy_used')
    assert (found.status, found.body, found.is_whole) == (200, WHOLE, True)
    target = first.headers['oleanderdyke-kv-backup']
    assert second.headers['kv-from'] == f'{target}/req-1'
    assert second.headers['last-event-id'] == '3'
    assert second.headers['oleanderdyke-expect-instance'] == 'i-1'
    assert second.headers['oleanderdyke-expect-version'] == '1'
    assert second.body == first.body
    # BUDGET: what is left of the deadline, no more.
    limits = [
        int(each.headers['oleanderdyke-deadline-ms'])
        for each in (first, second)
    ]
    assert limits[1] <= limits[0]
    # The seal and the headers are those of the first.
    assert found.headers['x-start'] == '1'


async def test_partial_event_is_sent_again_as_a_whole(tmp_path):
    """ORDER: an engine may stop in the middle of an event."""
    engine = CopyingEngine(crashes_after=3, sends_half=True)
    async with copying(tmp_path, engine, engine) as stage:
        found = await ask(stage)
    assert (found.body, found.is_whole) == (WHOLE, True)


async def test_blank_bytes_after_the_last_event_are_passed_on(tmp_path):
    """MIXED: the caller gets the whole body of the engine."""
    engine = CopyingEngine(make_event=make_spaced_event)
    async with copying(tmp_path, engine, engine) as stage:
        found = await ask(stage)
    whole = b''.join(make_spaced_event(number) for number in range(1, 7))
    assert (found.body, found.is_whole) == (whole, True)


async def test_stream_without_numbers_does_not_go_on(tmp_path):
    """ORDER: without numbers, events might be missing or come twice."""
    engine = CopyingEngine(crashes_after=3, make_event=lambda _: b'data: a\n\n')
    async with copying(tmp_path, engine, engine) as stage:
        found = await ask(stage)
        assert count_received(stage) == [1, 0]
    assert (found.status, b'data: a' in found.body) == (502, False)


@pytest.mark.parametrize('path', ['/letter/1', '/stream/1'])
async def test_copy_that_leaves_out_the_next_event_is_not_passed_on(
    tmp_path, path
):
    """ORDER: the streams of the service step by one, and a piece is missing."""
    engine = CopyingEngine(
        crashes_after=1, make_event=lambda number: make_event(2 * number - 1)
    )
    async with copying(tmp_path, engine, engine) as stage:
        splitter = EventSplitter(None, steps=stage.core.find_steps('desk'))
        list(splitter.feed(b''.join(map(make_event, range(1, 200)))))
        found = await ask(stage, path)
        assert read_log(stage, 'copy_used')
        assert read_log(stage, 'event 3 comes after event 1, without the next')
    assert (found.body, found.is_whole) == (make_event(1), False)


async def test_run_that_could_not_be_sent_leaves_no_copy(tmp_path, monkeypatch):
    """BUDGET: what was kept for the copy is free, and the next run has one."""
    heads = []

    def fail_once(*parts):
        heads.append(parts)
        if len(heads) == 1:
            raise UnicodeError
        return make_head(*parts)

    monkeypatch.setattr(attempt, 'make_head', fail_once)
    engine = CopyingEngine()
    async with copying(tmp_path, engine, engine) as stage:
        found = await ask(stage)
        asked = read_log(stage, 'copy_asked')
        copies = stage.core.scheduling.find_scheduler(None).copies
    assert (found.status, found.body, found.is_whole) == (200, WHOLE, True)
    assert (len(heads), len(asked)) == (2, 2)
    assert not copies._copies


async def test_run_lost_before_its_first_event_goes_on_at_its_copy(tmp_path):
    engine = CopyingEngine(crashes_after=0)
    async with copying(tmp_path, engine, engine) as stage:
        found = await ask(stage)
        (second,) = stage.replicas[1].received
    assert (found.body, found.is_whole) == (WHOLE, True)
    assert second.headers['last-event-id'] == '0'


async def test_copy_has_the_salt_and_the_team_of_its_run(tmp_path):
    """WALL: the engine of the copy makes no context for others from it."""
    engine = CopyingEngine(crashes_after=3)
    async with copying(tmp_path, engine, engine) as stage:
        await ask(stage)
        first, second = (each.received[0] for each in stage.replicas)
    for name in ('oleanderdyke-cache-salt', 'oleanderdyke-tenant-id'):
        assert first.headers[name] == second.headers[name]
    assert 'red' in first.headers['oleanderdyke-cache-salt']


async def test_caller_gets_the_truth_if_there_is_no_copy(tmp_path):
    """TWICE: nothing runs again when the engine says that it has no copy."""
    engine = CopyingEngine(crashes_after=3, loses_copies=True)
    async with copying(tmp_path, engine, engine, engine) as stage:
        found = await ask(stage)
        assert sum(count_received(stage)) == 2
        assert read_log(stage, 'copy_missing')
    assert (found.body, found.is_whole) == (WHOLE[: len(found.body)], False)
    assert engine.runs == 1


async def test_caller_gets_no_promise_if_a_run_was_lost_without_copy(tmp_path):
    """REFUSED: the refusal of the copy says nothing of the run before."""
    engine = CopyingEngine(crashes_after=0, loses_copies=True)
    async with copying(tmp_path, engine, engine, engine) as stage:
        found = await ask(stage)
        assert sum(count_received(stage)) == 2
    assert found.status == 502


async def test_resumable_stream_without_copy_runs_again_elsewhere(tmp_path):
    engine = CopyingEngine(crashes_after=3, loses_copies=True)
    async with copying(tmp_path, engine, engine, engine) as stage:
        found = await ask(stage, '/stream/1')
    assert (found.body, found.is_whole) == (WHOLE, True)


async def test_second_loss_ends_the_stream(tmp_path):
    """TWICE: a run goes on at a copy once, and never from the beginning."""
    engine = CopyingEngine(crashes_after=2, crashes=2)
    async with copying(tmp_path, engine, engine, engine) as stage:
        found = await ask(stage)
        assert sum(count_received(stage)) == 2
    assert (found.body, found.is_whole) == (WHOLE[: len(found.body)], False)


async def test_lost_link_is_no_lost_engine(tmp_path):
    """TWICE: behind a cut link the run may go on."""
    engine = CopyingEngine(hangs_after=2)
    async with copying(tmp_path, engine, engine) as stage:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, stage)
            await anyio.sleep(0.2)
            (driver,) = stage.core.running.values()
            cut = OSError(errno.ETIMEDOUT, 'timed out')
            driver._attempt._connection.connection_lost(cut)
        assert count_received(stage) == [1, 0]


async def test_silent_engine_is_no_lost_engine(tmp_path):
    """TWICE: a stream that nothing may repeat stays where it is."""
    engine = CopyingEngine(hangs_after=2)
    async with copying(tmp_path, engine, engine) as stage:
        found = await ask(stage)
        assert count_received(stage) == [1, 0]
    assert not found.is_whole


async def test_restarted_engine_is_a_lost_engine(tmp_path):
    engine = CopyingEngine(hangs_after=2)
    async with copying(tmp_path, engine, engine) as stage:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, stage)
            await anyio.sleep(0.2)
            change_engine(stage, 0, born=5)
        assert count_received(stage) == [1, 1]


def _replace_weights(stage):
    change_engine(stage, 1, versions={MODEL: 2})


def _forget_weights(stage):
    change_engine(stage, 1, versions={})


def _restart(stage):
    change_engine(stage, 1, born=5)


def _leave(stage):
    change_engine(stage, 1, is_leaving=True)


def _evacuate(stage):
    stage.core.limits.evacuations.begin('hall')


@pytest.mark.parametrize(
    'change', [_replace_weights, _forget_weights, _restart, _leave, _evacuate]
)
async def test_copy_is_not_used_once_its_engine_has_changed(tmp_path, change):
    """STALE and HOME: weights, start and place must be as they were."""
    engine = CopyingEngine(crashes_after=2)
    async with copying(tmp_path, engine, engine) as stage:
        engine.before_crash = lambda: change(stage)
        found = await ask(stage)
        assert count_received(stage) == [1, 0]
        assert read_log(stage, 'copy_missing')
    assert not found.is_whole


async def test_copy_is_not_used_if_weights_change_while_connecting(tmp_path):
    """STALE: the version is that of the copy when the request is sent."""
    engine = CopyingEngine(crashes_after=2)
    async with copying(tmp_path, engine, engine) as stage:
        run_while_connecting(
            stage, lambda: engine.runs and _replace_weights(stage)
        )
        found = await ask(stage)
        assert count_received(stage) == [1, 0]
    assert not found.is_whole


async def test_copy_stays_in_the_regions_of_its_caller(tmp_path):
    """HOME: no copy goes where the run itself may not go."""
    routes = [{**UNRESUMABLE_ROUTE, 'allowedRegions': ['north']}]
    engine = CopyingEngine()
    async with copying(
        tmp_path, engine, configuration={**COPYING, 'routes': routes}
    ) as stage:
        stage.core.limits.regions = {'hall': 'north', 'cellar': 'south'}
        record = make_record('127.0.0.1:9', models=MODELS, zone='cellar')
        stage.store.put(SERVERS, 'i-9', record)
        with anyio.fail_after(5):
            while stage.core.backends.find('i-9') is None:
                await anyio.sleep(0.02)
        await ask(stage)
        (first,) = stage.replicas[0].received
    assert 'oleanderdyke-kv-backup' not in first.headers


async def test_copies_draw_on_the_retry_budget(tmp_path):
    """BUDGET: without a retry left, the caller gets the truth."""
    engine = CopyingEngine(crashes_after=2)
    async with copying(tmp_path, engine, engine) as stage:
        settings = RetrySettings(share=0.0, burst=0.0)
        stage.core.find_budget('desk').find_settings = lambda: settings
        found = await ask(stage)
        assert count_received(stage) == [1, 0]
    assert not found.is_whole


async def test_resumable_stream_takes_no_more_servers_than_its_route_allows(
    tmp_path,
):
    """BUDGET: the step to a copy counts where a second run is allowed."""
    engine = CopyingEngine(crashes_after=1, crashes=3)
    async with copying(tmp_path, *[engine] * 4) as stage:
        await ask(stage, '/stream/1')
        assert sum(count_received(stage)) == 2


async def test_second_run_does_not_go_on_at_the_copy_of_the_first(tmp_path):
    """ORDER: pieces of two runs are joined only where a run begins anew."""
    routes = [{**STREAM_ROUTE, 'gapTargetMs': 1, 'maxAttempts': 3}]
    silent = CopyingEngine(hangs_after=2)
    crashing = CopyingEngine(crashes_after=1, crashes=3)
    async with copying(
        tmp_path,
        silent,
        *[crashing] * 3,
        configuration={**COPYING, 'routes': routes},
    ) as stage:
        await ask(stage, '/stream/1')
        received = [
            each.headers
            for replica in stage.replicas
            for each in replica.received
        ]
    assert len(received) == 3
    assert all('kv-from' not in each for each in received)


async def test_caller_cannot_set_the_headers_of_copies(tmp_path):
    """UNASKED: only the system names copies."""
    engine = CopyingEngine()
    async with copying(tmp_path, engine) as stage:
        await ask(stage, oleanderdyke_kv_backup='a:1', kv_from='a:1/b')
        (seen,) = stage.replicas[0].received
    assert not {'oleanderdyke-kv-backup', 'kv-from'} & seen.headers.keys()


async def test_caller_that_leaves_ends_the_run_at_the_copy(tmp_path):
    """GONE: no engine works on for a caller that has left."""
    engine = CopyingEngine(crashes_after=2, hangs_after=4)
    async with copying(tmp_path, engine, engine) as stage:
        with anyio.move_on_after(0.4):
            await ask(stage)
        with anyio.fail_after(0.5):
            while engine.open:
                await anyio.sleep(0.01)
        assert count_received(stage) == [1, 1]


async def test_other_deployments_ask_for_no_copies(tmp_path):
    engine = CopyingEngine(crashes_after=2)
    async with staging(
        tmp_path, engine, engine, configuration=COPYING, models=MODELS
    ) as stage:
        prefer(stage, 0)
        await ask(stage)
        (first,) = stage.replicas[0].received
    assert 'oleanderdyke-kv-backup' not in first.headers


@pytest.mark.parametrize(
    ('error', 'is_closed'),
    [
        (None, True),
        (ConnectionResetError(), True),
        (TimeoutError(), False),
        (OSError(errno.EHOSTUNREACH, 'no route'), False),
    ],
)
async def test_connection_tells_a_close_from_a_cut(error, is_closed):
    connection = BackendConnection(lambda _: None)
    connection.connection_lost(error)
    assert connection.was_closed_by_peer is is_closed


async def test_copy_is_only_that_of_the_latest_run(tmp_path):
    """ORDER: a later run may get the name of an earlier, forgotten one."""
    route = SimpleNamespace(gap=1.0, is_resumable=True)
    call = SimpleNamespace(
        request='r', service='desk', route=route, regions=frozenset()
    )
    splitter = EventSplitter(None)
    assert list(splitter.feed(make_event(1)))
    async with copying(tmp_path, *[CopyingEngine()] * 2) as stage:
        target = stage.core.backends.find('i-1')
        copy = RunCopy(
            target.record.start, target.record.address, MODEL, 1, 9, 'v1'
        )
        chooser = RunCopies(Random(1), NoWorkView)
        chooser.choose = lambda *_: copy
        copies = CallCopies(
            stage.core, call, ModelDemand(MODEL), EngineTraits(9), chooser
        )
        source = stage.core.backends.find('i-0')
        assert copies.ask(source, 1, 'same name') == copy.address
        assert copies.find_lost('same name', splitter, is_ended=True) == 'i-1'
        copies.leave()
        assert not copies.find_lost('same name', splitter, is_ended=True)


async def test_reset_stream_of_an_engine_that_listens_does_not_go_on(tmp_path):
    """TWICE: an engine or its machine may reset a stream and work on."""
    engine = CopyingEngine(crashes_after=3)
    async with copying(tmp_path, engine, engine, engines_listen=True) as stage:
        found = await ask(stage, '/letter/1')
        assert [len(each.received) for each in stage.replicas] == [1, 0]
        (missing,) = read_log(stage, 'copy_missing')
    assert 'still listens' in str(missing)
    assert not found.is_whole


async def test_closed_port_refuses_and_an_open_one_does_not(unused_port):
    pool = ConnectionPool(300.0)
    assert await pool.is_refused(f'127.0.0.1:{unused_port}')
    server = await asyncio.start_server(
        lambda _, writer: writer.close(), '127.0.0.1', unused_port
    )
    async with server:
        assert not await pool.is_refused(f'127.0.0.1:{unused_port}')


@pytest.fixture
def unused_port():
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        return bound.getsockname()[1]
