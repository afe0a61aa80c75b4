"""Decide who owns an idempotency key, from the claims log alone."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.claim_records import (
    CarriedRecord,
    OutcomeRecord,
    Place,
)
from oleanderdyke.links.messages import Claim


@dataclass(frozen=True, slots=True)
class Free:
    """Tell that nobody owns the key."""


@dataclass(frozen=True, slots=True)
class Owned:
    """Tell that the asked claim owns the key."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class OwnedByOther:
    """Tell that an earlier claim with the same request owns the key."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Finished:
    """Tell that the owner's answer is recorded."""

    claim: Claim
    outcome: OutcomeRecord


@dataclass(frozen=True, slots=True)
class Conflict:
    """Tell that the key belongs to a different request."""


Verdict: TypeAlias = Free | Owned | OwnedByOther | Finished | Conflict


class ClaimTable:
    """Apply the claims log in offset order.

    An entry acts on a claim only after it has applied the log through the
    claim's own offset.
    """

    @property
    def next_offset(self) -> int:
        """Return the first offset that has not been applied."""
        raise NotImplementedError

    def apply(self, offset: int, at: Millis, data: bytes) -> None:
        """Apply one log record (a batch); `at` is the log's own time.

        Offsets below `next_offset` are ignored; a gap is allowed, because
        whatever still counts is carried before the log forgets it.
        """
        raise NotImplementedError

    def verdict(self, key: str, digest: str) -> Verdict:
        """Tell what the key is to a request that has no claim of its own."""
        raise NotImplementedError

    def settle(self, claim_id: str, key: str, digest: str) -> Verdict:
        """Tell what became of an own claim that has been read back.

        `Free` means that the claim is not in the log as far as it was read,
        or was withdrawn.
        """
        raise NotImplementedError

    def due_for_carry(
        self, before: Millis, limit: int
    ) -> tuple[CarriedRecord, ...]:
        """List live claims whose latest record is older than a log time."""
        raise NotImplementedError

    def place_of(self, claim_id: str, key: str) -> Place | None:
        """Return the place of an own claim once it has been read."""
        raise NotImplementedError
