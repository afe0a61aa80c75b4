"""Quarantine requests that repeatedly crash backend servers."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from oleanderdyke.clock import MINUTE, Millis

CRASH_LIMIT = 2
_SEPARATOR = '@'


class QuarantineStatus(enum.StrEnum):
    """Classify a request digest by the crashes recorded against it."""

    CLEAN = 'clean'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Limit the number and lifetime of the digests that a process tracks."""

    capacity: int = 1_000
    expiry: Millis = 30 * MINUTE


@dataclass(slots=True)
class _Record:
    """Hold the crashes of one digest; cleared ones no longer count."""

    since: Millis
    crashes: set[str] = field(default_factory=set)
    cleared: frozenset[str] = frozenset()
    quarantined: bool = False

    @property
    def open_crashes(self) -> set[str]:
        return self.crashes - self.cleared


class Quarantine:
    """Count the crashes of backend servers for each request digest.

    Each entry and each agent has its own; heartbeats exchange `list_suspects`
    and `list_quarantined` between them. A digest is quarantined by its second
    crash, or by a crash while it ran alone. Expired records are kept for the
    same time again so that late heartbeats are ignored; otherwise processes
    would pass an expired digest back and forth for ever.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._records: dict[str, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def record_crash(
        self,
        crash: str,
        digests: Iterable[str],
        now: Millis,
        *,
        alone: bool = False,
    ) -> tuple[str, ...]:
        """Record a crash, by a unique id, of the requests that were running.

        Returns the digests that it quarantined.
        """
        return tuple(
            digest
            for digest in digests
            if self._record_for_digest(digest, crash, now, alone=alone)
        )

    def clear(self, digest: str) -> None:
        """Clear the crashes of a suspect that ran alone without a crash."""
        record = self._records.get(digest)
        if record is not None and not record.quarantined:
            record.cleared = frozenset(record.crashes)

    def get_status(self, digest: str, now: Millis) -> QuarantineStatus:
        """Return the current status of a digest."""
        record = self._records.get(digest)
        if record is None or self._has_expired(record, now):
            return QuarantineStatus.CLEAN
        if record.quarantined:
            return QuarantineStatus.QUARANTINED
        return (
            QuarantineStatus.SUSPECT
            if record.open_crashes
            else QuarantineStatus.CLEAN
        )

    def merge(
        self,
        quarantined: Iterable[str],
        suspects: Iterable[str],
        now: Millis,
    ) -> None:
        """Add the quarantined digests and the suspects from a heartbeat."""
        for digest in quarantined:
            record = self._get_or_create(digest, now)
            if not self._has_expired(record, now):
                record.quarantined = True
        for suspect in suspects:
            digest, _, crash = suspect.partition(_SEPARATOR)
            if not self._has_expired(self._get_or_create(digest, now), now):
                self._add_crash(self._get_or_create(digest, now), crash)

    def list_quarantined(self, now: Millis) -> tuple[str, ...]:
        """List the quarantined digests for a heartbeat."""
        return tuple(
            digest
            for digest in self._records
            if self.get_status(digest, now) is QuarantineStatus.QUARANTINED
        )

    def list_suspects(self, now: Millis) -> tuple[str, ...]:
        """List the suspects as `digest@crash` for a heartbeat."""
        return tuple(
            f'{digest}{_SEPARATOR}{crash}'
            for digest, record in self._records.items()
            if self.get_status(digest, now) is QuarantineStatus.SUSPECT
            for crash in sorted(record.open_crashes)
        )

    def _record_for_digest(
        self, digest: str, crash: str, now: Millis, *, alone: bool
    ) -> bool:
        record = self._records.get(digest)
        if record is not None and self._has_expired(record, now):
            del self._records[digest]
        record = self._get_or_create(digest, now)
        was_quarantined = record.quarantined
        self._add_crash(record, crash)
        record.quarantined = record.quarantined or alone
        return record.quarantined and not was_quarantined

    def _add_crash(self, record: _Record, crash: str) -> None:
        if len(record.open_crashes) < CRASH_LIMIT:
            record.crashes.add(crash)
        if len(record.open_crashes) >= CRASH_LIMIT:
            record.quarantined = True

    def _get_or_create(self, digest: str, now: Millis) -> _Record:
        record = self._records.get(digest)
        if record is None:
            self._make_room(now)
            record = self._records[digest] = _Record(now)
        return record

    def _make_room(self, now: Millis) -> None:
        """Drop records past twice their lifetime; if still full, one more.

        That is the oldest suspect, or the oldest record if there is none.
        """
        cutoff = now - 2 * self._settings.expiry
        for digest in [d for d, r in self._records.items() if r.since < cutoff]:
            del self._records[digest]
        if len(self._records) < self._settings.capacity:
            return
        suspects = (d for d, r in self._records.items() if not r.quarantined)
        del self._records[next(suspects, next(iter(self._records)))]

    def _has_expired(self, record: _Record, now: Millis) -> bool:
        return record.since + self._settings.expiry <= now


def make_quarantine(settings: QuarantineSettings) -> Quarantine:
    """Build a quarantine without records."""
    return Quarantine(settings)
