from __future__ import annotations

import math

import pytest

from oleanderdyke.kernel.presence import ANNOUNCEMENT_LIFETIME, EntryCount


def read_announcements(count, since, until):
    for at in range(since, until + 1, 5_000):
        count.record_read(at)


def test_count_includes_entries_not_yet_announced():
    count = EntryCount()
    assert count.count(0.0) == math.inf
    for number in range(3):
        count.record_entry(f'front-{number}', 0.0)
    count.record_read(0.0)
    assert count.count(1_000.0) == math.inf
    count.record_read(5_000.0)
    assert count.count(5_000.0) == 8
    for number in range(3):
        count.record_entry(f'front-{number}', 25_000.0)
    read_announcements(count, 10_000, 25_000)
    assert count.count(30_000.0) == 5
    read_announcements(count, 30_000, 65_000)
    assert count.count(25_000.0 + ANNOUNCEMENT_LIFETIME) == 2


def test_count_is_complete_at_once_after_an_earlier_run():
    count = EntryCount(is_first_start=False)
    assert count.count(0.0) == math.inf
    for number in range(68):
        count.record_entry(f'front-{number}', 0.0)
    count.record_read(0.0)
    assert count.count(0.0) == 70


def test_lost_announcements_make_the_count_unknown():
    count = EntryCount(is_first_start=False)
    count.mark_incomplete()
    count.record_entry('front-1', 0.0)
    count.record_read(0.0)
    assert count.count(0.0) == math.inf


def test_count_stays_while_the_store_is_unavailable():
    count = EntryCount()
    for number in range(6):
        count.record_entry(f'front-{number}', 0.0)
    read_announcements(count, 0, 30_000)
    assert count.count(30_000.0) == 8
    assert count.count(30_000.0 + ANNOUNCEMENT_LIFETIME) == 8


def test_count_stays_unknown_without_further_reads():
    count = EntryCount()
    count.record_entry('front-0', 0.0)
    count.record_read(0.0)
    assert count.count(30_000.0) == math.inf


@pytest.mark.parametrize('entries', [3, 17, 68, 200])
def test_entries_that_start_together_are_never_undercounted(entries):
    """Up to half of the entries announce late, as the store rejects them."""
    count = EntryCount()
    count.record_entry('front-0', 0.0)
    for at in range(0, 40_000, 1_000):
        if at == 1_000:
            for number in range(entries // 2 + 1):
                count.record_entry(f'front-{number}', at)
        if at == 15_000:
            for number in range(entries):
                count.record_entry(f'front-{number}', at)
        count.record_read(at)
        assert count.count(at) >= entries


def test_entries_may_announce_late_after_a_store_outage():
    count = EntryCount()
    for number in range(6):
        count.record_entry(f'front-{number}', 0.0)
    read_announcements(count, 0, 30_000)
    back = 70_000.0
    # One entry announces first, the others within their usual interval.
    count.record_entry('front-0', back)
    count.record_read(back)
    assert count.count(back) == 8
    read_announcements(count, 75_000, 110_000)
    assert count.count(back + ANNOUNCEMENT_LIFETIME) == 2


def make_announced_count(since=0) -> EntryCount:
    """Count two entries; this one announces itself from `since` on."""
    count = EntryCount(is_first_start=False)
    for at in range(0, 60_000, 10_000):
        for number in range(2):
            count.record_entry(f'front-{number}', at)
        count.record_read(at)
        if at >= since:
            count.record_announcement(at)
    return count


def test_share_is_exact_once_all_have_read_the_announcement():
    count = make_announced_count(since=30_000)
    assert count.count_sharing(54_999.0) == math.inf
    assert count.count_sharing(55_000.0) == 2


def test_entry_that_stops_announcing_loses_its_share():
    count = make_announced_count()
    assert count.count_sharing(50_000.0 + ANNOUNCEMENT_LIFETIME - 1) == 2
    assert count.count_sharing(50_000.0 + ANNOUNCEMENT_LIFETIME) == math.inf


def test_share_returns_only_after_a_new_announcement_is_read():
    count = make_announced_count()
    count.record_announcement(60_000.0 + ANNOUNCEMENT_LIFETIME)
    assert count.count_sharing(60_000.0 + ANNOUNCEMENT_LIFETIME) == math.inf
    count.record_announcement(75_000.0 + ANNOUNCEMENT_LIFETIME)
    assert count.count_sharing(85_000.0 + ANNOUNCEMENT_LIFETIME) == 2


def test_an_entry_that_never_announced_itself_has_no_share():
    assert (
        make_announced_count(since=90_000).count_sharing(50_000.0) == math.inf
    )


def test_entries_that_start_together_share_by_a_higher_count_at_first():
    count = EntryCount()
    count.record_entry('front-0', 0.0)
    count.record_entry('front-1', 0.0)
    count.record_announcement(0.0)
    read_announcements(count, 0, 10_000)
    assert count.count_sharing(4_000.0) == math.inf
    assert count.count_sharing(10_000.0) == 4
    assert count.count_sharing(25_000.0) == 2


# An entry whose own announcement no reader decoded counted nobody, and took
# whole limits that all entries share.
def test_entry_that_does_not_read_its_own_announcement_has_no_share():
    count = EntryCount('front-9', is_first_start=False)
    count.record_announcement(0.0)
    for at in range(0, 60_000, 10_000):
        count.record_announcement(at)
        count.record_read(at)
        assert count.count(at) == math.inf
        assert count.count_sharing(at) == math.inf
        assert not count.is_counted(at)
    count.record_entry('front-9', 60_000.0)
    count.record_read(60_000.0)
    assert count.count(60_000.0) == 3
    assert count.count_sharing(60_000.0) == 1
    assert count.is_counted(60_000.0)
