"""Data about backend servers, their requests and their answers."""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from oleanderdyke.clock import Millis


@dataclass(frozen=True, slots=True)
class ServerStart:
    """Identify one start of a backend server.

    A server that restarts may keep its name `server`; it has no state of
    earlier starts. `born` is the Unix time of the start in milliseconds by the
    server's own clock, or None if the server does not report it. It is compared
    only with other starts of the same server, so that steps of the local clock
    have no effect.
    """

    server: str
    born: int | None = None


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Hold the latest record that one start of a server wrote to the list.

    `software` is the version of the server's software. `versions` maps each
    model to the version of the weights that the server holds. `revision`
    counts the records that this start has written. `cold_remaining` is how long
    the server stays cold after it wrote the record.
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
    software: str = ''

    @property
    def start(self) -> ServerStart:
        """Return the start that wrote the record."""
        return ServerStart(self.server, self.born)


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Hold the load that a backend server reports with an answer.

    `slowdown` is how many times as long as usual work takes on its machine.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identify a part of a prompt that requests may share."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Describe the model request to place.

    `output_tokens` is the upper bound of the length of the answer.
    """

    model: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Estimate the engine memory that this request needs, in tokens.

        Parts before the last shared part are shared by many running requests
        and not counted. An answer has on average half of its maximum length.
        """
        common = sum(part.tokens for part in self.parts[:-2])
        return self.prompt_tokens - common + self.output_tokens // 2


class AnswerField(enum.StrEnum):
    """Fields that a backend server may report about itself in an answer."""

    RATE_LIMIT = 'rate limit'
    RETRY_AFTER = 'retry after'


@dataclass(frozen=True, slots=True)
class MalformedField:
    """A field of an answer that cannot be parsed; `text` is its beginning."""

    field: AnswerField
    text: str


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Hold what the head of a backend server's answer reports.

    `is_not_executed` is the server's guarantee that it has not executed the
    request and never will; `is_misdirected` says that the expected server or
    version did not match. `is_sealed` says that the answer carries the seal of
    a backend server. `idle_timeout` is how long the server keeps an idle
    connection open.

    `rate_limit` is the number of requests per second that the server accepts
    from all entries together: infinite without a limit, None if it cannot be
    parsed. A server with `is_leaving` is about to stop. A server that refused
    may want no requests from this entry for `retry_after`. `malformed` lists
    the fields that are present but cannot be parsed.
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
