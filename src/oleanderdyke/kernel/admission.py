"""Share out a service between teams by weight."""

from __future__ import annotations

import heapq
import zlib
from collections import deque
from dataclasses import dataclass, field

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import Demand

_BURST: Millis = SECOND
_SPREAD_STEPS = 1024
_SLACK_TEAMS = 64


class TokenBucket:
    """Allow a rate with a burst of one second; the balance may go negative."""

    __slots__ = ('_balance', '_burst', '_rate', '_read')

    def __init__(self, rate: float, now: Millis) -> None:
        self._rate = rate
        self._burst = max(1.0, rate * _BURST / SECOND)
        self._balance = self._burst
        self._read = now

    def wait(self, now: Millis) -> Millis:
        """Return how long until the next take is allowed."""
        self._fill(now)
        if self._balance > 0:
            return 0.0
        return (1.0 - self._balance) * SECOND / self._rate

    def take(self, count: float, now: Millis) -> None:
        """Use up a part of the rate."""
        self._fill(now)
        self._balance -= count

    def is_full(self, now: Millis) -> bool:
        """Return whether forgetting this bucket changes nothing."""
        self._fill(now)
        return self._balance >= self._burst

    def _fill(self, now: Millis) -> None:
        earned = (now - self._read) * self._rate / SECOND
        self._balance = min(self._burst, self._balance + earned)
        self._read = now


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Hold one request in a fair queue."""

    demand: Demand
    cost: float
    arrived: Millis


@dataclass(slots=True)
class _TeamQueue:
    """Hold the requests of one team in order of arrival."""

    weight: float
    items: deque[QueuedRequest] = field(default_factory=deque)
    cost: float = 0.0


class FairQueue:
    """Order requests by start tags, so that teams share by weight.

    Only teams with work, or with a debt, take any memory.
    """

    def __init__(self) -> None:
        self._teams: dict[str, _TeamQueue] = {}
        self._finish: dict[str, float] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._virtual = 0.0
        self._sequence = 0
        self._length = 0
        self.cost = 0.0

    def __len__(self) -> int:
        return self._length

    def push(self, waiting: QueuedRequest, weight: float) -> None:
        """Add a request at the end of its team's queue."""
        team = waiting.demand.team
        queue = self._teams.get(team)
        if queue is None:
            queue = self._teams[team] = _TeamQueue(weight)
            self._enter(team)
        queue.items.append(waiting)
        queue.cost += waiting.cost
        self.cost += waiting.cost
        self._length += 1

    def pop(self) -> QueuedRequest:
        """Take the request whose turn it is; the queue must not be empty."""
        start, _, team = heapq.heappop(self._heap)
        self._virtual = max(self._virtual, start)
        queue = self._teams[team]
        waiting = queue.items.popleft()
        self._finish[team] = start + waiting.cost / queue.weight
        self._leave(team, queue, waiting)
        if team in self._teams:
            self._enter(team)
        return waiting

    def remove(self, waiting: QueuedRequest) -> None:
        """Take one request out, wherever it stands."""
        team = waiting.demand.team
        queue = self._teams[team]
        queue.items.remove(waiting)
        self._leave(team, queue, waiting)
        if team not in self._teams:
            self._heap = [entry for entry in self._heap if entry[2] != team]
            heapq.heapify(self._heap)

    def charge(self, team: str, cost: float, weight: float) -> None:
        """Count work that needed no queueing."""
        start = max(self._virtual, self._finish.get(team, 0.0))
        self._finish[team] = start + cost / weight
        self._forget_idle()

    def estimate_ahead(self, team: str, cost: float, weight: float) -> float:
        """Estimate the work that is served before a new request ends.

        Each other team gets at most its share while this team's own queue is
        worked off, and no more than it has asked for.
        """
        queue = self._teams.get(team)
        own = cost + (queue.cost if queue else 0.0)
        rounds = own / weight
        ahead = own
        for name, other in self._teams.items():
            if name != team:
                ahead += min(other.cost, rounds * other.weight)
        return ahead

    def _enter(self, team: str) -> None:
        start = max(self._virtual, self._finish.get(team, 0.0))
        self._sequence += 1
        heapq.heappush(self._heap, (start, self._sequence, team))

    def _leave(
        self, team: str, queue: _TeamQueue, waiting: QueuedRequest
    ) -> None:
        queue.cost -= waiting.cost
        self.cost -= waiting.cost
        self._length -= 1
        if queue.items:
            return
        del self._teams[team]
        self._forget_idle()

    def _forget_idle(self) -> None:
        if not self._teams:
            self._virtual = 0.0
            self.cost = 0.0
            self._finish.clear()
            return
        if len(self._finish) <= 2 * len(self._teams) + _SLACK_TEAMS:
            return
        self._finish = {
            team: tag
            for team, tag in self._finish.items()
            if tag > self._virtual or team in self._teams
        }


def hash_to_fraction(request: str) -> float:
    """Return a number in [0, 1) that differs between requests."""
    return zlib.crc32(request.encode()) % _SPREAD_STEPS / _SPREAD_STEPS
