"""Keep the recent chunks of running answers so that they can be resumed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import MINUTE, Millis
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Credit,
    Failed,
    Resume,
)

Outgoing: TypeAlias = AnswerHead | AnswerChunk | AnswerEnd


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Bound what the buffers of one agent hold."""

    stream_bytes: int = 256 * 1024
    total_bytes: int = 16 * 1024 * 1024
    streams: int = 1_024
    hold: Millis = MINUTE
    credit: int = 64


@dataclass(frozen=True, slots=True)
class Reader:
    """Name who receives a stream: a link, and the ids it goes by there."""

    link: str
    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Resumed:
    """Send the messages to the new reader and the notice to the older one."""

    stream: StreamBuffer
    messages: tuple[Outgoing, ...]
    superseded: Reader | None = None
    notice: Failed | None = None


@dataclass(frozen=True, slots=True)
class AnswerTotals:
    """Hold what the end of an answer reports beside count and digest."""

    recomputed_tokens: int = 0
    prompt_tokens: int = 0
    link_bytes: int = 0


class StreamBuffer:
    """Hold one answer's chunks between its producer and its reader."""

    def __init__(
        self, head: AnswerHead, reader: Reader, limits: StreamLimits
    ) -> None:
        self._head = head
        self._limits = limits
        self.reader: Reader | None = reader

    @property
    def is_full(self) -> bool:
        """Tell the producer to stop until messages have been sent."""
        raise NotImplementedError

    @property
    def is_finished(self) -> bool:
        """Tell whether the end was sent to the present reader."""
        raise NotImplementedError

    @property
    def held_bytes(self) -> int:
        """Return the bytes of the chunks held."""
        raise NotImplementedError

    def add(self, data: bytes, now: Millis) -> tuple[Outgoing, ...]:
        """Take a chunk from the producer; return what may be sent now.

        Raises OleanderError INTERNAL while `is_full`.
        """
        raise NotImplementedError

    def finish(self, totals: AnswerTotals, now: Millis) -> tuple[Outgoing, ...]:
        """Close the answer; return what may be sent now."""
        raise NotImplementedError

    def grant(self, credit: Credit, now: Millis) -> tuple[Outgoing, ...]:
        """Let the present reader have more chunks."""
        raise NotImplementedError

    def detach(self, link: str, now: Millis) -> None:
        """Forget the reader whose link is gone."""
        raise NotImplementedError

    def resume_from(
        self, sequence: int, reader: Reader, now: Millis
    ) -> Resumed | None:
        """Give the stream to a reader; None when a chunk is gone."""
        raise NotImplementedError


class StreamTable:
    """Find the streams of an agent by team and resume token."""

    def __init__(self, limits: StreamLimits) -> None:
        self._limits = limits

    def open(
        self, team: str, head: AnswerHead, reader: Reader, now: Millis
    ) -> StreamBuffer:
        """Start a stream under the token in its head.

        Raises OleanderError OVERLOADED when no stream can be let go.
        """
        raise NotImplementedError

    def resume(
        self, resume: Resume, link: str, now: Millis
    ) -> Resumed | Failed:
        """Continue a stream; the refusal doesn't tell why."""
        raise NotImplementedError

    def detach(self, link: str, now: Millis) -> None:
        """Forget the reader of every stream on a lost link."""
        raise NotImplementedError

    def expire(self, now: Millis) -> tuple[StreamBuffer, ...]:
        """Drop streams whose time is over; return unfinished ones to cancel."""
        raise NotImplementedError
