"""Hold the state of a request and the steps that every kind of it shares."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

from oleanderdyke.clock import HOUR, SECOND, Millis
from oleanderdyke.errors import REPLIES, ErrorKind, Ran
from oleanderdyke.kernel.attempt_events import (
    Action,
    AppendRelease,
    DeliverChunk,
    DeliverEnd,
    DeliverHead,
    Done,
    Refuse,
    Route,
    Routed,
    SendCancel,
    SendDispatch,
    StartTimer,
    TimerKind,
)
from oleanderdyke.kernel.claim_records import ReleaseRecord
from oleanderdyke.kernel.retries import RetryBudget
from oleanderdyke.links.messages.claims import Claim

Actions: TypeAlias = tuple[Action, ...]

_RAN_ORDER = (Ran.NO, Ran.MAYBE, Ran.YES)
_SAID_OF_STREAMS = frozenset(
    {ErrorKind.DEADLINE, ErrorKind.STOPPING, ErrorKind.BACKEND_FAILED}
)
_ALONE_DELAY: Millis = 250.0
_REPLICA_DELAY: Millis = 250.0


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Hold what stays the same through a request.

    `key` is the claim key of `make_key`, empty without an Idempotency-Key.
    `request` is an id that the entry made, never one of the caller.
    `suspect` tells that the entry's quarantine suspects the digest.
    `resumable` tells that a broken answer may go on at another server.
    """

    request: str
    team: str
    service: str
    digest: str
    appender: str
    idempotent: bool
    key: str = ''
    horizon: Millis = 24 * HOUR
    suspect: bool = False
    resumable: bool = False

    @property
    def needs_claim(self) -> bool:
        """Return whether the request may run only under a claim."""
        return bool(self.key) and not self.idempotent


@dataclass(frozen=True, slots=True)
class AttemptSettings:
    """Bound the waits and tries of one request.

    `replica_wait` bounds, over all its tries, how long a request whose run was
    lost waits for a serving replica. `max_refusals` bounds the tries that are
    proven not to have run; without it they count as attempts.
    """

    claim_timeout: Millis = 2 * SECOND
    receipt_timeout: Millis = 1 * SECOND
    query_timeout: Millis = 1 * SECOND
    poll_interval: Millis = 250.0
    linger: Millis = 60 * SECOND
    replica_wait: Millis = 5 * SECOND
    max_attempts: int = 4
    max_claims: int = 6
    max_queries: int = 4
    max_alone_tries: int = 40
    max_refusals: int | None = None


class Stage(enum.Enum):
    """Name what a request waits for."""

    ROUTING = enum.auto()
    CLAIMING = enum.auto()
    RUNNING = enum.auto()
    RESUMING = enum.auto()
    ASKING = enum.auto()
    POLLING = enum.auto()
    RECORDING = enum.auto()
    WAITING = enum.auto()
    DONE = enum.auto()


