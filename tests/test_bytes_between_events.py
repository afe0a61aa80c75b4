"""Check that bytes that fit no event end a stream, whatever they are."""

from __future__ import annotations

import contextlib
import itertools
import tracemalloc

import anyio
import pytest

from oleanderdyke.entry.hosted.events import EventSplitter
from oleanderdyke.event_streams import EVENT_LIMIT_BYTES, EventFault
from tests.hosted import prefer, staging
from tests.standins.framing import (
    Ending,
    Framing,
    Response,
    respond,
    send_response,
)
from tests.standins.replica import make_event
from tests.standins.scripts import stream

pytestmark = pytest.mark.anyio

_HEAD = (
    b'oleanderdyke-request-id: req-1\r\noleanderdyke-response-seal: seal\r\n'
)
_VERSION = b'oleanderdyke-weight-versions: 3\n'
_SOUND = make_event(1) + make_event(2)
_PATHS = ('/letter/', '/stream/')
# Bytes that fit no event behind those numbered 1 and 2.
_SPOILT = {
    'second answer': b'HTTP/1.1 200 OK\r\n' + _HEAD + b'\r\nbooked',
    'second answer without a body': (
        b'HTTP/1.1 503 Told\r\n' + _HEAD + b'content-length: 0\r\n\r\n'
    ),
    'second stream': b'HTTP/1.1 200 OK\r\n' + _HEAD + b'\r\n' + make_event(3),
    'binary': bytes(range(256)) + b'\n\n',
    'text': b'out of memory\n\n',
    'text without an end': b'out of memory',
    'no id': b'data: word\n\n',
    'empty id': b'id:\ndata: word\n\n',
    'quoted id': b'id: ""\ndata: word\n\n',
    'word as id': b'id: three\ndata: word\n\n',
    'negative id': b'id: -3\ndata: word\n\n',
    'zero as id': b'id: 0\ndata: word\n\n',
    'two ids': b'id: 3\nid: 4\ndata: word\n\n',
    'NUL in the id': b'id: 3\0\ndata: word\n\n',
    'bytes before the field': b'\xff\xfeid: 3\ndata: word\n\n',
    'unknown field': b'id: 3\ndata: word\nnote: word\n\n',
    'version behind the id': b'id: 3\n' + _VERSION + b'data: word\n\n',
    'version without an id': _VERSION + b'\n',
    'digits without end': b'id: ' + b'3' * 19 + b'\ndata: word\n\n',
}
_GARBAGE = _SPOILT | {
    'first id again': make_event(1),
    'last id again': make_event(2),
}
# Sound streams, which reach callers byte for byte.
_STREAMS = (
    _SOUND.replace(b'\n', b'\r\n'),
    _SOUND.replace(b'\n', b'\r'),
    b'id:1\ndata:a\n\nid:9\ndata:b\n\n',
    b'id: 1\ndata: a\ndata: b\ndata\n\n' + make_event(2),
    b'event: word\nid: 1\ndata: a\n\n' + make_event(2),
    b'retry: 3000\n\n' + _SOUND,
    b': open\n\n' + make_event(1) + b': kept open\n\n' + make_event(2),
    make_event(1) + _VERSION + make_event(2),
    make_event(1) + b'id: 700\ndata: gap\n\n',
    b'id: 1\n\n' + make_event(2),
    b'id: 1\ndata: ' + b'x' * 700_000 + b'\n\n' + make_event(2),
    b'id: 1\ndata: \xff\0 HTTP/1.1 200 OK\n\n' + make_event(2),
)


def _pour(splitter, data, size):
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    return b''.join(
        event.data for piece in pieces for event in splitter.feed(piece)
    )


def _answer_in_turn(responses):
    """Return a script that sends the response that a path numbers."""

    async def run(peer):
        number = int(peer.request.target.rpartition('/')[2])
        await send_response(peer, responses[number])

    return run


async def _find_wrong(directory, responses, is_right):
    """Return the calls whose answer is not right, by path and response."""
    wrong = []
    async with staging(directory, _answer_in_turn(responses)) as stage:
        for number, path in itertools.product(range(len(responses)), _PATHS):
            found = await stage.call(f'{path}{number}')
            if not is_right(found, responses[number]):
                wrong.append((path, responses[number].framing, number, found))
    return wrong


# Guards against ORDER: bytes between two blank lines reached callers as an
# event, and the stream was framed as whole.
@pytest.mark.parametrize('framing', Framing)
async def test_bytes_that_fit_no_event_are_neither_passed_on_nor_an_end(
    tmp_path, framing
):
    wrong = await _find_wrong(
        tmp_path,
        [Response((_SOUND, each), framing) for each in _GARBAGE.values()],
        # The body of a broken answer with a length is not read.
        lambda found, _: (
            not found.is_whole
            and found.body
            == (b'' if 'content-length' in found.headers else _SOUND)
        ),
    )
    assert wrong == []


