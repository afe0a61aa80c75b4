"""Hold the configuration that results from the log's records in order."""

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

_RECENT_LIMIT = 1_024
_RECENT_BYTES_LIMIT = 1024 * 1024
_CACHE_SIZE = 512
_PAGE_SIZE = 500
_NO_GENERATION = 0
_DIGEST_BYTES = 32


@dataclass(frozen=True, slots=True)
class ObjectPage:
    """Hold one page of objects, sorted by name.

    `after` is the name to continue from, empty on the last page.
    """

    objects: tuple[StoredObject, ...]
    after: str = ''


class Catalog:
    """Apply the log's records in offset order and answer queries.

    `offset` is the offset of the last applied record, -1 before the first.
    `skipped` counts unreadable records; `skipped_reason` describes the last.
    """

    def __init__(self) -> None:
        self.offset = START_OFFSET
        self.skipped = 0
        self.skipped_reason = ''
        self._state = State()
        self._recent: deque[tuple[int, bytes]] = deque()
        self._recent_bytes = 0
        self._cache: dict[tuple[ObjectKind, str], StoredObject] = {}

    def apply(self, offset: int, change: Change) -> Outcome:
        """Apply a change at the next offset.

        Raise ValueError for any other offset, or if the change is too long.
        """
        outcome = self.apply_record(offset, encode_change(change))
        if outcome is None:
            raise ValueError('the encoded change exceeds the record limit')
        return outcome

    def apply_record(self, offset: int, data: bytes) -> Outcome | None:
        """Apply any record at the next offset.

        Return the outcome of a change, None for any other record. Raise
        ValueError unless the offset follows the last one.
        """
        if offset != self.offset + 1:
            raise ValueError(f'offset {offset} does not follow {self.offset}')
        record = decode_record(data)
        outcome = None
        if isinstance(record, PackedChange):
            outcome = self._apply_change(offset, record)
        elif isinstance(record, UnreadableRecord):
            self.skipped += 1
            self.skipped_reason = f'offset {offset}: {record.reason}'
        elif isinstance(record, SnapshotChunk):
            # Peers only need the chunk's offset, so its content is dropped.
            data = encode_chunk(replace(record, items=b'', digest=b''))
        self.offset = offset
        self._add_recent(offset, data)
        return outcome

    def get(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Return an object by name, None if there is none."""
        key = (kind, name)
        if key in self._cache:
            return self._cache[key]
        row = self._state.rows[kind].get(name)
        if row is None:
            return None
        if len(self._cache) >= _CACHE_SIZE:
            self._cache.clear()
        self._cache[key] = _unpack_object(kind, name, row)
        return self._cache[key]

    def list(
        self, kind: ObjectKind, selector: Labels | None = None
    ) -> tuple[StoredObject, ...]:
        """Return the objects that match a selector, sorted by name."""
        rows = self._state.rows[kind]
        # A long list would evict everything else from the cache.
        cached = len(rows) < _CACHE_SIZE // len(ObjectKind)
        found = (
            self.get(kind, name)
            if cached
            else _unpack_object(kind, name, rows[name])
            for name in sorted(rows)
        )
        return tuple(_filter(found, selector))

    def list_page(
        self,
        kind: ObjectKind,
        selector: Labels | None = None,
        *,
        after: str = '',
        limit: int = _PAGE_SIZE,
    ) -> ObjectPage:
        """Return the matches among the next `limit` objects after a name.

        A page may be empty although more pages follow.
        """
        rows = self._state.rows[kind]
        names = sorted(name for name in rows if name > after)
        chosen = names[:limit]
        found = (_unpack_object(kind, name, rows[name]) for name in chosen)
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
        """Return the team that a token, given as hex SHA-256, belongs to."""
        return self._find_token_team(
            self._state.tokens, 'token_hashes', token_hash
        )

    def find_administered_team(self, token_hash: str) -> StoredObject | None:
        """Return the team that a token, given as hex SHA-256, administers."""
        return self._find_token_team(
            self._state.admin_tokens, 'admin_token_hashes', token_hash
        )

    def find_outcome(self, record_id: str) -> Outcome | None:
        """Return the outcome of a recent change by its record id."""
        return self._state.outcomes.get(record_id)

    def history(self, kind: ObjectKind, name: str) -> tuple[Outcome, ...]:
        """Return the recent outcomes for one object, oldest first.

        The change in force is always included, however old it is.
        """
        found = tuple(
            outcome
            for outcome in self._state.outcomes.values()
            if outcome.kind == kind and outcome.name == name
        )
        row = self._state.rows[kind].get(name)
        if row is None or any(item.offset == row.offset for item in found):
            return found
        return (_make_outcome(kind, name, row), *found)

    def iterate_snapshot(self) -> Iterator[bytes]:
        """Encode the state as records, which are equal at equal offsets.

        The chunks hold the state at the time of the call, even if records are
        applied during the iteration.
        """
        return encode_snapshot(self.offset, self._state)

    def snapshot(self) -> tuple[bytes, ...]:
        """Return all chunks of a snapshot of the state."""
        return tuple(self.iterate_snapshot())

    def restore(self, chunks: Sequence[bytes]) -> bool:
        """Restore a complete snapshot; return False if invalid or not newer."""
        loaded = load_snapshot(chunks)
        return loaded is not None and self.replace_state(loaded)

    def replace_state(self, loaded: LoadedSnapshot) -> bool:
        """Replace the state by a loaded snapshot; return False if not newer."""
        if loaded.through <= self.offset:
            return False
        self.offset = loaded.through
        self._state = loaded.state
        self._recent.clear()
        self._recent_bytes = 0
        self._cache.clear()
        return True

    def difference(self, after: int) -> tuple[tuple[int, bytes], ...] | None:
        """Return the records after an offset, None if some were evicted."""
        if after >= self.offset:
            return ()
        if not self._recent or self._recent[0][0] > after + 1:
            return None
        return tuple(item for item in self._recent if item[0] > after)

    def digest(self) -> bytes:
        """Return a hash of the state, which is equal at equal offsets."""
        digest = hashlib.blake2b(digest_size=16)
        for chunk in self.iterate_snapshot():
            digest.update(chunk)
        return digest.digest()

    def _add_recent(self, offset: int, data: bytes) -> None:
        self._recent.append((offset, data))
        self._recent_bytes += len(data)
        while self._recent and (
            len(self._recent) > _RECENT_LIMIT
            or self._recent_bytes > _RECENT_BYTES_LIMIT
        ):
            self._recent_bytes -= len(self._recent.popleft()[1])

    def _find_token_team(
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

    def _apply_change(self, offset: int, change: PackedChange) -> Outcome:
        previous = self._state.outcomes.get(change.record_id)
        if previous is not None:
            return previous
        rejection = self._find_rejection(change)
        if rejection is None:
            outcome = self._store_change(offset, change)
        else:
            outcome = self._reject(offset, change, *rejection)
        self._state.add_outcome(outcome)
        return outcome

    def _find_rejection(
        self, change: PackedChange
    ) -> tuple[RejectionReason, str] | None:
        """Return why a change is rejected, None if it applies.

        The texts are stored in snapshots, so they must be the same in every
        process and version.
        """
        fault = _find_change_fault(change)
        if fault:
            return RejectionReason.INVALID, fault
        row = self._state.rows[change.kind].get(change.name)
        generation = _NO_GENERATION if row is None else row.generation
        if generation != change.expected:
            detail = f'expected {change.expected}, found {generation}'
            return RejectionReason.GENERATION, detail
        if row is None and change.spec is None:
            return RejectionReason.ABSENT, 'there is no such object'
        if self._has_token_conflict(change):
            detail = 'a token hash belongs to another team'
            return RejectionReason.TOKEN_TAKEN, detail
        return None

    def _has_token_conflict(self, change: PackedChange) -> bool:
        if change.kind is not ObjectKind.TEAM or change.spec is None:
            return False
        owners = self._state.find_owners(change.spec)
        return any(owner not in {'', change.name} for owner in owners)

    def _store_change(self, offset: int, change: PackedChange) -> Outcome:
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

    def _reject(
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
            _NO_GENERATION if row is None else row.generation,
            reason,
            detail,
            self._find_last_operator(change, row),
        )

    def _find_last_operator(self, change: PackedChange, row: Row | None) -> str:
        if row is not None:
            return row.operator
        outcomes = self.history(change.kind, change.name)
        changes = [item for item in outcomes if isinstance(item, Applied)]
        return changes[-1].operator if changes else ''


def _find_change_fault(change: PackedChange) -> str:
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


def _unpack_object(kind: ObjectKind, name: str, row: Row) -> StoredObject:
    spec = unpack_spec(kind, row.packed)
    return StoredObject(kind, name, row.generation, spec)


def _filter(
    objects: Iterator[StoredObject | None], selector: Labels | None
) -> Iterator[StoredObject]:
    required = selector or {}
    for item in objects:
        if item is not None and matches_selector(required, item.spec.labels):
            yield item


def _make_outcome(kind: ObjectKind, name: str, row: Row) -> Applied:
    return Applied(
        '', row.operator, kind, name, row.offset, row.at, row.generation
    )
