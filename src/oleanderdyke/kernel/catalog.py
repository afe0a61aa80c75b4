"""Hold the configuration as the log ordered it."""

from __future__ import annotations

import hashlib
import sys
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from oleanderdyke.kernel.objects import (
    Change,
    Labels,
    ObjectKind,
    StoredObject,
    matches_selector,
)
from oleanderdyke.kernel.records import (
    PackedChange,
    SnapshotChunk,
    UnreadableRecord,
    decode_record,
    encode_change,
    encode_chunk,
)
from oleanderdyke.kernel.snapshots import (
    START_OFFSET,
    Applied,
    LoadedSnapshot,
    Outcome,
    Rejected,
    RejectionReason,
    Row,
    State,
    encode_snapshot,
    load_snapshot,
)
from oleanderdyke.kernel.specs import (
    PACKED_LIMIT,
    InvalidSpec,
    find_faults,
    unpack_spec,
)
from oleanderdyke.kernel.tokens import TokenIndex

__all__ = (
    'START_OFFSET',
    'Applied',
    'Catalog',
    'ObjectPage',
    'Outcome',
    'Rejected',
    'RejectionReason',
)

_TAIL_COUNT = 1_024
_TAIL_BYTES = 1024 * 1024
_CACHE = 512
_SCAN = 500
_ABSENT = 0
_DIGEST_BYTES = 32


@dataclass(frozen=True, slots=True)
class ObjectPage:
    """Hold objects in order of name; `after` continues, empty at the end."""

    objects: tuple[StoredObject, ...]
    after: str = ''


