"""Early answers and odd statuses, as agents and clients of stores see them."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from agents import connect_entry, make_settings, run_agent
from oleanderdyke.clients.buffered import fetch_body
from oleanderdyke.clients.http import HttpBackend, HttpError
from oleanderdyke.clients.keep_alive import KeepAliveHttp
from oleanderdyke.links.messages import BackendKind
from oleanderdyke.platform.contexts import ContextClient, ContextUnavailable
from oleanderdyke.platform.store import StoreClient, StoreUnavailable
from tests.test_early_answers import (
    FRAMINGS,
    HALF_CLOSED,
    LONG,
    RESET,
    STATUSES,
    EarlyServer,
    make_early_head,
)

pytestmark = pytest.mark.anyio

ID = (('oleanderdyke-request-id', 'req-1'),)
# Parts of a long body, each in a frame of its own.
PARTS = [bytes(512 * 1024)] * (len(LONG) // (512 * 1024))


@contextlib.asynccontextmanager
async def serving(early):
    """Run a server that reads little; yield its address."""
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
    server = await asyncio.start_server(early.serve, sock=listener, limit=1024)
    try:
        yield f'127.0.0.1:{listener.getsockname()[1]}'
    finally:
        server.close()


@contextlib.asynccontextmanager
async def serving_agent(early):
    async with serving(early) as address:
        settings = make_settings(BackendKind.PLAIN, address, 'taquilla')
        async with run_agent(settings) as shell, connect_entry(shell) as entry:
            yield entry


# Guards against a part of an early answer that an agent reports as whole.
@pytest.mark.parametrize('ending', [RESET, HALF_CLOSED])
@pytest.mark.parametrize('pause', [0.0, 0.05])
@pytest.mark.parametrize('is_claimed', [False, True])
async def test_agent_reports_no_part_of_an_early_answer_as_whole(
    ending, pause, is_claimed
):
    answer = make_early_head() + b'\r\n' + b'half of an answer'
    early = EarlyServer(answer, ending, pause)
    async with serving_agent(early) as entry:
        claim = entry.make_claim('k') if is_claimed else None
        dispatch = entry.make_dispatch('r', claim=claim, headers=ID)
        found = await entry.call(dispatch, *PARTS)
    assert early.heads
    assert found.end is None


# Guards that a status that is none never passes an agent.
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('status', STATUSES)
async def test_agent_passes_on_no_status_that_is_none(status, framing):
    answer = make_early_head(status) + FRAMINGS[framing].encode()
    ending = RESET if framing == 'none' else 'ended'
    async with serving_agent(EarlyServer(answer, ending)) as entry:
        found = await entry.call(entry.make_dispatch('r', headers=ID), b'x')
    assert (found.head, found.end) == (None, None)


# Guards the same for the clients of stores, engines and the platform.
@pytest.mark.parametrize('make_client', [HttpBackend, KeepAliveHttp])
@pytest.mark.parametrize('status', STATUSES)
async def test_client_takes_no_status_that_is_none(make_client, status):
    answer = make_early_head(status) + FRAMINGS['length'].encode()
    async with serving(EarlyServer(answer)) as address:
        client = make_client(address)
        with pytest.raises(HttpError):
            await fetch_body(
                client,
                'POST',
                '/x',
                headers=ID,
                body=b'x',
                within=5_000.0,
                limit=1_000,
            )
        await client.close()


# Guards that such an answer frees no parts and yields no records.
@pytest.mark.parametrize('status', STATUSES)
async def test_store_that_answers_no_status_is_unavailable(status):
    body = '{"items":[],"more":false,"end":7}'
    answer = (
        f'HTTP/1.1 {status} Told\r\ncontent-length: {len(body)}\r\n\r\n{body}'
    )
    async with _serving_always(answer.encode()) as address:
        contexts = ContextClient(address, lambda *_: None)
        with contextlib.suppress(ContextUnavailable):
            assert not await contexts.free((), 1, 0.0, within=900.0)
        await contexts.close()
        store = StoreClient(address)
        with pytest.raises(StoreUnavailable):
            await store.list_newest('keyed.op')
        await store.close()


@contextlib.asynccontextmanager
async def _serving_always(answer):
    """Answer each head with the same bytes; yield the address."""

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(answer)
                await writer.drain()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    try:
        yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    finally:
        server.close()
