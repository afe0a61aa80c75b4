from __future__ import annotations

from random import Random

import pytest

from bench.caches import StoreCache
from oleanderdyke.clock import HOUR, MINUTE
from oleanderdyke.policies.exports import ExportPolicy, count_needed_reuses
from oleanderdyke.policies.keeping import make_expected_saving, make_lru
from oleanderdyke.policies.settings import AGENCY, COUNCIL, PolicySettings

LENGTH = 25_600_000


def find_worth(policy, segment, now, gap=0.0):
    return policy.estimate_value(segment, LENGTH, gap, now)


def test_frequently_used_segments_are_worth_more():
    policy = make_expected_saving(AGENCY)
    for hour in range(6):
        policy.record_use(b'hourly', hour * HOUR)
    for day in (0, 5):
        policy.record_use(b'seldom', day * HOUR)
    now = 6 * HOUR
    assert find_worth(policy, b'hourly', now) > find_worth(
        policy, b'seldom', now
    )


def test_a_single_use_is_worth_less_than_daily_use():
    policy = make_expected_saving(AGENCY)
    for day in range(3):
        policy.record_use(b'daily', day * 24 * HOUR)
    now = 60 * HOUR
    policy.record_use(b'once', now)
    assert find_worth(policy, b'daily', now) > find_worth(policy, b'once', now)


def test_unused_segments_lose_their_worth():
    policy = make_expected_saving(AGENCY)
    for hour in range(3):
        policy.record_use(b'a', hour * HOUR)
    early = find_worth(policy, b'a', 3 * HOUR)
    assert find_worth(policy, b'a', 300 * HOUR) < early / 50


def test_longer_segments_are_worth_less_for_each_byte():
    policy = make_expected_saving(AGENCY)
    assert policy.estimate_value(b'a', 100, 0.0, 0.0) > policy.estimate_value(
        b'a', 200, 0.0, 0.0
    )


def test_a_gap_hint_counts_until_a_use_is_known():
    policy = make_expected_saving(AGENCY)
    likely = find_worth(policy, b'a', 0.0, gap=10 * MINUTE)
    assert likely > find_worth(policy, b'b', 0.0, gap=10 * HOUR)


def test_tracked_uses_are_bounded():
    policy = make_expected_saving(PolicySettings(gap_memory=10))
    for number in range(100):
        policy.record_use(number.to_bytes(8, 'big'), float(number))
    assert len(policy._returns._returns) == 10


def test_lru_keeps_the_last_used_segments():
    policy = make_lru(AGENCY)
    policy.record_use(b'a', 1.0)
    policy.record_use(b'b', 2.0)
    assert find_worth(policy, b'b', 3.0) > find_worth(policy, b'a', 3.0)


@pytest.mark.parametrize(
    ('make_policy', 'survives'),
    [(make_expected_saving, True), (make_lru, False)],
)
def test_single_uses_do_not_evict_reused_segments(make_policy, survives):
    policy = make_policy(AGENCY)
    cache = StoreCache(20, policy, Random(1), LENGTH)
    reused = [number.to_bytes(8, 'big') for number in range(10)]
    for hour in range(5):
        cache.write(reused, hour * HOUR)
        cache.record_use(reused, hour * HOUR)
    for number in range(100, 200):
        cache.write([number.to_bytes(8, 'big')], 5 * HOUR + number)
    kept = cache.count_leading(reused)
    assert (kept == len(reused)) is survives


def test_council_exports_only_reused_segments():
    export_policy = ExportPolicy(COUNCIL)
    export_policy.record_use([b'a', b'b'])
    assert export_policy.count_worth_exporting([b'a', b'b']) == 0
    export_policy.record_use([b'a', b'c'])
    assert export_policy.count_worth_exporting([b'a', b'b']) == 1


def test_agency_exports_at_first_use():
    export_policy = ExportPolicy(AGENCY)
    export_policy.record_use([b'a', b'b'])
    assert export_policy.count_worth_exporting([b'a', b'b']) == 2


def test_expensive_link_needs_more_reuse():
    expensive = PolicySettings(w_recompute=0.25, w_link=2e-6)
    assert count_needed_reuses(expensive) > count_needed_reuses(COUNCIL)
