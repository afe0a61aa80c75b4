"""Requests that wait in an entry for a share that has room in a moment.

The load it answers: small unevenness of arrivals, for which a refusal would
cost callers more than a short wait.
"""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.scheduling.fair_shares import Claimant

_MAX_REQUESTS = 64
_MAX_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Describe a request that waits until `until`.

    `start_by` is the latest time at which its start meets the target.
    """

    request: str
    claimant: Claimant
    size: int
    start_by: Millis
    until: Millis

    @property
    def order(self) -> tuple[tuple[int, int], Millis, str]:
        """Return the sort key of the queue."""
        return self.claimant.urgency, self.start_by, self.request


class WaitQueue:
    """Hold a bounded number of requests and bytes, the most urgent first."""

    def __init__(
        self, max_requests: int = _MAX_REQUESTS, max_bytes: int = _MAX_BYTES
    ) -> None:
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._waiting: dict[str, WaitingRequest] = {}
        self._evicted: set[str] = set()
        self._bytes = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    @property
    def bytes(self) -> int:
        """Return the sum of the waiting bodies."""
        return self._bytes

    def find(self, request: str) -> WaitingRequest | None:
        """Return a waiting request, None if it does not wait."""
        return self._waiting.get(request)

    def add(self, waiting: WaitingRequest) -> bool:
        """Add a request, in place of less urgent ones; return whether.

        None of them lose their places if that makes too little room.
        """
        evicted = self._find_evicted(waiting)
        if evicted is None:
            return False
        for each in evicted:
            self.remove(each.request)
            self._evicted.add(each.request)
        self._waiting[waiting.request] = waiting
        self._bytes += waiting.size
        return True

    def take_evicted(self, request: str) -> bool:
        """Return once whether a request lost its place to a more urgent one."""
        is_evicted = request in self._evicted
        self._evicted.discard(request)
        return is_evicted

    def remove(self, request: str) -> None:
        """Remove a request that starts, is refused, or lost its caller."""
        self._evicted.discard(request)
        waiting = self._waiting.pop(request, None)
        if waiting is not None:
            self._bytes -= waiting.size

    def count_ahead(self, waiting: WaitingRequest) -> int:
        """Return the requests of the same claimant that go first."""
        return sum(
            each.claimant == waiting.claimant and each.order < waiting.order
            for each in self._waiting.values()
        )

    def _find_evicted(
        self, waiting: WaitingRequest
    ) -> list[WaitingRequest] | None:
        """Return the requests that make room, None if there is too little."""
        excess = len(self._waiting) + 1 - self._max_requests
        excess_bytes = self._bytes + waiting.size - self._max_bytes
        evicted: list[WaitingRequest] = []
        less_urgent = sorted(
            (
                each
                for each in self._waiting.values()
                if each.order > waiting.order
            ),
            key=lambda each: each.order,
            reverse=True,
        )
        for each in less_urgent:
            if max(excess, excess_bytes) <= 0:
                break
            evicted.append(each)
            excess -= 1
            excess_bytes -= each.size
        return None if max(excess, excess_bytes) > 0 else evicted
