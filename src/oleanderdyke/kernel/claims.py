"""Determine the owner of each idempotency key from the claims log alone."""

from __future__ import annotations

import sys
from collections import deque
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import HOUR, Millis
from oleanderdyke.kernel.claim_records import (
    ClaimRecord,
    ClaimsRecord,
    OutcomeRecord,
    Place,
    ReleaseRecord,
    RenewalRecord,
    WithdrawRecord,
    decode_batch,
    encode_batch,
    make_claim,
)
from oleanderdyke.links.messages.claims import Claim


@dataclass(frozen=True, slots=True)
class Free:
    """The key has no owner."""


@dataclass(frozen=True, slots=True)
class Owned:
    """The given claim owns the key."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class OwnedByOther:
    """An earlier claim for the same request owns the key."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Finished:
    """The owner's answer is recorded."""

    claim: Claim
    outcome: OutcomeRecord


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key belongs to a different request."""


Verdict: TypeAlias = Free | Owned | OwnedByOther | Finished | Conflict


# Expired state is kept this much longer. Readers agree as long as no append
# takes effect later than this and log time steps back by no more.
EXPIRY_MARGIN = 1 * HOUR


@dataclass(slots=True)
class _Slot:
    """Hold the claim that owns one key, without nested objects."""

    key: str
    offset: int
    position: int
    at: Millis
    last_record_at: Millis
    horizon: Millis
    digest: str
    agent: str
    incarnation: str
    beat: int
    appender: str
    claim_id: str
    outcome: bytes | None = None
    unconfirmed: bool = False

    @property
    def place(self) -> Place:
        return Place(self.offset, self.position)

    @property
    def expires(self) -> Millis:
        return self.at + self.horizon

    def finish(self, outcome: OutcomeRecord) -> None:
        """Store the outcome; a finished claim no longer needs its id."""
        self.outcome = encode_batch([outcome])
        self.claim_id = ''


class ClaimTable:
    """Maintain the owners of keys by applying the claims log in offset order.

    An entry acts on a claim only after applying the log through the claim's
    own offset. After its start and after each gap, it acts on no claim until
    it has read the log to its end once. The state of a key depends only on
    the records and their log times, so all readers agree.
    """

    def __init__(self) -> None:
        self._slots: dict[str, _Slot] = {}
        # For each horizon, the slots in the order of their claims.
        self._expiring: dict[Millis, deque[_Slot]] = {}
        # Places of released claims and ids of withdrawn claims.
        self._revoked: set[str | Place] = set()
        self._revoked_order: deque[tuple[Millis, str | Place]] = deque()
        self._next = 0
        self._read_from = 0
        self._target: int | None = None
        self._time: Millis = 0.0

    def __len__(self) -> int:
        return len(self._slots)

    @property
    def next_offset(self) -> int:
        """Return the first offset that has not been applied yet."""
        return self._next

    @property
    def caught_up(self) -> bool:
        """Return whether the log was read to its end since a start or gap."""
        return self._target is not None and self._next >= self._target

    @property
    def log_time(self) -> Millis:
        """Return the latest log time among the applied records."""
        return self._time

    def set_catch_up_target(self, end: int) -> None:
        """Set the log's end, to which the table must read to catch up.

        Only the first end given after the start or a gap counts.
        """
        if self._target is None:
            self._target = end

    def apply(self, offset: int, at: Millis, data: bytes) -> None:
        """Apply one log record, which is a batch; `at` is its log time.

        Offsets below `next_offset` are ignored. A gap resets the table, since
        a claim or a release may have been missed; renewal records restore the
        live claims.
        """
        if offset < self._next:
            return
        if offset > self._next:
            self._reset(offset)
        for position, record in enumerate(decode_batch(data)):
            if record is not None:
                self._apply_record(record, Place(offset, position), at)
        self._next = offset + 1
        self._time = max(self._time, at)
        self._remove_expired()

    def get_verdict(self, key: str, digest: str) -> Verdict:
        """Return the state of the key for a request without its own claim."""
        slot = self._slots.get(key)
        if slot is None or slot.expires <= self._time:
            return Free()
        if slot.digest != digest:
            return Conflict()
        claim = _read_claim(slot)
        if slot.outcome is not None:
            return Finished(claim, _unpack_outcome(slot.outcome))
        return OwnedByOther(claim)

    def get_claim_verdict(
        self, claim_id: str, key: str, digest: str
    ) -> Verdict:
        """Return the state of the key for the request that appended a claim.

        `Free` means that the claim is not in the log as far as it was read,
        that it was withdrawn, or that the table has not caught up.
        """
        if not self.caught_up:
            return Free()
        verdict = self.get_verdict(key, digest)
        if not isinstance(verdict, OwnedByOther):
            return verdict
        if self._slots[key].claim_id != claim_id:
            return verdict
        return Owned(verdict.claim)

    def list_due_renewals(
        self, before: Millis, limit: int
    ) -> tuple[RenewalRecord, ...]:
        """List up to `limit` live claims last recorded before a log time."""
        due: list[RenewalRecord] = []
        for slot in self._slots.values():
            if slot.last_record_at >= before or len(due) >= limit:
                break
            if not slot.unconfirmed and slot.expires > self._time:
                due.append(self._make_renewal(slot))
        return tuple(due)

    def _reset(self, offset: int) -> None:
        self._slots.clear()
        self._expiring.clear()
        self._read_from = offset
        self._target = None

    def _apply_record(
        self, record: ClaimsRecord, place: Place, at: Millis
    ) -> None:
        match record:
            case ClaimRecord():
                self._apply_claim(record, place, at)
            case ReleaseRecord():
                self._apply_release(record, at)
            case WithdrawRecord():
                self._apply_withdrawal(record, at)
            case OutcomeRecord():
                self._apply_outcome(record)
            case RenewalRecord():
                self._apply_renewal(record, at)

    def _apply_claim(
        self, record: ClaimRecord, place: Place, at: Millis
    ) -> None:
        if record.claim_id in self._revoked:
            return
        slot = self._slots.get(record.key)
        if slot is not None and at < slot.expires:
            return
        self._put(_make_slot(record, place, at))

    def _apply_release(self, record: ReleaseRecord, at: Millis) -> None:
        """Free the key, and revoke the claim even if it was not read here.

        A renewal record of the claim may still follow.
        """
        place = Place(record.offset, record.index)
        slot = self._find_unfinished(record.key)
        self._revoke(place, at)
        if slot is None or slot.place != place:
            return
        if slot.incarnation == record.incarnation:
            del self._slots[record.key]

    def _apply_withdrawal(self, record: WithdrawRecord, at: Millis) -> None:
        slot = self._find_unfinished(record.key)
        if slot is not None and slot.claim_id == record.claim_id:
            del self._slots[record.key]
        self._revoke(record.claim_id, at)

    def _apply_outcome(self, record: OutcomeRecord) -> None:
        slot = self._slots.get(record.key)
        if slot is None or slot.outcome is not None:
            return
        if slot.place == (record.offset, record.index):
            slot.finish(record)

    def _apply_renewal(self, record: RenewalRecord, at: Millis) -> None:
        claim = record.claim
        place = Place(record.offset, record.index)
        if claim.claim_id in self._revoked or place in self._revoked:
            return
        if at >= record.at + claim.horizon:
            return
        slot = self._slots.get(claim.key)
        if slot is not None and slot.place == place:
            self._renew(slot, record, at)
        elif self._may_replace(slot, record):
            self._restore(record, place, at)

    def _may_replace(self, slot: _Slot | None, record: RenewalRecord) -> bool:
        """Return whether a renewed claim may replace another in the slot.

        If this table has applied every record after `through`, it would have
        seen the renewed claim end, so that claim is still the owner.
        """
        if slot is None or slot.unconfirmed:
            return True
        if slot.at >= record.at + record.claim.horizon:
            return False
        return self._has_read_since(record)

    def _has_read_since(self, record: RenewalRecord) -> bool:
        return record.through + 1 >= self._read_from

    def _restore(self, record: RenewalRecord, place: Place, at: Millis) -> None:
        slot = _make_slot(record.claim, place, record.at)
        slot.unconfirmed = not self._has_read_since(record)
        slot.last_record_at = at
        if record.outcome is not None:
            slot.finish(record.outcome)
        self._put(slot)

    def _renew(self, slot: _Slot, record: RenewalRecord, at: Millis) -> None:
        slot.last_record_at = at
        slot.unconfirmed = slot.unconfirmed and not self._has_read_since(record)
        if slot.outcome is None and record.outcome is not None:
            slot.finish(record.outcome)
        # Slots are ordered by their latest record.
        self._slots[slot.key] = self._slots.pop(slot.key)

    def _put(self, slot: _Slot) -> None:
        self._slots.pop(slot.key, None)
        self._slots[slot.key] = slot
        self._expiring.setdefault(slot.horizon, deque()).append(slot)

    def _find_unfinished(self, key: str) -> _Slot | None:
        slot = self._slots.get(key)
        if slot is None or slot.unconfirmed or slot.outcome is not None:
            return None
        return slot

    def _revoke(self, name: str | Place, at: Millis) -> None:
        if name not in self._revoked:
            self._revoked.add(name)
            self._revoked_order.append((at, name))

    def _remove_expired(self) -> None:
        for expiring in self._expiring.values():
            while expiring and self._is_past(expiring[0].expires):
                slot = expiring.popleft()
                if self._slots.get(slot.key) is slot:
                    del self._slots[slot.key]
        while self._revoked_order and self._is_past(self._revoked_order[0][0]):
            self._revoked.discard(self._revoked_order.popleft()[1])

    def _is_past(self, at: Millis) -> bool:
        return at + EXPIRY_MARGIN <= self._time

    def _make_renewal(self, slot: _Slot) -> RenewalRecord:
        outcome = None
        if slot.outcome is not None:
            outcome = _unpack_outcome(slot.outcome)
        return RenewalRecord(
            claim=_make_record(slot),
            offset=slot.offset,
            index=slot.position,
            at=slot.at,
            through=self._next - 1,
            outcome=outcome,
        )


def _make_slot(record: ClaimRecord, place: Place, at: Millis) -> _Slot:
    return _Slot(
        key=record.key,
        offset=place.offset,
        position=place.position,
        at=at,
        last_record_at=at,
        horizon=record.horizon,
        digest=record.digest,
        agent=sys.intern(record.agent),
        incarnation=sys.intern(record.incarnation),
        beat=record.beat,
        appender=sys.intern(record.appender),
        claim_id=record.claim_id,
    )


def _make_record(slot: _Slot) -> ClaimRecord:
    return ClaimRecord(
        key=slot.key,
        digest=slot.digest,
        agent=slot.agent,
        incarnation=slot.incarnation,
        beat=slot.beat,
        appender=slot.appender,
        claim_id=slot.claim_id,
        horizon=slot.horizon,
    )


def _read_claim(slot: _Slot) -> Claim:
    return make_claim(_make_record(slot), slot.place)


def _unpack_outcome(data: bytes) -> OutcomeRecord:
    record = decode_batch(data)[0]
    if not isinstance(record, OutcomeRecord):
        raise TypeError(f'expected OutcomeRecord, got {type(record).__name__}')
    return record
