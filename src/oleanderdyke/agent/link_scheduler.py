"""Scheduling of a store's link between readers and writers."""

from __future__ import annotations

from collections import deque

import anyio

from oleanderdyke.clock import SECOND, Clock, Millis


class LinkScheduler:
    """Grant turns on a link at its rate in bytes per second, reads first.

    Each reader waits for at most one turn, so that turns in order of arrival
    share the link equally. A rate of zero means no limit.
    """

    def __init__(self, clock: Clock, rate: float = 0.0) -> None:
        self.rate = rate
        self._clock = clock
        self._free_at: Millis = 0.0
        self._reads: deque[anyio.Event] = deque()
        self._writes: deque[anyio.Event] = deque()
        self._busy = False

    async def wait_read(self, size: int) -> None:
        """Wait for the turn to send a number of bytes to a reader."""
        await self._wait(self._reads, size)

    async def wait_write(self, size: int) -> None:
        """Wait for the turn to receive a number of bytes, after all reads."""
        await self._wait(self._writes, size)

    async def _wait(self, queue: deque[anyio.Event], size: int) -> None:
        await self._wait_turn(queue)
        try:
            await self._wait_rate(size)
        finally:
            self._busy = False
            self._wake_next()

    async def _wait_turn(self, queue: deque[anyio.Event]) -> None:
        if not self._busy and not self._reads and not self._writes:
            self._busy = True
            return
        turn = anyio.Event()
        queue.append(turn)
        try:
            await turn.wait()
        except BaseException:
            self._give_up_turn(queue, turn)
            raise

    async def _wait_rate(self, size: int) -> None:
        now = self._clock.now()
        start = max(now, self._free_at)
        if self.rate > 0:
            self._free_at = start + size * SECOND / self.rate
        if start > now:
            await anyio.sleep((start - now) / SECOND)

    def _wake_next(self) -> None:
        queue = self._reads or self._writes
        if not queue:
            return
        self._busy = True
        queue.popleft().set()

    def _give_up_turn(
        self, queue: deque[anyio.Event], turn: anyio.Event
    ) -> None:
        if turn in queue:
            queue.remove(turn)
            return
        self._busy = False
        self._wake_next()
