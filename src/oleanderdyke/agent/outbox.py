"""Send the messages of one link in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import anyio

from oleanderdyke.links.link import Link, LinkClosed
from oleanderdyke.links.messages import Hello, Message


class Outbox:
    """Queue messages for one link.

    `put` never waits: what is put is bounded by credit or is small. `send`
    waits behind a slow peer.
    """

    def __init__(self, name: str, link: Link) -> None:
        self.name = name
        self.peer: Hello = link.peer
        self._link = link
        self._queue: deque[Message] = deque()
        self._queued = anyio.Event()
        self._flushing = False

    def put(self, message: Message) -> None:
        """Queue a message; it is lost where the link is."""
        if self._link.closed:
            return
        self._queue.append(message)
        self._queued.set()

    async def push(self, messages: Iterable[Message]) -> None:
        """Queue messages and send them here, which spares a task switch."""
        if self._link.closed:
            return
        self._queue.extend(messages)
        if not self._flushing:
            self._write_available()
        if self._queue:
            await self.flush()

    async def send(self, message: Message) -> None:
        """Send now; raise LinkClosed."""
        await self._link.send(message)

    async def run(self) -> None:
        """Send what is put until cancelled."""
        while True:
            await self._queued.wait()
            self._queued = anyio.Event()
            await self.flush()

    async def flush(self) -> None:
        """Send what is queued, unless another task is at it already."""
        if self._flushing:
            return
        self._flushing = True
        try:
            # A message that was taken from the queue must go out whole.
            with anyio.CancelScope(shield=True):
                while self._queue:
                    await self._link.send(self._queue.popleft())
        except LinkClosed:
            self._queue.clear()
        finally:
            self._flushing = False

    def _write_available(self) -> None:
        """Send what the link takes without a wait."""
        while self._queue:
            message = self._queue.popleft()
            if not self._link.write(message):
                self._queue.appendleft(message)
                return
