"""Decide which backend servers must not get a request now, whatever it costs.

All limits are checked when a server is chosen. What may begin while a
connection is opened is checked again when the request is sent.
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
    """Why no backend server may get a request."""

    UNLISTED = 'no server listed'
    OUTDATED = 'the weights of all servers were replaced too long ago'
    EVACUATED = 'every data centre with servers is being evacuated'
    REGION = 'no server is in a region where the request may run'
    COLD = 'all servers have just started and take few requests'
    LIMITED = 'all servers got the requests that they accept for now'
    BACKOFF = 'all servers asked to retry later'


class EntryView(Protocol):
    """What this entry knows of all entries."""

    def count(self, now: Millis) -> float:
        """Return how many may be alive; never an underestimate."""

    def count_sharing(self, now: Millis) -> float:
        """Return among how many something may be shared."""

    def list_known(self) -> Collection[str]:
        """Return the names of those known to be alive."""


@dataclass
class SendLimits:
    """Limits on what this entry sends, by data centre and by server.

    `regions` gives the region of each data centre, `cold` the limit of each
    service whose servers start cold.
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

        `homes` are the regions where it may run; none means all.
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
        """Return why a server must not get a request now, if it must not."""
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
        # Whoever chose it did not know that others chose it too.
        if backend.limit.is_set and backend.limit.since >= chosen_at:
            return Obstacle.LIMITED
        return None

    def find_next_send_time(
        self, backends: Iterable[Backend], now: Millis
    ) -> Millis:
        """Return when the first of some servers accepts a request again."""
        return min(
            (self._find_send_time(backend, now) for backend in backends),
            default=now,
        )

    def is_in_regions(self, data_centre: str, allowed: Collection[str]) -> bool:
        """Return whether a data centre lies in one of some regions.

        One whose region is not known lies in none.
        """
        return not allowed or self.regions.get(data_centre) in allowed

    def list_data_centres(self, allowed: Collection[str]) -> frozenset[str]:
        """Return the data centres that lie in some regions."""
        return frozenset(
            data_centre
            for data_centre, region in self.regions.items()
            if region in allowed
        )

    def is_cold(self, backend: Backend, now: Millis) -> bool:
        """Return whether a server may have become cold lately.

        Servers may restart unseen during an evacuation of their data centre.
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
        """Return whether this entry's share of a cold server is used up."""
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
