"""Hold the catalog's state, and encode and load snapshots of it.

A snapshot is a pure function of the state at an offset: processes that append
one concurrently append the same bytes.
"""

from __future__ import annotations

import enum
import hashlib
import sys
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import astuple, dataclass, field
from typing import Any, TypeAlias

import cbor2

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.objects import ObjectKind
from oleanderdyke.kernel.records import (
    SnapshotChunk,
    decode_record,
    encode_chunk,
)
from oleanderdyke.kernel.specs import InvalidSpec, list_hashes, load_cbor
from oleanderdyke.kernel.tokens import TokenIndex

START_OFFSET = -1
_CHUNK_BYTES = 48 * 1024
_MAX_OUTCOMES = 1_024
_DIGEST_SIZE = 32
_TOKENS = 'token_hashes'
_ADMIN_TOKENS = 'admin_token_hashes'


class RejectionReason(enum.StrEnum):
    """Classify the reasons for which a change was rejected.

    GENERATION means that another change came first, ABSENT that the object
    to delete does not exist, TOKEN_TAKEN that another team has the token.
    """

    GENERATION = 'generation'
    INVALID = 'invalid'
    ABSENT = 'absent'
    TOKEN_TAKEN = 'token_taken'


@dataclass(frozen=True, slots=True)
class Applied:
    """Describe a change that was applied at an offset.

    `generation` is that of the object after the change.
    """

    record_id: str
    operator: str
    kind: ObjectKind
    name: str
    offset: int
    at: Millis
    generation: int
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Rejected:
    """Describe a change that was rejected at an offset.

    `generation` is the actual generation of the object, 0 if it did not
    exist; `winner` is the operator who last changed it.
    """

    record_id: str
    operator: str
    kind: ObjectKind
    name: str
    offset: int
    at: Millis
    generation: int
    reason: RejectionReason
    detail: str = ''
    winner: str = ''


