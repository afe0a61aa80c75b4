"""Decide which starts of streams this entry tells the others."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.software_history import (
    SoftwareClaim,
    SoftwareHistory,
)
from oleanderdyke.kernel.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    StreamStart,
    hash_stream,
)

# Links to other data centres stay open for this long after they were needed.
_LINGER: Millis = 10 * SECOND


@dataclass(frozen=True, slots=True)
class PendingStart:
    """A start to pass on to all links but its `source`, None if it is own."""

    start: StreamStart
    source: Hashable | None


class StreamSharing:
    """Share starts of streams while several versions may serve.

    While one version of each service has served for longer than any stream
    lasts, every entry knows the origin of all streams, and nothing is sent.
    """

    def __init__(
        self, origins: StreamOrigins, history: SoftwareHistory
    ) -> None:
        self.origins = origins
        self.history = history
        self._pending: list[PendingStart] = []
        self._is_sharing = False
        self._active_until: Millis = 0.0

    @property
    def has_pending(self) -> bool:
        """Return whether there are starts to send."""
        return bool(self._pending)

    def is_active(self, now: Millis) -> bool:
        """Return whether entries have lately had starts to tell."""
        return now < self._active_until

    def find_origin(
        self, team: str, request: str, now: Millis
    ) -> StreamOrigin | None:
        """Return where a stream began, None if this entry doesn't know."""
        return self.origins.find(hash_stream(team, request), now)

    def begin(self, start: StreamStart, now: Millis) -> None:
        """Record a stream whose first event this entry passes on."""
        self.update(now)
        if self.origins.record(start, now, is_own=True) and self._is_sharing:
            self._pending.append(PendingStart(start, None))

    def receive(
        self, starts: Iterable[StreamStart], source: Hashable, now: Millis
    ) -> None:
        """Record what another entry told, to be passed on if it is new."""
        for start in starts:
            if self.origins.record(start, now):
                self._pending.append(PendingStart(start, source))
                self._active_until = now + _LINGER

    def update(self, now: Millis) -> bool:
        """Return whether this entry shares starts, of earlier streams too."""
        was_sharing = self._is_sharing
        self._is_sharing = not self.history.is_certain(now)
        if self._is_sharing:
            self._active_until = now + _LINGER
        if self._is_sharing and not was_sharing:
            self._pending += [
                PendingStart(start, None)
                for start in self.origins.list_live(now, is_own=True)
            ]
        return self._is_sharing

    def take_pending(self) -> list[PendingStart]:
        """Return the starts to send, once each."""
        pending, self._pending = self._pending, []
        return pending

    def apply_claims(self, claims: Iterable[SoftwareClaim]) -> bool:
        """Extend the history by claims of another entry; return if it did."""
        applied = [self.history.apply_claim(claim) for claim in claims]
        return any(applied)


def make_stream_sharing(history: SoftwareHistory) -> StreamSharing:
    """Return the sharing of an entry that has begun no stream yet."""
    return StreamSharing(StreamOrigins(), history)
