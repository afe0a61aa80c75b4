"""A caller whose whole request was read gets an answer or a refusal."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import anyio
import pytest

from tests.hosted import (
    CONFIGURATION,
    MODEL,
    OPERATOR,
    ROUTE,
    ReceivedAnswer,
    Stage,
    make_request,
    read_answer,
    staging,
)
from tests.standins.replica import Peer
from tests.standins.scripts import answer_well, send_events
from tests.test_hosted_admission import (
    DESK,
    LONG,
    MODELS,
    SHORT,
    start_scheduler,
)
from tests.test_hosted_log import list_events

pytestmark = pytest.mark.anyio

_WAIT = 5.0
_POLL = 0.005


class Caller:
    """Send requests on one kept connection and read their answers."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._sent = 0

    def make(self, path: str, **headers: str) -> bytes:
        """Make a request with an id of its own."""
        self._sent += 1
        named = {
            'connection': 'keep-alive',
            'oleanderdyke_request_id': f'req-{self._sent}',
            **headers,
        }
        return make_request(path, **named)

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    def send(self, path: str, **headers: str) -> None:
        self.write(self.make(path, **headers))

    async def read(self) -> ReceivedAnswer:
        with anyio.fail_after(_WAIT):
            found = await read_answer(self._reader)
            if found.is_whole and 'content-length' not in found.headers:
                # The empty line after the last chunk.
                await self._reader.readline()
            return found

    async def ask(self, path: str, **headers: str) -> ReceivedAnswer:
        self.send(path, **headers)
        return await self.read()


@contextlib.asynccontextmanager
async def calling(address: tuple[str, int]) -> AsyncGenerator[Caller, None]:
    reader, writer = await asyncio.open_connection(*address)
    try:
        yield Caller(reader, writer)
    finally:
        writer.close()


async def configure(stage: Stage, **changes: object) -> None:
    """Publish another configuration and wait until it is in force."""
    stage.store.put(OPERATOR, 'config', {**CONFIGURATION, **changes})
    with anyio.fail_after(_WAIT):
        while stage.core.deployment.version != changes['version']:
            await anyio.sleep(_POLL)


class Held:
    """Answer requests for `/held/` only when released."""

    def __init__(self) -> None:
        self.begun = anyio.Event()
        self.released = anyio.Event()

    async def stream(self, peer: Peer) -> None:
        await send_events(peer, 1, 2)
        await self._hold(peer)
        await peer.send(b'0\r\n\r\n')

    async def answer(self, peer: Peer) -> None:
        await self._hold(peer)
        await peer.answer(body=peer.request.target.encode())

    async def _hold(self, peer: Peer) -> None:
        if 'held' in peer.request.target:
            self.begun.set()
            await self.released.wait()


# Guards against the loss of a request on a kept connection that was closed
# after the stream of a service that a configuration had removed.
async def test_connection_outlives_the_stream_of_a_removed_service(tmp_path):
    held = Held()
    configuration = {
        **CONFIGURATION,
        'routes': [SHORT, LONG],
        'services': [DESK],
    }
    prompt = {
        'oleanderdyke_model': MODEL,
        'oleanderdyke_token_usage': '100,10',
    }
    async with staging(
        tmp_path, held.stream, configuration=configuration, models=MODELS
    ) as stage:
        await start_scheduler(stage)
        async with calling(stage.address) as caller:
            caller.write(
                caller.make('/s/held', **prompt) + caller.make('/once/next')
            )
            await held.begun.wait()
            others = [{'name': 'other'}]
            await configure(stage, version=9, routes=[ROUTE], services=others)
            held.released.set()
            ended = await caller.read()
            following = await caller.read()
    assert (ended.status, ended.is_whole) == (200, True)
    assert following.headers['oleanderdyke-request-id'] == 'req-2'


def _fail(*_: object) -> None:
    raise LookupError


# Guards against a fault that is reported to nobody: the caller got an answer
# without the id of its request, and the log nothing.
async def test_fault_is_answered_with_the_request_id_and_logged(
    tmp_path, monkeypatch
):
    async with (
        staging(tmp_path, answer_well) as stage,
        calling(stage.address) as caller,
    ):
        with monkeypatch.context() as patch:
            patch.setattr(stage.core.scheduling, 'record_arrival', _fail)
            failed = await caller.ask('/once/1')
        following = await caller.ask('/once/2')
        (logged,) = list_events(stage.log, 'process_failed')
    assert failed.status == 500
    assert failed.headers['oleanderdyke-request-id'] == 'req-1'
    assert b'"internal"' in failed.body
    assert following.status == 200
    assert (logged['request'], logged['reason']) == ('req-1', 'LookupError')


# Guards against the loss of a request that was read on a kept connection while
# a fault after the answer before it closed that connection.
async def test_fault_after_a_whole_answer_does_not_end_the_next_request(
    tmp_path, monkeypatch
):
    async with (
        staging(tmp_path, answer_well) as stage,
        calling(stage.address) as caller,
    ):
        with monkeypatch.context() as patch:
            patch.setattr(stage.core.durations, 'record', _fail)
            caller.write(caller.make('/once/1') + caller.make('/once/2'))
            answers = [await caller.read() for _ in range(2)]
        logged = list_events(stage.log, 'process_failed')
    assert [each.status for each in answers] == [200, 200]
    assert [each['request'] for each in logged] == ['req-1', 'req-2']


async def test_fault_within_an_answer_does_not_make_it_look_complete(
    tmp_path, monkeypatch
):
    held = Held()
    async with (
        staging(tmp_path, held.stream) as stage,
        calling(stage.address) as caller,
    ):
        caller.send('/stream/held')
        await held.begun.wait()
        await anyio.sleep(0.1)
        (running,) = stage.core.running.values()
        monkeypatch.setattr(running._reply, 'end', _fail)
        held.released.set()
        found = await caller.read()
        logged = list_events(stage.log, 'process_failed')
    assert (found.status, found.is_whole) == (200, False)
    assert len(logged) == 1
