"""Non-blocking log handler for pipes, with a rate limit."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass

import logbook

from oleanderdyke.clock import SECOND, Clock, Millis


@dataclass(frozen=True, slots=True)
class LogBudget:
    """Limit of the lines and bytes written per second.

    Warnings and errors may use all of it. A request takes about five lines of
    250 bytes, so this allows for a burst above fifty requests per second.
    """

    lines: int = 600
    bytes: int = 160 * 1024
    # The share that lines below warning may use, so that lines about failed
    # and slow requests are still written.
    normal_share: float = 0.75


class PipeHandler:
    """Write lines without blocking; drop and count those that do not fit.

    `make_notice` renders a line that reports a number of dropped lines.
    """

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
        self._second_start: Millis = clock.now()
        self._lines = 0
        self._bytes = 0
        self._unreported = 0
        # Total since the start; `_unreported` has not been logged yet.
        self.dropped = 0
        # The unwritten rest of a line that was written only in part.
        self._rest = b''

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the line of a record, or count it as dropped."""
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
        self._unreported += 1
        self.dropped += 1

    def _start_second(self) -> None:
        now = self._clock.now()
        if now - self._second_start < SECOND:
            return
        self._second_start, self._lines, self._bytes = now, 0, 0
        if not self._unreported or self._make_notice is None:
            return
        notice = f'{self._make_notice(self._unreported)}\n'.encode()
        if self._write(notice):
            self._unreported = 0

    def _has_room(self, length: int, level: int) -> bool:
        share = 1.0 if level >= logbook.WARNING else self._budget.normal_share
        return (
            self._lines < self._budget.lines * share
            and self._bytes + length <= self._budget.bytes * share
        )

    def _write(self, line: bytes) -> bool:
        """Write a line; return False if nothing of it was written.

        A rest that does not fit is written before the next line.
        """
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
            # The pipe is full or closed; the caller counts the line as dropped.
            return 0
