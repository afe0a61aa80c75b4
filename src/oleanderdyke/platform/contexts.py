"""Client for the stores that hold the cached context of model engines."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any

from oleanderdyke.clients.buffered import fetch_body
from oleanderdyke.clients.http import HttpError
from oleanderdyke.clients.keep_alive import KeepAliveHttp, KeepAliveSettings
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.context_stores import ContextEvent, ContextEvents
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.feed import Refuse, report_refused
from oleanderdyke.platform.fields import (
    MALFORMED,
    FieldError,
    load_object,
    read_flag,
    read_integer,
    read_number,
    read_text,
    show_value,
)

# The longest wait that a store allows; shorter waits mean more requests.
_MAX_WAIT: Millis = 1 * SECOND
# Time for an answer beyond the wait; short, to keep the view of a store fresh.
_ANSWER_TIMEOUT: Millis = 500.0
_MAX_ANSWER_BYTES = 8 * 1024 * 1024
_OK = 200
_TOO_MANY_REQUESTS = 429
_ADDED = '+'
_REMOVED = '-'
# Names of the items of an event, in the order in which they are sent.
_EVENT_FIELDS = ('number', 'sign', 'salt', 'part', 'tokens')
# Bounds error messages, which may quote a malformed answer.
_MAX_DETAIL_LENGTH = 200


class ContextUnavailable(OleanderError):
    """A store could not be reached, refused the call or answered wrongly.

    `is_overloaded` is set where the store refused one more reader.
    """

    def __init__(self, message: str, *, is_overloaded: bool = False) -> None:
        super().__init__(ErrorKind.NOT_READY, message, ran=Ran.MAYBE)
        self.is_overloaded = is_overloaded


class ContextClient:
    """Client for the context store at `host:port`.

    Malformed events are reported to `refuse` and skipped.
    """

    def __init__(self, address: str, refuse: Refuse) -> None:
        self._address = address
        self._refuse = refuse
        bound = _MAX_WAIT + _ANSWER_TIMEOUT
        settings = KeepAliveSettings(
            connections=1,
            connect=_ANSWER_TIMEOUT,
            reuse_timeout=bound,
            read_timeout=bound,
            idle_limit=10 * SECOND,
        )
        self._http = KeepAliveHttp(address, settings)

    async def read_events(
        self, since: int, wait: Millis = _MAX_WAIT
    ) -> ContextEvents:
        """Return the events from number `since` on.

        Wait up to `wait` for the first one. Raise ContextUnavailable.
        """
        headers = (('wait-ms', str(int(min(wait, _MAX_WAIT)))),)
        status, data = await self._call(
            'GET', f'/api/kv-events?since={since}', headers
        )
        if status != _OK:
            raise ContextUnavailable(
                f'GET /api/kv-events: found status {status}; expected {_OK}',
                is_overloaded=status == _TOO_MANY_REQUESTS,
            )
        try:
            found = load_object(data)
            return _decode(found, tuple(self._decode_events(found)))
        except MALFORMED as error:
            detail = f'malformed events: {error!r}'[:_MAX_DETAIL_LENGTH]
            raise ContextUnavailable(detail) from error

    def _decode_events(self, found: Mapping[str, Any]) -> list[ContextEvent]:
        """Decode the events, skipping malformed ones as if lost on the way."""
        items = found['events']
        if not isinstance(items, list):
            raise FieldError(
                f'events: found {show_value(items)}; allowed: a list'
            )
        events: list[ContextEvent] = []
        refused: list[tuple[str, MalformedRecord]] = []
        for item in items:
            try:
                events.append(_decode_event(item))
            except MALFORMED as error:
                fault = MalformedRecord(f'event: {error!r}')
                refused.append((self._address, fault))
        report_refused(refused, self._refuse)
        return events

    async def free(
        self,
        parts: Sequence[tuple[str, str]],
        boot: int,
        until: Millis,
        *,
        within: Millis,
    ) -> bool:
        """Free prompt parts, given as pairs of salt and part.

        The store does so only if its current boot is `boot` and its clock has
        not passed `until`. Return whether it accepted the call. Raise
        ContextUnavailable, also without an answer in time; the parts may be
        free then.
        """
        body = json.dumps(
            {
                'parts': [list(part) for part in parts],
                'bootEpoch': boot,
                'until_ms': int(until),
            }
        ).encode()
        headers = (('content-type', 'application/json'),)
        status, _ = await self._call(
            'POST', '/api/kv-free', headers, body, within=within
        )
        return status == _OK

    async def close(self) -> None:
        """Close every connection."""
        await self._http.close()

    async def _call(
        self,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes = b'',
        within: Millis = _MAX_WAIT + 2 * _ANSWER_TIMEOUT,
    ) -> tuple[int, bytes]:
        try:
            return await fetch_body(
                self._http,
                method,
                path,
                headers=headers,
                body=body,
                within=within,
                limit=_MAX_ANSWER_BYTES,
            )
        except HttpError as error:
            raise ContextUnavailable(error.message) from error


def _decode(
    found: Mapping[str, Any], events: tuple[ContextEvent, ...]
) -> ContextEvents:
    return ContextEvents(
        boot=read_integer(found, 'bootEpoch'),
        next=read_integer(found, 'next'),
        has_gap=read_flag(found, 'lost') if 'lost' in found else False,
        clock=read_number(found, 'clock_ms') if 'clock_ms' in found else 0.0,
        events=events,
    )


def _decode_event(item: Any) -> ContextEvent:
    found = dict(zip(_EVENT_FIELDS, item, strict=False))
    sign, salt = found['sign'], found['salt']
    if sign not in {_ADDED, _REMOVED}:
        raise FieldError(
            f'sign: found {show_value(sign)}; allowed: {_ADDED!r}, {_REMOVED!r}'
        )
    # An empty salt is allowed: it stands for context saved without one.
    if not isinstance(salt, str):
        raise FieldError(f'salt: found {show_value(salt)}; allowed: text')
    # Entries tell each other of events; half a surrogate pair has no encoding.
    salt.encode()
    return ContextEvent(
        is_added=sign == _ADDED,
        salt=salt,
        part=read_text(found, 'part'),
        tokens=read_integer(found, 'tokens'),
        number=read_integer(found, 'number'),
    )
