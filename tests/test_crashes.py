"""Check that entries find out which servers end, and at which requests."""

from __future__ import annotations

import anyio
import pytest

from oleanderdyke.metrics import Count
from tests.hosted import MODEL, SERVERS, make_record, staging
from tests.standins.replica import Peer, make_chunk, make_event
from tests.standins.scripts import send_events
from tools.soak.links import linking

pytestmark = pytest.mark.anyio

_MODELS = [{'name': MODEL, 'version': 1}]
# No program listens on it without rights of the system.
_UNUSED_PORT = 1


def _ask(parts: str) -> dict[str, str]:
    return {
        'oleanderdyke_model': MODEL,
        'oleanderdyke_token_usage': '90,9',
        'oleanderdyke_prompt_prefix': parts,
    }


@pytest.mark.parametrize(
    ('ends', 'writes', 'expected'),
    [(True, False, 'part:5c'), (True, True, ''), (False, False, None)],
)
# Guards against crashes that no log explains.
async def test_log_names_the_parts_that_a_server_may_have_crashed_on(
    tmp_path, ends, writes, expected
):
    async def crash(peer: Peer) -> None:
        if ends:
            stage.replicas[0].server.close()
        if writes:
            await send_events(peer, 1, 1)
            await anyio.sleep(0.4)
        peer.reset()

    async with staging(tmp_path, crash, models=_MODELS) as stage:
        await stage.call('/letter/1', **_ask('5c:40,91:9'))
        await anyio.sleep(0.2)
        count = stage.core.metrics.read_count(Count.BACKEND_CRASHES)
        log = stage.log.read_text()
    assert count == (expected is not None)
    assert ('part:5c' in log) is (expected == 'part:5c')
    assert 'part:91' not in log


# Guards against blaming requests for a server that takes no more connections.
@pytest.mark.parametrize(('answers', 'expected'), [(True, 0), (False, 1)])
async def test_server_that_answers_and_closes_new_connections_has_not_ended(
    tmp_path, answers, expected
):
    async def act(peer: Peer) -> None:
        if peer.request.target == '/letter/1':
            # New connections are closed from now on.
            link.target = _UNUSED_PORT
            peer.reset()
            return
        await send_events(peer, 1, 1)
        for number in range(2, 30 if answers else 2):
            await anyio.sleep(0.03)
            await peer.send(make_chunk(make_event(number)))
        await peer.wait_closed()

    async with staging(tmp_path, act, models=_MODELS) as stage:
        host, port = stage.replicas[0].server.sockets[0].getsockname()
        async with linking(port, host) as (link, address):
            record = make_record(address, models=_MODELS)
            stage.store.put(SERVERS, 'i-0', record)
            await anyio.sleep(1.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_call, stage, '/letter/0')
                await anyio.sleep(0.2)
                await _call(stage, '/letter/1')
                await anyio.sleep(0.5)
                tasks.cancel_scope.cancel()
        count = stage.core.metrics.read_count(Count.BACKEND_CRASHES)
    assert count == expected


async def _call(stage, path: str) -> None:
    await stage.call(path, **_ask('5c:40,91:9'))
