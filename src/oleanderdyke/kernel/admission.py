"""Queue and rate-limit requests, sharing a service between teams."""

from __future__ import annotations

import heapq
import zlib
from collections import deque
from dataclasses import dataclass, field

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import Demand

_BURST: Millis = SECOND
_HASH_STEPS = 1024
_SLACK_TEAMS = 64


class TokenBucket:
    """Limit a rate, with a burst of one second.

    The balance may become negative, which delays later requests.
    """

    __slots__ = ('_balance', '_burst', '_rate', '_read')

    def __init__(self, rate: float, now: Millis) -> None:
        self._rate = rate
        self._burst = max(1.0, rate * _BURST / SECOND)
        self._balance = self._burst
        self._read = now

    def wait(self, now: Millis) -> Millis:
        """Return the time until the next request is allowed."""
        self._fill(now)
        if self._balance > 0:
            return 0.0
        return (1.0 - self._balance) * SECOND / self._rate

    def take(self, count: float, now: Millis) -> None:
        """Consume tokens from the bucket, possibly more than it holds."""
        self._fill(now)
        self._balance -= count

    def is_full(self, now: Millis) -> bool:
        """Return whether the bucket is full, so that it may be discarded."""
        self._fill(now)
        return self._balance >= self._burst

    def _fill(self, now: Millis) -> None:
        earned = (now - self._read) * self._rate / SECOND
        self._balance = min(self._burst, self._balance + earned)
        self._read = now


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Hold one request of a fair queue with its cost and arrival time."""

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
    """Order requests by start-time fair queueing, weighted by team.

    Only teams with queued requests, or whose finish tag is ahead of the virtual
    time, take memory.
    """

    def __init__(self) -> None:
        self._teams: dict[str, _TeamQueue] = {}
        self._finish_tags: dict[str, float] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._virtual_time = 0.0
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
            self._schedule(team)
        queue.items.append(waiting)
        queue.cost += waiting.cost
        self.cost += waiting.cost
        self._length += 1

    def pop(self) -> QueuedRequest:
        """Remove and return the next request; the queue must not be empty."""
        start, _, team = heapq.heappop(self._heap)
        self._virtual_time = max(self._virtual_time, start)
        queue = self._teams[team]
        waiting = queue.items.popleft()
        self._finish_tags[team] = start + waiting.cost / queue.weight
        self._remove(team, queue, waiting)
        if team in self._teams:
            self._schedule(team)
        return waiting

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove one request from any position."""
        team = waiting.demand.team
        queue = self._teams[team]
        queue.items.remove(waiting)
        self._remove(team, queue, waiting)
        if team not in self._teams:
            self._heap = [entry for entry in self._heap if entry[2] != team]
            heapq.heapify(self._heap)

    def charge(self, team: str, cost: float, weight: float) -> None:
        """Charge a team for a request that was not queued."""
        start = max(self._virtual_time, self._finish_tags.get(team, 0.0))
        self._finish_tags[team] = start + cost / weight
        self._drop_idle_teams()

    def estimate_ahead(self, team: str, cost: float, weight: float) -> float:
        """Estimate the cost that is served until a new request ends.

        While this team's queue is served, each other team gets at most its
        weighted share, and at most the cost of its own queue.
        """
        queue = self._teams.get(team)
        own = cost + (queue.cost if queue else 0.0)
        rounds = own / weight
        ahead = own
        for name, other in self._teams.items():
            if name != team:
                ahead += min(other.cost, rounds * other.weight)
        return ahead

    def _schedule(self, team: str) -> None:
        start = max(self._virtual_time, self._finish_tags.get(team, 0.0))
        self._sequence += 1
        heapq.heappush(self._heap, (start, self._sequence, team))

    def _remove(
        self, team: str, queue: _TeamQueue, waiting: QueuedRequest
    ) -> None:
        queue.cost -= waiting.cost
        self.cost -= waiting.cost
        self._length -= 1
        if queue.items:
            return
        del self._teams[team]
        self._drop_idle_teams()

    def _drop_idle_teams(self) -> None:
        if not self._teams:
            self._virtual_time = 0.0
            self.cost = 0.0
            self._finish_tags.clear()
            return
        if len(self._finish_tags) <= 2 * len(self._teams) + _SLACK_TEAMS:
            return
        self._finish_tags = {
            team: tag
            for team, tag in self._finish_tags.items()
            if tag > self._virtual_time or team in self._teams
        }


def hash_to_fraction(request: str) -> float:
    """Return a number in [0, 1), derived from the request, for jitter."""
    return zlib.crc32(request.encode()) % _HASH_STEPS / _HASH_STEPS
