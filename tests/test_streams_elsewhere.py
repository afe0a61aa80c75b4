"""Check that what a caller gets of several answers is one stream."""

from __future__ import annotations

import pytest

from tests.hosted import prefer, staging
from tests.standins.framing import Ending, Framing, Response, respond
from tests.standins.replica import make_event

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
