"""Define what goes into and comes out of a `RequestStateMachine`."""

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
    """Name what a timer of a request waits for."""

    CLAIM = 'claim'
    ASK = 'ask'
    POLL = 'poll'
    RECEIPT = 'receipt'
    RETRY = 'retry'
    RESUME = 'resume'
    LINGER = 'linger'


@dataclass(frozen=True, slots=True)
class Routed:
    """Tell which replica was chosen."""

    plan: Plan
    replica: Replica


@dataclass(frozen=True, slots=True)
class NoRoute:
    """No replica can take the request."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ClaimSettled:
    """Tell the verdict on the claim, after reading the log through it.

    Send it only for the `claim_id` of the latest `AppendClaim`.
    """

    claim_id: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class ClaimFailed:
    """A claim's append surely did not take effect.

    A doubtful append is not reported; read on until `ClaimSettled`, or until
    the machine gives up by its own timer.
    """

    claim_id: str


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The outcome record is in the log."""


@dataclass(frozen=True, slots=True)
class OutcomeFailed:
    """The outcome record can't be appended now."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Pass a message of an attempt, in order and checked for wholeness.

    A gap or a wrong digest is passed as `Failed(STREAM_BROKEN, maybe)`.
    """

    message: AnswerHead | AnswerChunk | AnswerEnd | Failed


@dataclass(frozen=True, slots=True)
class DispatchNotSent:
    """A dispatch was surely never written to a link."""

    attempt: int


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to an agent's incarnation was given up."""

    agent: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class LinkUp:
    """There is a new link to an agent's incarnation."""

    agent: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class IncarnationEnded:
    """An incarnation of an agent is over for good."""

    agent: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """Pass an agent's answer to `QueryClaim`."""

    answer: ClaimAnswer


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has closed its connection."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The request's deadline is over."""


@dataclass(frozen=True, slots=True)
class Stopping:
    """The entry stops; `immediate` means at once."""

    immediate: bool = False


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of `StartTimer` is over."""

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
    """Choose a replica; answer with `Routed` or `NoRoute`.

    `alone` asks for an idle replica first. Agents of `exclude` are avoided.
    """

    exclude: frozenset[str] = frozenset()
    alone: bool = False


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Append a claim, after a release where one is given, in one batch."""

    record: ClaimRecord
    release: ReleaseRecord | None = None


@dataclass(frozen=True, slots=True)
class AppendRelease:
    """Append a release or a withdrawal; repeat until it is in the log.

    Giving up is harmless: the next caller of the key asks the agent.
    """

    record: ReleaseRecord | WithdrawRecord


@dataclass(frozen=True, slots=True)
class AppendOutcome:
    """Append an outcome; repeat in the background until it is in the log.

    Report `OutcomeRecorded`, or `OutcomeFailed` when the log is out.
    """

    record: OutcomeRecord


@dataclass(frozen=True, slots=True)
class QueryClaim:
    """Send `ClaimQuery` to the claim's agent, over a new link if needed."""

    agent: str
    claim: Claim


@dataclass(frozen=True, slots=True)
class SendDispatch:
    """Send the request to one incarnation of an agent, at most once.

    Report `DispatchNotSent` where no link to just this incarnation is open.
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
    """Cancel an attempt."""

    agent: str
    incarnation: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SendResume:
    """Ask the same agent for the rest of a stream, over a new link.

    The answer comes as `MessageReceived` under the given attempt.
    """

    agent: str
    incarnation: str
    attempt: int
    token: str
    sequence: int


@dataclass(frozen=True, slots=True)
class MarkResumable:
    """Note that the answer can be resumed, also before its head goes out."""


@dataclass(frozen=True, slots=True)
class DeliverHead:
    """Open the answer to the caller."""

    status: int
    headers: Headers
    resume: str = ''


@dataclass(frozen=True, slots=True)
class DeliverChunk:
    """Pass a part of the answer to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class DeliverEnd:
    """Close the answer; `end` has the agent's counts where there are any."""

    end: AnswerEnd | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer with a typed error; after `DeliverHead`, break the answer."""

    kind: ErrorKind
    ran: Ran
    retry_after: Millis | None = None
    detail: str = ''


@dataclass(frozen=True, slots=True)
class ClearSuspect:
    """Clear a digest in the entry's quarantine; it ran alone and well."""

    digest: str


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Report `TimerFired` with the same kind and number after a delay."""

    kind: TimerKind
    number: int
    delay: Millis


@dataclass(frozen=True, slots=True)
class Done:
    """Forget the machine; nothing follows."""


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
