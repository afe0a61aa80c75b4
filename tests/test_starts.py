from __future__ import annotations

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderdyke.kernel.backend import PendingAttempt
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.outdated_context import OutdatedContext
from oleanderdyke.kernel.scheduling.placement import (
    CallDemand,
    choose_backend,
    is_usable,
)
from oleanderdyke.kernel.servers import (
    PromptPart,
    ServerLoad,
    ServerRecord,
    ServerStart,
)
from oleanderdyke.platform.documents import MalformedRecord, decode_server
from tests.hosted import make_record as make_server_record

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


def make_registry(*starts, **changes) -> BackendRegistry:
    registry = BackendRegistry()
    registry.replace([make_record(each, **changes) for each in starts], 0.0)
    registry.complete_read(0.0)
    return registry


def list_starts(registry, now=0.0):
    return [each.record.start for each in registry.list_service('desk', now)]


def encode(**changes) -> bytes:
    return json.dumps(make_server_record('127.0.0.1:1', **changes)).encode()


def read_wall() -> int:
    return time.time_ns() // 1_000_000


def test_a_record_names_the_start_that_wrote_it():
    born = read_wall()
    record = decode_server('a', encode(born=born))
    assert record.start == ServerStart('a', born)
    assert decode_server('a', encode()).start == ServerStart('a')


def test_a_server_whose_clock_is_hours_ahead_is_accepted():
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
def test_a_malformed_start_time_is_refused(born):
    with pytest.raises(MalformedRecord):
        decode_server('a', encode(born=born))


def test_a_start_time_days_ahead_is_refused():
    with pytest.raises(MalformedRecord):
        decode_server('a', encode(born=read_wall() + 25 * 3_600_000))


def test_state_of_the_earlier_start_is_not_applied_to_the_later_one():
    registry = make_registry(EARLIER, versions={'m': 3})
    registry.record_sent(EARLIER, 'x', PendingAttempt(0.0, 10, memory=700))
    registry.record_received(EARLIER, 'x', 900.0)
    registry.record_sent(EARLIER, 'y', PendingAttempt(0.0, 10, memory=700))
    registry.record_load(EARLIER, ServerLoad(5, 3, 6), 0.0)
    registry.record_kept(EARLIER, PARTS, 60_000)
    registry.record_failure(EARLIER, 0.0)
    registry.record_reload(EARLIER, 0.0)
    registry.put(make_record(LATER, versions={'m': 1}), 10.0)
    found = registry.find_start(LATER)
    assert found.record.versions == {'m': 1}
    assert (found.running, found.running_tokens, found.waiting) == (0, 0, {})
    assert (found.load, found.errors, found.listed_at) == (None, 0.0, 10.0)
    assert (
        found.count_cached_tokens(PARTS),
        found.find_queue_delay(0, 10.0),
    ) == (0, 0.0)
    assert is_usable(found, 10.0)


def test_a_start_after_one_that_left_is_usable():
    registry = make_registry(EARLIER)
    registry.put(make_record(is_leaving=True), 1.0)
    assert list_starts(registry) == []
    registry.put(make_record(LATER), 2.0)
    assert list_starts(registry) == [LATER]


def test_a_record_of_the_earlier_start_never_replaces_the_later_one():
    registry = make_registry(LATER)
    registry.put(make_record(versions={'m': 9}, is_leaving=True), 1.0)
    registry.put(make_record(ServerStart('a')), 2.0)
    assert list_starts(registry) == [LATER]
    assert registry.find('a').record.versions == {'m': 1}


def test_an_earlier_start_stays_ended_after_the_later_one_is_removed():
    registry = make_registry(LATER)
    registry.complete_read(500.0)
    registry.replace([], 500.0)
    registry.complete_read(1_000.0)
    assert registry.find('a') is None
    registry.put(make_record(), 1_100.0)
    registry.put(make_record(revision=5), 1_200.0)
    assert registry.find('a') is None


def test_late_results_of_the_earlier_start_change_nothing():
    registry = make_registry(EARLIER)
    registry.record_sent(EARLIER, 'x', PendingAttempt(0.0, 10, memory=700))
    registry.put(make_record(LATER), 10.0)
    registry.record_sent(LATER, 'y', PendingAttempt(10.0, 10, memory=300))
    registry.record_failure(LATER, 10.0)
    registry.record_received(EARLIER, 'x', 20.0)
    registry.record_ended(EARLIER, 'x', 700)
    registry.record_success(EARLIER)
    registry.record_error(EARLIER)
    registry.record_failure(EARLIER, 20.0)
    registry.record_refusal(EARLIER, 20.0)
    registry.record_reload(EARLIER, 20.0)
    registry.record_version(EARLIER, 'm', 7)
    registry.record_load(EARLIER, ServerLoad(5, 3, 6), 20.0)
    registry.record_kept(EARLIER, PARTS, 60_000)
    registry.mark_replaced(EARLIER)
    found = registry.find_start(LATER)
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


