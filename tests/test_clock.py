from __future__ import annotations

import time

import pytest

from oleanderdyke.clock import make_clock


@pytest.mark.skipif(
    not hasattr(time, 'CLOCK_BOOTTIME'), reason='no clock counts suspensions'
)
def test_a_suspension_counts():
    told = time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000
    assert make_clock().now() == pytest.approx(told, abs=1_000)
