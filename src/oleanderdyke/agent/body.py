"""Buffer for the body of a request that arrives in chunks."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator

import anyio

from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.messages import BodyChunk


class RequestBody:
    """Buffer the chunks of one body until the backend server reads them."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._chunks: deque[bytes] = deque()
        self._received = 0
        self._next_sequence = 0
        self._ended = False
        self._failed = False
        self._changed = anyio.Event()

    @property
    def received(self) -> int:
        """Return the number of bytes received so far."""
        return self._received

    @property
    def ended(self) -> bool:
        """Return whether the last chunk has been received."""
        return self._ended

    def put(self, chunk: BodyChunk) -> None:
        """Append the next chunk.

        Raises OleanderError if it is out of order or the body gets too long.
        """
        if self._ended or chunk.sequence != self._next_sequence:
            raise OleanderError(
                ErrorKind.PROTOCOL,
                f'body chunk {chunk.sequence} out of order, '
                f'expected {self._next_sequence}',
                ran=Ran.NO,
            )
        self._received += len(chunk.data)
        if self._received > self._limit:
            raise OleanderError(
                ErrorKind.BODY_TOO_LARGE,
                f'body exceeds {self._limit} bytes',
            )
        self._next_sequence += 1
        self._ended = chunk.last
        if chunk.data:
            self._chunks.append(chunk.data)
        self._notify()

    def fail(self) -> None:
        """Mark the body as cut off, unless it is already complete."""
        self._failed = not self._ended
        self._notify()

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield data as it arrives; raise OleanderError if it is cut off."""
        while True:
            while self._chunks:
                yield self._chunks.popleft()
            if self._failed:
                raise OleanderError(
                    ErrorKind.STREAM_BROKEN,
                    f'request body cut off after {self._received} bytes',
                    ran=Ran.NO,
                )
            if self._ended:
                return
            await self._changed.wait()

    async def wait_first_chunk(self) -> None:
        """Wait until the first chunk has arrived or the body has failed."""
        while not (self._next_sequence or self._failed):
            await self._changed.wait()

    async def collect(self) -> bytes:
        """Wait for the complete body and return it; raise OleanderError."""
        return b''.join([data async for data in self.stream()])

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
