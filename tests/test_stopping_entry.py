"""An entry that stops finishes or refuses each request, and cuts none."""

from __future__ import annotations

import signal

import anyio
import pytest

from tests.hosted import CONFIGURATION, UNRESUMABLE_ROUTE, staging
from tests.standins.replica import Peer
from tests.standins.scripts import answer_well, send_events, stream

pytestmark = pytest.mark.anyio

# In seconds after the stop signal: later than everything is accepted.
_ANNOUNCED = 2.6
_GRACE = 4_000.0
_LONG_LETTERS = {
    **CONFIGURATION,
    'routes': [
        *CONFIGURATION['routes'],
        {
            **UNRESUMABLE_ROUTE,
            'name': 'r-long',
            'pathPrefix': '/long/',
            'timeoutMs': 15_000,
        },
    ],
}


async def _stream_slowly(peer: Peer) -> None:
    """Stream at once, but take a second for requests named so."""
    await send_events(peer, 1, 2)
    if 'slow' in peer.request.target:
        await anyio.sleep(1.2)
    await peer.send(b'0\r\n\r\n')


# Streams had ended quickly until servers slowed down, and one that was accepted
# on that account was cut at the end of the grace time.
async def test_stopping_entry_accepts_no_stream_that_it_may_have_to_cut(
    tmp_path,
):
    async with staging(
        tmp_path, _stream_slowly, configuration=_LONG_LETTERS, grace=_GRACE
    ) as stage:
        deadline = {'oleanderdyke_deadline_ms': '15000'}
        assert (await stage.call('/long/quick', **deadline)).is_whole
        signal.raise_signal(signal.SIGTERM)
        async with anyio.create_task_group() as tasks:
            # Keeps the entry from exiting before the next request.
            tasks.start_soon(stage.call, '/letter/slow')
            await anyio.sleep(1.6)
            tasks.start_soon(stage.call, '/letter/slow')
            await anyio.sleep(_ANNOUNCED - 1.6)
            found = await stage.call('/long/slow-last', **deadline)
    assert (found.status, found.is_whole) == (503, True)
    targets = [each.target for each in stage.replicas[0].received]
    assert '/long/slow-last' not in targets


async def test_stopping_entry_accepts_what_ends_in_time_by_its_deadline(
    tmp_path,
):
    async with staging(tmp_path, answer_well, grace=_GRACE) as stage:
        signal.raise_signal(signal.SIGTERM)
        await anyio.sleep(2.45)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stage.call, '/once/1')
            found = await stage.call('/once/2', oleanderdyke_deadline_ms='300')
    assert found.status == 200


# The platform repeats SIGTERM and ends a process itself after the grace time.
async def test_further_stop_signal_leaves_running_requests_alone(tmp_path):
    answers = []

    async def call() -> None:
        answers.append(await stage.call('/letter/slow'))

    async with (
        staging(tmp_path, _stream_slowly, grace=_GRACE) as stage,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(call)
        for _ in range(3):
            await anyio.sleep(0.2)
            signal.raise_signal(signal.SIGTERM)
    assert [each.is_whole for each in answers] == [True]


async def test_refusal_of_a_stopping_entry_names_a_time_to_return(tmp_path):
    async with staging(tmp_path, stream(1, 1), grace=_GRACE) as stage:
        stage.core.drain.signal(stage.core.clock.now() - 2_600.0)
        found = await stage.call('/letter/1')
    assert found.status == 503
    assert float(found.headers['retry-after']) > 0