class Catalog:
    """Apply records in offset order and answer what is configured.

    `offset` is the offset of the last applied record, -1 before the first.
    """

    def __init__(self) -> None:
        self.offset = START_OFFSET
        self.skipped = 0
        self.skipped_reason = ''
        self._state = State()
        self._tail: deque[tuple[int, bytes]] = deque()
        self._tail_bytes = 0
        self._cache: dict[tuple[ObjectKind, str], StoredObject] = {}

    def apply(self, offset: int, change: Change) -> Outcome:
        """Apply a change at the next offset."""
        outcome = self.apply_record(offset, encode_change(change))
        if outcome is None:
            raise ValueError('the change is too long for a record')
        return outcome

    def apply_record(self, offset: int, data: bytes) -> Outcome | None:
        """Apply any record at the next offset; None where it is no change."""
        if offset != self.offset + 1:
            raise ValueError(f'offset {offset} does not follow {self.offset}')
        record = decode_record(data)
        outcome = None
        if isinstance(record, PackedChange):
            outcome = self._settle(offset, record)
        elif isinstance(record, UnreadableRecord):
            self.skipped += 1
            self.skipped_reason = f'offset {offset}: {record.reason}'
        elif isinstance(record, SnapshotChunk):
            # A peer needs its place in the log only, not the whole state.
            data = encode_chunk(replace(record, items=b'', digest=b''))
        self.offset = offset
        self._keep(offset, data)
        return outcome

    def get(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Return an object by name."""
        key = (kind, name)
        if key in self._cache:
            return self._cache[key]
        row = self._state.rows[kind].get(name)
        if row is None:
            return None
        if len(self._cache) >= _CACHE:
            self._cache.clear()
        self._cache[key] = _unpack(kind, name, row)
        return self._cache[key]

    def list(
        self, kind: ObjectKind, selector: Labels | None = None
    ) -> tuple[StoredObject, ...]:
        """Return the objects of a kind in order of name."""
        rows = self._state.rows[kind]
        # A few objects are read again and again, many would flood the cache.
        cached = len(rows) < _CACHE // len(ObjectKind)
        found = (
            self.get(kind, name) if cached else _unpack(kind, name, rows[name])
            for name in sorted(rows)
        )
        return tuple(_filter(found, selector))

    def list_page(
        self,
        kind: ObjectKind,
        selector: Labels | None = None,
        *,
        after: str = '',
        limit: int = _SCAN,
    ) -> ObjectPage:
        """Look at a bounded number of objects after a name."""
        rows = self._state.rows[kind]
        names = sorted(name for name in rows if name > after)
        chosen = names[:limit]
        found = (_unpack(kind, name, rows[name]) for name in chosen)
        more = chosen[-1] if len(names) > len(chosen) else ''
        return ObjectPage(tuple(_filter(found, selector)), more)

    def list_outcomes(self, after: int) -> tuple[Outcome, ...]:
        """Return the recent outcomes of records after an offset."""
        return tuple(
            outcome
            for outcome in self._state.outcomes.values()
            if outcome.offset > after
        )

    def count(self, kind: ObjectKind) -> int:
        """Count the objects of a kind."""
        return len(self._state.rows[kind])

    def find_team(self, token_hash: str) -> StoredObject | None:
        """Return the team of a token's hex SHA-256 digest."""
        return self._find_holder(self._state.tokens, 'token_hashes', token_hash)

    def find_administered_team(self, token_hash: str) -> StoredObject | None:
        """Return the team that a token may administer."""
        return self._find_holder(
            self._state.admin_tokens, 'admin_token_hashes', token_hash
        )

    def find_outcome(self, record_id: str) -> Outcome | None:
        """Return what became of a recent record."""
        return self._state.outcomes.get(record_id)

    def history(self, kind: ObjectKind, name: str) -> tuple[Outcome, ...]:
        """Return the recent outcomes for one object, oldest first.

        The change in force is always there, however long ago it was.
        """
        found = tuple(
            outcome
            for outcome in self._state.outcomes.values()
            if outcome.kind == kind and outcome.name == name
        )
        row = self._state.rows[kind].get(name)
        if row is None or any(item.offset == row.offset for item in found):
            return found
        return (_recall(kind, name, row), *found)

    def iterate_snapshot(self) -> Iterator[bytes]:
        """Encode the state as records; equal at equal offsets.

        The chunks show the state at the call, whatever is applied meanwhile.
        """
        return encode_snapshot(self.offset, self._state)

    def snapshot(self) -> tuple[bytes, ...]:
        """Return every chunk of the snapshot at once."""
        return tuple(self.iterate_snapshot())

    def restore(self, chunks: Sequence[bytes]) -> bool:
        """Take over a whole snapshot that is ahead; else change nothing."""
        loaded = load_snapshot(chunks)
        return loaded is not None and self.replace_state(loaded)

    def replace_state(self, loaded: LoadedSnapshot) -> bool:
        """Take over a loaded snapshot that is ahead; else change nothing."""
        if loaded.through <= self.offset:
            return False
        self.offset = loaded.through
        self._state = loaded.state
        self._tail.clear()
        self._tail_bytes = 0
        self._cache.clear()
        return True

    def difference(self, after: int) -> tuple[tuple[int, bytes], ...] | None:
        """Return the records after an offset; None where not held."""
        if after >= self.offset:
            return ()
        if not self._tail or self._tail[0][0] > after + 1:
            return None
        return tuple(item for item in self._tail if item[0] > after)

    def digest(self) -> bytes:
        """Identify the state; equal at equal offsets."""
        digest = hashlib.blake2b(digest_size=16)
        for chunk in self.iterate_snapshot():
            digest.update(chunk)
        return digest.digest()

    def _keep(self, offset: int, data: bytes) -> None:
        self._tail.append((offset, data))
        self._tail_bytes += len(data)
        while self._tail and (
            len(self._tail) > _TAIL_COUNT or self._tail_bytes > _TAIL_BYTES
        ):
            self._tail_bytes -= len(self._tail.popleft()[1])

    def _find_holder(
        self, index: TokenIndex, field: str, token_hash: str
    ) -> StoredObject | None:
        try:
            digest = bytes.fromhex(token_hash)
        except ValueError:
            return None
        if len(digest) != _DIGEST_BYTES:
            return None
        for name in index.get(digest):
            team = self.get(ObjectKind.TEAM, name)
            if team is not None and token_hash in getattr(team.spec, field):
                return team
        return None

    def _settle(self, offset: int, change: PackedChange) -> Outcome:
        known = self._state.outcomes.get(change.record_id)
        if known is not None:
            return known
        loss = self._find_loss(change)
        if loss is None:
            outcome = self._put(offset, change)
        else:
            outcome = self._lose(offset, change, *loss)
        self._state.remember(outcome)
        return outcome

    def _find_loss(
        self, change: PackedChange
    ) -> tuple[RejectionReason, str] | None:
        fault = _find_fault(change)
        if fault:
            return RejectionReason.INVALID, fault
        row = self._state.rows[change.kind].get(change.name)
        generation = _ABSENT if row is None else row.generation
        if generation != change.expected:
            detail = f'expected {change.expected}, found {generation}'
            return RejectionReason.GENERATION, detail
        if row is None and change.spec is None:
            return RejectionReason.ABSENT, 'there is no such object'
        if self._takes_token(change):
            detail = 'a token hash belongs to another team'
            return RejectionReason.TOKEN_TAKEN, detail
        return None

    def _takes_token(self, change: PackedChange) -> bool:
        if change.kind is not ObjectKind.TEAM or change.spec is None:
            return False
        owners = self._state.find_owners(change.spec)
        return any(owner not in {'', change.name} for owner in owners)

    def _put(self, offset: int, change: PackedChange) -> Outcome:
        state = self._state
        rows = state.rows[change.kind]
        old = rows.pop(change.name, None)
        self._cache.pop((change.kind, change.name), None)
        if old is not None and change.kind is ObjectKind.TEAM:
            state.drop_tokens(change.name, old.packed)
        generation = (state.floor if old is None else old.generation) + 1
        if change.spec is None:
            state.floor = max(state.floor, generation)
        else:
            operator = sys.intern(change.operator)
            rows[change.name] = Row(
                generation, offset, change.at, operator, change.spec
            )
            if change.kind is ObjectKind.TEAM:
                state.add_tokens(change.name, change.spec)
        return Applied(
            change.record_id,
            change.operator,
            change.kind,
            change.name,
            offset,
            change.at,
            generation,
            change.spec is None,
        )

    def _lose(
        self,
        offset: int,
        change: PackedChange,
        reason: RejectionReason,
        detail: str,
    ) -> Rejected:
        row = self._state.rows[change.kind].get(change.name)
        return Rejected(
            change.record_id,
            change.operator,
            change.kind,
            change.name,
            offset,
            change.at,
            _ABSENT if row is None else row.generation,
            reason,
            detail,
            self._find_winner(change, row),
        )

    def _find_winner(self, change: PackedChange, row: Row | None) -> str:
        if row is not None:
            return row.operator
        past = self.history(change.kind, change.name)
        changes = [item for item in past if isinstance(item, Applied)]
        return changes[-1].operator if changes else ''


def _find_fault(change: PackedChange) -> str:
    if not change.record_id or not change.operator:
        return 'record_id or operator is empty'
    if change.spec is not None and len(change.spec) > PACKED_LIMIT:
        return f'the spec is longer than {PACKED_LIMIT} bytes'
    try:
        spec = None
        if change.spec is not None:
            spec = unpack_spec(change.kind, change.spec)
    except InvalidSpec as error:
        return f'the spec: {error}'
    return '; '.join(find_faults(change.name, spec))


def _unpack(kind: ObjectKind, name: str, row: Row) -> StoredObject:
    spec = unpack_spec(kind, row.packed)
    return StoredObject(kind, name, row.generation, spec)


def _filter(
    objects: Iterator[StoredObject | None], selector: Labels | None
) -> Iterator[StoredObject]:
    wanted = selector or {}
    for item in objects:
        if item is not None and matches_selector(wanted, item.spec.labels):
            yield item


def _recall(kind: ObjectKind, name: str, row: Row) -> Applied:
    return Applied(
        '', row.operator, kind, name, row.offset, row.at, row.generation
    )
