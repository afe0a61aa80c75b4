from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio import wait_all_tasks_blocked
from anyio.abc import TaskGroup

from oleanderdyke.clients.log import LogPage, LogRecord
from oleanderdyke.entry.configuration import ConfigurationFeed
from oleanderdyke.entry.main import main
from oleanderdyke.entry.settings import EntrySettings, find_faults
from oleanderdyke.entry.tokens import StreamToken, encode_token
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel.claim_records import (
    CarriedRecord,
    ClaimRecord,
    decode_batch,
)
from oleanderdyke.kernel.demand import (
    Admitted,
    Demand,
    Fleet,
    Queued,
    Refusal,
)
from oleanderdyke.kernel.objects import ObjectKind
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    BackendKind,
    BodyChunk,
    Cancel,
    ConfigurationDifference,
    ConfigurationRequest,
    Credit,
    Dispatch,
    Failed,
    Message,
    Resume,
)
from tests.edges import TOKEN, Caller, Edge, FakeLink, Reply, Writer

pytestmark = pytest.mark.anyio

CHAT = '/v1/chat/completions'
BOOKINGS = '/v1/services/taquilla/bookings'
KEY = [(b'idempotency-key', b'k')]
ASK = {
    'model': 'lector',
    'messages': [{'role': 'user', 'content': 'x' * 2_048}],
    'stream': True,
}
SSE = (('content-type', 'text/event-stream'),)
SECRETS = (TOKEN, 'prompt-text', 'answer-text', 'token-text', 'key-text')
KINDS = {'taquilla': BackendKind.PLAIN, 'asistente': BackendKind.ENGINE}
EVENT = b'data: a\n\n'
JSON = (('content-type', 'application/json'),)


@asynccontextmanager
async def bounded() -> AsyncIterator[TaskGroup]:
    """Give a task group that is cancelled at the end, or after 20 s."""
    with anyio.fail_after(20):
        async with anyio.create_task_group() as tasks:
            yield tasks
            tasks.cancel_scope.cancel()


@asynccontextmanager
async def serving(
    service: str = 'taquilla', *, claims: bool = False
) -> AsyncIterator[tuple[Edge, FakeLink]]:
    """Run an entry with an agent; `claims` waits until the log is read."""
    async with bounded() as tasks:
        edge = Edge()
        link = edge.add_agent(service, KINDS[service])
        edge.start(tasks)
        if claims:
            tasks.start_soon(follow_log, edge)
            await wait(lambda: edge.claims.synced)
        yield edge, link


async def wait(condition: Callable[[], object]) -> None:
    while not condition():
        await anyio.sleep(0)


def send_answer(
    edge: Edge,
    started: Dispatch | Resume,
    parts: list[bytes],
    *,
    headers: tuple[tuple[str, str], ...] = JSON,
    first: int = 0,
    whole: list[bytes] | None = None,
) -> None:
    """Play the agent's part of an answer."""
    request, attempt = started.request, started.attempt
    running = edge.core.running[request]
    running.take(AnswerHead(request, attempt, 200, headers, 'stream-1'))
    for sequence, data in enumerate(parts, first):
        running.take(AnswerChunk(request, attempt, sequence, data))
    running.take(
        AnswerEnd(
            request,
            attempt,
            first + len(parts),
            make_digest(whole or parts),
            resumed_digest=make_digest(parts),
        )
    )


def make_digest(parts: list[bytes]) -> bytes:
    return blake2b(b''.join(parts), digest_size=16).digest()


def is_last(message: Message) -> bool:
    return isinstance(message, BodyChunk) and message.last


class Agent:
    """Answer each dispatch once its body is there."""

    def __init__(self, edge: Edge, link: FakeLink, parts: list[bytes]) -> None:
        self._edge = edge
        self._link = link
        self._parts = parts
        self.breaks = False
        link.react = self.react

    def react(self, message: Message) -> None:
        if not is_last(message):
            return
        dispatch = self._link.find(Dispatch)[-1]
        if not self.breaks:
            send_answer(self._edge, dispatch, self._parts)
            return
        detail = 'the backend server failed'
        failed = Failed(
            dispatch.request,
            dispatch.attempt,
            ErrorKind.BACKEND_FAILED,
            Ran.MAYBE,
            detail,
        )
        self._edge.core.running[dispatch.request].take(failed)


