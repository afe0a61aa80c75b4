from __future__ import annotations

from functools import cache

import pytest

from bench.bounds import find_breaches, load_bounds
from bench.runs import Task, run

BOUNDS = load_bounds()
run_once = cache(run)


@pytest.mark.parametrize(
    'bound', BOUNDS, ids=lambda each: f'{each.deployment}-{each.scenario}'
)
def test_policy_keeps_its_regression_bounds(bound):
    assert not list(find_breaches(bound, run_once(bound.task)))


def test_equal_tasks_give_equal_figures():
    task = Task('agency', 'brief-outage', 'policy', 1)
    assert run(task) == run_once(task)


def test_policy_beats_recomputing_in_the_same_run():
    policy = run_once(Task('agency', 'brief', 'policy', 1))
    baseline = run(Task('agency', 'brief', 'always-recompute', 1))
    assert policy.ttft_95 <= 0.75 * baseline.ttft_95
