"""Keep-alive connections to one server."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Sequence

import anyio
import pytest
from anyio.abc import SocketStream

from oleanderdyke.clients.http import HttpError
from oleanderdyke.clients.keep_alive import KeepAliveHttp, KeepAliveSettings
from oleanderdyke.errors import Ran

pytestmark = pytest.mark.anyio
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood'
CUT = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ngood'


class Script:
    """Answer requests by connection; None never answers, b'' closes."""

    def __init__(self, *connections: Sequence[bytes | None]) -> None:
        self._connections = iter(connections)
        self.opened = 0

    async def handle(self, stream: SocketStream) -> None:
        self.opened += 1
        async with stream:
            # The client may leave at any time.
            with contextlib.suppress(anyio.EndOfStream):
                await self._answer(stream)

    async def _answer(self, stream: SocketStream) -> None:
        for answer in next(self._connections):
            if answer == b'':
                return
            await stream.receive()
            if answer is not None:
                await stream.send(answer)
        await anyio.sleep_forever()


@contextlib.asynccontextmanager
async def serving(
    script: Script, settings: KeepAliveSettings | None = None
) -> AsyncGenerator[KeepAliveHttp, None]:
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, script.handle)
        http = KeepAliveHttp(f'127.0.0.1:{port}', settings)
        yield http
        await http.close()
        tasks.cancel_scope.cancel()


async def ask(http: KeepAliveHttp) -> bytes:
    async with http.request('PUT', '/kv/1', body=b'kv') as answer:
        return await answer.read(100)


async def test_connection_serves_one_request_after_the_other() -> None:
    script = Script([ANSWER] * 3)
    async with serving(script) as http:
        assert [await ask(http) for _ in range(3)] == [b'good'] * 3
    assert script.opened == 1


@pytest.mark.parametrize(
    'first',
    [
        pytest.param([ANSWER, None], id='no answer'),
        pytest.param([ANSWER, b''], id='closed by the server'),
        pytest.param([ANSWER, b'nonsense\r\n\r\n'], id='out of step'),
        pytest.param([ANSWER + b'more'], id='extra bytes'),
    ],
)
async def test_broken_idle_connection_is_replaced(
    first: list[bytes | None],
) -> None:
    script = Script(first, [ANSWER])
    async with serving(script, KeepAliveSettings(reuse_timeout=50.0)) as http:
        assert await ask(http) == b'good'
        assert await ask(http) == b'good'
    assert script.opened == 2


@pytest.mark.parametrize(
    'answer',
    [None, b'nonsense\r\n\r\n', CUT],
    ids=['silent', 'malformed', 'truncated'],
)
async def test_failed_request_on_a_new_connection_is_not_retried(
    answer: bytes | None,
) -> None:
    script = Script([answer], [ANSWER])
    async with serving(script, KeepAliveSettings(read_timeout=50.0)) as http:
        with pytest.raises(HttpError) as caught:
            await ask(http)
        assert caught.value.ran is Ran.MAYBE
        assert script.opened == 1
        # The failed exchange must not affect the next one.
        assert await ask(http) == b'good'


async def test_answer_left_early_closes_its_connection() -> None:
    script = Script([CUT], [ANSWER])
    async with serving(script) as http:
        async with http.request('GET', '/kv/1') as answer:
            assert answer.status == 200
        assert await ask(http) == b'good'
    assert script.opened == 2


async def test_number_of_idle_connections_is_limited() -> None:
    script = Script(*([ANSWER, ANSWER] for _ in range(6)))
    async with serving(script, KeepAliveSettings(connections=2)) as http:
        for opened in (4, 6):
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(ask, http)
            assert script.opened == opened


async def test_unreachable_server_ran_nothing() -> None:
    with pytest.raises(HttpError) as caught:
        await ask(KeepAliveHttp('127.0.0.1:1'))
    assert caught.value.ran is Ran.NO


async def test_request_written_before_the_server_left_may_have_run() -> None:
    async def answer_once(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(1000)
        writer.write(ANSWER)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer_once, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    http = KeepAliveHttp(
        f'127.0.0.1:{port}', KeepAliveSettings(reuse_timeout=50.0)
    )
    assert await ask(http) == b'good'
    server.close()
    with pytest.raises(HttpError) as caught:
        await ask(http)
    assert caught.value.ran is Ran.MAYBE
