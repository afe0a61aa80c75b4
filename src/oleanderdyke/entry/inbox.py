"""Queue the events of one request together with its timers."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import TypeAlias

import anyio

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.kernel.attempt_events import Event
from oleanderdyke.kernel.demand import Admitted, Refusal


@dataclass(frozen=True, slots=True)
class Released:
    """Tell that the admission has decided about a queued request."""

    decision: Admitted | Refusal


@dataclass(frozen=True, slots=True)
class UploadFailed:
    """Tell that the body ended in a fault of the caller."""

    fault: Exception


@dataclass(frozen=True, slots=True)
class HandedOver:
    """Tell that the stream goes on through another entry."""


Item: TypeAlias = Event | Released | UploadFailed | HandedOver


class Inbox:
    """Give the items of one request in order, timers when they are due."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._items: deque[Item] = deque()
        self._timers: list[tuple[Millis, int, Item]] = []
        self._count = 0
        self._waiting: anyio.Event | None = None

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: Item) -> None:
        """Add an item."""
        self._items.append(item)
        if self._waiting is not None:
            self._waiting.set()

    def put_later(self, item: Item, delay: Millis) -> None:
        """Add an item after a delay."""
        self._count += 1
        due = self._clock.now() + delay
        heapq.heappush(self._timers, (due, self._count, item))

    async def take(self) -> Item:
        """Wait for the next item."""
        while True:
            if self._timers and self._timers[0][0] <= self._clock.now():
                return heapq.heappop(self._timers)[2]
            if self._items:
                return self._items.popleft()
            await self._wait()

    async def _wait(self) -> None:
        self._waiting = anyio.Event()
        delay: float | None = None
        if self._timers:
            due = self._timers[0][0] - self._clock.now()
            delay = max(due, 0.0) / SECOND
        with anyio.move_on_after(delay):
            await self._waiting.wait()
        self._waiting = None
