from __future__ import annotations

import io

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from oleanderdyke.clock import ManualClock
from oleanderdyke.events import EventName, Level
from oleanderdyke.logs import format_line, make_event_log, parse_line
from oleanderdyke.metrics import Count, Metrics, Timing


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text('ab="\\u0 \n', max_size=12))
@example('a="cut off')
@example(r'a="\u12"')
def test_any_text_is_read_as_a_line_or_as_nothing(text: str) -> None:
    assert all(isinstance(found, str) for found in parse_line(text).values())


@settings(derandomize=True, max_examples=200)
@given(st.dictionaries(st.from_regex(r'\A[a-z_]+\Z'), st.text()))
def test_any_line_parses_back(pairs: dict[str, str]) -> None:
    line = format_line(pairs)
    assert '\n' not in line
    assert parse_line(line) == pairs


def test_event_carries_the_common_keys_and_its_own() -> None:
    stream = io.StringIO()
    log = make_event_log('entry-1', Level.INFO, ManualClock(1234.5), stream)
    log.write(EventName.REQUEST_ACCEPTED, request='r1', reason='two words')
    assert parse_line(stream.getvalue()) == {
        'at': '1234.5',
        'level': 'info',
        'event': 'request_accepted',
        'process': 'entry-1',
        'sequence': '1',
        'request': 'r1',
        'reason': 'two words',
    }


def test_event_below_the_level_is_left_out() -> None:
    stream = io.StringIO()
    log = make_event_log('entry-1', Level.WARNING, ManualClock(), stream)
    log.write(EventName.REQUEST_ACCEPTED, request='r1')
    assert not stream.getvalue()


def test_unknown_key_is_refused() -> None:
    log = make_event_log('a', Level.INFO, ManualClock(), io.StringIO())
    with pytest.raises(ValueError, match='prompt'):
        log.write(EventName.REQUEST_ACCEPTED, prompt='secret')


def test_metrics_render_with_bounded_labels() -> None:
    metrics = Metrics()
    for number in range(1_000):
        metrics.add(Count.REQUESTS, label=f's{number}')
    metrics.add(Count.REQUESTS, label='s1')
    metrics.time(Timing.FIRST_TOKEN, 120.0, 's1')
    text = metrics.render().decode()
    assert metrics.read_count(Count.REQUESTS, 's1') == 2
    assert metrics.read_count(Count.REQUESTS, 'other') == 800
    assert 'oleander_requests_total{label="s1"} 2.0' in text
    assert 'oleander_first_token_milliseconds_count{label="s1"} 1.0' in text
    assert text.count('oleander_requests_total{') == 201


def test_urgent_events_keep_to_the_level_of_the_log():
    stream = io.StringIO()
    log = make_event_log('entry-1', Level.ERROR, ManualClock(), stream)
    log.write_warning(EventName.REQUEST_FINISHED)
    assert not stream.getvalue()
    log = make_event_log('entry-1', Level.WARNING, ManualClock(), stream)
    log.write(EventName.REQUEST_FINISHED)
    log.write_warning(EventName.REQUEST_FINISHED)
    (line,) = stream.getvalue().splitlines()
    assert parse_line(line)['level'] == 'warning'
