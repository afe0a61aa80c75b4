"""Follow what operators and backend servers write to the platform's store."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeAlias, TypeVar

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
from oleanderdyke.platform.store import (
    KeyedPage,
    KeyedRecord,
    RecordsExpired,
    StoreClient,
)

# Gets the key of a record that can't be read, and why; the record is left out.
Refuse: TypeAlias = Callable[[str, MalformedRecord], None]

FoundT = TypeVar('FoundT')


@dataclass(frozen=True, slots=True)
class OperatorNews:
    """Hold what operators have written; it is decoded as it is listed.

    `is_complete` tells that nothing more was written when it was asked for,
    nor for `waited` after that.
    """

    records: tuple[KeyedRecord, ...]
    refuse: Refuse
    is_complete: bool = True
    waited: Millis = 0.0

    def list_configurations(self) -> Iterator[Deployment]:
        """Yield the configurations that can be read."""
        for record in self.records:
            if record.key == names.CONFIGURATION_KEY:
                yield from _decode(record, _read_configuration, self.refuse)

    def list_versions(self) -> Iterator[NamedVersion]:
        """Yield the weights that were named."""
        for record in self.records:
            if record.key.startswith(names.VERSION_KEY_PREFIX):
                yield from _decode(record, _read_version, self.refuse)


@dataclass(frozen=True, slots=True)
class ServerNews:
    """Hold what servers wrote, in its order, and whose entries are gone.

    `is_whole` tells that `listed` has every server, not just changed ones.
    """

    listed: list[ServerRecord]
    gone: list[str]
    is_whole: bool


class OperatorFeed:
    """Follow what operators write."""

    def __init__(self, client: StoreClient, refuse: Refuse) -> None:
        self._feed = _KeyedFeed(client, names.OPERATOR_TOPIC)
        self._refuse = refuse

    async def read(self) -> OperatorNews | None:
        """Return what is new; None where it has to be read anew.

        Raise StoreUnavailable.
        """
        page = await self._feed.read()
        if page is None:
            return None
        return OperatorNews(
            page.records, self._refuse, page.is_complete, page.waited
        )


class ServerFeed:
    """Follow the list of backend servers."""

    def __init__(self, client: StoreClient, refuse: Refuse) -> None:
        self._feed = _KeyedFeed(client, names.SERVER_TOPIC)
        self._refuse = refuse

    async def read(self) -> ServerNews | None:
        """Return the whole list, later what has changed.

        None where it has to be read anew. Raise StoreUnavailable.
        """
        is_whole = not self._feed.has_begun
        page = await self._feed.read()
        if page is None:
            return None
        return ServerNews(
            listed=list(_list_servers(page, self._refuse)),
            gone=[each.key for each in page.records if each.value is None],
            is_whole=is_whole,
        )


async def list_servers(
    client: StoreClient, refuse: Refuse
) -> list[ServerRecord]:
    """Return all servers, those that wrote last at the end.

    Raise StoreUnavailable.
    """
    page = await client.list_newest(names.SERVER_TOPIC)
    return list(_list_servers(page, refuse))


class _KeyedFeed:
    """Read the newest records once, then what follows them."""

    def __init__(self, client: StoreClient, topic: str) -> None:
        self._client = client
        self._topic = topic
        self._position: int | None = None

    @property
    def has_begun(self) -> bool:
        return self._position is not None

    async def read(self) -> KeyedPage | None:
        if self._position is None:
            page = await self._client.list_newest(self._topic)
        else:
            try:
                page = await self._client.read_keyed(
                    self._topic, self._position
                )
            except RecordsExpired:
                # What is gone may have held a change: begin with the newest.
                self._position = None
                return None
        self._position = page.end
        return page


def _list_servers(page: KeyedPage, refuse: Refuse) -> Iterator[ServerRecord]:
    for record in page.records:
        yield from _decode(record, decode_server, refuse)


def _decode(
    record: KeyedRecord, decode: Callable[[str, bytes], FoundT], refuse: Refuse
) -> Iterator[FoundT]:
    """Yield what a record holds, nothing where its key was dropped."""
    if record.value is None:
        return
    try:
        yield decode(record.key, record.value)
    except MalformedRecord as error:
        refuse(record.key, error)


def _read_configuration(_: str, data: bytes) -> Deployment:
    return decode_configuration(data)


def _read_version(_: str, data: bytes) -> NamedVersion:
    return decode_version(data)