class AttemptCore:
    """Route, dispatch, retry and refuse; keep the truth about `ran`."""

    def __init__(
        self,
        facts: RequestFacts,
        *,
        settings: AttemptSettings,
        budget: RetryBudget,
    ) -> None:
        self._facts = facts
        self._settings = settings
        self._budget = budget
        self._stage = Stage.ROUTING
        self._routed: Routed | None = None
        self._excluded: frozenset[str] = frozenset()
        self._attempt = 0
        self._retries = 0
        # Whether the next retry was taken from the budget ahead of its cause.
        self._has_paid = False
        self._refusals = 0
        self._crashes = 0
        self._alone = facts.suspect
        self._alone_tries = 0
        self._replica_waits = 0
        self._replica_waited: Millis = 0.0
        self._head_delivered = False
        # Of the latest dispatch alone: no later one may use them.
        self._held_head: DeliverHead | None = None
        self._token = ''
        self._resumes = 0
        self._detached = False
        self._stopping = False
        self._timer_number = 0
        # The claim under which this request was dispatched, or that it joins.
        self._claim: Claim | None = None
        self._joined = False
        # A claim that is proven not to run, until its release is appended.
        self._release: ReleaseRecord | None = None
        self._in_doubt = False
        self._known_ran = Ran.NO

    @property
    def done(self) -> bool:
        """Return whether nothing follows."""
        return self._stage is Stage.DONE

    @property
    def ran(self) -> Ran:
        """Return whether the request may have run, as far as is proven."""
        doubt = self._in_doubt or self._joined
        return max_ran(self._known_ran, Ran.MAYBE if doubt else Ran.NO)

    def _route(self) -> Actions:
        self._stage = Stage.ROUTING
        return (Route(self._excluded, alone=self._alone),)

    def _dispatch(self, claim: Claim | None) -> Actions:
        routed = self._routed
        if routed is None:
            return self._refuse(ErrorKind.INTERNAL)
        self._stage = Stage.RUNNING
        self._attempt += 1
        self._claim = claim
        self._in_doubt = True
        self._held_head, self._token, self._resumes = None, '', 0
        return (
            SendDispatch(
                agent=routed.replica.agent,
                incarnation=routed.replica.incarnation,
                beat=routed.replica.beat,
                attempt=self._attempt,
                plan=routed.plan,
                replica=routed.replica,
                claim=claim,
                alone=self._alone,
            ),
        )

    def _start_timer(self, kind: TimerKind, delay: Millis) -> StartTimer:
        """Start the one timer that counts; earlier ones are ignored."""
        self._timer_number += 1
        return StartTimer(kind, self._timer_number, delay)

    def _learn(self, ran: Ran) -> None:
        """Settle the doubt about the latest dispatch."""
        self._in_doubt = False
        self._known_ran = max_ran(self._known_ran, ran)

    def _prove_not_run(self) -> None:
        """Note that the latest dispatch and its claim never run."""
        self._in_doubt = False
        self._joined = False
        if self._claim is not None:
            self._release = make_release(self._claim)
        self._claim = None

    def _exclude(self, agent: str) -> None:
        self._excluded |= {agent}

    def _is_at(self, agent: str, incarnation: str) -> bool:
        """Return whether the latest attempt is at this incarnation."""
        if self._routed is None:
            return False
        replica = self._routed.replica
        return (replica.agent, replica.incarnation) == (agent, incarnation)

    def _retry(
        self,
        kind: ErrorKind,
        retry_after: Millis | None = None,
        detail: str = '',
    ) -> Actions:
        """Try again within the budget, else give up at once."""
        if not self._may_run_again() or not self._pay_retry():
            return self._refuse(kind, retry_after, detail)
        self._retries += 1
        return self._wait(self._budget.delay(self._retries))

    def _pay_retry(self) -> bool:
        """Spend one retry of the budget, or the one that is reserved."""
        if self._has_paid:
            self._has_paid = False
            return True
        return self._budget.try_withdraw()

    def _may_run_again(self) -> bool:
        return (
            self._retries + 1 < self._settings.max_attempts
            and not self._detached
            and not self._stopping
        )

    def _retry_refused(
        self,
        kind: ErrorKind,
        retry_after: Millis | None = None,
        detail: str = '',
    ) -> Actions:
        """Try again what is proven not to have run."""
        bound = self._settings.max_refusals
        if bound is None:
            return self._retry(kind, retry_after, detail)
        may_retry = self._refusals < bound and not self._detached
        if not may_retry or not self._pay_retry():
            return self._refuse(kind, retry_after, detail)
        self._refusals += 1
        return self._wait(self._budget.delay(self._refusals))

    def _retry_alone(self, retry_after: Millis | None) -> Actions:
        """Come back until the server lets the suspect run alone."""
        self._alone_tries += 1
        if self._alone_tries > self._settings.max_alone_tries:
            return self._refuse(ErrorKind.OVERLOADED, retry_after)
        if self._detached or self._stopping:
            return self._refuse(ErrorKind.OVERLOADED, retry_after)
        return self._wait((retry_after or _ALONE_DELAY) + self._budget.delay(1))

    def _may_await_replica(self) -> bool:
        """Return whether a lost run may wait for a replica to come back."""
        return (
            self._known_ran is not Ran.NO
            and self._replica_waited < self._settings.replica_wait
            and not self._detached
            and not self._stopping
        )

    def _await_replica(self) -> Actions:
        """Ask for a route again later, also to those that failed before.

        The retry was paid for when it was decided on.
        """
        self._excluded = frozenset()
        self._replica_waits += 1
        delay = _REPLICA_DELAY + self._budget.delay(self._replica_waits)
        left = self._settings.replica_wait - self._replica_waited
        delay = min(delay, left)
        self._replica_waited += delay
        return self._wait(delay)

    def _wait(self, delay: Millis) -> Actions:
        self._stage = Stage.WAITING
        return (self._start_timer(TimerKind.RETRY, delay),)

    def _refuse(
        self,
        kind: ErrorKind,
        retry_after: Millis | None = None,
        detail: str = '',
    ) -> Actions:
        """Give the final answer; `ran` is never understated."""
        refusal = self._make_refusal(kind, retry_after, detail)
        return self._finish(refusal)

    def _make_refusal(
        self,
        kind: ErrorKind,
        retry_after: Millis | None = None,
        detail: str = '',
    ) -> Refuse:
        if self._head_delivered and kind not in _SAID_OF_STREAMS:
            kind = ErrorKind.STREAM_BROKEN
        if retry_after is None:
            retry_after = REPLIES[kind].retry_after
        return Refuse(kind, self.ran, retry_after, detail)

    def _finish(self, *actions: Action) -> Actions:
        """End the request; append a release that still waits."""
        self._stage = Stage.DONE
        if self._release is not None:
            actions = (AppendRelease(self._release), *actions)
        return (*actions, Done())

    def _make_cancel(self) -> Actions:
        routed = self._routed
        if routed is None or not self._in_doubt:
            return ()
        replica = routed.replica
        return (SendCancel(replica.agent, replica.incarnation, self._attempt),)

    def _mute(self, actions: Actions) -> Actions:
        """Drop what is for a caller that has its answer or is gone."""
        if not self._detached:
            return actions
        kinds = (DeliverHead, DeliverChunk, DeliverEnd, Refuse)
        return tuple(a for a in actions if not isinstance(a, kinds))


def max_ran(first: Ran, second: Ran) -> Ran:
    """Return the stronger of two statements."""
    return max(first, second, key=_RAN_ORDER.index)


def make_release(claim: Claim) -> ReleaseRecord:
    """Return the record that frees a barred claim's key."""
    return ReleaseRecord(
        claim.key, claim.offset, claim.index, claim.incarnation
    )


Handler: TypeAlias = Callable[[Any, Any], Actions]
TimerHandler: TypeAlias = tuple[Stage, Callable[[Any], Actions]]
