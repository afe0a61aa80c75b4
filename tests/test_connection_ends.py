"""A caller whose whole request was read gets an answer or a refusal."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import signal
import socket
import time
from collections.abc import AsyncGenerator, Callable
from pathlib import Path

import anyio
import pytest
import uvicorn

from oleanderdyke.entry.hosted import shell
from oleanderdyke.entry.http_settings import HttpSettings
from oleanderdyke.entry.server import open_listener
from tests.hosted import (
    CONFIGURATION,
    MODEL,
    OPERATOR,
    ROUTE,
    SERVERS,
    STREAM_ROUTE,
    ReceivedAnswer,
    Stage,
    call,
    format_settings,
    make_record,
    make_request,
    read_answer,
    staging,
)
from tests.processes import Child, Ports
from tests.standins import server
from tests.standins.records import RecordStore
from tests.standins.replica import (
    Peer,
    Script,
    make_chunk,
    make_event,
    make_head,
    serving_replica,
)
from tests.standins.scripts import answer_well, send_events, shed
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
_PIECE = 65_536


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

    async def wait_closed(self) -> None:
        """Wait until the entry has closed the connection."""
        with anyio.fail_after(_WAIT):
            assert await self._reader.read() == b''

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


@contextlib.asynccontextmanager
async def running(
    directory: Path, script: Script, **limits: int
) -> AsyncGenerator[tuple[Child, tuple[str, int]], None]:
    """Run an entry as a process of its own, and yield it and its address."""
    store = RecordStore()
    limits = {**CONFIGURATION['limits'], **limits}
    store.put(OPERATOR, 'config', {**CONFIGURATION, 'limits': limits})
    async with contextlib.AsyncExitStack() as stack:
        (address,) = await stack.enter_async_context(server.serving(store))
        _, where = await stack.enter_async_context(serving_replica(script))
        store.put(SERVERS, 'i-0', make_record(where))
        ports = stack.enter_context(Ports())
        callers, readiness = ports.reserve(), ports.reserve()
        path = directory / 'boot.conf'
        path.write_text(
            format_settings(
                address, callers=callers, readiness=readiness, grace_seconds=8
            )
        )
        module = 'oleanderdyke.entry.main'
        options = ('-m', module, '--platform', '--settings', str(path))
        child = Child('entry', options, directory)
        child.start()
        stack.callback(child.kill)
        await _wait_ready(('127.0.0.1', readiness))
        yield child, ('127.0.0.1', callers)


async def _wait_ready(address: tuple[str, int]) -> None:
    """Wait until an entry is ready and has applied its limits."""
    with anyio.fail_after(20):
        while True:
            with contextlib.suppress(OSError):
                found = await call(address, '/api/readiness', method='GET')
                if found.status == 200:
                    break
            await anyio.sleep(0.05)
    await anyio.sleep(0.3)


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
            patch.setattr(stage.core.metrics, 'time', _fail)
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


# Guards against a timer that closes an idle connection on a request that has
# arrived while the process was suspended.
async def test_request_that_arrives_at_a_suspended_entry_is_answered(tmp_path):
    async with (
        running(tmp_path, answer_well, idleTimeoutMs=1_000) as (child, address),
        calling(address) as caller,
    ):
        assert (await caller.ask('/once/1')).status == 200
        await anyio.sleep(0.6)
        child.freeze()
        await anyio.sleep(0.1)
        caller.send('/once/2')
        await anyio.sleep(0.6)
        child.thaw()
        found = await caller.read()
    assert found.status == 200


def _stall(seconds: float, act: Callable[[], object]) -> None:
    """Let the event loop be late for what is due in `seconds`.

    In one turn of the loop, `act` is then called just before that.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + seconds
    loop.call_at(due - 0.1, time.sleep, 0.2)
    loop.call_at(due - 0.05, act)


