"""Announce entries through the store: which are alive, where they listen."""

from __future__ import annotations

from oleanderdyke.clients.addresses import split_address
from oleanderdyke.kernel.neighbours import Neighbour
from oleanderdyke.platform import names
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.feed import Refuse, report_refused
from oleanderdyke.platform.store import (
    RecordsExpired,
    StoreClient,
    StoreRestored,
)

# Names of processes are a few words long.
_MOST_NAME = 255
# Names have no spaces in them.
_SEPARATOR = ' '
_MORE_FIELDS = 2


class EntryFeed:
    """Announce one entry, and read the announcements of all.

    What is no name is passed to `refuse` and left out: each name takes a part
    of what may be sent again.
    """

    def __init__(self, client: StoreClient, refuse: Refuse) -> None:
        self._client = client
        self._refuse = refuse
        self._position = 0
        # Whether the last read found that notices have to be told again.
        self.was_restored = False

    async def announce(self, entry: Neighbour) -> None:
        """Append an announcement; raise StoreUnavailable."""
        fields = (entry.name, entry.address, entry.data_centre)
        record = _SEPARATOR.join(filter(None, fields))
        await self._client.append(names.ENTRY_TOPIC, record.encode())

    async def read(self) -> tuple[Neighbour, ...] | None:
        """Return announced entries; None where they have to be read anew.

        One that takes no links has no address. Raise StoreUnavailable.
        """
        self.was_restored = False
        try:
            records = await self._client.read_plain(
                names.ENTRY_TOPIC, self._position
            )
        except RecordsExpired as error:
            self._position = error.first or 0
            self.was_restored = isinstance(error, StoreRestored)
            return None
        self._position += len(records)
        return self._decode(records)

    def _decode(self, records: tuple[bytes, ...]) -> tuple[Neighbour, ...]:
        told = [record.decode('utf-8', 'replace') for record in records]
        entries = tuple(filter(None, map(_decode_entry, told)))
        fault = MalformedRecord('no name of an entry')
        others = len(told) - len(entries)
        report_refused([('entries', fault)] * others, self._refuse)
        return entries


def _decode_entry(text: str) -> Neighbour | None:
    """Read a notice: a name, and where links are taken an address and place."""
    name, *rest = text.split(_SEPARATOR)
    if not _is_name(text) or not name:
        return None
    if not rest:
        return Neighbour(name, '', '')
    if len(rest) != _MORE_FIELDS or not all(rest) or not _is_address(rest[0]):
        return None
    return Neighbour(name, *rest)


def _is_name(text: str) -> bool:
    return text.isascii() and text.isprintable() and 0 < len(text) <= _MOST_NAME


def _is_address(text: str) -> bool:
    try:
        split_address(text)
    except ValueError:
        return False
    return True
