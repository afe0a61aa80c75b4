"""Outgoing messages of one link."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import anyio

from oleanderdyke.links.link import Link, LinkClosed
from oleanderdyke.links.messages import Hello, Message


class Outbox:
    """Send messages over one link, in order.

    `put` never waits and its queue has no limit: messages queued with it are
    small or bounded by credit. `send` waits while the peer is slow.
    """

    def __init__(self, name: str, link: Link) -> None:
        self.name = name
        self.peer: Hello = link.peer
        self._link = link
        self._queue: deque[Message] = deque()
        self._queued = anyio.Event()
        self._flushing = False

    def put(self, message: Message) -> None:
        """Queue a message; discard it if the link is closed."""
        if self._link.closed:
            return
        self._queue.append(message)
        self._queued.set()

    async def push(self, messages: Iterable[Message]) -> None:
        """Queue messages and send them from the calling task.

        This avoids the switch to the task of `run`.
        """
        if self._link.closed:
            return
        self._queue.extend(messages)
        if not self._flushing:
            self._write_available()
        if self._queue:
            await self.flush()

    async def send(self, message: Message) -> None:
        """Send a message ahead of the queue; raise LinkClosed."""
        await self._link.send(message)

    async def run(self) -> None:
        """Send queued messages until cancelled."""
        while True:
            await self._queued.wait()
            self._queued = anyio.Event()
            await self.flush()

    async def flush(self) -> None:
        """Send all queued messages, unless another task is doing so."""
        if self._flushing:
            return
        self._flushing = True
        try:
            # A message removed from the queue must be sent completely.
            with anyio.CancelScope(shield=True):
                while self._queue:
                    await self._link.send(self._queue.popleft())
        except LinkClosed:
            self._queue.clear()
        finally:
            self._flushing = False

    def _write_available(self) -> None:
        """Send as many messages as the link accepts without waiting."""
        while self._queue:
            message = self._queue.popleft()
            if not self._link.write(message):
                self._queue.appendleft(message)
                return
