"""Forward one attempt to the backend server and stream its answer back."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Protocol

from oleanderdyke.agent.backend import Backend, filter_response_headers
from oleanderdyke.agent.event_check import make_event_check
from oleanderdyke.agent.prepare import Preparer
from oleanderdyke.agent.run import Run
from oleanderdyke.clients.http import HttpAnswer, HttpError
from oleanderdyke.clock import Clock
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.event_streams import (
    is_event_stream,
    is_within_event,
    split_events,
)
from oleanderdyke.events import EventName
from oleanderdyke.kernel.claim_runs import RunAnswer
from oleanderdyke.kernel.stream_buffer import Reader, StreamBuffer
from oleanderdyke.kernel.stream_table import StreamTable
from oleanderdyke.links.messages import AnswerHead, Message
from oleanderdyke.logs import EventLog

_RESUME_TOKEN_BYTES = 16
_FRAMING_HEADERS = frozenset({'content-length', 'transfer-encoding'})
_BODILESS_STATUSES = frozenset({204, 304})


class Delivery(Protocol):
    """Deliver the messages of a run to the reader of its stream."""

    def check_status(self, status: int) -> None:
        """Raise HttpError if another server process has answered."""

    def notify_progress(self) -> None:
        """Wake waiters for the start of runs, also of runs without reader."""

    def attach(self, run: Run, buffer: StreamBuffer) -> None:
        """Register the reader of a new stream."""

    def send(self, reader: Reader, messages: Iterable[Message]) -> None:
        """Queue messages for a reader; discard them if it is disconnected."""

    async def push(self, reader: Reader, messages: Sequence[Message]) -> None:
        """Send messages to a reader and wait while its link is slow."""


class Forwarder:
    """Forward attempts to the backend server and stream back the responses."""

    def __init__(
        self,
        backend: Backend,
        preparer: Preparer,
        streams: StreamTable,
        delivery: Delivery,
        *,
        chunk_size: int,
        clock: Clock,
        events: EventLog,
        is_leaving: Callable[[], bool] = bool,
    ) -> None:
        self._backend = backend
        self._preparer = preparer
        self._streams = streams
        self._delivery = delivery
        self._chunk_size = chunk_size
        self._clock = clock
        self._events = events
        self._is_leaving = is_leaving

    async def forward(self, run: Run) -> RunAnswer | None:
        """Forward a run and return its response if a claim requires a record.

        Raises OleanderError.
        """
        prepared = await self._preparer.prepare(run)
        if self._clock.now() >= run.deadline:
            raise OleanderError(
                ErrorKind.DEADLINE,
                'the deadline passed before the request was forwarded',
                ran=Ran.NO,
            )
        run.forwarded = True
        async with self._backend.open(
            run.dispatch.method,
            run.dispatch.path,
            prepared.headers,
            prepared.body,
        ) as answer:
            self._delivery.check_status(answer.status)
            self._open(run, answer)
            await self._forward_body(run, answer)
        _check_end(run)
        if _is_unframed(answer):
            await self._check_server()
        self._preparer.on_complete(run)
        return _make_record(run)

    def finish(self, run: Run) -> None:
        """Close the stream of a run whose response is complete."""
        totals = run.make_totals()
        if run.buffer is not None:
            messages = run.buffer.finish(totals, self._clock.now())
            self._delivery.send(run.reader, messages)
        self._events.write(
            EventName.ANSWER_ENDED,
            request=run.dispatch.request,
            attempt=run.dispatch.attempt,
            peer=run.outbox.peer.process,
            status=run.status,
            chunks=run.chunks,
            length=run.length,
            tokens=totals.prompt_tokens or None,
            recomputed=totals.recomputed_tokens or None,
        )

    def _open(self, run: Run, answer: HttpAnswer) -> None:
        run.status = answer.status
        run.headers = filter_response_headers(answer.headers)
        if run.dispatch.claim is not None:
            run.record = bytearray()
        run.started = True
        run.notify()
        self._delivery.notify_progress()
        self._events.write(
            EventName.ANSWER_STARTED,
            request=run.dispatch.request,
            attempt=run.dispatch.attempt,
            peer=run.outbox.peer.process,
            status=answer.status,
        )
        if run.discarded:
            return
        head = AnswerHead(
            *run.key,
            status=answer.status,
            headers=run.headers,
            resume=secrets.token_hex(_RESUME_TOKEN_BYTES),
        )
        reader = Reader(run.outbox.name, *run.key)
        run.buffer = self._streams.open(
            run.dispatch.team, head, reader, self._clock.now()
        )
        self._delivery.attach(run, run.buffer)
        self._delivery.send(reader, (head,))

    async def _forward_body(self, run: Run, answer: HttpAnswer) -> None:
        check = make_event_check(run.headers)
        async for data in answer.body:
            sound, fault = len(data), ''
            if check is not None:
                sound, fault = check.find_fault(data)
            for piece in self._split(data[:sound]):
                await self._forward_chunk(run, piece)
            if fault:
                raise _make_fault_error(run, fault)

    async def _check_server(self) -> None:
        """Raise HttpError if the end of a connection was that of its server.

        One that stops together with its agent may stop listening before it
        has answered.
        """
        if self._is_leaving():
            return
        try:
            await self._backend.connect()
        except HttpError as error:
            if isinstance(error.__cause__, TimeoutError):
                # A full queue of connections takes no more of them.
                return
            raise HttpError(
                'the server ended with its answer', ran=Ran.MAYBE
            ) from error

    async def _forward_chunk(self, run: Run, data: bytes) -> None:
        run.add_data(data)
        while run.buffer is not None and _must_wait(run.buffer, data):
            await run.wait_changed()
        if run.buffer is None:
            return
        messages = run.buffer.add(data, self._clock.now())
        if messages and run.buffer.reader is not None:
            await self._delivery.push(run.buffer.reader, messages)

    def _split(self, data: bytes) -> Iterator[bytes]:
        size = self._chunk_size
        for start in range(0, len(data), size):
            yield data[start : start + size]


def _check_end(run: Run) -> None:
    """Raise HttpError if a stream has ended within an event."""
    if not is_event_stream(run.headers):
        return
    rest = split_events(run.tail)[-1]
    if is_within_event(rest):
        raise HttpError('the stream ended within an event', ran=Ran.MAYBE)


def _is_unframed(answer: HttpAnswer) -> bool:
    """Return whether the body ends where its connection does."""
    if answer.status in _BODILESS_STATUSES:
        return False
    return _FRAMING_HEADERS.isdisjoint(name for name, _ in answer.headers)


def _make_fault_error(run: Run, fault: str) -> OleanderError:
    return OleanderError(
        ErrorKind.BACKEND_FAILED,
        f'the stream holds bytes that fit no event: {fault}, '
        f'behind {run.length} bytes',
    )


def _must_wait(buffer: StreamBuffer, data: bytes) -> bool:
    return buffer.is_full or buffer.would_drop(data)


def _make_record(run: Run) -> RunAnswer | None:
    if run.dispatch.claim is None:
        return None
    if run.record is None:
        # Status 0 means that the response was complete but too long to keep.
        return RunAnswer(0, (), b'')
    return RunAnswer(run.status, run.headers, bytes(run.record))
