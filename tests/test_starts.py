from __future__ import annotations

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderdyke.kernel.backend import PendingAttempt
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.outdated_context import OutdatedContext
from oleanderdyke.kernel.placement import CallDemand, choose_backend, is_usable
from oleanderdyke.kernel.servers import (
    PromptPart,
    ServerLoad,
    ServerRecord,
    ServerStart,
)
from oleanderdyke.platform.documents import MalformedRecord, decode_server
from tests.hosted import make_record as tell

EARLIER, LATER = ServerStart('a', 1_000), ServerStart('a', 2_000)
PARTS = (PromptPart('sys', 2_000), PromptPart('own', 500))


def make_record(start=EARLIER, **changes) -> ServerRecord:
    fields = {
        'service': 'desk',
        'address': f'{start.server}:1',
        'data_centre': 'hall',
        'versions': {'m': 1},
        **changes,
    }
    return ServerRecord(start.server, born=start.born, **fields)


def make_book(*starts, **changes) -> BackendRegistry:
    book = BackendRegistry()
    book.replace([make_record(each, **changes) for each in starts], 0.0)
    book.complete_read(0.0)
    return book


def list_starts(book, now=0.0):
    return [each.record.start for each in book.list_service('desk', now)]


def encode(**changes) -> bytes:
    return json.dumps(tell('127.0.0.1:1', **changes)).encode()


def read_wall() -> int:
    return time.time_ns() // 1_000_000


def test_a_record_names_the_start_that_wrote_it():
    born = read_wall()
    record = decode_server('a', encode(born=born))
    assert record.start == ServerStart('a', born)
    assert decode_server('a', encode()).start == ServerStart('a')


def test_a_clock_that_is_hours_ahead_costs_no_server():
    born = read_wall() + 14 * 3_600_000
    assert decode_server('a', encode(born=born)).born == born


@pytest.mark.parametrize(
    'born',
    [
        None,
        True,
        1_000.0,
        1_000.5,
        '1000',
        [1_000],
        {},
        -1,
        10**40,
    ],
    ids=repr,
)
def test_a_start_that_can_not_be_names_no_server(born):
    with pytest.raises(MalformedRecord):
        decode_server('a', encode(born=born))


def test_a_start_that_is_days_ahead_names_no_server():
    with pytest.raises(MalformedRecord):
        decode_server('a', encode(born=read_wall() + 25 * 3_600_000))


def test_nothing_known_of_the_earlier_start_holds_for_the_later_one():
    book = make_book(EARLIER, versions={'m': 3})
    book.record_sent(EARLIER, 'x', PendingAttempt(0.0, 10, memory=700))
    book.record_received(EARLIER, 'x', 900.0)
    book.record_sent(EARLIER, 'y', PendingAttempt(0.0, 10, memory=700))
    book.record_load(EARLIER, ServerLoad(5, 3, 6), 0.0)
    book.record_kept(EARLIER, PARTS, 60_000)
    book.record_failure(EARLIER, 0.0)
    book.record_reload(EARLIER, 0.0)
    book.put(make_record(LATER, versions={'m': 1}), 10.0)
    found = book.find_start(LATER)
    assert found.record.versions == {'m': 1}
    assert (found.running, found.running_tokens, found.waiting) == (0, 0, {})
    assert (found.load, found.errors, found.listed_at) == (None, 0.0, 10.0)
    assert (
        found.count_cached_tokens(PARTS),
        found.find_queue_delay(0, 10.0),
    ) == (0, 0.0)
    assert is_usable(found, 10.0)


def test_a_start_after_one_that_left_gets_work():
    book = make_book(EARLIER)
    book.put(make_record(is_leaving=True), 1.0)
    assert list_starts(book) == []
    book.put(make_record(LATER), 2.0)
    assert list_starts(book) == [LATER]


def test_a_record_of_the_earlier_start_never_replaces_the_later_one():
    book = make_book(LATER)
    book.put(make_record(versions={'m': 9}, is_leaving=True), 1.0)
    book.put(make_record(ServerStart('a')), 2.0)
    assert list_starts(book) == [LATER]
    assert book.find('a').record.versions == {'m': 1}


def test_an_earlier_start_stays_ended_when_the_later_one_is_gone():
    book = make_book(LATER)
    book.complete_read(500.0)
    book.replace([], 500.0)
    book.complete_read(1_000.0)
    assert book.find('a') is None
    book.put(make_record(), 1_100.0)
    book.put(make_record(revision=5), 1_200.0)
    assert book.find('a') is None


def test_late_results_of_the_earlier_start_change_nothing():
    book = make_book(EARLIER)
    book.record_sent(EARLIER, 'x', PendingAttempt(0.0, 10, memory=700))
    book.put(make_record(LATER), 10.0)
    book.record_sent(LATER, 'y', PendingAttempt(10.0, 10, memory=300))
    book.record_failure(LATER, 10.0)
    book.record_received(EARLIER, 'x', 20.0)
    book.record_ended(EARLIER, 'x', 700)
    book.record_success(EARLIER)
    book.record_error(EARLIER)
    book.record_failure(EARLIER, 20.0)
    book.record_refusal(EARLIER, 20.0)
    book.record_reload(EARLIER, 20.0)
    book.record_version(EARLIER, 'm', 7)
    book.record_load(EARLIER, ServerLoad(5, 3, 6), 20.0)
    book.record_kept(EARLIER, PARTS, 60_000)
    book.mark_replaced(EARLIER)
    found = book.find_start(LATER)
    assert (found.running, found.running_tokens, found.last_heard_at) == (
        1,
        300,
        0.0,
    )
    assert (found.failures, found.excluded_until, found.refusals) == (
        1,
        510.0,
        0,
    )
    assert (found.errors, found.reload_until) == (0.2, 0.0)
    assert (found.load, found.count_cached_tokens(PARTS)) == (None, 0)
    assert not found.record.is_leaving
    assert found.record.versions == {'m': 1}


