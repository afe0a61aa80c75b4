"""Simulate the platform's append-only log service."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import anyio
import cbor2

from tests.standins import server, web

_LONGEST_WAIT_MS = 60_000.0
_DEFAULT_LIMIT = 1_000


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Limit the size and rate of the log; zero means no limit."""

    appends_per_second: float = 400.0
    burst: float = 100.0
    keep_records: int = 0
    keep_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class LogFaults(web.Faults):
    """Add the faults of a log service.

    `lose_answers` counts the appends whose response is lost (-1: all).
    `truncate` deletes the records of a log before an offset, once.
    """

    lose_answers: int = 0
    truncate: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Log:
    """Hold the retained records of one log."""

    first: int = 0
    records: list[tuple[float, bytes]] = field(default_factory=list)
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def end(self) -> int:
        """Return the next offset."""
        return self.first + len(self.records)

    def append(self, records: list[bytes], at: float) -> int:
        """Append records and wake the waiting readers."""
        offset = self.end
        self.records.extend((at, data) for data in records)
        self.changed.set()
        self.changed = anyio.Event()
        return offset

    def forget(self, before: int) -> None:
        """Delete the records before an offset."""
        count = min(max(0, before - self.first), len(self.records))
        del self.records[:count]
        self.first += count


class LogService(web.StandIn[LogFaults]):
    """Append and read records of named logs."""

    def __init__(self, settings: LogSettings) -> None:
        super().__init__(LogFaults())
        self._settings = settings
        self._bucket = web.Bucket(settings.appends_per_second, settings.burst)
        self._answers_to_lose = 0
        self.logs: dict[str, Log] = {}
        self.appends = 0

    def note_faults(self) -> None:
        """Reset the count of lost responses and truncate logs once."""
        self._answers_to_lose = self.faults.lose_answers
        for name, before in self.faults.truncate.items():
            self._find(name).forget(before)

    async def answer(self, request: web.Request) -> web.Answer:
        """Handle an append or a read."""
        if request.path == '/stats':
            return web.answer_json(
                {
                    'appends': self.appends,
                    'ends': {name: log.end for name, log in self.logs.items()},
                }
            )
        log = self._find(request.path.removeprefix('/logs/'))
        if request.method == 'POST':
            return await self._append(log, request)
        return await self._read(log, request)

    def _find(self, name: str) -> Log:
        return self.logs.setdefault(name, Log())

    async def _append(self, log: Log, request: web.Request) -> web.Answer:
        records = cbor2.loads(await request.body())
        if not self._bucket.take():
            return web.refuse(429, 'too many appends')
        first = log.append(records, time.time() * 1_000)
        self.appends += 1
        self._retain(log)
        if self._answers_to_lose:
            self._answers_to_lose -= 1
            raise web.Dropped
        return web.answer_cbor({'first': first})

    def _retain(self, log: Log) -> None:
        if self._settings.keep_records:
            log.forget(log.end - self._settings.keep_records)
        if not self._settings.keep_ms:
            return
        oldest = time.time() * 1_000 - self._settings.keep_ms
        expired = sum(1 for at, _ in log.records if at < oldest)
        log.forget(log.first + expired)

    async def _read(self, log: Log, request: web.Request) -> web.Answer:
        start = int(request.query.get('from', 0))
        wait = float(request.query.get('wait', 0))
        if start >= log.end and wait:
            await _wait_for_change(log, min(wait, _LONGEST_WAIT_MS))
        self._retain(log)
        limit = int(request.query.get('limit', _DEFAULT_LIMIT))
        skipped = max(0, start - log.first)
        page = log.records[skipped : skipped + limit]
        offset = log.first + skipped
        return web.answer_cbor(
            {
                'first': log.first,
                'end': log.end,
                'records': [
                    [offset + index, at, data]
                    for index, (at, data) in enumerate(page)
                ],
            }
        )


async def _wait_for_change(log: Log, wait: float) -> None:
    with anyio.move_on_after(wait / 1_000):
        await log.changed.wait()


def make_app(settings: LogSettings | None = None) -> LogService:
    """Build a log service."""
    return LogService(settings or LogSettings())


if __name__ == '__main__':
    server.run_main('log', LogSettings, make_app)
