"""Lead one request at an entry from its arrival to its answer."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, ClassVar

from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel.attempt_core import (
    Actions,
    AttemptSettings,
    Handler,
    RequestFacts,
    Stage,
    TimerHandler,
    max_ran,
)
from oleanderdyke.kernel.attempt_events import (
    CallerGone,
    ClearSuspect,
    DeadlinePassed,
    DeliverChunk,
    DeliverEnd,
    DeliverHead,
    DispatchNotSent,
    Event,
    IncarnationEnded,
    LinkLost,
    LinkUp,
    MarkResumable,
    MessageReceived,
    NoRoute,
    Routed,
    SendResume,
    Stopping,
    TimerFired,
    TimerKind,
)
from oleanderdyke.kernel.claimed_attempts import ClaimedAttempts
from oleanderdyke.kernel.claims import Verdict
from oleanderdyke.links.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Failed,
)

__all__ = ['AttemptSettings', 'RequestFacts', 'RequestStateMachine']

_CRASH_LIMIT = 2

# Refusals of one agent that say nothing about the others.
_ELSEWHERE = frozenset(
    {
        ErrorKind.LEAVING,
        ErrorKind.NOT_READY,
        ErrorKind.NO_REPLICA,
        ErrorKind.OVERLOADED,
        ErrorKind.STALE_CLAIM,
        ErrorKind.STOPPING,
        ErrorKind.WRONG_VERSION,
    }
)

# Stages in which nothing of this call is dispatched.
_IDLE = frozenset({Stage.ROUTING, Stage.CLAIMING, Stage.WAITING})
_ASKED = frozenset({Stage.ASKING, Stage.POLLING})


class RequestStateMachine(ClaimedAttempts):
    """Answer events of one request with actions.

    It is the only place that decides on retries, `ran` and the final answer.
    """

    _delivered = 0

    def start(self, _now: Millis, verdict: Verdict | None = None) -> Actions:
        """Begin; a keyed request gives `ClaimTable.verdict` of its key."""
        self._budget.deposit()
        if verdict is None or not self._facts.needs_claim:
            return self._route()
        return self._judge(verdict)

    def handle_event(self, event: Event, _now: Millis) -> Actions:
        """Answer one event; late ones are answered by nothing."""
        if self.done:
            return ()
        detached = self._detached
        actions = self.HANDLERS[type(event)](self, event)
        return self._mute(actions) if detached else actions

    def reserve_retry(self) -> bool:
        """Pay for another run; False where a failure now would lead to none.

        Requests that give up one server together share what is left of the
        budget: each that was only told that there is some would break off an
        answer that nobody else can go on with.
        """
        if not self._may_run_elsewhere() or not self._pay_retry():
            return False
        self._has_paid = True
        return True

    def hand_over(self) -> Actions | None:
        """Return what the caller needs to go on elsewhere; None if it can't."""
        if not self._token or self._stage in _IDLE:
            return None
        return self._release_head()

    def _may_run_elsewhere(self) -> bool:
        facts = self._facts
        may_repeat = facts.idempotent and not self._head_delivered
        return (
            self._stage is Stage.RUNNING
            and (may_repeat or facts.resumable)
            and self._may_run_again()
        )

    def _on_routed(self, event: Routed) -> Actions:
        if self._stage is not Stage.ROUTING:
            return ()
        self._routed = event
        if self._facts.needs_claim:
            return self._append_claim()
        return self._dispatch(None)

    def _on_no_route(self, event: NoRoute) -> Actions:
        if self._stage is not Stage.ROUTING:
            return ()
        refusal = event.refusal
        if refusal.kind is ErrorKind.NO_REPLICA and self._may_await_replica():
            return self._await_replica()
        return self._refuse(refusal.kind, refusal.retry_after, refusal.reason)

    def _on_received(self, event: MessageReceived) -> Actions:
        message = event.message
        if message.attempt != self._attempt:
            return ()
        if self._stage not in {Stage.RUNNING, Stage.RESUMING}:
            return ()
        match message:
            case Failed():
                return self._on_failed(message)
            case AnswerEnd():
                return self._on_end(message)
            case _:
                return self._on_part(message)

    def _on_part(self, message: AnswerHead | AnswerChunk) -> Actions:
        if self._claim is not None:
            return self._collect(message)
        if isinstance(message, AnswerHead):
            return self._on_head(message)
        self._delivered += 1
        return (*self._release_head(), DeliverChunk(message.data))

    def _on_head(self, message: AnswerHead) -> Actions:
        """Hold the head back: until it goes out, another run may answer."""
        self._stage = Stage.RUNNING
        self._token = message.resume or self._token
        if self._head_delivered or self._held_head is not None:
            return ()
        self._held_head = DeliverHead(
            message.status, message.headers, message.resume
        )
        return (MarkResumable(),) if message.resume else ()

    def _release_head(self) -> Actions:
        """Pass on the held head, once, with what follows it."""
        head, self._held_head = self._held_head, None
        if head is None:
            return ()
        self._head_delivered = True
        return (head,)

    def _on_end(self, message: AnswerEnd) -> Actions:
        self._learn(Ran.YES)
        cleared = self._clear_suspect()
        if self._claim is not None:
            return (*cleared, *self._record())
        head = self._release_head()
        return (*cleared, *self._finish(*head, DeliverEnd(message)))

    def _clear_suspect(self) -> Actions:
        return (ClearSuspect(self._facts.digest),) if self._alone else ()

    def _on_failed(self, failed: Failed) -> Actions:
        if failed.ran is Ran.NO and self._stage is Stage.RUNNING:
            return self._after_not_run(failed)
        if self._claim is not None:
            return self._after_claimed_failure(failed)
        # A stream that only broke on its way may still run.
        broken = failed.kind is ErrorKind.STREAM_BROKEN
        cancel = self._make_cancel() if broken else ()
        self._learn(max_ran(failed.ran, Ran.MAYBE))
        return (*cancel, *self._after_unclaimed_failure(failed))

    def _after_unclaimed_failure(self, failed: Failed) -> Actions:
        if self._facts.resumable:
            self._exclude_current()
            return self._retry(failed.kind)
        if self._head_delivered:
            return self._refuse(failed.kind)
        if failed.kind is ErrorKind.STREAM_GONE:
            return self._after_silence()
        if not self._facts.idempotent:
            return self._refuse(failed.kind, failed.retry_after, failed.detail)
        return self._after_lost(failed.kind)

    def _after_not_run(self, failed: Failed) -> Actions:
        """Go elsewhere with what the agent has proven not to run."""
        self._prove_not_run()
        if failed.kind is ErrorKind.OVERLOADED and self._alone:
            return self._retry_alone(failed.retry_after)
        if failed.kind not in _ELSEWHERE:
            return self._refuse(failed.kind, failed.retry_after, failed.detail)
        self._exclude_current()
        return self._retry_refused(
            failed.kind, failed.retry_after, failed.detail
        )

    def _after_claimed_failure(self, failed: Failed) -> Actions:
        """Believe the agent, but ask it where only the way was broken."""
        if failed.kind is ErrorKind.STREAM_BROKEN:
            return self._ask()
        self._learn(max_ran(failed.ran, Ran.MAYBE))
        return self._refuse(failed.kind, failed.retry_after, failed.detail)

    def _after_lost(self, kind: ErrorKind) -> Actions:
        """Run an idempotent request again; a suspect alone, and once."""
        self._exclude_current()
        if kind is not ErrorKind.BACKEND_LOST:
            return self._retry(kind)
        if self._alone or self._crashes + 1 >= _CRASH_LIMIT:
            return self._refuse(ErrorKind.QUARANTINED)
        self._crashes += 1
        self._alone = True
        # What was refused before the crash must not cost the run alone.
        self._retries = 0
        return self._retry(kind)

    def _exclude_current(self) -> None:
        if self._routed is not None:
            self._exclude(self._routed.replica.agent)

    def _on_unsent(self, event: DispatchNotSent) -> Actions:
        if event.attempt != self._attempt or self._stage is not Stage.RUNNING:
            return ()
        self._prove_not_run()
        self._exclude_current()
        return self._retry_refused(ErrorKind.NO_REPLICA)

    def _on_link_lost(self, event: LinkLost) -> Actions:
        if not self._is_at(event.agent, event.incarnation):
            return ()
        if self._stage is not Stage.RUNNING:
            return ()
        if self._claim is not None:
            return self._ask()
        return self._resume()

    def _on_link_up(self, event: LinkUp) -> Actions:
        """Ask for the rest at once where the wait was for a link."""
        if self._stage is not Stage.RESUMING:
            return ()
        if not self._is_at(event.agent, event.incarnation):
            return ()
        return self._resume()

    def _on_incarnation_ended(self, event: IncarnationEnded) -> Actions:
        if self._stage in _ASKED:
            return self._after_owner_ended(event)
        if not self._is_at(event.agent, event.incarnation):
            return ()
        if self._stage is Stage.RESUMING or self._stage is Stage.RUNNING:
            return self._after_silence()
        return ()

    def _after_owner_ended(self, event: IncarnationEnded) -> Actions:
        claim = self._claim
        if claim is None or claim.agent != event.agent:
            return ()
        if claim.incarnation != event.incarnation:
            return ()
        return self._refuse(ErrorKind.OUTCOME_UNKNOWN)

    def _after_silence(self) -> Actions:
        """Go on after an attempt of which nothing more will be heard."""
        self._learn(Ran.MAYBE)
        can_repeat = self._facts.idempotent and not self._head_delivered
        if not can_repeat:
            return self._refuse(ErrorKind.BACKEND_LOST)
        self._exclude_current()
        return self._retry(ErrorKind.BACKEND_LOST)

    def _resume(self) -> Actions:
        """Ask the same agent for the rest of the same run, if it can."""
        routed = self._routed
        self._resumes += 1
        may_resume = self._token and self._resumes <= self._settings.max_queries
        if routed is None or not may_resume:
            return self._after_silence()
        self._stage = Stage.RESUMING
        self._attempt += 1
        resume = SendResume(
            agent=routed.replica.agent,
            incarnation=routed.replica.incarnation,
            attempt=self._attempt,
            token=self._token,
            sequence=self._delivered,
        )
        wait = self._settings.query_timeout
        return (resume, self._start_timer(TimerKind.RESUME, wait))

    def _on_timer(self, event: TimerFired) -> Actions:
        if event.kind is TimerKind.LINGER:
            return self._finish()
        if event.number != self._timer_number:
            return ()
        stage, act = self.TIMERS[event.kind]
        return act(self) if self._stage is stage else ()

    def _on_retry_timer(self) -> Actions:
        return self._route()

    def _on_caller_gone(self, _event: CallerGone) -> Actions:
        if self._stage is Stage.CLAIMING:
            return self._mute_all(self._withdraw(ErrorKind.CANCELLED))
        if self._is_own_run():
            return self._detach()
        cancel = self._make_cancel()
        return self._mute_all((*cancel, *self._finish()))

    def _on_deadline(self, _event: DeadlinePassed) -> Actions:
        if self._stage is Stage.RECORDING:
            return self._on_receipt_timer()
        return self._end_early(ErrorKind.DEADLINE)

    def _on_stopping(self, event: Stopping) -> Actions:
        self._stopping = True
        if event.immediate or self._stage in _IDLE:
            return self._end_early(ErrorKind.STOPPING)
        return ()

    def _end_early(self, kind: ErrorKind) -> Actions:
        """Answer now; a run that can't be repeated is recorded still."""
        if self._stage is Stage.CLAIMING:
            return self._withdraw(kind)
        if self._joined:
            return self._refuse(ErrorKind.IN_PROGRESS)
        cancel = self._make_cancel()
        if not self._is_own_run():
            return (*cancel, *self._refuse(kind))
        return (self._make_refusal(kind), *self._detach())

    def _is_own_run(self) -> bool:
        """Return whether a claimed run of this call may be under way."""
        return self._claim is not None and not self._joined

    def _mute_all(self, actions: Actions) -> Actions:
        self._detached = True
        return self._mute(actions)

    HANDLERS: ClassVar[Mapping[type[Any], Handler]] = {
        **ClaimedAttempts.HANDLERS,
        Routed: _on_routed,
        NoRoute: _on_no_route,
        MessageReceived: _on_received,
        DispatchNotSent: _on_unsent,
        LinkLost: _on_link_lost,
        LinkUp: _on_link_up,
        IncarnationEnded: _on_incarnation_ended,
        CallerGone: _on_caller_gone,
        DeadlinePassed: _on_deadline,
        Stopping: _on_stopping,
        TimerFired: _on_timer,
    }

    TIMERS: ClassVar[Mapping[TimerKind, TimerHandler]] = {
        **ClaimedAttempts.TIMERS,
        TimerKind.RETRY: (Stage.WAITING, _on_retry_timer),
        TimerKind.RESUME: (Stage.RESUMING, _resume),
    }
