"""A client of one stream, which takes it up again where it broke off."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import anyio

from tests.hosted import make_request
from tools.soak.arrivals import Observations
from tools.soak.attempts import Attempt, Outcome, StreamEvent
from tools.soak.configuration import GAP, TARGET
from tools.soak.events import (
    AnswerHead,
    EventReader,
    StreamPath,
    decode_event,
    read_body,
    read_head,
)

# A client leaves a stream that is silent for this long.
_GAP_SECONDS = max(2.0, 4 * TARGET, 8 * GAP)
_RETRY_SECONDS = 0.2
_WAIT_SHARE = 1 / 3
_PROMISES = frozenset({408, 421, 429, 503})
_FINAL_STATUSES = frozenset({400, 401, 403, 404, 413, 431})


class _Left(Exception):
    """Raised as the client breaks a stream off."""


@dataclass
class StreamCall:
    """Follow one stream over as many tries as its deadline allows.

    `make_name` returns a new request id, and `find_timeout` the timeout of the
    route.
    """

    path: StreamPath
    deadline: float
    observations: Observations
    now: Callable[[], float]
    make_name: Callable[[], str]
    find_timeout: Callable[[], float]
    is_done: bool = False
    # How long to wait before the next try.
    pause: float = 0.0
    # The client breaks off after so many events, 0 for never.
    leave_after: int = 0
    # Whether it tells which request began the stream.
    is_named: bool = True
    events: list[StreamEvent] = field(default_factory=list)
    _last: int = 0
    # The try that brought the first event.
    _first: str = ''
    _reader: EventReader = field(default_factory=EventReader)

    async def send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        process: str,
    ) -> bool:
        """Try once on a connection; return whether it stays open."""
        left = self.deadline - self.now()
        if left <= 0:
            self.is_done = True
            return True
        attempt = self._begin(process, left)
        writer.write(self._make_request(attempt, left))
        try:
            is_open = await self._read(reader, attempt)
        except TimeoutError:
            self._give_up(attempt)
            return False
        except _Left:
            attempt.end(Outcome.LEFT, self.now())
            return False
        except (OSError, EOFError):
            self._take_cut(attempt)
            return False
        except ValueError:
            attempt.is_garbled = True
            self._take_cut(attempt)
            return False
        return is_open

    def _begin(self, process: str, left: float) -> Attempt:
        now = self.now()
        attempt = Attempt(
            self.make_name(),
            process,
            now,
            limit=now + min(left, self.find_timeout()),
            stream=self.path.name,
            after=self._last,
            last=self.path.events,
            is_named=self.is_named,
        )
        self.observations.attempts.append(attempt)
        self.observations.record_sent(
            attempt.request, now, is_idempotent=self.path.is_resumable
        )
        return attempt

    def _make_request(self, attempt: Attempt, left: float) -> bytes:
        return make_request(
            self.path.format(),
            oleanderdyke_request_id=attempt.request,
            oleanderdyke_deadline_ms=f'{left * 1000:.0f}',
            last_event_id=str(self._last) if self._last else '',
            resumes=self._first if self.is_named else '',
            connection='keep-alive',
        )

    async def _read(
        self, reader: asyncio.StreamReader, attempt: Attempt
    ) -> bool:
        with anyio.fail_after(_GAP_SECONDS):
            head = await read_head(reader)
        attempt.status = head.status
        parts = read_body(reader, head)
        if head.is_stream:
            await self._read_events(parts, attempt)
        else:
            async for _ in parts:
                pass
        attempt.end(Outcome.ANSWERED, self.now())
        self.observations.record_stream(attempt)
        self._take_end(head)
        return head.headers.get('connection') != 'close'

    async def _read_events(
        self, parts: AsyncIterator[bytes], attempt: Attempt
    ) -> None:
        self._reader = EventReader()
        while True:
            with anyio.fail_after(_GAP_SECONDS):
                part = await anext(parts, None)
            if part is None:
                attempt.is_garbled |= self._reader.has_rest
                return
            for data in self._reader.feed(part):
                self._take_event(data, attempt)

    def _take_event(self, data: bytes, attempt: Attempt) -> None:
        event = decode_event(data, self.now())
        if event is None:
            attempt.is_garbled = True
            return
        attempt.events.append(event)
        self.events.append(event)
        self._first = self._first or attempt.request
        self._last = max(self._last, event.number)
        if self.leave_after and self._last >= self.leave_after:
            raise _Left

    def _take_end(self, head: AnswerHead) -> None:
        self.is_done = head.is_stream or self._is_final(head.status)
        wait = float(head.headers.get('retry-after') or _RETRY_SECONDS)
        left = max(self.deadline - self.now(), 0.0)
        self.pause = min(wait, left * _WAIT_SHARE)

    def _is_final(self, status: int) -> bool:
        if self.path.is_resumable:
            return status in _FINAL_STATUSES
        return status not in _PROMISES

    def _take_cut(self, attempt: Attempt) -> None:
        attempt.end(Outcome.CUT, self.now())
        self.observations.record_broken()
        self.pause = 0.0 if attempt.events else _RETRY_SECONDS
        self.is_done = not self.path.is_resumable

    def _give_up(self, attempt: Attempt) -> None:
        attempt.end(Outcome.GAVE_UP, self.now())
        self.observations.record_broken()
        self.is_done = True
