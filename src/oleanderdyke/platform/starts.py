"""Keep the latest starts of entries in one order, through the store."""

from __future__ import annotations

from oleanderdyke.clock import Millis
from oleanderdyke.platform import names
from oleanderdyke.platform.store import RecordsExpired, StoreClient

_SEPARATOR = ' '


class StartFeed:
    """Record starts of entries, and find which earlier ones are kept."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def record(self, name: str, at: Millis) -> int:
        """Append a start at a wall time; return its place in the order.

        Raise StoreUnavailable.
        """
        record = f'{at:.0f}{_SEPARATOR}{name}'.encode()
        return (await self._client.append(names.START_TOPIC, record)).offset

    async def list_earlier(self, place: int) -> tuple[str, ...] | None:
        """Return the names of all starts before a place, None if some expired.

        Raise StoreUnavailable.
        """
        try:
            records = await self._client.read_plain(names.START_TOPIC, 0)
        except RecordsExpired:
            return None
        return tuple(map(_decode_name, records[:place]))

    async def has_expired(self, place: int) -> bool:
        """Return whether the store keeps a start no more.

        Raise StoreUnavailable.
        """
        try:
            await self._client.read_plain(names.START_TOPIC, place)
        except RecordsExpired:
            return True
        return False


def _decode_name(record: bytes) -> str:
    _, _, name = record.decode('utf-8', 'replace').partition(_SEPARATOR)
    return name
