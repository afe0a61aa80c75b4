"""Bound the bytes of requests that a process holds.

The load: hundreds of callers send large bodies at once and stop just short of
the end, while others send whole requests and wait for answers.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass

from oleanderdyke.clock import Millis

# Share of the process's memory above which large unfinished requests end. The
# rest is for the program, the answers and the buffers of the operating system.
_MEMORY_SHARE = 0.2
# Share of the bound above which small and whole requests end too.
_HARD_SHARE = 1.5
# For processes whose memory isn't known.
_DEFAULT_BOUND_BYTES = 64 * 1024 * 1024
# A request that holds less counts as small.
_SMALL_BYTES = 64 * 1024
# A request has moved on once this much more of it has arrived, so that a single
# byte now and then is no progress.
_STEP_BYTES = 16 * 1024


@dataclass(slots=True)
class _Arrival:
    """Hold when a request moved on last, and what had been received then."""

    received: int
    moved_at: Millis


class RequestBytes:
    """Decide which requests to refuse when all hold too much."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.total = 0
        self._held: dict[Hashable, int] = {}
        # Requests that are still arriving, the last that moved on at the end.
        self._large: dict[Hashable, _Arrival] = {}
        self._small: dict[Hashable, _Arrival] = {}

    @property
    def hard_bound(self) -> int:
        """Return the bound above which whole requests are refused too."""
        return int(self.bound * _HARD_SHARE)

    def hold(
        self, request: Hashable, held: int, received: int, now: Millis
    ) -> None:
        """Record what a request holds of the bytes received so far."""
        self._change(request, held)
        known = self._find_arrival(request)
        if known is not None and received - known.received < _STEP_BYTES:
            return
        self._remove(request)
        queue = self._large if held >= _SMALL_BYTES else self._small
        queue[request] = _Arrival(received, now)

    def finish(self, request: Hashable, held: int) -> None:
        """Record that a request has arrived whole and holds this much."""
        self._change(request, held)
        self._remove(request)

    def forget(self, request: Hashable) -> None:
        """Release what a request held."""
        self.total -= self._held.pop(request, 0)
        self._remove(request)

    def find_excess(self) -> Hashable | None:
        """Return the request to refuse now, None if all are within bounds.

        It is the one that has made no progress for the longest time. Small
        ones come after all large ones, and only above the hard bound.
        """
        if self.total <= self.bound or len(self._held) < 2:
            return None
        if self._large:
            return next(iter(self._large))
        if self.is_full:
            return next(iter(self._small), None)
        return None

    @property
    def is_full(self) -> bool:
        """Return whether not even whole requests can be taken."""
        return self.total > self.hard_bound

    def find_idle_time(self, request: Hashable, now: Millis) -> Millis:
        """Return for how long an arriving request has made no progress."""
        known = self._find_arrival(request)
        return 0.0 if known is None else now - known.moved_at

    def _find_arrival(self, request: Hashable) -> _Arrival | None:
        return self._large.get(request) or self._small.get(request)

    def _remove(self, request: Hashable) -> None:
        self._large.pop(request, None)
        self._small.pop(request, None)

    def _change(self, request: Hashable, held: int) -> None:
        self.total += held - self._held.get(request, 0)
        self._held[request] = held


def find_bound(memory: float) -> int:
    """Return the bound in bytes for a process with `memory` bytes.

    `memory` is infinite if it isn't known.
    """
    if math.isinf(memory) or memory <= 0:
        return _DEFAULT_BOUND_BYTES
    return int(memory * _MEMORY_SHARE)
