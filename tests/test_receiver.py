from __future__ import annotations

import hashlib

import anyio
import pytest

from oleanderdyke.entry.inbox import Inbox
from oleanderdyke.entry.receiver import AnswerReceiver
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.attempt_events import MessageReceived
from oleanderdyke.kernel.streams import ANSWER_DIGEST_BYTES
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Failed,
    Message,
)


class Caller:
    """Feed a receiver and read the messages that it passes on."""

    def __init__(self) -> None:
        self._inbox = Inbox()
        self.receiver = AnswerReceiver('r', self._inbox)

    def take(self, *messages: Message) -> list[Message]:
        for message in messages:
            self.receiver.take(message)
        return self.read()

    def read(self) -> list[Message]:
        return anyio.run(self._read)

    async def _read(self) -> list[Message]:
        items = [await self._inbox.take() for _ in range(len(self._inbox))]
        return [
            item.message for item in items if isinstance(item, MessageReceived)
        ]


def make_run(attempt: int, *parts: bytes, digest: bytes = b'') -> list[Message]:
    whole = hashlib.blake2b(b''.join(parts), digest_size=ANSWER_DIGEST_BYTES)
    return [
        AnswerHead('r', attempt, 200, ()),
        *(AnswerChunk('r', attempt, n, part) for n, part in enumerate(parts)),
        AnswerEnd('r', attempt, len(parts), digest or whole.digest()),
    ]


def expect_failure(found: list[Message]) -> None:
    (failed,) = found
    assert isinstance(failed, Failed)
    assert failed.kind is ErrorKind.STREAM_BROKEN


@pytest.mark.parametrize('rest', [False, True])
def test_nothing_follows_an_answer_with_a_wrong_digest(*, rest: bool) -> None:
    caller = Caller()
    caller.receiver.expect(1)
    broken = caller.take(*make_run(1, b'one', digest=b'wrong'))
    expect_failure(broken[2:])
    if rest:
        caller.receiver.expect_rest(2, 1)
    else:
        caller.receiver.expect(2)
    expect_failure(caller.read())
    assert caller.take(*make_run(2, b'two', b'three')) == []


def test_another_run_may_follow_before_anything_was_passed_on() -> None:
    caller = Caller()
    caller.receiver.expect(1)
    expect_failure(caller.take(AnswerChunk('r', 1, 1_000, b'far')))
    caller.receiver.expect(2)
    head = make_run(2)[0]
    assert caller.take(head) == [head]
    # The state machine holds the head of a run back until its first chunk.
    caller.receiver.expect(3)
    run = make_run(3, b'three')
    assert caller.take(*run) == run


def test_resume_continues_after_too_many_buffered_chunks() -> None:
    caller = Caller()
    caller.receiver.expect(1)
    head, *chunks, _ = make_run(1, *[b'x'] * 600)
    found = caller.take(head, *chunks)
    assert isinstance(found[-1], Failed)
    kept = len(found) - 2
    caller.receiver.expect_rest(2, kept)
    head, *chunks, end = make_run(2, *[b'x'] * 600)
    passed = [caller.take(each) for each in (head, *chunks[kept:], end)]
    assert passed == [[head], *([each] for each in chunks[kept:]), [end]]


def test_another_run_after_delivered_chunks_is_refused() -> None:
    caller = Caller()
    caller.receiver.expect(1)
    caller.take(*make_run(1, *[b'x'] * 600))
    caller.receiver.expect(2)
    expect_failure(caller.read())
    assert caller.take(*make_run(2, b'two')) == []
