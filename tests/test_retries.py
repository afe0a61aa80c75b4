from __future__ import annotations

from random import Random

import pytest

from oleanderdyke.kernel.retries import RetrySettings, make_retry_budget

SETTINGS = RetrySettings(share=0.1, burst=5.0, base_delay=10.0, max_delay=40.0)


def test_retries_of_an_outage_stay_a_share_of_fresh_requests():
    budget = make_retry_budget(SETTINGS, Random(1))
    retries = 0
    for _ in range(1_000):
        budget.deposit()
        while budget.try_withdraw():
            retries += 1
    assert 95 <= retries <= 105


def test_idle_time_earns_no_more_than_the_burst():
    budget = make_retry_budget(SETTINGS, Random(1))
    for _ in range(1_000):
        budget.deposit()
    assert sum(budget.try_withdraw() for _ in range(100)) == 5


@pytest.mark.parametrize(('retry', 'ceiling'), [(1, 10), (2, 20), (9, 40)])
def test_delays_are_jittered_below_a_growing_ceiling(retry, ceiling):
    budget = make_retry_budget(SETTINGS, Random(1))
    delays = [budget.delay(retry) for _ in range(200)]
    assert 0 <= min(delays) < ceiling / 4
    assert ceiling * 3 / 4 < max(delays) <= ceiling


def test_smaller_burst_drops_excess_tokens():
    budget = make_retry_budget(RetrySettings(burst=9.0), Random(1))
    budget.resize(RetrySettings(burst=2.0))
    assert [budget.try_withdraw() for _ in range(3)] == [True, True, False]
    budget.resize(RetrySettings(burst=9.0))
    assert not budget.try_withdraw()
