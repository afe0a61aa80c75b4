"""Links from an engine's agent to the agents of stores."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from itertools import count
from typing import TypeAlias

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from oleanderdyke.clock import Clock
from oleanderdyke.errors import OleanderError
from oleanderdyke.links.dialer import dial
from oleanderdyke.links.link import Link, LinkClosed, LinkSettings
from oleanderdyke.links.messages import Hello, Message
from oleanderdyke.links.messages.segments import (
    SegmentMissing,
    SegmentPart,
    SegmentWanted,
    SegmentWritten,
)

StoreAnswer: TypeAlias = (
    SegmentPart | SegmentMissing | SegmentWanted | SegmentWritten
)
Inbox: TypeAlias = MemoryObjectReceiveStream[StoreAnswer]

_INBOX_SIZE = 16


class StorePeer:
    """Exchange messages with one store's agent over one link."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._inboxes: dict[str, MemoryObjectSendStream[StoreAnswer]] = {}
        self._request_ids = count()

    @property
    def closed(self) -> bool:
        """Return whether the link is closed."""
        return self._link.closed

    def make_request_id(self) -> str:
        """Return a request ID unique on this link."""
        return f'{next(self._request_ids)}'

    async def send(self, message: Message) -> None:
        """Send a message; raise LinkClosed."""
        await self._link.send(message)

    @asynccontextmanager
    async def listen(self, request: str) -> AsyncIterator[Inbox]:
        """Yield the stream of answers to one request.

        It ends when the link closes.
        """
        sender, receiver = anyio.create_memory_object_stream[StoreAnswer](
            _INBOX_SIZE
        )
        self._inboxes[request] = sender
        try:
            yield receiver
        finally:
            self._inboxes.pop(request, None)
            sender.close()
            receiver.close()

    async def run(self) -> None:
        """Receive answers and deliver them to their requests until the end."""
        try:
            while True:
                await self._deliver(await self._link.receive())
        except LinkClosed:
            return
        finally:
            for sender in self._inboxes.values():
                sender.close()
            with anyio.CancelScope(shield=True):
                await self._link.close()

    async def _deliver(self, message: Message) -> None:
        if not isinstance(message, StoreAnswer):
            return
        sender = self._inboxes.get(message.request)
        if sender is None:
            return
        try:
            await sender.send(message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


class StorePeers:
    """Keep one link to the agent of each store in use."""

    def __init__(
        self,
        make_hello: Callable[[], Hello],
        *,
        settings: LinkSettings,
        clock: Clock,
        tasks: TaskGroup,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._make_hello = make_hello
        self._settings = settings
        self._clock = clock
        self._tasks = tasks
        self._tls = tls
        self._peers: dict[str, StorePeer] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def find(self, address: str) -> StorePeer:
        """Return the peer at an address, dialing it first if needed.

        Raises OleanderError.
        """
        lock = self._locks.setdefault(address, anyio.Lock())
        async with lock:
            peer = self._peers.get(address)
            if peer is None or peer.closed:
                peer = await self._dial(address)
            return peer

    async def _dial(self, address: str) -> StorePeer:
        link = await dial(
            address,
            self._make_hello(),
            settings=self._settings,
            clock=self._clock,
            tls=self._tls,
        )
        peer = StorePeer(link)
        self._peers[address] = peer
        self._tasks.start_soon(self._run, address, peer)
        return peer

    async def _run(self, address: str, peer: StorePeer) -> None:
        try:
            await peer.run()
        except OleanderError:
            return
        finally:
            if self._peers.get(address) is peer:
                del self._peers[address]
                self._locks.pop(address, None)
