"""Queue the events of one request."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.errors import OleanderError
from oleanderdyke.kernel.attempt_events import Action, Event
from oleanderdyke.kernel.demand import Admitted, Refusal


@dataclass(frozen=True, slots=True)
class Released:
    """The admission has decided about a queued request."""

    decision: Admitted | Refusal


@dataclass(frozen=True, slots=True)
class UploadFailed:
    """The body ended in a fault of the caller."""

    fault: Exception


@dataclass(frozen=True, slots=True)
class DeliveryFailed:
    """A part of the answer can't be passed on."""

    fault: OleanderError


@dataclass(frozen=True, slots=True)
class PendingActions:
    """Hold actions that could not be done while bytes were read."""

    actions: tuple[Action, ...]


@dataclass(frozen=True, slots=True)
class CreditDue:
    """The agent may be granted more chunks."""


@dataclass(frozen=True, slots=True)
class HandedOver:
    """The stream goes on through another entry."""


Item: TypeAlias = (
    Event
    | Released
    | UploadFailed
    | DeliveryFailed
    | PendingActions
    | CreditDue
    | HandedOver
)


class Inbox:
    """Give the items of one request in order.

    While its reader waits, an item is offered to `shortcut` first, which
    tells whether it is dealt with.
    """

    def __init__(self) -> None:
        self._items: deque[Item] = deque()
        self._waiting: asyncio.Future[None] | None = None
        self.direct_handler: Callable[[Item], bool] | None = None

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: Item) -> None:
        """Add an item."""
        waiting = self._waiting
        if waiting is None or waiting.done():
            self._items.append(item)
            return
        if self.direct_handler is not None and self.direct_handler(item):
            return
        self._items.append(item)
        if not waiting.done():
            waiting.set_result(None)

    async def take(self) -> Item:
        """Wait for the next item."""
        while not self._items:
            self._waiting = asyncio.get_running_loop().create_future()
            try:
                await self._waiting
            finally:
                self._waiting = None
        return self._items.popleft()
