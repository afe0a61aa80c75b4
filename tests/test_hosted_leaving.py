from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncGenerator
from dataclasses import dataclass

import anyio
import pytest

from oleanderdyke.logs import parse_line
from tests.hosted import (
    CONFIGURATION,
    UNRESUMABLE_ROUTE,
    ReceivedAnswer,
    Stage,
    make_request,
    prefer,
    read_answer,
    staging,
)
from tests.standins.replica import Peer, Script, make_chunk, make_event
from tests.standins.scripts import reset, send_events, stream

pytestmark = pytest.mark.anyio

# How long a backend server may continue after its caller has left, in seconds.
_STILL_WORKING = 0.5
_WAIT = 5.0
_POLL = 0.005


@dataclass
class Runs:
    """Count started runs and closed connections."""

    started: int = 0
    closed: int = 0

    def make(self, first: int | None) -> Script:
        """Make a script that sends event `first`, if any, and never ends."""

        async def run(peer: Peer) -> None:
            self.started += 1
            if first is not None:
                await send_events(peer, first, first)
            await peer.wait_closed()
            self.closed += 1

        return run

    async def wait_started(self) -> None:
        with anyio.fail_after(_WAIT):
            while not self.started:
                await anyio.sleep(_POLL)

    async def wait_closed(self) -> None:
        with anyio.fail_after(_STILL_WORKING):
            while self.closed < self.started:
                await anyio.sleep(_POLL)


@contextlib.asynccontextmanager
async def _calling(
    stage: Stage, path: str, deadline: int = 9_000
) -> AsyncGenerator[tuple[asyncio.StreamReader, asyncio.StreamWriter], None]:
    reader, writer = await asyncio.open_connection(*stage.address)
    text = str(deadline)
    writer.write(make_request(path, oleanderdyke_deadline_ms=text))
    try:
        yield reader, writer
    finally:
        writer.close()


async def _read(reader: asyncio.StreamReader) -> ReceivedAnswer:
    with anyio.fail_after(_WAIT):
        return await read_answer(reader)


async def _stall_midway(peer: Peer) -> None:
    await send_events(peer, 1, 2)
    await peer.wait_closed()


async def _stall_at_once(peer: Peer) -> None:
    await peer.wait_closed()


_FAILING = {
    'dies midway': stream(1, 2, ending=b''),
    'dies at once': reset,
    'is silent midway': _stall_midway,
    'is silent at once': _stall_at_once,
}


@pytest.mark.parametrize('second', [3, None], ids=['begun', 'waiting'])
@pytest.mark.parametrize('failing', _FAILING.values(), ids=_FAILING)
async def test_second_attempt_is_cancelled_when_its_caller_disconnects(
    tmp_path, failing, second
):
    runs = Runs()
    async with staging(tmp_path, failing, runs.make(second)) as stage:
        prefer(stage, 0)
        async with _calling(stage, '/stream/1'):
            await runs.wait_started()
            await anyio.sleep(0.1)
        await runs.wait_closed()
        assert stage.replicas[0].received


@pytest.mark.parametrize('second', [3, None], ids=['begun', 'waiting'])
@pytest.mark.parametrize('failing', _FAILING.values(), ids=_FAILING)
async def test_second_attempt_is_cancelled_at_the_deadline(
    tmp_path, failing, second
):
    runs = Runs()
    async with staging(tmp_path, failing, runs.make(second)) as stage:
        prefer(stage, 0)
        async with _calling(stage, '/stream/1', 1_200) as (reader, _):
            found = await _read(reader)
            assert runs.started == 1
            await runs.wait_closed()
        assert stage.replicas[0].received
    assert not found.is_whole or found.status == 504


async def test_second_attempt_is_sent_the_remaining_time(tmp_path):
    runs = Runs()
    async with staging(tmp_path, _stall_midway, runs.make(3)) as stage:
        prefer(stage, 0)
        async with _calling(stage, '/stream/1', 1_500):
            await runs.wait_started()
            (sent,) = stage.replicas[1].received
    assert int(sent.headers['oleanderdyke-deadline-ms']) < 1_100


async def test_abandoned_attempt_is_closed_while_the_next_one_runs(tmp_path):
    first, second = Runs(), Runs()
    async with staging(tmp_path, first.make(1), second.make(2)) as stage:
        prefer(stage, 0)
        async with _calling(stage, '/stream/1'):
            await second.wait_started()
            await first.wait_closed()
            assert not second.closed


async def test_run_is_cancelled_when_its_caller_leaves_while_connecting(
    tmp_path, monkeypatch
):
    runs = Runs()
    async with staging(tmp_path, runs.make(None)) as stage:
        connect = stage.core.pool.open
        connecting = anyio.Event()

        async def connect_late(address):
            connecting.set()
            await anyio.sleep(0.2)
            return await connect(address)

        monkeypatch.setattr(stage.core.pool, 'open', connect_late)
        async with _calling(stage, '/stream/1'):
            await connecting.wait()
        await anyio.sleep(0.3)
        await runs.wait_closed()


