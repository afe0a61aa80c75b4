"""Describe the backend servers that the platform lists."""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from oleanderdyke.clock import Millis


@dataclass(frozen=True, slots=True)
class ServerStart:
    """Name one start of a backend server, which knows nothing of others.

    A server may start anew under the name `server` that it had; `born` is the
    Unix millisecond of the start by its own clock, None where nobody tells.
    Only those of two starts are compared, so that no step of a clock here
    decides between them.
    """

    server: str
    born: int | None = None


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Hold what one start of a backend server last told about itself.

    `versions` gives the version of the weights that it holds of each model.
    `beat` counts what this start has written to the list. It is `cold` for so
    long after it wrote this.
    """

    server: str
    service: str
    address: str
    data_centre: str
    is_leaving: bool = False
    slots: int = 0
    versions: Mapping[str, int] = field(default_factory=dict)
    revision: int = 0
    born: int | None = None
    cold_remaining: Millis = 0.0

    @property
    def start(self) -> ServerStart:
        """Return which start of the server told it."""
        return ServerStart(self.server, self.born)


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Hold what a backend server told of its load with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name a part of a prompt that requests may share, and its length."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Say what a request asks of a model; `output_tokens` is at most."""

    model: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Guess what a run takes of an engine's memory by itself.

        Many runs share the parts before the last shared one, and an answer
        is on average half as long as it may be.
        """
        common = sum(part.tokens for part in self.parts[:-2])
        return self.prompt_tokens - common + self.output_tokens // 2


class AnswerField(enum.StrEnum):
    """What a backend server may name of itself in an answer."""

    RATE_LIMIT = 'rate limit'
    RETRY_AFTER = 'retry after'


@dataclass(frozen=True, slots=True)
class MalformedField:
    """Part of an answer that can't be read; `text` is the start of it."""

    field: AnswerField
    text: str


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Hold what the head of a backend server's answer tells.

    `is_not_run` is the server's promise that it has not run the request and
    never will, `is_misdirected` that what was expected of it doesn't hold.
    `is_sealed` tells that the answer bears the mark of a server.
    `idle_timeout` is how long the server keeps an idle connection open.
    `rate_limit` is how many requests a second it accepts from all entries
    together: infinite without a limit, None where that can't be told.
    A server that `is_leaving` soon stops; one that refused may want no requests
    of this entry before `retry_after`. What was there and can't be read is
    `malformed`.
    """

    request: str = ''
    is_not_executed: bool = False
    is_misdirected: bool = False
    is_sealed: bool = False
    server: str = ''
    load: ServerLoad | None = None
    weight_version: int | None = None
    idle_timeout: Millis | None = None
    rate_limit: float | None = math.inf
    is_leaving: bool = False
    retry_after: Millis | None = None
    malformed: tuple[MalformedField, ...] = ()
