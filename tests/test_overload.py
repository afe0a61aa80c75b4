from __future__ import annotations

from oleanderdyke.kernel.scheduling.overload import (
    RequestAge,
    find_request_age,
    should_refuse,
)


def refuse(waited=0.0, **changes):
    arguments = {
        'expected': 10.0,
        'delay': 90.0,
        'waiting': 0,
        'fill': 0.2,
        'size': 1.0,
        'random_value': 0.5,
        **changes,
    }
    return should_refuse(RequestAge(waited, 400.0), **arguments)


def test_nothing_is_refused_while_slots_are_free():
    assert not any(
        refuse(random_value=random_value / 100) for random_value in range(100)
    )


def test_a_first_try_that_would_be_late_is_refused_and_a_second_is_not():
    assert refuse(expected=500.0)
    assert not refuse(expected=500.0, waited=300.0)


def test_more_requests_are_refused_as_engine_memory_fills():
    refused = [
        sum(
            refuse(fill=fill, random_value=random_value / 100)
            for random_value in range(100)
        )
        for fill in (0.8, 0.9, 1.0, 1.1, 2.0)
    ]
    assert refused == sorted(refused)
    assert refused[0] == 0
    assert refused[-1] == 95


def test_estimated_memory_use_alone_refuses_nothing():
    assert refuse(fill=2.0)
    assert not refuse(fill=2.0, delay=10.0)
    assert refuse(fill=2.0, delay=10.0, waiting=3)


def test_small_requests_are_refused_less_often():
    assert refuse(fill=1.1, random_value=0.5, size=1.0)
    assert not refuse(fill=1.1, random_value=0.5, size=0.1)


def test_the_time_waited_follows_from_the_deadline():
    assert find_request_age(4_000, 4_000, 400).is_first_try
    assert find_request_age(3_500, 4_000, 400).is_late
    assert find_request_age(None, 4_000, 400).is_first_try