async def test_unresumable_stream_at_a_silent_server_is_aborted(tmp_path):
    runs = Runs()
    route = {**UNRESUMABLE_ROUTE, 'timeoutMs': 9_000}
    configuration = {**CONFIGURATION, 'routes': [route]}
    async with (
        staging(
            tmp_path, runs.make(None), configuration=configuration
        ) as stage,
        _calling(stage, '/letter/1') as (reader, _),
    ):
        with anyio.fail_after(2.5):
            found = await _read(reader)
            await runs.wait_closed()
    assert found.status == 502


async def test_unresumable_stream_that_has_begun_ends_only_with_its_caller(
    tmp_path,
):
    """A silent server doesn't end a started response before its deadline."""
    runs = Runs()
    route = {**UNRESUMABLE_ROUTE, 'timeoutMs': 9_000}
    configuration = {**CONFIGURATION, 'routes': [route]}
    async with staging(
        tmp_path, runs.make(1), configuration=configuration
    ) as stage:
        async with _calling(stage, '/letter/1'):
            await anyio.sleep(4.5)
            assert (runs.started, runs.closed) == (1, 0)
        await runs.wait_closed()


async def test_unresumable_stream_waits_at_a_server_that_sends_to_others(
    tmp_path,
):
    route = {**UNRESUMABLE_ROUTE, 'timeoutMs': 9_000}
    configuration = {**CONFIGURATION, 'routes': [route]}

    async def take_turns(peer: Peer) -> None:
        if 'late' in peer.request.target:
            await anyio.sleep(2.5)
            await peer.answer(body=b'late')
            return
        await send_events(peer, 1, 1)
        for number in range(2, 30):
            await anyio.sleep(0.1)
            await peer.send(make_chunk(make_event(number)))
        await peer.send(b'0\r\n\r\n')

    async with (
        staging(tmp_path, take_turns, configuration=configuration) as stage,
        _calling(stage, '/letter/other'),
        _calling(stage, '/letter/late') as (reader, _),
    ):
        found = await _read(reader)
    assert (found.status, found.body) == (200, b'late')


async def test_request_cut_off_by_a_shutdown_is_answered_and_logged(tmp_path):
    runs = Runs()
    async with staging(tmp_path, runs.make(None)) as stage:
        async with _calling(stage, '/letter/1') as (reader, _):
            await runs.wait_started()
            # The second interrupt ends the shutdown at once.
            for _ in range(2):
                signal.raise_signal(signal.SIGINT)
                await anyio.sleep(0.1)
            found = await _read(reader)
        with anyio.fail_after(_STILL_WORKING):
            while 'event=process_stopped' not in stage.log.read_text():
                await anyio.sleep(_POLL)
        lines = map(parse_line, stage.log.read_text().splitlines())
        cut = [line for line in lines if line['event'] == 'request_cut']
    assert found.status == 502
    assert b'"stopping"' in found.body
    assert [line['request'] for line in cut] == ['req-1']


async def test_unfinished_request_body_does_not_delay_the_shutdown(tmp_path):
    async with staging(tmp_path, _stall_at_once) as stage:
        _, writer = await asyncio.open_connection(*stage.address)
        request = make_request('/letter/1', body=b'half')
        writer.write(request[:-2])
        await anyio.sleep(0.1)
        for _ in range(2):
            signal.raise_signal(signal.SIGINT)
            await anyio.sleep(0.05)
        with anyio.fail_after(_WAIT):
            while 'event=process_stopped' not in stage.log.read_text():
                await anyio.sleep(_POLL)
        writer.close()
        lines = map(parse_line, stage.log.read_text().splitlines())
        times = {line['event']: float(line['at']) for line in lines}
    # The grace time ends 600 ms after the drain at the latest, and the
    # interpreter needs part of that to exit.
    assert times['process_stopped'] - times['drain_finished'] < 500


async def test_stream_that_pauses_at_a_busy_server_is_not_aborted(
    tmp_path,
):
    """A server may preempt a run in favour of more urgent ones."""
    route = {**UNRESUMABLE_ROUTE, 'timeoutMs': 9_000}

    async def pause_midway(peer: Peer) -> None:
        await send_events(peer, 1, 1)
        for number in range(2, 30):
            if 'late' not in peer.request.target:
                await peer.send(make_chunk(make_event(number)))
            await anyio.sleep(0.1)
        await peer.send(make_chunk(make_event(30)) + b'0\r\n\r\n')

    async with (
        staging(
            tmp_path,
            pause_midway,
            configuration={**CONFIGURATION, 'routes': [route]},
        ) as stage,
        _calling(stage, '/letter/other'),
        _calling(stage, '/letter/late') as (reader, _),
    ):
        found = await _read(reader)
    assert found.is_whole
    assert found.body.count(b'data:') == 2