def make_plain() -> tuple[Edge, FakeLink]:
    edge = Edge()
    return edge, edge.add_agent('taquilla', BackendKind.PLAIN)


def make_model() -> tuple[Edge, FakeLink]:
    edge = Edge()
    return edge, edge.add_agent('asistente', BackendKind.ENGINE)


async def start_chat(
    edge: Edge, link: FakeLink, **options: Any
) -> tuple[list[Reply], Dispatch]:
    """Start a chat; its reply is in the list once the call has ended."""
    replies: list[Reply] = []

    async def call() -> None:
        body = [json.dumps(ASK).encode()]
        replies.append(await edge.call('POST', CHAT, body=body, **options))

    edge.core.spawn(call)
    await wait(lambda: link.find(BodyChunk))
    (dispatch,) = link.find(Dispatch)
    return replies, dispatch


async def test_passes_a_plain_call_both_ways():
    async with serving() as (edge, link):
        Agent(edge, link, [b'{"a":', b'1}'])
        reply = await edge.call(
            'POST',
            BOOKINGS + '?x=%20',
            body=[b'ab', b'c'],
            headers=[(b'accept', b'*/*'), (b'cookie', b'secret')],
        )
        assert (reply.status, reply.body, reply.ended) == (
            200,
            b'{"a":1}',
            True,
        )
        assert reply.headers['content-type'] == 'application/json'
        (dispatch,) = link.find(Dispatch)
        assert dispatch.request == reply.headers['oleander-request']
        assert (dispatch.method, dispatch.path) == ('POST', '/bookings?x=%20')
        assert dispatch.headers == (('accept', '*/*'),)
        assert not dispatch.idempotent
        assert [chunk.data for chunk in link.find(BodyChunk)] == [b'abc']
        assert not edge.core.running


async def test_binds_a_chat_to_team_and_weights():
    async with serving('asistente') as (edge, link):
        Agent(edge, link, [b'{}'])
        for _ in range(2):
            body = [json.dumps(ASK | {'background': True}).encode()]
            assert (await edge.call('POST', CHAT, body=body)).status == 200
        first, second = link.find(Dispatch)
        assert first.weight_digest == 'a' * 64
        assert first.background
        assert len(first.segments) == 2
        assert first.namespace == second.namespace
        assert first.digest == second.digest
        sent = json.loads(link.find(BodyChunk)[0].data)
        assert sent['cache_salt'] == first.namespace.hex()
        assert sent['model'] == 'lector'


async def test_numbers_the_events_of_a_stream():
    async with serving('asistente') as (edge, link):

        def react(message: Message) -> None:
            if is_last(message):
                parts = [b'data: a\n\n', b'data: [DONE]\n\n']
                (dispatch,) = link.find(Dispatch)
                send_answer(edge, dispatch, parts, headers=SSE)

        link.react = react
        reply = await edge.call('POST', CHAT, body=[json.dumps(ASK).encode()])
        assert reply.body == b'id: 0\ndata: a\n\nid: 1\ndata: [DONE]\n\n'
        token = encode_token(StreamToken('agent-asistente', 'stream-1'))
        assert reply.headers['oleander-resume'] == token


@pytest.mark.parametrize(
    ('first', 'asked', 'rest'),
    [
        ('0', 1, [b'c']),
        ('-1.1', 0, [b'b', b'c']),
        ('', 0, [b'a', b'b', b'c']),
    ],
)
async def test_resumes_after_what_the_caller_has(
    first: str, asked: int, rest: list[bytes]
):
    chunks = [b'data: a\n\ndata: b\n\n', b'data: c\n\n']

    async with serving('asistente') as (edge, link):

        def react(message: Message) -> None:
            if isinstance(message, Resume):
                assert (message.team, message.token) == ('owls', 'stream-1')
                assert message.sequence == asked
                send_answer(
                    edge,
                    message,
                    chunks[asked:],
                    headers=SSE,
                    first=asked,
                    whole=chunks,
                )

        link.react = react
        token = encode_token(StreamToken('agent-asistente', 'stream-1'))
        headers = [(b'last-event-id', first.encode())] if first else []
        reply = await edge.call('GET', f'/v1/streams/{token}', headers=headers)
        events = [
            block.rpartition(b'data: ')[2]
            for block in reply.body.split(b'\n\n')[:-1]
        ]
        assert events == rest


