"""Call the platform's store of records."""

from __future__ import annotations

import base64
import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import anyio

from oleanderdyke.clients.http import HttpError
from oleanderdyke.clients.kept import KeptHttp, KeptSettings
from oleanderdyke.clients.whole import read_whole
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran

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
_LENGTH = struct.Struct('>I')
_ENDS = struct.Struct('>QQ')


class StoreUnavailable(OleanderError):
    """Tell that a call to the store gave no proper answer."""

    def __init__(self, message: str, *, ran: Ran = Ran.MAYBE) -> None:
        super().__init__(ErrorKind.LOG_UNAVAILABLE, message, ran=ran)


class RecordsExpired(OleanderError):
    """Tell that the store no longer has the records that were asked for.

    `first` is the oldest offset that it has, where it told so.
    """

    def __init__(self, first: int | None = None) -> None:
        super().__init__(ErrorKind.NOT_FOUND, 'the records have expired')
        self.first = first


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Hold one record; without a value its key is dropped."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Hold records in their order; `end` is where to read on.

    `is_complete` tells that there were no more when they were read. For
    `waited` after the call there surely were none: a read that waits answers
    with the first.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_complete: bool = True
    waited: Millis = 0.0


class StoreClient:
    """Call the store at `host:port`; `wait` is that of every long read."""

    def __init__(self, address: str, wait: Millis = 0.0) -> None:
        self._wait = wait
        self._bound = wait + _PATIENCE
        settings = KeptSettings(
            connections=1,
            connect=_PATIENCE,
            patience=self._bound,
            silence=self._bound,
            idle=60 * SECOND,
        )
        self._http = KeptHttp(address, settings)

    async def list_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key; raise StoreUnavailable.

        They are in the order in which they were written. Pages are no
        snapshot: reading on goes from the end of the first.
        """
        items: list[Any] = []
        end, after, more = None, '', True
        while more:
            query = {'topic': topic, 'part': _PARTITION}
            if after:
                query['after'] = after
            page = await self._get_json('/api/log-newest', query)
            found = page.get('items') or ()
            items += found
            end = page['end'] if end is None else end
            more = bool(page.get('more')) and bool(found)
            after = found[-1]['key'] if found else ''
        items.sort(key=lambda item: int(item.get('offset', 0)))
        return KeyedPage(tuple(map(_decode_item, items)), int(end or 0))

    async def read_keyed(self, topic: str, start: int) -> KeyedPage:
        """Return records from `start` on, waiting for the first.

        Raise StoreUnavailable or RecordsExpired.
        """
        records, last = await self._read(topic, start)
        keyed = tuple(_decode_keyed(each) for each in records)
        end = start + len(keyed)
        return KeyedPage(
            keyed,
            end,
            is_complete=end >= last,
            waited=0.0 if keyed else self._wait,
        )

    async def read_plain(self, topic: str, start: int) -> tuple[bytes, ...]:
        """Return the records of a topic of ours from `start` on.

        Raise StoreUnavailable or RecordsExpired.
        """
        records, _ = await self._read(topic, start)
        return tuple(records)

    async def _read(self, topic: str, start: int) -> tuple[list[bytes], int]:
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
            raise RecordsExpired(int(_load(data).get('first', 0)))
        if status == _NOT_FOUND and not start:
            # A topic comes to be with its first record.
            await anyio.sleep(self._wait / SECOND)
            return [], 0
        _check(status)
        if len(data) < _ENDS.size:
            raise StoreUnavailable('a read has no ends')
        # Then the oldest offset that is kept, and the records.
        end, _ = _ENDS.unpack_from(data)
        if end < start:
            raise RecordsExpired
        return list(_split_records(data[_ENDS.size :])), end

    async def append(self, topic: str, record: bytes) -> int:
        """Append one record and return its offset; raise StoreUnavailable."""
        query = {'topic': topic, 'part': _PARTITION}
        body = _LENGTH.pack(len(record)) + record
        status, data = await self._call('POST', '/api/log-append', query, body)
        _check(status)
        return int(_load(data)['offset'])

    async def close(self) -> None:
        """Close every connection."""
        await self._http.close()

    async def _get_json(self, path: str, query: dict[str, Any]) -> Any:
        status, data = await self._call('GET', path, query)
        _check(status)
        return _load(data)

    async def _call(
        self, method: str, path: str, query: dict[str, Any], body: bytes = b''
    ) -> tuple[int, bytes]:
        target = f'{path}?{urlencode(query)}'
        try:
            return await read_whole(
                self._http,
                method,
                target,
                body=body,
                within=2 * self._bound,
                limit=_MAX_ANSWER,
            )
        except HttpError as error:
            raise StoreUnavailable(error.message, ran=error.ran) from error


def _check(status: int) -> None:
    if status != _OK:
        raise StoreUnavailable(f'answered with {status}', ran=Ran.NO)


def _load(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError as error:
        raise StoreUnavailable('the answer is no JSON') from error


def _decode_item(item: Any) -> KeyedRecord:
    value = base64.b64decode(item.get('value') or '')
    return KeyedRecord(str(item['key']), value or None)


def _split_records(data: bytes) -> Iterator[bytes]:
    position = 0
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            raise StoreUnavailable('a record is cut short')
        yield data[position : position + length]
        position += length


def _decode_keyed(record: bytes) -> KeyedRecord:
    """Split a record: one byte for the key's length, the key, the value."""
    if not record or len(record) < 1 + record[0]:
        raise StoreUnavailable('a record has no key')
    split = 1 + record[0]
    key = record[1:split].decode('utf-8', 'replace')
    return KeyedRecord(key, record[split:] or None)
