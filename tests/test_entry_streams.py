from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import anyio
import pytest
from anyio import wait_all_tasks_blocked
from anyio.abc import TaskGroup

from oleanderdyke.entry.sse import EventNumberer, Position
from oleanderdyke.entry.tokens import StreamToken, encode_token
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Cancel,
    Credit,
    Dispatch,
    Message,
    Resume,
)
from tests.edges import Caller, Edge, FakeLink, Reply, Writer
from tests.entry_scene import (
    ASK,
    BOOKINGS,
    CHAT,
    EVENT,
    JSON,
    SSE,
    bounded,
    is_last,
    make_digest,
    make_model,
    send_answer,
    serving,
    start_chat,
    wait,
)

pytestmark = pytest.mark.anyio


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
async def test_resumes_after_the_position_of_the_caller(
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


async def test_stream_continues_over_a_new_link():
    async with bounded() as tasks:
        edge, link = make_model()
        edge.core.attempt_settings = replace(
            edge.core.attempt_settings, query_timeout=20.0
        )
        edge.start(tasks)
        replies, dispatch = await start_chat(edge, link)
        request = dispatch.request
        running = edge.core.running[request]
        running.take(AnswerHead(request, 1, 200, SSE, 'stream-1'))
        running.take(AnswerChunk(request, 1, 0, b'data: a\n\n'))
        running.handle_link_down(link)  # type: ignore[arg-type]
        await wait(lambda: link.find(Resume))
        (resume,) = link.find(Resume)
        assert (resume.sequence, resume.token) == (1, 'stream-1')
        running.take(AnswerHead(request, 2, 200, SSE, 'stream-1'))
        # The timeout for the resumed head must not end the resumed stream.
        await anyio.sleep(0.1)
        running.take(AnswerChunk(request, 2, 1, b'data: b\n\n'))
        whole = make_digest([b'data: a\n\n', b'data: b\n\n'])
        running.take(AnswerEnd(request, 2, 2, whole))
        await wait(lambda: replies)
        assert replies[0].body == b'id: 0\ndata: a\n\nid: 1\ndata: b\n\n'
        assert replies[0].ended
        assert len(link.find(Resume)) == 1


async def test_stream_resumes_as_soon_as_a_link_is_up():
    async with bounded() as tasks:
        reply = Reply()
        edge, link, dispatch = await start_stream(tasks, reply, Writer(reply))
        running = edge.core.running[dispatch.request]
        edge.core.find_link = lambda _: None
        running.handle_link_down(link)  # type: ignore[arg-type]
        await wait_all_tasks_blocked()
        assert not link.find(Resume)
        edge.core.find_link = edge.links.get  # type: ignore[assignment]
        running.handle_link_up(link)  # type: ignore[arg-type]
        await wait_all_tasks_blocked()
        (resume,) = link.find(Resume)
        assert resume.sequence == 1


async def test_caller_that_disconnects_cancels_its_run():
    async with serving('asistente') as (edge, link):
        caller = Caller([json.dumps(ASK).encode()])
        await start_chat(edge, link, caller=caller)
        caller.gone.set()
        await wait(lambda: link.find(Cancel))
        await wait(lambda: not edge.core.running)


class SlowReply(Reply):
    """Block sends until `go` is set, as the flow control of the server."""

    def __init__(self) -> None:
        super().__init__()
        self.go = anyio.Event()

    async def send(self, event: Any) -> None:
        """Take an event once `go` is set."""
        await self.go.wait()
        await super().send(event)


async def start_stream(
    tasks: TaskGroup, reply: Reply, writer: Writer
) -> tuple[Edge, FakeLink, Dispatch]:
    """Start a stream and deliver its head and first chunk."""
    edge, link = make_model()
    edge.start(tasks)
    _, dispatch = await start_chat(edge, link, reply=reply, writer=writer)
    running = edge.core.running[dispatch.request]
    running.take(AnswerHead(dispatch.request, 1, 200, SSE, 'stream-1'))
    running.take(AnswerChunk(dispatch.request, 1, 0, EVENT))
    await wait(lambda: reply.body)
    await wait_all_tasks_blocked()
    return edge, link, dispatch


async def test_started_stream_is_forwarded_as_it_arrives():
    async with bounded() as tasks:
        reply = Reply()
        writer = Writer(reply)
        edge, link, dispatch = await start_stream(tasks, reply, writer)
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


async def test_started_stream_with_an_oversized_event_is_broken_off(
    monkeypatch: pytest.MonkeyPatch,
):
    async with bounded() as tasks:
        reply = Reply()
        edge, link, dispatch = await start_stream(tasks, reply, Writer(reply))
        monkeypatch.setattr('oleanderdyke.entry.sse.EVENT_LIMIT_BYTES', 10)
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


# Guards against a caller that takes a stream up at an id of its server, which
# stood behind that of the entry in an event and so took its place.
@pytest.mark.parametrize(
    'event',
    [
        b'id: 77\ndata: a\n\n',
        b'data: a\nid: 77\n\n',
        b'data: a\nid\n\n',
        b'id: 77\r\ndata: a\r\n\r\n',
        b'data: a\rid:77\r\r',
    ],
)
def test_id_of_the_entry_is_the_only_one_of_an_event(event: bytes):
    numberer = EventNumberer(Position())
    sent = b''.join(numberer.take(event) for _ in range(2))
    lines = sent.replace(b'\r\n', b'\n').replace(b'\r', b'\n').split(b'\n')
    assert [each for each in lines if each.startswith(b'id')] == [
        b'id: 0',
        b'id: 1',
    ]
    assert lines.count(b'data: a') == 2


@pytest.mark.parametrize(
    'event', [b'data: a\nidle: b\n\n', b'data: id: 7\n\n', b': id: 7\n\n']
)
def test_only_ids_are_removed_from_events(event: bytes):
    assert EventNumberer(Position()).take(event) == b'id: 0\n' + event