async def test_stream_goes_on_over_a_new_link():
    async with bounded() as tasks:
        edge, link = make_model()
        edge.core.machine = replace(edge.core.machine, ask_wait=20.0)
        edge.start(tasks)
        replies, dispatch = await start_chat(edge, link)
        request = dispatch.request
        running = edge.core.running[request]
        running.take(AnswerHead(request, 1, 200, SSE, 'stream-1'))
        running.take(AnswerChunk(request, 1, 0, b'data: a\n\n'))
        running.lose(link)  # type: ignore[arg-type]
        await wait(lambda: link.find(Resume))
        (resume,) = link.find(Resume)
        assert (resume.sequence, resume.token) == (1, 'stream-1')
        running.take(AnswerHead(request, 2, 200, SSE, 'stream-1'))
        # The wait for the resumed head must not end the stream that goes on.
        await anyio.sleep(0.1)
        running.take(AnswerChunk(request, 2, 1, b'data: b\n\n'))
        whole = make_digest([b'data: a\n\n', b'data: b\n\n'])
        running.take(AnswerEnd(request, 2, 2, whole))
        await wait(lambda: replies)
        assert replies[0].body == b'id: 0\ndata: a\n\nid: 1\ndata: b\n\n'
        assert replies[0].ended
        assert len(link.find(Resume)) == 1


async def test_stream_waits_for_a_link_and_no_longer():
    async with bounded() as tasks:
        reply = Reply()
        edge, link, dispatch = await begin_flow(tasks, reply, Writer(reply))
        running = edge.core.running[dispatch.request]
        edge.core.find_link = lambda _: None
        running.lose(link)  # type: ignore[arg-type]
        await wait_all_tasks_blocked()
        assert not link.find(Resume)
        edge.core.find_link = edge.links.get  # type: ignore[assignment]
        running.gain(link)  # type: ignore[arg-type]
        await wait_all_tasks_blocked()
        (resume,) = link.find(Resume)
        assert resume.sequence == 1


async def test_caller_that_leaves_cancels_its_run():
    async with serving('asistente') as (edge, link):
        caller = Caller([json.dumps(ASK).encode()])
        await start_chat(edge, link, caller=caller)
        caller.gone.set()
        await wait(lambda: link.find(Cancel))
        await wait(lambda: not edge.core.running)


class SlowReply(Reply):
    """Stop reading until told, as the server's flow control does."""

    def __init__(self) -> None:
        super().__init__()
        self.go = anyio.Event()

    async def send(self, event: Any) -> None:
        """Take an event once reading goes on."""
        await self.go.wait()
        await super().send(event)


async def begin_flow(
    tasks: TaskGroup, reply: Reply, writer: Writer
) -> tuple[Edge, FakeLink, Dispatch]:
    """Start a stream whose head and first chunk have reached the caller."""
    edge, link = make_model()
    edge.start(tasks)
    _, dispatch = await start_chat(edge, link, reply=reply, writer=writer)
    running = edge.core.running[dispatch.request]
    running.take(AnswerHead(dispatch.request, 1, 200, SSE, 'stream-1'))
    running.take(AnswerChunk(dispatch.request, 1, 0, EVENT))
    await wait(lambda: reply.body)
    await wait_all_tasks_blocked()
    return edge, link, dispatch


async def test_flowing_stream_is_passed_on_as_it_arrives():
    async with bounded() as tasks:
        reply = Reply()
        writer = Writer(reply)
        edge, link, dispatch = await begin_flow(tasks, reply, writer)
        request, running = dispatch.request, edge.core.running[dispatch.request]

        def send(start: int, stop: int) -> None:
            for sequence in range(start, stop):
                running.take(AnswerChunk(request, 1, sequence, EVENT))

        send(1, 15)
        assert writer.parts == [b'id: %d\n' % n + EVENT for n in range(1, 15)]
        send(15, 40)
        await wait(lambda: link.find(Credit))
        await wait_all_tasks_blocked()
        writer.ready = False
        send(40, 42)
        written = len(writer.parts)
        await wait(lambda: b'id: 41' in reply.body)
        assert len(writer.parts) == written
        writer.ready = True
        send(42, 50)
        digest = make_digest([EVENT] * 50)
        running.take(AnswerEnd(request, 1, 50, digest))
        await wait(lambda: reply.ended)
        events = [b'id: %d\n' % n + EVENT for n in range(50)]
        assert reply.body == b''.join(events)
        granted = sum(credit.chunks for credit in link.find(Credit))
        assert granted >= 50 - edge.core.settings.requests.credit // 2


