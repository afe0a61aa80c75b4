"""Check that what a caller gets of several answers is one stream."""

from __future__ import annotations

import asyncio
import math

import anyio
import pytest

from oleanderdyke.entry.hosted.events import EventSplitter, EventSteps
from oleanderdyke.kernel.servers import ServerStart
from tests.hosted import (
    CONFIGURATION,
    SERVERS,
    STREAM_ROUTE,
    UNRESUMABLE_ROUTE,
    make_record,
    prefer,
    staging,
)
from tests.standins.framing import Ending, Framing, Response, respond
from tests.standins.records import RecordStore
from tests.standins.replica import make_event
from tests.standins.scripts import stream

pytestmark = pytest.mark.anyio

_PLAIN = 'text/plain'
# More than an entry holds back of a body that is no stream.
_LARGE = b'x' * 300_000


# Guards against ORDER: the beginning of a body that is no stream was followed
# by the whole answer of another run.
@pytest.mark.parametrize('framing', [Framing.CHUNKS, Framing.LENGTH])
@pytest.mark.parametrize('media_type', [_PLAIN, 'text/event-stream'])
async def test_begun_body_that_is_no_stream_is_followed_by_no_other_run(
    tmp_path, media_type, framing
):
    broken = Response(
        (_LARGE,),
        framing,
        Ending.RESET,
        media_type=_PLAIN,
        is_finished=False,
    )
    second = Response((make_event(1),), media_type=media_type)
    async with staging(tmp_path, respond(broken), respond(second)) as stage:
        prefer(stage, 0)
        found = await stage.call('/stream/1')
        assert not stage.replicas[1].received
    assert not found.is_whole
    assert set(found.body) <= {ord('x')}


# Guards against ORDER: a caller took a stream up at a route that is not
# resumable any more, and got the events that it had once more.
@pytest.mark.parametrize('path', ['/stream/1', '/letter/1'])
@pytest.mark.parametrize('number', [1, 3, 4])
async def test_stream_taken_up_at_any_route_gets_only_later_events(
    tmp_path, number, path
):
    async def tell(peer):
        is_first = 'last-event-id' not in peer.request.headers
        await (stream(1, 3) if is_first else stream(number, 4))(peer)

    async with staging(tmp_path, tell) as stage:
        await stage.call('/stream/1')
        found = await stage.call(
            path,
            last_event_id='3',
            oleanderdyke_request_id='req-2',
            resumes='req-1',
        )
        assert len(stage.replicas[0].received) > 1
    is_sound = number == 4
    assert (found.status == 200, b'data:' in found.body) == (is_sound, is_sound)


# Guards against ORDER: a caller took a stream up at a route that is not
# resumable any more, and got events of another version.
@pytest.mark.parametrize('path', ['/stream/1', '/letter/1'])
async def test_stream_of_unknown_origin_is_taken_up_at_no_route(tmp_path, path):
    scripts = (stream(4, 6), stream(4, 6))
    async with staging(tmp_path, *scripts, versions=('v1', 'v2')) as stage:
        found = await stage.call(path, last_event_id='3')
        assert not any(each.received for each in stage.replicas)
    assert (found.status, b'wrong_version' in found.body) == (503, True)


# Guards against refusals of requests that were served: where no stream may be
# taken up, `Last-Event-Id` concerns the servers alone.
async def test_last_event_id_binds_no_request_where_no_stream_is_resumable(
    tmp_path,
):
    scripts = (stream(4, 6), stream(4, 6))
    configuration = {**CONFIGURATION, 'routes': [UNRESUMABLE_ROUTE]}
    async with staging(
        tmp_path,
        *scripts,
        versions=('v1', 'v2'),
        configuration=configuration,
    ) as stage:
        found = await stage.call('/letter/1', last_event_id='3')
    assert (found.status, found.is_whole) == (200, True)


# Guards against the same where one version alone can have begun the stream.
async def test_stream_at_a_route_not_resumable_goes_on_at_the_only_version(
    tmp_path,
):
    async with staging(tmp_path, stream(4, 6)) as stage:
        stage.core.software._services['desk'].since = -math.inf
        found = await stage.call('/letter/1', last_event_id='3')
    assert (found.status, found.is_whole) == (200, True)


def _tell(*numbers):
    return b''.join(map(make_event, numbers))


def _break_off(*numbers):
    """Return a script that resets the connection after some events."""
    return respond(
        Response((_tell(*numbers),), ending=Ending.RESET, is_finished=False)
    )


