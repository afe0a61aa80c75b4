"""Queue the events of one request for its driver."""

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
    """The admission has decided on a queued request."""

    decision: Admitted | Refusal


@dataclass(frozen=True, slots=True)
class UploadFailed:
    """Reading or sending the request body failed."""

    fault: Exception


@dataclass(frozen=True, slots=True)
class DeliveryFailed:
    """A chunk of the answer could not be forwarded."""

    fault: OleanderError


@dataclass(frozen=True, slots=True)
class PendingActions:
    """Hold actions that could not be executed in the direct handler."""

    actions: tuple[Action, ...]


@dataclass(frozen=True, slots=True)
class CreditDue:
    """Credit for more chunks is due to the agent."""


@dataclass(frozen=True, slots=True)
class HandedOver:
    """The stream is to be resumed through another entry."""


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
    """Queue the items of one request in order.

    While the reader waits, each item is first offered to `direct_handler`,
    which returns whether it has handled the item.
    """

    def __init__(self) -> None:
        self._items: deque[Item] = deque()
        self._waiting: asyncio.Future[None] | None = None
        self.direct_handler: Callable[[Item], bool] | None = None
        # Bytes of parts that were queued and not yet delivered.
        self.unread = 0

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: Item) -> None:
        """Queue an item, unless `direct_handler` handles it."""
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
        """Remove and return the next item; wait for it if there is none."""
        while not self._items:
            self._waiting = asyncio.get_running_loop().create_future()
            try:
                await self._waiting
            finally:
                self._waiting = None
        return self._items.popleft()
