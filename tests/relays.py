"""Relay TCP between two ends, with stalls on request."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketStream

LOOPBACK = '127.0.0.1'


class Relay:
    """Forward bytes; stall connections without closing; count connections."""

    def __init__(self, target: str) -> None:
        self.target = target
        self._silent: set[int] = set()
        self.accepted = 0
        self.piece = 64 * 1024
        self.pause = 0.0

    def silence(self) -> None:
        """Stop forwarding on every connection that is open now."""
        self._silent.update(range(self.accepted + 1))

    def silence_next(self) -> None:
        """Stop forwarding on the next accepted connection."""
        self._silent.add(self.accepted + 1)

    async def carry(self, near: SocketStream) -> None:
        """Relay one connection until both of its ends are closed."""
        self.accepted += 1
        number = self.accepted
        host, _, port = self.target.rpartition(':')
        async with near:
            try:
                far = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            async with far, anyio.create_task_group() as group:
                group.start_soon(self._forward, near, far, number)
                group.start_soon(self._forward, far, near, number)

    async def _forward(
        self, source: SocketStream, sink: SocketStream, number: int
    ) -> None:
        broken = (anyio.BrokenResourceError, anyio.ClosedResourceError)
        with contextlib.suppress(anyio.EndOfStream, *broken):
            while True:
                data = await source.receive(self.piece)
                await anyio.sleep(self.pause)
                if number not in self._silent:
                    await sink.send(data)
        if number not in self._silent:
            with contextlib.suppress(*broken, OSError):
                await sink.send_eof()


@asynccontextmanager
async def relaying(target: str) -> AsyncIterator[tuple[Relay, str]]:
    """Run a relay to `target`; yield it and its address."""
    relay = Relay(target)
    listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, relay.carry)
        yield relay, f'{LOOPBACK}:{port}'
        group.cancel_scope.cancel()
    await listener.aclose()
