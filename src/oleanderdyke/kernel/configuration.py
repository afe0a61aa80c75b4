"""Bring the configuration from the log and from peers into a process."""

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
_JITTER = 0.2
_PAUSE = 0.125


class Record(Protocol):
    """See one record of the log."""

    @property
    def offset(self) -> int:
        """Return the place in the log."""

    @property
    def at(self) -> Millis:
        """Return the log's wall time of the append."""

    @property
    def data(self) -> bytes:
        """Return the encoded record."""


class Page(Protocol):
    """See a page read from the log."""

    @property
    def records(self) -> Sequence[Record]:
        """Return records in offset order."""

    @property
    def first(self) -> int:
        """Return the oldest offset that the log keeps."""

    @property
    def end(self) -> int:
        """Return the offset of the next append."""


@dataclass(frozen=True, slots=True)
class ReaderSettings:
    """Pace the spreading of configuration.

    `ask_after` gives the log a chance before peers are asked; `snapshot_age`
    must be at most half of the log's retention.
    """

    ask_after: Millis = 0.0
    ask_again: Millis = 2 * SECOND
    stale_after: Millis = 10 * SECOND
    snapshot_records: int = 10_000
    snapshot_age: Millis = 30 * MINUTE


@dataclass(frozen=True, slots=True)
class Readiness:
    """Tell whether a process has its configuration, and why not."""

    ready: bool
    reason: str = ''


