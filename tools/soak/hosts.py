"""One backend server process of a soak: its address and its connections."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeAlias

import anyio

from tests.standins.replica import Peer, Replica

_HOST = '127.0.0.1'
_BIND_SECONDS = 5.0
_POLL_SECONDS = 0.05
_RESET = struct.pack('ii', 1, 0)

Serve: TypeAlias = Callable[['Host', Peer], Awaitable[None]]


@dataclass
class Host:
    """A server under an id, with the version of its software.

    `silent_until` is when it goes on after a pause, `stopped_at` when it was
    stopped last.
    """

    server: str
    version: str
    serve: Serve
    port: int = 0
    seq: int = 0
    is_leaving: bool = False
    is_down: bool = True
    silent_until: float = 0.0
    stopped_at: float = 0.0
    stops: list[float] = field(default_factory=list)
    _listener: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def is_serving(self) -> bool:
        """Return whether it takes requests and stays."""
        return not (self.is_down or self.is_leaving)

    @property
    def address(self) -> str:
        """Return where it listens; its port stays the same."""
        return f'{_HOST}:{self.port}'

    async def start(self) -> None:
        """Listen, at the address of before if there is one."""
        with anyio.fail_after(_BIND_SECONDS):
            while self._listener is None:
                await self._listen()
        self.port = self._listener.sockets[0].getsockname()[1]
        self.is_down = False

    def stop(self, now: float) -> None:
        """Close the address and reset every connection."""
        self.is_down = True
        self.stopped_at = now
        self.stops.append(now)
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in tuple(self._writers):
            _reset(writer)

    async def _listen(self) -> None:
        try:
            self._listener = await asyncio.start_server(
                self._accept, _HOST, self.port
            )
        except OSError:
            await anyio.sleep(_POLL_SECONDS)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        script = functools.partial(self.serve, self)
        # The end of the loop cancels what still runs, which asyncio would log.
        with contextlib.suppress(asyncio.CancelledError):
            await Replica(script).serve(reader, writer)
        self._writers.discard(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()