async def test_flowing_stream_that_can_not_be_numbered_is_broken_off(
    monkeypatch: pytest.MonkeyPatch,
):
    async with bounded() as tasks:
        reply = Reply()
        edge, link, dispatch = await begin_flow(tasks, reply, Writer(reply))
        monkeypatch.setattr('oleanderdyke.entry.sse._EVENT_LIMIT', 10)
        running = edge.core.running[dispatch.request]
        running.take(AnswerChunk(dispatch.request, 1, 1, b'x' * 11))
        await wait(lambda: link.find(Cancel))
        await wait(lambda: not edge.core.running)
        assert b'event: error' in reply.body
        assert not reply.ended


async def test_slow_caller_gets_no_credit(monkeypatch: pytest.MonkeyPatch):
    async with serving('asistente') as (edge, link):
        slow = SlowReply()
        monkeypatch.setattr('tests.edges.Reply', lambda: slow)
        _, dispatch = await start_chat(edge, link)
        running = edge.core.running[dispatch.request]
        head = AnswerHead(dispatch.request, 1, 200, JSON)
        running.take(head)
        for sequence in range(64):
            running.take(AnswerChunk(dispatch.request, 1, sequence, b'x'))
        for _ in range(100):
            await anyio.sleep(0)
        assert not link.find(Credit)
        slow.go.set()
        await wait(lambda: sum(x.chunks for x in link.find(Credit)) == 64)
        assert slow.body == b'x' * 64


async def test_agent_that_ignores_its_credit_is_cut_off():
    async with serving() as (edge, link):

        def react(message: Message) -> None:
            if is_last(message):
                (dispatch,) = link.find(Dispatch)
                send_answer(edge, dispatch, [b'x'] * 2_000)

        link.react = react
        reply = await edge.call('GET', BOOKINGS)
        assert not reply.ended


@pytest.mark.parametrize(
    ('ran', 'attempts', 'said'), [(Ran.NO, 2, 200), (Ran.MAYBE, 1, 502)]
)
async def test_sends_a_call_without_a_key_again_only_if_it_did_not_run(
    ran: Ran, attempts: int, said: int
):
    async with bounded() as tasks:
        edge, link = make_plain()
        edge.add_agent('taquilla', BackendKind.PLAIN, name='other', link=link)
        edge.start(tasks)

        def react(message: Message) -> None:
            if not is_last(message):
                return
            dispatches = link.find(Dispatch)
            dispatch = dispatches[-1]
            if len(dispatches) == 2:
                send_answer(edge, dispatch, [b'ok'])
                return
            kind = (
                ErrorKind.LEAVING if ran is Ran.NO else ErrorKind.BACKEND_LOST
            )
            edge.core.running[dispatch.request].take(
                Failed(dispatch.request, dispatch.attempt, kind, ran)
            )

        link.react = react
        reply = await edge.call('POST', BOOKINGS, body=[b'{}'])
        assert reply.status == said
        assert len(link.find(Dispatch)) == attempts


async def test_lost_link_of_a_call_that_may_have_run_is_told():
    async with serving() as (edge, link):

        def react(message: Message) -> None:
            if is_last(message):
                for running in edge.core.running.values():
                    running.lose(link)  # type: ignore[arg-type]

        link.react = react
        reply = await edge.call('POST', BOOKINGS)
        error = json.loads(reply.body)['error']
        assert (error['kind'], error['ran']) == ('backend_lost', 'maybe')
        assert reply.headers['retry-after'] == '1'


# --- the queue --------------------------------------------------------------


@dataclass
class FakeAdmission:
    """Queue every request and release what the test names."""

    decision: Admitted | Refusal | None = None
    queued: list[str] = field(default_factory=list)
    finished: list[str] = field(default_factory=list)

    def admit(self, demand: Demand, _fleet: Fleet, _now: float) -> Queued:
        """Queue."""
        self.queued.append(demand.request)
        return Queued()

    def release(
        self, _fleet: Fleet, _now: float
    ) -> list[tuple[str, Admitted | Refusal]]:
        """Release everything once there is a decision."""
        if self.decision is None:
            return []
        return [(request, self.decision) for request in self.queued]

    def note_finished(self, request: str, _now: float) -> None:
        """Record."""
        self.finished.append(request)


