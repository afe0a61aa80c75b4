"""Announce live entries and their addresses through the store."""

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

# Bounds the length of a whole announcement.
_MAX_ANNOUNCEMENT_LENGTH = 255
# Process names contain no spaces.
_SEPARATOR = ' '


class EntryFeed:
    """Announce one entry and read the announcements of all entries.

    Malformed announcements are reported to `refuse` and skipped: each entry
    counted reduces the retries that the others may make.
    """

    def __init__(self, client: StoreClient, refuse: Refuse) -> None:
        self._client = client
        self._refuse = refuse
        self._position = 0
        # Whether the last read found that the store was restored, so that
        # entries have to announce themselves again.
        self.was_restored = False

    async def announce(self, entry: Neighbour) -> None:
        """Append an announcement; raise StoreUnavailable."""
        record = entry.name
        if entry.address:
            fields = (entry.name, entry.address, entry.data_centre)
            record = _SEPARATOR.join(fields)
        await self._client.append(names.ENTRY_TOPIC, record.encode())

    async def read(self) -> tuple[Neighbour, ...] | None:
        """Return newly announced entries, None if earlier ones have expired.

        After None, reading goes on from the oldest record. An entry that
        accepts no links has an empty address. Raise StoreUnavailable.
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
        texts = [record.decode('utf-8', 'replace') for record in records]
        entries = tuple(filter(None, map(_decode_entry, texts)))
        fault = MalformedRecord('announcement: malformed name or address')
        malformed = len(texts) - len(entries)
        report_refused([('entries', fault)] * malformed, self._refuse)
        return entries


def _decode_entry(text: str) -> Neighbour | None:
    """Decode `name` or `name address data_centre`; None if malformed.

    Entries of earlier versions that accept no links announce themselves as
    `name data_centre`.
    """
    name, *rest = text.split(_SEPARATOR)
    if not _is_printable(text) or not name or not all(rest):
        return None
    match rest:
        case []:
            return Neighbour(name, '', '')
        case [data_centre] if not _has_port(data_centre):
            return Neighbour(name, '', data_centre)
        case [address, data_centre] if _is_address(address):
            return Neighbour(name, address, data_centre)
    return None


def _is_printable(text: str) -> bool:
    return (
        text.isascii()
        and text.isprintable()
        and 0 < len(text) <= _MAX_ANNOUNCEMENT_LENGTH
    )


def _has_port(text: str) -> bool:
    """Return whether a text is meant as an address, perhaps an odd one."""
    _, colon, port = text.rpartition(':')
    return bool(colon) and port.removeprefix('-').isdigit()


def _is_address(text: str) -> bool:
    try:
        split_address(text)
    except ValueError:
        return False
    return True
