from __future__ import annotations

import time

import pytest

from oleanderdyke.kernel.backend import PendingAttempt
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.overload import (
    LATE_RANK,
)
from oleanderdyke.kernel.placement import (
    SILENCE_LIMIT,
    CallDemand,
    choose_backend,
    is_usable,
)
from oleanderdyke.kernel.servers import (
    ModelDemand,
    PromptPart,
    ServerLoad,
    ServerRecord,
    ServerStart,
)

A, B, C = (ServerStart(name) for name in 'abc')
PARTS = (
    PromptPart('sys', 2_000),
    PromptPart('book', 5_000),
    PromptPart('own', 500),
)
MODEL = ModelDemand('m', 7_500, 80, PARTS)


def make_record(server='a', **changes) -> ServerRecord:
    fields = {
        'service': 'desk',
        'address': f'{server}:1',
        'data_centre': 'hall',
        **changes,
    }
    return ServerRecord(server, **fields)


def make_book(*servers, **changes) -> BackendRegistry:
    book = BackendRegistry()
    book.replace([make_record(each, **changes) for each in servers], 0.0)
    book.complete_read(0.0)
    return book


def make_engines(*servers) -> BackendRegistry:
    return make_book(*servers, versions={'m': 1})


def choose(book, now=0.0, **changes):
    demand = CallDemand(service='desk', data_centre='hall', **changes)
    choice = choose_backend(demand, book, now)
    return None if choice is None else choice.backend.record.server


def list_names(book, now=0.0):
    return sorted(each.record.server for each in book.list_service('desk', now))


def test_a_server_that_leaves_gets_nothing_and_never_comes_back():
    book = make_book('a', 'b')
    book.put(make_record('a', is_leaving=True), 1.0)
    assert list_names(book) == ['b']
    book.put(make_record('a'), 2.0)
    book.replace([make_record('a'), make_record('b')], 3.0)
    assert list_names(book) == ['b']


def test_a_server_off_the_list_is_gone_at_once():
    book = make_book('a', 'b')
    book.complete_read(500.0)
    book.remove('a', 500.0)
    assert list_names(book, 500.0) == ['b']


def test_an_entry_that_lapsed_with_the_store_may_come_back_for_two_seconds():
    book = make_book('a', 'b')
    book.replace([make_record('b')], 9_000.0)
    book.complete_read(9_000.0)
    assert list_names(book, 10_000.0) == ['a', 'b']
    book.put(make_record('a'), 10_500.0)
    assert list_names(book, 12_000.0) == ['a', 'b']


def test_an_entry_still_missing_two_seconds_after_the_store_is_back_is_gone():
    book = make_book('a', 'b')
    book.replace([make_record('b')], 9_000.0)
    book.complete_read(9_000.0)
    assert list_names(book, 11_001.0) == ['b']


def test_a_version_that_an_answer_showed_is_not_taken_back_by_the_list():
    book = make_engines('a')
    book.record_version(A, 'm', 3)
    book.put(make_record('a', versions={'m': 2}), 1.0)
    assert book.find('a').record.versions == {'m': 3}


def test_new_weights_hold_none_of_the_old_context():
    book = make_engines('a')
    book.record_kept(A, PARTS, 60_000)
    assert book.find('a').count_cached_tokens(PARTS) == 7_500
    book.record_version(A, 'm', 2)
    assert book.find('a').count_cached_tokens(PARTS) == 0


def test_the_oldest_weights_count_engines_that_leave_too():
    book = make_engines('a', 'b')
    book.record_version(A, 'm', 2)
    book.put(make_record('b', versions={'m': 1}, is_leaving=True), 1.0)
    assert book.find_oldest_version('m') == 1
    book.record_version(B, 'm', 2)
    assert book.find_oldest_version('m') == 2
    assert book.find_oldest_version('other') is None


def test_a_server_that_fails_is_left_out_longer_each_time():
    book = make_book('a', 'b')
    book.record_failure(A, 0.0)
    assert not is_usable(book.find('a'), 400.0)
    assert is_usable(book.find('a'), 501.0)
    book.record_failure(A, 600.0)
    assert not is_usable(book.find('a'), 1_500.0)
    book.record_success(A)
    book.record_failure(A, 2_000.0)
    assert is_usable(book.find('a'), 2_501.0)


