"""Gate of an agent: whether a dispatch may run at its arrival."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel.claim_runs import ClaimRuns, RunAnswer, RunState
from oleanderdyke.kernel.exclusive_slot import ExclusiveSlot
from oleanderdyke.kernel.gate_types import GateSettings, LoadedWeights, Rights
from oleanderdyke.kernel.quarantine import Quarantine, QuarantineStatus
from oleanderdyke.links.messages import AgentPhase, Dispatch, Failed
from oleanderdyke.links.messages.claims import (
    Claim,
    ClaimAnswer,
    ClaimQuery,
    ClaimState,
)

__all__ = [
    'Accepted',
    'AdmitOutcome',
    'Gate',
    'GateSettings',
    'Ignored',
    'LoadedWeights',
]


@dataclass(frozen=True, slots=True)
class Accepted:
    """Permit a dispatch to run now; the gate counts it as running."""


@dataclass(frozen=True, slots=True)
class Ignored:
    """Drop a duplicate without an answer; the first one gets the answer."""


AdmitOutcome: TypeAlias = Accepted | Failed | Ignored


_AttemptKey: TypeAlias = tuple[str, int]

_ALONE_RETRY_AFTER: Millis = 250.0
_BUSY_RETRY_AFTER: Millis = 1_000.0
# Connections that are lost within this time count as lost by one crash.
_CRASH_WINDOW: Millis = 1_000.0


@dataclass(frozen=True, slots=True)
class _Refusal:
    """Hold the reason for which a dispatch may not run."""

    kind: ErrorKind
    detail: str
    retry_after: Millis | None = None


class Gate:
    """Admit dispatches to one backend server.

    The agent calls `record_heartbeat` with each heartbeat that it sends, and
    ends each accepted dispatch by one call: `finish`, `finish_disconnected` if
    the connection to the backend server broke, or `finish_unsent`. It calls
    `finish_crashed` when the backend server is lost.
    Only accepted dispatches may reach the backend server. The agent may report
    `ran=no` for one only if nothing of it reached the backend server, and then
    calls `finish_unsent`.
    """

    def __init__(
        self,
        agent: str,
        incarnation: str,
        service: str,
        *,
        settings: GateSettings,
        quarantine: Quarantine,
        rights: Rights,
    ) -> None:
        self._agent = agent
        self._incarnation = incarnation
        self._service = service
        self._settings = settings
        self._quarantine = quarantine
        self._rights = rights
        self._phase = AgentPhase.STARTING
        self._loaded = LoadedWeights()
        self._heartbeat = 0
        self._crashes = 0
        self._last_loss_at = -math.inf
        self._running: dict[_AttemptKey, Dispatch] = {}
        self._seen_attempts: set[_AttemptKey] = set()
        self._seen_by_heartbeat: deque[tuple[int, _AttemptKey]] = deque()
        self._exclusive_slot = ExclusiveSlot(
            reserve_beats=settings.reserve_beats
        )
        self._claims = ClaimRuns(
            max_age=settings.max_age,
            capacity=settings.claims,
            answer_bytes=settings.answer_bytes,
        )

    @property
    def running(self) -> int:
        """Return the number of running dispatches."""
        return len(self._running)

    @property
    def remembered(self) -> int:
        """Return the number of attempts and claims held in memory."""
        return len(self._seen_attempts) + len(self._claims)

    def set_phase(self, phase: AgentPhase) -> None:
        """Set the phase; LEAVING is final."""
        if self._phase is not AgentPhase.LEAVING:
            self._phase = phase

    def set_loaded(self, loaded: LoadedWeights) -> None:
        """Set the weights that new dispatches have to name."""
        self._loaded = loaded

    def record_heartbeat(self, sequence: int) -> None:
        """Record a sent heartbeat; forget attempts older than `max_age`."""
        self._heartbeat = max(self._heartbeat, sequence)
        self._claims.record_heartbeat(sequence)
        self._exclusive_slot.record_heartbeat(sequence)
        oldest = self._heartbeat - self._settings.max_age
        while (
            self._seen_by_heartbeat and self._seen_by_heartbeat[0][0] < oldest
        ):
            self._seen_attempts.discard(self._seen_by_heartbeat.popleft()[1])

    def admit(self, dispatch: Dispatch, now: Millis) -> AdmitOutcome:
        """Decide whether a dispatch may run now."""
        if self._is_repeated(dispatch):
            return Ignored()
        refusal = self._find_refusal(dispatch, now)
        if refusal is not None:
            return self._refuse(dispatch, refusal)
        self._remember((dispatch.request, dispatch.attempt))
        if dispatch.claim is not None:
            self._claims.add(dispatch.claim, dispatch.team, RunState.RUNNING)
        if self._must_be_alone(dispatch, now):
            self._exclusive_slot.enter(dispatch.digest)
        self._running[dispatch.request, dispatch.attempt] = dispatch
        return Accepted()

    def finish(
        self,
        request: str,
        attempt: int,
        answer: RunAnswer | None,
        *,
        served: bool = True,
    ) -> None:
        """End a run; `answer` is None if it is not completely known.

        A suspect that ran alone is cleared only if it was served.
        """
        dispatch = self._running.get((request, attempt))
        if dispatch is None:
            return
        if self._end(dispatch, answer) and served:
            self._quarantine.clear(dispatch.digest)

    def finish_disconnected(
        self, request: str, attempt: int, now: Millis
    ) -> None:
        """End a run whose connection broke, possibly by a crash."""
        dispatch = self._running.get((request, attempt))
        if dispatch is None:
            return
        self._quarantine.record_crash(
            self._make_crash_id(now),
            (dispatch.digest,),
            now,
            alone=self._end(dispatch, None),
        )

    def finish_unsent(self, request: str, attempt: int) -> None:
        """End a run of which nothing reached the backend server."""
        dispatch = self._running.get((request, attempt))
        if dispatch is None:
            return
        if dispatch.claim is not None:
            self._claims.bar(dispatch.claim)
        self._end(dispatch, None)

    def cancel(self, request: str, attempt: int) -> bool:
        """Return whether an attempt is running; refuse it if it comes later."""
        self._remember((request, attempt))
        return (request, attempt) in self._running

    def finish_crashed(self, now: Millis) -> tuple[Failed, ...]:
        """End all runs because the backend server is lost.

        The returned messages have to be sent after a heartbeat that lists the
        suspects.
        """
        dispatches = tuple(self._running.values())
        was_alone = [self._end(dispatch, None) for dispatch in dispatches]
        self._quarantine.record_crash(
            self._make_crash_id(now),
            {dispatch.digest for dispatch in dispatches},
            now,
            alone=any(was_alone),
        )
        return tuple(_make_lost_failure(dispatch) for dispatch in dispatches)

    def is_quarantined(self, digest: str, now: Millis) -> bool:
        """Return whether a request's digest is refused due to crashes."""
        status = self._quarantine.get_status(digest, now)
        return status is QuarantineStatus.QUARANTINED

    def answer_query(self, query: ClaimQuery) -> ClaimAnswer:
        """Return the state of a claim; bar it if it has not started."""
        if not self._is_own(query.claim):
            return ClaimAnswer(query.request, query.claim, ClaimState.UNKNOWN)
        return self._claims.answer(query)

    def _make_crash_id(self, now: Millis) -> str:
        """Return a crash id, shared by losses within `_CRASH_WINDOW`."""
        if now - self._last_loss_at > _CRASH_WINDOW:
            self._crashes += 1
        self._last_loss_at = now
        return f'{self._incarnation}:{self._crashes}'

    def _end(self, dispatch: Dispatch, answer: RunAnswer | None) -> bool:
        """End a run; return whether it was a suspect that ran alone."""
        del self._running[dispatch.request, dispatch.attempt]
        if dispatch.claim is not None:
            self._claims.finish(dispatch.claim, answer)
        return self._exclusive_slot.leave(dispatch.digest)

    def _is_own(self, claim: Claim) -> bool:
        return (
            claim.agent == self._agent
            and claim.incarnation == self._incarnation
            and claim.beat <= self._heartbeat
        )

    def _is_repeated(self, dispatch: Dispatch) -> bool:
        """Return whether this attempt was admitted, refused or cancelled.

        A duplicate may not be refused as not run, as the first one may run.
        """
        return (dispatch.request, dispatch.attempt) in self._seen_attempts

    def _remember(self, key: _AttemptKey) -> None:
        if key not in self._seen_attempts:
            self._seen_attempts.add(key)
            self._seen_by_heartbeat.append((self._heartbeat, key))

    def _refuse(self, dispatch: Dispatch, refusal: _Refusal) -> Failed:
        """Refuse a dispatch; its attempt and its claim can't start later."""
        self._remember((dispatch.request, dispatch.attempt))
        return Failed(
            dispatch.request,
            dispatch.attempt,
            refusal.kind,
            self._find_ran(dispatch),
            refusal.detail,
            refusal.retry_after,
        )

    def _find_ran(self, dispatch: Dispatch) -> Ran:
        """Return NO only if the gate would remember a run, else MAYBE."""
        claim = dispatch.claim
        if dispatch.incarnation and dispatch.incarnation != self._incarnation:
            return Ran.NO
        if claim is None:
            return Ran.NO if self._is_remembered(dispatch.beat) else Ran.MAYBE
        query = ClaimQuery(dispatch.request, dispatch.team, claim)
        barred = self.answer_query(query).state is ClaimState.BARRED
        return Ran.NO if barred else Ran.MAYBE

    def _is_remembered(self, beat: int) -> bool:
        """Return whether dispatches of this heartbeat are still remembered."""
        return 0 <= beat <= self._heartbeat and not self._claims.is_too_old(
            beat
        )

    def _find_refusal(self, dispatch: Dispatch, now: Millis) -> _Refusal | None:
        checks: tuple[Callable[[Dispatch, Millis], _Refusal | None], ...] = (
            self._check_phase,
            self._check_protocol,
            self._check_team,
            self._check_weights,
            self._check_age,
            self._check_claim,
            self._check_quarantine,
            self._check_capacity,
        )
        for check in checks:
            refusal = check(dispatch, now)
            if refusal is not None:
                return refusal
        return None

    def _check_phase(
        self, _dispatch: Dispatch, _now: Millis
    ) -> _Refusal | None:
        if self._phase is AgentPhase.LEAVING:
            return _Refusal(ErrorKind.LEAVING, 'the agent is leaving', 0)
        if self._phase is AgentPhase.STARTING:
            return _Refusal(ErrorKind.NOT_READY, 'the agent is starting')
        return None

    def _check_protocol(
        self, dispatch: Dispatch, _now: Millis
    ) -> _Refusal | None:
        if dispatch.service != self._service:
            return _Refusal(
                ErrorKind.NOT_FOUND, 'service not offered by this agent'
            )
        if dispatch.attempt < 1 or not dispatch.request:
            return _Refusal(
                ErrorKind.PROTOCOL, 'request id empty or attempt below 1'
            )
        return None

    def _check_team(self, dispatch: Dispatch, _now: Millis) -> _Refusal | None:
        if self._rights.allows(dispatch.team, dispatch.service) is False:
            return _Refusal(
                ErrorKind.FORBIDDEN, 'service not allowed for this team'
            )
        return None

    def _check_weights(
        self, dispatch: Dispatch, _now: Millis
    ) -> _Refusal | None:
        wanted = LoadedWeights(
            dispatch.model,
            dispatch.weight_version,
            dispatch.weight_digest,
            dispatch.adapter,
        )
        if wanted != self._loaded:
            return _Refusal(
                ErrorKind.WRONG_VERSION, 'other weights are loaded', 0
            )
        return None

    def _check_age(self, dispatch: Dispatch, _now: Millis) -> _Refusal | None:
        """Refuse dispatches without a recent heartbeat of this incarnation."""
        if dispatch.beat < 0 and dispatch.idempotent:
            return None
        if dispatch.incarnation != self._incarnation:
            return _Refusal(
                ErrorKind.STALE_CLAIM, 'for another agent incarnation', 0
            )
        if self._claims.is_too_old(dispatch.beat):
            return _Refusal(
                ErrorKind.STALE_CLAIM, 'dispatch heartbeat too old', 0
            )
        if dispatch.beat > self._heartbeat:
            return _Refusal(
                ErrorKind.PROTOCOL, 'dispatch names a future heartbeat'
            )
        return None

    def _check_claim(self, dispatch: Dispatch, _now: Millis) -> _Refusal | None:
        claim = dispatch.claim
        if claim is None:
            return None
        if not self._is_own(claim):
            return _Refusal(ErrorKind.STALE_CLAIM, 'claim of another agent', 0)
        if self._claims.is_too_old(claim.beat):
            return _Refusal(ErrorKind.STALE_CLAIM, 'claim heartbeat too old', 0)
        if self._claims.is_known(claim):
            return _Refusal(
                ErrorKind.STALE_CLAIM, 'claim already used or barred', 0
            )
        if not self._claims.make_room():
            return _Refusal(
                ErrorKind.OVERLOADED, 'claim limit reached', _BUSY_RETRY_AFTER
            )
        return None

    def _check_quarantine(
        self, dispatch: Dispatch, now: Millis
    ) -> _Refusal | None:
        if self.is_quarantined(dispatch.digest, now):
            return _Refusal(
                ErrorKind.QUARANTINED, 'request crashed backend servers'
            )
        return None

    def _check_capacity(
        self, dispatch: Dispatch, now: Millis
    ) -> _Refusal | None:
        if self._must_be_alone(dispatch, now):
            return self._check_alone(dispatch)
        if self._exclusive_slot.is_closed():
            return _Refusal(
                ErrorKind.OVERLOADED,
                'another request has to run alone',
                _ALONE_RETRY_AFTER,
            )
        limit = self._settings.concurrency
        if limit and len(self._running) >= limit:
            return _Refusal(
                ErrorKind.OVERLOADED,
                'concurrency limit reached',
                _BUSY_RETRY_AFTER,
            )
        return None

    def _check_alone(self, dispatch: Dispatch) -> _Refusal | None:
        if self._exclusive_slot.request(dispatch.digest, len(self._running)):
            return None
        return _Refusal(
            ErrorKind.OVERLOADED, 'request has to run alone', _ALONE_RETRY_AFTER
        )

    def _must_be_alone(self, dispatch: Dispatch, now: Millis) -> bool:
        status = self._quarantine.get_status(dispatch.digest, now)
        return dispatch.alone or status is QuarantineStatus.SUSPECT


def _make_lost_failure(dispatch: Dispatch) -> Failed:
    return Failed(
        dispatch.request,
        dispatch.attempt,
        ErrorKind.BACKEND_LOST,
        Ran.MAYBE,
        'the backend server was lost',
    )
