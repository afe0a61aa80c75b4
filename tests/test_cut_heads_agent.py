"""Check that an agent takes no cut answer of its server for a whole one."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Sequence

import anyio
import pytest

from agents import (
    FakeEntry,
    Outcome,
    connect_entry,
    make_settings,
    run_agent,
    wait_until,
)
from oleanderdyke.clients.buffered import fetch_body
from oleanderdyke.clients.http import HttpBackend, HttpError
from oleanderdyke.clients.keep_alive import KeepAliveHttp
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.links.messages import AgentPhase, BackendKind, DrainRequest
from oleanderdyke.platform.contexts import ContextClient, ContextUnavailable
from tests.standins.cuts import (
    Cut,
    cut_in_turn,
    list_cuts,
    make_shapes,
)
from tests.standins.framing import (
    EVENT_STREAM,
    Ending,
    Framing,
    Response,
    respond,
    send_response,
)
from tests.standins.replica import Peer, Replica, Script, serving_replica

pytestmark = pytest.mark.anyio

_ENDINGS = (Ending.CLOSE, Ending.HALF_CLOSE, Ending.RESET)
_TYPES = ('text/plain', EVENT_STREAM)
# The kind depends on whether the server's process is known to be alive.
_BROKEN = (ErrorKind.BACKEND_FAILED, ErrorKind.BACKEND_LOST)
_ID = (('oleanderdyke-request-id', 'req-1'),)


@contextlib.asynccontextmanager
async def _serving_agent(
    script: Script,
) -> AsyncGenerator[tuple[Replica, FakeEntry], None]:
    async with serving_replica(script) as (replica, address):
        settings = make_settings(BackendKind.PLAIN, address, 'taquilla')
        async with run_agent(settings) as shell, connect_entry(shell) as entry:
            await entry.wait_serving()
            yield replica, entry


async def _call_each(
    entry: FakeEntry, cuts: Sequence[Cut | None]
) -> list[Outcome]:
    return [
        await entry.call(
            entry.make_dispatch(f'r{number}', path=f'/x/{number}', headers=_ID),
            b'x',
        )
        for number in range(len(cuts))
    ]


# Guards against ORDER and TWICE in our own mode: a cut answer passed on as
# whole, or reported as that of a request that has not run.
@pytest.mark.parametrize('media_type', _TYPES)
@pytest.mark.parametrize('ending', _ENDINGS)
async def test_agent_reports_cut_answers_as_broken(
    media_type: str, ending: Ending
) -> None:
    cuts = list_cuts(make_shapes(media_type), ending)
    async with _serving_agent(cut_in_turn(cuts)) as (replica, entry):
        found = await _call_each(entry, cuts)
    wrong = [
        (cut, each)
        for cut, each in zip(cuts, found, strict=True)
        if not cut.may_be_whole and not _is_broken(each)
    ]
    assert wrong == []
    targets = [each.target for each in replica.received]
    asked = [each for each in targets if each.startswith('/x/')]
    assert asked == [f'/x/{number}' for number in range(len(cuts))]


def _is_broken(found: Outcome) -> bool:
    failed = found.failed
    return (
        found.end is None
        and failed is not None
        and failed.kind in _BROKEN
        and failed.ran is Ran.MAYBE
    )


async def _fetch(client: HttpBackend | KeepAliveHttp, number: int) -> bytes:
    _, body = await fetch_body(
        client,
        'GET',
        f'/x/{number}',
        headers=_ID,
        body=b'',
        within=2_000.0,
        limit=1_000,
    )
    return body


# Guards against cut answers of stores and probes that are taken for whole.
@pytest.mark.parametrize('make_client', [HttpBackend, KeepAliveHttp])
@pytest.mark.parametrize('ending', _ENDINGS)
async def test_buffered_answer_that_is_cut_is_an_error(
    make_client: type[HttpBackend | KeepAliveHttp], ending: Ending
) -> None:
    cuts = list_cuts(make_shapes('application/json'), ending)
    wrong = []
    async with serving_replica(cut_in_turn(cuts)) as (_, address):
        client = make_client(address)
        for number, cut in enumerate(cuts):
            with contextlib.suppress(HttpError):
                body = await _fetch(client, number)
                if not cut.may_be_whole:
                    wrong.append((cut, body))
        await client.close()
    assert wrong == []


# Guards against ORDER in our own mode: the connection of a server that crashes
# may end in order, and a body without a length ended with it as whole.
@pytest.mark.parametrize('framing', Framing)
@pytest.mark.parametrize('media_type', _TYPES)
async def test_unframed_answer_of_a_server_that_has_ended_is_broken(
    media_type: str, framing: Framing
) -> None:
    servers: list[asyncio.Server] = []
    response = Response((b'data: a\n\n',), framing, media_type=media_type)

    async def run(peer: Peer) -> None:
        for each in servers:
            each.close()
        await send_response(peer, response)

    async with _serving_agent(run) as (replica, entry):
        assert replica.server is not None
        servers.append(replica.server)
        (found,) = await _call_each(entry, [None])
    assert (found.end is None) is (framing is Framing.CLOSE)
    assert _is_broken(found) is (framing is Framing.CLOSE)


# Guards against broken answers of servers that are alive.
@pytest.mark.parametrize('media_type', _TYPES)
async def test_unframed_answer_of_a_server_that_is_alive_is_whole(
    media_type: str,
) -> None:
    response = Response((b'data: a\n\n',), Framing.CLOSE, media_type=media_type)
    async with _serving_agent(respond(response)) as (_, entry):
        found = await _call_each(entry, [None] * 3)
    assert [each.body for each in found] == [response.body] * 3
    assert all(each.end is not None for each in found)


# Guards against broken answers of servers that are too busy to accept more.
async def test_unframed_answer_is_whole_if_its_server_accepts_no_more_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    response = Response((b'booked',), Framing.CLOSE, media_type='text/plain')

    async def wait(*_: object) -> None:
        await anyio.sleep_forever()

    async with _serving_agent(respond(response)) as (_, entry):
        monkeypatch.setattr('anyio.connect_tcp', wait)
        (found,) = await _call_each(entry, [None])
    assert (found.body, found.end is None) == (response.body, False)


# Guards against broken answers of servers that stop with their agent.
async def test_unframed_answer_is_whole_if_its_server_stops_with_its_agent():
    servers: list[asyncio.Server] = []
    response = Response((b'booked',), Framing.CLOSE, media_type='text/plain')

    async def run(peer: Peer) -> None:
        await entry.link.send(DrainRequest('op'))
        await wait_until(
            lambda: (
                entry.beat is not None
                and entry.beat.phase is AgentPhase.LEAVING
            )
        )
        for each in servers:
            each.close()
        await send_response(peer, response)

    async with _serving_agent(run) as (replica, entry):
        servers.append(replica.server)
        (found,) = await _call_each(entry, [None])
    assert (found.body, found.end is not None) == (b'booked', True)


# Guards against parts that count as free by an answer that was cut.
@pytest.mark.parametrize('ending', _ENDINGS)
async def test_cut_answer_of_a_store_frees_no_parts(
    ending: Ending,
) -> None:
    cuts = list_cuts(make_shapes('application/json'), ending)
    framed = [each for each in cuts if not each.may_be_whole]
    left = iter(framed)
    wrong = []

    async def run(peer: Peer) -> None:
        await next(left).send(peer)

    async with serving_replica(run) as (replica, address):
        client = ContextClient(address, lambda *_: None)
        for cut in framed:
            with contextlib.suppress(ContextUnavailable):
                wrong.append((cut, await client.free((), 1, 0.0, within=900.0)))
        await client.close()
    assert wrong == []
    assert len(replica.received) == len(framed)
