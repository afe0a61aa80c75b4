"""Keep a request that crashes backend servers from doing it again."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from oleanderdyke.clock import MINUTE, Millis


class Standing(enum.StrEnum):
    """Name what is held against a request digest."""

    CLEAN = 'clean'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Bound what a process remembers of crashes."""

    capacity: int = 1_000
    expiry: Millis = 30 * MINUTE


class Quarantine:
    """Count the crashes of backend servers for each request digest.

    An entry and an agent each have one; heartbeats carry `list_suspects` and
    `list_quarantined` between them.
    """

    def note_crash(
        self, crash: str, digests: Iterable[str], now: Millis
    ) -> tuple[str, ...]:
        """Count a crash with a unique name; return what it quarantined."""
        raise NotImplementedError

    def clear(self, digest: str) -> None:
        """Clear a suspect that ran alone and was served."""
        raise NotImplementedError

    def find_standing(self, digest: str, now: Millis) -> Standing:
        """Tell what is held against a digest."""
        raise NotImplementedError

    def merge(
        self,
        quarantined: Iterable[str],
        suspects: Iterable[str],
        now: Millis,
    ) -> None:
        """Take over what a heartbeat tells."""
        raise NotImplementedError

    def list_quarantined(self, now: Millis) -> tuple[str, ...]:
        """List the quarantined digests for a heartbeat."""
        raise NotImplementedError

    def list_suspects(self, now: Millis) -> tuple[str, ...]:
        """List `digest:crash` of the suspects for a heartbeat."""
        raise NotImplementedError


def make_quarantine(settings: QuarantineSettings) -> Quarantine:
    """Build an empty quarantine."""
    raise NotImplementedError
