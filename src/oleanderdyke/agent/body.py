"""Collect the body of a request from its chunks."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator

import anyio

from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.messages import BodyChunk


class RequestBody:
    """Hold the chunks of one body until the backend server reads them."""

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
        """Return the bytes that have come."""
        return self._received

    @property
    def ended(self) -> bool:
        """Return whether the last chunk has come."""
        return self._ended

    def put(self, chunk: BodyChunk) -> None:
        """Take the next chunk; raise OleanderError for a gap or an excess."""
        if self._ended or chunk.sequence != self._next_sequence:
            raise OleanderError(
                ErrorKind.PROTOCOL, 'body chunk out of order', ran=Ran.NO
            )
        self._received += len(chunk.data)
        if self._received > self._limit:
            raise OleanderError(
                ErrorKind.BODY_TOO_LARGE,
                f'body passes {self._limit} bytes',
            )
        self._next_sequence += 1
        self._ended = chunk.last
        if chunk.data:
            self._chunks.append(chunk.data)
        self._notify()

    def fail(self) -> None:
        """End a body whose rest won't come."""
        self._failed = not self._ended
        self._notify()

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the data as it comes; raise OleanderError after a failure."""
        while True:
            while self._chunks:
                yield self._chunks.popleft()
            if self._failed:
                raise OleanderError(
                    ErrorKind.STREAM_BROKEN, 'the body was cut off', ran=Ran.NO
                )
            if self._ended:
                return
            await self._changed.wait()

    async def wait_first_chunk(self) -> None:
        """Return once the first chunk has come, or won't."""
        while not (self._next_sequence or self._failed):
            await self._changed.wait()

    async def collect(self) -> bytes:
        """Return the whole body."""
        return b''.join([data async for data in self.stream()])

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
