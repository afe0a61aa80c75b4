"""Follow one log of the log service; retry during outages."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import anyio

from oleanderdyke.clients.log import (
    LogClient,
    LogPage,
    LogRecord,
    LogUnavailable,
)
from oleanderdyke.clock import SECOND
from oleanderdyke.entry.core import Core
from oleanderdyke.events import EventName

_SLICE_BYTES = 32 * 1024
_SLICE_RECORDS = 64


class LogReader:
    """Read a log page by page; use long polls once at its end."""

    def __init__(
        self,
        core: Core,
        client: LogClient,
        name: str,
        *,
        find_start: Callable[[], int],
        apply_page: Callable[[LogPage], None],
    ) -> None:
        self._core = core
        self._client = client
        self._name = name
        self._find_start = find_start
        self._take_page = apply_page
        self._down = False
        self._at_end = False

    async def run(self) -> None:
        """Read and apply pages until cancelled."""
        while True:
            page = await self._read()
            if page is not None:
                await self._apply(page)

    async def _apply(self, page: LogPage) -> None:
        """Apply a page in parts, yielding to the event loop in between."""
        for part in slice_page(page):
            self._take_page(part)
            await anyio.sleep(0)

    async def _read(self) -> LogPage | None:
        settings = self._core.settings.log
        try:
            page = await self._client.read(
                self._name,
                start=self._find_start(),
                limit=settings.page,
                wait=settings.wait if self._at_end else 0.0,
                timeout=settings.timeout,
            )
        except LogUnavailable as error:
            self._at_end = False
            self._log_change(down=True, detail=error.message)
            await anyio.sleep(settings.retry / SECOND)
            return None
        self._log_change(down=False)
        self._at_end = True
        return page

    def _log_change(self, *, down: bool, detail: str | None = None) -> None:
        if down == self._down:
            return
        self._down = down
        event = EventName.LOG_DOWN if down else EventName.LOG_UP
        self._core.log.write(event, name=self._name, detail=detail)


def slice_page(page: LogPage, size: int = _SLICE_BYTES) -> Iterator[LogPage]:
    """Split a page into one or more parts of about `size` bytes."""
    part: list[LogRecord] = []
    taken = 0
    for record in page.records:
        if taken >= size or len(part) >= _SLICE_RECORDS:
            yield LogPage(tuple(part), page.first, page.end)
            part, taken = [], 0
        part.append(record)
        taken += len(record.data)
    yield LogPage(tuple(part), page.first, page.end)
