"""Count what this entry has in flight at each backend server.

The load it answers: a server's own report is hundreds of milliseconds old and
counts requests, not the prompt tokens that it has yet to prefill.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from oleanderdyke.kernel.scheduling.work import NO_WORK, ServerWork
from oleanderdyke.kernel.servers import ServerStart


@dataclass(frozen=True, slots=True)
class _Run:
    start: ServerStart
    work: ServerWork


class WorkAccount:
    """Sum up this entry's attempts and copies by start of server."""

    def __init__(self) -> None:
        self._runs: dict[str, _Run] = {}
        self._sums: dict[ServerStart, ServerWork] = {}
        self._changed: dict[ServerStart, None] = {}
        # Set while a new long run has not been reported.
        self.has_long_news = False

    def begin(
        self,
        start: ServerStart,
        attempt: str,
        *,
        unread: int,
        memory: int,
        is_long: bool = False,
    ) -> None:
        """Add an attempt that was sent to a server."""
        self.end(attempt)
        work = ServerWork(unread, memory, 1, int(is_long))
        self._runs[attempt] = _Run(start, work)
        self._add(start, work)
        self.has_long_news |= is_long

    def begin_copy(self, start: ServerStart, copy: str, *, memory: int) -> None:
        """Add a copy of a run, which `end` removes by the same name."""
        self.end(copy)
        work = ServerWork(copies=memory)
        self._runs[copy] = _Run(start, work)
        self._add(start, work)

    def record_first_byte(self, attempt: str) -> None:
        """Record that the prompt of an attempt was prefilled."""
        run = self._runs.get(attempt)
        if run is not None and run.work.unread:
            self._add(run.start, ServerWork(unread=-run.work.unread))
            self._runs[attempt] = replace(run, work=replace(run.work, unread=0))

    def end(self, name: str) -> None:
        """Remove an attempt or a copy; unknown names are ignored."""
        run = self._runs.pop(name, None)
        if run is not None:
            self._add(run.start, NO_WORK - run.work)

    def find(self, start: ServerStart) -> ServerWork:
        """Return the work of this entry at one start of a server."""
        return self._sums.get(start, NO_WORK)

    def list_all(self) -> Iterator[tuple[ServerStart, ServerWork]]:
        """Yield each start at which this entry has work."""
        yield from self._sums.items()

    def take_changes(self, limit: int) -> dict[ServerStart, ServerWork]:
        """Return up to `limit` starts whose work changed, oldest first.

        They no longer count as changed.
        """
        self.has_long_news = False
        taken = tuple(self._changed)[:limit]
        for start in taken:
            del self._changed[start]
        return {start: self.find(start) for start in taken}

    def clear_changes(self) -> None:
        """Forget the changes, as after a report of everything."""
        self.has_long_news = False
        self._changed.clear()

    def _add(self, start: ServerStart, work: ServerWork) -> None:
        total = self.find(start) + work
        if total == NO_WORK:
            self._sums.pop(start, None)
        else:
            self._sums[start] = total
        self._changed[start] = None
