"""The cost of choosing a server grows linearly with the engines."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderdyke.kernel import rate_limits
from oleanderdyke.kernel.backend import PendingAttempt
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.scheduling.placement import (
    SILENCE_LIMIT,
    CallDemand,
    choose_among,
    is_usable,
)
from oleanderdyke.kernel.servers import (
    ModelDemand,
    PromptPart,
    ServerLoad,
    ServerRecord,
    ServerStart,
)
from tests.test_send_limits import Entries, make_limits

NOW = 10_000.0
MODEL = ModelDemand(
    'm', 9_000, 80, (PromptPart('a', 4_000), PromptPart('own', 5_000))
)


def make_engines(count: int) -> BackendRegistry:
    registry = BackendRegistry()
    registry.replace(
        [
            ServerRecord(
                f'i-{number}',
                'desk',
                f'i-{number}:1',
                'hall',
                slots=16,
                versions={'m': 1},
            )
            for number in range(count)
        ],
        0.0,
    )
    registry.complete_read(0.0)
    for backend in registry.list_known():
        start = backend.record.start
        registry.record_sent(
            start, 'one', PendingAttempt(NOW - 30, 500, 2, 900)
        )
        registry.record_load(start, ServerLoad(5, 1, 16), NOW)
        backend.last_heard_at = NOW - 20
    return registry


def choose(registry: BackendRegistry) -> None:
    """Choose a server as for each model request."""
    limits = make_limits(entries=Entries(('front-1',)), cold_limits={})
    listed = registry.list_service('desk', NOW)
    blocked = limits.find_blocked(listed, (), NOW)
    demand = CallDemand('desk', 'hall', model=MODEL, blocked=blocked)
    assert choose_among(demand, listed, NOW) is not None


def count_calls(call: Callable[[], None]) -> Counter[str]:
    """Count the function calls by the file that defines the function."""
    calls: Counter[str] = Counter()

    def count_call(frame, event, _argument) -> None:
        if event in {'call', 'c_call'}:
            calls[frame.f_code.co_filename] += 1

    call()
    sys.setprofile(count_call)
    try:
        call()
    finally:
        sys.setprofile(None)
    return calls


@pytest.mark.parametrize('engines', [48, 200])
def test_the_cost_of_a_choice_is_linear_in_the_engines(engines):
    few, many = make_engines(25), make_engines(engines)
    least = count_calls(lambda: choose(few)).total() / 25
    assert count_calls(lambda: choose(many)).total() / engines <= 1.1 * least


def test_unset_rate_limits_cost_one_check_per_server():
    registry = make_engines(48)
    calls = count_calls(lambda: choose(registry))
    assert calls[rate_limits.__file__] <= 48
    assert registry.record_rate_limit(ServerStart('i-0'), 2.0, NOW, NOW)
    assert count_calls(lambda: choose(registry)).total() > calls.total()


@given(
    heard=st.floats(0.0, 3_000.0),
    sent=st.lists(st.floats(0.0, 3_000.0), max_size=3),
    tokens=st.integers(0, 60_000),
)
def test_a_server_is_unusable_only_when_silent(heard, sent, tokens):
    registry = make_engines(1)
    backend = registry.find('i-0')
    backend.last_heard_at = NOW - heard
    backend.waiting.clear()
    for number, ago in enumerate(sent):
        pending = PendingAttempt(NOW - ago, tokens, 2, 900)
        registry.record_sent(ServerStart('i-0'), f'{number}', pending)
    is_silent = backend.find_overdue_time(NOW) >= SILENCE_LIMIT
    assert is_usable(backend, NOW) is not is_silent
