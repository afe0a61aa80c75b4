"""What answers take, learned from those that ended.

The load it answers: answers much longer or shorter than their callers
announce, so that engines fill up or stay idle by wrong estimates.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass

from oleanderdyke.clock import Millis

_SAMPLE_COUNT = 64
# Fewer samples say less than what callers announce.
_MIN_SAMPLES = 8
_SAMPLE_WEIGHT = 1 / _SAMPLE_COUNT
_ANY_LENGTH = -1


@dataclass(frozen=True, slots=True)
class EndedAnswer:
    """Describe an answer that ended.

    `announced` is the length that its caller announced, in output tokens,
    `tokens` the number that came, `duration` the time from the first to the
    last of them, `memory` the engine memory of the run in tokens.
    """

    route: str
    announced: int
    tokens: int
    duration: Millis
    memory: int


class AnswerLengths:
    """Estimate lengths, durations and memory by route."""

    def __init__(self) -> None:
        self._durations: defaultdict[tuple[str, int], deque[Millis]] = (
            defaultdict(lambda: deque(maxlen=_SAMPLE_COUNT))
        )
        self._memory: dict[str, float] = {}
        self._announced: dict[str, float] = {}
        self._real: dict[str, float] = {}

    def record(self, answer: EndedAnswer) -> None:
        """Record an answer that ended completely."""
        route = answer.route
        for bucket in (_find_bucket(answer.announced), _ANY_LENGTH):
            self._durations[route, bucket].append(answer.duration)
        _update_mean(self._memory, route, answer.memory)
        if answer.announced:
            _update_mean(self._announced, route, answer.announced)
            _update_mean(self._real, route, answer.tokens)

    def find_duration(
        self, route: str, quantile: float, announced: int | None = None
    ) -> Millis | None:
        """Return a quantile of the time that answers take, None if unknown.

        Answers of about the announced length count, if there are enough.
        """
        buckets = [_ANY_LENGTH]
        if announced is not None:
            buckets.insert(0, _find_bucket(announced))
        for bucket in buckets:
            durations = self._durations.get((route, bucket), ())
            if len(durations) >= _MIN_SAMPLES:
                return _find_quantile(durations, quantile)
        return None

    def find_memory(self, route: str) -> float | None:
        """Return the mean engine memory of a run in tokens, None if unknown."""
        return self._memory.get(route)

    def find_ratio(self, route: str) -> float | None:
        """Return real lengths relative to announced ones, None if unknown."""
        known = self._durations.get((route, _ANY_LENGTH), ())
        announced = self._announced.get(route)
        if not announced or len(known) < _MIN_SAMPLES:
            return None
        return self._real[route] / announced


def _find_bucket(announced: int) -> int:
    """Return the bits of a length: a bucket ends at each power of two."""
    return max(announced, 0).bit_length()


def _find_quantile(
    durations: deque[Millis] | tuple[Millis, ...], quantile: float
) -> Millis:
    ordered = sorted(durations)
    return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]


def _update_mean(means: dict[str, float], route: str, value: float) -> None:
    known = means.get(route, value)
    means[route] = known + _SAMPLE_WEIGHT * (value - known)
