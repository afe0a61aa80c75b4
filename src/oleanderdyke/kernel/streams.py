"""Reassemble a streamed answer in order and verify that it is complete."""

from __future__ import annotations

import enum
import hashlib
import hmac
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.links.messages import AnswerChunk, AnswerEnd, AnswerHead

AnswerMessage: TypeAlias = AnswerHead | AnswerChunk | AnswerEnd

ANSWER_DIGEST_BYTES = 16


class BrokenReason(enum.StrEnum):
    """Identify why an answer is incomplete."""

    COUNT = 'count'
    DIGEST = 'digest'
    WINDOW = 'window'
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class Complete:
    """The answer ended and every chunk of it was passed on."""

    end: AnswerEnd


@dataclass(frozen=True, slots=True)
class Broken:
    """The answer can't be completed from this attempt."""

    reason: BrokenReason


@dataclass(frozen=True, slots=True)
class ReadyParts:
    """Hold the parts that may be passed on to the caller now, in order."""

    head: AnswerHead | None = None
    chunks: tuple[bytes, ...] = ()
    end: Complete | Broken | None = None


_NO_PARTS = ReadyParts()


def _make_digest() -> hashlib.blake2b:
    return hashlib.blake2b(digest_size=ANSWER_DIGEST_BYTES)


class AnswerAssembler:
    """Reorder the chunks of one answer from its current attempt.

    `start` is the first expected sequence, which is above 0 for an answer
    that resumes a stream. A chunk `window` or more sequences ahead breaks the
    answer.
    """

    def __init__(
        self, request: str, attempt: int, *, start: int = 0, window: int = 64
    ) -> None:
        self._request = request
        self._attempt = attempt
        self._start = start
        self._window = window
        self._head: AnswerHead | None = None
        self._is_complete = False
        self._digest = _make_digest()
        self._clear(start)

    @property
    def next_sequence(self) -> int:
        """Return the first sequence that was not passed on yet."""
        return self._next

    @property
    def is_over(self) -> bool:
        """Return whether the answer has ended, complete or broken."""
        return self._is_over

    def accept(self, message: AnswerMessage) -> ReadyParts:
        """Add a message and return the parts that can now be passed on."""
        if self._is_over or message.attempt != self._attempt:
            return _NO_PARTS
        if message.request != self._request:
            return _NO_PARTS
        if isinstance(message, AnswerChunk):
            return self._take_chunk(message)
        if isinstance(message, AnswerEnd):
            return self._take_end(message)
        return self._take_head(message)

    def mark_lost(self) -> ReadyParts:
        """Break an unfinished answer whose link or backend server is lost."""
        if self._is_over:
            return _NO_PARTS
        self._is_lost = True
        return ReadyParts(end=self._break(BrokenReason.LOST))

    def start_over(self, attempt: int) -> bool:
        """Switch to another run of the request.

        Returns False once a chunk or the end was passed on. The receiver must
        hold the head back until the first chunk or the end of the same run.
        """
        if self._is_complete or self._next != self._start:
            return False
        self._attempt = attempt
        self._head = None
        self._clear(self._start)
        return True

    def resume(self, attempt: int) -> bool:
        """Continue the same run as a new attempt.

        Returns False if the answer has ended other than by `mark_lost`.
        """
        if self._is_over and not self._is_lost:
            return False
        self._attempt = attempt
        if self._start:
            self._digest = _make_digest()
        self._clear(self._next)
        return True

    def _clear(self, sequence: int) -> None:
        self._next = sequence
        self._has_head = False
        self._held: dict[int, bytes] = {}
        self._end: AnswerEnd | None = None
        self._is_over = False
        self._is_lost = False

    def _take_head(self, head: AnswerHead) -> ReadyParts:
        if self._has_head:
            return _NO_PARTS
        self._has_head = True
        # The caller already has the head of a resumed answer.
        new_head = head if self._head is None else None
        self._head = self._head or head
        return self._deliver(self._release_held(), head=new_head)

    def _take_chunk(self, chunk: AnswerChunk) -> ReadyParts:
        sequence = chunk.sequence
        if sequence < self._next or sequence in self._held:
            return _NO_PARTS
        if sequence != self._next or not self._has_head:
            return self._hold(chunk)
        self._add_passed(chunk.data)
        if not self._held:
            return self._deliver((chunk.data,))
        return self._deliver((chunk.data, *self._release_held()))

    def _hold(self, chunk: AnswerChunk) -> ReadyParts:
        if chunk.sequence >= self._next + self._window:
            return ReadyParts(end=self._break(BrokenReason.WINDOW))
        self._held[chunk.sequence] = chunk.data
        return self._deliver(())

    def _release_held(self) -> tuple[bytes, ...]:
        released = []
        while self._next in self._held:
            data = self._held.pop(self._next)
            self._add_passed(data)
            released.append(data)
        return tuple(released)

    def _add_passed(self, data: bytes) -> None:
        self._digest.update(data)
        self._next += 1

    def _take_end(self, end: AnswerEnd) -> ReadyParts:
        if self._end is None:
            self._end = end
        return self._deliver(())

    def _deliver(
        self, chunks: tuple[bytes, ...], head: AnswerHead | None = None
    ) -> ReadyParts:
        end = None if self._end is None else self._check_end(self._end)
        if head is None and end is None and not chunks:
            return _NO_PARTS
        return ReadyParts(head, chunks, end)

    def _check_end(self, end: AnswerEnd) -> Complete | Broken | None:
        highest = max(self._held, default=self._next - 1)
        if highest >= end.count:
            return self._break(BrokenReason.COUNT)
        if self._next < end.count or not self._has_head:
            return None
        # The full digest can't be verified without the start of the answer.
        expected_digest = end.resumed_digest if self._start else end.digest
        if not hmac.compare_digest(self._digest.digest(), expected_digest):
            return self._break(BrokenReason.DIGEST)
        self._is_over = True
        self._is_complete = True
        return Complete(end)

    def _break(self, reason: BrokenReason) -> Broken:
        self._is_over = True
        self._held.clear()
        return Broken(reason)
