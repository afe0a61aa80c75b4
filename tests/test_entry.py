from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import pytest

from oleanderdyke.clients.log import LogPage, LogRecord
from oleanderdyke.entry.configuration import ConfigurationFeed
from oleanderdyke.errors import ErrorKind, Ran
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
    Dispatch,
    Failed,
    Message,
)
from tests.edges import TOKEN, Edge, Reply
from tests.entry_scene import (
    ASK,
    BOOKINGS,
    CHAT,
    EVENT,
    KINDS,
    SSE,
    Agent,
    bounded,
    follow_log,
    is_last,
    make_digest,
    make_model,
    make_plain,
    send_answer,
    serving,
    start_chat,
    wait,
)

pytestmark = pytest.mark.anyio

SECRETS = (TOKEN, 'prompt-text', 'answer-text', 'token-text', 'key-text')


async def test_forwards_a_plain_call_and_its_answer():
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


@pytest.mark.parametrize(
    ('ran', 'attempts', 'status'), [(Ran.NO, 2, 200), (Ran.MAYBE, 1, 502)]
)
async def test_retries_a_call_without_a_key_only_if_it_did_not_run(
    ran: Ran, attempts: int, status: int
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
        assert reply.status == status
        assert len(link.find(Dispatch)) == attempts


async def test_lost_link_of_a_call_that_may_have_run_is_reported():
    async with serving() as (edge, link):

        def react(message: Message) -> None:
            if is_last(message):
                for running in edge.core.running.values():
                    running.handle_link_down(link)  # type: ignore[arg-type]

        link.react = react
        reply = await edge.call('POST', BOOKINGS)
        error = json.loads(reply.body)['error']
        assert (error['kind'], error['ran']) == ('backend_lost', 'maybe')
        assert reply.headers['retry-after'] == '1'


# --- the queue --------------------------------------------------------------


@dataclass
class FakeAdmission:
    """Queue every request; release all once `decision` is set."""

    decision: Admitted | Refusal | None = None
    queued: list[str] = field(default_factory=list)
    finished: list[str] = field(default_factory=list)

    def admit(self, demand: Demand, _fleet: Fleet, _now: float) -> Queued:
        """Queue the request."""
        self.queued.append(demand.request)
        return Queued()

    def release(
        self, _fleet: Fleet, _now: float
    ) -> list[tuple[str, Admitted | Refusal]]:
        """Release all queued requests once there is a decision."""
        if self.decision is None:
            return []
        return [(request, self.decision) for request in self.queued]

    def record_finished(self, request: str, _now: float) -> None:
        """Record the finished request."""
        self.finished.append(request)


@pytest.mark.parametrize(
    ('decision', 'status'),
    [
        (Admitted(), 200),
        (Refusal(ErrorKind.OVERLOADED, 'would be late', 2_300.0), 503),
        (None, 503),
    ],
)
async def test_queued_request_continues_once_released(
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
            edge.core.running[admission.queued[0]].stop(immediate=False)
        await wait(lambda: replies)
        (reply,) = replies
        assert reply.status == status
        assert admission.finished == admission.queued
        if isinstance(decision, Refusal):
            assert reply.headers['retry-after'] == '3'
        if status != 200:
            assert json.loads(reply.body)['error']['ran'] == 'no'
            assert not link.sent


# --- configuration -----------------------------------------------------------


def make_feed(edge: Edge) -> ConfigurationFeed:
    return ConfigurationFeed(edge.core, edge.log)  # type: ignore[arg-type]


async def test_agent_that_is_behind_is_sent_the_difference_once():
    async with serving() as (edge, link):
        feed = make_feed(edge)
        feed.add_link(link)  # type: ignore[arg-type]
        feed.handle_peer_offset(link, 1)  # type: ignore[arg-type]
        await wait(lambda: link.sent)
        (difference,) = link.find(ConfigurationDifference)
        assert difference.through == edge.core.reader.offset


async def test_entry_that_is_behind_asks_its_peer():
    async with serving() as (edge, link):
        feed = make_feed(edge)
        offset = edge.core.reader.offset
        while not link.sent:
            feed.handle_peer_offset(link, offset + 1)  # type: ignore[arg-type]
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
            feed.apply_page(page)
        reply = await other.call('GET', '/ready')
        assert reply.status == 200
        for kind in ObjectKind:
            held = edge.core.catalog.list(kind)
            assert other.core.catalog.list(kind) == held


# --- graceful stop ----------------------------------------------------------


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
        edge.stopper.handle_signal('SIGTERM')
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


async def test_stream_without_a_token_is_finished_instead_of_handed_over():
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


# --- secrets ----------------------------------------------------------------


def list_secret_calls() -> list[tuple[str, dict[str, Any]]]:
    """Return successful and failing calls with secrets in every part."""
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
        await wait(lambda: edge.claims.is_caught_up)
        for service, kind in KINDS.items():
            link = edge.add_agent(service, kind)
            agent = Agent(edge, link, [b'answer-text'])
            agent.fails_calls = fails
        for path, options in list_secret_calls():
            method = 'GET' if 'streams' in path else 'POST'
            replies.append(await edge.call(method, path, **options))
    logged = capsys.readouterr()
    assert 'event=request_accepted' in logged.err
    # A digest would allow a guessed prompt to be confirmed.
    assert 'digest=' not in logged.err
    statuses = [reply.status for reply in replies]
    assert {400, 401, 404, 410, 413, 422} <= set(statuses)
    assert statuses.count(200) == (0 if fails else 4)
    errors = [str(x.body) + str(x.headers) for x in replies if x.status != 200]
    for secret in SECRETS:
        assert secret not in logged.err + logged.out
        assert not any(secret in text for text in errors)
