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
