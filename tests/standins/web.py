"""Provide a small ASGI app with configurable faults."""

from __future__ import annotations

import abc
import contextlib
import dataclasses
import json
import time
from collections.abc import (
    AsyncGenerator,
    Awaitable,
    Callable,
)
from dataclasses import dataclass
from typing import Any, Generic, TypeAlias, TypeVar
from urllib.parse import parse_qsl

import anyio
import cbor2

Receive: TypeAlias = Callable[[], Awaitable[Any]]
Send: TypeAlias = Callable[[Any], Awaitable[None]]
ResultT = TypeVar('ResultT')


class Dropped(Exception):
    """Signal that the connection must be closed without a response."""


@dataclass(frozen=True, slots=True)
class Faults:
    """Hold the faults common to all stand-ins; `slow` is in ms."""

    down: bool = False
    silent: bool = False
    slow: float = 0.0


FaultsT = TypeVar('FaultsT', bound=Faults)


@dataclass(frozen=True, slots=True)
class Request:
    """Hold one request; the body is read on demand."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    receive: Receive

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body as it arrives; raise Dropped if it is truncated."""
        more = True
        while more:
            event = await self.receive()
            if event['type'] == 'http.disconnect':
                raise Dropped
            more = event.get('more_body', False)
            yield event.get('body', b'')

    async def body(self) -> bytes:
        """Read the complete body."""
        return b''.join([chunk async for chunk in self.chunks()])

    async def json(self) -> Any:
        """Read and decode the body as JSON."""
        return json.loads(await self.body())

    async def wait_closed(self) -> None:
        """Wait until the caller disconnects; the body must have been read."""
        while (await self.receive())['type'] != 'http.disconnect':
            pass


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold one response; a body of several chunks is streamed.

    A watched body is cancelled when the caller disconnects.
    """

    status: int = 200
    body: bytes | AsyncGenerator[bytes, None] = b''
    content_type: str = 'application/json'
    watched: bool = False
    headers: tuple[tuple[str, str], ...] = ()


def find_request_id(request: Request) -> str:
    """Return the request id by which runs are counted."""
    return request.headers.get('x-request-id', '')


def answer_json(value: Any, status: int = 200) -> Answer:
    """Build a JSON response."""
    return Answer(status, json.dumps(value).encode())


def answer_cbor(value: Any) -> Answer:
    """Build a CBOR response."""
    return Answer(200, cbor2.dumps(value), 'application/cbor')


def refuse(status: int, message: str) -> Answer:
    """Build an error response."""
    return answer_json({'error': message}, status)


async def run_until_closed(
    request: Request, work: Callable[[], Awaitable[ResultT]]
) -> ResultT:
    """Run work; cancel it and raise Dropped if the caller disconnects."""
    results: list[ResultT] = []
    async with anyio.create_task_group() as group:

        async def watch() -> None:
            await request.wait_closed()
            group.cancel_scope.cancel()

        group.start_soon(watch)
        # The task group would wrap an exception in an exception group.
        with contextlib.suppress(Dropped):
            results.append(await work())
        group.cancel_scope.cancel()
    if not results:
        raise Dropped
    return results[0]


class StandIn(abc.ABC, Generic[FaultsT]):
    """Answer HTTP requests and inject the configured faults."""

    def __init__(self, faults: FaultsT) -> None:
        self.faults = faults
        self._no_faults = faults

    @abc.abstractmethod
    async def answer(self, request: Request) -> Answer:
        """Handle one request."""

    def note_faults(self) -> None:
        """Apply newly configured faults."""

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one ASGI request."""
        request = _read_scope(scope, receive)
        try:
            answer = await self._answer(request)
            await _send_answer(answer, request, send)
        except Dropped:
            await _drop(send)

    async def _answer(self, request: Request) -> Answer:
        if request.path == '/faults':
            return await self._set_faults(request)
        if self.faults.down:
            return refuse(503, 'down')
        if self.faults.silent:
            await request.wait_closed()
            raise Dropped
        if self.faults.slow:
            await sleep(self.faults.slow)
        return await self.answer(request)

    async def _set_faults(self, request: Request) -> Answer:
        try:
            wanted = await request.json()
            self.faults = dataclasses.replace(self._no_faults, **wanted)
        except (TypeError, ValueError) as error:
            return refuse(400, str(error))
        self.note_faults()
        return answer_json(dataclasses.asdict(self.faults))


def _read_scope(scope: Any, receive: Receive) -> Request:
    return Request(
        method=scope['method'],
        path=scope['path'],
        query=dict(parse_qsl(scope['query_string'].decode())),
        headers={
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in scope['headers']
        },
        receive=receive,
    )


async def _send_answer(answer: Answer, request: Request, send: Send) -> None:
    headers = [(b'content-type', answer.content_type.encode())]
    headers += [(name.encode(), text.encode()) for name, text in answer.headers]
    body = answer.body
    if isinstance(body, bytes):
        headers.append((b'content-length', str(len(body)).encode()))
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': headers,
        }
    )
    if isinstance(body, bytes):
        await send({'type': 'http.response.body', 'body': body})
        return
    if answer.watched:
        await run_until_closed(request, lambda: _send_chunks(body, send))
    else:
        await _send_chunks(body, send)


async def _send_chunks(body: AsyncGenerator[bytes, None], send: Send) -> None:
    async with contextlib.aclosing(body) as chunks:
        async for chunk in chunks:
            await send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': True,
                }
            )
    await send({'type': 'http.response.body'})


async def _drop(send: Send) -> None:
    # uvicorn has no API to close a connection before the response head.
    cycle = getattr(send, '__self__', None)
    transport = getattr(cycle, 'transport', None)
    if transport is not None:
        transport.abort()
    await anyio.sleep(0)
    await anyio.sleep(0)


def now() -> float:
    """Return monotonic time in milliseconds."""
    return time.monotonic() * 1_000


async def sleep(milliseconds: float) -> None:
    """Sleep for a number of milliseconds."""
    await anyio.sleep(max(0.0, milliseconds) / 1_000)


class Bucket:
    """Limit a rate with a token bucket; a rate of zero means no limit."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = now()

    def take(self) -> bool:
        """Take one token; return whether one was available."""
        if not self.rate:
            return True
        at = now()
        gained = (at - self._at) / 1_000 * self.rate
        self._at = at
        self._tokens = min(self._burst, self._tokens + gained)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Pipe:
    """Share a rate of units per second; zero means no limit."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._free_at = now()

    async def carry(self, units: float) -> None:
        """Wait for earlier transfers and for the units' own transfer time."""
        if not self.rate:
            return
        start = max(now(), self._free_at)
        self._free_at = start + units / self.rate * 1_000
        await sleep(self._free_at - now())