@pytest.mark.parametrize(
    ('decision', 'status'),
    [
        (Admitted(), 200),
        (Refusal(ErrorKind.OVERLOADED, 'would be late', 2_300.0), 503),
        (None, 503),
    ],
)
async def test_queued_request_goes_on_when_it_is_released(
    decision: Admitted | Refusal | None, status: int
):
    async with bounded() as tasks:
        edge, link = make_plain()
        admission = FakeAdmission()
        edge.core.admission = admission
        edge.start(tasks)
        Agent(edge, link, [b'ok'])
        replies: list[Reply] = []

        async def call() -> None:
            replies.append(await edge.call('GET', BOOKINGS))

        tasks.start_soon(call)
        await wait(lambda: admission.queued)
        assert not link.sent
        admission.decision = decision
        if decision is None:
            edge.core.running[admission.queued[0]].stop(hurry=False)
        await wait(lambda: replies)
        (reply,) = replies
        assert reply.status == status
        assert admission.finished == admission.queued
        if isinstance(decision, Refusal):
            assert reply.headers['retry-after'] == '3'
        if status != 200:
            assert json.loads(reply.body)['error']['ran'] == 'no'
            assert not link.sent


# --- claims -----------------------------------------------------------------


def list_claims(edge: Edge) -> list[ClaimRecord]:
    return [
        record
        for batch in edge.log.batches
        for record in decode_batch(batch)
        if isinstance(record, ClaimRecord)
    ]


async def follow_log(edge: Edge) -> None:
    while True:
        edge.log.read_back(edge.core, edge.claims)
        await anyio.sleep(0.001)


async def test_concurrent_claims_share_appends():
    async with serving(claims=True) as (edge, link):
        Agent(edge, link, [b'ok'])
        replies: list[int] = []

        async def call(number: int) -> None:
            key = [(b'idempotency-key', b'%d' % number)]
            reply = await edge.call('POST', BOOKINGS, headers=key)
            replies.append(reply.status)

        for number in range(40):
            edge.core.spawn(call, number)
        await wait(lambda: len(replies) == 40)
        assert set(replies) == {200}
        assert len(list_claims(edge)) == 40
        assert edge.log.appends < 40
        assert all(item.claim for item in link.find(Dispatch))


async def test_same_key_runs_once():
    async with serving(claims=True) as (edge, link):
        Agent(edge, link, [b'receipt'])
        for _ in range(3):
            reply = await edge.call('POST', BOOKINGS, headers=KEY, body=[b'a'])
            assert (reply.status, reply.body) == (200, b'receipt')
            assert reply.headers['oleander-horizon'] == '86400'
            end = len(edge.log.batches)
            await wait(lambda end=end: edge.core.claims.next_offset == end)
        other = await edge.call('POST', BOOKINGS, headers=KEY, body=[b'b'])
        assert other.status == 422
        assert len(link.find(Dispatch)) == 1


@pytest.mark.parametrize(
    ('faults', 'status', 'runs'),
    [
        ([Ran.MAYBE], 200, 1),
        ([Ran.NO], 503, 0),
    ],
)
async def test_claim_of_a_failed_append(
    faults: list[Ran], status: int, runs: int
):
    async with serving(claims=True) as (edge, link):
        Agent(edge, link, [b'ok'])
        edge.log.faults = list(faults)
        reply = await edge.call('POST', BOOKINGS, headers=KEY)
        assert reply.status == status
        assert len(link.find(Dispatch)) == runs
        if status != 200:
            assert json.loads(reply.body)['error']['ran'] == 'no'


async def test_outcome_is_appended_again_until_it_is_in_the_log():
    async with bounded() as tasks:
        edge, link = make_plain()
        edge.core.settings = replace(
            edge.core.settings, log=replace(edge.core.settings.log, retry=1.0)
        )
        edge.start(tasks)
        tasks.start_soon(follow_log, edge)
        await wait(lambda: edge.claims.synced)

        def fail_outcome(message: Message) -> None:
            if is_last(message):
                edge.log.faults = [Ran.NO] * 3
                send_answer(edge, link.find(Dispatch)[0], [b'ok'])

        link.react = fail_outcome
        reply = await edge.call('POST', BOOKINGS, headers=KEY)
        assert reply.status == 200
        await wait(lambda: len(edge.log.batches) == 2)