async def test_request_that_arrives_while_the_loop_is_late_is_answered(
    tmp_path,
):
    configuration = {
        **CONFIGURATION,
        'limits': {**CONFIGURATION['limits'], 'idleTimeoutMs': 1_000},
    }
    async with staging(
        tmp_path, answer_well, configuration=configuration
    ) as stage:
        await anyio.sleep(0.1)
        async with calling(stage.address) as caller:
            assert (await caller.ask('/once/1')).status == 200
            _stall(1.0, lambda: caller.send('/once/2'))
            found = await caller.read()
    assert found.status == 200


async def test_head_whose_rest_arrives_while_the_loop_is_late_is_answered(
    tmp_path, monkeypatch
):
    make_http = shell._make_http

    def make_hasty(callers: tuple[str, int]) -> HttpSettings:
        return dataclasses.replace(make_http(callers), body_timeout=500.0)

    monkeypatch.setattr(shell, '_make_http', make_hasty)
    async with (
        staging(tmp_path, answer_well) as stage,
        calling(stage.address) as caller,
    ):
        assert (await caller.ask('/once/1')).status == 200
        request = caller.make('/once/2')
        caller.write(request[:20])
        _stall(0.5, lambda: caller.write(request[20:]))
        found = await caller.read()
    assert found.status == 200


async def test_idle_connection_is_closed_after_its_time(tmp_path):
    async with (
        running(tmp_path, answer_well, idleTimeoutMs=1_000) as (_, address),
        calling(address) as caller,
    ):
        await caller.ask('/once/1')
        await anyio.sleep(0.7)
        await caller.ask('/once/2')
        await caller.wait_closed()


async def _stop_at_once() -> None:
    """Send the signal that stops an entry, and the one that ends it."""
    for _ in range(2):
        signal.raise_signal(signal.SIGINT)
        await anyio.sleep(0.02)


# Guards against the reset of a connection on which a request has arrived as the
# stopping process closes those that are idle.
async def test_request_that_arrives_as_the_entry_closes_is_refused(
    tmp_path, monkeypatch
):
    close = uvicorn.Server.shutdown
    async with (
        staging(tmp_path, answer_well) as stage,
        calling(stage.address) as caller,
    ):
        assert (await caller.ask('/once/1')).status == 200

        async def close_late(server, sockets=None):
            caller.send('/once/2')
            await close(server, sockets)

        monkeypatch.setattr(uvicorn.Server, 'shutdown', close_late)
        await _stop_at_once()
        found = await caller.read()
        await caller.wait_closed()
    assert found.status == 503
    assert found.headers['connection'] == 'close'


# Guards against the loss of a request that was read behind another one, when
# the answer to that one closes the connection.
async def test_request_read_behind_another_is_answered_by_a_stopping_entry(
    tmp_path,
):
    held = Held()
    async with (
        staging(tmp_path, held.answer) as stage,
        calling(stage.address) as caller,
    ):
        caller.write(caller.make('/once/held') + caller.make('/once/2'))
        await held.begun.wait()
        signal.raise_signal(signal.SIGTERM)
        await anyio.sleep(0.1)
        held.released.set()
        answers = [await caller.read() for _ in range(2)]
        await caller.wait_closed()
    assert [each.status for each in answers] == [200, 200]
    assert [each.body for each in answers] == [b'/once/held', b'/once/2']
    assert 'connection' not in answers[0].headers
    assert answers[1].headers['connection'] == 'close'


async def test_request_read_behind_one_that_is_cut_is_refused(tmp_path):
    held = Held()
    async with (
        staging(tmp_path, held.answer) as stage,
        calling(stage.address) as caller,
    ):
        caller.write(caller.make('/once/held') + caller.make('/once/2'))
        await held.begun.wait()
        await _stop_at_once()
        answers = [await caller.read() for _ in range(2)]
        await caller.wait_closed()
    assert [each.status for each in answers] == [502, 503]


