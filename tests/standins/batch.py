"""Schedule an engine's runs on its slots and its prefill rate."""

from __future__ import annotations

import collections
import heapq
import itertools
from dataclasses import dataclass, field
from typing import Any

import anyio

from tests.standins import web

_PREFILL_PART = 1_024
_SAMPLES = 2_048


@dataclass(slots=True, order=True)
class Ticket:
    """Hold a run's position in the queue; lower priority values go first."""

    priority: int
    number: int
    tokens: int = field(compare=False)
    started: anyio.Event = field(compare=False, default_factory=anyio.Event)

    async def wait(self) -> None:
        """Wait until the run has a slot."""
        await self.started.wait()


class Batch:
    """Assign tickets to slots; report the load with a delay."""

    def __init__(self, slots: int, rate: float, lag: float) -> None:
        self._slots = slots
        self._rate = rate
        self._lag = lag
        self._prefill = web.Pipe(rate)
        self._numbers = itertools.count()
        self._running: dict[int, Ticket] = {}
        self._waiting: list[Ticket] = []
        self._samples: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=_SAMPLES)
        )
        self._record_load()

    def enter(self, priority: int, tokens: int) -> Ticket:
        """Add a run to the queue and return its ticket."""
        ticket = Ticket(priority, next(self._numbers), tokens)
        heapq.heappush(self._waiting, ticket)
        self._start_next()
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Release the run's slot or remove it from the queue."""
        self._running.pop(ticket.number, None)
        if ticket in self._waiting:
            self._waiting.remove(ticket)
            heapq.heapify(self._waiting)
        self._start_next()

    async def prefill(self, ticket: Ticket, tokens: int) -> None:
        """Compute a prompt in chunks, interleaved with other runs."""
        ticket.tokens = tokens
        while ticket.tokens > 0:
            part = min(ticket.tokens, _PREFILL_PART)
            await self._prefill.carry(part)
            ticket.tokens -= part
        self._record_load()

    def count_open(self) -> int:
        """Return the number of runs that are queued or hold a slot."""
        return len(self._running) + len(self._waiting)

    def show_load(self) -> dict[str, Any]:
        """Return the load as of one lag period ago."""
        before = web.now() - self._lag
        while len(self._samples) > 1 and self._samples[1][0] <= before:
            self._samples.popleft()
        return self._samples[0][1]

    def _start_next(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            ticket = heapq.heappop(self._waiting)
            self._running[ticket.number] = ticket
            ticket.started.set()
        self._record_load()

    def _record_load(self) -> None:
        tickets = [*self._running.values(), *self._waiting]
        load = {
            'running': len(self._running),
            'waiting': len(self._waiting),
            'waiting_tokens': sum(ticket.tokens for ticket in tickets),
            'prefill_tokens_per_second': self._rate,
            'slots': self._slots,
        }
        self._samples.append((web.now(), load))
