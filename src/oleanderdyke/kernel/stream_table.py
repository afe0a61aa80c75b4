"""Look up running answers by team and resume token."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.stream_buffer import (
    BufferBudget,
    Reader,
    Resumed,
    StreamBuffer,
    StreamLimits,
)
from oleanderdyke.links.messages import AnswerHead, Failed, Resume

_KEY_BYTES = 32
_LENGTH_BYTES = 4


@dataclass(frozen=True, slots=True)
class _Stream:
    key: bytes
    buffer: StreamBuffer


class StreamTable:
    """Hold the streams of an agent, limited in number and bytes."""

    def __init__(self, limits: StreamLimits) -> None:
        self._limits = limits
        self._budget = BufferBudget(limits.total_bytes)
        self._streams: dict[bytes, _Stream] = {}

    def __len__(self) -> int:
        return len(self._streams)

    @property
    def held_bytes(self) -> int:
        """Return the bytes charged for all buffered chunks."""
        return self._budget.used

    def open(
        self, team: str, head: AnswerHead, reader: Reader, now: Millis
    ) -> StreamBuffer:
        """Open a stream under the secret resume token in its head.

        Raises OleanderError OVERLOADED if the table is full and no stream can
        be evicted, and INTERNAL if the token is missing or already in use.
        """
        key = _make_key(team, head.resume)
        if not head.resume or key in self._streams:
            raise OleanderError(
                ErrorKind.INTERNAL, 'resume token is missing or already in use'
            )
        if len(self._streams) >= self._limits.streams:
            self._evict_sent()
        buffer = StreamBuffer(head, reader, self._limits, self._budget, now)
        self._streams[key] = _Stream(key, buffer)
        return buffer

    def resume(
        self, resume: Resume, link: str, now: Millis
    ) -> Resumed | Failed:
        """Resume a stream; a refusal does not reveal its reason."""
        key = _make_key(resume.team, resume.token)
        stream = self._streams.get(key)
        if stream is None or not hmac.compare_digest(stream.key, key):
            return _refuse(resume)
        reader = Reader(link, resume.request, resume.attempt)
        resumed = stream.buffer.resume_from(resume.sequence, reader, now)
        return resumed or _refuse(resume)

    def detach(self, link: str, now: Millis) -> None:
        """Remove the readers on a lost link from all streams."""
        for stream in self._streams.values():
            stream.buffer.detach(link, now)

    def close(self, buffer: StreamBuffer) -> None:
        """Remove a stream that was cancelled or has failed."""
        for key, stream in self._streams.items():
            if stream.buffer is buffer:
                self._remove(key)
                return

    def expire(self, now: Millis) -> tuple[StreamBuffer, ...]:
        """Remove expired streams; return those not sent completely.

        The caller must cancel their producers and notify their readers.
        """
        for stream in self._streams.values():
            stream.buffer.trim(now)
        expired = [
            each
            for each in self._streams.values()
            if each.buffer.is_expired(now)
        ]
        for each in expired:
            self._remove(each.key)
        self._evict_over_budget()
        return tuple(each.buffer for each in expired if not each.buffer.is_sent)

    def _evict_over_budget(self) -> None:
        sent = [each for each in self._streams.values() if each.buffer.is_sent]
        for stream in sent:
            if not self._budget.is_over:
                return
            self._remove(stream.key)

    def _evict_sent(self) -> None:
        for stream in self._streams.values():
            if stream.buffer.is_sent:
                self._remove(stream.key)
                return
        raise OleanderError(
            ErrorKind.OVERLOADED,
            f'all {self._limits.streams} streams are still being sent',
        )

    def _remove(self, key: bytes) -> None:
        self._streams.pop(key).buffer.clear()


def _make_key(team: str, token: str) -> bytes:
    # A dict lookup is not constant-time: using a digest as the key keeps it
    # from leaking the token through timing.
    name = team.encode()
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    digest.update(len(name).to_bytes(_LENGTH_BYTES, 'big'))
    digest.update(name)
    digest.update(token.encode())
    return digest.digest()


def _refuse(resume: Resume) -> Failed:
    return Failed(
        request=resume.request,
        attempt=resume.attempt,
        kind=ErrorKind.STREAM_GONE,
        ran=Ran.MAYBE,
        detail='no such stream',
    )
