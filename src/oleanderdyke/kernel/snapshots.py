"""Hold the catalog's state, and turn it into records and back.

A snapshot is a pure function of the state at an offset, so that two processes
that append one at once append the same bytes.
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
_OUTCOME_COUNT = 1_024
_DIGEST_SIZE = 32
_TOKENS = 'token_hashes'
_ADMINS = 'admin_token_hashes'


class RejectionReason(enum.StrEnum):
    """Name why a change is not in force."""

    GENERATION = 'generation'
    INVALID = 'invalid'
    ABSENT = 'absent'
    TOKEN_TAKEN = 'token_taken'


@dataclass(frozen=True, slots=True)
class Applied:
    """A change is in force, and since which offset."""

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
    """Tell why a change is not in force, and who changed the object last.

    `generation` is the one that the object had instead, 0 for none.
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
    """Keep one object; its spec stays packed as it came from the log."""

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
    """Hold everything that the log decides.

    `floor` is the highest generation of any deleted object.
    """

    rows: dict[ObjectKind, dict[str, Row]] = field(default_factory=_make_rows)
    tokens: TokenIndex = field(default_factory=TokenIndex)
    admin_tokens: TokenIndex = field(default_factory=TokenIndex)
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    floor: int = 0

    def remember(self, outcome: Outcome) -> None:
        """Remember an outcome in place of the oldest."""
        self.outcomes[outcome.record_id] = outcome
        while len(self.outcomes) > _OUTCOME_COUNT:
            del self.outcomes[next(iter(self.outcomes))]

    def find_team(self, index: TokenIndex, field: str, digest: bytes) -> str:
        """Return the team that has a digest in a field, or an empty name."""
        for name in index.get(digest):
            packed = self.rows[ObjectKind.TEAM][name].packed
            if digest in list_hashes(packed, field):
                return name
        return ''

    def find_owners(self, packed: bytes) -> Iterator[str]:
        """Return the teams that hold any token hash of a packed team."""
        digests = list_hashes(packed, _TOKENS) + list_hashes(packed, _ADMINS)
        for digest in digests:
            yield self.find_team(self.tokens, _TOKENS, digest)
            yield self.find_team(self.admin_tokens, _ADMINS, digest)

    def add_tokens(self, name: str, packed: bytes) -> None:
        """Index the token hashes of a packed team."""
        for digest in list_hashes(packed, _TOKENS):
            self.tokens.add(digest, name)
        for digest in list_hashes(packed, _ADMINS):
            self.admin_tokens.add(digest, name)

    def drop_tokens(self, name: str, packed: bytes) -> None:
        """Remove the token hashes of a packed team from the index."""
        for digest in list_hashes(packed, _TOKENS):
            self.tokens.remove(digest, name)
        for digest in list_hashes(packed, _ADMINS):
            self.admin_tokens.remove(digest, name)


@dataclass(frozen=True, slots=True)
class LoadedSnapshot:
    """Pair a state with the offset that it holds at."""

    through: int
    state: State


def make_digest(through: int) -> hashlib.blake2b:
    """Start the digest over a snapshot's items."""
    return hashlib.blake2b(str(through).encode(), digest_size=_DIGEST_SIZE)


def encode_snapshot(through: int, state: State) -> Iterator[bytes]:
    """Freeze the state now and encode it chunk by chunk."""
    rows = {kind: dict(state.rows[kind]) for kind in ObjectKind}
    outcomes = tuple(state.outcomes.values())
    items = _list_items(state.floor, outcomes, rows)
    return _encode_chunks(through, items)


class SnapshotLoader:
    """Build a state from the chunks of one snapshot as they arrive.

    No chunk is kept, so that a large snapshot takes little more memory than
    its state. The state counts only once `loaded` gives it; `ended` tells that
    the last chunk was taken.
    """

    def __init__(self, through: int) -> None:
        self.through = through
        self._next = 0
        self._digest = make_digest(through)
        self._state: State | None = State()
        self.loaded: LoadedSnapshot | None = None
        self.ended = False

    def add(self, chunk: SnapshotChunk) -> bool:
        """Take the next chunk, ignoring all others; tell if it was the next.

        After a malformed chunk nothing will be loaded.
        """
        if (chunk.through, chunk.index) != (self.through, self._next):
            return False
        self._next += 1
        self._digest.update(chunk.items)
        self._load(chunk.items)
        self.ended = chunk.last
        whole = chunk.last and self._digest.digest() == chunk.digest
        if whole and self._state is not None:
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
    """Build the state of a whole, undamaged snapshot; else return None."""
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
    yield _dump(_ItemKind.FLOOR, floor)
    for outcome in outcomes:
        applied = isinstance(outcome, Applied)
        kind = _ItemKind.APPLIED if applied else _ItemKind.LOST
        yield _dump(kind, *astuple(outcome))
    for kind_of_object in ObjectKind:
        of_kind = rows[kind_of_object]
        for name in sorted(of_kind):
            fields = _list_fields(of_kind[name])
            yield _dump(_ItemKind.ROW, kind_of_object, name, *fields)


def _list_fields(row: Row) -> tuple[Any, ...]:
    return row.generation, row.offset, row.at, row.operator, row.packed


def _dump(kind: _ItemKind, *values: Any) -> bytes:
    plain = [
        str(value) if isinstance(value, enum.StrEnum) else value
        for value in values
    ]
    return cbor2.dumps([kind.value, *plain], canonical=True)


def _encode_chunks(through: int, items: Iterator[bytes]) -> Iterator[bytes]:
    digest = make_digest(through)
    groups = _group(items)
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


def _group(items: Iterator[bytes]) -> Iterator[bytes]:
    group: list[bytes] = []
    size = 0
    for item in items:
        if group and size + len(item) > _CHUNK_BYTES:
            yield _join(group)
            group, size = [], 0
        group.append(item)
        size += len(item)
    yield _join(group)


def _join(group: list[bytes]) -> bytes:
    return cbor2.dumps(group)


def _load_item(state: State, data: bytes) -> None:
    kind, *values = load_cbor(data)
    if kind == _ItemKind.FLOOR:
        state.floor = int(values[0])
    elif kind == _ItemKind.ROW:
        _load_row(state, *values)
    else:
        state.remember(_load_outcome(kind, values))


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
