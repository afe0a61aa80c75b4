"""Carry HTTP over a plain connection with little work for each read."""

from __future__ import annotations

import asyncio
from typing import Any

import anyio
import httpcore


class PlainStream(httpcore.AsyncNetworkStream):
    """Read without switching the socket on and off for each piece.

    A reader holds up to 128 KiB that nobody has taken, then stops the socket.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return what has arrived, or nothing at the end."""
        try:
            if timeout is None:
                return await self._reader.read(max_bytes)
            with anyio.fail_after(timeout):
                return await self._reader.read(max_bytes)
        except TimeoutError as error:
            raise httpcore.ReadTimeout from error
        except OSError as error:
            raise httpcore.ReadError from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all, and wait while the peer takes little."""
        if not buffer:
            return
        try:
            with anyio.fail_after(timeout):
                self._writer.write(buffer)
                await self._writer.drain()
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error
        except OSError as error:
            raise httpcore.WriteError from error

    async def aclose(self) -> None:
        """Close at once; what was not sent by now is dropped."""
        self._writer.close()
        if self._writer.transport.get_write_buffer_size():
            self._writer.transport.abort()

    def get_extra_info(self, info: str) -> Any:
        """Tell nothing; a connection serves one exchange."""
        return None


async def connect_plain(host: str, port: int, timeout: float) -> PlainStream:
    """Connect; raise httpcore's errors."""
    try:
        with anyio.fail_after(timeout):
            return PlainStream(*await asyncio.open_connection(host, port))
    except TimeoutError as error:
        raise httpcore.ConnectTimeout from error
    except OSError as error:
        raise httpcore.ConnectError from error