def test_where_all_have_failed_one_is_still_tried():
    book = make_book('a')
    book.record_failure(A, 0.0)
    assert choose(book, 1.0) == 'a'


def test_a_server_that_owes_bytes_and_sends_none_is_left_out():
    book = make_book('a', 'b')
    book.record_sent(A, 'x', PendingAttempt(0.0, 0))
    late = SILENCE_LIMIT + 1
    assert not is_usable(book.find('a'), late)
    book.record_received(A, 'other', late)
    assert is_usable(book.find('a'), late)


def test_calls_go_to_the_server_with_fewest():
    book = make_book('a', 'b')
    book.record_sent(A, 'x', PendingAttempt(0.0, 0))
    assert choose(book) == 'b'
    book.record_load(B, ServerLoad(5, 3, 6), 0.0)
    assert choose(book) == 'a'


def test_calls_stay_in_their_data_centre_where_all_else_is_equal():
    book = BackendRegistry()
    book.replace([make_record('a', data_centre='yard'), make_record('b')], 0.0)
    assert choose(book) == 'b'


def test_excluded_servers_and_those_that_load_get_nothing():
    book = make_engines('a', 'b', 'c')
    found = choose(
        book,
        model=MODEL,
        excluded=frozenset({A}),
        loading=frozenset({'b'}),
    )
    assert found == 'c'
    assert choose(book, excluded=frozenset({A, B, C})) is None


def test_prompts_go_where_their_context_is_kept():
    book = make_engines('a', 'b', 'c')
    for server in ('a', 'b', 'c'):
        others = {'a', 'b', 'c'} - {server}
        fresh = make_engines('a', 'b', 'c')
        fresh.record_kept(ServerStart(server), PARTS, 60_000)
        assert choose(fresh, model=MODEL) == server
        assert others
    assert choose(book, model=MODEL) in {'a', 'b', 'c'}


def test_every_entry_looks_for_context_at_the_same_servers():
    names = [f's{number}' for number in range(9)]
    first = {choose(make_engines(*names), model=MODEL) for _ in range(3)}
    second = choose(make_engines(*reversed(names)), model=MODEL)
    assert first == {second} or len(first) == 1


def test_new_weights_are_preferred():
    book = make_engines('a', 'b')
    book.record_version(B, 'm', 2)
    assert choose(book, model=MODEL, newest_version=2) == 'b'


def test_long_answers_avoid_engines_that_load_next():
    book = make_engines('a', 'b')
    book.record_kept(A, PARTS, 60_000)
    found = choose(
        book,
        model=ModelDemand('m', 7_500, 900, PARTS),
        newest_version=2,
        draining=frozenset({'a'}),
    )
    assert found == 'b'


def test_a_queue_is_seen_by_first_bytes_and_by_their_absence():
    book = make_engines('a')
    backend = book.find('a')
    book.record_sent(A, 'x', PendingAttempt(0.0, 0))
    assert backend.find_queue_delay(0, 445.0) == pytest.approx(400.0)
    book.record_received(A, 'x', 445.0)
    assert backend.find_queue_delay(0, 445.0) > 100.0
    assert backend.find_queue_delay(0, 9_000.0) == 0.0


def test_what_is_less_urgent_delays_nobody():
    book = make_engines('a')
    book.record_sent(A, 'x', PendingAttempt(0.0, 9_000, rank=LATE_RANK))
    backend = book.find('a')
    assert backend.find_queue_delay(1, 5_000.0) == 0.0
    assert backend.count_pending_tokens(1) == 0
    assert backend.count_pending_tokens(LATE_RANK) == 9_000


def test_an_old_load_fades_and_does_not_look_idle_at_once():
    book = make_engines('a')
    book.record_load(A, ServerLoad(30, 20, 128), 0.0)
    backend = book.find('a')
    assert backend.count_waiting(0.0) == 20
    assert 5 < backend.count_waiting(1_500.0) < 15
    assert backend.count_waiting(4_000.0) == 0


def test_running_tokens_are_given_back():
    book = make_engines('a')
    book.record_sent(A, 'x', PendingAttempt(0.0, 10, memory=700))
    assert book.find('a').running_tokens == 700
    book.record_ended(A, 'x', 700)
    assert (book.find('a').running, book.find('a').running_tokens) == (0, 0)