class ConfigurationReader:
    """Feed a catalog, never backwards and never over a gap."""

    def __init__(
        self,
        random: Random,
        settings: ReaderSettings | None = None,
        catalog: Catalog | None = None,
    ) -> None:
        self.catalog = Catalog() if catalog is None else catalog
        self._settings = settings or ReaderSettings()
        self._spread = 1 - _JITTER * random.random()
        self._sharing = SnapshotChunkCache(self.catalog)
        self._loaded = False
        self._scan = 0
        self._first = 0
        self._end = 0
        self._watch = SnapshotDetector()
        self._watched_since: Millis | None = None
        self._told_at: Millis | None = None
        self._from_peer: SnapshotLoader | None = None
        self._grown_at: Millis = 0.0
        self._heard: dict[str, int] = {}
        self._behind_since: Millis | None = None
        self._asked = ''
        self._asked_at: Millis = 0.0

    @property
    def offset(self) -> int:
        """Return the offset of the last applied record, -1 for none."""
        return self.catalog.offset

    @property
    def log_position(self) -> int:
        """Return the offset from which to read the log next."""
        return self._scan if self._is_cut_off() else self.offset + 1

    def on_page(self, page: Page, now: Millis) -> bool:
        """Take a page of the log; tell whether the offset moved."""
        before = self.offset
        self._first = max(self._first, page.first)
        self._end = max(self._end, page.end)
        self._scan = max(self._scan, self._first)
        for record in page.records:
            self._take(record)
        if not self._is_cut_off() and self.offset + 1 >= self._end:
            self._loaded = True
        self._note_progress(before, now)
        return self.offset > before

    def on_peer_offset(
        self, peer: str, offset: int, now: Millis
    ) -> ConfigurationRequest | None:
        """Learn a peer's offset; return what to ask this peer, if anything."""
        self._heard[peer] = max(offset, self._heard.get(peer, START_OFFSET))
        if offset <= self.offset and not self._needs_first(offset):
            return None
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < self._settings.ask_after:
            return None
        if self._asked and now - self._asked_at < self._settings.ask_again:
            return None
        self._asked = peer
        self._asked_at = now
        return ConfigurationRequest(self.offset)

    def on_peer_disconnected(self, peer: str) -> None:
        """Forget a peer whose link has ended."""
        self._heard.pop(peer, None)
        if self._asked == peer:
            self._asked = ''

    def on_difference(
        self, peer: str, message: ConfigurationDifference, now: Millis
    ) -> bool:
        """Take a peer's difference; tell whether the offset moved."""
        before = self.offset
        grown = False
        if message.snapshot:
            grown = self._take_peer_chunk(message, now)
        else:
            self._take_peer_records(message)
        if grown or self._asked == peer:
            # While a snapshot arrives, from whomever, nobody is asked.
            self._asked = '' if message.last else peer
            self._asked_at = now
        if message.last and START_OFFSET < message.through <= self.offset:
            self._loaded = True
        self._note_progress(before, now)
        return self.offset > before

    def answer(
        self, request: ConfigurationRequest
    ) -> Iterator[ConfigurationDifference]:
        """Build the messages that bring a peer up to date, one at a time."""
        through = self.offset
        if not self._loaded:
            return _answer_records(request.after, START_OFFSET, ())
        records = self.catalog.difference(request.after)
        if records is None:
            return _number_chunks(request.after, self._sharing.get())
        return _answer_records(request.after, through, records)

    def readiness(self, now: Millis) -> Readiness:
        """Return whether the configuration may be served from."""
        if not self._loaded:
            return Readiness(ready=False, reason=self._explain_start())
        since = self._behind_since
        if since is None or now - since <= self._settings.stale_after:
            return Readiness(ready=True)
        if self._is_cut_off():
            return Readiness(ready=False, reason=self._explain_start())
        known = self._find_highest()
        reason = f'configuration is at offset {self.offset} of {known}'
        return Readiness(ready=False, reason=reason)

    def is_snapshot_due(self, wall: Millis) -> bool:
        """Return whether to append a snapshot now; any process may do so.

        The limits differ a little between processes, so that one is first.
        After a yes there is a pause, also where clocks are far apart.
        """
        pause = self._settings.snapshot_age * _PAUSE
        told = self._told_at
        if told is not None and abs(wall - told) < pause:
            return False
        if not self._needs_snapshot(wall):
            return False
        self._told_at = wall
        return True

    def _needs_snapshot(self, wall: Millis) -> bool:
        if not self._loaded or self.offset == START_OFFSET:
            return False
        if self._is_cut_off():
            return False
        if self._watched_since is None:
            self._watched_since = wall
        kept = self._watch.newest
        since = self._watched_since if kept is None else kept.at
        covered = START_OFFSET if kept is None else kept.through
        settings = self._settings
        return (
            wall - since > settings.snapshot_age * self._spread
            or self.offset - covered > settings.snapshot_records * self._spread
        )

    def _is_cut_off(self) -> bool:
        return self.offset + 1 < self._first

    def _needs_first(self, offset: int) -> bool:
        return not self._loaded and offset > START_OFFSET

    def _find_highest(self) -> int:
        heard = max(self._heard.values(), default=START_OFFSET)
        return max(heard, self._end - 1)

    def _explain_start(self) -> str:
        if self._is_cut_off():
            return (
                f'the log starts at offset {self._first}; waiting for a '
                'snapshot from it or from a peer'
            )
        if self.offset + 1 < self._end:
            return f'reading the log: at {self.offset} of {self._end - 1}'
        return 'no configuration yet from the log or from a peer'

    def _note_progress(self, before: int, now: Millis) -> None:
        if self._find_highest() <= self.offset:
            self._behind_since = None
        elif self._behind_since is None or self.offset > before:
            self._behind_since = now

    def _take(self, record: Record) -> None:
        whole = self._watch.add(
            record.offset, record.at, record.data, self.offset
        )
        if record.offset == self._scan:
            self._scan += 1
        if record.offset == self.offset + 1:
            self.catalog.apply_record(record.offset, record.data)
        elif whole is not None:
            self.catalog.replace_state(whole)

    def _take_peer_chunk(
        self, message: ConfigurationDifference, now: Millis
    ) -> bool:
        """Take a chunk; tell whether it was the next of what is loaded.

        The chunks of one snapshot are the same from every peer.
        """
        if message.chunk == 0 and self._may_load(message.through, now):
            self._from_peer = SnapshotLoader(message.through)
        loader = self._from_peer
        if loader is None:
            return False
        records = [decode_record(data) for _, data in message.records]
        chunks = [each for each in records if isinstance(each, SnapshotChunk)]
        if sum(map(loader.add, chunks)) == 0:
            return False
        self._grown_at = now
        if loader.loaded is not None:
            self.catalog.replace_state(loader.loaded)
        if loader.ended:
            self._from_peer = None
        return True

    def _may_load(self, through: int, now: Millis) -> bool:
        """Return whether to start with a peer's snapshot.

        One that is half-way is kept for the rest from any peer, and given up
        for another only where nothing more of it came for a while.
        """
        loader = self._from_peer
        if loader is None:
            return True
        stalled = now - self._grown_at >= self._settings.ask_again
        return stalled and loader.through != through

    def _take_peer_records(self, message: ConfigurationDifference) -> None:
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