Outcome: TypeAlias = Applied | Rejected


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one object, whose spec stays encoded as read from the log."""

    generation: int
    offset: int
    at: Millis
    operator: str
    packed: bytes


class _ItemKind(enum.StrEnum):
    FLOOR = 'floor'
    APPLIED = 'applied'
    LOST = 'lost'
    ROW = 'row'


def _make_rows() -> dict[ObjectKind, dict[str, Row]]:
    return {kind: {} for kind in ObjectKind}


@dataclass(slots=True)
class State:
    """Hold the state that results from the records of the log.

    `floor` is the highest generation of any deleted object.
    """

    rows: dict[ObjectKind, dict[str, Row]] = field(default_factory=_make_rows)
    tokens: TokenIndex = field(default_factory=TokenIndex)
    admin_tokens: TokenIndex = field(default_factory=TokenIndex)
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    floor: int = 0

    def add_outcome(self, outcome: Outcome) -> None:
        """Add an outcome, evicting the oldest over the limit."""
        self.outcomes[outcome.record_id] = outcome
        while len(self.outcomes) > _MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]

    def find_team(self, index: TokenIndex, field: str, digest: bytes) -> str:
        """Return the name of the team with a digest in a field, or ''."""
        for name in index.get(digest):
            packed = self.rows[ObjectKind.TEAM][name].packed
            if digest in list_hashes(packed, field):
                return name
        return ''

    def find_owners(self, packed: bytes) -> Iterator[str]:
        """Yield for each token hash of a packed team its owners, or ''."""
        digests = list_hashes(packed, _TOKENS) + list_hashes(
            packed, _ADMIN_TOKENS
        )
        for digest in digests:
            yield self.find_team(self.tokens, _TOKENS, digest)
            yield self.find_team(self.admin_tokens, _ADMIN_TOKENS, digest)

    def add_tokens(self, name: str, packed: bytes) -> None:
        """Index the token hashes of a packed team."""
        for digest in list_hashes(packed, _TOKENS):
            self.tokens.add(digest, name)
        for digest in list_hashes(packed, _ADMIN_TOKENS):
            self.admin_tokens.add(digest, name)

    def drop_tokens(self, name: str, packed: bytes) -> None:
        """Remove the token hashes of a packed team from the index."""
        for digest in list_hashes(packed, _TOKENS):
            self.tokens.remove(digest, name)
        for digest in list_hashes(packed, _ADMIN_TOKENS):
            self.admin_tokens.remove(digest, name)


@dataclass(frozen=True, slots=True)
class LoadedSnapshot:
    """Hold a state with the offset of the last record that it includes."""

    through: int
    state: State


def make_digest(through: int) -> hashlib.blake2b:
    """Return a new hash for the items of a snapshot at an offset."""
    return hashlib.blake2b(str(through).encode(), digest_size=_DIGEST_SIZE)


def encode_snapshot(through: int, state: State) -> Iterator[bytes]:
    """Copy the state at once, and encode the copy chunk by chunk."""
    rows = {kind: dict(state.rows[kind]) for kind in ObjectKind}
    outcomes = tuple(state.outcomes.values())
    items = _list_items(state.floor, outcomes, rows)
    return _encode_chunks(through, items)


class SnapshotLoader:
    """Build a state from the chunks of one snapshot as they arrive.

    Chunks are not kept, so that loading a large snapshot takes little more
    memory than its state. `loaded` is set once all chunks were added and their
    digest matches; `ended` is set after the last chunk even if it does not.
    """

    def __init__(self, through: int) -> None:
        self.through = through
        self._next = 0
        self._digest = make_digest(through)
        self._state: State | None = State()
        self.loaded: LoadedSnapshot | None = None
        self.ended = False

    def add(self, chunk: SnapshotChunk) -> bool:
        """Add the next chunk; return False and ignore any other chunk.

        After a malformed chunk `loaded` stays None.
        """
        if (chunk.through, chunk.index) != (self.through, self._next):
            return False
        self._next += 1
        self._digest.update(chunk.items)
        self._load(chunk.items)
        self.ended = chunk.last
        is_complete = chunk.last and self._digest.digest() == chunk.digest
        if is_complete and self._state is not None:
            self.loaded = LoadedSnapshot(self.through, self._state)
        return True

    def _load(self, items: bytes) -> None:
        if self._state is None:
            return
        try:
            for item in load_cbor(items):
                _load_item(self._state, item)
        except (InvalidSpec, ValueError, TypeError, LookupError):
            self._state = None


def load_snapshot(chunks: Sequence[bytes]) -> LoadedSnapshot | None:
    """Load a snapshot; return None if it is incomplete or damaged."""
    loader: SnapshotLoader | None = None
    for data in chunks:
        chunk = decode_record(data)
        if not isinstance(chunk, SnapshotChunk):
            return None
        loader = loader or SnapshotLoader(chunk.through)
        if loader.loaded is not None or not loader.add(chunk):
            return None
    return None if loader is None else loader.loaded


def _list_items(
    floor: int,
    outcomes: Iterable[Outcome],
    rows: dict[ObjectKind, dict[str, Row]],
) -> Iterator[bytes]:
    yield _encode_item(_ItemKind.FLOOR, floor)
    for outcome in outcomes:
        applied = isinstance(outcome, Applied)
        kind = _ItemKind.APPLIED if applied else _ItemKind.LOST
        yield _encode_item(kind, *astuple(outcome))
    for object_kind in ObjectKind:
        rows_by_name = rows[object_kind]
        for name in sorted(rows_by_name):
            fields = _list_fields(rows_by_name[name])
            yield _encode_item(_ItemKind.ROW, object_kind, name, *fields)


def _list_fields(row: Row) -> tuple[Any, ...]:
    return row.generation, row.offset, row.at, row.operator, row.packed


def _encode_item(kind: _ItemKind, *values: Any) -> bytes:
    plain = [
        str(value) if isinstance(value, enum.StrEnum) else value
        for value in values
    ]
    return cbor2.dumps([kind.value, *plain], canonical=True)


def _encode_chunks(through: int, items: Iterator[bytes]) -> Iterator[bytes]:
    digest = make_digest(through)
    groups = _group_items(items)
    group = next(groups)
    index = 0
    for following in groups:
        digest.update(group)
        part = SnapshotChunk(through, index, last=False, items=group)
        yield encode_chunk(part)
        group = following
        index += 1
    digest.update(group)
    yield encode_chunk(
        SnapshotChunk(
            through, index, last=True, items=group, digest=digest.digest()
        )
    )


def _group_items(items: Iterator[bytes]) -> Iterator[bytes]:
    group: list[bytes] = []
    size = 0
    for item in items:
        if group and size + len(item) > _CHUNK_BYTES:
            yield _encode_group(group)
            group, size = [], 0
        group.append(item)
        size += len(item)
    yield _encode_group(group)


def _encode_group(group: list[bytes]) -> bytes:
    return cbor2.dumps(group)


def _load_item(state: State, data: bytes) -> None:
    kind, *values = load_cbor(data)
    if kind == _ItemKind.FLOOR:
        state.floor = int(values[0])
    elif kind == _ItemKind.ROW:
        _load_row(state, *values)
    else:
        state.add_outcome(_load_outcome(kind, values))


def _load_row(state: State, kind: str, name: str, *fields: Any) -> None:
    generation, offset, at, operator, packed = fields[:5]
    row = Row(generation, offset, at, sys.intern(operator), packed)
    state.rows[ObjectKind(kind)][name] = row
    if kind == ObjectKind.TEAM:
        state.add_tokens(name, packed)


def _load_outcome(kind: str, values: list[Any]) -> Outcome:
    values[2] = ObjectKind(values[2])
    if kind == _ItemKind.APPLIED:
        return Applied(*values)
    values[7] = RejectionReason(values[7])
    return Rejected(*values)
