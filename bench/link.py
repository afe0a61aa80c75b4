"""Simulate a link that divides its rate equally among transfers."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from bench.events import Events
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.link_meter import LinkMeter


@dataclass(slots=True)
class Transfer:
    """A transfer of `count` bytes.

    It is complete when the service per transfer, in bytes since the start of
    the link, reaches `finish_service`.
    """

    count: float
    finish_service: float
    done: Callable[[], None]
    open: bool = True


class Link:
    """A link whose active transfers get equal shares of the rate.

    `rate` is in bytes per second, `carried` in bytes.
    """

    def __init__(self, events: Events, rate: float) -> None:
        self._events = events
        self._rate = rate
        self._service = 0.0
        self._updated_at: Millis = 0.0
        self._heap: list[tuple[float, int, Transfer]] = []
        self._active = 0
        self._sequence = 0
        self._epoch = 0
        self.carried = 0.0
        self.meter = LinkMeter(rate)

    @property
    def active_share(self) -> float:
        """Return the rate per active transfer, in bytes per second."""
        return self._rate / max(1, self._active)

    @property
    def rate(self) -> float:
        """Return the rate of the link, in bytes per second."""
        return self._rate

    def set_rate(self, rate: float) -> None:
        """Change the rate with immediate effect."""
        self._advance()
        self._rate = rate
        self._schedule_next()

    def count_left(self, transfer: Transfer) -> float:
        """Return the remaining bytes of a transfer."""
        self._advance()
        return max(0.0, transfer.finish_service - self._service)

    def count_waiting(self) -> float:
        """Return the remaining bytes of all active transfers."""
        self._advance()
        return sum(
            max(0.0, finish_service - self._service)
            for finish_service, _, transfer in self._heap
            if transfer.open
        )

    def start(self, count: float, done: Callable[[], None]) -> Transfer:
        """Start a transfer of `count` bytes; call `done` on completion."""
        self._advance()
        transfer = Transfer(count, self._service + count, done)
        self._sequence += 1
        heapq.heappush(
            self._heap, (transfer.finish_service, self._sequence, transfer)
        )
        self._active += 1
        self.meter.record_requested(int(count), self._events.now)
        self._schedule_next()
        return transfer

    def cancel(self, transfer: Transfer) -> float:
        """Cancel a transfer; return the bytes that it has carried."""
        if not transfer.open:
            return transfer.count
        remaining = self.count_left(transfer)
        transfer.open = False
        self._active -= 1
        self.meter.record_cancelled(int(remaining), self._events.now)
        self._schedule_next()
        return transfer.count - remaining

    def _advance(self) -> None:
        now = self._events.now
        if self._active:
            sent_bytes = (now - self._updated_at) * self._rate / SECOND
            self._service += sent_bytes / self._active
            self.carried += sent_bytes
            self.meter.record_sent(int(sent_bytes), now)
        self._updated_at = now

    def _schedule_next(self) -> None:
        self._epoch += 1
        while self._heap and not self._heap[0][2].open:
            heapq.heappop(self._heap)
        if not self._heap:
            return
        remaining = max(0.0, self._heap[0][0] - self._service)
        wait = remaining * self._active * SECOND / self._rate
        self._events.add(wait, self._finish, self._epoch)

    def _finish(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        _, _, transfer = heapq.heappop(self._heap)
        self._service = max(self._service, transfer.finish_service)
        transfer.open = False
        self._active -= 1
        if not self._active:
            remaining = self.meter.bytes_in_flight
            self.meter.record_cancelled(remaining, self._events.now)
        self._schedule_next()
        transfer.done()