def test_a_server_that_sends_nothing_of_what_runs_is_silent():
    book = make_engines('a')
    book.record_sent(A, 'x', PendingAttempt(0.0, 10))
    book.record_received(A, 'x', 100.0)
    assert book.find('a').find_overdue_time(900.0) == 800.0
    book.record_ended(A, 'x', 0)
    assert book.find('a').find_overdue_time(900.0) == 0.0


def test_a_late_record_does_not_bring_a_server_back():
    book = make_book('a')
    book.remove('a', 1_000.0)
    book.complete_read(1_000.0)
    book.put(make_record('a', revision=7), 1_100.0)
    assert not book.list_service('desk', 1_100.0)


def test_a_server_that_goes_on_writing_comes_back():
    book = make_book('a')
    book.remove('a', 1_000.0)
    book.complete_read(1_000.0)
    book.put(make_record('a', revision=7), 1_100.0)
    book.put(make_record('a', revision=8), 2_300.0)
    assert len(book.list_service('desk', 2_300.0)) == 1


def test_a_server_whose_entry_cannot_be_read_gets_no_new_work():
    book = make_engines('a', 'b')
    book.mark_unreadable(['a', 'never-seen'])
    assert list_names(book) == ['b']
    assert not book.is_leaving_or_gone(A)
    book.put(make_record('a', versions={'m': 1}, revision=2), 1.0)
    assert list_names(book) == ['a', 'b']


def test_an_entry_that_cannot_be_read_ends_no_running_work():
    book = make_engines('a')
    book.record_sent(A, 'x', PendingAttempt(0.0, 10, memory=700))
    book.mark_unreadable(['a'])
    book.complete_read(60_000.0)
    assert book.find('a').running == 1
    book.record_version(A, 'm', 2)
    assert book.find_oldest_version('m') == 2


def test_an_entry_that_cannot_be_read_frees_no_context():
    book = make_engines('a', 'b')
    book.record_version(B, 'm', 2)
    book.replace(
        [make_record('b', versions={'m': 2})], 9_000.0, unread=['a', 'other']
    )
    book.complete_read(60_000.0)
    assert list_names(book, 60_000.0) == ['b']
    assert book.find_oldest_version('m') == 1


def test_an_entry_that_could_not_be_read_and_went_is_gone():
    book = make_engines('a')
    book.mark_unreadable(['a'])
    book.remove('a', 500.0)
    book.complete_read(500.0)
    assert book.find('a') is None
    assert book.find_oldest_version('m') is None


def test_an_entry_that_is_gone_is_not_brought_back_by_what_cannot_be_read():
    book = make_book('a')
    book.record_sent(A, 'x', PendingAttempt(0.0, 10))
    book.remove('a', 500.0)
    book.mark_unreadable(['a'])
    book.complete_read(600.0)
    assert list_names(book, 600.0) == []
    book.record_ended(A, 'x', 0)
    book.complete_read(700.0)
    assert book.find('a') is None


def test_an_entry_that_lapsed_and_came_back_unreadable_still_counts():
    book = make_engines('a', 'b')
    book.replace([make_record('b', versions={'m': 2})], 9_000.0)
    book.complete_read(9_000.0)
    book.mark_unreadable(['a'])
    book.complete_read(12_000.0)
    assert list_names(book, 12_000.0) == ['b']
    assert book.find_oldest_version('m') == 1


def test_an_entry_never_loses_the_weights_that_its_server_holds():
    book = make_engines('a')
    book.put(make_record('a', versions={}, revision=2), 1.0)
    book.put(make_record('a', versions={'k': 1}, revision=3), 2.0)
    assert book.find('a').record.versions == {'m': 1, 'k': 1}


def test_a_server_whose_entry_stays_is_back_after_one_record():
    book = make_book('a')
    book.remove('a', 1_000.0)
    book.complete_read(1_000.0)
    book.put(make_record('a', revision=7), 1_100.0)
    for now in range(1_600, 9_000, 500):
        book.complete_read(float(now))
    assert len(book.list_service('desk', 9_000.0)) == 1


def test_a_late_record_that_is_removed_again_brings_nobody_back():
    book = make_book('a')
    book.remove('a', 1_000.0)
    book.complete_read(1_000.0)
    book.put(make_record('a', revision=7), 1_100.0)
    for now in range(1_600, 5_000, 500):
        book.complete_read(float(now))
        assert not book.list_service('desk', float(now))
    book.remove('a', 5_000.0)
    for now in range(5_000, 20_000, 500):
        book.complete_read(float(now))
        assert not book.list_service('desk', float(now))


