"""Name the steps of every path, and strike just before and after one."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from oleanderdyke.clients.log import LogPage
from oleanderdyke.kernel.claim_records import (
    ClaimRecord,
    OutcomeRecord,
    decode_batch,
)
from oleanderdyke.kernel.records import (
    PackedChange,
    SnapshotChunk,
    decode_record,
)
from oleanderdyke.links.messages import (
    ConfigurationDifference,
    Dispatch,
    Message,
    Resume,
)
from tests.matrix.loop import Process

if TYPE_CHECKING:
    from tests.matrix.entry import ModelEntry


class Point(enum.StrEnum):
    """Name a step at which a fault may strike."""

    ADMISSION = 'admission'
    CLAIM_APPEND = 'claim append'
    CLAIM_READ = 'claim read-back'
    DISPATCH = 'dispatch'
    FIRST_CHUNK = 'first chunk'
    MID_STREAM = 'mid-stream'
    LAST_CHUNK = 'last chunk'
    RECORDED = 'answer recorded'
    RESUME = 'resume'
    KV_WRITE = 'KV write'
    KV_SEAL = 'KV seal'
    KV_PIN = 'KV pin'
    KV_COPY = 'KV copy'
    KV_USE = 'KV use'
    KV_FREE = 'KV free'
    CONFIGURATION_APPEND = 'configuration append'
    CONFIGURATION_READ = 'read-back'
    SPREAD = 'spread'
    SNAPSHOT = 'snapshot'
    ORDER = 'order to engine'
    STATE_READ = 'state read back'
    LEAVING = 'leaving announced'
    DRAIN = 'drain'
    EXIT = 'exit'


_APPENDED = {
    ClaimRecord: Point.CLAIM_APPEND,
    OutcomeRecord: Point.RECORDED,
    PackedChange: Point.CONFIGURATION_APPEND,
    SnapshotChunk: Point.SNAPSHOT,
}
_SENT = {
    Dispatch: Point.DISPATCH,
    Resume: Point.RESUME,
    ConfigurationDifference: Point.SPREAD,
}


class Points:
    """Call the fault once, at the step and side where it is due."""

    def __init__(self) -> None:
        self.passed: dict[tuple[Point, bool], float] = {}
        self.armed = False
        self._due: list[tuple[Point, bool, Callable[[Process], None]]] = []

    def arm(
        self, point: Point, *, after: bool, act: Callable[[Process], None]
    ) -> None:
        """Let an act happen when a step is reached."""
        self._due.append((point, after, act))

    def strike(
        self, point: Point | None, process: Process, *, after: bool = False
    ) -> None:
        """Note that a process has reached a step."""
        if point is None or not self.armed or not process.alive:
            return
        self.passed.setdefault((point, after), process.now)
        for item in tuple(self._due):
            if item[:2] == (point, after):
                self._due.remove(item)
                item[2](process)

    def name_append(self, log: str, records: Sequence[bytes]) -> Point | None:
        """Return the step that an append is."""
        for data in records:
            found = self._name_record(log, data)
            if found is not None:
                return found
        return None

    def name_read(
        self, log: str, page: LogPage, entry: ModelEntry
    ) -> Point | None:
        """Return the step that reading a page is."""
        names = {self._name_record(log, each.data) for each in page.records}
        if log == 'claims' and Point.CLAIM_APPEND in names:
            # Only who waits for its own claim reads it back.
            return Point.CLAIM_READ if entry.claim_log._pending_claims else None
        if Point.CONFIGURATION_APPEND in names and entry.name == 'entry-1':
            return Point.CONFIGURATION_READ
        return None

    def name_sent(self, message: Message) -> Point | None:
        """Return the step that sending a message is."""
        return _SENT.get(type(message))

    def _name_record(self, log: str, data: bytes) -> Point | None:
        records: Sequence[Any]
        records = (
            decode_batch(data) if log == 'claims' else (decode_record(data),)
        )
        for record in records:
            if type(record) in _APPENDED:
                return _APPENDED[type(record)]
        return None
