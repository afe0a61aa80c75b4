"""How many engines of a service short prompts need beside long ones.

The load it answers: bursts of short or of long prompts. Both sides keep the
same headroom against their own targets while demand shifts between them.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis

PERIOD: Millis = 250.0
# Each side bears the loss of an engine.
MIN_ENGINES = 4
# The 95th percentile of an exponential wait in multiples of its mean.
_TAIL = 3.0
# For prompts that take too long to meet their target in the tail.
_MIN_USABLE = 0.25
# Engines; entries with nearly equal figures want equal sizes.
_QUANTUM = 0.125
# Engines by which a size is off before it moves: at once, and in the mean over
# the given time, for which nothing may have moved.
_BAND = 0.75
_MEAN_BAND = 0.6
_MEAN_TIME: Millis = 5 * SECOND
# Engines beyond the load of each side, if there are enough. The short side
# bears the loss of an engine, and a size may be off by the band.
_SHORT_RESERVE = 1 + _BAND
_LONG_RESERVE = _BAND
# Shares of the engines' time taken by long prompts, to form and to keep pools.
_FORM_SHARE = 0.1
_KEEP_SHARE = 0.05
# Short requests per second, to form and to keep pools.
_FORM_RATE = 1.0
_KEEP_RATE = 0.5
# Part of the time that short requests have, below which a long prompt is
# harmless.
_HARMLESS_PART = 0.05


class SizeReason(enum.StrEnum):
    """Why the short side has its size."""

    DEMAND = 'demand'
    FEW_ENGINES = 'too few engines'
    UNKNOWN = 'no news of other entries'
    ONE_KIND = 'one kind of request'
    LITTLE_GAIN = 'too little to gain'


@dataclass(frozen=True, slots=True)
class EnginePower:
    """Describe what one engine does alone.

    `read` is the time per prompt token, `step` the time per generated token,
    `memory` its capacity in tokens. 0 slots or memory mean no limit.
    """

    read: Millis
    step: Millis
    slots: int = 0
    memory: int = 0

    def count_seats(self, run_memory: float) -> float:
        """Return how many runs of this size fit at once."""
        seats = float(self.slots or math.inf)
        if self.memory and run_memory:
            seats = min(seats, self.memory / run_memory)
        return max(seats, 1.0)


@dataclass(frozen=True, slots=True)
class SideDemand:
    """Sum up the demand for one side.

    Requests that arrive and that are admitted, prompt tokens to prefill and
    output tokens to generate at most are rates per second. `prompt` is the mean
    length of a prompt in tokens, `limit` the time in which it has to be read.
    `runs` counts the requests in flight.
    """

    arrived: float = 0.0
    admitted: float = 0.0
    unread: float = 0.0
    output: float = 0.0
    prompt: float = 0.0
    limit: Millis = math.inf
    runs: float = math.inf


@dataclass(frozen=True, slots=True)
class SideLoad:
    """Hold the engines that a side occupies, and those that it needs.

    `read_time` is the time to read one of its prompts.
    """

    engines: float = 0.0
    need: float = 0.0
    read_time: Millis = 0.0


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Hold the load of both sides and the figures that part them.

    `usable` counts the engines, `short_arrived` requests per second.
    `short_limit` is the time in which short prompts have to be read.
    """

    usable: int = 0
    short: SideLoad = SideLoad()
    long: SideLoad = SideLoad()
    short_arrived: float = 0.0
    short_limit: Millis = math.inf
    is_known: bool = True


def find_load(demand: SideDemand, power: EnginePower) -> SideLoad:
    """Return how many engines a side occupies and needs."""
    if not demand.arrived:
        return SideLoad()
    output = demand.output / demand.arrived
    # An answer has on average half of its maximum length.
    seats = power.count_seats(demand.prompt + output / 2)
    read_time = demand.unread / demand.arrived * power.read
    most_runs = demand.arrived * (read_time + output * power.step) / SECOND
    runs = min(most_runs, _count_wanted_runs(demand))
    busy = demand.unread * power.read / SECOND
    usable = max(1 - _TAIL * read_time / demand.limit, _MIN_USABLE)
    # An engine keeps room for the run that comes next.
    need = max(busy / usable, runs / max(seats - 1, 1.0))
    return SideLoad(max(busy, runs / seats), need, read_time)