NOTES = {
    'record': lambda book, start: book.put(
        make_record(start, versions={'m': 9}, revision=9), 5.0
    ),
    'leaving': lambda book, start: book.put(
        make_record(start, is_leaving=True), 5.0
    ),
    'sent': lambda book, start: book.record_sent(
        start, 'x', PendingAttempt(5.0, 10)
    ),
    'heard': lambda book, start: book.record_received(start, 'x', 6.0),
    'ended': lambda book, start: book.record_ended(start, 'x', 0),
    'good': lambda book, start: book.record_success(start),
    'failed': lambda book, start: book.record_failure(start, 6.0),
    'error': lambda book, start: book.record_error(start),
    'refused': lambda book, start: book.record_refusal(start, 6.0),
    'reloading': lambda book, start: book.record_reload(start, 6.0),
    'load': lambda book, start: book.record_load(
        start, ServerLoad(1, 2, 3), 6.0
    ),
    'version': lambda book, start: book.record_version(start, 'm', 8),
    'kept': lambda book, start: book.record_kept(start, PARTS, 60_000),
    'replaced': lambda book, start: book.mark_replaced(start),
    'backoff': lambda book, start: book.record_backoff(start, 900.0, 6.0),
    'answer of leaving': lambda book, start: book.mark_leaving(start),
}
STARTS = [ServerStart('a'), ServerStart('a', 999), EARLIER, LATER]


@given(
    st.lists(st.tuples(st.sampled_from(STARTS), st.sampled_from(list(NOTES))))
)
def test_whatever_is_told_of_earlier_starts_leaves_the_later_one_alone(notes):
    told, alone = make_book(LATER), make_book(LATER)
    for start, note in notes:
        NOTES[note](told, start)
        if start == LATER:
            NOTES[note](alone, start)
    assert told.find_start(LATER) == alone.find_start(LATER)
    assert told.list_service('desk', 10.0) == alone.list_service('desk', 10.0)
    assert not told.take_superseded()


@given(st.permutations([1_000, 2_000, 3_000, 4_000]))
def test_the_latest_start_is_the_present_one_in_whatever_order(order):
    book = BackendRegistry()
    for number, born in enumerate(order):
        book.put(make_record(ServerStart('a', born)), float(number))
    assert list_starts(book) == [ServerStart('a', 4_000)]


def test_the_first_record_of_a_later_start_counts_after_a_removal():
    book = make_book(EARLIER, revision=8)
    book.complete_read(500.0)
    book.remove('a', 500.0)
    book.put(make_record(revision=8), 510.0)
    assert list_starts(book, 510.0) == []
    book.put(make_record(LATER, revision=1), 600.0)
    assert list_starts(book, 600.0) == [LATER]


def test_the_name_alone_is_the_start_while_nobody_tells_more():
    book = make_book(ServerStart('a'), versions={'m': 3})
    book.put(make_record(ServerStart('a'), revision=1), 1.0)
    assert list_starts(book) == [ServerStart('a')]
    assert book.find('a').record.versions == {'m': 3}


def test_a_record_without_its_start_names_none_once_another_tells():
    book = make_book(ServerStart('b'), EARLIER, versions={'m': 1})
    assert list_starts(book) == [EARLIER]
    assert book.is_leaving_or_gone(ServerStart('b'))
    book.put(make_record(ServerStart('b'), versions={'m': 0}), 1.0)
    assert book.find_oldest_version('m') == 1
    book.complete_read(500.0)
    book.remove('a', 500.0)
    book.complete_read(1_000.0)
    assert list_starts(book, 1_000.0) == [ServerStart('b')]


def test_what_the_ended_start_told_is_given_once():
    book = make_book(EARLIER)
    book.put(make_record(LATER, address='a:2'), 1.0)
    (ended,) = book.take_superseded()
    assert ended.address == 'a:1'
    assert book.take_superseded() == ()
    assert book.is_superseded(EARLIER)
    assert book.is_leaving_or_gone(EARLIER)
    assert not book.is_superseded(LATER)


def test_only_the_start_that_failed_a_request_is_avoided():
    book = make_book(EARLIER, ServerStart('b', 1_000))
    excluded = frozenset({EARLIER, ServerStart('b', 1_000)})
    demand = CallDemand('desk', 'hall', excluded=excluded)
    assert choose_backend(demand, book, 0.0) is None
    book.put(make_record(LATER), 1.0)
    choice = choose_backend(demand, book, 1.0)
    assert choice.backend.record.start == LATER


def test_context_is_kept_while_an_engine_is_back_on_older_weights():
    book, outdated = make_book(EARLIER, versions={'m': 2}), OutdatedContext()
    outdated.update('m', 2, book.find_oldest_version('m'), 0.0)
    assert outdated.list_oldest_usable(60_000.0) == {'m': 2}
    book.put(make_record(LATER, versions={'m': 1}), 60_000.0)
    outdated.update('m', 2, book.find_oldest_version('m'), 60_000.0)
    assert outdated.list_oldest_usable(120_000.0) == {}
