"""Score engines by the work that all entries have in flight there.

The load it answers: urgent short prompts beside long ones. Each step of an
engine that prefills a long prompt holds up all of its runs, and an engine whose
memory is full preempts runs and prefills them again.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.scheduling.costs import PricedCall
from oleanderdyke.kernel.scheduling.speeds import SpeedView

# Beyond this age the reports of the servers say more than those of entries.
MAX_VIEW_AGE: Millis = 1 * SECOND
# Share of the time by which a prefill delays each run that callers notice:
# pauses up to the allowed gap cost nothing.
_HOLD_UP_SHARE = 0.1
# A step grows by about this share of itself with each further run.
_STEP_SHARE_PER_RUN = 0.05
# Shared parts that the estimates of memory don't count take the rest.
_USABLE_MEMORY_SHARE = 0.85
# A preempted run is prefilled again, and so is what it preempts in turn.
_PREEMPTION_FACTOR = 3.0
# An engine has prefilled half of the prompt that it reads, and few wait behind.
_UNREAD_SHARE = 2 / 3
_SAMPLE_SIZE = 2
# Other entries may have sent as many such calls to the lowest score unseen.
_TOLERANCE_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Estimate first bytes by the work in flight at a server.

    While the news of other entries is too old, by the server's reports and the
    work of this entry alone.
    """

    speeds: SpeedView
    is_current: bool = True

    def estimate_first_byte(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        """Return the expected time to the first byte."""
        expected = self._estimate_wait(call, backend, now)
        expected += call.missing * call.read_time + call.step
        if not call.fetched:
            return expected
        return expected + self.speeds.estimate_fetch(backend, call.fetched, now)

    def _estimate_wait(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        wait = call.work.unread * _UNREAD_SHARE * call.read_time
        if self.is_current:
            wait += _estimate_slot_wait(call, backend)
            return max(wait, backend.find_overdue_time(now))
        waiting = backend.count_waiting(now) * call.step
        return max(wait, backend.find_queue_delay(call.rank, now)) + waiting


def _estimate_slot_wait(call: PricedCall, backend: Backend) -> Millis:
    slots, runs = backend.record.slots, call.work.runs
    if not slots or runs < slots:
        return 0.0
    run_time = call.model.output_tokens * call.step
    return (runs - slots + 1) * run_time / slots


class HoldUpCost:
    """Price the time by which a call holds up the runs at a server."""

    def find_cost(
        self, call: PricedCall, _backend: Backend, _now: Millis
    ) -> Millis:
        """Return the delay of all runs, and of the call's steps by them."""
        held_up = call.missing * call.read_time * _HOLD_UP_SHARE
        return call.work.runs * (held_up + call.step * _STEP_SHARE_PER_RUN)


@dataclass(frozen=True, slots=True)
class MemoryCost:
    """Price the runs that a call makes an engine preempt.

    `capacity` is the memory of each engine in tokens, 0 if unknown.
    """

    capacity: int

    def find_cost(
        self, call: PricedCall, _backend: Backend, _now: Millis
    ) -> Millis:
        """Return the time to prefill again what finds no room."""
        if not self.capacity:
            return 0.0
        work = call.work
        needed = work.memory + work.copies + call.memory
        excess = max(needed - self.capacity * _USABLE_MEMORY_SHARE, 0.0)
        return excess * call.read_time * _PREEMPTION_FACTOR


@dataclass(frozen=True, slots=True)
class SampledDraw:
    """Choose the better of two random servers, unless another is far better.

    Entries with equal views would all choose the lowest score until they see
    each other's choices.
    """

    random: Random

    def choose(self, scores: Sequence[Millis], tolerance: Millis) -> int:
        """Return the index of a score, the lowest or one not much higher.

        `tolerance` is the time that such a call adds to a score.
        """
        indexes = range(len(scores))
        lowest = min(indexes, key=scores.__getitem__)
        sample = self.random.sample(indexes, min(_SAMPLE_SIZE, len(scores)))
        drawn = min(sample, key=scores.__getitem__)
        excess = scores[drawn] - scores[lowest]
        return lowest if excess > tolerance * _TOLERANCE_FACTOR else drawn
