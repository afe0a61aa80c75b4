"""Handle the claim of a request: append, query, run and record."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, ClassVar

from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel.attempt_core import (
    Actions,
    AttemptCore,
    Handler,
    Stage,
    TimerHandler,
)
from oleanderdyke.kernel.attempt_events import (
    AppendClaim,
    AppendOutcome,
    AppendRelease,
    ClaimAnswered,
    ClaimFailed,
    ClaimSettled,
    DeliverChunk,
    DeliverEnd,
    DeliverHead,
    OutcomeFailed,
    OutcomeRecorded,
    QueryClaim,
    StartTimer,
    TimerKind,
)
from oleanderdyke.kernel.claim_records import (
    ClaimRecord,
    OutcomeRecord,
    WithdrawRecord,
)
from oleanderdyke.kernel.claims import (
    Conflict,
    Finished,
    Free,
    Owned,
    OwnedByOther,
    Verdict,
)
from oleanderdyke.kernel.receipts import Receipt, ReceiptState
from oleanderdyke.links.messages import AnswerChunk, AnswerHead
from oleanderdyke.links.messages.claims import Claim, ClaimAnswer, ClaimState

_ANSWER_NOT_KEPT = (
    'the request ran, but its answer was too long or too old to be kept'
)
_LOG_UNAVAILABLE = 'the claims log is unavailable; the request did not run'
_LOG_TIMEOUT = 'the claims log did not answer in time; the request did not run'


class ClaimedAttempts(AttemptCore):
    """Claim a key and run under it, or await the claim that owns it."""

    _claims = 0
    _claim_id = ''
    _queries = 0
    _is_running = False
    _receipt: Receipt | None = None

    def _append_claim(self) -> Actions:
        """Append a claim on the key, with a release that is still pending."""
        if self._routed is None or self._claims >= self._settings.max_claims:
            return self._refuse(ErrorKind.IN_PROGRESS)
        self._stage = Stage.CLAIMING
        self._claims += 1
        facts = self._facts
        self._claim_id = f'{facts.request}.{self._claims}'
        replica = self._routed.replica
        record = ClaimRecord(
            key=facts.key,
            digest=facts.digest,
            agent=replica.agent,
            incarnation=replica.incarnation,
            beat=replica.beat,
            appender=facts.appender,
            claim_id=self._claim_id,
            horizon=facts.horizon,
        )
        release, self._release = self._release, None
        wait = self._settings.claim_timeout
        timer = self._start_timer(TimerKind.CLAIM, wait)
        return (AppendClaim(record, release), timer)

    def _on_claim_settled(self, event: ClaimSettled) -> Actions:
        if not self._awaits_claim(event.claim_id):
            return ()
        if isinstance(event.verdict, Free):
            return self._withdraw(ErrorKind.LOG_UNAVAILABLE, _LOG_UNAVAILABLE)
        return self._apply_verdict(event.verdict)

    def _on_claim_failed(self, event: ClaimFailed) -> Actions:
        if not self._awaits_claim(event.claim_id):
            return ()
        return self._refuse(ErrorKind.LOG_UNAVAILABLE, detail=_LOG_UNAVAILABLE)

    def _awaits_claim(self, claim_id: str) -> bool:
        return self._stage is Stage.CLAIMING and claim_id == self._claim_id

    def _withdraw(self, kind: ErrorKind, detail: str = '') -> Actions:
        """Refuse the request and withdraw a claim that may reach the log.

        Nothing was dispatched under the claim and nothing will be, so it can
        be withdrawn without querying the agent.
        """
        record = WithdrawRecord(self._facts.key, self._claim_id)
        return (AppendRelease(record), *self._refuse(kind, detail=detail))

    def _apply_verdict(self, verdict: Verdict) -> Actions:
        """Continue according to the state of the key in the log."""
        match verdict:
            case Free():
                return self._route()
            case Owned():
                return self._dispatch(verdict.claim)
            case OwnedByOther():
                return self._join(verdict.claim)
            case Finished():
                return self._replay(verdict)
            case Conflict():
                return self._refuse(ErrorKind.KEY_REUSED)

    def _join(self, claim: Claim) -> Actions:
        self._claim = claim
        self._joined = True
        return self._query_claim()

    def _query_claim(self) -> Actions:
        """Query the claim's agent for the outcome, within `max_queries`."""
        claim = self._claim
        if claim is None:
            return self._refuse(ErrorKind.INTERNAL)
        self._queries += 1
        if self._queries > self._settings.max_queries:
            return self._give_up_querying()
        self._stage = Stage.QUERYING
        timer = self._start_timer(TimerKind.QUERY, self._settings.query_timeout)
        return (QueryClaim(claim.agent, claim), timer)

    def _give_up_querying(self) -> Actions:
        if self._is_running:
            return self._refuse(ErrorKind.IN_PROGRESS)
        return self._refuse(ErrorKind.OUTCOME_UNKNOWN)

    def _on_claim_answered(self, event: ClaimAnswered) -> Actions:
        answer = event.answer
        if self._stage is not Stage.QUERYING or answer.claim != self._claim:
            return ()
        match answer.state:
            case ClaimState.RUNNING:
                return self._poll()
            case ClaimState.FINISHED:
                return self._accept_finished(answer)
            case ClaimState.BARRED:
                return self._reclaim()
            case ClaimState.UNKNOWN:
                return self._refuse(ErrorKind.OUTCOME_UNKNOWN)

    def _poll(self) -> Actions:
        self._stage = Stage.POLLING
        self._queries = 0
        self._is_running = True
        return (
            self._start_timer(TimerKind.POLL, self._settings.poll_interval),
        )

    def _reclaim(self) -> Actions:
        """Continue after the agent barred the claim: it never ran."""
        was_own = not self._joined
        if was_own and self._claim is not None:
            self._exclude(self._claim.agent)
        self._mark_not_run()
        self._queries = 0
        self._is_running = False
        if was_own:
            return self._retry(ErrorKind.BACKEND_LOST)
        return self._route()

    def _get_receipt(self) -> Receipt:
        if self._receipt is None:
            self._receipt = Receipt()
        return self._receipt

    def _buffer_answer(self, message: AnswerHead | AnswerChunk) -> Actions:
        """Buffer the answer; pass it on once it is too long to be recorded."""
        receipt = self._get_receipt()
        if isinstance(message, AnswerHead):
            receipt.open(message.status, message.headers)
            return ()
        receipt.add(message.data)
        return (
            self._deliver_body(ReceiptState.DIGEST) if receipt.is_large else ()
        )

    def _accept_finished(self, answer: ClaimAnswer) -> Actions:
        self._known_ran = Ran.YES
        if not answer.status:
            return self._refuse(
                ErrorKind.OUTCOME_UNKNOWN, detail=_ANSWER_NOT_KEPT
            )
        receipt = self._get_receipt()
        receipt.open(answer.status, answer.headers)
        receipt.add_missing(answer.body)
        return self._append_outcome()

    def _append_outcome(self) -> Actions:
        """Append the outcome to the log before the caller gets the answer."""
        claim = self._claim
        if claim is None:
            return self._refuse(ErrorKind.INTERNAL)
        self._known_ran = Ran.YES
        self._stage = Stage.RECORDING
        outcome = self._get_receipt().make_outcome(claim)
        wait = self._settings.receipt_timeout
        timer = self._start_timer(TimerKind.RECEIPT, wait)
        return (AppendOutcome(outcome), timer)

    def _on_outcome_recorded(self, _event: OutcomeRecorded) -> Actions:
        if self._stage is not Stage.RECORDING:
            return ()
        return self._deliver_receipt(ReceiptState.RECORDED)

    def _on_outcome_failed(self, _event: OutcomeFailed) -> Actions:
        if self._stage is not Stage.RECORDING:
            return ()
        return self._deliver_receipt(ReceiptState.UNRECORDED)

    def _deliver_receipt(self, state: ReceiptState) -> Actions:
        if self._get_receipt().is_large:
            state = ReceiptState.DIGEST
        return self._finish(*self._deliver_body(state), DeliverEnd())

    def _deliver_body(self, state: ReceiptState) -> Actions:
        receipt = self._get_receipt()
        body = receipt.pop_body()
        chunk = (DeliverChunk(body),) if body else ()
        if self._head_delivered:
            return chunk
        self._head_delivered = True
        head = DeliverHead(receipt.status, receipt.make_headers(state))
        return (head, *chunk)

    def _replay(self, verdict: Finished) -> Actions:
        """Deliver the recorded answer, or query the agent for a long one."""
        outcome = verdict.outcome
        self._claim = verdict.claim
        self._known_ran = Ran.YES
        if outcome.body_digest:
            return self._join(verdict.claim)
        self._load_outcome(outcome)
        return self._deliver_receipt(ReceiptState.RECORDED)

    def _load_outcome(self, outcome: OutcomeRecord) -> None:
        receipt = self._get_receipt()
        receipt.open(outcome.status, outcome.headers)
        receipt.add(outcome.body)

    def _detach(self) -> Actions:
        """Continue without the caller until the outcome is recorded."""
        self._detached = True
        linger = self._settings.linger
        return (StartTimer(TimerKind.LINGER, 0, linger),)

    def _on_claim_timer(self) -> Actions:
        return self._withdraw(ErrorKind.LOG_UNAVAILABLE, _LOG_TIMEOUT)

    def _on_receipt_timer(self) -> Actions:
        return self._deliver_receipt(ReceiptState.UNRECORDED)

    HANDLERS: ClassVar[Mapping[type[Any], Handler]] = {
        ClaimSettled: _on_claim_settled,
        ClaimFailed: _on_claim_failed,
        ClaimAnswered: _on_claim_answered,
        OutcomeRecorded: _on_outcome_recorded,
        OutcomeFailed: _on_outcome_failed,
    }

    TIMERS: ClassVar[Mapping[TimerKind, TimerHandler]] = {
        TimerKind.CLAIM: (Stage.CLAIMING, _on_claim_timer),
        TimerKind.QUERY: (Stage.QUERYING, _query_claim),
        TimerKind.POLL: (Stage.POLLING, _query_claim),
        TimerKind.RECEIPT: (Stage.RECORDING, _on_receipt_timer),
    }
