"""Read the configuration from the log and from peers."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.kernel.records import SnapshotChunk, decode_record
from oleanderdyke.kernel.shared_chunks import SharedChunks, SnapshotChunkCache
from oleanderdyke.kernel.snapshot_detector import SnapshotDetector
from oleanderdyke.kernel.snapshots import START_OFFSET, SnapshotLoader
from oleanderdyke.links.messages import (
    ConfigurationDifference,
    ConfigurationRequest,
)

_MESSAGE_BYTES = 48 * 1024
# The relative spread of the snapshot limits between processes.
_JITTER = 0.2
# The pause after a due snapshot, as a share of `snapshot_age`.
_SNAPSHOT_PAUSE_SHARE = 0.125


class Record(Protocol):
    """Describe one record of the log."""

    @property
    def offset(self) -> int:
        """Return the record's offset in the log."""

    @property
    def at(self) -> Millis:
        """Return the log's wall time of the append."""

    @property
    def data(self) -> bytes:
        """Return the encoded record."""


class Page(Protocol):
    """Describe a page read from the log."""

    @property
    def records(self) -> Sequence[Record]:
        """Return the page's records in offset order."""

    @property
    def first(self) -> int:
        """Return the oldest offset that the log still holds."""

    @property
    def end(self) -> int:
        """Return the offset of the next append."""


@dataclass(frozen=True, slots=True)
class ReaderSettings:
    """Set the pace of reading configuration and appending snapshots.

    A reader that is behind waits `ask_after` for the log before it asks a
    peer, and `ask_again` before it asks another one. After `stale_after`
    behind it is no longer ready. A snapshot is due after `snapshot_records`
    records, or at `snapshot_age`, which must be at most half of the log's
    retention.
    """

    ask_after: Millis = 0.0
    ask_again: Millis = 2 * SECOND
    stale_after: Millis = 10 * SECOND
    snapshot_records: int = 10_000
    snapshot_age: Millis = 30 * MINUTE


@dataclass(frozen=True, slots=True)
class Readiness:
    """Tell whether the configuration may be used, and if not, why."""

    ready: bool
    reason: str = ''


