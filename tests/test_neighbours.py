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


def test_all_processes_name_the_same_reader():
    names = {find_name(make_neighbours(f'side-{at}')) for at in range(20)}
    assert len(names) == 1
    assert find_name(make_neighbours(names.pop())) is None


def test_sources_are_spread_over_entries():
    neighbours = make_neighbours('side-1')
    sources = (RECORD_SOURCE, *CONTEXT_SOURCES)
    found = Counter(find_name(neighbours, source) for source in sources)
    assert len(found) > 2


def test_entries_of_other_data_centres_and_without_address_are_not_asked():
    neighbours = Neighbours('front-0', 'hall')
    neighbours.record_alive(Neighbour('front-1', 'front-1:1', 'other'), 0.0)
    neighbours.record_alive(Neighbour('front-2', '', 'hall'), 0.0)
    assert find_name(neighbours) is None


def test_the_next_one_reads_while_the_first_is_passed_over():
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


def test_who_tells_nothing_for_long_is_gone():
    assert (
        find_name(make_neighbours('side-1'), now=ANNOUNCEMENT_LIFETIME) is None
    )


def test_an_entry_that_is_asked_reads_for_a_while():
    neighbours = make_neighbours('front-3')
    reader = find_name(neighbours)
    assert reader is not None
    neighbours.record_request(RECORD_SOURCE, 10.0)
    assert find_name(neighbours, now=1_000.0) is None
    assert find_name(neighbours, now=4_000.0) == reader


def test_an_entry_that_cannot_read_asks_although_it_is_asked():
    neighbours = make_neighbours('front-3')
    neighbours.record_request(RECORD_SOURCE, 10.0)
    neighbours.record_own_failure(10.0)
    assert find_name(neighbours, now=20.0) is not None


def test_a_tail_holds_records_from_where_it_begins():
    tail = RecordBuffer()
    tail.add(5, [b'5', b'6'], known_at=100.0, now=110.0)
    tail.add(7, [b'7'], known_at=None, now=120.0)
    assert tail.find(4) is None
    assert tail.find(6) == (b'6', b'7')
    assert tail.find(8) == ()
    assert tail.known_at == 100.0


def test_a_tail_begins_anew_after_a_gap():
    tail = RecordBuffer()
    tail.add(0, [b'0'], known_at=100.0, now=110.0)
    tail.add(9, [b'9'], known_at=None, now=120.0)
    assert tail.find(0) is None
    assert tail.find(9) == (b'9',)
    assert tail.known_at is None


def test_a_tail_is_bounded():
    tail = RecordBuffer()
    for at in range(5_000):
        tail.add(at, [b'x' * 1_000], known_at=0.0, now=0.0)
    assert tail.find(4_999) == (b'x' * 1_000,)
    assert tail.find(3_900) is None


def make_event(number, part):
    return ContextEvent(True, '1/m/', part, 10, number)  # noqa: FBT003


def make_events(boot, following, *events):
    return ContextEvents(boot, following, False, 0.0, events)  # noqa: FBT003


def test_a_tail_of_events_serves_any_position_that_it_holds():
    tail = EventBuffer()
    tail.add(0, make_events(1, 2, make_event(1, 'a'), make_event(2, 'b')), 0, 1)
    tail.add(2, make_events(1, 3, make_event(3, 'c')), 2, 3)
    assert [each.part for each in tail.find(1)] == ['b', 'c']
    assert tail.find(3) == ()


@pytest.mark.parametrize('found', [make_events(2, 4), make_events(1, 9)])
def test_a_tail_of_events_begins_anew_after_a_gap(found):
    tail = EventBuffer()
    tail.add(0, make_events(1, 2, make_event(2, 'b')), 0, 1)
    tail.add(3, found, 2, 3)
    assert tail.find(0) is None


def make_view():
    traits = StoreTraits('store:1', 'hall', 10_000, 100.0, is_managed=True)
    return StoreView(traits)


def test_a_view_takes_what_a_neighbour_read_further():
    view = make_view()
    view.apply_events(make_events(1, 1, make_event(1, 'a')), 100.0, 110.0)
    later = make_events(1, 2, make_event(2, 'b'))
    assert view.apply_shared_events(later, 120.0, 130.0)
    assert set(view.parts) == {('1/m/', 'a'), ('1/m/', 'b')}


def test_a_view_never_goes_back_by_what_a_neighbour_read():
    view = make_view()
    view.apply_events(make_events(2, 5, make_event(5, 'a')), 100.0, 110.0)
    assert not view.apply_shared_events(make_events(2, 4), 120.0, 130.0)
    assert not view.apply_shared_events(make_events(1, 9), 90.0, 130.0)
    assert (view.boot, view.position) == (2, 5)
    assert view.apply_shared_events(make_events(3, 1), 120.0, 130.0)
    assert view.boot == 3


def test_a_view_is_no_older_for_older_news_and_no_younger():
    view, other = make_view(), make_view()
    view.apply_events(make_events(1, 1), 1_000.0, 1_000.0)
    assert view.apply_shared_events(make_events(1, 1), 500.0, 1_010.0)
    assert view.is_fresh(4_400.0)
    other.apply_shared_events(make_events(1, 1), 500.0, 1_010.0)
    assert not other.is_fresh(4_400.0)
