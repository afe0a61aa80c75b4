"""Client for the platform's store of records."""

from __future__ import annotations

import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import urlencode

import anyio

from oleanderdyke.clients.buffered import fetch_answer
from oleanderdyke.clients.http import HttpError
from oleanderdyke.clients.keep_alive import KeepAliveHttp, KeepAliveSettings
from oleanderdyke.clock import SECOND, Clock, Millis, make_clock
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.messages import Headers
from oleanderdyke.platform.eras import EraFault, StoreEra
from oleanderdyke.platform.fields import (
    MALFORMED,
    load_object,
    read_integer,
    show_value,
)
from oleanderdyke.platform.records import (
    CutShort,
    KeyedPage,
    find_last_key,
    join_record,
    sort_items,
    split_keyed,
    split_records,
)

# Time for a complete answer, beyond the wait of the call. The platform states
# 4 ms per answer. This leaves time to resend a lost packet, and together with
# the wait of a long read it is below the limit for applying a configuration.
_ANSWER_TIMEOUT: Millis = 700.0
# A page holds 1 MiB of records at most, here in base64, or one long record.
_MAX_ANSWER_BYTES = 8 * 1024 * 1024
_MAX_READ_KB = 1024
_PARTITION = 0
_OK = 200
_EXPIRED = 410
_NOT_FOUND = 404
# Statuses of the store itself, whose answers carry its era. Others may come
# from a proxy or limiter in front of it.
_STORE_STATUSES = frozenset({_OK, _EXPIRED, _NOT_FOUND})
_ENDS = struct.Struct('>QQ')


class StoreUnavailable(OleanderError):
    """A call to the store failed or returned an invalid answer."""

    def __init__(self, message: str, *, ran: Ran = Ran.MAYBE) -> None:
        super().__init__(ErrorKind.LOG_UNAVAILABLE, message, ran=ran)


class RecordsExpired(OleanderError):
    """The requested records have expired.

    `first` is the oldest offset that the store keeps, None if unknown.
    """

    def __init__(self, first: int | None = None) -> None:
        super().__init__(ErrorKind.NOT_FOUND, 'the records have expired')
        self.first = first


