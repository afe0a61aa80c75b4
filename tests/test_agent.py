"""Runs, claims, streams, drain and orders of one agent."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import io
import json
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import replace
from random import Random
from typing import Any

import anyio
import pytest

from agents import (
    TEAM,
    ConfigurationSource,
    FakeEntry,
    connect_entry,
    make_settings,
    make_source,
    run_agent,
    wait_until,
)
from oleanderdyke.agent import main as agent_main
from oleanderdyke.agent.backend import Backend, JsonObject
from oleanderdyke.agent.configuration import Configuration
from oleanderdyke.agent.engine import EngineView
from oleanderdyke.agent.settings import BackendSettings, RunSettings
from oleanderdyke.clock import ManualClock
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel.drain import DrainSettings
from oleanderdyke.kernel.objects import (
    ModelVersionSpec,
    ObjectKind,
    ServiceKind,
    ServiceSpec,
    TeamSpec,
)
from oleanderdyke.kernel.stream_buffer import StreamLimits
from oleanderdyke.links.messages import (
    AgentPhase,
    BackendKind,
    Cancel,
    ConfigurationDifference,
    ConfigurationRequest,
    Credit,
    DrainRequest,
    Message,
    Refused,
    Resume,
    Superseded,
)
from oleanderdyke.links.messages.claims import (
    ClaimAnswer,
    ClaimQuery,
    ClaimState,
)
from oleanderdyke.links.messages.segments import SegmentWritten
from oleanderdyke.logs import make_event_log, parse_line
from standins import engine, plain, server, weights

pytestmark = pytest.mark.anyio
BIG = 8 * 1024 * 1024
SERVICE = 'taquilla'


@contextlib.asynccontextmanager
async def plain_agent(
    **more: Any,
) -> AsyncGenerator[tuple[plain.PlainService, Any, FakeEntry], None]:
    app = plain.make_app(die=lambda: None)
    async with server.serving(app) as (address,):
        settings = make_settings(BackendKind.PLAIN, address, SERVICE, **more)
        async with run_agent(settings) as shell, connect_entry(shell) as entry:
            await entry.wait_serving()
            yield app, shell, entry


def set_faults(app: plain.PlainService, **faults: Any) -> None:
    app.faults = plain.PlainFaults(**faults)


async def ask_claim(entry: FakeEntry, claim: Any) -> ClaimAnswer:
    before = len(entry.messages)
    await entry.link.send(ClaimQuery('q', TEAM, claim))

    def find() -> list[ClaimAnswer]:
        found = entry.messages[before:]
        return [each for each in found if isinstance(each, ClaimAnswer)]

    await wait_until(lambda: bool(find()))
    return find()[0]


async def test_answer_comes_back_whole_with_count_and_digest() -> None:
    async with plain_agent() as (_, _, entry):
        body = [bytes([each]) * 70_000 for each in range(4)]
        dispatch = entry.make_dispatch('r', path='/echo')
        outcome = await entry.send(dispatch, *body)
        for _ in range(4):
            await entry.link.send(Credit('r', 1, 16))
        await wait_until(lambda: outcome.over)
        assert outcome.end is not None
        assert outcome.body == b''.join(body)
        assert outcome.end.count == len(outcome.chunks)
        digest = hashlib.blake2b(outcome.body, digest_size=16).digest()
        assert outcome.end.digest == digest


async def test_reading_stops_without_credit_and_goes_on_with_it() -> None:
    limits = StreamLimits(stream_bytes=128 * 1024, credit=4)
    async with plain_agent(streams=limits) as (app, shell, entry):
        set_faults(app, big=BIG)
        dispatch = entry.make_dispatch('r', method='GET', idempotent=True)
        outcome = await entry.send(dispatch, b'')
        await wait_until(lambda: len(outcome.chunks) == 4)
        beats = entry.beats
        await wait_until(lambda: entry.beats > beats + 5)
        assert len(outcome.chunks) == 4
        held = shell._streams.held_bytes
        assert held <= 2 * limits.stream_bytes
        await entry.link.send(Credit('r', 1, 100_000))
        await wait_until(lambda: outcome.over)
        assert len(outcome.body) == BIG


async def test_hop_by_hop_headers_and_credentials_are_not_forwarded() -> None:
    seen: dict[str, str] = {}

    async def app(scope: Any, _receive: Any, send: Any) -> None:
        seen.update((k.decode(), v.decode()) for k, v in scope['headers'])
        headers = [(b'x-kept', b'1'), (b'x-named', b'1')]
        headers.append((b'connection', b'x-named'))
        start = {'type': 'http.response.start', 'status': 200}
        await send(start | {'headers': headers})
        await send({'type': 'http.response.body', 'body': b''})

    async with server.serving(app) as (address,):
        settings = make_settings(BackendKind.PLAIN, address, SERVICE)
        async with run_agent(settings) as shell, connect_entry(shell) as entry:
            await entry.wait_serving()
            headers = (
                ('authorization', 'Bearer x'),
                ('te', 'trailers'),
                ('x-own', '1'),
            )
            dispatch = entry.make_dispatch('r', headers=headers)
            outcome = await entry.call(dispatch, b'')
    assert outcome.head is not None
    assert dict(outcome.head.headers).get('x-kept') == '1'
    assert 'x-named' not in dict(outcome.head.headers)
    assert seen['x-own'] == '1'
    assert not {'authorization', 'te'} & set(seen)


async def test_keyed_run_is_recorded_and_never_repeated() -> None:
    async with plain_agent() as (app, _, entry):
        claim = entry.make_claim('k')
        first = entry.make_dispatch('r', claim=claim)
        outcome = await entry.call(first, b'booking')
        again = entry.make_dispatch('r2', claim=claim)
        repeated = await entry.call(again, b'booking')
        answer = await ask_claim(entry, claim)
        assert answer.state is ClaimState.FINISHED
        assert answer.body == outcome.body
        assert repeated.failed is not None
        assert sum(app.runs.values()) == 1


async def test_keyed_run_with_too_long_an_answer_is_known_to_have_ended() -> (
    None
):
    async with plain_agent(runs=RunSettings(record_bytes=10)) as parts:
        app, _, entry = parts
        set_faults(app, big=11)
        claim = entry.make_claim('k')
        outcome = await entry.call(
            entry.make_dispatch('r', claim=claim), b'booking'
        )
        assert outcome.end is not None
        answer = await ask_claim(entry, claim)
        assert (answer.state, answer.status) == (ClaimState.FINISHED, 0)


async def test_claimed_run_goes_on_without_its_caller() -> None:
    async with plain_agent() as (app, shell, entry):
        set_faults(app, slow=200.0)
        async with connect_entry(shell, name='e2') as other:
            claim = other.make_claim('k')
            await other.send(other.make_dispatch('r', claim=claim), b'x')
            await other.send(other.make_dispatch('r3', claim=None), b'y')
            await other.link.send(Cancel('r', 1))
            await anyio.sleep(0.05)
        await wait_until(lambda: sum(app.runs.values()) == 2)
        await wait_until(lambda: shell._gate.running == 0)
        answer = await ask_claim(entry, claim)
        assert answer.state is ClaimState.FINISHED
        assert answer.status == 201


async def test_cancel_closes_the_backend_connection() -> None:
    came, gone = anyio.Event(), anyio.Event()

    async def app(_scope: Any, receive: Any, _send: Any) -> None:
        came.set()
        while (await receive())['type'] != 'http.disconnect':
            pass
        gone.set()

    async with server.serving(app) as (address,):
        settings = make_settings(BackendKind.PLAIN, address, SERVICE)
        async with run_agent(settings) as shell, connect_entry(shell) as entry:
            await entry.wait_serving()
            await entry.send(entry.make_dispatch('r'), b'x')
            await came.wait()
            await entry.link.send(Cancel('r', 1))
            with anyio.fail_after(10):
                await gone.wait()
            await wait_until(lambda: shell._gate.running == 0)
            assert ('r', 1) not in {
                key for key, each in entry.outcomes.items() if each.over
            }


async def test_unwanted_run_ends_with_the_link_of_its_entry() -> None:
    async with plain_agent() as (app, shell, entry):
        set_faults(app, silent=True)
        async with connect_entry(shell, name='e2') as other:
            dispatch = other.make_dispatch('r', method='GET', idempotent=True)
            await other.send(dispatch, b'')
            await wait_until(lambda: shell._gate.running == 1)
        await wait_until(lambda: shell._gate.running == 0)
        assert entry.beat is not None


@pytest.mark.parametrize(
    ('deadline', 'ran'), [(300.0, Ran.MAYBE), (0.0, Ran.NO)]
)
async def test_deadline_error_says_whether_the_request_may_have_run(
    deadline: float, ran: Ran
) -> None:
    async with plain_agent() as (app, _, entry):
        set_faults(app, silent=True)
        dispatch = entry.make_dispatch('r', deadline=deadline)
        outcome = await entry.call(dispatch, b'x')
        assert outcome.failed is not None
        assert outcome.failed.kind is ErrorKind.DEADLINE
        assert outcome.failed.ran is ran


@pytest.mark.parametrize('key', ['k', ''])
async def test_body_that_is_cut_off_reaches_no_service(key: str) -> None:
    async with plain_agent() as (app, shell, entry):
        async with connect_entry(shell, name='e2') as other:
            claim = other.make_claim(key) if key else None
            dispatch = other.make_dispatch('r', claim=claim)
            await other.link.send(dispatch)
            await wait_until(lambda: shell._gate.running == 1)
        await wait_until(lambda: shell._gate.running == 0)
        assert not app.runs
        outcome = await entry.call(entry.make_dispatch('r2'), b'x')
        assert outcome.end is not None


async def test_too_large_a_body_is_refused() -> None:
    async with plain_agent() as (app, _, entry):
        claim = entry.make_claim('k')
        dispatch = entry.make_dispatch('r', claim=claim)
        parts = [bytes(500_000)] * 18
        outcome = await entry.call(dispatch, *parts)
        assert outcome.failed is not None
        assert outcome.failed.kind is ErrorKind.BODY_TOO_LARGE
        assert outcome.failed.ran is Ran.NO
        assert not app.runs


# Bodies that stood still held all that an agent allows: others were refused.
async def test_bodies_that_stand_still_make_room_for_whole_ones() -> None:
    limits = RunSettings(body_bytes=1024 * 1024)
    async with plain_agent(runs=limits) as (app, _, entry):
        stalled = []
        for name in ('s1', 's2'):
            claim = entry.make_claim(name)
            dispatch = entry.make_dispatch(name, claim=claim)
            stalled.append(
                await entry.send_unfinished(dispatch, bytes(500_000))
            )
        outcome = await entry.call(entry.make_dispatch('r'), bytes(300_000))
        assert outcome.end is not None
        await wait_until(lambda: stalled[0].over)
        assert stalled[0].failed is not None
        assert stalled[0].failed.kind is ErrorKind.OVERLOADED
        assert stalled[0].failed.ran is Ran.NO
        assert not stalled[1].over
        assert len(app.runs) == 1


# Guards the bound for whole bodies, of which the last to come is refused.
async def test_whole_bodies_stay_within_their_bound() -> None:
    limits = RunSettings(body_bytes=600_000)
    async with plain_agent(runs=limits) as (app, _, entry):
        set_faults(app, silent=True)
        first, _, third = [
            await entry.send(entry.make_dispatch(name), bytes(400_000))
            for name in ('a', 'b', 'c')
        ]
        await wait_until(lambda: third.over)
        assert third.failed is not None
        assert third.failed.kind is ErrorKind.OVERLOADED
        assert not first.over


async def test_stream_resumes_through_another_entry() -> None:
    limits = StreamLimits(credit=4)
    async with plain_agent(streams=limits) as (app, shell, entry):
        set_faults(app, big=BIG)
        async with connect_entry(shell, name='e2') as other:
            dispatch = other.make_dispatch('r', method='GET', idempotent=True)
            first = await other.send(dispatch, b'')
            await wait_until(lambda: len(first.chunks) == 4)
            assert first.head is not None
        token = first.head.resume
        bad = Resume('bad', 1, 'otra', token, 3)
        await entry.link.send(bad)
        await entry.link.send(Resume('again', 7, TEAM, token, 3))
        await entry.link.send(Credit('again', 7, 100_000))
        await wait_until(
            lambda: (
                ('again', 7) in entry.outcomes
                and entry.outcomes['again', 7].over
            )
        )
        rest = entry.outcomes['again', 7]
        assert rest.end is not None
        whole = {**first.chunks, **rest.chunks}
        assert sorted(whole) == list(range(rest.end.count))
        assert sum(map(len, whole.values())) == BIG
        refused = entry.outcomes['bad', 1].failed
        assert refused is not None
        assert refused.kind is ErrorKind.STREAM_GONE


async def test_unread_stream_is_closed() -> None:
    limits = StreamLimits(credit=4, hold=300.0)
    async with plain_agent(streams=limits) as (app, shell, entry):
        set_faults(app, big=BIG)
        dispatch = entry.make_dispatch('r', method='GET', idempotent=True)
        outcome = await entry.call(dispatch, b'')
        assert outcome.failed is not None
        assert outcome.failed.kind is ErrorKind.STREAM_BROKEN
        await wait_until(lambda: shell._gate.running == 0)


class CrashingService:
    """A service that accepts runs and then crashes with all of them."""

    def __init__(self) -> None:
        self.accepted = 0
        self.crash = anyio.Event()

    async def serve(self, ready: Callable[[str], Awaitable[None]]) -> None:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        host, port = listener.listeners[0].extra(
            anyio.abc.SocketAttribute.local_address
        )

        async def handle(stream: Any) -> None:
            async with stream:
                with contextlib.suppress(anyio.EndOfStream):
                    await stream.receive()
                    self.accepted += 1
                    await self.crash.wait()

        async def accept() -> None:
            try:
                await listener.serve(handle)
            except* anyio.ClosedResourceError:
                pass

        async with anyio.create_task_group() as group:
            group.start_soon(accept)
            await ready(f'{host}:{port}')
            await self.crash.wait()
            await listener.aclose()
            group.cancel_scope.cancel()


async def test_crash_ends_every_run_as_suspect() -> None:
    service = CrashingService()

    async def ready(address: str) -> None:
        settings = make_settings(BackendKind.PLAIN, address, SERVICE)
        group.start_soon(check, settings)

    async def check(settings: Any) -> None:
        async with (
            run_agent(settings, logged) as shell,
            connect_entry(shell) as entry,
        ):
            await entry.wait_serving()
            claim = entry.make_claim('k')
            one = await entry.send(entry.make_dispatch('r1', claim=claim), b'x')
            two = await entry.send(entry.make_dispatch('r2'), b'y')
            await wait_until(lambda: service.accepted == 2)
            service.crash.set()
            await wait_until(lambda: one.over and two.over)
            for outcome in (one, two):
                assert outcome.failed is not None
                assert outcome.failed.kind is ErrorKind.BACKEND_LOST
                assert outcome.failed.ran is Ran.MAYBE
            assert entry.beat is not None
            assert entry.beat.phase is AgentPhase.STARTING
            suspects = {each.split('@')[0] for each in entry.beat.suspects}
            assert suspects == {'r1', 'r2'}
            pairs = [parse_line(x) for x in logged.getvalue().splitlines()]
            told = [x for x in pairs if x['event'] == 'request_suspected']
            assert {x['request'] for x in told} == {'r1', 'r2'}
            late = await entry.call(entry.make_dispatch('r3'), b'z')
            assert late.failed is not None
            assert late.failed.kind is ErrorKind.NOT_READY
            assert late.failed.ran is Ran.NO
            answer = await ask_claim(entry, claim)
            assert answer.state is ClaimState.UNKNOWN
            done.set()

    logged = io.StringIO()
    done = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(service.serve, ready)
        await done.wait()


async def test_run_that_nobody_reads_has_started_once_it_answers() -> None:
    begin = anyio.Event()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if await reader.read(1000):
            await begin.wait()
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n')
            await reader.read()
        writer.close()

    service = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = service.sockets[0].getsockname()[1]
    settings = make_settings(BackendKind.PLAIN, f'127.0.0.1:{port}', SERVICE)
    async with run_agent(settings) as shell, connect_entry(shell) as entry:
        await entry.wait_serving()
        claim = entry.make_claim('k')
        await entry.send(entry.make_dispatch('r', claim=claim), b'x')
        await wait_until(lambda: shell._gate.running == 1)
        await entry.link.send(Cancel('r', 1))
        await ask_claim(entry, claim)
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(shell._runs.wait_started)
                await anyio.sleep(0)
                begin.set()
        assert shell._gate.running == 1
    service.close()


async def test_drain_refuses_new_runs_and_waits_for_running_ones() -> None:
    drain = DrainSettings(announce=100.0)
    async with plain_agent(drain=drain) as (app, shell, entry):
        set_faults(app, slow=600.0)
        async with connect_entry(shell, name='e2') as other:
            running_one = await entry.send(entry.make_dispatch('r'), b'x')
            await wait_until(lambda: shell._gate.running == 1)
            await entry.link.send(DrainRequest('op'))
            await wait_until(
                lambda: all(
                    each.beat is not None
                    and each.beat.phase is AgentPhase.LEAVING
                    for each in (entry, other)
                )
            )
            late = await other.call(other.make_dispatch('r2'), b'x')
            assert late.failed is not None
            assert late.failed.kind is ErrorKind.LEAVING
            assert late.failed.ran is Ran.NO
            await wait_until(lambda: running_one.over)
            assert running_one.end is not None
            await wait_until(lambda: entry.link.closed and other.link.closed)


# A repeated stop signal of the platform cut off runs that had time left.
async def test_further_stop_signal_leaves_remaining_runs_alone() -> None:
    async with plain_agent() as (app, shell, entry):
        set_faults(app, silent=True)
        outcome = await entry.send(entry.make_dispatch('r'), b'x')
        await wait_until(lambda: shell._gate.running == 1)
        for _ in range(3):
            shell.stop('SIGTERM')
        await anyio.sleep(0.2)
        assert shell._gate.running == 1
        assert not outcome.over


async def test_second_interrupt_cuts_off_remaining_runs() -> None:
    async with plain_agent() as (app, shell, entry):
        set_faults(app, silent=True)
        outcome = await entry.send(entry.make_dispatch('r'), b'x')
        await wait_until(lambda: shell._gate.running == 1)
        shell.stop('SIGINT')
        shell.stop('SIGINT')
        await wait_until(lambda: outcome.over)
        assert outcome.failed is not None
        assert outcome.failed.kind is ErrorKind.STOPPING
        assert outcome.failed.ran is Ran.MAYBE
        await wait_until(lambda: entry.link.closed)


async def test_configuration_passes_from_entry_to_entry() -> None:
    source = ConfigurationSource((ObjectKind.TEAM, TEAM, TeamSpec()))
    async with plain_agent() as (_, shell, behind):
        async with connect_entry(shell, source, name='e2') as ahead:
            await ahead.send_offset()
            await wait_until(
                lambda: behind.beat is not None and behind.beat.offset == 0
            )
        await behind.link.send(ConfigurationRequest(-1))
        await wait_until(
            lambda: any(
                isinstance(each, ConfigurationDifference)
                for each in behind.messages
            )
        )


class SilentLink:
    """A link to an entry; the test supplies the answers."""

    name = 'entry-1'

    def put(self, message: Message) -> None:
        """Discard the message."""


@pytest.mark.parametrize('unanswered', [1, 15, 16, 17, 40])
def test_an_answer_confirms_no_request_after_its_own(
    unanswered: int,
) -> None:
    clock = ManualClock()
    configuration = Configuration(
        clock=clock,
        random=Random(7),
        events=make_event_log('a', stream=io.StringIO()),
    )
    entry: Any = SilentLink()
    configuration.add_entry(entry)
    asked = []
    for _ in range(unanswered):
        # The copy is behind and requests the missing records every two
        # seconds.
        configuration.on_peer_offset(entry, 1)
        asked.append(clock.now())
        clock.advance(3_000.0)
    for at in asked:
        configuration.on_difference(entry, ConfigurationDifference(-1, -1))
        assert configuration.confirmed_at <= at
    clock.advance(3_000.0)
    configuration.on_peer_offset(entry, 1)
    configuration.on_difference(entry, ConfigurationDifference(-1, -1))
    assert configuration.confirmed_at == clock.now()


async def test_message_not_for_an_agent_is_refused() -> None:
    async with plain_agent() as (_, _, entry):
        await entry.link.send(SegmentWritten('r', b'', sealed=True))
        await wait_until(
            lambda: any(isinstance(each, Refused) for each in entry.messages)
        )


@contextlib.asynccontextmanager
async def engine_agent(
    **more: Any,
) -> AsyncGenerator[tuple[engine.Engine, ConfigurationSource, FakeEntry], None]:
    store = weights.make_app()
    async with server.serving(store) as (weight_address,):
        app = engine.make_app(
            engine.EngineSettings(weights=weight_address, **more)
        )
        async with server.serving(app) as (address,):
            settings = make_settings(BackendKind.ENGINE, address, 'asistente')
            source = make_source(find_digest('1'))
            async with (
                run_agent(settings) as shell,
                connect_entry(shell, source) as entry,
            ):
                await entry.send_offset()
                await entry.wait_weights(find_digest('1'))
                yield app, source, entry


def find_digest(version: str) -> str:
    return weights.make_digest('modelo', version)


def make_chat(text: str = 'x' * 3000, **more: Any) -> bytes:
    messages = [{'role': 'user', 'content': text}]
    return json.dumps({'messages': messages} | more).encode()


def publish_second(source: ConfigurationSource) -> None:
    source.publish(
        ObjectKind.MODEL_VERSION,
        'v2',
        ModelVersionSpec('modelo', '2', find_digest('2')),
    )
    service = ServiceSpec(ServiceKind.MODEL, model='modelo', version='2')
    source.publish(ObjectKind.SERVICE, 'asistente', service, expected=1)


@pytest.mark.parametrize('options', [{'stream': True}, {'stream': False}])
async def test_prefix_is_reused_and_the_answer_counts_tokens(
    options: dict[str, bool],
) -> None:
    async with engine_agent() as (app, _, entry):
        body = make_chat(**options)
        first = await entry.call(entry.make_chat('r1'), body)
        second = await entry.call(entry.make_chat('r2'), body)
        assert first.end is not None
        assert second.end is not None
        assert first.end.recomputed_tokens == first.end.prompt_tokens
        assert second.end.recomputed_tokens < 256
        assert app.stats.corrupt_used == 0


async def test_another_namespace_never_reaches_the_engine() -> None:
    async with engine_agent() as (app, _, entry):
        wrong = replace(entry.make_chat('r'), namespace=bytes(32))
        outcome = await entry.call(wrong, make_chat())
        assert outcome.failed is not None
        assert outcome.failed.kind is ErrorKind.PROTOCOL
        assert outcome.failed.ran is Ran.NO
        assert not app.stats.runs


async def test_new_version_is_ordered_and_the_old_one_refused() -> None:
    async with engine_agent() as (app, source, entry):
        old = entry.make_chat('old')
        publish_second(source)
        await entry.send_offset()
        await entry.wait_weights(find_digest('2'))
        refused = await entry.call(old, make_chat())
        assert refused.failed is not None
        assert refused.failed.kind is ErrorKind.WRONG_VERSION
        assert refused.failed.ran is Ran.NO
        outcome = await entry.call(entry.make_chat('new'), make_chat())
        assert outcome.end is not None
        assert app.stats.orders_refused == 0


async def test_superseded_agent_drains_and_sends_no_more_orders() -> None:
    async with engine_agent(decode_ms=60.0) as (app, source, entry):
        chat = entry.make_chat('r')
        running_one = await entry.send(chat, make_chat(max_tokens=30))
        await wait_until(lambda: running_one.head is not None)
        process = entry.link.peer.process
        await entry.link.send(Superseded(process, 'another'))
        beats = entry.beats
        await wait_until(lambda: entry.beats > beats + 1)
        assert entry.beat is not None
        assert entry.beat.phase is AgentPhase.SERVING
        await entry.link.send(Superseded(process, chat.incarnation))
        await wait_until(
            lambda: (
                entry.beat is not None
                and entry.beat.phase is AgentPhase.LEAVING
            )
        )
        taken = app.stats.orders_taken
        publish_second(source)
        await entry.send_offset()
        offset = source.reader.offset
        await wait_until(
            lambda: entry.beat is not None and entry.beat.offset == offset
        )
        await wait_until(lambda: running_one.over)
        assert running_one.end is not None
        assert app.stats.orders_taken == taken


async def test_order_waits_for_runs_that_have_not_begun_to_answer() -> None:
    async with engine_agent(decode_ms=60.0) as (app, source, entry):
        body = make_chat(stream=False)
        running_one = await entry.send(entry.make_chat('r'), body)
        await wait_until(lambda: bool(app.stats.runs))
        service = ServiceSpec(
            ServiceKind.MODEL, model='modelo', version='1', adapter='a'
        )
        source.publish(ObjectKind.SERVICE, 'asistente', service, expected=1)
        await entry.send_offset()
        await wait_until(lambda: app.loaded.adapter == 'a')
        assert app.stats.finished == 1
        await wait_until(lambda: running_one.over)
        assert running_one.end is not None


def make_page(*events: tuple[int, str, int]) -> dict[str, Any]:
    rows = [[n, kind, bytes([each] * 32).hex()] for n, kind, each in events]
    return {'first': 1, 'next': events[-1][0] + 1, 'events': rows}


def test_lost_cache_events_drop_the_least_recently_used_segments() -> None:
    log = make_event_log('a', stream=io.StringIO())
    view = EngineView(
        Backend(BackendSettings(BackendKind.ENGINE, '127.0.0.1:1', 's')),
        clock=ManualClock(),
        events=log,
        on_loaded=lambda _: None,
    )

    def list_known() -> list[int]:
        view.segments.drain()
        listed = view.segments.list_all()
        return sorted(seg[0] for each in listed for seg in each.added)

    stored = [(n, 'stored', n) for n in range(1, 6)]
    view._apply_events(make_page(*stored))
    assert list_known() == [1, 2, 3, 4, 5]
    view.record_use([bytes([1] * 32)])
    view._apply_events(make_page((8, 'removed', 4)))
    assert list_known() == [1, 5]
    view._apply_events(make_page((1, 'stored', 9)))
    assert list_known() == []


async def test_engine_state_is_as_old_as_its_request() -> None:
    clock = ManualClock()

    class SlowEngine(Backend):
        async def get_json(self, path: str) -> JsonObject:
            clock.advance(900.0)
            return {'model': 'm', 'version': '1', 'digest': 'd'}

    view = EngineView(
        SlowEngine(BackendSettings(BackendKind.ENGINE, '127.0.0.1:1', 's')),
        clock=clock,
        events=make_event_log('a', stream=io.StringIO()),
        on_loaded=lambda _: None,
    )
    observed = await view.read_state()
    assert observed.read_at == 0.0
    assert observed.took == 900.0


@pytest.mark.parametrize(
    ('text', 'code', 'shown'),
    [
        ('process: a', 2, 'data_centre'),
        ('{process: a, data_centre: d, keeper: x, backend: %s}', 2, 'keeper'),
        (
            '{process: a, data_centre: d, backend: %s, listen: %l}',
            2,
            'listen.host',
        ),
        ('{process: a, data_centre: d, backend: %s}', 0, ''),
    ],
)
def test_check_of_settings_sets_the_exit_code(
    tmp_path: Any, capsys: Any, text: str, code: int, shown: str
) -> None:
    path = tmp_path / 'agent.yaml'
    backend = "{kind: plain, address: '127.0.0.1:1', service: s}"
    text = text.replace('%s', backend).replace('%l', '{host: 10.0.0.1}')
    path.write_text(text)
    assert agent_main.main(['--settings', str(path), '--check']) == code
    assert shown in capsys.readouterr().err


# Guards against ORDER in our own mode: an agent passed on a stream that ended
# with its connection within an event as complete.
@pytest.mark.parametrize('rest', [b'data: wo', b'data: word\n', b''])
async def test_stream_that_ends_within_an_event_is_reported_as_broken(
    rest: bytes,
) -> None:
    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n'
                b'data: first\r\n\r\n' + rest
            )
            await writer.drain()
        writer.close()

    backend = await asyncio.start_server(answer, '127.0.0.1', 0)
    host, port = backend.sockets[0].getsockname()
    settings = make_settings(BackendKind.PLAIN, f'{host}:{port}', SERVICE)
    async with run_agent(settings) as shell, connect_entry(shell) as entry:
        await entry.wait_serving()
        outcome = await entry.call(entry.make_dispatch('r'), b'x')
    backend.close()
    assert (outcome.end is None) is bool(rest)
    assert (outcome.failed is not None) is bool(rest)
