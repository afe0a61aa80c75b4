"""Send the messages of one link in order."""

from __future__ import annotations

from collections import deque

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
        self._more = anyio.Event()

    def put(self, message: Message) -> None:
        """Queue a message; it is lost where the link is."""
        if self._link.closed:
            return
        self._queue.append(message)
        self._more.set()

    async def send(self, message: Message) -> None:
        """Send now; raise LinkClosed."""
        await self._link.send(message)

    async def run(self) -> None:
        """Send until the link closes."""
        try:
            while True:
                await self._more.wait()
                self._more = anyio.Event()
                await self._flush()
        except LinkClosed:
            self._queue.clear()

    async def flush(self) -> None:
        """Send what is queued; raise LinkClosed."""
        await self._flush()

    async def _flush(self) -> None:
        while self._queue:
            await self._link.send(self._queue.popleft())
