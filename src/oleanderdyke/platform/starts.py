"""Keep the starts of entries in one order, through the store."""

from __future__ import annotations

from oleanderdyke.clock import Millis
from oleanderdyke.platform import names
from oleanderdyke.platform.store import RecordsExpired, StoreClient

_SEPARATOR = ' '


class StartFeed:
    """Record starts of entries, and find when earlier ones were."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def record(self, name: str, at: Millis) -> int:
        """Append a start at a wall time; return its place in the order.

        Raise StoreUnavailable.
        """
        record = f'{at:.0f}{_SEPARATOR}{name}'.encode()
        return (await self._client.append(names.START_TOPIC, record)).offset

    async def find_time(self, place: int) -> Millis | None:
        """Return the wall time of a start, None if it has expired.

        Raise StoreUnavailable, or ValueError if the record is malformed.
        """
        try:
            records = await self._client.read_plain(names.START_TOPIC, place)
        except RecordsExpired:
            return None
        if not records:
            raise ValueError(f'no record of start {place}')
        at, *_ = records[0].decode('utf-8', 'replace').split(_SEPARATOR)
        return float(at)
