"""Define the events and actions of `RequestStateMachine`."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel.claim_records import (
    ClaimRecord,
    OutcomeRecord,
    ReleaseRecord,
    WithdrawRecord,
)
from oleanderdyke.kernel.claims import Verdict
from oleanderdyke.kernel.demand import Plan, Refusal, Replica
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Failed,
    Headers,
)
from oleanderdyke.links.messages.claims import Claim, ClaimAnswer


class TimerKind(enum.StrEnum):
    """Identify the purpose of a timer."""

    CLAIM = 'claim'
    QUERY = 'ask'
    POLL = 'poll'
    RECEIPT = 'receipt'
    RETRY = 'retry'
    RESUME = 'resume'
    LINGER = 'linger'


@dataclass(frozen=True, slots=True)
class Routed:
    """A replica was chosen for the request."""

    plan: Plan
    replica: Replica


@dataclass(frozen=True, slots=True)
class NoRoute:
    """No replica can take the request now."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ClaimSettled:
    """The claims log was read far enough to give a verdict on the claim.

    Sent only for the `claim_id` of the latest `AppendClaim`.
    """

    claim_id: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The claim was definitely not appended to the log.

    Not sent when the result of the append is unknown: reading the log goes on
    until `ClaimSettled` can be sent, or the request's claim timer fires.
    """

    claim_id: str


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The outcome record was appended to the log."""


@dataclass(frozen=True, slots=True)
class OutcomeFailed:
    """The outcome record can't be appended at present."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """An attempt's message arrived, in order and verified.

    A gap or a wrong digest is reported as `Failed(STREAM_BROKEN, maybe)`.
    `copy` names the agent that holds a copy of a failed run, which has ended
    for certain; it is '' otherwise. `is_silent` is set if the run was given up
    because its server sent nothing. `is_alone` is set with the head of an
    answer to which no other run may add, once it has begun.
    """

    message: AnswerHead | AnswerChunk | AnswerEnd | Failed
    copy: str = ''
    is_silent: bool = False
    is_alone: bool = False


@dataclass(frozen=True, slots=True)
class DispatchNotSent:
    """A dispatch was definitely not written to a link."""

    attempt: int


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to an agent's incarnation was closed."""

    agent: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A new link to an agent's incarnation was opened."""

    agent: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class IncarnationEnded:
    """An agent's incarnation has ended and will not return."""

    agent: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """An agent answered `QueryClaim`."""

    answer: ClaimAnswer


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The request's deadline has passed."""


@dataclass(frozen=True, slots=True)
class Stopping:
    """The entry is stopping.

    Running work may finish, unless `immediate` is set.
    """

    immediate: bool = False


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer started by `StartTimer` has expired."""

    kind: TimerKind
    number: int


Event: TypeAlias = (
    Routed
    | NoRoute
    | ClaimSettled
    | ClaimFailed
    | OutcomeRecorded
    | OutcomeFailed
    | MessageReceived
    | DispatchNotSent
    | LinkLost
    | LinkUp
    | IncarnationEnded
    | ClaimAnswered
    | CallerGone
    | DeadlinePassed
    | Stopping
    | TimerFired
)


@dataclass(frozen=True, slots=True)
class Route:
    """Choose a replica; report `Routed` or `NoRoute`.

    `alone` prefers an idle replica. Agents in `exclude` are avoided. With
    `copy`, the run goes on from its copy at that agent, and nowhere else.
    """

    exclude: frozenset[str] = frozenset()
    alone: bool = False
    copy: str = ''


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Append a claim, in one batch after the release if there is one."""

    record: ClaimRecord
    release: ReleaseRecord | None = None


@dataclass(frozen=True, slots=True)
class AppendRelease:
    """Append a release or a withdrawal; retry until it is in the log.

    Giving up is harmless: the next request with the key queries the agent.
    """

    record: ReleaseRecord | WithdrawRecord


@dataclass(frozen=True, slots=True)
class AppendOutcome:
    """Append an outcome; retry in the background until it is in the log.

    Report `OutcomeRecorded`, or `OutcomeFailed` if the log is unavailable.
    """

    record: OutcomeRecord


@dataclass(frozen=True, slots=True)
class QueryClaim:
    """Send a `ClaimQuery` to the claim's agent, over a new link if needed."""

    agent: str
    claim: Claim


@dataclass(frozen=True, slots=True)
class SendDispatch:
    """Send the request to one incarnation of an agent, at most once.

    Report `DispatchNotSent` if no link to exactly this incarnation is open.
    """

    agent: str
    incarnation: str
    beat: int
    attempt: int
    plan: Plan
    replica: Replica
    claim: Claim | None = None
    alone: bool = False


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Send a cancellation of an attempt to its agent."""

    agent: str
    incarnation: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SendResume:
    """Request the rest of a stream from the same agent, over a new link.

    `sequence` is the first chunk to send. The answer arrives as
    `MessageReceived` with the given attempt.
    """

    agent: str
    incarnation: str
    attempt: int
    token: str
    sequence: int


@dataclass(frozen=True, slots=True)
class MarkResumable:
    """Mark the answer as resumable, even before its head is delivered."""


@dataclass(frozen=True, slots=True)
class DeliverHead:
    """Send the status and headers of the answer to the caller."""

    status: int
    headers: Headers
    resume: str = ''


@dataclass(frozen=True, slots=True)
class DeliverChunk:
    """Send a part of the answer's body to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class DeliverEnd:
    """Complete the answer; `end` has the agent's counts if it sent them."""

    end: AnswerEnd | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer with a typed error; after `DeliverHead`, abort the answer."""

    kind: ErrorKind
    ran: Ran
    retry_after: Millis | None = None
    detail: str = ''


@dataclass(frozen=True, slots=True)
class ClearSuspect:
    """Clear a suspect that ran alone without a crash from the quarantine."""

    digest: str


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Report `TimerFired` with this kind and number after the delay."""

    kind: TimerKind
    number: int
    delay: Millis


@dataclass(frozen=True, slots=True)
class Done:
    """Discard the state machine: it emits no further actions."""


Action: TypeAlias = (
    Route
    | AppendClaim
    | AppendRelease
    | AppendOutcome
    | QueryClaim
    | SendDispatch
    | SendCancel
    | SendResume
    | MarkResumable
    | DeliverHead
    | DeliverChunk
    | DeliverEnd
    | Refuse
    | ClearSuspect
    | StartTimer
    | Done
)
