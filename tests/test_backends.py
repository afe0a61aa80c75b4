from __future__ import annotations

import time

import pytest

from oleanderdyke.kernel.backend import PendingAttempt
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.scheduling.overload import (
    LATE_RANK,
)
from oleanderdyke.kernel.scheduling.placement import (
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


def make_registry(*servers, **changes) -> BackendRegistry:
    registry = BackendRegistry()
    registry.replace([make_record(each, **changes) for each in servers], 0.0)
    registry.complete_read(0.0)
    return registry


def make_engines(*servers) -> BackendRegistry:
    return make_registry(*servers, versions={'m': 1})


def choose(registry, now=0.0, **changes):
    demand = CallDemand(service='desk', data_centre='hall', **changes)
    choice = choose_backend(demand, registry, now)
    return None if choice is None else choice.backend.record.server


def list_names(registry, now=0.0):
    return sorted(
        each.record.server for each in registry.list_service('desk', now)
    )


def test_a_server_that_leaves_gets_nothing_and_never_comes_back():
    registry = make_registry('a', 'b')
    registry.put(make_record('a', is_leaving=True), 1.0)
    assert list_names(registry) == ['b']
    registry.put(make_record('a'), 2.0)
    registry.replace([make_record('a'), make_record('b')], 3.0)
    assert list_names(registry) == ['b']


def test_a_removed_server_gets_no_requests():
    registry = make_registry('a', 'b')
    registry.complete_read(500.0)
    registry.remove('a', 500.0)
    assert list_names(registry, 500.0) == ['b']


def test_an_entry_that_lapsed_with_the_store_may_come_back_for_two_seconds():
    registry = make_registry('a', 'b')
    registry.replace([make_record('b')], 9_000.0)
    registry.complete_read(9_000.0)
    assert list_names(registry, 10_000.0) == ['a', 'b']
    registry.put(make_record('a'), 10_500.0)
    assert list_names(registry, 12_000.0) == ['a', 'b']


def test_an_entry_still_missing_two_seconds_after_the_store_is_back_is_gone():
    registry = make_registry('a', 'b')
    registry.replace([make_record('b')], 9_000.0)
    registry.complete_read(9_000.0)
    assert list_names(registry, 11_001.0) == ['b']


def test_the_list_does_not_lower_a_version_reported_by_an_answer():
    registry = make_engines('a')
    registry.record_version(A, 'm', 3)
    registry.put(make_record('a', versions={'m': 2}), 1.0)
    assert registry.find('a').record.versions == {'m': 3}


def test_new_weights_discard_cached_context():
    registry = make_engines('a')
    registry.record_kept(A, PARTS, 60_000)
    assert registry.find('a').count_cached_tokens(PARTS) == 7_500
    registry.record_version(A, 'm', 2)
    assert registry.find('a').count_cached_tokens(PARTS) == 0


def test_the_oldest_version_includes_leaving_engines():
    registry = make_engines('a', 'b')
    registry.record_version(A, 'm', 2)
    registry.put(make_record('b', versions={'m': 1}, is_leaving=True), 1.0)
    assert registry.find_oldest_version('m') == 1
    registry.record_version(B, 'm', 2)
    assert registry.find_oldest_version('m') == 2
    assert registry.find_oldest_version('other') is None


def test_repeated_failures_eject_a_server_for_longer():
    registry = make_registry('a', 'b')
    registry.record_failure(A, 0.0)
    assert not is_usable(registry.find('a'), 400.0)
    assert is_usable(registry.find('a'), 501.0)
    registry.record_failure(A, 600.0)
    assert not is_usable(registry.find('a'), 1_500.0)
    registry.record_success(A)
    registry.record_failure(A, 2_000.0)
    assert is_usable(registry.find('a'), 2_501.0)


def test_a_failed_server_is_used_if_no_other_is_left():
    registry = make_registry('a')
    registry.record_failure(A, 0.0)
    assert choose(registry, 1.0) == 'a'


def test_a_silent_server_is_not_usable():
    registry = make_registry('a', 'b')
    registry.record_sent(A, 'x', PendingAttempt(0.0, 0))
    late = SILENCE_LIMIT + 1
    assert not is_usable(registry.find('a'), late)
    registry.record_received(A, 'other', late)
    assert is_usable(registry.find('a'), late)


def test_plain_calls_go_to_the_least_loaded_server():
    registry = make_registry('a', 'b')
    registry.record_sent(A, 'x', PendingAttempt(0.0, 0))
    assert choose(registry) == 'b'
    registry.record_load(B, ServerLoad(5, 3, 6), 0.0)
    assert choose(registry) == 'a'


def test_calls_stay_in_their_data_centre_where_all_else_is_equal():
    registry = BackendRegistry()
    registry.replace(
        [make_record('a', data_centre='yard'), make_record('b')], 0.0
    )
    assert choose(registry) == 'b'


def test_excluded_and_loading_servers_get_no_calls():
    registry = make_engines('a', 'b', 'c')
    found = choose(
        registry,
        model=MODEL,
        excluded=frozenset({A}),
        loading=frozenset({'b'}),
    )
    assert found == 'c'
    assert choose(registry, excluded=frozenset({A, B, C})) is None


def test_prompts_go_to_the_server_that_caches_their_context():
    registry = make_engines('a', 'b', 'c')
    for server in ('a', 'b', 'c'):
        others = {'a', 'b', 'c'} - {server}
        fresh = make_engines('a', 'b', 'c')
        fresh.record_kept(ServerStart(server), PARTS, 60_000)
        assert choose(fresh, model=MODEL) == server
        assert others
    assert choose(registry, model=MODEL) in {'a', 'b', 'c'}


def test_every_entry_prefers_the_same_servers_for_shared_context():
    names = [f's{number}' for number in range(9)]
    first = {choose(make_engines(*names), model=MODEL) for _ in range(3)}
    second = choose(make_engines(*reversed(names)), model=MODEL)
    assert first == {second} or len(first) == 1


def test_new_weights_are_preferred():
    registry = make_engines('a', 'b')
    registry.record_version(B, 'm', 2)
    assert choose(registry, model=MODEL, newest_version=2) == 'b'


def test_long_answers_avoid_engines_that_load_next():
    registry = make_engines('a', 'b')
    registry.record_kept(A, PARTS, 60_000)
    found = choose(
        registry,
        model=ModelDemand('m', 7_500, 900, PARTS),
        newest_version=2,
        draining=frozenset({'a'}),
    )
    assert found == 'b'


def test_queueing_delay_follows_from_first_bytes_and_their_absence():
    registry = make_engines('a')
    backend = registry.find('a')
    registry.record_sent(A, 'x', PendingAttempt(0.0, 0))
    assert backend.find_queue_delay(0, 445.0) == pytest.approx(400.0)
    registry.record_received(A, 'x', 445.0)
    assert backend.find_queue_delay(0, 445.0) > 100.0
    assert backend.find_queue_delay(0, 9_000.0) == 0.0


def test_less_urgent_requests_do_not_delay_others():
    registry = make_engines('a')
    registry.record_sent(A, 'x', PendingAttempt(0.0, 9_000, rank=LATE_RANK))
    backend = registry.find('a')
    assert backend.find_queue_delay(1, 5_000.0) == 0.0
    assert backend.count_pending_tokens(1) == 0
    assert backend.count_pending_tokens(LATE_RANK) == 9_000


def test_a_reported_load_decays_over_time():
    registry = make_engines('a')
    registry.record_load(A, ServerLoad(30, 20, 128), 0.0)
    backend = registry.find('a')
    assert backend.count_waiting(0.0) == 20
    assert 5 < backend.count_waiting(1_500.0) < 15
    assert backend.count_waiting(4_000.0) == 0


def test_ended_requests_release_their_tokens():
    registry = make_engines('a')
    registry.record_sent(A, 'x', PendingAttempt(0.0, 10, memory=700))
    assert registry.find('a').running_tokens == 700
    registry.record_ended(A, 'x', 700)
    assert (registry.find('a').running, registry.find('a').running_tokens) == (
        0,
        0,
    )


def test_a_server_without_output_for_running_requests_is_silent():
    registry = make_engines('a')
    registry.record_sent(A, 'x', PendingAttempt(0.0, 10))
    registry.record_received(A, 'x', 100.0)
    assert registry.find('a').find_overdue_time(900.0) == 800.0
    registry.record_ended(A, 'x', 0)
    assert registry.find('a').find_overdue_time(900.0) == 0.0


def test_a_late_record_does_not_bring_a_server_back():
    registry = make_registry('a')
    registry.remove('a', 1_000.0)
    registry.complete_read(1_000.0)
    registry.put(make_record('a', revision=7), 1_100.0)
    assert not registry.list_service('desk', 1_100.0)


def test_a_removed_server_returns_with_its_second_record():
    registry = make_registry('a')
    registry.remove('a', 1_000.0)
    registry.complete_read(1_000.0)
    registry.put(make_record('a', revision=7), 1_100.0)
    registry.put(make_record('a', revision=8), 2_300.0)
    assert len(registry.list_service('desk', 2_300.0)) == 1


def test_a_server_whose_entry_cannot_be_read_gets_no_new_work():
    registry = make_engines('a', 'b')
    registry.mark_unreadable(['a', 'never-seen'])
    assert list_names(registry) == ['b']
    assert not registry.is_leaving_or_gone(A)
    registry.put(make_record('a', versions={'m': 1}, revision=2), 1.0)
    assert list_names(registry) == ['a', 'b']


def test_an_entry_that_cannot_be_read_ends_no_running_work():
    registry = make_engines('a')
    registry.record_sent(A, 'x', PendingAttempt(0.0, 10, memory=700))
    registry.mark_unreadable(['a'])
    registry.complete_read(60_000.0)
    assert registry.find('a').running == 1
    registry.record_version(A, 'm', 2)
    assert registry.find_oldest_version('m') == 2


def test_an_entry_that_cannot_be_read_frees_no_context():
    registry = make_engines('a', 'b')
    registry.record_version(B, 'm', 2)
    registry.replace(
        [make_record('b', versions={'m': 2})], 9_000.0, unread=['a', 'other']
    )
    registry.complete_read(60_000.0)
    assert list_names(registry, 60_000.0) == ['b']
    assert registry.find_oldest_version('m') == 1


def test_an_unreadable_entry_can_be_removed():
    registry = make_engines('a')
    registry.mark_unreadable(['a'])
    registry.remove('a', 500.0)
    registry.complete_read(500.0)
    assert registry.find('a') is None
    assert registry.find_oldest_version('m') is None


def test_an_unreadable_entry_does_not_restore_a_removed_server():
    registry = make_registry('a')
    registry.record_sent(A, 'x', PendingAttempt(0.0, 10))
    registry.remove('a', 500.0)
    registry.mark_unreadable(['a'])
    registry.complete_read(600.0)
    assert list_names(registry, 600.0) == []
    registry.record_ended(A, 'x', 0)
    registry.complete_read(700.0)
    assert registry.find('a') is None


def test_an_entry_that_lapsed_and_came_back_unreadable_still_counts():
    registry = make_engines('a', 'b')
    registry.replace([make_record('b', versions={'m': 2})], 9_000.0)
    registry.complete_read(9_000.0)
    registry.mark_unreadable(['a'])
    registry.complete_read(12_000.0)
    assert list_names(registry, 12_000.0) == ['b']
    assert registry.find_oldest_version('m') == 1


def test_an_entry_never_loses_the_weights_that_its_server_holds():
    registry = make_engines('a')
    registry.put(make_record('a', versions={}, revision=2), 1.0)
    registry.put(make_record('a', versions={'k': 1}, revision=3), 2.0)
    assert registry.find('a').record.versions == {'m': 1, 'k': 1}


def test_a_server_whose_entry_stays_is_back_after_one_record():
    registry = make_registry('a')
    registry.remove('a', 1_000.0)
    registry.complete_read(1_000.0)
    registry.put(make_record('a', revision=7), 1_100.0)
    for now in range(1_600, 9_000, 500):
        registry.complete_read(float(now))
    assert len(registry.list_service('desk', 9_000.0)) == 1


def test_a_late_record_that_is_removed_again_restores_no_server():
    registry = make_registry('a')
    registry.remove('a', 1_000.0)
    registry.complete_read(1_000.0)
    registry.put(make_record('a', revision=7), 1_100.0)
    for now in range(1_600, 5_000, 500):
        registry.complete_read(float(now))
        assert not registry.list_service('desk', float(now))
    registry.remove('a', 5_000.0)
    for now in range(5_000, 20_000, 500):
        registry.complete_read(float(now))
        assert not registry.list_service('desk', float(now))


def test_newer_listed_weights_discard_cached_context():
    registry = BackendRegistry()
    registry.put(make_record('a', versions={'m': 1}, revision=1), 0.0)
    registry.record_kept(ServerStart('a'), PARTS, 60_000)
    registry.put(make_record('a', versions={'m': 2}, revision=2), 1.0)
    assert registry.find('a').count_cached_tokens(PARTS) == 0


def test_a_store_outage_is_detected_from_reads_of_a_neighbour():
    """Answers arrive as usual, but report reads from before the outage."""
    registry = BackendRegistry()
    registry.replace([make_record('i-1')], 0.0)
    for now in (600.0, 1_200.0, 1_800.0, 2_400.0):
        registry.complete_read(now, read_at=500.0)
    registry.record_list_read(3_000.0, read_at=2_900.0)
    registry.remove('i-1', 3_000.0)
    assert registry.list_service('desk', 3_000.0)


def test_a_server_is_removed_whichever_process_reads_the_list():
    registry = BackendRegistry()
    registry.replace([make_record('i-1')], 0.0)
    for now in (600.0, 1_200.0, 1_800.0):
        registry.complete_read(now, read_at=now - 600.0)
    registry.record_list_read(2_400.0, read_at=2_300.0)
    registry.remove('i-1', 2_400.0)
    assert not registry.list_service('desk', 2_400.0)


def test_a_server_at_a_reused_address_displaces_the_previous_one():
    registry = BackendRegistry()
    registry.replace([make_record('i-1', address='h:1')], 0.0)
    registry.put(make_record('i-2', address='h:1'), 600.0)
    listed = registry.list_service('desk', 600.0)
    assert [each.record.server for each in listed] == ['i-2']


def test_a_late_record_displaces_a_server_only_briefly():
    registry = BackendRegistry()
    registry.replace([make_record('i-1', address='h:1')], 0.0)
    registry.put(make_record('i-2', address='h:1'), 600.0)
    registry.put(make_record('i-1', address='h:1', revision=2), 1_200.0)
    listed = registry.list_service('desk', 1_200.0)
    assert 'i-1' in [each.record.server for each in listed]


def test_a_server_known_alive_to_others_counts_as_silent_later():
    """The server lets less urgent requests wait and sends them nothing."""
    registry = BackendRegistry()
    registry.put(make_record('a'), 0.0)
    registry.record_sent(A, 'x', PendingAttempt(0.0, 0, 5, 0))
    backend = registry.find('a')
    assert backend.find_overdue_time(700.0) == 700.0
    registry.record_load(A, ServerLoad(8, 2, 16), 600.0)
    assert backend.find_overdue_time(700.0) == 0.0
    # A connection may be broken although its server is alive.
    registry.record_load(A, ServerLoad(8, 2, 16), 1_500.0)
    assert backend.find_overdue_time(1_600.0) == 600.0


@pytest.mark.parametrize(('slots', 'chosen'), [(16, 'b'), (128, 'a')])
def test_a_slot_of_few_costs_more_than_the_distance(slots, chosen):
    """Three requests fill a fifth of a small batch, little of a large one."""
    registry = BackendRegistry()
    far = {'data_centre': 'other', 'slots': slots}
    for server, changes in (('a', {'slots': slots}), ('b', far)):
        registry.put(make_record(server, versions={'m': 1}, **changes), 0.0)
    for number in range(3):
        registry.record_sent(A, str(number), PendingAttempt(0.0, 0))
        registry.record_received(A, str(number), 10.0)
    demand = CallDemand('desk', 'hall', model=ModelDemand('m', 10, 7, ()))
    assert (
        choose_backend(demand, registry, 20.0).backend.record.server == chosen
    )


def measure_replace_time(servers):
    """Return the least processor time of three replacements of the list."""
    records = [
        make_record(f'{number}', address=f'{number}:1')
        for number in range(servers)
    ]
    times = []
    for _ in range(3):
        registry, started_at = BackendRegistry(), time.process_time()
        registry.replace(records, 0.0)
        times.append(time.process_time() - started_at)
    return min(times)


def test_the_time_to_apply_a_list_grows_linearly():
    # Comparing each server with all others that were listed before it makes the
    # start of an entry quadratic: ten times the servers take a hundred times as
    # long.
    assert measure_replace_time(4_000) < 2 * 8 * measure_replace_time(500)
