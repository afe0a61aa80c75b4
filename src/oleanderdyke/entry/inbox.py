"""Queue the events of one request."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TypeAlias

import anyio

from oleanderdyke.clock import SECOND, Millis
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
    """Give the items of one request in order."""

    def __init__(self) -> None:
        self._items: deque[Item] = deque()
        self._waiting: anyio.Event | None = None

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: Item) -> None:
        """Add an item."""
        self._items.append(item)
        if self._waiting is not None:
            self._waiting.set()

    async def put_later(self, item: Item, delay: Millis) -> None:
        """Add an item after a delay."""
        await anyio.sleep(max(delay, 0.0) / SECOND)
        self.put(item)

    async def take(self) -> Item:
        """Wait for the next item."""
        while not self._items:
            self._waiting = anyio.Event()
            await self._waiting.wait()
        self._waiting = None
        return self._items.popleft()