async def test_live_claims_are_carried_before_the_log_forgets_them():
    async with serving(claims=True) as (edge, link):
        Agent(edge, link, [b'ok'])
        await edge.call('POST', BOOKINGS, headers=KEY)
        await wait(lambda: edge.core.claims.next_offset == 2)
        edge.claims.append_due(1_000.0)
        await wait(lambda: len(edge.log.batches) == 3)
        (carried,) = decode_batch(edge.log.batches[2])
        assert isinstance(carried, CarriedRecord)
        assert carried.outcome is not None


# --- configuration -----------------------------------------------------------


def make_feed(edge: Edge) -> ConfigurationFeed:
    return ConfigurationFeed(edge.core, edge.log)  # type: ignore[arg-type]


async def test_agent_that_is_behind_is_sent_the_difference_once():
    async with serving() as (edge, link):
        feed = make_feed(edge)
        feed.add_link(link)  # type: ignore[arg-type]
        feed.hear(link, 1)  # type: ignore[arg-type]
        await wait(lambda: link.sent)
        (difference,) = link.find(ConfigurationDifference)
        assert difference.through == edge.core.reader.offset


async def test_entry_that_is_behind_asks_its_peer():
    async with serving() as (edge, link):
        feed = make_feed(edge)
        offset = edge.core.reader.offset
        while not link.sent:
            feed.hear(link, offset + 1)  # type: ignore[arg-type]
            await anyio.sleep(0.02)
        assert link.sent == [ConfigurationRequest(offset)]


async def test_new_entry_starts_from_the_snapshot_of_another():
    async with bounded():
        edge = Edge()
        await make_feed(edge).append_snapshot()
        other = Edge(configured=False)
        first = edge.core.reader.offset + 1
        records = tuple(
            LogRecord(first + place, 0.0, data)
            for place, data in enumerate(edge.log.batches)
        )
        page = LogPage(records, first, first + len(records))
        feed = make_feed(other)
        while other.core.find_fault():
            feed.take_page(page)
        reply = await other.call('GET', '/ready')
        assert reply.status == 200
        for kind in ObjectKind:
            held = edge.core.catalog.list(kind)
            assert other.core.catalog.list(kind) == held


# --- a planned stop ---------------------------------------------------------


@pytest.mark.parametrize('begun', [True, False])
async def test_stop_hands_a_stream_over_and_refuses_new_work(begun):
    async with bounded() as tasks:
        edge, link = make_model()
        edge.core.drain = replace_drain(edge)
        edge.start(tasks)
        replies, dispatch = await start_chat(edge, link)
        running = edge.core.running[dispatch.request]
        running.take(AnswerHead(dispatch.request, 1, 200, SSE, 'stream-1'))
        if begun:
            running.take(AnswerChunk(dispatch.request, 1, 0, b'data: a\n\n'))
        await wait(lambda: edge.core.drain.running == (dispatch.request,))
        tasks.start_soon(edge.stopper.run)
        edge.stopper.take_signal('SIGTERM')
        refused = await edge.call('GET', BOOKINGS)
        assert refused.status == 503
        assert json.loads(refused.body)['error']['ran'] == 'no'
        await wait(lambda: replies)
        (reply,) = replies
        event, _, data = reply.body.partition(b'event: resume\ndata: ')
        assert event == (b'id: 0\ndata: a\n\n' if begun else b'')
        token = reply.headers['oleander-resume']
        assert json.loads(data) == {'resume': token}
        assert reply.status == 200
        assert not reply.ended
        assert not link.find(Cancel)


async def test_stream_without_a_token_is_not_handed_over_but_ends_here():
    async with serving('asistente') as (edge, link):
        replies, dispatch = await start_chat(edge, link)
        running = edge.core.running[dispatch.request]
        running.hand_over()
        running.take(AnswerHead(dispatch.request, 1, 200, SSE, 'stream-1'))
        running.take(AnswerChunk(dispatch.request, 1, 0, EVENT))
        whole = make_digest([EVENT])
        running.take(AnswerEnd(dispatch.request, 1, 1, whole))
        await wait(lambda: replies)
        (reply,) = replies
        assert reply.body == b'id: 0\ndata: a\n\n'
        assert reply.ended


def replace_drain(edge: Edge) -> Any:
    settings = edge.core.settings.drain
    return type(edge.core.drain)(
        replace(settings, accept=0.0, announce=0.0, drain=0.0)
    )