EVENTS = {
    'record': lambda registry, start: registry.put(
        make_record(start, versions={'m': 9}, revision=9), 5.0
    ),
    'leaving': lambda registry, start: registry.put(
        make_record(start, is_leaving=True), 5.0
    ),
    'sent': lambda registry, start: registry.record_sent(
        start, 'x', PendingAttempt(5.0, 10)
    ),
    'heard': lambda registry, start: registry.record_received(start, 'x', 6.0),
    'ended': lambda registry, start: registry.record_ended(start, 'x', 0),
    'good': lambda registry, start: registry.record_success(start),
    'failed': lambda registry, start: registry.record_failure(start, 6.0),
    'error': lambda registry, start: registry.record_error(start),
    'refused': lambda registry, start: registry.record_refusal(start, 6.0),
    'reloading': lambda registry, start: registry.record_reload(start, 6.0),
    'load': lambda registry, start: registry.record_load(
        start, ServerLoad(1, 2, 3), 6.0
    ),
    'version': lambda registry, start: registry.record_version(start, 'm', 8),
    'kept': lambda registry, start: registry.record_kept(start, PARTS, 60_000),
    'replaced': lambda registry, start: registry.mark_replaced(start),
    'backoff': lambda registry, start: registry.record_backoff(
        start, 900.0, 6.0
    ),
    'answer of leaving': lambda registry, start: registry.mark_leaving(start),
}
STARTS = [ServerStart('a'), ServerStart('a', 999), EARLIER, LATER]


@given(
    st.lists(st.tuples(st.sampled_from(STARTS), st.sampled_from(list(EVENTS))))
)
def test_events_of_earlier_starts_do_not_change_the_later_one(events):
    mixed, alone = make_registry(LATER), make_registry(LATER)
    for start, name in events:
        EVENTS[name](mixed, start)
        if start == LATER:
            EVENTS[name](alone, start)
    assert mixed.find_start(LATER) == alone.find_start(LATER)
    assert mixed.list_service('desk', 10.0) == alone.list_service('desk', 10.0)
    assert not mixed.take_superseded()


@given(st.permutations([1_000, 2_000, 3_000, 4_000]))
def test_the_latest_start_is_current_in_any_order_of_records(order):
    registry = BackendRegistry()
    for number, born in enumerate(order):
        registry.put(make_record(ServerStart('a', born)), float(number))
    assert list_starts(registry) == [ServerStart('a', 4_000)]


def test_the_first_record_of_a_later_start_counts_after_a_removal():
    registry = make_registry(EARLIER, revision=8)
    registry.complete_read(500.0)
    registry.remove('a', 500.0)
    registry.put(make_record(revision=8), 510.0)
    assert list_starts(registry, 510.0) == []
    registry.put(make_record(LATER, revision=1), 600.0)
    assert list_starts(registry, 600.0) == [LATER]


def test_a_server_without_start_times_is_identified_by_its_name():
    registry = make_registry(ServerStart('a'), versions={'m': 3})
    registry.put(make_record(ServerStart('a'), revision=1), 1.0)
    assert list_starts(registry) == [ServerStart('a')]
    assert registry.find('a').record.versions == {'m': 3}


def test_a_record_without_a_start_time_is_ignored_if_another_has_one():
    registry = make_registry(ServerStart('b'), EARLIER, versions={'m': 1})
    assert list_starts(registry) == [EARLIER]
    assert registry.is_leaving_or_gone(ServerStart('b'))
    registry.put(make_record(ServerStart('b'), versions={'m': 0}), 1.0)
    assert registry.find_oldest_version('m') == 1
    registry.complete_read(500.0)
    registry.remove('a', 500.0)
    registry.complete_read(1_000.0)
    assert list_starts(registry, 1_000.0) == [ServerStart('b')]


def test_the_record_of_a_superseded_start_is_returned_once():
    registry = make_registry(EARLIER)
    registry.put(make_record(LATER, address='a:2'), 1.0)
    (ended,) = registry.take_superseded()
    assert ended.address == 'a:1'
    assert registry.take_superseded() == ()
    assert registry.is_superseded(EARLIER)
    assert registry.is_leaving_or_gone(EARLIER)
    assert not registry.is_superseded(LATER)


def test_only_the_start_that_failed_a_request_is_avoided():
    registry = make_registry(EARLIER, ServerStart('b', 1_000))
    excluded = frozenset({EARLIER, ServerStart('b', 1_000)})
    demand = CallDemand('desk', 'hall', excluded=excluded)
    assert choose_backend(demand, registry, 0.0) is None
    registry.put(make_record(LATER), 1.0)
    choice = choose_backend(demand, registry, 1.0)
    assert choice.backend.record.start == LATER


def test_context_is_kept_while_an_engine_has_older_weights_again():
    registry, outdated = (
        make_registry(EARLIER, versions={'m': 2}),
        OutdatedContext(),
    )
    outdated.update('m', 2, registry.find_oldest_version('m'), 0.0)
    assert outdated.list_oldest_usable(60_000.0) == {'m': 2}
    registry.put(make_record(LATER, versions={'m': 1}), 60_000.0)
    outdated.update('m', 2, registry.find_oldest_version('m'), 60_000.0)
    assert outdated.list_oldest_usable(120_000.0) == {}
