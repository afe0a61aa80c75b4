"""Follow the records of operators and backend servers in the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Generic, NoReturn, TypeAlias, TypeVar

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.deployment import Deployment
from oleanderdyke.kernel.servers import ServerRecord
from oleanderdyke.platform import names
from oleanderdyke.platform.documents import (
    MalformedRecord,
    NamedVersion,
    decode_configuration,
    decode_server,
    decode_version,
)
from oleanderdyke.platform.fields import show_value
from oleanderdyke.platform.records import KeyedPage, KeyedRecord
from oleanderdyke.platform.store import (
    RecordsExpired,
    StoreClient,
    StoreRestored,
)

# Reports a malformed record by its key and fault; the record is skipped.
Refuse: TypeAlias = Callable[[str, MalformedRecord], None]

# Malformed records of one read that are reported one by one; the others are
# only counted. A log line costs about as much as decoding a valid record.
_MAX_REPORTED = 3
# Bounds the key in a report; a key has up to 255 arbitrary bytes.
_MAX_KEY_LENGTH = 64

ItemT = TypeVar('ItemT')


@dataclass(frozen=True, slots=True)
class EvacuationOrder:
    """Begin or end the evacuation of a data centre."""

    data_centre: str
    is_active: bool


@dataclass(frozen=True, slots=True)
class OperatorUpdate:
    """Hold records of operators; the `list_` methods decode them.

    `is_complete` is set if no further records existed at the time of the read
    nor within `waited` after it. `is_whole` is set if the newest record of
    every key is included. `is_restored` is set if the store was restored before
    this read: it may lack the latest records.
    """

    records: tuple[KeyedRecord, ...]
    refuse: Refuse
    is_complete: bool = True
    is_whole: bool = False
    is_restored: bool = False
    waited: Millis = 0.0

    def list_configurations(self) -> Iterator[Deployment]:
        """Yield the valid configurations; report the malformed ones."""
        records = [each for each in self.records if _is_configuration(each)]
        yield from _decode(records, _read_configuration, self.refuse).items

    def list_versions(self) -> Iterator[NamedVersion]:
        """Yield the published versions of weights; report malformed ones."""
        records = [each for each in self.records if _is_version(each)]
        yield from _decode(records, _read_version, self.refuse).items

    def list_evacuations(self) -> Iterator[EvacuationOrder]:
        """Yield orders to begin or end the evacuation of a data centre.

        Only the key matters: an order with a malformed value is valid.
        """
        for record in self.records:
            if _is_evacuation(record):
                name = record.key.removeprefix(names.EVACUATION_KEY_PREFIX)
                yield EvacuationOrder(name, is_active=not record.is_dropped)


@dataclass(frozen=True, slots=True)
class ServerUpdate:
    """Hold server records in the order of writing, and the removed servers.

    `is_whole` is set if `records` includes every server, not only changed
    ones. `unreadable` holds the keys whose newest record is malformed. No other
    record was written until `waited` after the read began. `is_restored` is set
    if the store was restored before this read: it may lack servers that have
    not written again yet.
    """

    records: list[ServerRecord]
    unreadable: list[str]
    removed: list[str]
    is_whole: bool
    waited: Millis = 0.0
    is_restored: bool = False


class OperatorFeed:
    """Follow the records of operators."""

    def __init__(self, client: StoreClient, refuse: Refuse) -> None:
        self._feed = _KeyedFeed(client, names.OPERATOR_TOPIC)
        self._refuse = refuse

    async def read(self) -> OperatorUpdate | None:
        """Return new records, None if the position has expired.

        After None, the next call reads the newest record of every key. Raise
        StoreUnavailable.
        """
        is_whole = not self._feed.has_begun
        page = await self._feed.read()
        if page is None:
            return None
        others = [each for each in page.records if not _is_known(each)]
        _decode(others, _raise_unknown_key, self._refuse)
        return OperatorUpdate(
            page.records,
            self._refuse,
            is_complete=page.is_complete,
            is_whole=is_whole,
            is_restored=self._feed.was_restored,
            waited=page.waited,
        )


class ServerFeed:
    """Follow the records of backend servers."""

    def __init__(self, client: StoreClient, refuse: Refuse) -> None:
        self._feed = _KeyedFeed(client, names.SERVER_TOPIC)
        self._refuse = refuse

    async def read(self) -> ServerUpdate | None:
        """Return all servers at the first call, then only changes.

        None means that the position has expired: the next call returns all
        servers again. Raise StoreUnavailable.
        """
        is_whole = not self._feed.has_begun
        page = await self._feed.read()
        if page is None:
            return None
        decoded = _decode(page.records, decode_server, self._refuse)
        return ServerUpdate(
            records=decoded.items,
            unreadable=decoded.unreadable,
            removed=[each.key for each in page.records if each.is_dropped],
            is_whole=is_whole,
            waited=page.waited,
            is_restored=self._feed.was_restored,
        )


async def list_servers(
    client: StoreClient, refuse: Refuse
) -> list[ServerRecord]:
    """Return all servers, ordered by the time of their last record.

    Raise StoreUnavailable.
    """
    try:
        page = await client.list_newest(names.SERVER_TOPIC)
    except StoreRestored:
        page = await client.list_newest(names.SERVER_TOPIC)
    return _decode(page.records, decode_server, refuse).items


class _KeyedFeed:
    """Read the newest record of each key, then the records after them."""

    def __init__(self, client: StoreClient, topic: str) -> None:
        self._client = client
        self._topic = topic
        self._position: int | None = None
        # Whether the last page was the first after a restore of the store.
        self.was_restored = False
        self._is_restored = False

    @property
    def has_begun(self) -> bool:
        return self._position is not None

    async def read(self) -> KeyedPage | None:
        try:
            page = await self._read_page()
        except RecordsExpired as error:
            # Expired records may include changes: list the newest again.
            self._position = None
            self._is_restored = self._is_restored or isinstance(
                error, StoreRestored
            )
            return None
        self._position = page.end
        self.was_restored, self._is_restored = self._is_restored, False
        return page

    async def _read_page(self) -> KeyedPage:
        if self._position is None:
            return await self._client.list_newest(self._topic)
        return await self._client.read_keyed(self._topic, self._position)


@dataclass(frozen=True, slots=True)
class _Decoded(Generic[ItemT]):
    """Hold decoded records and the keys with a malformed newest record."""

    items: list[ItemT]
    unreadable: list[str]


def _decode(
    records: Iterable[KeyedRecord],
    decode: Callable[[str, bytes], ItemT],
    refuse: Refuse,
) -> _Decoded[ItemT]:
    """Decode records in order, skipping and reporting malformed ones."""
    items: list[ItemT] = []
    refused: list[tuple[str, MalformedRecord]] = []
    unreadable: dict[str, None] = {}
    for record in records:
        unreadable.pop(record.key, None)
        if record.is_dropped:
            continue
        try:
            items.append(_decode_one(record, decode))
        except MalformedRecord as error:
            refused.append((record.key, error))
            unreadable[record.key] = None
    report_refused(refused, refuse)
    return _Decoded(items, list(unreadable))


def _decode_one(
    record: KeyedRecord, decode: Callable[[str, bytes], ItemT]
) -> ItemT:
    if record.value is None:
        raise MalformedRecord(record.fault)
    return decode(record.key, record.value)


def report_refused(
    refused: Sequence[tuple[str, MalformedRecord]], refuse: Refuse
) -> None:
    """Report the first few malformed records and the number of the others."""
    for key, error in refused[:_MAX_REPORTED]:
        refuse(key[:_MAX_KEY_LENGTH], error)
    more = len(refused) - _MAX_REPORTED
    if more > 0:
        refuse('', MalformedRecord(f'{more} more malformed records'))


def _is_configuration(record: KeyedRecord) -> bool:
    return record.key == names.CONFIGURATION_KEY


def _is_version(record: KeyedRecord) -> bool:
    return record.key.startswith(names.VERSION_KEY_PREFIX)


def _is_evacuation(record: KeyedRecord) -> bool:
    prefix = names.EVACUATION_KEY_PREFIX
    return record.key.startswith(prefix) and record.key != prefix


def _is_known(record: KeyedRecord) -> bool:
    return (
        _is_configuration(record)
        or _is_version(record)
        or _is_evacuation(record)
    )


def _read_configuration(_: str, data: bytes) -> Deployment:
    return decode_configuration(data)


def _read_version(key: str, data: bytes) -> NamedVersion:
    named = decode_version(data)
    if key != f'{names.VERSION_KEY_PREFIX}{named.model}':
        raise MalformedRecord(
            f'version: found model {show_value(named.model)}; '
            f'expected that of key {show_value(key)}'
        )
    return named


def _raise_unknown_key(key: str, _data: bytes) -> NoReturn:
    raise MalformedRecord(f'key: found {show_value(key)}; no such key is known')
