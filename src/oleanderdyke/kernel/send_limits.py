"""Limits that forbid sending a request to a backend server now.

All limits are checked when a server is chosen. Those that may start while a
connection is opened are checked again when the request is sent.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.cold_starts import ColdLimit
from oleanderdyke.kernel.cold_starts import find_interval as find_cold_interval
from oleanderdyke.kernel.evacuations import Evacuations
from oleanderdyke.kernel.rate_limits import EntryCounts
from oleanderdyke.kernel.rate_limits import (
    find_interval as find_limited_interval,
)
from oleanderdyke.kernel.servers import ServerStart


class Obstacle(enum.StrEnum):
    """Reasons why no backend server may get a request."""

    UNLISTED = 'no server listed'
    LEAVING = 'all listed servers are leaving'
    OUTDATED = 'the weights of all servers were replaced too long ago'
    EVACUATED = 'every data centre with servers is being evacuated'
    REGION = 'no server is in a region where the request may run'
    SOFTWARE = 'no server has the version that began the stream'
    SETTLING = 'servers of the version are too new to begin streams'
    COLD = 'all servers have just started and take few requests'
    LIMITED = 'all servers got the requests that they accept for now'
    BACKOFF = 'all servers asked to retry later'


class EntryView(Protocol):
    """View that this entry has of all entries."""

    def count(self, now: Millis) -> float:
        """Return an upper bound of the number of live entries."""

    def count_sharing(self, now: Millis) -> float:
        """Return the number of entries that share a rate or budget."""

    def list_known(self) -> Collection[str]:
        """Return the names of the entries known to be alive."""


@dataclass
class SendLimits:
    """Limits on the sends of this entry, by data centre and server.

    `regions` maps data centres to regions, `cold_limits` maps services whose
    servers start cold to their limits.
    """

    entry: str
    entries: EntryView
    regions: Mapping[str, str] = field(default_factory=dict)
    evacuations: Evacuations = field(default_factory=Evacuations)
    cold_limits: Mapping[str, ColdLimit] = field(default_factory=dict)

    def find_blocked(
        self, backends: Iterable[Backend], allowed: Collection[str], now: Millis
    ) -> dict[ServerStart, Obstacle]:
        """Return the servers that must not get a request now, and why.

        `allowed` holds the regions where the request may run; empty for all.
        """
        found = {}
        for backend in backends:
            obstacle = self.find_obstacle(backend, allowed, now)
            if obstacle is not None:
                found[backend.record.start] = obstacle
        return found

    def find_obstacle(
        self, backend: Backend, allowed: Collection[str], now: Millis
    ) -> Obstacle | None:
        """Return why a server must not get a request now, None if it may."""
        data_centre = backend.record.data_centre
        if data_centre in self.evacuations.active:
            return Obstacle.EVACUATED
        if not self.is_in_regions(data_centre, allowed):
            return Obstacle.REGION
        if self._is_cold_share_used(backend, now):
            return Obstacle.COLD
        if backend.backoff_until > now:
            return Obstacle.BACKOFF
        if backend.limit.is_set and self._find_send_time(backend, now) > now:
            return Obstacle.LIMITED
        return None

    def find_send_obstacle(
        self, backend: Backend, chosen_at: Millis, now: Millis
    ) -> Obstacle | None:
        """Return what forbids a send since the server was chosen, if any."""
        if backend.record.data_centre in self.evacuations.active:
            return Obstacle.EVACUATED
        if backend.backoff_until > now:
            return Obstacle.BACKOFF
        # The limit was unknown at the choice, and other entries may have chosen
        # the server too.
        if backend.limit.is_set and backend.limit.since >= chosen_at:
            return Obstacle.LIMITED
        return None

    def find_next_send_time(
        self, backends: Iterable[Backend], now: Millis
    ) -> Millis:
        """Return when the first of the servers accepts a request again."""
        return min(
            (self._find_send_time(backend, now) for backend in backends),
            default=now,
        )

    def is_in_regions(self, data_centre: str, allowed: Collection[str]) -> bool:
        """Return whether a data centre lies in one of the allowed regions.

        A data centre of unknown region lies in none.
        """
        return not allowed or self.regions.get(data_centre) in allowed

    def list_data_centres(self, allowed: Collection[str]) -> frozenset[str]:
        """Return the data centres that lie in the allowed regions."""
        return frozenset(
            data_centre
            for data_centre, region in self.regions.items()
            if region in allowed
        )

    def is_cold(self, backend: Backend, now: Millis) -> bool:
        """Return whether a server may have become cold recently.

        During an evacuation of their data centre servers may restart unnoticed.
        """
        limit = self.cold_limits.get(backend.record.service)
        if limit is None:
            return False
        ended = self.evacuations.find_ended(backend.record.data_centre)
        return now < max(backend.cold_until, ended + limit.duration)

    def record_sent(self, backend: Backend, now: Millis) -> None:
        """Record that a request is sent to a server, or is about to be."""
        backend.sent_at = now

    def _find_send_time(self, backend: Backend, now: Millis) -> Millis:
        """Return when a server accepts the next request of this entry."""
        limit = backend.limit
        if not limit.is_set:
            return backend.backoff_until
        interval = find_limited_interval(
            limit.per_second,
            backend.record.server,
            entry=self.entry,
            entries=EntryCounts(
                known=self.entries.list_known(),
                count=self.entries.count(now),
                sharing=self.entries.count_sharing(now),
            ),
        )
        send_time = max(limit.since, backend.sent_at) + interval
        return max(send_time, backend.backoff_until)

    def _is_cold_share_used(self, backend: Backend, now: Millis) -> bool:
        """Return whether this entry has used its share of a cold server."""
        limit = self.cold_limits.get(backend.record.service)
        if limit is None or not self.is_cold(backend, now):
            return False
        interval = find_cold_interval(
            limit,
            backend.record.server,
            entry=self.entry,
            known=self.entries.list_known(),
            count=self.entries.count(now),
        )
        return math.isinf(interval) or now - backend.sent_at < interval
