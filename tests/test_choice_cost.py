"""Choosing a server costs work for each engine, and no more than that."""

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
from oleanderdyke.kernel.placement import (
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
    book = BackendRegistry()
    book.replace(
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
    book.complete_read(0.0)
    for backend in book.list_known():
        start = backend.record.start
        book.record_sent(start, 'one', PendingAttempt(NOW - 30, 500, 2, 900))
        book.record_load(start, ServerLoad(5, 1, 16), NOW)
        backend.last_heard_at = NOW - 20
    return book


def choose(book: BackendRegistry) -> None:
    """Choose as for each request of a model."""
    limits = make_limits(entries=Entries(('front-1',)), cold_limits={})
    listed = book.list_service('desk', NOW)
    blocked = limits.find_blocked(listed, (), NOW)
    demand = CallDemand('desk', 'hall', model=MODEL, blocked=blocked)
    assert choose_among(demand, listed, NOW) is not None


def count_calls(act: Callable[[], None]) -> Counter[str]:
    """Count the calls of functions, by the file that defines them."""
    calls: Counter[str] = Counter()

    def note(frame, event, _argument) -> None:
        if event in {'call', 'c_call'}:
            calls[frame.f_code.co_filename] += 1

    act()
    sys.setprofile(note)
    try:
        act()
    finally:
        sys.setprofile(None)
    return calls


@pytest.mark.parametrize('engines', [48, 200])
def test_the_cost_of_a_choice_grows_with_the_engines_alone(engines):
    few, many = make_engines(25), make_engines(engines)
    least = count_calls(lambda: choose(few)).total() / 25
    assert count_calls(lambda: choose(many)).total() / engines <= 1.1 * least


def test_a_limit_that_no_server_names_costs_one_look_at_each():
    book = make_engines(48)
    calls = count_calls(lambda: choose(book))
    assert calls[rate_limits.__file__] <= 48
    assert book.record_rate_limit(ServerStart('i-0'), 2.0, NOW, NOW)
    assert count_calls(lambda: choose(book)).total() > calls.total()


@given(
    heard=st.floats(0.0, 3_000.0),
    sent=st.lists(st.floats(0.0, 3_000.0), max_size=3),
    tokens=st.integers(0, 60_000),
)
def test_a_server_is_left_out_only_once_it_is_silent(heard, sent, tokens):
    book = make_engines(1)
    backend = book.find('i-0')
    backend.last_heard_at = NOW - heard
    backend.waiting.clear()
    for number, ago in enumerate(sent):
        owed = PendingAttempt(NOW - ago, tokens, 2, 900)
        book.record_sent(ServerStart('i-0'), f'{number}', owed)
    is_silent = backend.find_overdue_time(NOW) >= SILENCE_LIMIT
    assert is_usable(backend, NOW) is not is_silent
