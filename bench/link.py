"""Share a link's rate between transfers."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from bench.events import Events
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.link_meter import LinkMeter


@dataclass(slots=True)
class Transfer:
    """Hold one transfer; `tag` is the service at which it ends."""

    count: float
    tag: float
    done: Callable[[], None]
    open: bool = True


class Link:
    """Carry transfers with equal shares."""

    def __init__(self, events: Events, rate: float) -> None:
        self._events = events
        self._rate = rate
        self._service = 0.0
        self._read: Millis = 0.0
        self._heap: list[tuple[float, int, Transfer]] = []
        self._active = 0
        self._sequence = 0
        self._epoch = 0
        self.carried = 0.0
        self.meter = LinkMeter(rate)

    @property
    def active_share(self) -> float:
        """Return the bytes a second that each transfer gets."""
        return self._rate / max(1, self._active)

    @property
    def rate(self) -> float:
        """Return the bytes a second of the link."""
        return self._rate

    def set_rate(self, rate: float) -> None:
        """Change the rate at once."""
        self._advance()
        self._rate = rate
        self._plan()

    def count_left(self, transfer: Transfer) -> float:
        """Return the bytes that a transfer still needs."""
        self._advance()
        return max(0.0, transfer.tag - self._service)

    def count_waiting(self) -> float:
        """Return the bytes that all transfers still need."""
        self._advance()
        return sum(
            max(0.0, tag - self._service)
            for tag, _, transfer in self._heap
            if transfer.open
        )

    def start(self, count: float, done: Callable[[], None]) -> Transfer:
        """Start a transfer that calls `done` at its end."""
        self._advance()
        transfer = Transfer(count, self._service + count, done)
        self._sequence += 1
        heapq.heappush(self._heap, (transfer.tag, self._sequence, transfer))
        self._active += 1
        self.meter.record_requested(int(count), self._events.now)
        self._plan()
        return transfer

    def cancel(self, transfer: Transfer) -> float:
        """Stop a transfer; return the bytes that it had carried."""
        if not transfer.open:
            return transfer.count
        left = self.count_left(transfer)
        transfer.open = False
        self._active -= 1
        self.meter.record_cancelled(int(left), self._events.now)
        self._plan()
        return transfer.count - left

    def _advance(self) -> None:
        now = self._events.now
        if self._active:
            gained = (now - self._read) * self._rate / SECOND
            self._service += gained / self._active
            self.carried += gained
            self.meter.record_sent(int(gained), now)
        self._read = now

    def _plan(self) -> None:
        self._epoch += 1
        while self._heap and not self._heap[0][2].open:
            heapq.heappop(self._heap)
        if not self._heap:
            return
        left = max(0.0, self._heap[0][0] - self._service)
        wait = left * self._active * SECOND / self._rate
        self._events.add(wait, self._finish, self._epoch)

    def _finish(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        _, _, transfer = heapq.heappop(self._heap)
        self._service = max(self._service, transfer.tag)
        transfer.open = False
        self._active -= 1
        if not self._active:
            left = self.meter.bytes_in_flight
            self.meter.record_cancelled(left, self._events.now)
        self._plan()
        transfer.done()
