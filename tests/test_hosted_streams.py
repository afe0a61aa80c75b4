from __future__ import annotations

import anyio
import pytest

from oleanderdyke.kernel.retries import RetrySettings
from tests.hosted import (
    CONFIGURATION,
    STREAM_ROUTE,
    prefer,
    staging,
)
from tests.standins.replica import (
    make_chunk,
    make_event,
    make_head,
)
from tests.standins.scripts import send_events, stream

pytestmark = pytest.mark.anyio


async def test_stream_resumes_elsewhere_with_each_event_once(tmp_path):
    first = stream(1, 3, ending=b'')
    second = stream(4, 6)
    async with staging(tmp_path, first, second) as stage:
        bodies = [
            (await stage.call('/stream/1', oleanderdyke_deadline_ms='1900'))
            for _ in range(4)
        ]
    whole = b''.join(make_event(number) for number in range(1, 7))
    resumed = [found for found in bodies if found.body == whole]
    assert resumed
    assert all(found.is_whole for found in resumed)
    told = [
        seen.headers.get('last-event-id') for seen in stage.replicas[1].received
    ]
    assert '3' in told


# Guards against ORDER: a run that did not go on after the last event was joined
# to the one before, less the events that it repeated.
async def test_answer_that_repeats_an_event_does_not_continue_a_stream(
    tmp_path,
):
    first = stream(1, 3, ending=b'')
    async with staging(tmp_path, first, stream(3, 6)) as stage:
        prefer(stage, 0)
        found = await stage.call('/stream/1')
    whole_events = b''.join(make_event(number) for number in range(1, 4))
    assert (found.body, found.is_whole) == (whole_events, False)


async def test_truncated_event_is_not_forwarded_twice(tmp_path):
    async def cut(peer):
        await peer.send(
            make_head(
                peer.request,
                content_type='text/event-stream',
                transfer_encoding='chunked',
            )
        )
        await peer.send(make_chunk(make_event(1) + make_event(2)[:9]))
        peer.reset()

    async with staging(tmp_path, cut, stream(2, 3)) as stage:
        found = [await stage.call('/stream/1') for _ in range(4)]
    whole = b''.join(make_event(number) for number in range(1, 4))
    assert whole in [each.body for each in found]
    for each in found:
        assert each.body.count(b'id: 1\n') <= 1


async def test_unresumable_stream_ends_truncated(tmp_path):
    async with staging(tmp_path, stream(1, 3, ending=b'')) as stage:
        found = await stage.call('/letter/1')
        assert not found.is_whole


async def test_silent_stream_resumes_elsewhere(tmp_path):
    async def stall(peer):
        await peer.send(
            make_head(
                peer.request,
                content_type='text/event-stream',
                transfer_encoding='chunked',
            )
        )
        await peer.send(make_chunk(make_event(1) + make_event(2)))
        await peer.wait_closed()

    async with staging(tmp_path, stall, stream(3, 5)) as stage:
        found = [await stage.call('/stream/1') for _ in range(2)]
    whole = b''.join(make_event(number) for number in range(1, 6))
    assert whole in [each.body for each in found]


async def test_stream_waits_for_a_slow_second_server(
    tmp_path,
):
    """An overloaded server may start a run seconds after receiving it.

    Guards against aborting a resumed stream whose second server, the last that
    may run it, sends nothing for four seconds: the caller would lose the rest
    of a response that was still to come.
    """

    async def begin_late(peer):
        await anyio.sleep(4.5)
        await stream(3, 5)(peer)

    route = {**STREAM_ROUTE, 'timeoutMs': 9_000}
    async with staging(
        tmp_path,
        stream(1, 2, ending=b''),
        begin_late,
        configuration={**CONFIGURATION, 'routes': [route]},
    ) as stage:
        prefer(stage, 0)
        found = await stage.call('/stream/1', oleanderdyke_deadline_ms='9000')
    whole = b''.join(make_event(number) for number in range(1, 6))
    assert (found.body, found.is_whole) == (whole, True)


async def test_streams_that_share_one_retry_are_not_all_aborted(
    tmp_path,
):
    """Streams at a silent server share the remaining retry budget.

    Guards against aborting all of them because each sees the same single retry:
    only the first could resume elsewhere, and the others would be lost.
    """

    async def pause(peer):
        await send_events(peer, 1, 2)
        await anyio.sleep(1.5)
        for number in range(3, 6):
            await peer.send(make_chunk(make_event(number)))
        await peer.send(b'0\r\n\r\n')

    answers = []
    async with staging(tmp_path, pause, stream(3, 5)) as stage:
        prefer(stage, 0)
        budget = stage.core.find_budget('desk')
        budget.resize(RetrySettings(share=0.0, burst=1.0))

        async def ask(number):
            found = await stage.call(
                '/stream/1', oleanderdyke_request_id=f'req-{number}'
            )
            answers.append((found.body, found.is_whole))

        async with anyio.create_task_group() as tasks:
            for number in range(3):
                tasks.start_soon(ask, number)
    whole = b''.join(make_event(number) for number in range(1, 6))
    assert answers == [(whole, True)] * 3


async def _fail(peer):
    await peer.answer(500, b'out of order')


async def _answer_at_once(peer):
    await peer.answer(200, b'no stream')


@pytest.mark.parametrize('other', [_fail, _answer_at_once])
async def test_response_that_is_no_stream_never_completes_a_truncated_one(
    tmp_path, other
):
    async with staging(tmp_path, stream(1, 2, ending=b''), other) as stage:
        prefer(stage, 0)
        found = await stage.call('/stream/1')
        assert len(stage.replicas[1].received) == 1
    whole_events = make_event(1) + make_event(2)
    assert (found.body, found.is_whole) == (whole_events, False)


async def _begin_and_die(peer):
    await send_events(peer, 1, 0)
    # A reset may overtake data sent before it.
    await anyio.sleep(0.1)
    peer.reset()


async def test_response_has_the_head_of_its_own_attempt(tmp_path):
    async with staging(tmp_path, _begin_and_die, _fail) as stage:
        prefer(stage, 0)
        found = await stage.call('/stream/1')
        assert len(stage.replicas[1].received) == 1
    assert (found.status, found.body) == (500, b'out of order')


# Guards against an id of digits without end that fails the whole request.
async def test_endless_last_event_id_is_refused_like_one_of_an_unknown_stream(
    tmp_path,
):
    async with staging(tmp_path, stream(1, 2)) as stage:
        found = [
            (await stage.call('/stream/1', last_event_id=last)).status
            for last in ('word', '9' * 5_000)
        ]
    assert found == [503, 503]
