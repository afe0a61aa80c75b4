"""Call the platform's store of records."""

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
from oleanderdyke.platform.fields import MALFORMED, load_object, read_integer
from oleanderdyke.platform.records import (
    CutShort,
    KeyedPage,
    find_last_key,
    join_record,
    sort_items,
    split_keyed,
    split_records,
)

# The whole answer of a call, beyond the time that it was asked to wait. The
# platform states 4 ms an answer; this leaves room for a lost packet, and with
# the wait of a long read it stays under the bound for a new configuration.
_PATIENCE: Millis = 700.0
_MAX_ANSWER = 64 * 1024 * 1024
_MAX_READ_KB = 1024
_PARTITION = 0
_OK = 200
_EXPIRED = 410
_NOT_FOUND = 404
# Answers of the store itself, which tell its era; others may be of whatever
# turns a process away before it.
_JUDGED = frozenset({_OK, _EXPIRED, _NOT_FOUND})
_ENDS = struct.Struct('>QQ')


class StoreUnavailable(OleanderError):
    """A call to the store gave no proper answer."""

    def __init__(self, message: str, *, ran: Ran = Ran.MAYBE) -> None:
        super().__init__(ErrorKind.LOG_UNAVAILABLE, message, ran=ran)


class RecordsExpired(OleanderError):
    """The store no longer has the records that were asked for.

    `first` is the oldest offset that it has, where it told so.
    """

    def __init__(self, first: int | None = None) -> None:
        super().__init__(ErrorKind.NOT_FOUND, 'the records have expired')
        self.first = first


class StoreRestored(RecordsExpired):
    """The store came back from a copy: offsets that it gave before are void."""


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Hold records as they were read; `end` is where their topic ended.

    For `waited` after they were asked for there surely were no others; it is
    negative where a neighbour had read them before. Offsets hold for `era`.
    """

    records: Sequence[bytes]
    end: int
    waited: Millis = 0.0
    era: int | None = None


@dataclass(frozen=True, slots=True)
class Appended:
    """Where a record was appended; an offset is unique within its era."""

    offset: int
    era: int


class Sharing(Protocol):
    """Read topics together with the neighbours of this process."""

    async def ask(
        self, topic: str, start: int, era: int | None
    ) -> RecordsRead | None:
        """Return what a neighbour read, None to read for oneself.

        Records of another era than the one given are left out.
        """

    async def ask_other(
        self, topic: str, start: int, era: int | None
    ) -> RecordsRead | None:
        """Return the same where this process can't read for itself."""

    def keep(
        self, topic: str, start: int, found: RecordsRead, asked_at: Millis
    ) -> None:
        """Keep what this process read, for its neighbours."""


class StoreClient:
    """Call the store at `host:port`; `wait` is that of every long read.

    Records are read by a neighbour where `sharing` has one that does.
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
        # Whether a neighbour made the last read.
        self.was_shared = False
        self._era = StoreEra()
        # The era in which the positions hold that reads go on from.
        self._read_era: int | None = None
        self._bound = wait + _PATIENCE
        settings = KeepAliveSettings(
            connections=1,
            connect=_PATIENCE,
            reuse_timeout=self._bound,
            read_timeout=self._bound,
            idle_limit=60 * SECOND,
        )
        self._http = KeepAliveHttp(address, settings)

    async def list_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key.

        They are in the order in which they were written. Pages are no
        snapshot: reading on goes from the end of the first. Raise
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
            # Without a later key the same page would come for ever.
            is_last = not page.get('more') or after in {'', before}
        return KeyedPage(sort_items(items), end or 0)

    async def read_keyed(self, topic: str, start: int) -> KeyedPage:
        """Return records from `start` on, waiting for the first.

        Raise StoreUnavailable or RecordsExpired.
        """
        found = await self._read(topic, start)
        # Also records that can't be split count for where to read on.
        keyed = tuple(map(split_keyed, found.records))
        end = start + len(keyed)
        return KeyedPage(
            keyed, end, is_complete=end >= found.end, waited=found.waited
        )

    async def read_plain(self, topic: str, start: int) -> tuple[bytes, ...]:
        """Return the records of a topic of ours from `start` on.

        Raise StoreUnavailable or RecordsExpired.
        """
        found = await self._read(topic, start)
        return tuple(found.records)

    async def _read(self, topic: str, start: int) -> RecordsRead:
        """Return records from `start` on, a neighbour's where it has them."""
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
        """Read from the store, and tell for how long nothing else came."""
        asked_at = anyio.current_time()
        records, end = await self._read_once(topic, start)
        self._check_restored(self._era.highest)
        # What comes before the wait is over tells nothing of the rest of it:
        # counted as waited, it made news up to the whole wait too young.
        is_early = anyio.current_time() - asked_at < self._wait / SECOND
        waited = 0.0 if records or is_early else self._wait
        return RecordsRead(records, end, waited, self._read_era)

    async def _read_once(
        self, topic: str, start: int
    ) -> tuple[list[bytes], int]:
        """Return records from `start` on, and where the topic ends."""
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
            # A topic comes to be with its first record. What is appended
            # during the pause is not seen, so that one is told to be missing.
            await anyio.sleep(self._wait / SECOND)
            return [], 1
        _check(status)
        if len(data) < _ENDS.size:
            raise StoreUnavailable(
                f'log read of {topic!r}: the answer has no end offset'
            )
        # Then the oldest offset that is kept, and the records.
        end, _ = _ENDS.unpack_from(data)
        if end < start:
            self._check_restored(self._era.highest)
            raise RecordsExpired
        try:
            return list(split_records(data[_ENDS.size :])), end
        except CutShort as error:
            raise StoreUnavailable(
                f'log read of {topic!r}: a record is cut short'
            ) from error

    async def append(self, topic: str, record: bytes) -> Appended:
        """Append one record; raise StoreUnavailable."""
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
        """Return some of the newest records and the answer they came with."""
        query = {'topic': topic, 'part': _PARTITION}
        if after:
            query['after'] = after
        status, data = await self._call('GET', '/api/log-newest', query)
        _check(status)
        page = _load(data)
        found = page.get('items') or []
        if not isinstance(found, list):
            raise StoreUnavailable('the answer has no list of records')
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
                within=2 * self._bound,
                limit=_MAX_ANSWER,
            )
        except HttpError as error:
            raise StoreUnavailable(error.message, ran=error.ran) from error
        if found.status in _JUDGED:
            self._take_era(path, found.headers)
        return found.status, found.body

    def _take_era(self, path: str, headers: Headers) -> None:
        try:
            self._era.take(headers)
        except EraFault as error:
            raise StoreUnavailable(f'{path}: {error}') from error


def _check(status: int) -> None:
    if status != _OK:
        raise StoreUnavailable(f'answered with {status}', ran=Ran.NO)


def _load(data: bytes) -> Mapping[str, Any]:
    try:
        return load_object(data)
    except MALFORMED as error:
        raise StoreUnavailable('the answer is no JSON object') from error


def _read_offset(found: Mapping[str, Any], name: str) -> int:
    try:
        return read_integer(found, name)
    except MALFORMED as error:
        raise StoreUnavailable(f'the answer has no {name}') from error
