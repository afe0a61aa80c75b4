"""At which services a stream of a route may have begun."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from oleanderdyke.clock import Millis


@dataclass(frozen=True, slots=True)
class StreamRoute:
    """The services to which a route with resumable streams leads.

    Callers may take its streams up for `lifetime`.
    """

    host: str
    prefix: str
    services: frozenset[str]
    lifetime: Millis

    @property
    def key(self) -> tuple[str, str]:
        """Return what names the route in all configurations."""
        return self.host, self.prefix

    def overlaps(self, other: StreamRoute) -> bool:
        """Return whether some paths fit both routes."""
        is_within = self.prefix.startswith(other.prefix)
        return self.host == other.host and (
            is_within or other.prefix.startswith(self.prefix)
        )


@dataclass(slots=True)
class _Known:
    """`left` maps services of before to when their streams have ended.

    Streams may have begun under any lifetime up to `longest`.
    """

    route: StreamRoute
    longest: Millis
    left: dict[str, Millis] = field(default_factory=dict)

    def list_services(self, now: Millis) -> frozenset[str]:
        left = (service for service, until in self.left.items() if until > now)
        return self.route.services | frozenset(left)

    def make_ended(self, ends: Millis) -> _Known:
        """Return the route once it is gone, with streams that live until."""
        left = self.left | dict.fromkeys(self.route.services, ends)
        route = replace(self.route, services=frozenset())
        return _Known(route, self.longest, left)


class RouteServices:
    """Know where routes lead, and where they led while streams of then live.

    `margin` is added to the lifetime of streams.
    """

    def __init__(self, margin: Millis) -> None:
        self._margin = margin
        self._known: dict[tuple[str, str], _Known] = {}
        # Routes that were removed, while their streams live.
        self._gone: dict[tuple[str, str], _Known] = {}

    def configure(self, routes: Iterable[StreamRoute], now: Millis) -> None:
        """Replace the routes by those of a new configuration."""
        before, self._known = self._known, {}
        for route in routes:
            self._known[route.key] = _Known(route, route.lifetime)
        for known in self._known.values():
            for other in (*before.values(), *self._gone.values()):
                if self._may_have_led(known.route, other.route, before):
                    self._inherit(known, other, now)
        self._keep_gone(before, now)

    def find(self, host: str, prefix: str, now: Millis) -> frozenset[str]:
        """Return where streams of a route may have begun, maybe nowhere."""
        known = self._known.get((host, prefix))
        return frozenset() if known is None else known.list_services(now)

    def list_all(self, now: Millis) -> Iterator[frozenset[str]]:
        """Yield the services of each route."""
        for known in self._known.values():
            yield known.list_services(now)

    def _may_have_led(
        self,
        route: StreamRoute,
        other: StreamRoute,
        before: Mapping[tuple[str, str], _Known],
    ) -> bool:
        """Return whether paths of this route were those of another one."""
        has_moved = route.key not in before or other.key not in self._known
        return route.key == other.key or (has_moved and route.overlaps(other))

    def _inherit(self, known: _Known, other: _Known, now: Millis) -> None:
        known.longest = max(known.longest, other.longest)
        ends = now + other.longest + self._margin
        for service in other.route.services - known.route.services:
            known.left[service] = ends
        for service, until in other.left.items():
            known.left[service] = max(until, known.left.get(service, -math.inf))

    def _keep_gone(
        self, before: Mapping[tuple[str, str], _Known], now: Millis
    ) -> None:
        ended = {
            key: known.make_ended(now + known.longest + self._margin)
            for key, known in before.items()
        }
        self._gone = {
            key: known
            for key, known in (self._gone | ended).items()
            if key not in self._known and known.list_services(now)
        }
