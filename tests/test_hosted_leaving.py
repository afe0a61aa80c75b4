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

# How long a backend server may work on after its caller has left.
_STILL_WORKING = 0.5
_WAIT = 5.0
_POLL = 0.005


@dataclass
class Runs:
    """Count runs that began, and tell when their connections were closed."""

    begun: int = 0
    closed: int = 0

    def make(self, first: int | None) -> Script:
        """Make a script that sends an event, if any, and never ends."""

        async def run(peer: Peer) -> None:
            self.begun += 1
            if first is not None:
                await send_events(peer, first, first)
            await peer.wait_closed()
            self.closed += 1

        return run

    async def wait_begun(self) -> None:
        with anyio.fail_after(_WAIT):
            while not self.begun:
                await anyio.sleep(_POLL)

    async def wait_closed(self) -> None:
        with anyio.fail_after(_STILL_WORKING):
            while self.closed < self.begun:
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
async def test_a_caller_that_leaves_ends_the_second_run(
    tmp_path, failing, second
):
    runs = Runs()
    async with staging(tmp_path, failing, runs.make(second)) as stage:
        prefer(stage, 0)
        async with _calling(stage, '/stream/1'):
            await runs.wait_begun()
            await anyio.sleep(0.1)
        await runs.wait_closed()
        assert stage.replicas[0].received


@pytest.mark.parametrize('second', [3, None], ids=['begun', 'waiting'])
@pytest.mark.parametrize('failing', _FAILING.values(), ids=_FAILING)
async def test_a_deadline_ends_the_second_run(tmp_path, failing, second):
    runs = Runs()
    async with staging(tmp_path, failing, runs.make(second)) as stage:
        prefer(stage, 0)
        async with _calling(stage, '/stream/1', 1_200) as (reader, _):
            found = await _read(reader)
            assert runs.begun == 1
            await runs.wait_closed()
        assert stage.replicas[0].received
    assert not found.is_whole or found.status == 504


async def test_the_second_run_is_told_no_more_time_than_is_left(tmp_path):
    runs = Runs()
    async with staging(tmp_path, _stall_midway, runs.make(3)) as stage:
        prefer(stage, 0)
        async with _calling(stage, '/stream/1', 1_500):
            await runs.wait_begun()
            (sent,) = stage.replicas[1].received
    assert int(sent.headers['oleanderdyke-deadline-ms']) < 1_100


async def test_a_run_that_was_given_up_is_closed_before_the_next(tmp_path):
    first, second = Runs(), Runs()
    async with staging(tmp_path, first.make(1), second.make(2)) as stage:
        prefer(stage, 0)
        async with _calling(stage, '/stream/1'):
            await second.wait_begun()
            await first.wait_closed()
            assert not second.closed


async def test_a_caller_that_leaves_while_connecting_is_not_worked_for(
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


async def test_a_letter_at_a_server_that_fell_silent_is_given_up(tmp_path):
    runs = Runs()
    letter = {**UNRESUMABLE_ROUTE, 'timeoutMs': 9_000}
    configuration = {**CONFIGURATION, 'routes': [letter]}
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


async def test_a_letter_that_has_begun_is_waited_for_until_its_caller_leaves(
    tmp_path,
):
    """No silence ends an answer sooner than its caller or its deadline."""
    runs = Runs()
    letter = {**UNRESUMABLE_ROUTE, 'timeoutMs': 9_000}
    configuration = {**CONFIGURATION, 'routes': [letter]}
    async with staging(
        tmp_path, runs.make(1), configuration=configuration
    ) as stage:
        async with _calling(stage, '/letter/1'):
            await anyio.sleep(4.5)
            assert (runs.begun, runs.closed) == (1, 0)
        await runs.wait_closed()


async def test_a_letter_at_a_server_that_sends_to_others_is_waited_for(
    tmp_path,
):
    letter = {**UNRESUMABLE_ROUTE, 'timeoutMs': 9_000}
    configuration = {**CONFIGURATION, 'routes': [letter]}

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


async def test_a_request_that_a_stop_cuts_off_is_answered_and_named(tmp_path):
    runs = Runs()
    async with staging(tmp_path, runs.make(None)) as stage:
        async with _calling(stage, '/letter/1') as (reader, _):
            await runs.wait_begun()
            # The second signal ends the stop at once.
            for _ in range(2):
                signal.raise_signal(signal.SIGTERM)
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


async def test_a_body_that_never_ends_does_not_outlast_the_stop(tmp_path):
    async with staging(tmp_path, _stall_at_once) as stage:
        _, writer = await asyncio.open_connection(*stage.address)
        request = make_request('/letter/1', body=b'half')
        writer.write(request[:-2])
        await anyio.sleep(0.1)
        for _ in range(2):
            signal.raise_signal(signal.SIGTERM)
            await anyio.sleep(0.05)
        with anyio.fail_after(_WAIT):
            while 'event=process_stopped' not in stage.log.read_text():
                await anyio.sleep(_POLL)
        writer.close()
        lines = map(parse_line, stage.log.read_text().splitlines())
        times = {line['event']: float(line['at']) for line in lines}
    # The grace time ends 600 ms after the drain at the latest, and the
    # interpreter needs some of that to exit.
    assert times['process_stopped'] - times['drain_finished'] < 500


async def test_a_stream_that_pauses_at_a_busy_server_is_not_broken_off(
    tmp_path,
):
    """A server may put a run aside midway for more urgent ones."""
    letter = {**UNRESUMABLE_ROUTE, 'timeoutMs': 9_000}

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
            configuration={**CONFIGURATION, 'routes': [letter]},
        ) as stage,
        _calling(stage, '/letter/other'),
        _calling(stage, '/letter/late') as (reader, _),
    ):
        found = await _read(reader)
    assert found.is_whole
    assert found.body.count(b'data:') == 2
