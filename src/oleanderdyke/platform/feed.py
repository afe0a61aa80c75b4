"""Follow a topic of the platform's store whose records have keys."""

from __future__ import annotations

from collections.abc import Callable

from oleanderdyke.platform.store import (
    KeyedPage,
    RecordsExpired,
    StoreClient,
)


class KeyedFeed:
    """Read the newest records once, then what follows them.

    `take_all` gets a whole list, `take_some` what has changed since.
    """

    def __init__(
        self,
        client: StoreClient,
        topic: str,
        *,
        take_all: Callable[[KeyedPage], None],
        take_some: Callable[[KeyedPage], None],
    ) -> None:
        self._client = client
        self._topic = topic
        self._take_all = take_all
        self._take_some = take_some
        self._position: int | None = None

    async def read(self) -> None:
        """Read once more; raise StoreUnavailable."""
        if self._position is None:
            page = await self._client.list_newest(self._topic)
            self._take_all(page)
            self._position = page.end
            return
        try:
            page = await self._client.read_keyed(self._topic, self._position)
        except RecordsExpired:
            # What is gone may have held a change: begin with the newest.
            self._position = None
            return
        self._position = page.end
        self._take_some(page)
