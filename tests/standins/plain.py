"""Simulate a plain service without support for idempotency keys."""

from __future__ import annotations

import collections
import hashlib
import os
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass

from tests.standins import server, web

EXIT_CODE = 23
_CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class PlainSettings:
    """Set the service name that receipts contain."""

    name: str = 'plain'


@dataclass(frozen=True, slots=True)
class PlainFaults(web.Faults):
    """Add the faults of a plain service, before or after the effect.

    `big` is the size in bytes of the response to each GET.
    """

    crash_before: bool = False
    crash_after: bool = False
    lose_answers: bool = False
    hang: bool = False
    big: int = 0


def _exit() -> None:
    os._exit(EXIT_CODE)


class PlainService(web.StandIn[PlainFaults]):
    """Return a receipt for each POST and count the executions of each body."""

    def __init__(
        self, settings: PlainSettings, die: Callable[[], None] = _exit
    ) -> None:
        super().__init__(PlainFaults())
        self._name = settings.name
        self._die = die
        self.runs: collections.Counter[str] = collections.Counter()
        self.requests: collections.Counter[str] = collections.Counter()

    async def answer(self, request: web.Request) -> web.Answer:
        """Handle any method on any path."""
        if request.path == '/stats':
            return web.answer_json(
                {'runs': self.runs, 'requests': self.requests}
            )
        if request.path.endswith('/echo'):
            return web.Answer(200, request.chunks(), 'application/octet-stream')
        if request.method in {'GET', 'HEAD'}:
            return self._show(request)
        return await self._run(request)

    def _show(self, request: web.Request) -> web.Answer:
        if self.faults.big:
            body = _stream_bytes(self.faults.big)
            return web.Answer(200, body, 'application/octet-stream')
        return web.answer_json(
            {
                'service': self._name,
                'path': request.path,
                'status': 'received',
                'receipts': self.runs.total(),
            }
        )

    async def _run(self, request: web.Request) -> web.Answer:
        body = await request.body()
        if self.faults.crash_before:
            self._die()
        digest = hashlib.blake2b(body, digest_size=16).hexdigest()
        self.runs[digest] += 1
        self.requests[web.find_request_id(request)] += 1
        receipt = f'{self._name}-{self.runs.total()}'
        if self.faults.crash_after:
            self._die()
        if self.faults.lose_answers:
            raise web.Dropped
        if self.faults.hang:
            await request.wait_closed()
            raise web.Dropped
        return web.answer_json({'receipt': receipt, 'digest': digest}, 201)


async def _stream_bytes(length: int) -> AsyncGenerator[bytes, None]:
    while length > 0:
        size = min(length, _CHUNK_BYTES)
        yield bytes(size)
        length -= size


def make_app(
    settings: PlainSettings | None = None, die: Callable[[], None] = _exit
) -> PlainService:
    """Build a plain service that calls `die` to end its process."""
    return PlainService(settings or PlainSettings(), die)


if __name__ == '__main__':
    server.run_main('plain', PlainSettings, make_app)
