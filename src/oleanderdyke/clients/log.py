"""Client for the logs of the platform's log service."""

from __future__ import annotations

import ssl
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NoReturn, TypeGuard
from urllib.parse import quote

from oleanderdyke.cbor import dump_cbor, load_cbor
from oleanderdyke.clients.buffered import fetch_body
from oleanderdyke.clients.http import HttpBackend, HttpError, HttpSettings
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran

_OK = 200
# Statuses that guarantee that the service has not stored the records.
_REFUSED = frozenset({429, 503})
_MAX_ANSWER_BYTES = 64 * 1024 * 1024
_RECORD_PARTS = 3
_HEADERS = (('content-type', 'application/cbor'),)


class LogUnavailable(OleanderError):
    """A call failed; `ran` tells whether it may have taken effect."""

    def __init__(self, message: str, *, ran: Ran) -> None:
        super().__init__(ErrorKind.LOG_UNAVAILABLE, message, ran=ran)


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Hold one record; `at` is the service's wall-clock time of appending."""

    offset: int
    at: Millis
    data: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Hold records in offset order.

    `first` is the oldest retained offset, `end` the next one to be assigned.
    """

    records: tuple[LogRecord, ...]
    first: int
    end: int


class LogClient:
    """Client for the log service at `host:port`."""

    def __init__(
        self, address: str, *, tls: ssl.SSLContext | None = None
    ) -> None:
        # The timeout of each call limits its reads.
        settings = HttpSettings(read=None)
        self._http = HttpBackend(address, settings=settings, tls=tls)

    async def append(
        self,
        log: str,
        records: Sequence[bytes],
        *,
        timeout: Millis = 2 * SECOND,
    ) -> int:
        """Append all records at once and return the offset of the first.

        Raise LogUnavailable.
        """
        body = dump_cbor(list(records))
        path = f'/logs/{quote(log, safe="")}'
        answer = await self._call('POST', path, body, timeout)
        first = answer.get('first')
        if not _is_offset(first):
            raise LogUnavailable(
                f'first: found {type(first).__name__}; allowed: an offset',
                ran=Ran.MAYBE,
            )
        return first

    async def read(
        self,
        log: str,
        *,
        start: int,
        limit: int = 1000,
        wait: Millis = 0.0,
        timeout: Millis = 2 * SECOND,
    ) -> LogPage:
        """Return records from `start`, waiting up to `wait` for the first.

        The call takes at most `wait` plus `timeout`. Raise LogUnavailable.
        """
        query = f'from={start}&limit={limit}&wait={int(wait)}'
        path = f'/logs/{quote(log, safe="")}?{query}'
        answer = await self._call('GET', path, None, wait + timeout)
        return _make_page(answer, start)

    async def close(self) -> None:
        """Close every connection."""
        await self._http.close()

    async def _call(
        self, method: str, path: str, body: bytes | None, timeout: Millis
    ) -> dict[object, object]:
        reached = Ran.NO if body is None else Ran.MAYBE
        try:
            status, data = await fetch_body(
                self._http,
                method,
                path,
                headers=_HEADERS,
                body=body,
                within=timeout,
                limit=_MAX_ANSWER_BYTES,
            )
        except HttpError as error:
            ran = Ran.NO if body is None else error.ran
            raise LogUnavailable(error.message, ran=ran) from error
        if status in _REFUSED:
            raise LogUnavailable(
                f'{method} {path}: refused with status {status}', ran=Ran.NO
            )
        if status != _OK:
            raise LogUnavailable(
                f'{method} {path}: found status {status}; expected {_OK}',
                ran=reached,
            )
        return _load_map(data, reached)


def _load_map(data: bytes, ran: Ran) -> dict[object, object]:
    try:
        value = load_cbor(data)
    except OleanderError as error:
        raise LogUnavailable(
            f'answer: found {len(data)} bytes that are no CBOR', ran=ran
        ) from error
    if not isinstance(value, dict):
        raise LogUnavailable(
            f'answer: found {type(value).__name__}; allowed: a map', ran=ran
        )
    return value


def _is_offset(value: object) -> TypeGuard[int]:
    return type(value) is int and value >= 0


def _make_page(answer: dict[object, object], start: int) -> LogPage:
    first, end = answer.get('first'), answer.get('end')
    records = answer.get('records')
    if not _is_offset(first) or not _is_offset(end):
        _raise_malformed_page('first or end that is no offset')
    if not isinstance(records, list):
        _raise_malformed_page('records that are no list')
    page = LogPage(tuple(_make_record(each) for each in records), first, end)
    _check_order(page, start)
    return page


def _make_record(parts: object) -> LogRecord:
    if not isinstance(parts, list) or len(parts) != _RECORD_PARTS:
        _raise_malformed_page('a malformed record')
    offset, at, data = parts
    if not _is_offset(offset) or type(at) not in {int, float}:
        _raise_malformed_page('a malformed record')
    if not isinstance(data, bytes):
        _raise_malformed_page('a malformed record')
    return LogRecord(offset, float(at), data)


def _check_order(page: LogPage, start: int) -> None:
    last = start - 1
    for record in page.records:
        if record.offset <= last:
            _raise_malformed_page('records out of order')
        last = record.offset
    if page.records and last >= page.end:
        _raise_malformed_page('records past the end')


def _raise_malformed_page(fault: str) -> NoReturn:
    raise LogUnavailable(f'page: found {fault}', ran=Ran.NO)
