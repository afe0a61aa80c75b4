"""Estimates of how fast each engine's cache is replaced."""

from __future__ import annotations

import math
from collections.abc import Mapping

from oleanderdyke.clock import Millis


class CachePressure:
    """Count the tokens added to each cache, with exponential decay."""

    def __init__(self, memory: Millis) -> None:
        self._memory = memory
        self._totals: dict[str, float] = {}
        self._updated_at: dict[str, Millis] = {}

    def record_added(self, agent: str, tokens: float, now: Millis) -> None:
        """Count tokens that an agent did not have in its cache before."""
        self._totals[agent] = self.count_recent(agent, now) + tokens
        self._updated_at[agent] = now

    def estimate_displaced(
        self, added: Mapping[str, float], now: Millis
    ) -> Mapping[str, float]:
        """Estimate the cost of what new tokens displace in each cache.

        A cache with more additions than the others loses more context that
        would have been used again.
        """
        recent = {agent: self.count_recent(agent, now) for agent in added}
        mean = sum(recent.values()) / max(1, len(recent)) + 1.0
        return {
            agent: tokens * recent[agent] / mean
            for agent, tokens in added.items()
        }

    def count_recent(self, agent: str, now: Millis) -> float:
        """Return the decayed number of tokens added to a cache."""
        known = self._totals.get(agent)
        if known is None:
            return 0.0
        return known * math.exp((self._updated_at[agent] - now) / self._memory)
