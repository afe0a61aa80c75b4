"""Run loopback proxies that delay, hold back, cut and reset connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
from collections import Counter
from collections.abc import AsyncGenerator, Iterator
from dataclasses import dataclass, field
from random import Random

import anyio

_HOST = '127.0.0.1'
_PIECE = 65_536
_RESET = struct.pack('ii', 1, 0)


class Direction(enum.Enum):
    """The two ways of a link."""

    FORTH = enum.auto()
    BACK = enum.auto()


@dataclass
class Link:
    """A proxy to one port, which may have no listener for a while.

    A link takes connections and bytes whatever happens to it, as a network
    buffers them, and delivers what it holds once it goes on. It may hold back
    a share of its connections alone, or close them on the side of the caller
    before it delivers.
    """

    target: int
    host: str = _HOST
    delays: list[float] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)
    random: Random = field(default_factory=lambda: Random(1))
    # Takes a request before it resets a caller without a listener.
    is_reading_first: bool = False
    _early: int = 0
    _holds: Counter[Direction] = field(default_factory=Counter)
    _changed: anyio.Event = field(default_factory=anyio.Event)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @contextlib.contextmanager
    def holding(self, *directions: Direction) -> Iterator[None]:
        """Hold back all bytes; spells may overlap."""
        self._holds.update(directions)
        try:
            yield
        finally:
            self._holds.subtract(directions)
            self._wake()

    @contextlib.contextmanager
    def holding_some(self, share: float) -> Iterator[None]:
        """Let connections fall silent with a share of the requests."""
        self.shares.append(share)
        try:
            yield
        finally:
            self.shares.remove(share)
            self._wake()

    @contextlib.contextmanager
    def closing_early(self) -> Iterator[None]:
        """Reset callers as they send, and deliver after the spell."""
        self._early += 1
        try:
            yield
        finally:
            self._early -= 1
            self._wake()

    @contextlib.contextmanager
    def delaying(self, seconds: float) -> Iterator[None]:
        """Delay each piece; the longest delay applies."""
        self.delays.append(seconds)
        try:
            yield
        finally:
            self.delays.remove(seconds)

    def _wake(self) -> None:
        """Let connections that wait look again."""
        self._changed.set()
        self._changed = anyio.Event()

    def reset(self) -> None:
        """Reset every connection at both ends."""
        for writer in tuple(self._writers):
            _reset(writer)

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until both of its ways have ended."""
        try:
            far = await asyncio.open_connection(self.host, self.target)
        except OSError:
            if self.is_reading_first:
                await reader.read(_PIECE)
            _reset(writer)
            return
        writers = {writer, far[1]}
        self._writers |= writers
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._carry_forth, reader, writer, far[1])
                tasks.start_soon(self._pump, Direction.BACK, far[0], writer)
        finally:
            self._writers -= writers
            for each in writers:
                each.close()

    async def _carry_forth(
        self,
        reader: asyncio.StreamReader,
        caller: asyncio.StreamWriter,
        far: asyncio.StreamWriter,
    ) -> None:
        """Relay what a caller sends."""
        is_held = False
        try:
            while data := await reader.read(_PIECE):
                await anyio.sleep(max(self.delays, default=0.0))
                await self._wait(Direction.FORTH)
                is_held = is_held or self._is_drawn()
                await self._wait_some(is_held=is_held)
                if self._early:
                    _reset(caller)
                    await self._wait_early()
                far.write(data)
                await far.drain()
            await self._wait(Direction.FORTH)
            await self._wait_some(is_held=is_held)
            far.write_eof()
        except OSError:
            await self._wait(Direction.FORTH)
            await self._wait_some(is_held=is_held)
            _reset(far)

    def _is_drawn(self) -> bool:
        """Return whether a connection falls silent with its next request."""
        return self.random.random() < max(self.shares, default=0.0)

    async def _wait_some(self, *, is_held: bool) -> None:
        while is_held and self.shares:
            await self._changed.wait()

    async def _wait_early(self) -> None:
        while self._early:
            await self._changed.wait()

    async def _pump(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(_PIECE):
                await anyio.sleep(max(self.delays, default=0.0))
                await self._wait(direction)
                writer.write(data)
                await writer.drain()
            await self._wait(direction)
            writer.write_eof()
        except OSError:
            await self._wait(direction)
            _reset(writer)

    async def _wait(self, direction: Direction) -> None:
        while self._holds[direction]:
            await self._changed.wait()


@contextlib.asynccontextmanager
async def linking(
    target: int, host: str = _HOST
) -> AsyncGenerator[tuple[Link, str], None]:
    """Run a link to a port on loopback; yield it and its address."""
    link = Link(target, host)
    listener = await asyncio.start_server(link.carry, _HOST, 0, backlog=512)
    port = listener.sockets[0].getsockname()[1]
    try:
        yield link, f'{_HOST}:{port}'
    finally:
        listener.close()
        link.reset()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()