def _count_steps(stage):
    """Let the entry have seen streams whose events step by one."""
    splitter = EventSplitter(None, steps=stage.core.find_steps('desk'))
    assert len(list(splitter.feed(_tell(*range(1, 200))))) == 199


# Guards against ORDER: a stream went on elsewhere with a piece missing.
@pytest.mark.parametrize(('is_known', 'seen'), [(True, (1,)), (False, (1, 2))])
@pytest.mark.parametrize('after', [2, 3, 100])
async def test_stream_whose_next_piece_is_missing_goes_on_at_a_third_server(
    tmp_path, after, seen, is_known
):
    last = seen[-1]
    lacking = respond(Response((_tell(last + after, last + after + 1),)))
    servers = (_break_off(*seen), lacking, stream(last + 1, 5))
    configuration = {
        **CONFIGURATION,
        'routes': [{**STREAM_ROUTE, 'maxAttempts': 3}],
    }
    async with staging(
        tmp_path, *servers, configuration=configuration
    ) as stage:
        prefer(stage, 0)
        stage.core.backends.record_error(ServerStart('i-2'))
        if is_known:
            _count_steps(stage)
        found = await stage.call('/stream/1')
        asked = [len(each.received) for each in stage.replicas]
        log = stage.log.read_text()
    assert asked == [1, 1, 1]
    assert (found.body, found.is_whole) == (_tell(1, 2, 3, 4, 5), True)
    assert f'event {last + after} comes after event {last}' in log


# Guards against ORDER: a caller took a stream up, and a piece was missing.
@pytest.mark.parametrize('first', [4, 5])
async def test_stream_taken_up_begins_at_its_next_piece(tmp_path, first):
    async def tell(peer):
        is_first = 'last-event-id' not in peer.request.headers
        await (stream(1, 3) if is_first else stream(first, 6))(peer)

    async with staging(tmp_path, tell) as stage:
        _count_steps(stage)
        await stage.call('/stream/1')
        found = await stage.call(
            '/stream/1',
            last_event_id='3',
            oleanderdyke_request_id='req-2',
            resumes='req-1',
        )
    assert (found.status == 200) == (first == 4)
    assert (b'data:' in found.body) == (first == 4)


# Guards against sound streams that are rejected, as their own numbers have
# gaps, or may have.
@pytest.mark.parametrize('seen', [(1,), (1, 9), (1, 2, 9), (1, 9, 10)])
async def test_stream_whose_numbers_may_have_gaps_goes_on_with_one(
    tmp_path, seen
):
    rest = respond(Response((_tell(20, 30),)))
    async with staging(tmp_path, _break_off(*seen), rest) as stage:
        prefer(stage, 0)
        found = await stage.call('/stream/1')
    assert (found.body, found.is_whole) == (_tell(*seen, 20, 30), True)


def test_a_gap_shows_that_the_streams_of_a_service_may_have_some():
    steps = EventSteps()
    splitter = EventSplitter(None, steps=steps)
    list(splitter.feed(_tell(*range(1, 200))))
    assert steps.are_known
    list(splitter.feed(_tell(300)))
    assert not steps.are_known


class _DyingServer:
    """Answer one request without a length, and die a moment later.

    What connects meanwhile is cut as the process ends.
    """

    def __init__(self):
        self._listener = None
        self._connections = []

    async def start(self):
        self._listener = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._listener.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def _serve(self, reader, writer):
        self._connections.append(writer.transport)
        head = (await reader.read(65_536)).decode('latin-1').lower()
        if not head:
            return
        name = next(each for each in head.split('\r\n') if 'st-id:' in each)
        writer.write(
            f'HTTP/1.1 200 Told\r\n{name}\r\n'
            'oleanderdyke-response-seal: seal\r\n'
            'content-type: text/event-stream\r\n\r\n'.encode()
            + _tell(1, 2)
        )
        writer.close()
        await anyio.sleep(0.02)
        self._listener.close()
        for connection in self._connections:
            connection.abort()


# Guards against ORDER: a stream without a length ended as whole before its last
# event, as its server's listener outlived its connection by a moment.
async def test_stream_whose_server_dies_a_moment_later_goes_on(tmp_path):
    store = RecordStore()
    address = await _DyingServer().start()
    store.put(SERVERS, 'i-9', make_record(address))
    async with staging(tmp_path, stream(3, 5), store=store) as stage:
        stage.core.backends.record_error(ServerStart('i-0'))
        found = await stage.call('/stream/1')
        assert stage.replicas[0].received
    assert (found.body, found.is_whole) == (_tell(1, 2, 3, 4, 5), True)
