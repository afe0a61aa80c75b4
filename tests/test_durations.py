from __future__ import annotations

from oleanderdyke.kernel.durations import DurationEstimator


def test_estimate_decays_with_further_requests():
    durations = DurationEstimator()
    assert durations.estimate_bound('letter', 9_000.0, 0.0) == 9_000.0
    durations.record('letter', 5_000.0)
    assert durations.estimate_bound('letter', 9_000.0, 0.0) > 5_000.0
    for _ in range(400):
        durations.record('letter', 100.0)
    assert durations.estimate_bound('letter', 9_000.0, 0.0) < 1_000.0


def test_running_requests_raise_the_estimate():
    """Guard against a stopping entry accepting a stream that it must cut.

    A stream was accepted 3.4 s after the stop signal, as all finished ones had
    been short, and cut 4.0 s later. Which other requests were running then is
    not known.
    """
    durations = DurationEstimator()
    durations.record('letter', 1_000.0)
    durations.begin('x', 'letter', 0.0)
    durations.begin('y', 'other', 0.0)
    assert durations.estimate_bound('letter', 9_000.0, 500.0) == 1_300.0
    assert durations.estimate_bound('letter', 9_000.0, 3_000.0) == 3_900.0
    durations.end('x')
    assert durations.estimate_bound('letter', 9_000.0, 3_000.0) == 1_300.0