def find_obstacle(load: PoolLoad, *, is_parted: bool) -> SizeReason | None:
    """Return why a service has no pools, None if it has."""
    if not load.is_known:
        return SizeReason.UNKNOWN
    if load.usable < MIN_ENGINES:
        return SizeReason.FEW_ENGINES
    rate = _KEEP_RATE if is_parted else _FORM_RATE
    if load.short_arrived < rate or not load.long.engines:
        return SizeReason.ONE_KIND
    share = _KEEP_SHARE if is_parted else _FORM_SHARE
    is_rare = load.long.engines < share * load.usable
    if is_rare or load.long.read_time < _HARMLESS_PART * load.short_limit:
        return SizeReason.LITTLE_GAIN
    return None


def find_wanted(load: PoolLoad) -> float:
    """Return the size of the short side that suits the load, in engines."""
    short, long, usable = load.short, load.long, load.usable
    spare = usable - short.engines - long.engines
    if spare > 0:
        wanted = usable * short.need / (short.need + long.need)
        reserve = min(spare / (_SHORT_RESERVE + _LONG_RESERVE), 1.0)
        lowest = short.engines + _SHORT_RESERVE * reserve
        highest = usable - long.engines - _LONG_RESERVE * reserve
        wanted = min(max(wanted, lowest), highest)
    else:
        fair = usable * short.engines / (short.engines + long.engines)
        wanted = max(fair, min(short.engines, usable / 2))
    wanted = min(max(wanted, 1.0), usable - 1.0)
    return round(wanted / _QUANTUM) * _QUANTUM


class PoolSize:
    """Follow the wanted size of the short side; 0 means no pools."""

    def __init__(self) -> None:
        self.engines = 0
        self.reason = SizeReason.UNKNOWN
        self._mean = 0.0
        self._moved_at: Millis = -math.inf

    def step(self, load: PoolLoad, now: Millis) -> bool:
        """Move by at most one engine; return whether the size changed.

        For use once in each `PERIOD`.
        """
        previous = self.engines
        self.engines = self._find_next(load, now)
        if self.engines == previous:
            return False
        self._moved_at = now
        return True

    def _find_next(self, load: PoolLoad, now: Millis) -> int:
        obstacle = find_obstacle(load, is_parted=self.engines > 0)
        self.reason = obstacle or SizeReason.DEMAND
        if obstacle in {SizeReason.UNKNOWN, SizeReason.FEW_ENGINES}:
            return 0
        if obstacle is not None:
            return max(self.engines - 1, 0)
        return min(self._follow(find_wanted(load), now), load.usable - 1)

    def _follow(self, wanted: float, now: Millis) -> int:
        self._mean += (wanted - self._mean) * PERIOD / _MEAN_TIME
        off = wanted - self.engines
        if abs(off) <= _BAND and now - self._moved_at >= _MEAN_TIME:
            off = (self._mean - self.engines) * _BAND / _MEAN_BAND
        if abs(off) <= _BAND:
            return self.engines
        self._mean = wanted
        return self.engines + (1 if off > 0 else -1)


def sum_demand(demands: Sequence[SideDemand], runs: float) -> SideDemand:
    """Sum up the demand of routes with so many requests in flight.

    The tightest limit holds for all.
    """
    arrived = sum(each.arrived for each in demands)
    prompts = sum(each.prompt * each.arrived for each in demands)
    return SideDemand(
        arrived=arrived,
        admitted=sum(each.admitted for each in demands),
        unread=sum(each.unread for each in demands),
        output=sum(each.output for each in demands),
        prompt=prompts / arrived if arrived else 0.0,
        limit=min((each.limit for each in demands), default=math.inf),
        runs=runs,
    )


def _count_wanted_runs(demand: SideDemand) -> float:
    """Return the requests in flight as if none had been refused."""
    if not demand.admitted:
        return math.inf
    return demand.runs * max(demand.arrived / demand.admitted, 1.0)
