"""Tell through the store which entries are alive."""

from __future__ import annotations

from oleanderdyke.platform import names
from oleanderdyke.platform.store import RecordsExpired, StoreClient


class EntryFeed:
    """Tell of one entry, and read who told of itself."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client
        self._position = 0

    async def tell(self, process: str) -> None:
        """Tell that an entry is alive; raise StoreUnavailable."""
        await self._client.append(names.ENTRY_TOPIC, process.encode())

    async def read(self) -> tuple[str, ...] | None:
        """Return who told of itself; None where it has to be read anew.

        Raise StoreUnavailable.
        """
        try:
            records = await self._client.read_plain(
                names.ENTRY_TOPIC, self._position
            )
        except RecordsExpired as error:
            self._position = error.first or 0
            return None
        self._position += len(records)
        return tuple(record.decode('utf-8', 'replace') for record in records)
