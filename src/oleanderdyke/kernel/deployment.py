"""Define the configuration that operators of the platform publish."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from functools import cached_property

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.route_services import StreamRoute

# Callers may wait longer than the timeout that is in force by now.
_LIFETIME_FACTOR = 2.0


class CallKind(enum.StrEnum):
    """Classify calls by whether they may be repeated."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class Share:
    """Assign a weighted share of a route's calls to a service."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Route calls under one host and path prefix to services.

    `target` is the longest time to first byte that counts as on time, `gap`
    the longest pause between events of a stream. `attempts` limits the backend
    servers that one call may run on. A lower `priority` is more urgent. Calls
    run in the `allowed_regions` only; an empty set allows all regions.
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
    """Describe the capacity of one model engine.

    `token_bytes` is the size of the context of one token, and `stride` the
    number of tokens in one event of a stream. Zero stands for an unknown size,
    bandwidth or number of slots. With `backups`, an engine copies the memory of
    a run to another one while the run grows.
    """

    memory_tokens: int
    token_bytes: float = 0.0
    link_mbps: float = 0.0
    slots: int = 0
    stride: int = 1
    backups: bool = False


@dataclass(frozen=True, slots=True)
class StoreTraits:
    """Describe the location, capacity and bandwidth of a context store.

    Each transfer waits for `first_delay` before its first byte.
    """

    address: str
    data_centre: str
    capacity_tokens: int
    link_mbps: float
    is_managed: bool
    first_delay: Millis = 0.0


@dataclass(frozen=True, slots=True)
class ServiceTraits:
    """Describe one service; `engine` and `store` are set for their kinds.

    Its servers are cold for `cold_duration` after a start and then tolerate
    `cold_rate` requests per second; without a rate they are never cold.
    """

    name: str
    cold_duration: Millis = 0.0
    cold_rate: float = 0.0
    engine: EngineTraits | None = None
    store: StoreTraits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the size of callers' request bodies and their idle time."""

    body_bytes: int = 4_194_304
    idle_timeout: Millis = 15_000.0


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """Identify the team that an API key belongs to.

    `team` is empty if its name can't be sent to a server.
    Its calls run in the `allowed_regions` only; an empty set allows all.
    """

    team: str
    is_isolated: bool = False
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Deployment:
    """Hold one version of the complete configuration.

    `has_teams` is set if calls need an API key, also if no team has one left.
    `faults` tell which values could not be applied, and what is allowed in
    their place.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceTraits] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    key_owners: Mapping[str, KeyOwner] = field(default_factory=dict)
    has_teams: bool = False
    faults: tuple[str, ...] = ()

    @cached_property
    def _by_host(self) -> Mapping[str, tuple[Route, ...]]:
        """Map each host to its routes, the longest prefix first."""
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
        """Return the memory of each engine of a service in tokens.

        Return None if the service is unknown or has no engines.
        """
        traits = self.services.get(service)
        if traits is None or traits.engine is None:
            return None
        return traits.engine.memory_tokens

    @cached_property
    def stream_lifetimes(self) -> Mapping[str, Millis]:
        """Map services of resumable streams to how long callers resume them."""
        lifetimes: dict[str, Millis] = {}
        for route in self.routes:
            if route.is_resumable:
                for share in route.shares:
                    known = lifetimes.get(share.service, 0.0)
                    lifetime = route.timeout * _LIFETIME_FACTOR
                    lifetimes[share.service] = max(known, lifetime)
        return lifetimes

    @property
    def stream_routes(self) -> Iterator[StreamRoute]:
        """Yield where each route of resumable streams leads."""
        for route in self.routes:
            if route.is_resumable:
                yield StreamRoute(
                    route.host,
                    route.prefix,
                    frozenset(share.service for share in route.shares),
                    route.timeout * _LIFETIME_FACTOR,
                )

    def needs_key(self, route: Route) -> bool:
        """Return whether calls on a route must carry an API key."""
        return self.has_teams and not route.is_public
