"""Check that an agent ends a stream at bytes that fit no event."""

from __future__ import annotations

import contextlib
import tracemalloc
from collections.abc import AsyncGenerator

import pytest

from agents import FakeEntry, connect_entry, make_settings, run_agent
from oleanderdyke.agent.event_check import EventCheck
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.links.messages import BackendKind, Credit
from tests.standins.framing import (
    Framing,
    Response,
    send_response,
)
from tests.standins.replica import Peer, serving_replica

pytestmark = pytest.mark.anyio

_ID = ('oleanderdyke-request-id', 'req-1')
_SOUND = b'data: {"a": 1}\n\ndata: {"a": 2}\n\n'
_HEAD = b'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n'
_GARBAGE = {
    'second answer': _HEAD + b'\r\nbooked',
    'second answer without a body': _HEAD + b'content-length: 0\r\n\r\n',
    'second stream': _HEAD + b'\r\n' + _SOUND,
    'binary': bytes(range(256)) + b'\n\n',
    'text': b'out of memory\n\n',
    'text without an end': b'out of memory',
    'JSON': b'{"error": "out of memory"}\n\n',
    'traceback': b'Traceback (most recent call last):\n  File "x"\n\n',
    'bytes before the field': b'\xff\xfedata: word\n\n',
    'unknown field': b'data: word\nnote: word\n\n',
    'word as time': b'retry: soon\n\n',
    'field in capitals': b'DATA: word\n\n',
}
_STREAMS = (
    _SOUND,
    _SOUND.replace(b'\n', b'\r\n'),
    _SOUND.replace(b'\n', b'\r'),
    _SOUND + b'data: [DONE]\n\n',
    b'data:a\n\ndata\n\n',
    b'event: word\ndata: a\ndata: b\n\n' + _SOUND,
    b'retry: 3000\n\n' + _SOUND,
    b': open\n\n' + _SOUND + b': kept open\n\n',
    b'id: of-the-server\ndata: a\n\n' + _SOUND,
    b'data: ' + b'x' * 300_000 + b'\n\n' + _SOUND,
    b'data: \xff\0 HTTP/1.1 200 OK\n\n' + _SOUND,
)


@contextlib.asynccontextmanager
async def _serving(
    responses: list[Response],
) -> AsyncGenerator[FakeEntry, None]:
    async def run(peer: Peer) -> None:
        _, _, number = peer.request.target.rpartition('/x/')
        if number:
            await send_response(peer, responses[int(number)])

    async with serving_replica(run) as (_, address):
        settings = make_settings(BackendKind.PLAIN, address, 'taquilla')
        async with run_agent(settings) as shell, connect_entry(shell) as entry:
            await entry.wait_serving()
            yield entry


async def _call_each(responses):
    found = []
    async with _serving(responses) as entry:
        for number in range(len(responses)):
            name = f'r{number}'
            dispatch = entry.make_dispatch(
                name, path=f'/x/{number}', headers=(_ID,)
            )
            await entry.link.send(Credit(name, 1, 1_000))
            found.append(await entry.call(dispatch, b'x'))
    return found


def _is_broken_off(found):
    failed = found.failed
    return (
        found.end is None
        and failed is not None
        and (failed.kind, failed.ran) == (ErrorKind.BACKEND_FAILED, Ran.MAYBE)
    )


# Guards against ORDER in our own mode: an agent passed on whatever came in a
# stream, and its end as that of a whole one.
@pytest.mark.parametrize('framing', Framing)
@pytest.mark.parametrize('is_joined', [True, False])
async def test_agent_ends_a_stream_at_bytes_that_fit_no_event(
    framing, is_joined
):
    responses = [
        Response((_SOUND + each,) if is_joined else (_SOUND, each), framing)
        for each in _GARBAGE.values()
    ]
    found = await _call_each(responses)
    wrong = [
        (name, each)
        for name, each in zip(_GARBAGE, found, strict=True)
        if not _is_broken_off(each) or each.body != _SOUND
    ]
    assert wrong == []


# Guards against sound streams being rejected with the others.
@pytest.mark.parametrize('framing', Framing)
async def test_agent_passes_sound_streams_on_byte_for_byte(framing):
    responses = [Response((each[:17], each[17:]), framing) for each in _STREAMS]
    found = await _call_each(responses)
    assert [each.body for each in found] == list(_STREAMS)
    assert all(each.end is not None for each in found)


# Guards against the check of events reaching other answers.
@pytest.mark.parametrize('framing', Framing)
async def test_agent_checks_no_answer_of_another_media_type(framing):
    responses = [
        Response((each,), framing, media_type='application/json')
        for each in _GARBAGE.values()
    ]
    found = await _call_each(responses)
    assert [each.body for each in found] == list(_GARBAGE.values())
    assert all(each.end is not None for each in found)


@pytest.mark.parametrize('size', [1, 3, 1_000])
@pytest.mark.parametrize('name', _GARBAGE)
def test_no_garbage_is_passed_on_as_an_event_whatever_the_pieces(name, size):
    data = _SOUND + _GARBAGE[name]
    passed, faults = _pour(data, size)
    assert faults == 1
    assert passed.startswith(_SOUND)
    # What has passed behind the sound events ends no event.
    assert b'\n\n' not in passed[len(_SOUND) :]


@pytest.mark.parametrize('size', [1, 3, 1_000])
@pytest.mark.parametrize('number', range(len(_STREAMS)))
def test_sound_stream_has_no_fault_whatever_the_pieces(number, size):
    assert _pour(_STREAMS[number], size) == (_STREAMS[number], 0)


def _pour(data, size):
    check = EventCheck()
    passed = bytearray()
    for start in range(0, len(data), size):
        piece = data[start : start + size]
        sound, fault = check.find_fault(piece)
        passed += piece[:sound]
        if fault:
            return bytes(passed), 1
    return bytes(passed), 0


# Guards against a line without end that fills the memory of an agent.
def test_memory_of_the_check_does_not_grow_with_a_line():
    check = EventCheck()
    check.find_fault(b'data: ')
    piece = b'x' * 50_000
    tracemalloc.start()
    try:
        for _ in range(200):
            check.find_fault(piece)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held < 100_000
