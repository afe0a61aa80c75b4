"""Deliver the answer of a request to its caller."""

from __future__ import annotations

import json

from oleanderdyke.clock import Clock, Millis
from oleanderdyke.entry.answers import Answer, encode_error
from oleanderdyke.entry.edge import return_headers
from oleanderdyke.entry.sse import EventNumberer, Position
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.event_streams import is_event_stream
from oleanderdyke.kernel.attempt_events import (
    DeliverChunk,
    DeliverEnd,
    DeliverHead,
    Refuse,
)
from oleanderdyke.links.messages import AnswerEnd, Headers
from oleanderdyke.metrics import Metrics, Timing

RESUME_HEADER = 'oleander-resume'
_MIN_CHUNKS_FOR_MEAN = 2


class Delivery:
    """Send one answer; number its events if it is an event stream."""

    def __init__(
        self,
        answer: Answer,
        *,
        request: str,
        label: str,
        clock: Clock,
        metrics: Metrics,
        extra: Headers = (),
        position: Position | None = None,
    ) -> None:
        self._answer = answer
        self._request = request
        self._label = label
        self._clock = clock
        self._metrics = metrics
        self._extra = extra
        self._position = position or Position()
        self._numberer: EventNumberer | None = None
        self._head: tuple[int, Headers] | None = None
        self._unsent: list[bytes] = []
        self._started = clock.now()
        self._last_chunk: Millis | None = None
        self.resume = ''
        self.chunks = 0
        self.first_token: Millis | None = None
        self.error: OleanderError | None = None
        self.end: AnswerEnd | None = None

    @property
    def ended(self) -> bool:
        """Return whether the answer has ended, successfully or not."""
        return self._answer.ended or self.error is not None

    @property
    def unsent_count(self) -> int:
        """Return the number of chunks not sent yet."""
        return len(self._unsent)

    @property
    def status(self) -> int:
        """Return the HTTP status sent, 0 before the head."""
        return self._answer.status

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a server-sent event stream."""
        return self._numberer is not None

    @property
    def between_tokens(self) -> Millis | None:
        """Return the mean time between chunks; None for fewer than two."""
        if self.first_token is None or self._last_chunk is None:
            return None
        if self.chunks < _MIN_CHUNKS_FOR_MEAN:
            return None
        streamed = self._last_chunk - self._started - self.first_token
        return streamed / (self.chunks - 1)

    @property
    def can_forward_chunk(self) -> bool:
        """Return whether `forward_chunk` may be called."""
        if self._head is not None or self._unsent or self.error is not None:
            return False
        return self.first_token is not None and self._answer.is_writable

    def forward_chunk(self, chunk: DeliverChunk) -> None:
        """Send a chunk without blocking; requires `can_forward_chunk`."""
        self.put_chunk(chunk)
        data = self._take_unsent()
        if data:
            self._answer.write(data)

    def put_head(self, head: DeliverHead) -> None:
        """Store the head; `head.resume` is the token for the caller."""
        headers = return_headers(head.headers)
        if is_event_stream(headers):
            self._numberer = EventNumberer(self._position)
        self.resume = head.resume
        if head.resume:
            headers = (*headers, (RESUME_HEADER, head.resume))
        self._head = (head.status, headers + self._extra)

    def put_chunk(self, chunk: DeliverChunk) -> None:
        """Queue a chunk of the answer for `flush`."""
        self._time_chunk()
        data = chunk.data
        if self._numberer is not None:
            data = self._numberer.take(data)
        self._unsent.append(data)

    async def flush(self) -> None:
        """Send the queued head and chunks; wait for a slow caller.

        The head is sent with the first chunk. That of an event stream is
        sent at once, to give the caller its resume token early.
        """
        if self._numberer is None and not self._unsent:
            return
        if self._head is not None:
            status, headers = self._head
            self._head = None
            await self._answer.start(status, headers)
        if self._unsent:
            data = self._take_unsent()
            if data:
                await self._answer.send(data)

    async def send_end(self, end: DeliverEnd) -> None:
        """Send the rest of the answer and end it."""
        if self._numberer is not None:
            self._unsent.append(self._numberer.finish())
        self.end = end.end
        data = self._take_unsent()
        if self._head is None:
            await self._answer.end(data)
            return
        status, headers = self._head
        self._head = None
        await self._answer.send_whole(status, data, headers)

    async def refuse(self, refuse: Refuse) -> None:
        """Send a refusal, or break off an answer that has started."""
        await self.fail(
            OleanderError(
                refuse.kind,
                refuse.detail or _describe_kind(refuse.kind),
                ran=refuse.ran,
                retry_after=refuse.retry_after,
            )
        )

    async def fail(self, error: OleanderError) -> None:
        """Send an error, or break off an answer that has started."""
        if self.ended:
            return
        self.error = error
        if not self._answer.started:
            await self._answer.send_error(error)
            return
        await self.flush()
        if self._numberer is not None:
            body = encode_error(error, self._request)
            await self._answer.send(b'event: error\ndata: ' + body + b'\n\n')

    async def hand_over(self) -> None:
        """Break off a stream; direct the caller to another entry."""
        if self.ended:
            return
        self.error = OleanderError(
            ErrorKind.STOPPING, 'resume through another entry', ran=Ran.MAYBE
        )
        await self.flush()
        if self._numberer is not None:
            body = json.dumps({'resume': self.resume}).encode()
            await self._answer.send(b'event: resume\ndata: ' + body + b'\n\n')

    def _take_unsent(self) -> bytes:
        data = b''.join(self._unsent)
        self._unsent.clear()
        return data

    def _time_chunk(self) -> None:
        now = self._clock.now()
        self.chunks += 1
        if self._last_chunk is None:
            self.first_token = now - self._started
            timing, previous = Timing.FIRST_TOKEN, self._started
        else:
            timing, previous = Timing.BETWEEN_TOKENS, self._last_chunk
        # Without streaming, the time of the first chunk is not that of a token.
        label = self._label if self.is_stream else f'{self._label}:whole'
        self._metrics.time(timing, now - previous, label)
        self._last_chunk = now


def _describe_kind(kind: ErrorKind) -> str:
    return kind.value.replace('_', ' ')
