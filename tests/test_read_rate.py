"""Engines must not count as silent while they prefill long prompts.

An engine with a pending first byte counted as silent after 500 ms, with the
prefill rate assumed as 112 tokens per millisecond. These engines prefill 48, so
that a prompt of 23,000 tokens alone takes 480 ms. With a third of the engines
lost, 33 attempts were given up because "the server is silent"; 3 were with the
pending tokens and the measured rate taken into account. A silent engine gets no
work for half a second or more, and its requests are prefilled again elsewhere.
"""

from __future__ import annotations

import pytest

from oleanderdyke.kernel.backend import PendingAttempt
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.scheduling.placement import SILENCE_LIMIT, is_usable
from oleanderdyke.kernel.scheduling.prefill_rate import PrefillRate
from oleanderdyke.kernel.servers import ServerRecord, ServerStart

START = ServerStart('a')
FIRST_BYTE = 45.0


def make_registry():
    registry = BackendRegistry()
    record = ServerRecord('a', 'lm', 'a:1', 'hall', versions={'m': 1})
    registry.replace([record], 0.0)
    registry.complete_read(0.0)
    return registry


def add_samples(registry, rate, tokens=6_000):
    """Add samples of the prefill rate through first bytes."""
    for number in range(20):
        pending = PendingAttempt(0.0, tokens, is_alone=True)
        registry.record_sent(START, f'{number}', pending)
        registry.record_received(START, f'{number}', tokens / rate + FIRST_BYTE)
        registry.record_ended(START, f'{number}', 0)
    registry.find('a').last_heard_at = 0.0


@pytest.mark.parametrize('rate', [20.0, 48.0, 112.0, 300.0])
def test_an_engine_is_not_silent_during_prefill(rate):
    registry = make_registry()
    add_samples(registry, rate)
    tokens = int(rate * 900.0)
    registry.record_sent(START, 'x', PendingAttempt(0.0, tokens))
    assert is_usable(registry.find('a'), 900.0 + SILENCE_LIMIT - 1.0)
    assert not is_usable(registry.find('a'), 900.0 + SILENCE_LIMIT + 1.0)


def test_an_engine_without_prefill_is_silent_after_the_limit():
    registry = make_registry()
    registry.record_sent(START, 'x', PendingAttempt(0.0, 0))
    assert not is_usable(registry.find('a'), SILENCE_LIMIT + 1.0)


def test_an_engine_with_much_prefill_is_silent_within_two_seconds():
    registry = make_registry()
    for number in range(30):
        registry.record_sent(START, f'{number}', PendingAttempt(0.0, 20_000))
    assert not is_usable(registry.find('a'), 2_001.0)


def test_the_prefill_rate_is_the_median_of_samples():
    rate = PrefillRate()
    for duration in (100.0, 100.0, 100.0, 5.0, 900.0):
        rate.add_sample(5_000, duration)
    assert rate.estimate_time(10_000) == pytest.approx(200.0)


def test_short_prompts_and_zero_durations_are_ignored():
    rate = PrefillRate()
    first = rate.estimate_time(1_000)
    rate.add_sample(100, 1.0)
    rate.add_sample(5_000, 0.0)
    assert rate.estimate_time(1_000) == first


def test_a_first_byte_after_queueing_is_no_sample():
    registry = make_registry()
    before = registry.find('a').reading.estimate_time(1_000)
    registry.record_sent(START, 'x', PendingAttempt(0.0, 6_000))
    registry.record_received(START, 'x', 5_000.0)
    assert registry.find('a').reading.estimate_time(1_000) == before
