"""No request may be sent on expired weights.

Each test covers a path that bypassed the check.
"""

from __future__ import annotations

import anyio
import pytest

from oleanderdyke.kernel.backend import QueueDelay
from oleanderdyke.kernel.scheduling.overload import LATE_RANK
from tests import hosted
from tests.hosted import CONFIGURATION, MODEL, OPERATOR, UNRESUMABLE_ROUTE
from tests.standins.replica import make_chunk, make_event, make_head
from tests.standins.scripts import answer_well, send_events

LIMIT = 3_000.0
LETTERS = {
    **CONFIGURATION,
    'routes': [{**UNRESUMABLE_ROUTE, 'timeoutMs': 9_000}],
}
OLD = [{'name': MODEL, 'version': 1, 'adapters': []}]

pytestmark = pytest.mark.anyio


def stage_old(directory, script, limit=LIMIT):
    """Run an entry with one engine that keeps its old weights."""
    return hosted.staging(
        directory,
        script,
        configuration=LETTERS,
        version_limit=limit,
        models=OLD,
    )


async def announce_weights(stage, version=2):
    named = {'model': MODEL, 'version': version}
    stage.store.put(OPERATOR, f'version/{MODEL}', named)
    await anyio.sleep(0.1)


async def ask(stage, model=MODEL, request='req-1', wait='9000'):
    return await stage.call(
        '/letter/1',
        oleanderdyke_request_id=request,
        oleanderdyke_deadline_ms=wait,
        oleanderdyke_model=model,
        oleanderdyke_token_usage='100,10' if model else '',
    )


async def send_events_slowly(peer):
    """Send an event every 200 ms for five seconds."""
    await send_events(peer, 1, 2)
    for number in range(3, 28):
        await anyio.sleep(0.2)
        await peer.send(make_chunk(make_event(number)))


async def test_a_request_without_a_model_never_runs_on_expired_weights(
    tmp_path,
):
    async with stage_old(tmp_path, answer_well) as stage:
        await announce_weights(stage)
        assert (await ask(stage, model='')).status == 200
        await anyio.sleep(LIMIT / 1_000)
        assert (await ask(stage, model='')).status == 503
        assert len(stage.replicas[0].received) == 1


async def test_an_answer_head_without_an_event_does_not_count_as_begun(
    tmp_path,
):
    """The engine sends data of other requests, so that it is not silent."""
    connection_closed = anyio.Event()

    async def send_head_only(peer):
        if peer.request.headers['oleanderdyke-request-id'] != 'req-1':
            await send_events_slowly(peer)
            return
        await peer.send(
            make_head(
                peer.request,
                content_type='text/event-stream',
                transfer_encoding='chunked',
            )
        )
        await peer.wait_closed()
        connection_closed.set()

    async with stage_old(tmp_path, send_head_only) as stage:
        await announce_weights(stage)
        async with anyio.create_task_group() as others:
            others.start_soon(ask, stage, MODEL, 'req-2')
            with anyio.fail_after(LIMIT / 1_000 - 0.1):
                answer = await ask(stage)
                await connection_closed.wait()
            others.cancel_scope.cancel()
    assert answer.status == 502


async def test_no_request_is_sent_that_would_wait_past_the_expiry(tmp_path):
    """Retried requests are sent even if requests wait for long."""
    async with stage_old(tmp_path, answer_well, limit=6_000.0) as stage:
        await announce_weights(stage)
        await anyio.sleep(1.0)
        now = stage.core.clock.now()
        (backend,) = stage.core.backends.list_service('desk', now)
        backend.delays[LATE_RANK] = QueueDelay(3_900.0, now)
        assert (await ask(stage, wait='6000')).status == 503
        assert not stage.replicas[0].received
        backend.delays.clear()
        assert (await ask(stage, wait='6000')).status == 200
