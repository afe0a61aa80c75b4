"""Ask stores of kept context what they hold, and free parts."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from oleanderdyke.clients.http import HttpError
from oleanderdyke.clients.kept import KeptHttp, KeptSettings
from oleanderdyke.clients.whole import read_whole
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.context_stores import ContextEvent, ContextEvents

# The longest wait that a store allows; shorter ones are dear.
_WAIT: Millis = 1 * SECOND
# Beyond the wait; the view of the store has to stay fresh.
_PATIENCE: Millis = 500.0
_MAX_ANSWER = 16 * 1024 * 1024
_OK = 200
_CROWDED = 429
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)
_ADDED = '+'


class ContextUnavailable(OleanderError):
    """Tell that a store gave no proper answer, or has too many readers."""

    def __init__(self, message: str, *, is_crowded: bool = False) -> None:
        super().__init__(ErrorKind.NOT_READY, message, ran=Ran.MAYBE)
        self.is_crowded = is_crowded


class ContextClient:
    """Call the store at `host:port`."""

    def __init__(self, address: str) -> None:
        bound = _WAIT + _PATIENCE
        settings = KeptSettings(
            connections=1,
            connect=_PATIENCE,
            patience=bound,
            silence=bound,
            idle=10 * SECOND,
        )
        self._http = KeptHttp(address, settings)

    async def read_events(self, since: int) -> ContextEvents:
        """Return what changed, waiting for some; raise ContextUnavailable."""
        headers = (('wait-ms', str(int(_WAIT))),)
        status, data = await self._call(
            'GET', f'/api/kv-events?since={since}', headers
        )
        if status != _OK:
            raise ContextUnavailable(
                f'answered with {status}', is_crowded=status == _CROWDED
            )
        try:
            return _decode(json.loads(data))
        except _MALFORMED as error:
            raise ContextUnavailable(f'malformed events: {error!r}') from error

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
            return await read_whole(
                self._http,
                method,
                path,
                headers=headers,
                body=body,
                within=_WAIT + 2 * _PATIENCE,
                limit=_MAX_ANSWER,
            )
        except HttpError as error:
            raise ContextUnavailable(error.message) from error


def _decode(found: Any) -> ContextEvents:
    return ContextEvents(
        boot=int(found['bootEpoch']),
        next=int(found['next']),
        has_gap=bool(found.get('lost', False)),
        clock=float(found.get('clock_ms') or 0.0),
        events=tuple(_decode_event(each) for each in found['events']),
    )


def _decode_event(found: Sequence[Any]) -> ContextEvent:
    _, sign, salt, part, tokens, *_ = found
    return ContextEvent(sign == _ADDED, str(salt), str(part), int(tokens))
