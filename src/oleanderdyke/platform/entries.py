"""Tell through the store which entries are alive."""

from __future__ import annotations

from oleanderdyke.platform import names
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.feed import Refuse, tell_refused
from oleanderdyke.platform.store import RecordsExpired, StoreClient

# Names of processes are a few words long.
_MOST_NAME = 255


class EntryFeed:
    """Tell of one entry, and read who told of itself.

    What is no name is passed to `refuse` and left out: each name takes a part
    of what may be sent again.
    """

    def __init__(self, client: StoreClient, refuse: Refuse) -> None:
        self._client = client
        self._refuse = refuse
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
        return self._decode(records)

    def _decode(self, records: tuple[bytes, ...]) -> tuple[str, ...]:
        told = [record.decode('utf-8', 'replace') for record in records]
        entries = tuple(filter(_is_name, told))
        fault = MalformedRecord('no name of an entry')
        others = len(told) - len(entries)
        tell_refused([('entries', fault)] * others, self._refuse)
        return entries


def _is_name(text: str) -> bool:
    return text.isascii() and text.isprintable() and 0 < len(text) <= _MOST_NAME