# --- settings ---------------------------------------------------------------

GOOD = """
process: entry-1
data_centre: here
log: {address: '127.0.0.1:1'}
vms: {address: '127.0.0.1:2'}
"""


@pytest.mark.parametrize(
    ('extra', 'word'),
    [
        ('http: {host: 0.0.0.0}', 'plain text'),
        ('http: {certificate: /nowhere.pem}', 'both or neither'),
        ('plugins: {router: fastest}', 'plugins.router'),
        ('http: {hots: x}', "did you mean 'host'"),
        ('beat: soon', 'a number'),
    ],
)
def test_settings_fault_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], extra: str, word: str
):
    path = tmp_path / 'entry.yaml'
    path.write_text(GOOD + extra)
    assert main(['--settings', str(path), '--check']) == 2
    text = capsys.readouterr().err
    assert word in text
    assert str(path) in text


def test_prints_settings_that_load_again(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
):
    path = tmp_path / 'entry.yaml'
    path.write_text(GOOD)
    assert main(['--settings', str(path), '--print-settings']) == 0
    path.write_text(capsys.readouterr().out)
    assert main(['--settings', str(path), '--check']) == 0


def test_plain_text_beyond_loopback_has_to_be_asked_for():
    settings = Edge().core.settings
    assert isinstance(settings, EntrySettings)
    wide = replace(settings.http, host='10.0.0.1')
    assert find_faults(replace(settings, http=wide))
    asked = replace(wide, plain_text=True)
    assert not find_faults(replace(settings, http=asked))


def list_secret_calls() -> list[tuple[str, dict[str, Any]]]:
    """List calls that end well and badly, with secrets in every part."""
    chat = ASK | {'messages': [{'role': 'user', 'content': 'prompt-text'}]}
    key = [(b'idempotency-key', b'key-text')]
    wrong = [
        chat | {'model': 'prompt-text'},
        chat | {'messages': [{'role': 'prompt-text', 'content': 'x'}]},
        chat | {'messages': [{'role': 'user', 'content': 'prompt-text\0'}]},
        chat | {'max_tokens': 'prompt-text'},
        chat | {'tools': 'prompt-text'},
    ]
    bodies = [json.dumps(item).encode() for item in (chat, *wrong)]
    bodies += [b'{"prompt-text', b'"prompt-text"', b'\xffprompt-text']
    plain: list[dict[str, Any]] = [
        {'body': [b'prompt-text']},
        {'body': [b'prompt-text'], 'headers': key},
        {'body': [b'prompt-text, another'], 'headers': key},
        {'body': [b'prompt-text' * 200]},
        {'token': 'token-text'},
        {'headers': [(b'idempotency-key', b'key-text' * 40)]},
    ]
    return [
        *((CHAT, {'body': [body]}) for body in bodies),
        *((BOOKINGS + '?prompt-text', options) for options in plain),
        ('/v1/streams/token-text', {}),
        ('/v1/services/taquilla/prompt-text%ff', {}),
        ('/prompt-text', {}),
    ]


@pytest.mark.parametrize('fails', [False, True])
async def test_no_secret_reaches_a_log_or_an_error(
    capsys: pytest.CaptureFixture[str], *, fails: bool
):
    replies: list[Reply] = []

    async with bounded() as tasks:
        edge = Edge(level='debug')
        edge.start(tasks)
        tasks.start_soon(follow_log, edge)
        await wait(lambda: edge.claims.synced)
        for service, kind in KINDS.items():
            link = edge.add_agent(service, kind)
            agent = Agent(edge, link, [b'answer-text'])
            agent.breaks = fails
        for path, options in list_secret_calls():
            method = 'GET' if 'streams' in path else 'POST'
            replies.append(await edge.call(method, path, **options))
    logged = capsys.readouterr()
    assert 'event=request_accepted' in logged.err
    # Whoever guesses a prompt could confirm it by a digest.
    assert 'digest=' not in logged.err
    statuses = [reply.status for reply in replies]
    assert {400, 401, 404, 410, 413, 422} <= set(statuses)
    assert statuses.count(200) == (0 if fails else 4)
    told = [str(x.body) + str(x.headers) for x in replies if x.status != 200]
    for secret in SECRETS:
        assert secret not in logged.err + logged.out
        assert not any(secret in text for text in told)
