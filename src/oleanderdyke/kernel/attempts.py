"""Drive one request at an entry from its arrival to its answer."""

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

# A request is not sent again after this many crashes of its backend server.
_CRASH_LIMIT = 2

# Refusals by one agent after which another agent may still accept.
_RETRY_ELSEWHERE = frozenset(
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

# Refusals that waiting doesn't change.
_FINAL_REFUSALS = frozenset({ErrorKind.WRONG_VERSION, ErrorKind.QUARANTINED})

# Stages in which no attempt of this request is dispatched.
_IDLE_STAGES = frozenset({Stage.ROUTING, Stage.CLAIMING, Stage.WAITING})
_QUERY_STAGES = frozenset({Stage.QUERYING, Stage.POLLING})


class RequestStateMachine(ClaimedAttempts):
    """Map the events of one request to actions.

    Retries, the value of `ran` and the final answer are decided only here.
    """

    _delivered = 0

    def start(self, _now: Millis, verdict: Verdict | None = None) -> Actions:
        """Return the first actions.

        A request that needs a claim passes its key's verdict in the table.
        """
        self._budget.deposit()
        if verdict is None or not self._facts.needs_claim:
            return self._route()
        return self._apply_verdict(verdict)

    def handle_event(self, event: Event, _now: Millis) -> Actions:
        """Return the actions for one event; none once the request has ended."""
        if self.done:
            return ()
        detached = self._detached
        actions = self.HANDLERS[type(event)](self, event)
        return self._drop_deliveries(actions) if detached else actions

    def reserve_retry(self) -> bool:
        """Withdraw the next retry from the budget in advance.

        Returns False if a failure now would not lead to another run. When many
        requests leave the same server together, reserving keeps them from all
        breaking off their answers for the same few remaining retries.
        """
        if not self._can_rerun() or not self._spend_retry():
            return False
        self._has_reserved_retry = True
        return True

    def hand_over(self) -> Actions | None:
        """Return the actions that let the caller resume at another entry.

        None if the answer has no resume token.
        """
        if not self._token or self._stage in _IDLE_STAGES:
            return None
        return self._deliver_held_head()

    def _can_rerun(self) -> bool:
        facts = self._facts
        may_repeat = facts.idempotent and not self._head_delivered
        return (
            self._stage is Stage.RUNNING
            and (may_repeat or self._may_go_on())
            and self._can_retry()
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
        if self._must_end_without_copy():
            return self._refuse(ErrorKind.STREAM_BROKEN)
        if self._copy:
            return self._route()
        refusal = event.refusal
        if refusal.kind is ErrorKind.NO_REPLICA and self._can_await_replica():
            return self._await_replica()
        is_final = refusal.kind in _FINAL_REFUSALS
        if self._must_hold_on() and not is_final:
            return self._hold_on(is_paid=True)
        return self._refuse(refusal.kind, refusal.retry_after, refusal.reason)

    def _on_message_received(self, event: MessageReceived) -> Actions:
        message = event.message
        if message.attempt != self._attempt:
            return ()
        if self._stage not in {Stage.RUNNING, Stage.RESUMING}:
            return ()
        self._is_answer_alone |= event.is_alone
        match message:
            case Failed():
                self._lost_copy = event.copy
                if message.ran is not Ran.NO:
                    self._was_silent = event.is_silent
                return self._on_failed(message)
            case AnswerEnd():
                return self._on_end(message)
            case _:
                return self._on_head_or_chunk(message)

    def _on_head_or_chunk(self, message: AnswerHead | AnswerChunk) -> Actions:
        if self._claim is not None:
            return self._buffer_answer(message)
        if isinstance(message, AnswerHead):
            return self._on_head(message)
        self._delivered += 1
        return (*self._deliver_held_head(), DeliverChunk(message.data))

    def _on_head(self, message: AnswerHead) -> Actions:
        """Hold the head back: until it is delivered, another run may answer."""
        self._stage = Stage.RUNNING
        self._token = message.resume or self._token
        if self._head_delivered or self._held_head is not None:
            return ()
        self._held_head = DeliverHead(
            message.status, message.headers, message.resume
        )
        return (MarkResumable(),) if message.resume else ()

    def _may_go_on(self) -> bool:
        """Return whether another run may add to what was delivered, if any."""
        is_bound = self._is_answer_alone and self._head_delivered
        return self._facts.resumable and not is_bound

    def _deliver_held_head(self) -> Actions:
        """Deliver the held head, if it has not been delivered yet."""
        head, self._held_head = self._held_head, None
        if head is None:
            return ()
        self._head_delivered = True
        return (head,)

    def _on_end(self, message: AnswerEnd) -> Actions:
        self._record_ran(Ran.YES)
        cleared = self._clear_suspect()
        if self._claim is not None:
            return (*cleared, *self._append_outcome())
        head = self._deliver_held_head()
        return (*cleared, *self._finish(*head, DeliverEnd(message)))

    def _clear_suspect(self) -> Actions:
        return (ClearSuspect(self._facts.digest),) if self._alone else ()

    def _on_failed(self, failed: Failed) -> Actions:
        if failed.ran is Ran.NO and self._stage is Stage.RUNNING:
            return self._after_not_run(failed)
        if self._claim is not None:
            return self._after_claimed_failure(failed)
        # The backend server may still be working on a stream that broke in
        # transit.
        broken = failed.kind is ErrorKind.STREAM_BROKEN
        cancel = self._make_cancel() if broken else ()
        self._record_ran(max_ran(failed.ran, Ran.MAYBE))
        if self._can_use_copy() and self._spend_copy_retry():
            self._exclude_current()
            return (*cancel, *self._continue_at_copy())
        return (*cancel, *self._after_unclaimed_failure(failed))

    def _after_unclaimed_failure(self, failed: Failed) -> Actions:
        if self._may_go_on():
            self._exclude_current()
            return self._retry(failed.kind)
        if self._head_delivered:
            return self._refuse(failed.kind)
        if failed.kind is ErrorKind.STREAM_GONE:
            return self._after_lost_attempt()
        if not self._facts.idempotent:
            return self._refuse(failed.kind, failed.retry_after, failed.detail)
        return self._rerun_idempotent(failed.kind)

    def _after_not_run(self, failed: Failed) -> Actions:
        """Retry an attempt that the agent has proven not to have run."""
        self._mark_not_run()
        if self._must_end_without_copy():
            return self._refuse(ErrorKind.STREAM_BROKEN)
        if failed.kind is ErrorKind.OVERLOADED and self._alone:
            return self._retry_alone(failed.retry_after)
        if failed.kind not in _RETRY_ELSEWHERE:
            return self._refuse(failed.kind, failed.retry_after, failed.detail)
        self._exclude_current()
        return self._retry_not_run(
            failed.kind, failed.retry_after, failed.detail
        )

    def _after_claimed_failure(self, failed: Failed) -> Actions:
        """Query the agent if the stream broke in transit, else refuse."""
        if failed.kind is ErrorKind.STREAM_BROKEN:
            return self._query_claim()
        self._record_ran(max_ran(failed.ran, Ran.MAYBE))
        return self._refuse(failed.kind, failed.retry_after, failed.detail)

    def _rerun_idempotent(self, kind: ErrorKind) -> Actions:
        """Retry an idempotent request; after a crash once only, and alone."""
        self._exclude_current()
        if kind is not ErrorKind.BACKEND_LOST:
            return self._retry(kind)
        if self._alone or self._crashes + 1 >= _CRASH_LIMIT:
            return self._refuse(ErrorKind.QUARANTINED)
        self._crashes += 1
        self._alone = True
        # Earlier refusals must not use up the attempt that runs alone.
        self._retries = 0
        return self._retry(kind)

    def _exclude_current(self) -> None:
        if self._routed is not None:
            self._exclude(self._routed.replica.agent)

    def _on_dispatch_not_sent(self, event: DispatchNotSent) -> Actions:
        if event.attempt != self._attempt or self._stage is not Stage.RUNNING:
            return ()
        self._mark_not_run()
        if self._must_end_without_copy():
            return self._refuse(ErrorKind.STREAM_BROKEN)
        self._exclude_current()
        return self._retry_not_run(ErrorKind.NO_REPLICA)

    def _on_link_lost(self, event: LinkLost) -> Actions:
        if not self._is_current(event.agent, event.incarnation):
            return ()
        if self._stage is not Stage.RUNNING:
            return ()
        if self._claim is not None:
            return self._query_claim()
        return self._resume()

    def _on_link_up(self, event: LinkUp) -> Actions:
        """Resume at once if the stream was waiting for a link."""
        if self._stage is not Stage.RESUMING:
            return ()
        if not self._is_current(event.agent, event.incarnation):
            return ()
        return self._resume()

    def _on_incarnation_ended(self, event: IncarnationEnded) -> Actions:
        if self._stage in _QUERY_STAGES:
            return self._after_owner_ended(event)
        if not self._is_current(event.agent, event.incarnation):
            return ()
        if self._stage is Stage.RESUMING or self._stage is Stage.RUNNING:
            return self._after_lost_attempt()
        return ()

    def _after_owner_ended(self, event: IncarnationEnded) -> Actions:
        claim = self._claim
        if claim is None or claim.agent != event.agent:
            return ()
        if claim.incarnation != event.incarnation:
            return ()
        return self._refuse(ErrorKind.OUTCOME_UNKNOWN)

    def _after_lost_attempt(self) -> Actions:
        """Retry or refuse after an attempt that will send nothing more."""
        self._record_ran(Ran.MAYBE)
        can_repeat = self._facts.idempotent and not self._head_delivered
        if not can_repeat:
            return self._refuse(ErrorKind.BACKEND_LOST)
        self._exclude_current()
        return self._retry(ErrorKind.BACKEND_LOST)

    def _resume(self) -> Actions:
        """Request the rest of the run from the same agent, if it can resume."""
        routed = self._routed
        self._resumes += 1
        may_resume = self._token and self._resumes <= self._settings.max_queries
        if routed is None or not may_resume:
            return self._after_lost_attempt()
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
        if self._owes_retry and not self._take_retry():
            return self._hold_on(is_paid=False)
        self._owes_retry = False
        return self._route()

    def _on_caller_gone(self, _event: CallerGone) -> Actions:
        if self._stage is Stage.CLAIMING:
            return self._drop_caller(self._withdraw(ErrorKind.CANCELLED))
        if self._is_own_run():
            return self._detach()
        cancel = self._make_cancel()
        return self._drop_caller((*cancel, *self._finish()))

    def _on_deadline(self, _event: DeadlinePassed) -> Actions:
        if self._stage is Stage.RECORDING:
            return self._on_receipt_timer()
        return self._end_now(ErrorKind.DEADLINE)

    def _on_stopping(self, event: Stopping) -> Actions:
        self._stopping = True
        if event.immediate or self._stage in _IDLE_STAGES:
            return self._end_now(ErrorKind.STOPPING)
        return ()

    def _end_now(self, kind: ErrorKind) -> Actions:
        """Answer now; the outcome of a claimed run is still recorded."""
        if self._stage is Stage.CLAIMING:
            return self._withdraw(kind)
        if self._joined:
            return self._refuse(ErrorKind.IN_PROGRESS)
        cancel = self._make_cancel()
        if not self._is_own_run():
            return (*cancel, *self._refuse(kind))
        return (self._make_refusal(kind), *self._detach())

    def _is_own_run(self) -> bool:
        """Return whether this request may have a claimed run in progress."""
        return self._claim is not None and not self._joined

    def _drop_caller(self, actions: Actions) -> Actions:
        self._detached = True
        return self._drop_deliveries(actions)

    HANDLERS: ClassVar[Mapping[type[Any], Handler]] = {
        **ClaimedAttempts.HANDLERS,
        Routed: _on_routed,
        NoRoute: _on_no_route,
        MessageReceived: _on_message_received,
        DispatchNotSent: _on_dispatch_not_sent,
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
