"""Messages that entries leave in the store for those that start."""

from __future__ import annotations

from oleanderdyke.platform import names
from oleanderdyke.platform.store import RecordsExpired, StoreClient


class HandoverFeed:
    """Leave messages for entries that start, and read those of others."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client
        self._position = 0

    async def leave(self, message: bytes) -> None:
        """Append a message; raise StoreUnavailable."""
        await self._client.append(names.STREAM_TOPIC, message)

    async def read(self) -> tuple[bytes, ...]:
        """Return the messages that were not read yet; raise StoreUnavailable.

        The store keeps them for some minutes.
        """
        try:
            messages = await self._client.read_plain(
                names.STREAM_TOPIC, self._position
            )
        except RecordsExpired as error:
            self._position = error.first or 0
            return ()
        self._position += len(messages)
        return messages
