from __future__ import annotations

from random import Random

import pytest

from bench.caches import StoreCache
from oleanderdyke.clock import HOUR, MINUTE
from oleanderdyke.policies.exports import ExportPolicy, count_needed_reuses
from oleanderdyke.policies.keeping import make_expected_saving, make_lru
from oleanderdyke.policies.settings import AGENCY, COUNCIL, PolicySettings

LENGTH = 25_600_000


def worth(keeper, segment, now, gap=0.0):
    return keeper.estimate_value(segment, LENGTH, gap, now)


def test_frequently_used_segments_are_worth_more():
    keeper = make_expected_saving(AGENCY)
    for hour in range(6):
        keeper.record_use(b'hourly', hour * HOUR)
    for day in (0, 5):
        keeper.record_use(b'seldom', day * HOUR)
    now = 6 * HOUR
    assert worth(keeper, b'hourly', now) > worth(keeper, b'seldom', now)


def test_a_single_use_is_worth_less_than_daily_use():
    keeper = make_expected_saving(AGENCY)
    for day in range(3):
        keeper.record_use(b'daily', day * 24 * HOUR)
    now = 60 * HOUR
    keeper.record_use(b'once', now)
    assert worth(keeper, b'daily', now) > worth(keeper, b'once', now)


def test_unused_segments_lose_their_worth():
    keeper = make_expected_saving(AGENCY)
    for hour in range(3):
        keeper.record_use(b'a', hour * HOUR)
    early = worth(keeper, b'a', 3 * HOUR)
    assert worth(keeper, b'a', 300 * HOUR) < early / 50


def test_longer_segments_are_worth_less_for_each_byte():
    keeper = make_expected_saving(AGENCY)
    assert keeper.estimate_value(b'a', 100, 0.0, 0.0) > keeper.estimate_value(
        b'a', 200, 0.0, 0.0
    )


def test_a_gap_hint_counts_until_a_use_is_known():
    keeper = make_expected_saving(AGENCY)
    soon = worth(keeper, b'a', 0.0, gap=10 * MINUTE)
    assert soon > worth(keeper, b'b', 0.0, gap=10 * HOUR)


def test_tracked_uses_are_bounded():
    keeper = make_expected_saving(PolicySettings(gap_memory=10))
    for number in range(100):
        keeper.record_use(number.to_bytes(8, 'big'), float(number))
    assert len(keeper._returns._returns) == 10


def test_lru_keeps_the_last_used_segments():
    keeper = make_lru(AGENCY)
    keeper.record_use(b'a', 1.0)
    keeper.record_use(b'b', 2.0)
    assert worth(keeper, b'b', 3.0) > worth(keeper, b'a', 3.0)


@pytest.mark.parametrize(
    ('make_keeper', 'survives'),
    [(make_expected_saving, True), (make_lru, False)],
)
def test_single_uses_do_not_evict_reused_segments(make_keeper, survives):
    keeper = make_keeper(AGENCY)
    cache = StoreCache(20, keeper, Random(1), LENGTH)
    rulebook = [number.to_bytes(8, 'big') for number in range(10)]
    for hour in range(5):
        cache.write(rulebook, hour * HOUR)
        cache.record_use(rulebook, hour * HOUR)
    for number in range(100, 200):
        cache.write([number.to_bytes(8, 'big')], 5 * HOUR + number)
    kept = cache.count_leading(rulebook)
    assert (kept == len(rulebook)) is survives


def test_council_exports_only_reused_segments():
    chooser = ExportPolicy(COUNCIL)
    chooser.record_use([b'a', b'b'])
    assert chooser.count_worth_exporting([b'a', b'b']) == 0
    chooser.record_use([b'a', b'c'])
    assert chooser.count_worth_exporting([b'a', b'b']) == 1


def test_agency_exports_at_first_use():
    chooser = ExportPolicy(AGENCY)
    chooser.record_use([b'a', b'b'])
    assert chooser.count_worth_exporting([b'a', b'b']) == 2


def test_expensive_link_needs_more_reuse():
    dear = PolicySettings(w_recompute=0.25, w_link=2e-6)
    assert count_needed_reuses(dear) > count_needed_reuses(COUNCIL)
