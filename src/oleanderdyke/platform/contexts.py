"""Ask stores of kept context what they hold, and free parts."""

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
)

# The longest wait that a store allows; shorter ones are dear.
_LONGEST_WAIT: Millis = 1 * SECOND
# Beyond the wait; the view of the store has to stay fresh.
_PATIENCE: Millis = 500.0
_MAX_ANSWER = 16 * 1024 * 1024
_OK = 200
_CROWDED = 429
_ADDED = '+'
_REMOVED = '-'
# The places of an event that are read.
_EVENT_FIELDS = ('number', 'sign', 'salt', 'part', 'tokens')
# What stands in an answer that can't be read may be long.
_MOST_DETAIL = 200


class ContextUnavailable(OleanderError):
    """A store gave no proper answer, or has too many readers."""

    def __init__(self, message: str, *, is_overloaded: bool = False) -> None:
        super().__init__(ErrorKind.NOT_READY, message, ran=Ran.MAYBE)
        self.is_overloaded = is_overloaded


class ContextClient:
    """Call the store at `host:port`.

    Events that can't be read are passed to `refuse` and left out.
    """

    def __init__(self, address: str, refuse: Refuse) -> None:
        self._address = address
        self._refuse = refuse
        bound = _LONGEST_WAIT + _PATIENCE
        settings = KeepAliveSettings(
            connections=1,
            connect=_PATIENCE,
            reuse_timeout=bound,
            read_timeout=bound,
            idle_limit=10 * SECOND,
        )
        self._http = KeepAliveHttp(address, settings)

    async def read_events(
        self, since: int, wait: Millis = _LONGEST_WAIT
    ) -> ContextEvents:
        """Return what changed, waiting for some; raise ContextUnavailable."""
        headers = (('wait-ms', str(int(min(wait, _LONGEST_WAIT)))),)
        status, data = await self._call(
            'GET', f'/api/kv-events?since={since}', headers
        )
        if status != _OK:
            raise ContextUnavailable(
                f'answered with {status}', is_overloaded=status == _CROWDED
            )
        try:
            found = load_object(data)
            return _decode(found, tuple(self._decode_events(found)))
        except MALFORMED as error:
            detail = f'malformed events: {error!r}'[:_MOST_DETAIL]
            raise ContextUnavailable(detail) from error

    def _decode_events(self, found: Mapping[str, Any]) -> list[ContextEvent]:
        """Leave one out as if it had never come, which a few never do."""
        told = found['events']
        if not isinstance(told, list):
            raise FieldError('events: is no list')
        events: list[ContextEvent] = []
        refused: list[tuple[str, MalformedRecord]] = []
        for each in told:
            try:
                events.append(_decode_event(each))
            except MALFORMED as error:
                fault = MalformedRecord(f'event: {error!r}')
                refused.append((self._address, fault))
        report_refused(refused, self._refuse)
        return events

    async def free(
        self, parts: Sequence[tuple[str, str]], boot: int, until: Millis
    ) -> bool:
        """Free parts of just this start of the store, before a moment."""
        body = json.dumps(
            {
                'parts': [list(part) for part in parts],
                'bootEpoch': boot,
                'until_ms': int(until),
            }
        ).encode()
        headers = (('content-type', 'application/json'),)
        status, _ = await self._call('POST', '/api/kv-free', headers, body)
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
    ) -> tuple[int, bytes]:
        try:
            return await fetch_body(
                self._http,
                method,
                path,
                headers=headers,
                body=body,
                within=_LONGEST_WAIT + 2 * _PATIENCE,
                limit=_MAX_ANSWER,
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


def _decode_event(told: Any) -> ContextEvent:
    found = dict(zip(_EVENT_FIELDS, told, strict=False))
    sign, salt = found['sign'], found['salt']
    if sign not in {_ADDED, _REMOVED}:
        raise FieldError('the sign is not named')
    # Whoever saves without a salt has an empty one.
    if not isinstance(salt, str):
        raise FieldError('the salt is no text')
    return ContextEvent(
        is_added=sign == _ADDED,
        salt=salt,
        part=read_text(found, 'part'),
        tokens=read_integer(found, 'tokens'),
        number=read_integer(found, 'number'),
    )
