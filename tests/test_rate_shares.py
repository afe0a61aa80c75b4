"""Entries share the request rate that an overloaded server accepts."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderdyke.clock import SECOND
from oleanderdyke.kernel.rate_limits import (
    EntryCounts,
    RateLimit,
    find_interval,
)
from oleanderdyke.kernel.send_limits import Obstacle
from oleanderdyke.kernel.servers import ServerStart
from tests.test_send_limits import (
    Entries as KnownEntries,
)
from tests.test_send_limits import (
    choose,
    make_limits,
    make_record,
    make_registry,
)

START = ServerStart('a')
WINDOW = 4 * SECOND
# What a server tolerates in a window: a factor of its rate and a burst.
OVERAGE, BURST = 1.5, 5
SPARE = 2

Share = Callable[..., float]


def list_names(entries: int) -> tuple[str, ...]:
    return tuple(f'front-{number}' for number in range(entries))


def share_equally(rate, server, *, entry, entries) -> float:
    """Give all entries the same share, however small."""
    return SECOND * entries.count / rate


def share_by_known(rate, server, *, entry, entries) -> float:
    """Give each entry a share by the number of entries that it knows."""
    return SECOND * max(len(entries.known), 1) / rate


def make_entries(known: Collection[str], count: float) -> EntryCounts:
    return EntryCounts(known, count, sharing=len(known))


def simulate_entries(
    share: Share, rate: float, views: Mapping[str, EntryCounts]
) -> list[float]:
    """Return the sends of busy entries that learn of a limit within 0.5 s."""
    random = Random(len(views))
    sends = []
    for name, entries in views.items():
        interval = share(rate, 'a', entry=name, entries=entries)
        now = random.uniform(0.0, SECOND / 2) + interval
        while now < 300 * SECOND:
            sends.append(now)
            now += interval
    return sorted(sends)


def make_views(number: int) -> dict[str, EntryCounts]:
    """Build views in which each entry knows all others."""
    names = list_names(number)
    return dict.fromkeys(names, make_entries(names, number + SPARE))


def count_most_in_window(sends: list[float]) -> int:
    """Return the largest number of sends in a window."""
    most, first = 0, 0
    for number, at in enumerate(sends):
        while sends[first] < at - WINDOW:
            first += 1
        most = max(most, number - first + 1)
    return most


def find_allowed(rate: float) -> float:
    return OVERAGE * rate * WINDOW / SECOND + BURST


@pytest.mark.parametrize('rate', [0.0, 0.1, 0.5, 1.7, 2.3, 10.0, 80.0])
@pytest.mark.parametrize('entries', [1, 3, 6, 27, 68, 410])
def test_all_entries_together_stay_within_a_limit(entries, rate):
    sends = simulate_entries(find_interval, rate, make_views(entries))
    assert count_most_in_window(sends) <= find_allowed(rate)


@pytest.mark.parametrize('rate', [0.1, 0.5, 1.7, 2.3, 10.0])
@pytest.mark.parametrize('old', [1, 3, 6, 27, 68])
@pytest.mark.parametrize('new', [1, 2, 6])
def test_entries_unknown_to_others_respect_the_limit(old, new, rate):
    names = list_names(old + new)
    fresh = EntryCounts(names, old + new + SPARE, sharing=math.inf)
    views = dict.fromkeys(names, fresh)
    views |= dict.fromkeys(names[:old], make_entries(names[:old], old + SPARE))
    sends = simulate_entries(find_interval, rate, views)
    assert count_most_in_window(sends) <= find_allowed(rate)


@given(st.data(), st.integers(1, 40), st.floats(0.0, 60.0))
@settings(max_examples=100, deadline=None)
def test_entries_that_count_departed_ones_respect_the_limit(
    data, entries, rate
):
    """Each entry knows all live entries and some that have ended."""
    names = list_names(entries)
    gone = tuple(f'gone-{number}' for number in range(9))
    views = {}
    for name in names:
        known = {*names, *data.draw(st.sets(st.sampled_from(gone)))}
        views[name] = make_entries(known, len(known) + SPARE)
    sends = simulate_entries(find_interval, rate, views)
    assert count_most_in_window(sends) <= find_allowed(rate)


@given(st.integers(1, 120), st.floats(0.0, 60.0))
@settings(max_examples=100, deadline=None)
def test_simultaneous_sends_of_sharing_entries_respect_the_limit(entries, rate):
    """The sends of different entries are not coordinated."""
    intervals = [
        find_interval(rate, 'a', entry=name, entries=view)
        for name, view in make_views(entries).items()
    ]
    shared = min(intervals)
    most = sum(
        math.floor(WINDOW / interval) + 1
        for interval in intervals
        if interval == shared
    )
    assert most <= find_allowed(max(rate, 0.1))


def test_equal_shares_of_many_entries_break_a_limit_when_all_were_idle():
    sends = simulate_entries(share_equally, 2.3, make_views(68))
    assert count_most_in_window(sends) > find_allowed(2.3)


def test_shares_by_known_entries_break_a_limit_if_views_differ():
    names = list_names(27)
    views = {
        name: make_entries(names[number : number + 3], 27)
        for number, name in enumerate(names)
    }
    sends = simulate_entries(share_by_known, 2.3, views)
    assert count_most_in_window(sends) > find_allowed(2.3)


@pytest.mark.parametrize('entries', [1, 3, 6, 27, 68])
def test_a_server_gets_at_least_four_fifths_of_its_rate(entries):
    sends = simulate_entries(find_interval, 2.3, make_views(entries))
    assert 0.8 * 2.3 <= len(sends) / 300 <= 1.1 * 2.3


@pytest.mark.parametrize('entries', [1, 27, 410])
def test_a_server_that_accepts_nothing_is_probed_seldom(entries):
    sends = simulate_entries(find_interval, 0.0, make_views(entries))
    assert 0 < len(sends) <= 0.15 * 300


def test_an_entry_that_cannot_count_the_others_sends_nothing():
    entries = EntryCounts(('e',), math.inf, math.inf)
    interval = find_interval(9.0, 'a', entry='e', entries=entries)
    assert math.isinf(interval)


def test_a_limit_holds_until_an_answer_has_none():
    limit = RateLimit()
    assert limit.update(2.3, 1_000.0, 1_000.0)
    assert not limit.update(2.3, 1_400.0, 1_400.0)
    assert limit.update(1.7, 1_500.0, 1_500.0)
    assert (limit.per_second, limit.since) == (1.7, 1_000.0)
    assert limit.update(math.inf, 2_000.0, 2_000.0)
    assert not limit.is_set


def test_an_answer_out_of_order_ends_no_limit():
    limit = RateLimit()
    limit.update(2.3, 1_000.0, 1_000.0)
    assert not limit.update(math.inf, 1_200.0, 1_200.0)
    assert not limit.update(math.inf, 900.0, 900.0)
    assert limit.is_set
    assert limit.update(math.inf, 1_250.0, 1_250.0)


def test_an_older_report_of_a_neighbour_is_ignored():
    limit = RateLimit()
    limit.update(2.3, 1_000.0, 1_000.0)
    limit.update(math.inf, 2_000.0, 2_000.0)
    assert not limit.update(2.3, 1_900.0, 1_900.0)
    assert not limit.is_set


def announce_limit(registry, rate: float, now: float) -> None:
    assert registry.record_rate_limit(START, rate, now, now)


def test_a_limited_server_gets_a_request_of_an_entry_each_interval():
    registry = make_registry(make_record('a'))
    limits = make_limits(entries=KnownEntries(('front-1',), spare=0))
    announce_limit(registry, 2.0, 0.0)
    assert choose(registry, limits, now=499.0) is Obstacle.LIMITED
    assert choose(registry, limits, now=500.0) == 'a'
    limits.record_sent(registry.find('a'), 500.0)
    assert choose(registry, limits, now=999.0) is Obstacle.LIMITED
    assert choose(registry, limits, now=1_000.0) == 'a'


def test_requests_beyond_a_limit_go_to_another_server():
    registry = make_registry(
        make_record('a'), make_record('b', data_centre='yard')
    )
    limits = make_limits()
    assert choose(registry, limits) == 'a'
    announce_limit(registry, 2.0, 0.0)
    assert choose(registry, limits, now=1.0) == 'b'


def test_simultaneous_choices_share_one_send():
    registry = make_registry(make_record('a'))
    limits = make_limits()
    announce_limit(registry, 2.0, 0.0)
    chosen = []
    for _ in range(5):
        found = choose(registry, limits, now=9_000.0)
        chosen.append(found)
        if found == 'a':
            limits.record_sent(registry.find('a'), 9_000.0)
    assert chosen == ['a', *[Obstacle.LIMITED] * 4]


def test_a_choice_made_before_a_limit_was_known_is_not_sent():
    registry = make_registry(make_record('a'))
    limits, backend = make_limits(), registry.find('a')
    assert limits.find_send_obstacle(backend, 100.0, 300.0) is None
    announce_limit(registry, 2.0, 200.0)
    assert limits.find_send_obstacle(backend, 100.0, 300.0) is Obstacle.LIMITED
    assert limits.find_send_obstacle(backend, 9_000.0, 9_000.0) is None


# The neighbour had the limit before the choice, but its report arrived after
# it. Such a choice was sent, as were all others made without the limit.
def test_a_choice_made_before_a_neighbour_reported_a_limit_is_not_sent():
    registry = make_registry(make_record('a'))
    assert registry.record_rate_limit(START, 2.0, 100.0, 900.0)
    backend = registry.find('a')
    found = make_limits().find_send_obstacle(backend, 500.0, 950.0)
    assert found is Obstacle.LIMITED


def test_a_new_start_of_a_server_has_no_limit():
    registry = make_registry(make_record('a', born=1))
    assert registry.record_rate_limit(ServerStart('a', 1), 2.0, 0.0, 0.0)
    registry.put(make_record('a', born=2), 100.0)
    assert not registry.find('a').limit.is_set
    assert not registry.record_rate_limit(
        ServerStart('a', 1), 3.0, 200.0, 200.0
    )


def test_the_earliest_send_time_of_several_servers_is_found():
    registry = make_registry(make_record('a'), make_record('b'))
    limits = make_limits(entries=KnownEntries(('front-1',), spare=0))
    announce_limit(registry, 2.0, 0.0)
    registry.record_rate_limit(ServerStart('b'), 4.0, 0.0, 0.0)
    assert limits.find_next_send_time(registry.list_known(), 100.0) == 250.0


ODD_COUNTS = st.sampled_from((-1.0, 0.0, 0.5, 1.0, 3.0, math.inf, math.nan))


# A count of nobody gave an interval of 0, which is no limit.
@given(st.floats(0.1, 60.0), ODD_COUNTS, ODD_COUNTS)
def test_no_count_of_entries_lets_one_entry_exceed_the_limit(
    rate, count, sharing
):
    entries = EntryCounts((), count, sharing)
    interval = find_interval(rate, 'a', entry='e', entries=entries)
    assert interval >= SECOND / rate