class ConfigurationReader:
    """Keep a catalog up to date from the log and from peers.

    The catalog's offset never decreases and no record is skipped.
    """

    def __init__(
        self,
        random: Random,
        settings: ReaderSettings | None = None,
        catalog: Catalog | None = None,
    ) -> None:
        self.catalog = Catalog() if catalog is None else catalog
        self._settings = settings or ReaderSettings()
        self._snapshot_jitter = 1 - _JITTER * random.random()
        self._sharing = SnapshotChunkCache(self.catalog)
        self._loaded = False
        self._scan_offset = 0
        self._log_first = 0
        self._log_end = 0
        self._watch = SnapshotDetector()
        self._watched_since: Millis | None = None
        self._snapshot_due_at: Millis | None = None
        self._peer_snapshot: SnapshotLoader | None = None
        self._chunk_received_at: Millis = 0.0
        self._peer_offsets: dict[str, int] = {}
        self._behind_since: Millis | None = None
        self._requested_peer = ''
        self._requested_at: Millis = 0.0

    @property
    def offset(self) -> int:
        """Return the offset of the last applied record, -1 for none."""
        return self.catalog.offset

    @property
    def log_position(self) -> int:
        """Return the offset from which to read the log next."""
        return self._scan_offset if self._has_log_gap() else self.offset + 1

    def on_page(self, page: Page, now: Millis) -> bool:
        """Apply a page of the log; return whether the offset advanced."""
        before = self.offset
        self._log_first = max(self._log_first, page.first)
        self._log_end = max(self._log_end, page.end)
        self._scan_offset = max(self._scan_offset, self._log_first)
        for record in page.records:
            self._apply_record(record)
        if not self._has_log_gap() and self.offset + 1 >= self._log_end:
            self._loaded = True
        self._update_behind_since(before, now)
        return self.offset > before

    def on_peer_offset(
        self, peer: str, offset: int, now: Millis
    ) -> ConfigurationRequest | None:
        """Record a peer's offset; return the request to send it, if any."""
        self._peer_offsets[peer] = max(
            offset, self._peer_offsets.get(peer, START_OFFSET)
        )
        if offset <= self.offset and not self._needs_first_configuration(
            offset
        ):
            return None
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < self._settings.ask_after:
            return None
        if (
            self._requested_peer
            and now - self._requested_at < self._settings.ask_again
        ):
            return None
        self._requested_peer = peer
        self._requested_at = now
        return ConfigurationRequest(self.offset)

    def on_peer_disconnected(self, peer: str) -> None:
        """Remove a peer whose link has ended."""
        self._peer_offsets.pop(peer, None)
        if self._requested_peer == peer:
            self._requested_peer = ''

    def on_difference(
        self, peer: str, message: ConfigurationDifference, now: Millis
    ) -> bool:
        """Apply a peer's difference; return whether the offset advanced."""
        before = self.offset
        is_next_chunk = False
        if message.snapshot:
            is_next_chunk = self._add_peer_chunk(message, now)
        else:
            self._apply_peer_records(message)
        if is_next_chunk or self._requested_peer == peer:
            # While chunks of a snapshot arrive from any peer, no peer is asked.
            self._requested_peer = '' if message.last else peer
            self._requested_at = now
        if message.last and START_OFFSET < message.through <= self.offset:
            self._loaded = True
        self._update_behind_since(before, now)
        return self.offset > before

    def answer(
        self, request: ConfigurationRequest
    ) -> Iterator[ConfigurationDifference]:
        """Return an iterator of the messages that bring a peer up to date."""
        through = self.offset
        if not self._loaded:
            return _answer_records(request.after, START_OFFSET, ())
        records = self.catalog.difference(request.after)
        if records is None:
            return _number_chunks(request.after, self._sharing.get())
        return _answer_records(request.after, through, records)

    def readiness(self, now: Millis) -> Readiness:
        """Return whether the configuration is complete and recent."""
        if not self._loaded:
            return Readiness(ready=False, reason=self._explain_waiting())
        since = self._behind_since
        if since is None or now - since <= self._settings.stale_after:
            return Readiness(ready=True)
        if self._has_log_gap():
            return Readiness(ready=False, reason=self._explain_waiting())
        known = self._find_highest()
        reason = f'configuration is at offset {self.offset} of {known}'
        return Readiness(ready=False, reason=reason)

    def is_snapshot_due(self, wall: Millis) -> bool:
        """Return whether to append a snapshot now; any process may do so.

        The limits are jittered per process, so that usually only one appends.
        After True, False is returned for a pause, which bounds the rate of
        snapshots even if the clocks of process and log differ widely.
        """
        pause = self._settings.snapshot_age * _SNAPSHOT_PAUSE_SHARE
        last_due_at = self._snapshot_due_at
        if last_due_at is not None and abs(wall - last_due_at) < pause:
            return False
        if not self._needs_snapshot(wall):
            return False
        self._snapshot_due_at = wall
        return True

    def _needs_snapshot(self, wall: Millis) -> bool:
        if not self._loaded or self.offset == START_OFFSET:
            return False
        if self._has_log_gap():
            return False
        if self._watched_since is None:
            self._watched_since = wall
        latest_snapshot = self._watch.newest
        since = (
            self._watched_since
            if latest_snapshot is None
            else latest_snapshot.at
        )
        covered_offset = (
            START_OFFSET if latest_snapshot is None else latest_snapshot.through
        )
        settings = self._settings
        return (
            wall - since > settings.snapshot_age * self._snapshot_jitter
            or self.offset - covered_offset
            > settings.snapshot_records * self._snapshot_jitter
        )

    def _has_log_gap(self) -> bool:
        return self.offset + 1 < self._log_first

    def _needs_first_configuration(self, offset: int) -> bool:
        return not self._loaded and offset > START_OFFSET

    def _find_highest(self) -> int:
        highest_offset = max(self._peer_offsets.values(), default=START_OFFSET)
        return max(highest_offset, self._log_end - 1)

    def _explain_waiting(self) -> str:
        if self._has_log_gap():
            return (
                f'the log starts at offset {self._log_first}; waiting for a '
                'snapshot from it or from a peer'
            )
        if self.offset + 1 < self._log_end:
            return f'reading the log: at {self.offset} of {self._log_end - 1}'
        return 'no configuration yet from the log or from a peer'

    def _update_behind_since(self, before: int, now: Millis) -> None:
        if self._find_highest() <= self.offset:
            self._behind_since = None
        elif self._behind_since is None or self.offset > before:
            self._behind_since = now

    def _apply_record(self, record: Record) -> None:
        snapshot = self._watch.add(
            record.offset, record.at, record.data, self.offset
        )
        if record.offset == self._scan_offset:
            self._scan_offset += 1
        if record.offset == self.offset + 1:
            self.catalog.apply_record(record.offset, record.data)
        elif snapshot is not None:
            self.catalog.replace_state(snapshot)

    def _add_peer_chunk(
        self, message: ConfigurationDifference, now: Millis
    ) -> bool:
        """Add a chunk; return whether it was the next one expected.

        Every peer sends the same chunks of a snapshot, so that any peer may
        continue it.
        """
        if message.chunk == 0 and self._may_load(message.through, now):
            self._peer_snapshot = SnapshotLoader(message.through)
        loader = self._peer_snapshot
        if loader is None:
            return False
        records = [decode_record(data) for _, data in message.records]
        chunks = [each for each in records if isinstance(each, SnapshotChunk)]
        if sum(map(loader.add, chunks)) == 0:
            return False
        self._chunk_received_at = now
        if loader.loaded is not None:
            self.catalog.replace_state(loader.loaded)
        if loader.ended:
            self._peer_snapshot = None
        return True

    def _may_load(self, through: int, now: Millis) -> bool:
        """Return whether to start loading the snapshot at an offset.

        A partly loaded snapshot can be completed by any peer. It is discarded
        for another one only after no chunk has arrived for `ask_again`.
        """
        loader = self._peer_snapshot
        if loader is None:
            return True
        stalled = now - self._chunk_received_at >= self._settings.ask_again
        return stalled and loader.through != through

    def _apply_peer_records(self, message: ConfigurationDifference) -> None:
        for offset, data in message.records:
            if offset == self.offset + 1:
                self.catalog.apply_record(offset, data)


def _number_chunks(
    after: int, chunks: SharedChunks
) -> Iterator[ConfigurationDifference]:
    through = chunks.through
    for index, data in enumerate(chunks):
        chunk = decode_record(data)
        yield ConfigurationDifference(
            after,
            through,
            ((through, data),),
            snapshot=True,
            chunk=index,
            last=isinstance(chunk, SnapshotChunk) and chunk.last,
        )


def _answer_records(
    after: int, through: int, records: Sequence[tuple[int, bytes]]
) -> Iterator[ConfigurationDifference]:
    group: list[tuple[int, bytes]] = []
    size = 0
    for record in records:
        if group and size + len(record[1]) > _MESSAGE_BYTES:
            yield ConfigurationDifference(
                after, through, tuple(group), last=False
            )
            group, size = [], 0
        group.append(record)
        size += len(record[1])
    yield ConfigurationDifference(after, through, tuple(group))