def test_an_engine_that_lists_newer_weights_keeps_no_context():
    book = BackendRegistry()
    book.put(make_record('a', versions={'m': 1}, revision=1), 0.0)
    book.record_kept(ServerStart('a'), PARTS, 60_000)
    book.put(make_record('a', versions={'m': 2}, revision=2), 1.0)
    assert book.find('a').count_cached_tokens(PARTS) == 0


def test_a_store_that_was_away_shows_by_what_a_neighbour_read():
    """Its answers come as ever, and tell of reads from before."""
    book = BackendRegistry()
    book.replace([make_record('i-1')], 0.0)
    for now in (600.0, 1_200.0, 1_800.0, 2_400.0):
        book.complete_read(now, read_at=500.0)
    book.record_list_read(3_000.0, read_at=2_900.0)
    book.remove('i-1', 3_000.0)
    assert book.list_service('desk', 3_000.0)


def test_a_server_that_goes_is_gone_whoever_reads_the_list():
    book = BackendRegistry()
    book.replace([make_record('i-1')], 0.0)
    for now in (600.0, 1_200.0, 1_800.0):
        book.complete_read(now, read_at=now - 600.0)
    book.record_list_read(2_400.0, read_at=2_300.0)
    book.remove('i-1', 2_400.0)
    assert not book.list_service('desk', 2_400.0)


def test_a_server_at_the_address_of_another_takes_its_place():
    book = BackendRegistry()
    book.replace([make_record('i-1', address='h:1')], 0.0)
    book.put(make_record('i-2', address='h:1'), 600.0)
    listed = book.list_service('desk', 600.0)
    assert [each.record.server for each in listed] == ['i-2']


def test_a_late_record_of_another_server_takes_no_place_for_long():
    book = BackendRegistry()
    book.replace([make_record('i-1', address='h:1')], 0.0)
    book.put(make_record('i-2', address='h:1'), 600.0)
    book.put(make_record('i-1', address='h:1', revision=2), 1_200.0)
    listed = book.list_service('desk', 1_200.0)
    assert 'i-1' in [each.record.server for each in listed]


def test_a_server_that_others_hear_is_waited_for_longer():
    """It lets runs of little urgency wait, and sends this entry nothing."""
    book = BackendRegistry()
    book.put(make_record('a'), 0.0)
    book.record_sent(A, 'x', PendingAttempt(0.0, 0, 5, 0))
    backend = book.find('a')
    assert backend.find_overdue_time(700.0) == 700.0
    book.record_load(A, ServerLoad(8, 2, 16), 600.0)
    assert backend.find_overdue_time(700.0) == 0.0
    # A connection may be dead although its server lives.
    book.record_load(A, ServerLoad(8, 2, 16), 1_500.0)
    assert backend.find_overdue_time(1_600.0) == 600.0


@pytest.mark.parametrize(('slots', 'chosen'), [(16, 'b'), (128, 'a')])
def test_a_place_of_few_costs_more_than_the_way(slots, chosen):
    """Three runs are a fifth of one engine's batch and nothing of another's."""
    book = BackendRegistry()
    far = {'data_centre': 'other', 'slots': slots}
    for server, changes in (('a', {'slots': slots}), ('b', far)):
        book.put(make_record(server, versions={'m': 1}, **changes), 0.0)
    for number in range(3):
        book.record_sent(A, str(number), PendingAttempt(0.0, 0))
        book.record_received(A, str(number), 10.0)
    demand = CallDemand('desk', 'hall', model=ModelDemand('m', 10, 7, ()))
    assert choose_backend(demand, book, 20.0).backend.record.server == chosen


def find_read_time(servers):
    """Return the processor time of taking a whole list, the least of three."""
    records = [
        make_record(f'{number}', address=f'{number}:1')
        for number in range(servers)
    ]
    times = []
    for _ in range(3):
        book, begun = BackendRegistry(), time.process_time()
        book.replace(records, 0.0)
        times.append(time.process_time() - begun)
    return min(times)


def test_the_time_of_a_start_grows_no_faster_than_the_list_of_servers():
    # Each server was compared with all that were taken before it: with ten
    # times the servers a hundred times the work, at each entry that starts.
    assert find_read_time(4_000) < 2 * 8 * find_read_time(500)
