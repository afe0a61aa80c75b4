"""Real entry processes under faults from outside, and the soak's own checks."""

from __future__ import annotations

import functools

import anyio
import pytest

from tools.soak.arrivals import Observations, RetryRule
from tools.soak.plan import FaultKind, make_plan, make_restart_plan
from tools.soak.run import run_soak

RULE = RetryRule(share=0.2, slack=5.0, window=10.0)


def run_plan(plan, directory):
    lines = []
    anyio.run(functools.partial(run_soak, plan, directory, lines.append))
    return [line for line in lines if line.startswith('BROKEN')]


# Each start of an entry had a full bucket, so that starts in series retried
# without an end.
@pytest.mark.parametrize(
    ('kind', 'has_links'), [(FaultKind.KILL, True), (FaultKind.REPLACE, False)]
)
def test_entries_that_start_again_do_not_get_their_retries_anew(
    tmp_path, kind, has_links
):
    plan = make_restart_plan(
        1, entries=3, restarts=6, kind=kind, has_links=has_links
    )
    assert run_plan(plan, tmp_path) == []


@pytest.mark.parametrize('seed', [1, 2])
def test_promises_hold_under_drawn_faults(tmp_path, seed):
    assert run_plan(make_plan(seed, 20, entries=3), tmp_path) == []


def test_equal_seeds_give_equal_plans():
    assert make_plan(7, 60, entries=3) == make_plan(7, 60, entries=3)
    assert make_plan(7, 60, entries=3) != make_plan(8, 60, entries=3)


def test_check_finds_more_retries_than_a_window_allows():
    seen = Observations()
    for number in range(20):
        seen.record_sent(f'{number}', 1.0, is_idempotent=True)
        seen.record_arrival(f'{number}', 1.0)
    for number in range(9):
        seen.record_arrival(f'{number}', 2.0 + number)
    assert seen.find_excess(RULE) is None
    seen.record_arrival('0', 11.9)
    excess = seen.find_excess(RULE)
    assert (excess.begin, excess.retries, excess.allowed) == (2.0, 10, 9.0)


def test_check_counts_the_requests_of_an_earlier_window():
    seen = Observations()
    seen.sent += [0.5] * 100
    seen.retries += [9.0] * 25
    assert seen.find_excess(RULE) is None
    seen.retries.append(9.0)
    assert seen.find_excess(RULE) is not None


def test_check_tries_windows_that_begin_between_two_retries():
    seen = Observations()
    # The window that begins at the retries counts all requests as earlier ones;
    # one that begins between the two bursts of requests counts half of them.
    seen.sent += [0.5] * 50 + [9.5] * 50
    seen.retries += [9.9] * 20
    excess = seen.find_excess(RULE)
    assert excess is not None
    assert 0.5 < excess.begin <= 9.5
    assert (excess.retries, excess.allowed) == (20, 15.0)


def test_check_finds_requests_that_ran_twice_or_were_refused_after_a_run():
    seen = Observations()
    for request in ('a', 'b'):
        seen.record_sent(request, 0.0, is_idempotent=False)
        seen.record_run(request, b'x')
    seen.record_run('a', b'x')
    seen.record_answer('b', 503, b'')
    faults = seen.list_faults(RULE)
    assert [fault.split()[0] for fault in faults] == ['TWICE', 'REFUSED']


def test_check_finds_a_body_of_another_request():
    seen = Observations()
    for request in ('a', 'b'):
        seen.record_run(request, request.encode())
    seen.record_answer('a', 200, b'a')
    assert seen.list_faults(RULE) == []
    seen.record_answer('b', 200, b'a')
    assert seen.list_faults(RULE) == ['MIXED b: body is not its own']
