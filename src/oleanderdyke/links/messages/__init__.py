"""Messages between entries and agents.

A message is sent as a CBOR map. Receivers ignore unknown fields, so a field
with a default may be added. A message of unknown type is answered with
`Refused`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.links.messages.claims import Claim, ClaimAnswer, ClaimQuery
from oleanderdyke.links.messages.news import (
    ContextAnswer,
    ContextRequest,
    NewsAnswer,
    NewsRequest,
    PoisonReport,
    StreamNews,
    WorkNews,
)
from oleanderdyke.links.messages.segments import (
    SegmentEvents,
    SegmentListRequest,
    SegmentMissing,
    SegmentPart,
    SegmentRead,
    SegmentWanted,
    SegmentWrite,
    SegmentWritten,
)

PROTOCOL_VERSION = 1

Headers: TypeAlias = tuple[tuple[str, str], ...]


class Role(enum.StrEnum):
    """The role of a process on a link."""

    ENTRY = 'entry'
    AGENT = 'agent'


class BackendKind(enum.StrEnum):
    """The kind of backend server that an agent runs beside."""

    ENGINE = 'engine'
    PLAIN = 'plain'
    STORE = 'store'


class AgentPhase(enum.StrEnum):
    """The lifecycle phase of an agent."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Hello:
    """Open a link; the first message of both sides.

    `takes_short_beats` tells that heartbeats to this process may omit what has
    not changed since the previous one on the same link.
    """

    version: int
    role: Role
    process: str
    incarnation: str
    data_centre: str
    offset: int
    backend: BackendKind | None = None
    service: str = ''
    takes_short_beats: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a message that is invalid or not supported."""

    kind: ErrorKind
    detail: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """Tell an agent that a newer process has taken over its name or address."""

    process: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Ping:
    """Request a `Pong`, to check that the link still works."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer a `Ping` with its nonce and the monotonic clock."""

    nonce: int
    clock: Millis = 0.0


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a backend server as its agent last measured it."""

    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    prefill_tokens_per_second: float = 0.0
    slots: int = 0
    cached_bytes: int = 0
    link_bytes_in_flight: int = 0
    link_bytes_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Report that an agent is alive, with its phase, load and loaded weights.

    With `same_load` the load is omitted, with `same_weights` the model, the
    adapter and the version and digest of the weights, as they have not changed
    since the previous heartbeat on the link.
    """

    incarnation: str
    sequence: int
    offset: int
    phase: AgentPhase
    load: Load
    model: str = ''
    weight_version: str = ''
    weight_digest: str = ''
    adapter: str = ''
    quarantined: tuple[str, ...] = ()
    suspects: tuple[str, ...] = ()
    same_load: bool = False
    same_weights: bool = False


@dataclass(frozen=True, slots=True)
class EntryBeat:
    """Report that an entry is alive, with its configuration offset."""

    incarnation: str
    sequence: int
    offset: int
    quarantined: tuple[str, ...] = ()
    suspects: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Request the configuration changes after an offset."""

    after: int


@dataclass(frozen=True, slots=True)
class ConfigurationDifference:
    """Encoded log records, or a chunk of a snapshot, in order.

    A snapshot starts with `snapshot=True`; `through` is the offset that the
    receiver has reached after it has applied the chunk with `last`.
    """

    after: int
    through: int
    records: tuple[tuple[int, bytes], ...] = ()
    snapshot: bool = False
    chunk: int = 0
    last: bool = True


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """A store, and the segments to import from it or to write to it."""

    store: str
    address: str
    segments: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Start one attempt of a request at an agent.

    The body follows in `BodyChunk` messages; `deadline` is a duration in
    milliseconds from receipt, `digest` identifies the request for the
    quarantine. `keep` names a store and the complete segments of the prompt
    that it should store but lacks. `incarnation` and `beat` identify the last
    heartbeat of the agent that the entry had received; the agent refuses
    dispatches that are too old by them. The engine runs requests of lower
    `priority` first.
    """

    request: str
    attempt: int
    team: str
    service: str
    method: str
    path: str
    headers: Headers
    digest: str
    deadline: Millis
    idempotent: bool
    offset: int
    background: bool = False
    alone: bool = False
    claim: Claim | None = None
    model: str = ''
    weight_version: str = ''
    weight_digest: str = ''
    adapter: str = ''
    namespace: bytes = b''
    segments: tuple[bytes, ...] = ()
    fetch: FetchPlan | None = None
    keep: FetchPlan | None = None
    incarnation: str = ''
    beat: int = -1
    priority: int = 0


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """A part of a request's body; `last` marks the final one."""

    request: str
    attempt: int
    sequence: int
    data: bytes
    last: bool = False


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an attempt's answer."""

    request: str
    attempt: int
    status: int
    headers: Headers
    resume: str = ''


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """A part of an answer, numbered from 0 within the attempt."""

    request: str
    attempt: int
    sequence: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """End an answer; the chunk count and digest show that it is complete.

    The digest is BLAKE2b-128 over the data of all chunks in order. After a
    `Resume`, `resumed_digest` covers the chunks from its sequence on, for
    readers that have not received the earlier ones.
    """

    request: str
    attempt: int
    count: int
    digest: bytes
    recomputed_tokens: int = 0
    prompt_tokens: int = 0
    link_bytes: int = 0
    resumed_digest: bytes = b''


@dataclass(frozen=True, slots=True)
class Failed:
    """End an attempt that failed; `ran` tells whether it may have run."""

    request: str
    attempt: int
    kind: ErrorKind
    ran: Ran
    detail: str = ''
    retry_after: Millis | None = None


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop an attempt that the caller no longer waits for."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Credit:
    """Allow the sender of an answer to send `chunks` more (flow control)."""

    request: str
    attempt: int
    chunks: int


@dataclass(frozen=True, slots=True)
class Resume:
    """Continue a stream of a team from a numbered chunk on.

    The agent answers on this link with `AnswerHead` and the chunks from
    `sequence` on, with the request id and attempt of this message.
    """

    request: str
    attempt: int
    team: str
    token: str
    sequence: int


@dataclass(frozen=True, slots=True)
class DrainRequest:
    """Request that an agent drains; sent by an entry for an operator."""

    operator: str


Message: TypeAlias = (
    Hello
    | Refused
    | Superseded
    | Ping
    | Pong
    | Heartbeat
    | EntryBeat
    | SegmentEvents
    | SegmentListRequest
    | ConfigurationRequest
    | ConfigurationDifference
    | Dispatch
    | BodyChunk
    | AnswerHead
    | AnswerChunk
    | AnswerEnd
    | Failed
    | Cancel
    | Credit
    | Resume
    | ClaimQuery
    | ClaimAnswer
    | SegmentRead
    | SegmentPart
    | SegmentMissing
    | SegmentWrite
    | SegmentWanted
    | SegmentWritten
    | DrainRequest
    | NewsRequest
    | NewsAnswer
    | ContextRequest
    | ContextAnswer
    | WorkNews
    | StreamNews
    | PoisonReport
)
