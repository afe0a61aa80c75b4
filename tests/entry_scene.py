"""Run an entry in standalone mode against simulated agents."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from hashlib import blake2b
from typing import Any

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    BackendKind,
    BodyChunk,
    Dispatch,
    Failed,
    Message,
    Resume,
)
from tests.edges import Edge, FakeLink, Reply

CHAT = '/v1/chat/completions'


BOOKINGS = '/v1/services/taquilla/bookings'


KEY = [(b'idempotency-key', b'k')]


ASK = {
    'model': 'lector',
    'messages': [{'role': 'user', 'content': 'x' * 2_048}],
    'stream': True,
}


SSE = (('content-type', 'text/event-stream'),)


KINDS = {'taquilla': BackendKind.PLAIN, 'asistente': BackendKind.ENGINE}


EVENT = b'data: a\n\n'


JSON = (('content-type', 'application/json'),)


@asynccontextmanager
async def bounded() -> AsyncIterator[TaskGroup]:
    """Provide a task group; cancel it at the end, or fail after 20 s."""
    with anyio.fail_after(20):
        async with anyio.create_task_group() as tasks:
            yield tasks
            tasks.cancel_scope.cancel()


@asynccontextmanager
async def serving(
    service: str = 'taquilla', *, claims: bool = False
) -> AsyncIterator[tuple[Edge, FakeLink]]:
    """Run an entry with an agent; with `claims`, follow the claims log."""
    async with bounded() as tasks:
        edge = Edge()
        link = edge.add_agent(service, KINDS[service])
        edge.start(tasks)
        if claims:
            tasks.start_soon(follow_log, edge)
            await wait(lambda: edge.claims.is_caught_up)
        yield edge, link


async def follow_log(edge: Edge) -> None:
    while True:
        edge.log.read_back(edge.core, edge.claims)
        await anyio.sleep(0.001)


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
    """Send the head, chunks and end of an answer as an agent would."""
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
    """Answer each dispatch once its body is complete."""

    def __init__(self, edge: Edge, link: FakeLink, parts: list[bytes]) -> None:
        self._edge = edge
        self._link = link
        self._parts = parts
        self.fails_calls = False
        link.react = self.react

    def react(self, message: Message) -> None:
        if not is_last(message):
            return
        dispatch = self._link.find(Dispatch)[-1]
        if not self.fails_calls:
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
    """Start a chat; the reply is added to the list when the call ends."""
    replies: list[Reply] = []

    async def call() -> None:
        body = [json.dumps(ASK).encode()]
        replies.append(await edge.call('POST', CHAT, body=body, **options))

    edge.core.spawn(call)
    await wait(lambda: link.find(BodyChunk))
    (dispatch,) = link.find(Dispatch)
    return replies, dispatch
