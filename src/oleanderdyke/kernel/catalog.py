"""Hold the configuration as the log ordered it."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.objects import (
    Change,
    Labels,
    ObjectKind,
    StoredObject,
)

START_OFFSET = -1


@dataclass(frozen=True, slots=True)
class Applied:
    """Tell that a change is in force, and since which offset."""

    record_id: str
    operator: str
    kind: ObjectKind
    name: str
    offset: int
    at: Millis
    generation: int
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """Tell why a change is not in force, and who changed the object last."""

    record_id: str
    operator: str
    kind: ObjectKind
    name: str
    offset: int
    at: Millis
    generation: int
    reason: str
    winner: str = ''


Outcome: TypeAlias = Applied | Lost


class Catalog:
    """Apply changes in offset order and answer what is configured.

    `offset` is the offset of the last applied record, -1 before the first.
    """

    offset: int = START_OFFSET

    def apply(self, offset: int, change: Change) -> Outcome:
        """Apply the change at the next offset."""
        raise NotImplementedError

    def apply_record(self, offset: int, data: bytes) -> Outcome | None:
        """Apply any record at the next offset; None where it is no change."""
        raise NotImplementedError

    def get(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Return an object by name."""
        raise NotImplementedError

    def list(
        self, kind: ObjectKind, selector: Labels | None = None
    ) -> tuple[StoredObject, ...]:
        """Return the objects of a kind in order of name."""
        raise NotImplementedError

    def find_team(self, token_hash: str) -> StoredObject | None:
        """Return the team of a token's hex SHA-256 digest."""
        raise NotImplementedError

    def find_administered(self, token_hash: str) -> StoredObject | None:
        """Return the team that a token may administer."""
        raise NotImplementedError

    def find_outcome(self, record_id: str) -> Outcome | None:
        """Return what became of a recent record."""
        raise NotImplementedError

    def history(self, kind: ObjectKind, name: str) -> tuple[Outcome, ...]:
        """Return the recent outcomes for one object, oldest first."""
        raise NotImplementedError

    def iterate_snapshot(self) -> Iterator[bytes]:
        """Encode the state as records; equal at equal offsets."""
        raise NotImplementedError

    def snapshot(self) -> tuple[bytes, ...]:
        """Return every chunk of the snapshot at once."""
        return tuple(self.iterate_snapshot())

    def restore(self, chunks: Sequence[bytes]) -> bool:
        """Take over a whole snapshot that is ahead; else change nothing."""
        raise NotImplementedError

    def difference(self, after: int) -> tuple[tuple[int, bytes], ...] | None:
        """Return the records after an offset; None where not held."""
        raise NotImplementedError

    def digest(self) -> bytes:
        """Identify the state; equal at equal offsets."""
        raise NotImplementedError
