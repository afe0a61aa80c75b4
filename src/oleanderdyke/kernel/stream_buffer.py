"""Buffer the recent chunks of running answers so they can be resumed."""

from __future__ import annotations

import hashlib
from collections import deque
from dataclasses import dataclass, replace
from itertools import islice
from typing import NamedTuple, TypeAlias

from oleanderdyke.clock import MINUTE, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.streams import ANSWER_DIGEST_BYTES
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Credit,
    Failed,
)

Outgoing: TypeAlias = AnswerHead | AnswerChunk | AnswerEnd

# Bytes charged for each buffered chunk in addition to its data.
CHUNK_OVERHEAD_BYTES = 64


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Limit the stream buffers of one agent.

    `hold` is how long sent chunks and idle streams are kept; `credit` is the
    number of chunks that a new reader may receive before it grants more.
    """

    stream_bytes: int = 256 * 1024
    total_bytes: int = 16 * 1024 * 1024
    streams: int = 1_024
    hold: Millis = MINUTE
    credit: int = 64


@dataclass(slots=True)
class BufferBudget:
    """Count the bytes held by all buffers of an agent."""

    limit: int
    used: int = 0

    @property
    def is_over(self) -> bool:
        """Return whether the buffers together exceed the limit."""
        return self.used > self.limit


@dataclass(frozen=True, slots=True)
class Reader:
    """Identify the receiver of a stream: a link, request id and attempt."""

    link: str
    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Resumed:
    """Hold messages for the new reader and a notice for the previous one."""

    stream: StreamBuffer
    messages: tuple[Outgoing, ...]
    superseded: Reader | None = None
    notice: Failed | None = None


@dataclass(frozen=True, slots=True)
class AnswerTotals:
    """Hold the totals that the end of an answer reports."""

    recomputed_tokens: int = 0
    prompt_tokens: int = 0
    link_bytes: int = 0


class _Chunk(NamedTuple):
    data: bytes
    at: Millis
    cost: int


class StreamBuffer:
    """Buffer one answer's chunks between its producer and its reader.

    The code that opens the stream must send the head itself.
    """

    def __init__(
        self,
        head: AnswerHead,
        reader: Reader,
        limits: StreamLimits,
        budget: BufferBudget,
        now: Millis,
    ) -> None:
        self._head = head
        self._limits = limits
        self._budget = budget
        self._chunks: deque[_Chunk] = deque()
        self._first = 0
        self._unsent_bytes = 0
        self._digest = _make_digest()
        self._totals: AnswerTotals | None = None
        self._last_activity = now
        self._held_bytes = 0
        self.reader: Reader | None = None
        self._attach(reader, 0, now)

    @property
    def is_full(self) -> bool:
        """Return whether the producer must wait for chunks to be sent."""
        # Without a reader, chunks already sent may have to be sent again.
        needed = self._held_bytes if self.reader is None else self._unsent_bytes
        if needed >= self._limits.stream_bytes:
            return True
        return self._budget.is_over and self._unsent_bytes > 0

    @property
    def is_finished(self) -> bool:
        """Return whether the producer has ended the answer."""
        return self._totals is not None

    @property
    def is_sent(self) -> bool:
        """Return whether the end was sent to the current reader."""
        return self._is_end_sent

    @property
    def held_bytes(self) -> int:
        """Return the bytes charged for the buffered chunks."""
        return self._held_bytes

    def would_drop(self, data: bytes) -> bool:
        """Return whether adding drops a sent chunk while others are unsent.

        A reader whose link then breaks could not resume at that chunk.
        """
        cost = len(data) + CHUNK_OVERHEAD_BYTES
        exceeds = self._held_bytes + cost > self._limits.stream_bytes
        return exceeds and self._unsent_bytes > 0

    def add(self, data: bytes, now: Millis) -> tuple[Outgoing, ...]:
        """Add a chunk from the producer; return the messages to send now.

        Raises OleanderError INTERNAL while `is_full` or once finished.
        """
        if self.is_full or self.is_finished:
            raise OleanderError(
                ErrorKind.INTERNAL,
                'chunk added to a stream that is full or finished',
            )
        cost = len(data) + CHUNK_OVERHEAD_BYTES
        self._chunks.append(_Chunk(data, now, cost))
        self._digest.update(data)
        self._unsent_bytes += cost
        self._charge(cost)
        return self._flush(now)

    def finish(self, totals: AnswerTotals, now: Millis) -> tuple[Outgoing, ...]:
        """End the answer; return the messages to send now."""
        self._totals = totals
        return self._flush(now)

    def grant(self, credit: Credit, now: Millis) -> tuple[Outgoing, ...]:
        """Add credit of the current reader; return the messages to send now."""
        reader = self.reader
        if reader is None or credit.chunks <= 0:
            return ()
        if (credit.request, credit.attempt) != (reader.request, reader.attempt):
            return ()
        self._credit += credit.chunks
        self._last_activity = now
        return self._flush(now)

    def detach(self, link: str, now: Millis) -> None:
        """Remove the reader if it is on the given lost link."""
        if self.reader is not None and self.reader.link == link:
            self.reader = None
            self._last_activity = now

    def resume_from(
        self, sequence: int, reader: Reader, now: Millis
    ) -> Resumed | None:
        """Hand the stream to a new reader from a sequence on.

        Returns None if that chunk was dropped or lies beyond the next chunk.
        """
        if not self._first <= sequence <= self._first + len(self._chunks):
            return None
        previous = self.reader
        self._attach(reader, sequence, now)
        head = replace(
            self._head, request=reader.request, attempt=reader.attempt
        )
        return Resumed(
            stream=self,
            messages=(head, *self._flush(now)),
            superseded=previous,
            notice=None if previous is None else _make_superseded(previous),
        )

    def is_expired(self, now: Millis) -> bool:
        """Return whether the stream was idle for the hold time.

        A running stream with a reader and no unsent chunks does not expire.
        """
        if now - self._last_activity < self._limits.hold:
            return False
        if self.reader is None or self.is_finished:
            return True
        return self._unsent_bytes > 0

    def trim(self, now: Millis) -> None:
        """Drop sent chunks that exceed the limits in size or age."""
        while self._first < self._sent and self._is_surplus(now):
            cost = self._chunks.popleft().cost
            self._first += 1
            self._charge(-cost)

    def clear(self) -> None:
        """Drop all chunks and release their bytes from the budget."""
        self._charge(-self._held_bytes)
        self._chunks.clear()

    def _attach(self, reader: Reader, sequence: int, now: Millis) -> None:
        self.reader = reader
        self._sent = sequence
        self._resumed_at = sequence
        self._resumed_digest = _make_digest()
        self._credit = self._limits.credit
        self._is_end_sent = False
        self._last_activity = now
        unsent = islice(self._chunks, sequence - self._first, None)
        self._unsent_bytes = sum(chunk.cost for chunk in unsent)

    def _flush(self, now: Millis) -> tuple[Outgoing, ...]:
        messages = () if self.reader is None else self._send(self.reader)
        if messages:
            self._last_activity = now
        self.trim(now)
        return messages

    def _send(self, reader: Reader) -> tuple[Outgoing, ...]:
        messages: list[Outgoing] = []
        last = self._first + len(self._chunks)
        while self._credit > 0 and self._sent < last:
            messages.append(self._send_next(reader))
        if self._totals is not None and self._is_end_due(last):
            messages.append(self._make_end(reader, self._totals))
        return tuple(messages)

    def _send_next(self, reader: Reader) -> AnswerChunk:
        chunk = self._chunks[self._sent - self._first]
        message = AnswerChunk(
            reader.request, reader.attempt, self._sent, chunk.data
        )
        if self._resumed_at:
            self._resumed_digest.update(chunk.data)
        self._sent += 1
        self._credit -= 1
        self._unsent_bytes -= chunk.cost
        return message

    def _is_end_due(self, last: int) -> bool:
        return self._sent == last and not self._is_end_sent

    def _make_end(self, reader: Reader, totals: AnswerTotals) -> AnswerEnd:
        self._is_end_sent = True
        resumed = self._resumed_digest if self._resumed_at else self._digest
        return AnswerEnd(
            request=reader.request,
            attempt=reader.attempt,
            count=self._sent,
            digest=self._digest.digest(),
            recomputed_tokens=totals.recomputed_tokens,
            prompt_tokens=totals.prompt_tokens,
            link_bytes=totals.link_bytes,
            resumed_digest=resumed.digest(),
        )

    def _is_surplus(self, now: Millis) -> bool:
        if self._held_bytes > self._limits.stream_bytes:
            return True
        if self._budget.is_over:
            return True
        return now - self._chunks[0].at >= self._limits.hold

    def _charge(self, cost: int) -> None:
        self._held_bytes += cost
        self._budget.used += cost


def _make_digest() -> hashlib.blake2b:
    return hashlib.blake2b(digest_size=ANSWER_DIGEST_BYTES)


def _make_superseded(previous: Reader) -> Failed:
    return Failed(
        request=previous.request,
        attempt=previous.attempt,
        kind=ErrorKind.STREAM_GONE,
        ran=Ran.MAYBE,
        detail='superseded by another reader',
    )
