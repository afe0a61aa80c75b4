"""Refuse early what an overloaded service would answer too late."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis

# A first try that is expected to be later than its target is refused: the
# time that it would take makes others late, and coming back later it earns
# as much as a late answer does.
_TARGET_SHARE = 1.0
# Requests that wait at an engine, beside those that it has begun to read.
# From the first on more are refused, from the second on nearly all: an engine
# whose memory is full puts back what it has begun and reads it again.
_SHED_START_QUEUE = 2
_SHED_FULL_QUEUE = 10
_MAX_SHED_SHARE = 0.95
# The part of an engine's memory that its runs may take by a guess that counts
# shared parts, and the longest answers, for each of them. Where it stays under
# the first, first tokens keep under half of their targets.
# The guess alone refuses nothing: there are places while nobody waits.
_SHED_START_MEMORY_SHARE = 0.8
_SHED_FULL_MEMORY_SHARE = 1.2
# Refusing a request that takes little memory frees little: it is refused less
# often than others by its size, but not less than by this factor.
_MIN_SIZE_FACTOR = 0.3
# Within this, a first byte is late by chance: one step of an engine that reads
# a long prompt beside takes half of it.
_NEGLIGIBLE_DELAY: Millis = 40.0
# Without a server that takes anything a request waits so long, and at most for
# this part of what is left: after a common loss of power the list tells new
# starts within a second, and a load of new weights takes one or two.
_MAX_WAIT: Millis = 1.5 * SECOND
_WAIT_SHARE = 0.5
# A caller's deadline may differ a little from the route's timeout.
_FIRST_TRY_SLACK: Millis = 20.0
# Rank among an engine's requests of those that are late already.
LATE_RANK = 8


@dataclass(frozen=True, slots=True)
class RequestAge:
    """Time a caller has waited, and its latency target."""

    waited: Millis
    target: Millis

    @property
    def is_first_try(self) -> bool:
        """Return whether the caller has not been refused before."""
        return self.waited < _FIRST_TRY_SLACK

    @property
    def is_late(self) -> bool:
        """Return whether no answer can be in time any more."""
        return self.waited > self.target


def find_request_age(
    wait: Millis | None, timeout: Millis, target: Millis
) -> RequestAge:
    """Infer from what is left of a caller's wait how long it has waited."""
    left = timeout if wait is None else wait
    return RequestAge(max(timeout - left, 0.0), target)


def find_server_wait(left: Millis) -> Millis:
    """Return how long a request waits for a server that takes anything.

    Sent back, most callers are back before there is one, and come no third
    time.
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
    """Return whether a request is better sent back than started now.

    `delay` is how long requests lately waited at the least loaded server and
    `waiting` how many do. `fill` is how much of its memory is likely taken,
    `size` what this request takes against the mean, and `drawn` a number from
    0 to 1, by which a growing part is refused.
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