# Guards against the loss of a running request whose caller sends an empty line,
# or more, behind a request that closes the connection.
@pytest.mark.parametrize('extra', [b'\r\n', b'GET /safe/2 HTTP/1.1\r\n\r\n'])
async def test_bytes_behind_a_request_that_closes_do_not_end_it(
    tmp_path, extra
):
    held = Held()
    async with (
        staging(tmp_path, held.answer) as stage,
        calling(stage.address) as caller,
    ):
        caller.send('/once/held', connection='close')
        await held.begun.wait()
        caller.write(extra)
        await anyio.sleep(0.1)
        held.released.set()
        found = await caller.read()
        await caller.wait_closed()
        assert len(stage.replicas[0].received) == 1
    assert (found.status, found.body) == (200, b'/once/held')


# Guards against a connection that ends without an answer because the HTTP
# server can't write the head that a backend server has sent.
@pytest.mark.parametrize('status', [600, 999])
async def test_unknown_status_of_a_server_becomes_an_error(tmp_path, status):
    async def run(peer: Peer) -> None:
        await peer.answer(status)

    async with (
        staging(tmp_path, run) as stage,
        calling(stage.address) as caller,
    ):
        answers = [await caller.ask('/once/1') for _ in range(2)]
    assert [each.status for each in answers] == [502, 502]


async def test_length_of_a_chunked_answer_is_not_forwarded(tmp_path):
    async def run(peer: Peer) -> None:
        head = make_head(
            peer.request, content_length='50', transfer_encoding='chunked'
        )
        await peer.send(head + make_chunk(b'booked') + b'0\r\n\r\n')

    async with (
        staging(tmp_path, run) as stage,
        calling(stage.address) as caller,
    ):
        answers = [await caller.ask('/once/1') for _ in range(2)]
    assert [each.body for each in answers] == [b'booked', b'booked']
    assert all(each.is_whole for each in answers)


def _open_narrow(host: str, port: int) -> socket.socket:
    """Open a listener whose connections send a few kilobytes ahead."""
    listener = open_listener(host, port)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
    return listener


