"""Write log lines to a pipe within a budget, and never wait for its reader."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass

import logbook

from oleanderdyke.clock import SECOND, Clock, Millis


@dataclass(frozen=True, slots=True)
class LogBudget:
    """Bound what is written in a second; urgent lines may use all of it.

    A request takes some five lines of 250 bytes; this leaves room for a burst
    over fifty of them a second.
    """

    lines: int = 600
    bytes: int = 160 * 1024
    # What lines of good requests may use, so that those of failed and slow
    # ones still find room.
    usual_share: float = 0.75


class PipeHandler:
    """Drop and count what the budget or the reader doesn't take."""

    def __init__(
        self,
        descriptor: int,
        clock: Clock,
        *,
        budget: LogBudget | None = None,
        make_notice: Callable[[int], str] | None = None,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._budget = budget or LogBudget()
        self._make_notice = make_notice
        self._since: Millis = clock.now()
        self._lines = 0
        self._bytes = 0
        self._dropped = 0
        # Since the start; the count above is what was not told yet.
        self.dropped = 0
        # The rest of a line that the pipe took only in part.
        self._rest = b''

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record's line, or count it."""
        self._start_second()
        line = f'{record.msg}\n'.encode()
        if not self._has_room(len(line), record.level):
            self._drop()
            return
        self._lines += 1
        self._bytes += len(line)
        if not self._write(line):
            self._drop()

    def _drop(self) -> None:
        self._dropped += 1
        self.dropped += 1

    def _start_second(self) -> None:
        now = self._clock.now()
        if now - self._since < SECOND:
            return
        self._since, self._lines, self._bytes = now, 0, 0
        if not self._dropped or self._make_notice is None:
            return
        notice = f'{self._make_notice(self._dropped)}\n'.encode()
        if self._write(notice):
            self._dropped = 0

    def _has_room(self, length: int, level: int) -> bool:
        share = 1.0 if level >= logbook.WARNING else self._budget.usual_share
        return (
            self._lines < self._budget.lines * share
            and self._bytes + length <= self._budget.bytes * share
        )

    def _write(self, line: bytes) -> bool:
        """Write a whole line; False where nothing of it was taken."""
        if self._rest and not self._flush_rest():
            return False
        taken = self._try_write(line)
        if not taken:
            return False
        self._rest = line[taken:]
        return True

    def _flush_rest(self) -> bool:
        taken = self._try_write(self._rest)
        self._rest = self._rest[taken:]
        return not self._rest

    def _try_write(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except OSError:
            # Nobody reads, or nobody will: the lines are counted as dropped.
            return 0
