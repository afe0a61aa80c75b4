"""Check how event streams and the ends of events are recognized."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderdyke.entry.hosted.events import (
    EventFramer,
    EventSplitter,
)
from oleanderdyke.entry.sse import EventNumberer, Position
from oleanderdyke.event_streams import (
    EVENT_LIMIT_BYTES,
    EventFault,
    count_events,
    is_event_stream,
    is_within_event,
)

_LINE_ENDS = st.sampled_from([b'\n', b'\r\n', b'\r'])


@st.composite
def _draw_stream(draw):
    """Draw numbered events with any line ends, and the stream in pieces."""
    events = []
    for number in range(1, draw(st.integers(1, 4)) + 1):
        first, second, third = (draw(_LINE_ENDS) for _ in range(3))
        if second == b'\r':
            # An LF would belong to the line end before it.
            third = draw(st.sampled_from([b'\r', b'\r\n']))
        text = b'id: %d%bdata: word%d' % (number, first, number)
        events.append(text + second + third)
    whole = b''.join(events)
    cuts = draw(st.lists(st.integers(0, len(whole)), max_size=6))
    places = [0, *sorted(cuts), len(whole)]
    pieces = [whole[first:last] for first, last in itertools.pairwise(places)]
    return len(events), whole, pieces


# Guards against ORDER: streams whose media type was in upper case were not
# checked for an incomplete event.
@pytest.mark.parametrize(
    ('content_type', 'expected'),
    [
        ('text/event-stream', True),
        ('Text/Event-Stream; charset=utf-8', True),
        ('TEXT/EVENT-STREAM;charset=utf-8', True),
        ('text/event-stream-like', False),
        ('application/json', False),
    ],
)
def test_media_type_of_event_streams_has_no_case(content_type, expected):
    assert is_event_stream([('Content-Type', content_type)]) is expected


# Guards against whole streams being broken off, as only LF ended an event.
@given(_draw_stream())
def test_every_event_is_found_whatever_its_line_ends_and_its_pieces(drawn):
    count, whole, pieces = drawn
    splitter = EventSplitter(None)
    events = [each for piece in pieces for each in splitter.feed(piece)]
    found = b''.join(each.data for each in events)
    assert found + splitter.take_rest() == whole
    assert [each.number for each in events] == list(range(1, count + 1))
    assert not splitter.has_partial_event
    assert count_events(whole) == count


@given(_draw_stream())
def test_numberer_numbers_every_event_whatever_its_line_ends(drawn):
    count, _, pieces = drawn
    numberer = EventNumberer(Position())
    sent = b''.join(map(numberer.take, pieces)) + numberer.finish()
    assert sent.count(b'data: ') == count
    blocks = sent.replace(b'\r\n', b'\n').replace(b'\r', b'\n')
    assert not blocks.split(b'\n\n')[-1].strip()
    assert len(blocks.split(b'\n\n')) == count + 1


@given(_draw_stream(), st.data())
def test_stream_cut_within_an_event_holds_a_partial_one(drawn, data):
    _, whole, _ = drawn
    cut = data.draw(st.integers(1, len(whole) - 1))
    splitter = EventSplitter(None)
    found = b''.join(each.data for each in splitter.feed(whole[:cut]))
    assert splitter.has_partial_event is bool(whole[len(found) : cut].strip())


# Guards against holding an event that never ends: its beginning is passed on,
# and a stream that ends within it is still not complete.
@pytest.mark.parametrize('is_whole', [True, False])
def test_event_above_the_limit_is_passed_on_in_parts(is_whole):
    whole = b'data: ' + b'x' * 600_000 + (b'\r\n\r\n' if is_whole else b'')
    framer = EventFramer()
    pieces = [whole[at : at + 9_000] for at in range(0, len(whole), 9_000)]
    found = [each.data for piece in pieces for each in framer.feed(piece)]
    assert len(found) > 1
    assert framer.has_partial_event is not is_whole
    assert b''.join(found) + framer.take_rest() == whole


def _make_splitter():
    return EventSplitter(None)


def test_event_above_the_limit_ends_a_stream_that_may_go_on_elsewhere():
    splitter = EventSplitter(None)
    assert not list(splitter.feed(b'x' * EVENT_LIMIT_BYTES))
    with pytest.raises(EventFault):
        list(splitter.feed(b'x'))


# Guards against comments that keep a connection open being held back until the
# next event, and against taking one for the beginning of an event.
def test_comment_lines_are_passed_on_at_once():
    splitter = EventSplitter(None)
    found = [
        [each.data for each in splitter.feed(piece)]
        for piece in (b': ke', b'ep\n', b'id: 1\n: within\n', b'\n', b': end\n')
    ]
    assert found == [
        [],
        [b': keep\n'],
        [],
        [b'id: 1\n: within\n\n'],
        [b': end\n'],
    ]
    assert splitter.last_number == 1
    assert not splitter.has_partial_event


# Guards against blank and comment lines without end that are passed on one by
# one, each at the cost of an event.
@pytest.mark.parametrize('line', [b'\n', b'\r\n', b'\r', b':\n', b': a\r\n'])
@pytest.mark.parametrize('make_framer', [EventFramer, _make_splitter])
def test_run_of_blank_and_comment_lines_is_one_block(line, make_framer):
    filler, event = line * 5_000, b'id: 1\ndata: a\n\n'
    found = list(make_framer().feed(filler + event + filler))
    assert [each.data for each in found] == [filler, event, filler]
    assert all(each.number is None for each in found[::2])


@pytest.mark.parametrize(
    ('rest', 'expected'),
    [
        (b'', False),
        (b'\n', False),
        (b'\r\n', False),
        (b': keep\n', False),
        (b': keep', True),
        (b'i', True),
        (b'id: 3\n', True),
        (b': keep\nid', True),
    ],
)
def test_only_fields_and_open_lines_begin_an_event(rest, expected):
    assert is_within_event(rest) is expected