def _ask_without_reading(
    address: tuple[str, int], **headers: str
) -> socket.socket:
    """Send a request on a connection that receives little ahead."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
    connection.connect(address)
    named = {'connection': 'keep-alive', **headers}
    connection.sendall(make_request('/once/1', **named))
    return connection


async def _wait_logged(stage: Stage, event: str) -> None:
    with anyio.fail_after(_WAIT):
        while not list_events(stage.log, event):
            await anyio.sleep(_POLL)


@contextlib.asynccontextmanager
async def _staging_narrow(
    directory: Path, body: bytes
) -> AsyncGenerator[Stage, None]:
    async def run(peer: Peer) -> None:
        await peer.answer(body=body)

    route = {**ROUTE, 'timeoutMs': 9_000}
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(shell, 'open_listener', _open_narrow)
        async with staging(
            directory, run, configuration={**CONFIGURATION, 'routes': [route]}
        ) as stage:
            yield stage


# Guards against an answer that loses its end when the process ends while the
# caller's link is slow.
async def test_stop_waits_until_the_end_of_an_answer_was_sent(tmp_path):
    body = b'x' * 80_000
    async with _staging_narrow(tmp_path, body) as stage:
        connection = _ask_without_reading(
            stage.address, oleanderdyke_deadline_ms='9000'
        )
        await _wait_logged(stage, 'request_finished')
        signal.raise_signal(signal.SIGTERM)
        await anyio.sleep(3.5)
        finished_early = list_events(stage.log, 'drain_finished')
        reader, writer = await asyncio.open_connection(sock=connection)
        found = await Caller(reader, writer).read()
        writer.close()
        await _wait_logged(stage, 'process_stopped')
    assert not finished_early
    assert found.body == body


async def test_stop_waits_for_an_unread_answer_no_longer_than_its_caller(
    tmp_path,
):
    async with _staging_narrow(tmp_path, b'x' * 80_000) as stage:
        with _ask_without_reading(
            stage.address, oleanderdyke_deadline_ms='3500'
        ):
            await _wait_logged(stage, 'request_finished')
            signal.raise_signal(signal.SIGTERM)
            # Less than the grace time leaves.
            await _wait_logged(stage, 'process_stopped')


async def test_idle_time_that_changes_ends_no_running_request(tmp_path):
    held = Held()
    limits = {**CONFIGURATION['limits'], 'idleTimeoutMs': 1_000}
    route = {**ROUTE, 'timeoutMs': 9_000}
    changes = {'limits': limits, 'routes': [route]}
    async with (
        staging(
            tmp_path, held.answer, configuration={**CONFIGURATION, **changes}
        ) as stage,
        calling(stage.address) as caller,
    ):
        caller.send('/once/held', oleanderdyke_deadline_ms='9000')
        await held.begun.wait()
        for version, idle in ((8, 300), (9, 100), (10, 2_000)):
            limits = {**limits, 'idleTimeoutMs': idle}
            await configure(
                stage, version=version, limits=limits, routes=[route]
            )
            await anyio.sleep(0.5)
        held.released.set()
        found = await caller.read()
        following = await caller.ask('/once/2')
    assert (found.status, following.status) == (200, 200)


_CHANGES = {
    'route is removed': {'routes': []},
    'route is moved': {'routes': [{**ROUTE, 'service': 'other'}]},
    'timeout is shorter': {'routes': [{**ROUTE, 'timeoutMs': 100}]},
    'service is removed': {
        'routes': [{**ROUTE, 'service': 'other'}],
        'services': [{'name': 'other'}],
    },
    'key is removed': {'tenants': [{'name': 'red', 'apiKeys': ['another']}]},
    'limits are lower': {
        'limits': {
            **CONFIGURATION['limits'],
            'maxBodyBytes': 1,
            'idleTimeoutMs': 1,
        }
    },
}


@pytest.mark.parametrize('changes', _CHANGES.values(), ids=_CHANGES)
async def test_configuration_that_changes_ends_no_running_request(
    tmp_path, changes
):
    held = Held()
    async with (
        staging(tmp_path, held.answer) as stage,
        calling(stage.address) as caller,
    ):
        caller.send('/once/held')
        await held.begun.wait()
        await configure(stage, version=9, **changes)
        await anyio.sleep(0.2)
        held.released.set()
        found = await caller.read()
    assert (found.status, found.body) == (200, b'/once/held')


@pytest.mark.parametrize('changes', _CHANGES.values(), ids=_CHANGES)
async def test_request_that_waits_for_a_server_is_answered_beside_a_change(
    tmp_path, changes
):
    async with staging(tmp_path, answer_well) as stage:
        address = stage.core.backends.find('i-0').record.address
        stage.store.drop(SERVERS, 'i-0')
        with anyio.fail_after(_WAIT):
            while stage.core.backends.list_service(
                'desk', stage.core.clock.now()
            ):
                await anyio.sleep(_POLL)
        async with calling(stage.address) as caller:
            caller.send('/once/1')
            with anyio.fail_after(_WAIT):
                while not stage.core.running:
                    await anyio.sleep(_POLL)
            await configure(stage, version=9, **changes)
            stage.store.put(SERVERS, 'i-1', make_record(address))
            found = await caller.read()
    assert found.status in {200, 503}
    assert found.is_whole


async def test_request_whose_body_arrives_beside_a_change_is_answered(
    tmp_path,
):
    async with (
        staging(tmp_path, answer_well) as stage,
        calling(stage.address) as caller,
    ):
        request = caller.make('/once/1', content_length='4')
        caller.write(request + b'ha')
        await anyio.sleep(0.1)
        await configure(stage, version=9, **_CHANGES['service is removed'])
        caller.write(b'lf')
        found = await caller.read()
    assert found.status in {200, 503}
    assert found.is_whole


@pytest.mark.parametrize('size', [100_000, 4_000_000])
async def test_refusal_reaches_a_caller_whose_body_was_not_read(tmp_path, size):
    def ask(address: tuple[str, int]) -> bytes:
        with socket.create_connection(address, timeout=_WAIT) as connection:
            headers = {'oleanderdyke_key': 'unknown', 'connection': 'close'}
            body = b'x' * size
            # The entry may close before it has got all of the body.
            with contextlib.suppress(ConnectionError):
                connection.sendall(
                    make_request('/once/1', body=body, **headers)
                )
            time.sleep(0.2)
            return connection.recv(_PIECE)

    async with staging(tmp_path, answer_well) as stage:
        found = await anyio.to_thread.run_sync(ask, stage.address)
    assert found.startswith(b'HTTP/1.1 401 ')
    assert found.endswith(b'"ran": "no"}')


async def test_connection_above_the_limit_is_closed_before_it_is_read(
    tmp_path, monkeypatch
):
    make_http = shell._make_http

    def make_small(callers: tuple[str, int]) -> HttpSettings:
        return dataclasses.replace(make_http(callers), connections=2)

    monkeypatch.setattr(shell, '_make_http', make_small)
    async with (
        staging(tmp_path, answer_well) as stage,
        calling(stage.address) as first,
        calling(stage.address) as second,
    ):
        assert (await first.ask('/once/1')).status == 200
        assert (await second.ask('/once/1')).status == 200
        async with calling(stage.address) as third:
            third.send('/once/1')
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await third.read()
        assert (await first.ask('/once/2')).status == 200
        assert len(stage.replicas[0].received) == 3


# Guards against an entry that ends, with all its requests, on a time that no
# timer can be set to.
@pytest.mark.parametrize('limit', ['1e999', '-1'])
async def test_idle_time_without_bounds_is_refused(tmp_path, limit):
    text = f'{{"version": 9, "limits": {{"idleTimeoutMs": {limit}}}}}'
    async with staging(tmp_path, answer_well) as stage:
        stage.store.find(OPERATOR).put('config', text.encode())
        await anyio.sleep(0.5)
        assert (await stage.call('/once/1')).status == 200


# Guards against a stream that is cut because its server is silent for a while
# and no other one has room: the caller would have got the rest.
@pytest.mark.parametrize('count', [1, 2])
async def test_stream_of_a_silent_server_is_not_cut_for_want_of_room(
    tmp_path, count
):
    arrivals = []

    async def run(peer: Peer) -> None:
        arrivals.append(peer.request.headers.get('last-event-id'))
        if 1 < len(arrivals) < 5:
            await shed(peer)
            return
        first = int(arrivals[-1] or 0) + 1
        await send_events(peer, first, 2)
        await anyio.sleep(0.9)
        await peer.send(make_chunk(make_event(3)) + b'0\r\n\r\n')

    route = {**STREAM_ROUTE, 'timeoutMs': 9_000}
    async with staging(
        tmp_path,
        *([run] * count),
        configuration={**CONFIGURATION, 'routes': [route]},
    ) as stage:
        found = await stage.call('/stream/1', oleanderdyke_deadline_ms='8000')
    assert found.is_whole
    assert found.body == b''.join(map(make_event, range(1, 4)))


async def test_stream_that_waits_for_room_ends_at_its_deadline(tmp_path):
    arrivals = []

    async def run(peer: Peer) -> None:
        arrivals.append(peer)
        if len(arrivals) > 1:
            await shed(peer)
            return
        await send_events(peer, 1, 2)
        await peer.wait_closed()

    async with staging(tmp_path, run) as stage:
        begun = stage.core.clock.now()
        found = await stage.call('/stream/1', oleanderdyke_deadline_ms='2000')
        lasted = stage.core.clock.now() - begun
    assert not found.is_whole
    assert 1_900 < lasted < 2_500
    assert len(arrivals) < 9
