"""Samples that lose their weight with age.

The load it answers: servers that turn slow and recover. What is known of them
must fade, as a server that is avoided gives no new samples.
"""

from __future__ import annotations

from collections import deque

from oleanderdyke.clock import Millis


class AgedSamples:
    """Hold the latest samples, up to a number and an age."""

    def __init__(self, count: int, lifetime: Millis) -> None:
        self._samples: deque[tuple[Millis, float]] = deque(maxlen=count)
        self._lifetime = lifetime
        self._sorted: list[float] | None = None

    def __len__(self) -> int:
        """Return the number of samples, outdated ones included."""
        return len(self._samples)

    def add(self, sample: float, now: Millis) -> None:
        """Add a sample taken now."""
        self._samples.append((now, sample))
        self._sorted = None

    def find_weight(self, now: Millis) -> float:
        """Return the number of samples, each reduced by its age."""
        ages = (now - at for at, _ in self._samples)
        return sum(min(max(1 - age / self._lifetime, 0.0), 1.0) for age in ages)

    def find_quantile(self, share: float, now: Millis) -> float | None:
        """Return a quantile of the samples, None without any."""
        while self._samples and now - self._samples[0][0] >= self._lifetime:
            self._samples.popleft()
            self._sorted = None
        if not self._samples:
            return None
        if self._sorted is None:
            self._sorted = sorted(sample for _, sample in self._samples)
        return self._sorted[int(share * (len(self._sorted) - 1))]
