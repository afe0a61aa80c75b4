"""Early refusal of requests that an overloaded service would answer late."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis

# A first try that is expected to miss its target is refused: serving it would
# delay others, and a later retry is worth as much as a late answer.
_TARGET_SHARE = 1.0
# Requests that wait at an engine, apart from those whose prefill has begun.
# Refusals start above the first number and reach their maximum at the second:
# an engine with full memory preempts running requests and prefills them again.
_SHED_START_QUEUE = 2
_SHED_FULL_QUEUE = 10
_MAX_SHED_SHARE = 0.95
# Estimated share of an engine's memory that its running requests use. The
# estimate counts shared parts and the longest answer for each of them. Below
# the first value, first tokens take less than half of their targets. The
# estimate alone refuses nothing: while no request waits, there are free slots.
_SHED_START_MEMORY_SHARE = 0.8
_SHED_FULL_MEMORY_SHARE = 1.2
# Refusing a small request frees little memory, so the probability of refusal is
# scaled by the size of the request, down to this factor.
_MIN_SIZE_FACTOR = 0.3
# A first byte may be this late by chance: one step of an engine that prefills a
# long prompt beside it takes half of this.
_NEGLIGIBLE_DELAY: Millis = 40.0
# A request waits this long for a usable server, and at most for this share of
# its remaining time: after a power failure the list shows new starts within a
# second, and loading new weights takes one or two.
_MAX_WAIT: Millis = 1.5 * SECOND
_WAIT_SHARE = 0.5
# Tolerance for a caller's deadline that differs from the route's timeout.
_FIRST_TRY_SLACK: Millis = 20.0
# Rank of requests that are already late among an engine's requests.
LATE_RANK = 8


@dataclass(frozen=True, slots=True)
class RequestAge:
    """How long a caller has waited, and its latency target."""

    waited: Millis
    target: Millis

    @property
    def is_first_try(self) -> bool:
        """Return whether the caller has not been refused before."""
        return self.waited < _FIRST_TRY_SLACK

    @property
    def is_late(self) -> bool:
        """Return whether every answer would miss the target."""
        return self.waited > self.target


def find_request_age(
    wait: Millis | None, timeout: Millis, target: Millis
) -> RequestAge:
    """Derive the time waited from a caller's remaining wait.

    A `wait` of None means the whole timeout.
    """
    left = timeout if wait is None else wait
    return RequestAge(max(timeout - left, 0.0), target)


def find_server_wait(left: Millis) -> Millis:
    """Return how long a request may wait for a usable server.

    Most callers that are refused instead retry before a server is usable, and
    do not retry a second time.
    """
    return min(max(left, 0.0) * _WAIT_SHARE, _MAX_WAIT)


def should_refuse(
    age: RequestAge,
    *,
    expected: Millis,
    delay: Millis,
    waiting: int,
    fill: float,
    size: float,
    random_value: float,
) -> bool:
    """Return whether to refuse a request instead of starting it.

    `expected` is the expected time to the first byte. `delay` is the recent
    queueing time at the least loaded server and `waiting` the number of
    requests that wait there. `fill` is the estimated share of its memory in
    use, `size` the memory of this request relative to the mean. `random_value`,
    from 0 to 1, decides which requests are refused as the probability of
    refusal rises.
    """
    queue_excess = (waiting - _SHED_START_QUEUE) / (
        _SHED_FULL_QUEUE - _SHED_START_QUEUE
    )
    memory_excess = (fill - _SHED_START_MEMORY_SHARE) / (
        _SHED_FULL_MEMORY_SHARE - _SHED_START_MEMORY_SHARE
    )
    if not waiting and delay < _NEGLIGIBLE_DELAY:
        memory_excess = 0.0
    share = max(queue_excess, memory_excess) * max(
        min(size, 1.0), _MIN_SIZE_FACTOR
    )
    if random_value < min(share, _MAX_SHED_SHARE):
        return True
    if not age.is_first_try:
        return False
    return expected > age.target * _TARGET_SHARE
