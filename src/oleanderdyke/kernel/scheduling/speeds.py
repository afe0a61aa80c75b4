"""How fast engines read and generate, and how fast stores send context."""

from __future__ import annotations

from typing import Protocol

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.backend import Backend


class SpeedView(Protocol):
    """Estimates by server and store, on the load that they show now."""

    def estimate_read(
        self, backend: Backend, tokens: float, now: Millis
    ) -> Millis:
        """Return how long an engine takes to prefill this many tokens."""

    def estimate_step(self, backend: Backend, now: Millis) -> Millis:
        """Return how long an engine takes per generated token."""

    def estimate_fetch(
        self, backend: Backend, tokens: float, now: Millis
    ) -> Millis:
        """Return how long an engine takes to fetch context from a store."""


class ServiceSpeeds:
    """Estimate by the prefill rate of the whole service alone."""

    _STEP: Millis = 5.0
    _FETCH_TOKENS_PER_MS = 390.0

    def estimate_read(
        self, backend: Backend, tokens: float, _now: Millis
    ) -> Millis:
        """Return how long an engine takes to prefill this many tokens."""
        return backend.reading.estimate_time(tokens)

    def estimate_step(self, _backend: Backend, _now: Millis) -> Millis:
        """Return how long an engine takes per generated token."""
        return self._STEP

    def estimate_fetch(
        self, _backend: Backend, tokens: float, _now: Millis
    ) -> Millis:
        """Return how long an engine takes to fetch context from a store."""
        return tokens / self._FETCH_TOKENS_PER_MS