class StoreRestored(RecordsExpired):
    """The store was restored from a backup: earlier offsets are void."""


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Hold records of one read and the end offset of their topic.

    No further records were written within `waited` after the call; it is
    negative if a neighbour read the records before. Offsets are valid in `era`.
    """

    records: Sequence[bytes]
    end: int
    waited: Millis = 0.0
    era: int | None = None


@dataclass(frozen=True, slots=True)
class Appended:
    """Locate an appended record; offsets are unique within an era."""

    offset: int
    era: int


class Sharing(Protocol):
    """Share reads of topics with the neighbours of this process."""

    async def ask(
        self, topic: str, start: int, era: int | None
    ) -> RecordsRead | None:
        """Return records that a neighbour has read, None if there are none.

        Records of an era other than `era` are not returned.
        """

    async def ask_other(
        self, topic: str, start: int, era: int | None
    ) -> RecordsRead | None:
        """Ask a neighbour after a failed read of this process."""

    def keep(
        self, topic: str, start: int, found: RecordsRead, asked_at: Millis
    ) -> None:
        """Keep records that this process has read, for its neighbours."""


class StoreClient:
    """Client for the store at `host:port`.

    `wait` is the time for which a read waits for the first record. With
    `sharing`, records come from a neighbour that has read them, if any.
    """

    def __init__(
        self,
        address: str,
        wait: Millis = 0.0,
        sharing: Sharing | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._wait = wait
        self._clock = clock or make_clock()
        self._sharing = sharing
        # Whether the last read was answered by a neighbour.
        self.was_shared = False
        self._era = StoreEra()
        # The era in which the offsets of earlier reads are valid.
        self._read_era: int | None = None
        self._call_timeout = wait + _ANSWER_TIMEOUT
        settings = KeepAliveSettings(
            connections=1,
            connect=_ANSWER_TIMEOUT,
            reuse_timeout=self._call_timeout,
            read_timeout=self._call_timeout,
            idle_limit=60 * SECOND,
        )
        self._http = KeepAliveHttp(address, settings)

    async def list_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key.

        They are in the order of writing. The pages are no snapshot, so that the
        next read starts at the end offset of the first page. Raise
        StoreUnavailable or StoreRestored.
        """
        items: list[Any] = []
        end, after, is_last = None, '', False
        while not is_last:
            found, page = await self._list_page(topic, after)
            self._check_restored(self._era.highest)
            items += found
            end = _read_offset(page, 'end') if end is None else end
            before, after = after, find_last_key(found)
            # Without a later key the same page would be returned forever.
            is_last = not page.get('more') or after in {'', before}
        return KeyedPage(sort_items(items), end or 0)

    async def read_keyed(self, topic: str, start: int) -> KeyedPage:
        """Return records from `start` on, waiting for the first.

        Raise StoreUnavailable or RecordsExpired.
        """
        found = await self._read(topic, start)
        # Malformed records count for the position too.
        keyed = tuple(map(split_keyed, found.records))
        end = start + len(keyed)
        return KeyedPage(
            keyed, end, is_complete=end >= found.end, waited=found.waited
        )

    async def read_plain(self, topic: str, start: int) -> tuple[bytes, ...]:
        """Return unkeyed records from `start` on, waiting for the first.

        Raise StoreUnavailable or RecordsExpired.
        """
        found = await self._read(topic, start)
        return tuple(found.records)

    async def _read(self, topic: str, start: int) -> RecordsRead:
        """Return records from `start` on, from a neighbour if it has them."""
        sharing = self._sharing
        self.was_shared = False
        if sharing is None:
            return await self._read_waiting(topic, start)
        found = await sharing.ask(topic, start, self._read_era)
        if found is None:
            asked_at = self._clock.now()
            try:
                found = await self._read_waiting(topic, start)
            except StoreUnavailable:
                found = await sharing.ask_other(topic, start, self._read_era)
                if found is None:
                    raise
            else:
                sharing.keep(topic, start, found, asked_at)
                return found
        self._era.adopt(found.era)
        self._check_restored(found.era)
        self.was_shared = True
        return found

    def _check_restored(self, era: int | None) -> None:
        """Raise StoreRestored at the first read of a new era."""
        before, self._read_era = self._read_era, era
        if before is not None and before != era:
            raise StoreRestored

    async def _read_waiting(self, topic: str, start: int) -> RecordsRead:
        """Read from the store, measuring how long no further record came."""
        asked_at = anyio.current_time()
        records, end = await self._read_once(topic, start)
        self._check_restored(self._era.highest)
        # An answer before the end of the wait proves nothing about the rest of
        # the wait. Counting all of it would make records seem up to the whole
        # wait fresher than they are.
        is_early = anyio.current_time() - asked_at < self._wait / SECOND
        waited = 0.0 if records or is_early else self._wait
        return RecordsRead(records, end, waited, self._read_era)

    async def _read_once(
        self, topic: str, start: int
    ) -> tuple[list[bytes], int]:
        """Return records from `start` on and the end offset of the topic."""
        query = {
            'topic': topic,
            'part': _PARTITION,
            'from': start,
            'maxKb': _MAX_READ_KB,
            'waitMs': int(self._wait),
        }
        status, data = await self._call('GET', '/api/log-read', query)
        if status == _EXPIRED:
            self._check_restored(self._era.highest)
            raise RecordsExpired(_read_offset(_load(data), 'first'))
        if status == _NOT_FOUND and not start:
            # A topic is created with its first record. A record appended during
            # the pause is missed, so the end offset is given as 1: the read
            # doesn't count as complete.
            await anyio.sleep(self._wait / SECOND)
            return [], 1
        _check(status)
        if len(data) < _ENDS.size:
            raise StoreUnavailable(
                f'log read of {topic!r}: found {len(data)} bytes; '
                f'expected at least the {_ENDS.size} of the offsets'
            )
        # The header holds the end offset and the oldest offset; records follow.
        end, _ = _ENDS.unpack_from(data)
        if end < start:
            self._check_restored(self._era.highest)
            raise RecordsExpired
        try:
            return list(split_records(data[_ENDS.size :])), end
        except CutShort as error:
            raise StoreUnavailable(
                f'log read of {topic!r}: '
                f'found {len(data)} bytes that end within a record'
            ) from error

    async def append(self, topic: str, record: bytes) -> Appended:
        """Append one record and return its offset; raise StoreUnavailable."""
        query = {'topic': topic, 'part': _PARTITION}
        status, data = await self._call(
            'POST', '/api/log-append', query, join_record(record)
        )
        _check(status)
        offset = _read_offset(_load(data), 'offset')
        return Appended(offset, self._era.highest or 0)

    async def close(self) -> None:
        """Close every connection."""
        await self._http.close()

    async def _list_page(
        self, topic: str, after: str
    ) -> tuple[list[Any], Mapping[str, Any]]:
        """Return one page of the newest records, and its whole document."""
        query = {'topic': topic, 'part': _PARTITION}
        if after:
            query['after'] = after
        status, data = await self._call('GET', '/api/log-newest', query)
        _check(status)
        page = _load(data)
        found = page.get('items') or []
        if not isinstance(found, list):
            raise StoreUnavailable(
                f'items: found {show_value(found)}; allowed: a list'
            )
        return found, page

    async def _call(
        self, method: str, path: str, query: dict[str, Any], body: bytes = b''
    ) -> tuple[int, bytes]:
        target = f'{path}?{urlencode(query)}'
        try:
            found = await fetch_answer(
                self._http,
                method,
                target,
                body=body,
                within=2 * self._call_timeout,
                limit=_MAX_ANSWER_BYTES,
            )
        except HttpError as error:
            raise StoreUnavailable(error.message, ran=error.ran) from error
        if found.status in _STORE_STATUSES:
            self._update_era(path, found.headers)
        return found.status, found.body

    def _update_era(self, path: str, headers: Headers) -> None:
        try:
            self._era.update(headers)
        except EraFault as error:
            raise StoreUnavailable(f'{path}: {error}') from error


def _check(status: int) -> None:
    if status != _OK:
        raise StoreUnavailable(
            f'found status {status}; expected {_OK}', ran=Ran.NO
        )


def _load(data: bytes) -> Mapping[str, Any]:
    try:
        return load_object(data)
    except MALFORMED as error:
        raise StoreUnavailable(
            f'answer: found {len(data)} bytes that are no JSON object: '
            f'{type(error).__name__}'
        ) from error


def _read_offset(found: Mapping[str, Any], name: str) -> int:
    try:
        return read_integer(found, name)
    except MALFORMED as error:
        raise StoreUnavailable(f'malformed answer: {error!r}') from error
