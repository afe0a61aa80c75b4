"""Keep short prompts and long ones on different engines while both arrive.

The load it answers: urgent requests with short prompts beside long prompts that
hold them up, in shares that change within seconds.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.deployment import Deployment
from oleanderdyke.kernel.scheduling.costs import PricedCall
from oleanderdyke.kernel.scheduling.pool_loads import PoolMeter
from oleanderdyke.kernel.scheduling.pool_members import find_members
from oleanderdyke.kernel.scheduling.pool_sizes import (
    PoolLoad,
    PoolSize,
    SizeReason,
)
from oleanderdyke.kernel.scheduling.speeds import SpeedView
from oleanderdyke.kernel.scheduling.switch import LoadSwitch
from oleanderdyke.kernel.scheduling.work import WorkView
from oleanderdyke.kernel.servers import ServerStart

# Bounds the time that long prompts take of an engine that is overloaded.
_MAX_BUSY = 0.9


class Side(enum.StrEnum):
    """The prompts that an engine is kept for."""

    SHORT = 'short'
    LONG = 'long'


class EngineList(Protocol):
    """The engines that count as usable."""

    def list_usable(self, service: str, now: Millis) -> Sequence[Backend]:
        """Return the usable engines of a service."""


@dataclass(frozen=True, slots=True)
class PoolState:
    """Describe a parting: engines of the short side among the usable ones."""

    service: str
    size: int
    usable: int
    reason: SizeReason


@dataclass(slots=True)
class _Parting:
    """Hold the parting of one service.

    `members` are the engines of the short side at `members_at`, `others` the
    remaining usable ones.
    """

    size: PoolSize = field(default_factory=PoolSize)
    long_routes: frozenset[str] = frozenset()
    load: PoolLoad = field(default_factory=PoolLoad)
    members: frozenset[ServerStart] = frozenset()
    others: frozenset[ServerStart] = frozenset()
    members_at: Millis = -math.inf

    @property
    def short_rate(self) -> float:
        """Return the short requests per second at an engine of their side."""
        return self.load.short_arrived / max(self.size.engines, 1)

    @property
    def long_busy(self) -> float:
        """Return the share of time that long prompts take on their side."""
        engines = max(self.load.usable - self.size.engines, 1)
        return min(self.load.long.engines / engines, _MAX_BUSY)

    @property
    def has_short_room(self) -> bool:
        """Return whether the short side can spare an engine."""
        return self.size.engines - self.load.short.need >= 1


class Pools:
    """Part the engines of each service that needs it, and price the parting."""

    def __init__(
        self,
        engines: EngineList,
        switch: LoadSwitch,
        *,
        view: WorkView,
        speeds: SpeedView,
    ) -> None:
        self._engines = engines
        self._switch = switch
        self._view = view
        self._speeds = speeds
        self._meter: PoolMeter | None = None
        self._partings: dict[str, _Parting] = {}

    def configure(self, deployment: Deployment) -> None:
        """Apply a new configuration; services that it lacks have no pools."""
        self._meter = PoolMeter(
            deployment, self._switch, self._view, self._speeds
        )
        self._partings = {
            service: self._partings.get(service, _Parting())
            for service, traits in deployment.services.items()
            if traits.engine is not None
        }

    def update(self, now: Millis) -> list[PoolState]:
        """Let all sizes follow the demand by a step; return new ones."""
        return [
            _describe(service, parting)
            for service, parting in self._partings.items()
            if self._step(service, parting, now)
        ]

    def list_states(self) -> list[PoolState]:
        """Return the state of each service that was measured."""
        return [
            _describe(service, parting)
            for service, parting in self._partings.items()
            if parting.load.usable
        ]

    def find_size(self, service: str) -> int:
        """Return how many engines are on the short side, 0 without pools."""
        parting = self._partings.get(service)
        return 0 if parting is None else parting.size.engines

    def find_side(
        self, service: str, start: ServerStart, now: Millis
    ) -> Side | None:
        """Return the side of an engine, None without pools."""
        parting = self._find_parted(service, now)
        if parting is None:
            return None
        return Side.SHORT if start in parting.members else Side.LONG

    def list_pool(
        self, service: str, route: str, now: Millis
    ) -> frozenset[ServerStart] | None:
        """Return the engines kept for a route, None without pools."""
        parting = self._find_parted(service, now)
        if parting is None:
            return None
        if route in parting.long_routes:
            return parting.others
        return parting.members

    def find_cost(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        """Return what a choice costs by the side and the work of an engine."""
        side = self.find_side(call.service, backend.record.start, now)
        if side is None:
            return 0.0
        parting = self._partings[call.service]
        cost = call.target if self._is_full(call, backend) else 0.0
        is_long = call.route in parting.long_routes
        if is_long and side is Side.SHORT:
            cost += _price_long(call, parting)
        if not is_long and side is Side.LONG:
            cost += _price_short(call, parting)
        return cost

    def _step(self, service: str, parting: _Parting, now: Millis) -> bool:
        is_needed = self._switch.is_needed(service)
        if self._meter is None or not (is_needed or parting.size.engines):
            return False
        usable = self._engines.list_usable(service, now)
        parting.long_routes = self._switch.list_long(service)
        parting.load = self._meter.measure(service, usable, now)
        parting.members_at = -math.inf
        return parting.size.step(parting.load, now)

    def _find_parted(self, service: str, now: Millis) -> _Parting | None:
        """Return the parting with its current members, None without pools."""
        parting = self._partings.get(service)
        if parting is None or not parting.size.engines:
            return None
        if parting.members_at != now:
            self._update_members(service, parting, now)
        return parting

    def _update_members(
        self, service: str, parting: _Parting, now: Millis
    ) -> None:
        usable = self._engines.list_usable(service, now)
        size = max(min(parting.size.engines, len(usable) - 1), 0)
        parting.members = find_members(service, usable, size)
        starts = frozenset(backend.record.start for backend in usable)
        parting.others = starts - parting.members
        parting.members_at = now

    def _is_full(self, call: PricedCall, backend: Backend) -> bool:
        """Return whether the call would wait until a run ends."""
        slots, work = backend.record.slots, call.work
        if slots and work.runs >= slots:
            return True
        memory = (
            0 if self._meter is None else self._meter.find_memory(call.service)
        )
        needed = work.memory + work.copies + call.memory
        return 0 < memory < needed


def _price_long(call: PricedCall, parting: _Parting) -> Millis:
    """Return how long a long prompt delays short requests in all."""
    read_time = call.missing * call.read_time
    arriving = parting.short_rate * read_time / SECOND
    cost = read_time * (call.work.runs - call.work.long_runs + arriving)
    if parting.has_short_room:
        return cost
    return cost + parting.load.short_limit


def _price_short(call: PricedCall, parting: _Parting) -> Millis:
    """Return how long long prompts delay the end of a short request."""
    waiting = call.work.unread * call.read_time
    # An answer has on average half of its maximum length.
    answer = call.model.output_tokens / 2 * call.step
    return waiting + answer * parting.long_busy


def _describe(service: str, parting: _Parting) -> PoolState:
    size, load = parting.size, parting.load
    return PoolState(service, size.engines, load.usable, size.reason)
