"""Pass on an answer whole and in order, or say that it broke."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.links.messages import AnswerChunk, AnswerEnd, AnswerHead

AnswerMessage: TypeAlias = AnswerHead | AnswerChunk | AnswerEnd


class BrokenReason(enum.StrEnum):
    """Say why an answer isn't whole."""

    COUNT = 'count'
    DIGEST = 'digest'
    WINDOW = 'window'
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class Whole:
    """End an answer that was passed on entirely."""

    end: AnswerEnd


@dataclass(frozen=True, slots=True)
class Broken:
    """End an answer that can't be completed from this attempt."""

    reason: BrokenReason


@dataclass(frozen=True, slots=True)
class Delivery:
    """Hold what may be passed on to the caller now, in this order."""

    head: AnswerHead | None = None
    chunks: tuple[bytes, ...] = ()
    end: Whole | Broken | None = None


class AnswerAssembler:
    """Order the chunks of the current attempt of one answer.

    An answer that continues a stream starts at the sequence of its Resume.
    """

    def __init__(
        self, request: str, attempt: int, *, start: int = 0, window: int = 64
    ) -> None:
        self._request = request
        self._attempt = attempt
        self._next = start
        self._window = window

    @property
    def next_sequence(self) -> int:
        """Return the first sequence that was not passed on."""
        raise NotImplementedError

    def take(self, message: AnswerMessage) -> Delivery:
        """Take a message and return what it completes."""
        raise NotImplementedError

    def lose(self) -> Delivery:
        """End an unfinished answer whose link or backend is lost."""
        raise NotImplementedError

    def start_over(self, attempt: int) -> bool:
        """Switch to another run; False once anything was passed on."""
        raise NotImplementedError

    def resume(self, attempt: int) -> None:
        """Continue the same run under another attempt number."""
        raise NotImplementedError
