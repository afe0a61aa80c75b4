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
from oleanderdyke.kernel.scheduling.work import ServerWork, WorkView

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

    view: WorkView
    speeds: SpeedView
    is_current: bool = True

    def estimate_first_byte(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        """Return the expected time to the first byte."""
        speeds = self.speeds
        return (
            self._estimate_wait(call, backend, now)
            + speeds.estimate_read(backend, call.missing, now)
            + speeds.estimate_fetch(backend, call.fetched, now)
            + speeds.estimate_step(backend, now)
        )

    def _estimate_wait(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        work = self.view.find_work(backend.record.start, now)
        unread = work.unread * _UNREAD_SHARE
        wait = self.speeds.estimate_read(backend, unread, now)
        if self.is_current:
            wait += self._estimate_slot_wait(call, backend, work, now)
            return max(wait, backend.find_overdue_time(now))
        step = self.speeds.estimate_step(backend, now)
        waiting = backend.count_waiting(now) * step
        return max(wait, backend.find_queue_delay(call.rank, now)) + waiting

    def _estimate_slot_wait(
        self,
        call: PricedCall,
        backend: Backend,
        work: ServerWork,
        now: Millis,
    ) -> Millis:
        slots = backend.record.slots
        if not slots or work.runs < slots:
            return 0.0
        step = self.speeds.estimate_step(backend, now)
        run_time = call.model.output_tokens * step
        return (work.runs - slots + 1) * run_time / slots


@dataclass(frozen=True, slots=True)
class HoldUpCost:
    """Price the time by which a call holds up the runs at a server."""

    view: WorkView
    speeds: SpeedView

    def find_cost(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        """Return the delay of all runs, and of the call's tokens by them."""
        runs = self.view.find_work(backend.record.start, now).runs
        read_time = self.speeds.estimate_read(backend, call.missing, now)
        step = self.speeds.estimate_step(backend, now)
        own_delay = step * _STEP_SHARE_PER_RUN * call.model.output_tokens
        return runs * (read_time * _HOLD_UP_SHARE + own_delay)


@dataclass(frozen=True, slots=True)
class MemoryCost:
    """Price the runs that a call makes an engine preempt.

    `capacity` is the memory of each engine in tokens, 0 if unknown.
    """

    view: WorkView
    speeds: SpeedView
    capacity: int

    def find_cost(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        """Return the time to prefill again what finds no room."""
        if not self.capacity:
            return 0.0
        work = self.view.find_work(backend.record.start, now)
        needed = work.memory + work.copies + call.model.memory_tokens
        excess = max(needed - self.capacity * _USABLE_MEMORY_SHARE, 0.0)
        read_time = self.speeds.estimate_read(backend, excess, now)
        return read_time * _PREEMPTION_FACTOR


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
