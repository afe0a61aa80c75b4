from __future__ import annotations

from oleanderdyke.kernel.durations import DurationEstimator


def test_the_bound_of_a_duration_fades():
    durations = DurationEstimator()
    assert durations.estimate_bound('letter', 9_000.0, 0.0) == 9_000.0
    durations.record('letter', 5_000.0)
    assert durations.estimate_bound('letter', 9_000.0, 0.0) > 5_000.0
    for _ in range(400):
        durations.record('letter', 100.0)
    assert durations.estimate_bound('letter', 9_000.0, 0.0) < 1_000.0


def test_what_still_runs_tells_how_long_a_request_may_last():
    """Lest a stream is taken by a stopping entry and cut at its end.

    One was taken 3.4 s after the signal to stop, as those that had ended were
    short, and cut 4.0 s later; no trace of what else ran then was kept.
    """
    durations = DurationEstimator()
    durations.record('letter', 1_000.0)
    durations.begin('x', 'letter', 0.0)
    durations.begin('y', 'other', 0.0)
    assert durations.estimate_bound('letter', 9_000.0, 500.0) == 1_300.0
    assert durations.estimate_bound('letter', 9_000.0, 3_000.0) == 3_900.0
    durations.end('x')
    assert durations.estimate_bound('letter', 9_000.0, 3_000.0) == 1_300.0
