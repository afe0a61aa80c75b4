"""How much of a service's engines the work in flight and to come takes.

The load it answers: bursts, and engines lost, after which more is asked for
than the engines that are left can do in time.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.scheduling.answer_lengths import AnswerLengths
from oleanderdyke.kernel.scheduling.speeds import SpeedView
from oleanderdyke.kernel.scheduling.work import Demand, WorkView, sum_work

_SAMPLE_TOKENS = 1_000
# Work in flight beyond the target is to be worked off within this time, at the
# cost of new requests, half of which are admitted all the same.
_CATCH_UP_TIME: Millis = 2 * SECOND
_MAX_CATCH_UP_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ServiceRoom:
    """Describe the usable engines of a service.

    `cold` of them take at most `cold_rate` requests per second each.
    `read_time` is the time per prompt token and `step` the time per output
    token of a run. `backlog` is the mean time that engines take to read all
    prompts in flight. `memory` is the memory of one engine in tokens, 0 if
    unknown.
    """

    engines: int
    read_time: Millis
    step: Millis
    slots: int = 1
    memory: int = 0
    backlog: Millis = 0.0
    cold: int = 0
    cold_rate: float = 0.0

    def find_capacity(self, target: Millis, work: float) -> float:
        """Return how many engines are free for new requests.

        `target` is the tightest target of the service's routes. `work` is the
        mean time in seconds for which a request keeps an engine busy.
        """
        idle = self.cold * max(1 - self.cold_rate * work, 0.0)
        excess = max(self.backlog - target, 0.0) / _CATCH_UP_TIME
        return (self.engines - idle) * (1 - min(excess, _MAX_CATCH_UP_SHARE))


def measure_room(
    usable: Sequence[Backend],
    view: WorkView,
    speeds: SpeedView,
    memory: int,
    now: Millis,
) -> ServiceRoom:
    """Measure the usable engines of a service and their work in flight."""
    if not usable:
        return ServiceRoom(0, 0.0, 0.0)
    count = len(usable)
    read = sum(
        speeds.estimate_read(each, _SAMPLE_TOKENS, now) for each in usable
    )
    read_time = read / count / _SAMPLE_TOKENS
    work = sum_work(view.find_work(each.record.start, now) for each in usable)
    return ServiceRoom(
        count,
        read_time=read_time,
        step=sum(speeds.estimate_step(each, now) for each in usable) / count,
        slots=max(sum(each.record.slots for each in usable) // count, 1),
        memory=memory,
        backlog=work.unread * read_time / count,
    )


def estimate_engines(
    demand: Demand, room: ServiceRoom, lengths: AnswerLengths
) -> float:
    """Return how many engines a demand keeps busy.

    Memory counts by the number of runs that share a step. Durations of answers
    don't: they grow with the shortage itself.
    """
    ratio = lengths.find_ratio(demand.route)
    output = demand.output * (1.0 if ratio is None else ratio)
    memory = lengths.find_memory(demand.route) or 0.0
    generating = output * room.step / _find_batch(room, memory)
    return (demand.unread * room.read_time + generating) / SECOND


def _find_batch(room: ServiceRoom, memory: float) -> float:
    """Return how many runs of so much memory share the steps of an engine."""
    if not memory or not room.memory:
        return float(room.slots)
    return min(max(room.memory / memory, 1.0), float(room.slots))
