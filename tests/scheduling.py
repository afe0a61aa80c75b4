"""Views of work and of speeds for tests of decisions under load."""

from __future__ import annotations

import math
from collections.abc import Sequence

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.scheduling.work import NO_WORK, Demand, ServerWork
from oleanderdyke.kernel.servers import ServerStart


class NoWorkView:
    """Know of no work in flight, as before any entry has reported."""

    def find_work(self, _start: ServerStart, _now: Millis) -> ServerWork:
        """Return no work."""
        return NO_WORK

    def list_demand(self, _service: str, _now: Millis) -> Sequence[Demand]:
        """Return no demand."""
        return ()

    def find_age(self, _now: Millis) -> Millis:
        """Return an infinite age."""
        return math.inf


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
