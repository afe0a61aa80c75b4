"""Check at the agent, at the moment of use, whether a dispatch may run."""

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
    """Let a dispatch run now; the gate counts it as running."""


@dataclass(frozen=True, slots=True)
class Ignored:
    """Drop a duplicate without any answer; the first one is answered."""


AdmitOutcome: TypeAlias = Accepted | Failed | Ignored


_AttemptKey: TypeAlias = tuple[str, int]

_ALONE_RETRY: Millis = 250.0
_BUSY_RETRY: Millis = 1_000.0
# Connections lost within this time are taken as lost by one crash.
_ONE_CRASH: Millis = 1_000.0


@dataclass(frozen=True, slots=True)
class _Objection:
    """Hold why a dispatch may not run."""

    kind: ErrorKind
    detail: str
    retry_after: Millis | None = None


class Gate:
    """Admit dispatches to one backend server.

    The agent calls `record_heartbeat` with each heartbeat it sends, `finish`
    once for each accepted dispatch, `finish_disconnected` where its connection
    broke, and `finish_crashed` when its backend server is lost.
    Nothing may reach the backend server but by `Accepted`. After it, the agent
    says `ran=no` only of what never reached the backend server, and calls
    `finish_unsent`.
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
        self._beat = 0
        self._crashes = 0
        self._lost_at = -math.inf
        self._running: dict[_AttemptKey, Dispatch] = {}
        self._seen: set[_AttemptKey] = set()
        self._seen_order: deque[tuple[int, _AttemptKey]] = deque()
        self._lane = ExclusiveSlot(reserve_beats=settings.reserve_beats)
        self._claims = ClaimRuns(
            max_age=settings.max_age,
            capacity=settings.claims,
            answer_bytes=settings.answer_bytes,
        )

    @property
    def running(self) -> int:
        """Count the running dispatches."""
        return len(self._running)

    @property
    def remembered(self) -> int:
        """Count the attempts and claims held in memory."""
        return len(self._seen) + len(self._claims)

    def set_phase(self, phase: AgentPhase) -> None:
        """Enter a phase; LEAVING is never left again."""
        if self._phase is not AgentPhase.LEAVING:
            self._phase = phase

    def set_loaded(self, loaded: LoadedWeights) -> None:
        """Set which weights new dispatches must name."""
        self._loaded = loaded

    def record_heartbeat(self, sequence: int) -> None:
        """Learn the sequence number of the heartbeat just sent."""
        self._beat = max(self._beat, sequence)
        self._claims.record_heartbeat(sequence)
        self._lane.record_heartbeat(sequence)
        oldest = self._beat - self._settings.max_age
        while self._seen_order and self._seen_order[0][0] < oldest:
            self._seen.discard(self._seen_order.popleft()[1])

    def admit(self, dispatch: Dispatch, now: Millis) -> AdmitOutcome:
        """Decide whether a dispatch may run now."""
        if self._is_repeated(dispatch):
            return Ignored()
        objection = self._find_objection(dispatch, now)
        if objection is not None:
            return self._refuse(dispatch, objection)
        self._remember((dispatch.request, dispatch.attempt))
        if dispatch.claim is not None:
            self._claims.add(dispatch.claim, dispatch.team, RunState.RUNNING)
        if self._must_be_alone(dispatch, now):
            self._lane.enter(dispatch.digest)
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
        """End a run; None tells that its answer is not known whole.

        A suspect is cleared by a run alone only where it was served.
        """
        dispatch = self._running.get((request, attempt))
        if dispatch is None:
            return
        if self._end(dispatch, answer) and served:
            self._quarantine.clear(dispatch.digest)

    def finish_disconnected(
        self, request: str, attempt: int, now: Millis
    ) -> None:
        """End a run whose connection broke; it may have been a crash."""
        dispatch = self._running.get((request, attempt))
        if dispatch is None:
            return
        self._quarantine.record_crash(
            self._name_crash(now),
            (dispatch.digest,),
            now,
            alone=self._end(dispatch, None),
        )

    def finish_unsent(self, request: str, attempt: int) -> None:
        """End a run of which nothing ever reached the backend server."""
        dispatch = self._running.get((request, attempt))
        if dispatch is None:
            return
        if dispatch.claim is not None:
            self._claims.bar(dispatch.claim)
        self._end(dispatch, None)

    def cancel(self, request: str, attempt: int) -> bool:
        """Bar an attempt that never came; tell whether it is running."""
        self._remember((request, attempt))
        return (request, attempt) in self._running

    def finish_crashed(self, now: Millis) -> tuple[Failed, ...]:
        """End all runs because the backend server is lost.

        Send the returned messages after a heartbeat that tells the suspects.
        """
        dispatches = tuple(self._running.values())
        was_alone = [self._end(dispatch, None) for dispatch in dispatches]
        self._quarantine.record_crash(
            self._name_crash(now),
            {dispatch.digest for dispatch in dispatches},
            now,
            alone=any(was_alone),
        )
        return tuple(_make_lost(dispatch) for dispatch in dispatches)

    def is_quarantined(self, digest: str, now: Millis) -> bool:
        """Return whether a request's digest is refused for its crashes."""
        standing = self._quarantine.get_status(digest, now)
        return standing is QuarantineStatus.QUARANTINED

    def answer_query(self, query: ClaimQuery) -> ClaimAnswer:
        """Tell what became of a claim; bar it where it never started."""
        if not self._is_own(query.claim):
            return ClaimAnswer(query.request, query.claim, ClaimState.UNKNOWN)
        return self._claims.answer(query)

    def _name_crash(self, now: Millis) -> str:
        """Give what is lost at about the same time to the same crash."""
        if now - self._lost_at > _ONE_CRASH:
            self._crashes += 1
        self._lost_at = now
        return f'{self._incarnation}:{self._crashes}'

    def _end(self, dispatch: Dispatch, answer: RunAnswer | None) -> bool:
        """End a run; tell whether it was that of a suspect alone."""
        del self._running[dispatch.request, dispatch.attempt]
        if dispatch.claim is not None:
            self._claims.finish(dispatch.claim, answer)
        return self._lane.leave(dispatch.digest)

    def _is_own(self, claim: Claim) -> bool:
        return (
            claim.agent == self._agent
            and claim.incarnation == self._incarnation
            and claim.beat <= self._beat
        )

    def _is_repeated(self, dispatch: Dispatch) -> bool:
        """Return whether an answer to this very dispatch is given already.

        To refuse a repetition as not run would deny the first one's run.
        """
        return (dispatch.request, dispatch.attempt) in self._seen

    def _remember(self, key: _AttemptKey) -> None:
        if key not in self._seen:
            self._seen.add(key)
            self._seen_order.append((self._beat, key))

    def _refuse(self, dispatch: Dispatch, objection: _Objection) -> Failed:
        """Refuse for good: this attempt and its claim never start later."""
        self._remember((dispatch.request, dispatch.attempt))
        return Failed(
            dispatch.request,
            dispatch.attempt,
            objection.kind,
            self._prove_ran(dispatch),
            objection.detail,
            objection.retry_after,
        )

    def _prove_ran(self, dispatch: Dispatch) -> Ran:
        """Say no only where the gate would remember a run."""
        claim = dispatch.claim
        if dispatch.incarnation and dispatch.incarnation != self._incarnation:
            return Ran.NO
        if claim is None:
            return Ran.NO if self._is_remembered(dispatch.beat) else Ran.MAYBE
        query = ClaimQuery(dispatch.request, dispatch.team, claim)
        barred = self.answer_query(query).state is ClaimState.BARRED
        return Ran.NO if barred else Ran.MAYBE

    def _is_remembered(self, beat: int) -> bool:
        """Return whether a dispatch of this heartbeat is surely remembered."""
        return 0 <= beat <= self._beat and not self._claims.is_too_old(beat)

    def _find_objection(
        self, dispatch: Dispatch, now: Millis
    ) -> _Objection | None:
        checks: tuple[Callable[[Dispatch, Millis], _Objection | None], ...] = (
            self._check_phase,
            self._check_protocol,
            self._check_team,
            self._check_weights,
            self._check_age,
            self._check_claim,
            self._check_quarantine,
            self._check_room,
        )
        for check in checks:
            objection = check(dispatch, now)
            if objection is not None:
                return objection
        return None

    def _check_phase(
        self, _dispatch: Dispatch, _now: Millis
    ) -> _Objection | None:
        if self._phase is AgentPhase.LEAVING:
            return _Objection(ErrorKind.LEAVING, 'the agent is leaving', 0)
        if self._phase is AgentPhase.STARTING:
            return _Objection(ErrorKind.NOT_READY, 'the agent is starting')
        return None

    def _check_protocol(
        self, dispatch: Dispatch, _now: Millis
    ) -> _Objection | None:
        if dispatch.service != self._service:
            return _Objection(ErrorKind.NOT_FOUND, 'another service')
        if dispatch.attempt < 1 or not dispatch.request:
            return _Objection(ErrorKind.PROTOCOL, 'no request or attempt')
        return None

    def _check_team(
        self, dispatch: Dispatch, _now: Millis
    ) -> _Objection | None:
        if self._rights.allows(dispatch.team, dispatch.service) is False:
            return _Objection(ErrorKind.FORBIDDEN, 'not for this team')
        return None

    def _check_weights(
        self, dispatch: Dispatch, _now: Millis
    ) -> _Objection | None:
        wanted = LoadedWeights(
            dispatch.model,
            dispatch.weight_version,
            dispatch.weight_digest,
            dispatch.adapter,
        )
        if wanted != self._loaded:
            return _Objection(ErrorKind.WRONG_VERSION, 'other weights', 0)
        return None

    def _check_age(self, dispatch: Dispatch, _now: Millis) -> _Objection | None:
        """Object to what names no recent heartbeat of this incarnation."""
        if dispatch.beat < 0 and dispatch.idempotent:
            return None
        if dispatch.incarnation != self._incarnation:
            return _Objection(ErrorKind.STALE_CLAIM, 'another incarnation', 0)
        if self._claims.is_too_old(dispatch.beat):
            return _Objection(ErrorKind.STALE_CLAIM, 'too old a dispatch', 0)
        if dispatch.beat > self._beat:
            return _Objection(ErrorKind.PROTOCOL, 'a heartbeat to come')
        return None

    def _check_claim(
        self, dispatch: Dispatch, _now: Millis
    ) -> _Objection | None:
        claim = dispatch.claim
        if claim is None:
            return None
        if not self._is_own(claim):
            return _Objection(ErrorKind.STALE_CLAIM, 'not of this agent', 0)
        if self._claims.is_too_old(claim.beat):
            return _Objection(ErrorKind.STALE_CLAIM, 'too old a claim', 0)
        if self._claims.is_known(claim):
            return _Objection(ErrorKind.STALE_CLAIM, 'used or barred', 0)
        if not self._claims.make_room():
            return _Objection(
                ErrorKind.OVERLOADED, 'claim memory full', _BUSY_RETRY
            )
        return None

    def _check_quarantine(
        self, dispatch: Dispatch, now: Millis
    ) -> _Objection | None:
        if self.is_quarantined(dispatch.digest, now):
            return _Objection(ErrorKind.QUARANTINED, 'it crashed servers')
        return None

    def _check_room(self, dispatch: Dispatch, now: Millis) -> _Objection | None:
        if self._must_be_alone(dispatch, now):
            return self._check_alone(dispatch)
        if self._lane.is_closed():
            return _Objection(
                ErrorKind.OVERLOADED, 'a suspect runs alone', _ALONE_RETRY
            )
        limit = self._settings.concurrency
        if limit and len(self._running) >= limit:
            return _Objection(ErrorKind.OVERLOADED, 'full', _BUSY_RETRY)
        return None

    def _check_alone(self, dispatch: Dispatch) -> _Objection | None:
        if self._lane.request(dispatch.digest, len(self._running)):
            return None
        return _Objection(
            ErrorKind.OVERLOADED, 'waits to run alone', _ALONE_RETRY
        )

    def _must_be_alone(self, dispatch: Dispatch, now: Millis) -> bool:
        standing = self._quarantine.get_status(dispatch.digest, now)
        return dispatch.alone or standing is QuarantineStatus.SUSPECT


def _make_lost(dispatch: Dispatch) -> Failed:
    return Failed(
        dispatch.request,
        dispatch.attempt,
        ErrorKind.BACKEND_LOST,
        Ran.MAYBE,
        'the backend server was lost',
    )
