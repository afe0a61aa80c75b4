"""Which versions of their software the servers of each service have had."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.route_services import RouteServices

# A version that appears begins streams this much later. By then every entry
# whose list is fresh knows that it serves, and that another one may have gone.
SETTLING_TIME: Millis = 2 * SECOND
# Servers write records at about this period.
_HEARTBEAT: Millis = 1_200.0
# What they may write too soon.
_HEARTBEAT_MARGIN = 1.2
# An entry with an older list that reaches no other begins no streams: its
# servers may have left the lists of all others.
_BEGIN_LIMIT: Millis = 5 * SECOND
# An older list may lack a version that has begun streams elsewhere.
_FRESH_TIME: Millis = 1_800.0
# Entries tell others what they began before their lists get older than that.
_CERTAIN_TIME: Millis = 1_200.0
# Allows for the time that a claim of another entry took to arrive.
_TRANSIT_MARGIN: Millis = 250.0


@dataclass(frozen=True, slots=True)
class SoftwareClaim:
    """Only `software` served a service, from `since` until `read_at`."""

    service: str
    software: str
    since: Millis
    read_at: Millis


@dataclass(slots=True)
class _ServiceHistory:
    """`only` is the version that alone has served since `since`, if any.

    `first_seen` holds the versions of the last list with the service, which was
    read at `listed_at`.
    """

    only: str | None = None
    since: Millis = math.inf
    first_seen: dict[str, Millis] = field(default_factory=dict)
    listed_at: Millis = -math.inf


class SoftwareHistory:
    """Know whether one version of a service can have begun a stream.

    `is_first_start` tells that the system has not run before. Servers write a
    record every `heartbeat`.
    """

    def __init__(
        self, *, is_first_start: bool = False, heartbeat: Millis = _HEARTBEAT
    ) -> None:
        # A server with so many records has been listed for long enough.
        periods = SETTLING_TIME * _HEARTBEAT_MARGIN / max(heartbeat, 1.0)
        self._settled_records = 1 + math.ceil(periods)
        self._begins_at: Millis | None = -math.inf if is_first_start else None
        self._read_at: Millis = -math.inf
        self._services: dict[str, _ServiceHistory] = {}
        self._lifetimes: dict[str, Millis] = {}
        # Kept for services that no route leads to for a while.
        self._longest: dict[str, Millis] = {}
        self.routes = RouteServices(_BEGIN_LIMIT)

    def configure(self, lifetimes: Mapping[str, Millis]) -> None:
        """Set how long streams of services may be taken up.

        Streams that began under longer timeouts may still live.
        """
        self._lifetimes = {
            service: max(lifetime, self._longest.get(service, 0.0))
            for service, lifetime in lifetimes.items()
        }
        self._longest |= self._lifetimes

    @property
    def is_needed(self) -> bool:
        """Return whether streams of any service may be taken up."""
        return bool(self._lifetimes)

    def may_begin(self, now: Millis) -> bool:
        """Return whether an entry that reaches no other may begin streams."""
        return now - self._read_at < _BEGIN_LIMIT

    def record_list(
        self,
        listed: Mapping[str, Mapping[str, int]],
        read_at: Millis,
        received_at: Millis | None = None,
    ) -> None:
        """Record the versions that a complete list of servers names.

        `listed` maps each of a service to the most records that one of its
        servers has written since its start. The list was made after `read_at`
        and before `received_at`, by default at once.
        """
        until = read_at if received_at is None else received_at
        is_first = math.isinf(self._read_at)
        if until - self._read_at > SETTLING_TIME:
            # A version of any service may have come and gone unnoticed.
            for history in self._services.values():
                history.only = None
        for service, softwares in listed.items():
            history = self._services.setdefault(service, _ServiceHistory())
            seen = (
                _find_settled(softwares, self._settled_records)
                if is_first
                else self._find_seen(service, history, until)
            )
            # What is new in a list may be as new as its arrival.
            history.first_seen = {
                software: seen.get(software, until) for software in softwares
            }
            history.listed_at = read_at
            self._record_only(history, softwares, until, is_first=is_first)
        self._read_at = read_at

    def find_only(self, service: str, now: Millis) -> str | None:
        """Return the version that must have begun any stream of a service.

        None if several may have, or if that is not known.
        """
        if now - self._read_at > _FRESH_TIME:
            return None
        return self._find_alone(service, now)

    def find_common(self, services: Collection[str], now: Millis) -> str | None:
        """Return the version that must have begun a stream at any of them."""
        found = {self.find_only(service, now) for service in services}
        return found.pop() if len(found) == 1 else None

    def had_streams(self, service: str) -> bool:
        """Return whether a route with resumable streams ever led there."""
        return service in self._longest

    def list_services(self) -> Collection[str]:
        """Return all services of streams that may be taken up."""
        return self._lifetimes.keys()

    def is_certain(self, now: Millis) -> bool:
        """Return whether one version alone has begun the streams of each."""
        if not self._lifetimes:
            return True
        if now - self._read_at > _CERTAIN_TIME:
            return False
        alone = {
            service: self._find_alone(service, now)
            for service in self._lifetimes
        }
        return None not in alone.values() and all(
            len({alone.get(service) for service in services}) == 1
            for services in self.routes.list_all(now)
        )

    def find_certain_time(self, now: Millis) -> Millis:
        """Return for how long it stays certain without a new list."""
        if not self.is_certain(now):
            return 0.0
        if not self._lifetimes:
            return math.inf
        return self._read_at + _CERTAIN_TIME - now

    def is_asking(self, now: Millis) -> bool:
        """Return whether claims of other entries may make it certain."""
        return any(
            history is not None
            and history.only is not None
            and history.since > now - lifetime - _BEGIN_LIMIT
            for history, lifetime in (
                (self._services.get(service), lifetime)
                for service, lifetime in self._lifetimes.items()
            )
        )

    def find_settling(self, service: str, now: Millis) -> frozenset[str]:
        """Return the versions that may not begin streams yet."""
        history = self._services.get(service)
        if history is None:
            return frozenset()
        return frozenset(
            software
            for software, seen in history.first_seen.items()
            if now - seen < SETTLING_TIME
        )

    def list_claims(self) -> Iterator[SoftwareClaim]:
        """Yield since when a single version has served each service."""
        for service, history in self._services.items():
            if history.only is not None and service in self._lifetimes:
                yield SoftwareClaim(
                    service, history.only, history.since, self._read_at
                )

    def apply_claim(self, claim: SoftwareClaim) -> bool:
        """Extend what is known by another entry's claim; return if it did."""
        history = self._services.get(claim.service)
        if history is None or history.only != claim.software:
            return False
        is_joined = claim.read_at - _TRANSIT_MARGIN >= history.since
        # Smaller gains are differences in transit.
        gain = history.since - claim.since
        if not is_joined or gain < _TRANSIT_MARGIN:
            return False
        history.since = claim.since
        return True

    def _find_seen(
        self, service: str, history: _ServiceHistory, until: Millis
    ) -> Mapping[str, Millis]:
        """Return since when versions have been listed, up to a new list.

        One that had settled may have gone meanwhile. Others conclude that it
        began no streams only once these have ended.
        """
        away = until - history.listed_at
        if away <= SETTLING_TIME:
            return history.first_seen
        lifetime = self._lifetimes.get(service, 0.0)
        if away >= lifetime + _BEGIN_LIMIT:
            return {}
        settled_until = history.listed_at - SETTLING_TIME
        return {
            software: seen
            for software, seen in history.first_seen.items()
            if seen <= settled_until
        }

    def _find_alone(self, service: str, now: Millis) -> str | None:
        history = self._services.get(service)
        lifetime = self._longest.get(service)
        if history is None or lifetime is None:
            return None
        is_old = history.since <= now - lifetime - _BEGIN_LIMIT
        return history.only if is_old else None

    def _record_only(
        self,
        history: _ServiceHistory,
        softwares: Collection[str],
        now: Millis,
        *,
        is_first: bool,
    ) -> None:
        if len(softwares) > 1:
            history.only = None
        elif softwares and history.only not in softwares:
            (history.only,) = softwares
            history.since = now
            if is_first and self._begins_at is not None:
                history.since = self._begins_at


def _find_settled(
    softwares: Mapping[str, int], least: int
) -> dict[str, Millis]:
    """Return the versions of the first list that need not settle any more.

    If none has been listed for long, all servers have started anew together.
    """
    old = {
        software: -math.inf
        for software, records in softwares.items()
        if records >= least
    }
    return old or dict.fromkeys(softwares, -math.inf)
