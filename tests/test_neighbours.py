from __future__ import annotations

from collections import Counter

import pytest

from oleanderdyke.kernel.context_stores import (
    ContextEvent,
    ContextEvents,
    StoreView,
)
from oleanderdyke.kernel.deployment import StoreTraits
from oleanderdyke.kernel.neighbours import (
    CONTEXT_SOURCES,
    RECORD_SOURCE,
    Neighbour,
    Neighbours,
)
from oleanderdyke.kernel.presence import ANNOUNCEMENT_LIFETIME
from oleanderdyke.kernel.read_buffers import EventBuffer, RecordBuffer


def make_neighbours(own, count=14):
    neighbours = Neighbours(own, 'hall')
    for number in range(count):
        name = f'front-{number}'
        neighbours.record_alive(Neighbour(name, f'{name}:1', 'hall'), 0.0)
    return neighbours


def find_name(neighbours, source=RECORD_SOURCE, now=1.0):
    found = neighbours.find_reader(source, now)
    return None if found is None else found.name


def test_all_processes_choose_the_same_reader():
    names = {find_name(make_neighbours(f'side-{at}')) for at in range(20)}
    assert len(names) == 1
    assert find_name(make_neighbours(names.pop())) is None


def test_sources_are_spread_over_entries():
    neighbours = make_neighbours('side-1')
    sources = (RECORD_SOURCE, *CONTEXT_SOURCES)
    found = Counter(find_name(neighbours, source) for source in sources)
    assert len(found) > 2


def test_entries_elsewhere_or_without_address_are_no_readers():
    neighbours = Neighbours('front-0', 'hall')
    neighbours.record_alive(Neighbour('front-1', 'front-1:1', 'other'), 0.0)
    neighbours.record_alive(Neighbour('front-2', '', 'hall'), 0.0)
    assert find_name(neighbours) is None


def test_second_entry_reads_while_the_first_is_excluded():
    neighbours = make_neighbours('side-1')
    first = find_name(neighbours)
    neighbours.record_failure(first, 1.0)
    second = find_name(neighbours)
    assert second not in {first, None}
    assert find_name(neighbours, now=1_002.0) == first
    neighbours.record_failure(first, 1_002.0)
    assert find_name(neighbours, now=2_500.0) == second
    neighbours.record_success(first, 2_500.0)
    assert find_name(neighbours, now=2_500.0) == first


def test_silent_entry_is_no_reader():
    assert (
        find_name(make_neighbours('side-1'), now=ANNOUNCEMENT_LIFETIME) is None
    )


def test_requested_entry_reads_for_a_while():
    neighbours = make_neighbours('front-3')
    reader = find_name(neighbours)
    assert reader is not None
    neighbours.record_request(RECORD_SOURCE, 10.0)
    assert find_name(neighbours, now=1_000.0) is None
    assert find_name(neighbours, now=4_000.0) == reader


def test_requested_entry_that_cannot_read_uses_another_reader():
    neighbours = make_neighbours('front-3')
    neighbours.record_request(RECORD_SOURCE, 10.0)
    neighbours.record_own_failure(10.0)
    assert find_name(neighbours, now=20.0) is not None


def test_a_process_may_fail_any_number_of_times():
    neighbours = make_neighbours('front-0')
    for number in range(2_000):
        neighbours.record_failure('front-1', float(number))
    names = [each.name for each in neighbours.rank(RECORD_SOURCE, 2_000.0)]
    assert 'front-1' not in names


def test_record_buffer_holds_records_from_its_first_offset():
    buffer = RecordBuffer()
    buffer.add(5, [b'5', b'6'], known_at=100.0, now=110.0)
    buffer.add(7, [b'7'], known_at=None, now=120.0)
    assert buffer.find(4) is None
    assert buffer.find(6) == (b'6', b'7')
    assert buffer.find(8) == ()
    assert buffer.known_at == 100.0


def test_record_buffer_restarts_after_a_gap():
    buffer = RecordBuffer()
    buffer.add(0, [b'0'], known_at=100.0, now=110.0)
    buffer.add(9, [b'9'], known_at=None, now=120.0)
    assert buffer.find(0) is None
    assert buffer.find(9) == (b'9',)
    assert buffer.known_at is None


def test_record_buffer_is_bounded():
    buffer = RecordBuffer()
    for at in range(5_000):
        buffer.add(at, [b'x' * 1_000], known_at=0.0, now=0.0)
    assert buffer.find(4_999) == (b'x' * 1_000,)
    assert buffer.find(3_900) is None


def make_event(number, part):
    return ContextEvent(True, '1/m/', part, 10, number)  # noqa: FBT003


def make_events(boot, following, *events):
    return ContextEvents(boot, following, False, 0.0, events)  # noqa: FBT003


def test_event_buffer_serves_any_position_that_it_holds():
    buffer = EventBuffer()
    buffer.add(
        0, make_events(1, 2, make_event(1, 'a'), make_event(2, 'b')), 0, 1
    )
    buffer.add(2, make_events(1, 3, make_event(3, 'c')), 2, 3)
    assert [each.part for each in buffer.find(1)] == ['b', 'c']
    assert buffer.find(3) == ()


@pytest.mark.parametrize('found', [make_events(2, 4), make_events(1, 9)])
def test_event_buffer_restarts_after_a_gap(found):
    buffer = EventBuffer()
    buffer.add(0, make_events(1, 2, make_event(2, 'b')), 0, 1)
    buffer.add(3, found, 2, 3)
    assert buffer.find(0) is None


def make_view():
    traits = StoreTraits('store:1', 'hall', 10_000, 100.0, is_managed=True)
    return StoreView(traits)


def test_view_applies_newer_events_from_a_neighbour():
    view = make_view()
    view.apply_events(make_events(1, 1, make_event(1, 'a')), 100.0, 110.0)
    later = make_events(1, 2, make_event(2, 'b'))
    assert view.apply_shared_events(later, 120.0, 130.0)
    assert set(view.parts) == {('1/m/', 'a'), ('1/m/', 'b')}


def test_view_ignores_older_events_from_a_neighbour():
    view = make_view()
    view.apply_events(make_events(2, 5, make_event(5, 'a')), 100.0, 110.0)
    assert not view.apply_shared_events(make_events(2, 4), 120.0, 130.0)
    assert not view.apply_shared_events(make_events(1, 9), 90.0, 130.0)
    assert (view.boot, view.position) == (2, 5)
    assert view.apply_shared_events(make_events(3, 1), 120.0, 130.0)
    assert view.boot == 3


def test_view_age_is_that_of_its_latest_read():
    view, other = make_view(), make_view()
    view.apply_events(make_events(1, 1), 1_000.0, 1_000.0)
    assert view.apply_shared_events(make_events(1, 1), 500.0, 1_010.0)
    assert view.is_fresh(4_400.0)
    other.apply_shared_events(make_events(1, 1), 500.0, 1_010.0)
    assert not other.is_fresh(4_400.0)
