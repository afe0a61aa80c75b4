"""Describe what operators of the platform have configured."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from oleanderdyke.clock import Millis


class CallKind(enum.StrEnum):
    """Say what may be repeated of a call."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class Share:
    """Send a part of a route's calls, by weight, to a service."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Lead calls under one host and path prefix to services.

    `target` is the time to the first byte that earns full credit, `gap` the
    longest pause between events of a stream. `attempts` bounds the backend
    servers that one call may run on. A lower `priority` is more urgent.
    `homes` are the regions where calls may run; none means all.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[Share, ...]
    timeout: Millis
    target: Millis
    gap: Millis = 0.0
    priority: int = 5
    attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    allowed_regions: frozenset[str] = frozenset()

    @property
    def is_repeatable(self) -> bool:
        """Return whether a call may run on a second backend server."""
        return self.kind is CallKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Say what one model engine can hold."""

    memory_tokens: int


@dataclass(frozen=True, slots=True)
class StoreTraits:
    """Say where a store of kept context is and how fast it answers."""

    address: str
    data_centre: str
    capacity_tokens: int
    link_mbps: float
    is_managed: bool


@dataclass(frozen=True, slots=True)
class ServiceTraits:
    """Describe one service; `engine` and `store` are set for their kinds.

    Its servers are cold for `cold_lasts` after a start, and tolerate
    `cold_rate` requests a second then; without a rate they are never cold.
    """

    name: str
    cold_duration: Millis = 0.0
    cold_rate: float = 0.0
    engine: EngineTraits | None = None
    store: StoreTraits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what callers may send, in bytes, and how long they may idle."""

    body_bytes: int = 4_194_304
    idle_timeout: Millis = 15_000.0


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """Name the team that an API key belongs to.

    `homes` are the regions where its calls may run; none means all.
    """

    team: str
    is_isolated: bool = False
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Deployment:
    """Hold one version of the operators' whole configuration.

    `key_owners` is empty where calls need no API key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceTraits] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    key_owners: Mapping[str, KeyOwner] = field(default_factory=dict)

    @cached_property
    def _by_host(self) -> Mapping[str, tuple[Route, ...]]:
        """List each host's routes, the longest prefix first."""
        hosts: dict[str, list[Route]] = {}
        ordered = sorted(self.routes, key=lambda route: -len(route.prefix))
        for route in ordered:
            hosts.setdefault(route.host, []).append(route)
        return {host: tuple(routes) for host, routes in hosts.items()}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching prefix."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_memory_tokens(self, service: str) -> int | None:
        """Return how many tokens each engine of a service holds.

        None where the service is not known or has no engines.
        """
        traits = self.services.get(service)
        if traits is None or traits.engine is None:
            return None
        return traits.engine.memory_tokens

    def needs_key(self, route: Route) -> bool:
        """Return whether calls on a route must name a team by its key."""
        return bool(self.key_owners) and not route.is_public
