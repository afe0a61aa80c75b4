"""Reassemble the messages of an answer for the state machine."""

from __future__ import annotations

from oleanderdyke.entry.inbox import Inbox
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel.attempt_events import ClaimAnswered, MessageReceived
from oleanderdyke.kernel.streams import AnswerAssembler, Broken, ReadyParts
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Failed,
    Message,
)
from oleanderdyke.links.messages.claims import ClaimAnswer

# Bounds the queue against an agent that exceeds its credit.
_CHUNK_LIMIT = 512


class AnswerReceiver:
    """Queue the messages of one request in order and without gaps."""

    def __init__(self, request: str, inbox: Inbox) -> None:
        self._request = request
        self._inbox = inbox
        self._attempt = 0
        self._assembler: AnswerAssembler | None = None
        self._awaits_resumed_head = False

    def expect(self, attempt: int) -> None:
        """Expect the answer of a new attempt from its beginning."""
        self._attempt = attempt
        self._awaits_resumed_head = False
        if self._assembler is None:
            self._assembler = AnswerAssembler(self._request, attempt)
        elif not self._assembler.start_over(attempt):
            self._fail(
                'part of the answer of another run was already forwarded'
            )

    def expect_rest(self, attempt: int, start: int) -> None:
        """Expect a resumed answer, from chunk `start`, under a new attempt."""
        self._attempt = attempt
        self._awaits_resumed_head = False
        if self._assembler is None:
            self._assembler = AnswerAssembler(
                self._request, attempt, start=start
            )
        elif self._assembler.resume(attempt):
            self._awaits_resumed_head = True
        else:
            self._fail('the answer cannot be resumed: chunks are missing')

    def take(self, message: Message) -> None:
        """Handle any message that names this request."""
        if isinstance(message, AnswerHead | AnswerChunk | AnswerEnd):
            self._take_part(message)
        elif isinstance(message, Failed):
            self._inbox.put(MessageReceived(message))
        elif isinstance(message, ClaimAnswer):
            self._inbox.put(ClaimAnswered(message))

    def _take_part(self, message: AnswerHead | AnswerChunk | AnswerEnd) -> None:
        if self._assembler is None:
            return
        if len(self._inbox) > _CHUNK_LIMIT:
            if not self._assembler.is_over:
                self._assembler.mark_lost()
                self._fail('the agent sent more chunks than its credit')
            return
        self._report_resumed_head(message)
        start = self._assembler.next_sequence
        self._put(self._assembler.accept(message), start)

    def _report_resumed_head(
        self, message: AnswerHead | AnswerChunk | AnswerEnd
    ) -> None:
        """Report the head of a resumed answer to the state machine only."""
        if not self._awaits_resumed_head or message.attempt != self._attempt:
            return
        if isinstance(message, AnswerHead):
            self._awaits_resumed_head = False
            self._inbox.put(MessageReceived(message))

    def _put(self, delivery: ReadyParts, start: int) -> None:
        if delivery.head is not None:
            self._inbox.put(MessageReceived(delivery.head))
        for sequence, data in enumerate(delivery.chunks, start):
            chunk = AnswerChunk(self._request, self._attempt, sequence, data)
            self._inbox.put(MessageReceived(chunk))
        if isinstance(delivery.end, Broken):
            self._fail(f'answer incomplete: {delivery.end.reason}')
        elif delivery.end is not None:
            self._inbox.put(MessageReceived(delivery.end.end))

    def _fail(self, detail: str) -> None:
        """Report a failure; keep the assembler to reject another run."""
        self._inbox.put(
            MessageReceived(
                Failed(
                    self._request,
                    self._attempt,
                    ErrorKind.STREAM_BROKEN,
                    Ran.MAYBE,
                    detail,
                )
            )
        )
