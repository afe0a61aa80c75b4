"""Follow what operators and backend servers write to the platform's store."""

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
from oleanderdyke.platform.records import KeyedPage, KeyedRecord
from oleanderdyke.platform.store import (
    RecordsExpired,
    StoreClient,
    StoreRestored,
)

# Gets the key of a record that can't be read, and why; the record is left out.
Refuse: TypeAlias = Callable[[str, MalformedRecord], None]

# Records that are told one by one of those that came together; the others are
# counted. A line costs about as much as reading a good record.
_TOLD = 3
# A key has up to 255 bytes of any kind.
_MOST_KEY = 64

FoundT = TypeVar('FoundT')


@dataclass(frozen=True, slots=True)
class EvacuationOrder:
    """Whether a data centre is being evacuated."""

    data_centre: str
    is_active: bool


@dataclass(frozen=True, slots=True)
class OperatorUpdate:
    """Hold what operators have written; it is decoded as it is listed.

    `is_complete` tells that nothing more was written when it was asked for,
    nor for `waited` after that. `is_whole` tells that the newest record of
    every key is among them, `is_restored` that they follow a restore of the
    store, which may lack what was written last.
    """

    records: tuple[KeyedRecord, ...]
    refuse: Refuse
    is_complete: bool = True
    is_whole: bool = False
    is_restored: bool = False
    waited: Millis = 0.0

    def list_configurations(self) -> Iterator[Deployment]:
        """Yield the configurations that can be read."""
        records = [each for each in self.records if _is_configuration(each)]
        yield from _decode(records, _read_configuration, self.refuse).found

    def list_versions(self) -> Iterator[NamedVersion]:
        """Yield the weights that were named."""
        records = [each for each in self.records if _is_version(each)]
        yield from _decode(records, _read_version, self.refuse).found

    def list_evacuations(self) -> Iterator[EvacuationOrder]:
        """Yield the data centres whose evacuation begins or ends.

        The key alone is the order, so that one whose value can't be read
        still counts.
        """
        for record in self.records:
            if _is_evacuation(record):
                name = record.key.removeprefix(names.EVACUATION_KEY_PREFIX)
                yield EvacuationOrder(name, is_active=not record.is_dropped)


@dataclass(frozen=True, slots=True)
class ServerUpdate:
    """Hold what servers wrote, in its order, and whose entries are gone.

    `is_whole` tells that `records` has every server, not just changed ones.
    `unreadable` are keys whose newest record can't be read. Nothing else was
    written until `waited` after it was asked for. `is_restored` tells that the
    store was restored before, and may lack servers that write again soon.
    """

    records: list[ServerRecord]
    unreadable: list[str]
    removed: list[str]
    is_whole: bool
    waited: Millis = 0.0
    is_restored: bool = False


class OperatorFeed:
    """Follow what operators write."""

    def __init__(self, client: StoreClient, refuse: Refuse) -> None:
        self._feed = _KeyedFeed(client, names.OPERATOR_TOPIC)
        self._refuse = refuse

    async def read(self) -> OperatorUpdate | None:
        """Return what is new; None where it has to be read anew.

        Raise StoreUnavailable.
        """
        is_whole = not self._feed.has_begun
        page = await self._feed.read()
        if page is None:
            return None
        others = [each for each in page.records if not _is_known(each)]
        _decode(others, _refuse_key, self._refuse)
        return OperatorUpdate(
            page.records,
            self._refuse,
            is_complete=page.is_complete,
            is_whole=is_whole,
            is_restored=self._feed.was_restored,
            waited=page.waited,
        )


class ServerFeed:
    """Follow the list of backend servers."""

    def __init__(self, client: StoreClient, refuse: Refuse) -> None:
        self._feed = _KeyedFeed(client, names.SERVER_TOPIC)
        self._refuse = refuse

    async def read(self) -> ServerUpdate | None:
        """Return the whole list, later what has changed.

        None where it has to be read anew. Raise StoreUnavailable.
        """
        is_whole = not self._feed.has_begun
        page = await self._feed.read()
        if page is None:
            return None
        decoded = _decode(page.records, decode_server, self._refuse)
        return ServerUpdate(
            records=decoded.found,
            unreadable=decoded.unreadable,
            removed=[each.key for each in page.records if each.is_dropped],
            is_whole=is_whole,
            waited=page.waited,
            is_restored=self._feed.was_restored,
        )


async def list_servers(
    client: StoreClient, refuse: Refuse
) -> list[ServerRecord]:
    """Return all servers, those that wrote last at the end.

    Raise StoreUnavailable.
    """
    try:
        page = await client.list_newest(names.SERVER_TOPIC)
    except StoreRestored:
        page = await client.list_newest(names.SERVER_TOPIC)
    return _decode(page.records, decode_server, refuse).found


class _KeyedFeed:
    """Read the newest records once, then what follows them."""

    def __init__(self, client: StoreClient, topic: str) -> None:
        self._client = client
        self._topic = topic
        self._position: int | None = None
        # Whether the last page is the first since the store was restored.
        self.was_restored = False
        self._is_void = False

    @property
    def has_begun(self) -> bool:
        return self._position is not None

    async def read(self) -> KeyedPage | None:
        try:
            page = await self._read_page()
        except RecordsExpired as error:
            # What is gone may have held a change: begin with the newest.
            self._position = None
            self._is_void = self._is_void or isinstance(error, StoreRestored)
            return None
        self._position = page.end
        self.was_restored, self._is_void = self._is_void, False
        return page

    async def _read_page(self) -> KeyedPage:
        if self._position is None:
            return await self._client.list_newest(self._topic)
        return await self._client.read_keyed(self._topic, self._position)


@dataclass(frozen=True, slots=True)
class _Decoded(Generic[FoundT]):
    """Hold what records tell; `unreadable` are keys with a bad newest one."""

    found: list[FoundT]
    unreadable: list[str]


def _decode(
    records: Iterable[KeyedRecord],
    decode: Callable[[str, bytes], FoundT],
    refuse: Refuse,
) -> _Decoded[FoundT]:
    """Read records in their order, but for those whose key was dropped."""
    found: list[FoundT] = []
    refused: list[tuple[str, MalformedRecord]] = []
    unread: dict[str, None] = {}
    for record in records:
        unread.pop(record.key, None)
        if record.is_dropped:
            continue
        try:
            found.append(_decode_one(record, decode))
        except MalformedRecord as error:
            refused.append((record.key, error))
            unread[record.key] = None
    report_refused(refused, refuse)
    return _Decoded(found, list(unread))


def _decode_one(
    record: KeyedRecord, decode: Callable[[str, bytes], FoundT]
) -> FoundT:
    if record.value is None:
        raise MalformedRecord(record.fault)
    return decode(record.key, record.value)


def report_refused(
    refused: Sequence[tuple[str, MalformedRecord]], refuse: Refuse
) -> None:
    """Report some of the records that can't be read, and count the rest."""
    for key, error in refused[:_TOLD]:
        refuse(key[:_MOST_KEY], error)
    more = len(refused) - _TOLD
    if more > 0:
        refuse('', MalformedRecord(f"{more} more records can't be read"))


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
        raise MalformedRecord('version: the key names another model')
    return named


def _refuse_key(_: str, _data: bytes) -> NoReturn:
    raise MalformedRecord('the key is not known')