# Guards against a stream of garbage alone that is answered 200.
async def test_answer_that_begins_with_no_event_fails(tmp_path):
    wrong = await _find_wrong(
        tmp_path,
        [Response((each,), Framing.CLOSE) for each in _SPOILT.values()],
        lambda found, _: found.status == 502,
    )
    assert wrong == []


# Guards against faults of which the log says nothing, and servers that count as
# sound after them.
@pytest.mark.parametrize('path', _PATHS)
async def test_fault_is_logged_with_its_place_and_counts_as_an_error(
    tmp_path, path
):
    spoilt = Response((_SOUND, _GARBAGE['quoted id']))
    async with staging(tmp_path, respond(spoilt)) as stage:
        await stage.call(path)
        assert stage.core.backends.find('i-0').errors
        log = stage.log.read_text().splitlines()
    broken = next(line for line in log if 'answer_broken' in line)
    assert f'id is not a number, {len(_SOUND)} bytes into' in broken


# Guards against a stream that another server could complete being given up.
@pytest.mark.parametrize('name', _GARBAGE)
async def test_stream_goes_on_elsewhere_from_its_last_sound_event(
    tmp_path, name
):
    spoilt = respond(Response((_SOUND, _GARBAGE[name]), Framing.CLOSE))
    async with staging(tmp_path, spoilt, stream(3, 5)) as stage:
        prefer(stage, 0)
        found = await stage.call('/stream/1')
        (seen,) = stage.replicas[1].received
    whole = b''.join(make_event(number) for number in range(1, 6))
    assert (found.body, found.is_whole) == (whole, True)
    assert seen.headers['last-event-id'] == '2'


# Guards against waiting for the end of bytes that no blank line follows.
@pytest.mark.parametrize('path', _PATHS)
async def test_garbage_is_rejected_before_its_server_ends(tmp_path, path):
    open_ended = Response(
        (_SOUND, b'HTTP/1.1 200 OK\r\n'),
        ending=Ending.KEEP,
        is_finished=False,
    )
    async with staging(tmp_path, respond(open_ended)) as stage:
        with anyio.fail_after(1.5):
            found = await stage.call(path)
    assert (found.body, found.is_whole) == (_SOUND, False)


# Guards against sound streams being rejected with the others.
@pytest.mark.parametrize('framing', Framing)
async def test_sound_streams_are_passed_on_byte_for_byte(tmp_path, framing):
    wrong = await _find_wrong(
        tmp_path,
        [Response((each[:17], each[17:]), framing) for each in _STREAMS],
        lambda found, sent: (found.body, found.is_whole) == (sent.body, True),
    )
    assert wrong == []


@pytest.mark.parametrize('size', [1, 3, 1_000])
@pytest.mark.parametrize('is_resumable', [True, False])
@pytest.mark.parametrize('name', _GARBAGE)
def test_fault_is_found_whatever_the_pieces(name, is_resumable, size):
    splitter = EventSplitter(None, is_resumable=is_resumable)
    assert _pour(splitter, _SOUND, size) == _SOUND
    with contextlib.suppress(EventFault):
        assert _pour(splitter, _GARBAGE[name], size) == b''
        assert splitter.has_partial_event
    assert splitter.position == len(_SOUND)


# Guards against a long event, passed on in parts, that is not checked.
@pytest.mark.parametrize(
    'end', [b'\nid: 4\n\n', b'\nnote: x\n\n', b'\n\ndata: x\n\n']
)
def test_long_event_is_checked_to_its_end(end):
    splitter = EventSplitter(None, is_resumable=False)
    begin = b'id: 3\ndata: ' + b'x' * 600_000
    assert _pour(splitter, begin, 9_000)
    with pytest.raises(EventFault):
        _pour(splitter, end, 2)


# Guards against an event of endless lines that fills the memory of an entry.
def test_memory_for_a_long_event_does_not_grow_with_its_lines():
    splitter = EventSplitter(None, is_resumable=False)
    lines = b'data: x\n' * 10_000
    assert _pour(splitter, b'id: 3\n' + lines * 20, 50_000)
    tracemalloc.start()
    try:
        _pour(splitter, lines * 80, 50_000)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held < 1024 * 1024


def test_long_event_without_an_id_is_a_fault():
    splitter = EventSplitter(None, is_resumable=False)
    with pytest.raises(EventFault):
        _pour(splitter, b'data: ' + b'x' * EVENT_LIMIT_BYTES, 50_000)


# Guards against a stream that ends as whole behind events of another run, which
# did not go on after the last event.
@pytest.mark.parametrize('number', [1, 2])
def test_next_answer_goes_on_after_the_last_event(number):
    splitter = EventSplitter(None)
    assert _pour(splitter, _SOUND, 100) == _SOUND
    splitter.begin_answer()
    with pytest.raises(EventFault):
        list(splitter.feed(make_event(number)))
