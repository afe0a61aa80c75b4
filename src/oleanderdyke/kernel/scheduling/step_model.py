"""The time per generated token of a service, by the number of runs.

The load it answers: engines whose steps take longer the more requests run.
"""

from __future__ import annotations

from collections import deque

from oleanderdyke.clock import Millis

# Until pauses between events show the time of a step.
_NEUTRAL_STEP: Millis = 5.0
_SAMPLE_COUNT = 256
_MIN_SAMPLES = 8
_FIT_PERIOD = 16
# Low, as longer steps include prefill.
_QUANTILE = 0.25
# Differences of fewer runs show no slope beside the jitter of single steps.
_MIN_RUNS_APART = 2.0
# At least this share of a step doesn't depend on the number of runs.
_MIN_BASE_SHARE = 0.2
_MIN_STEP: Millis = 0.1
_MAX_STEP: Millis = 1_000.0


class StepModel:
    """Fit a step's time as a base and a slope per run."""

    def __init__(self) -> None:
        self._samples: deque[tuple[int, Millis]] = deque(maxlen=_SAMPLE_COUNT)
        self._unfitted = 0
        self._base = _NEUTRAL_STEP
        self._slope = 0.0

    @property
    def is_fitted(self) -> bool:
        """Return whether samples have replaced the neutral step."""
        return len(self._samples) >= _MIN_SAMPLES

    def add_sample(self, runs: int, step: Millis) -> None:
        """Add the time of a step at an engine with so many runs."""
        self._samples.append((runs, min(max(step, _MIN_STEP), _MAX_STEP)))
        self._unfitted += 1
        is_early = len(self._samples) < _FIT_PERIOD
        if self.is_fitted and (is_early or self._unfitted >= _FIT_PERIOD):
            self._fit()

    def estimate_step(self, runs: int) -> Millis:
        """Return the usual time of a step."""
        return min(self._base + self._slope * max(runs, 0), _MAX_STEP)

    def _fit(self) -> None:
        self._unfitted = 0
        ordered = sorted(self._samples)
        middle = len(ordered) // 2
        few_runs, low = _summarize(ordered[:middle])
        many_runs, high = _summarize(ordered[middle:])
        self._slope = 0.0
        if many_runs - few_runs >= _MIN_RUNS_APART:
            self._slope = max((high - low) / (many_runs - few_runs), 0.0)
        self._base = max(low - self._slope * few_runs, low * _MIN_BASE_SHARE)


def _summarize(samples: list[tuple[int, Millis]]) -> tuple[float, Millis]:
    """Return the mean number of runs and a low quantile of the step."""
    steps = sorted(step for _, step in samples)
    runs = sum(runs for runs, _ in samples) / len(samples)
    return runs, steps[int(_QUANTILE * (len(steps) - 1))]
