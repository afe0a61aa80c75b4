"""Check that an answer is framed as complete only if its server ended it."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Sequence

import anyio
import pytest

from oleanderdyke.metrics import Count
from tests.hosted import Stage, make_request, prefer, staging
from tests.standins.framing import (
    EVENT_STREAM,
    Framing,
    Response,
    respond,
    send_response,
)
from tests.standins.replica import Peer, Script, make_event, make_head
from tests.standins.scripts import stream

pytestmark = pytest.mark.anyio

_PATHS = ('/letter/', '/stream/')
_MEDIA_TYPES = ('Text/Event-Stream; charset=utf-8', 'TEXT/EVENT-STREAM')
_EVENTS = make_event(1) + make_event(2)
_CUTS = (
    b'id: 3\n',
    b'id: 3\ndata: wo',
    b'i',
    b'id: 3\ndata: word3\n',
    b': keep',
    b'data: x',
)
_BROKEN = (
    *(Response((_EVENTS, cut), Framing.CLOSE) for cut in _CUTS),
    Response((make_event(1)[:9],), Framing.CLOSE),
    Response((_EVENTS, b'id: 3\ndata: wo'), Framing.CHUNKS),
    Response((_EVENTS, b'id: 3\ndata: wo'), Framing.LENGTH),
    *(
        Response((_EVENTS, b'id: 3\nda'), Framing.CLOSE, media_type=media_type)
        for media_type in _MEDIA_TYPES
    ),
)
_WHOLE = tuple(
    Response((body[:11], body[11:]), framing)
    for body in (
        _EVENTS,
        _EVENTS.replace(b'\n', b'\r\n'),
        _EVENTS.replace(b'\n', b'\r'),
        make_event(1) + make_event(2).replace(b'\n', b'\r\n'),
        b': kept open\n\n' + _EVENTS + b'\n',
    )
    for framing in Framing
)


def _respond_in_turn(responses: Sequence[Response]) -> Script:
    """Return a script that sends the response that a path numbers."""

    async def run(peer: Peer) -> None:
        number = int(peer.request.target.rpartition('/')[2])
        await send_response(peer, responses[number])

    return run


# Guards against ORDER: a stream that breaks off within an event was framed as
# complete where it may not be resumed, or its media type is in upper case.
async def test_streams_that_end_within_an_event_are_not_framed_as_complete(
    tmp_path,
):
    passed = []
    async with staging(tmp_path, _respond_in_turn(_BROKEN)) as stage:
        for number, path in itertools.product(range(len(_BROKEN)), _PATHS):
            found = await stage.call(f'{path}{number}')
            if found.status == 200 and found.is_whole:
                passed.append((path, _BROKEN[number]))
    assert passed == []


# Guards against whole streams being broken off: line ends of events may be
# CRLF, CR or LF in any mix.
async def test_whole_streams_reach_their_callers_whatever_their_line_ends(
    tmp_path,
):
    lost = []
    async with staging(tmp_path, _respond_in_turn(_WHOLE)) as stage:
        for number, path in itertools.product(range(len(_WHOLE)), _PATHS):
            found = await stage.call(f'{path}{number}')
            if (found.body, found.is_whole) != (_WHOLE[number].body, True):
                lost.append((path, _WHOLE[number], found))
    assert lost == []


# Guards against ORDER: a caller of HTTP/1.0 reads a broken stream up to the end
# of its connection, which was closed in order.
async def test_broken_stream_resets_the_connection_of_a_caller_without_chunks(
    tmp_path,
):
    response = Response((_EVENTS,), Framing.CHUNKS, is_finished=False)
    whole = []
    async with staging(tmp_path, respond(response)) as stage:
        for path in _PATHS:
            reader, writer = await asyncio.open_connection(*stage.address)
            request = make_request(path, connection='')
            writer.write(request.replace(b'HTTP/1.1', b'HTTP/1.0', 1))
            if await _ends_in_order(reader):
                whole.append(path)
            writer.close()
    assert whole == []


async def _ends_in_order(reader: asyncio.StreamReader) -> bool:
    """Read a response to its end; return False if its connection was reset."""
    try:
        with anyio.fail_after(5):
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return False
    return b' 200 ' in head.split(b'\r\n')[0]


async def test_log_and_metrics_name_answers_that_end_with_their_connection(
    tmp_path,
):
    async with staging(tmp_path, _respond_in_turn(_WHOLE)) as stage:
        for number in range(len(Framing)):
            await stage.call(f'/letter/{number}')
        count = stage.core.metrics.read_count(Count.ANSWERS_CLOSED, 'desk')
        log = stage.log.read_text()
    assert log.count('framing=close') == 1
    assert count == 1


def _crash_after(response: Response, servers: list[asyncio.Server]) -> Script:
    """Return a script that sends a response and ends its server at once."""

    async def run(peer: Peer) -> None:
        for each in servers:
            each.close()
        await send_response(peer, response)

    return run


# Guards against ORDER: the connection of a server that crashes may end in order
# between two events, or within a body of any other type.
@pytest.mark.parametrize('path', ['/letter/1', '/once/1'])
async def test_answer_that_ends_with_its_server_is_not_framed_as_complete(
    tmp_path, path
):
    servers: list[asyncio.Server] = []
    media_type = 'text/plain' if path == '/once/1' else EVENT_STREAM
    response = Response((_EVENTS,), Framing.CLOSE, media_type=media_type)
    async with staging(tmp_path, _crash_after(response, servers)) as stage:
        servers += [each.server for each in stage.replicas]
        found = await stage.call(path)
    assert (found.status, found.is_whole) != (200, True)


async def test_answer_that_ends_with_its_connection_leaves_another_one(
    tmp_path,
):
    response = Response((_EVENTS,), Framing.CLOSE)
    async with staging(tmp_path, respond(response)) as stage:
        for _ in range(4):
            found = await stage.call('/letter/1')
            assert (found.body, found.is_whole) == (_EVENTS, True)
        assert stage.replicas[0].connections == 5


def _leave(get_stage: Callable[[], Stage], run: Script) -> Script:
    """Return a script whose server leaves as it begins to answer."""

    async def leave(peer: Peer) -> None:
        core = get_stage().core
        backend = core.backends.find('i-0')
        core.mark_leaving(backend.record.start, 'req-1')
        await run(peer)

    return leave


@pytest.mark.parametrize('path', ['/letter/1', '/once/1'])
async def test_answer_of_a_server_that_leaves_and_goes_on_is_whole(
    tmp_path, path
):
    media_type = 'text/plain' if path == '/once/1' else EVENT_STREAM
    response = Response((_EVENTS,), Framing.CLOSE, media_type=media_type)
    script = _leave(lambda: stage, respond(response))
    async with staging(tmp_path, script) as stage:
        found = await stage.call(path)
    assert (found.body, found.is_whole) == (_EVENTS, True)


# Guards against MIXED and ORDER: an answer that was cut as its leaving server
# was killed was framed as complete.
@pytest.mark.parametrize('path', ['/letter/1', '/once/1'])
async def test_answer_that_ends_with_its_leaving_server_is_not_complete(
    tmp_path, path
):
    servers: list[asyncio.Server] = []
    media_type = 'text/plain' if path == '/once/1' else EVENT_STREAM
    response = Response((_EVENTS,), Framing.CLOSE, media_type=media_type)
    script = _leave(lambda: stage, _crash_after(response, servers))
    async with staging(tmp_path, script) as stage:
        servers += [each.server for each in stage.replicas]
        found = await stage.call(path)
    assert (found.status, found.is_whole) != (200, True)


# Guards against ORDER: a stream that went on elsewhere kept the length of the
# answer that began it, so it ended as whole before its last event.
async def test_stream_that_may_go_on_elsewhere_has_no_length_of_its_beginning(
    tmp_path,
):
    promised = make_event(1) + make_event(2)

    async def begin(peer: Peer) -> None:
        head = make_head(
            peer.request,
            content_type=EVENT_STREAM,
            content_length=str(len(promised)),
        )
        await peer.send(head + make_event(1))
        peer.writer.close()

    async with staging(tmp_path, begin, stream(2, 4)) as stage:
        prefer(stage, 0)
        found = await stage.call('/stream/1')
    whole = b''.join(make_event(number) for number in range(1, 5))
    assert (found.body, found.is_whole) == (whole, True)
