"""Run callbacks in simulated time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from oleanderdyke.clock import Millis


class Events:
    """Scheduled callbacks, ordered by time and then by insertion."""

    def __init__(self) -> None:
        self.now: Millis = 0.0
        self._heap: list[
            tuple[Millis, int, Callable[..., None], tuple[Any, ...]]
        ] = []
        self._sequence = 0

    def add(
        self, wait: Millis, callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule a callback after a delay."""
        self._sequence += 1
        entry = (self.now + wait, self._sequence, callback, arguments)
        heapq.heappush(self._heap, entry)

    def run(self, until: Millis) -> None:
        """Run all callbacks due by `until` and advance the time to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._heap)
            callback(*arguments)
        self.now = until
