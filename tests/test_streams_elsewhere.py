"""Check that what a caller gets of several answers is one stream."""

from __future__ import annotations

import pytest

from tests.hosted import prefer, staging
from tests.standins.framing import Ending, Framing, Response, respond
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
