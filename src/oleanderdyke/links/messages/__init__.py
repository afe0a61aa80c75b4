"""Define the messages between the system's own processes.

A message travels as a CBOR map. Receivers ignore unknown fields, so a field
may be added with a default; a message of unknown kind is answered by
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
    """Name what a process is to its peer."""

    ENTRY = 'entry'
    AGENT = 'agent'


class BackendKind(enum.StrEnum):
    """Name what an agent guards."""

    ENGINE = 'engine'
    PLAIN = 'plain'
    STORE = 'store'


class AgentPhase(enum.StrEnum):
    """Name the phase of an agent's life."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Hello:
    """Open a link; both sides send it first.

    `takes_short_beats` tells that heartbeats may leave out what has not changed
    since the one before on the same link.
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
    """Refuse a message that the receiver can't take."""

    kind: ErrorKind
    detail: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """Tell an agent that another incarnation took its name or address."""

    process: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask the peer to show that the link still carries messages."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer a ping."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Load:
    """Report the load of a backend server at a moment of its agent."""

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
    """Show that an agent lives, its phase, load and loaded weights.

    With `same_load` the load is left out, with `same_weights` the model, the
    adapter, the weights' version and digest: they are as told before.
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
    """Show that an entry lives and how far its configuration is."""

    incarnation: str
    sequence: int
    offset: int
    quarantined: tuple[str, ...] = ()
    suspects: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Ask for the configuration after an offset."""

    after: int


@dataclass(frozen=True, slots=True)
class ConfigurationDifference:
    """Carry encoded log records, or a chunk of a snapshot, in order.

    A snapshot starts with `snapshot=True`; `through` is the offset that holds
    once `last` has been applied.
    """

    after: int
    through: int
    records: tuple[tuple[int, bytes], ...] = ()
    snapshot: bool = False
    chunk: int = 0
    last: bool = True


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """Tell an engine's agent which kept segments to import first."""

    store: str
    address: str
    segments: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Hand one attempt of a request to an agent.

    The body follows in `BodyChunk` messages; `deadline` is a duration in
    milliseconds from receipt, `digest` identifies the request for the
    quarantine. `keep` names the store that should keep the prompt's complete
    segments, and those of them that it lacks. `incarnation` and `beat` name
    the last heartbeat of the agent that the entry had heard; an agent starts
    no work that is too old by them. The engine runs a lower `priority` first.
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
    """Carry a part of a request's body; `last` ends it."""

    request: str
    attempt: int
    sequence: int
    data: bytes
    last: bool = False


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Open the answer of an attempt."""

    request: str
    attempt: int
    status: int
    headers: Headers
    resume: str = ''


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Carry a part of an answer, numbered from 0 within the attempt."""

    request: str
    attempt: int
    sequence: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Close an answer; count and digest prove that it is whole.

    The digest is BLAKE2b-128 over the data of every chunk in order. To the
    reader of a `Resume`, `resumed_digest` proves the chunks from its sequence
    on, for a reader that never saw those before.
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
    """Close an attempt without an answer."""

    request: str
    attempt: int
    kind: ErrorKind
    ran: Ran
    detail: str = ''
    retry_after: Millis | None = None


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop an attempt whose caller has gone."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Credit:
    """Let the sender of an answer send further chunks."""

    request: str
    attempt: int
    chunks: int


@dataclass(frozen=True, slots=True)
class Resume:
    """Continue a stream of the given team after a numbered chunk.

    The agent answers on this link with `AnswerHead` and the chunks from
    `sequence` on, under the request id and attempt given here.
    """

    request: str
    attempt: int
    team: str
    token: str
    sequence: int


@dataclass(frozen=True, slots=True)
class DrainRequest:
    """Ask an agent to leave; used by operators through an entry."""

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
)
