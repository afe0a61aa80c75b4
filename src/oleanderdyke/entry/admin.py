"""Answer operators and the administrators of teams."""

from __future__ import annotations

import hmac
import re
import secrets
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from typing import TypeAlias

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.entry.publishing import Publisher, wait_until
from oleanderdyke.entry.settings import OperatorSettings
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.catalog import (
    Catalog,
    ObjectPage,
    Outcome,
    Rejected,
    RejectionReason,
)
from oleanderdyke.kernel.objects import (
    Change,
    Labels,
    ObjectKind,
    Spec,
    StoredObject,
    TeamSpec,
)

CHANGE_LIMIT = 100
PAGE_LIMIT = 500
WAIT_LIMIT: Millis = 30 * SECOND
_WATCH_POLL: Millis = 50.0
_RECORD_ID = re.compile(r'[0-9a-f]{32}')
_RECORD_ID_BYTES = 16

SendDrain: TypeAlias = Callable[[str, str], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class Caller:
    """Name who asks; the administrator of a team has its name in `team`."""

    name: str
    team: str = ''


@dataclass(frozen=True, slots=True)
class ChangeInput:
    """Ask for one object to be set, or deleted where the spec is None.

    Whoever chooses the record id can ask for the outcome through any entry.
    """

    kind: ObjectKind
    name: str
    expected: int
    spec: Spec | None
    record_id: str = ''


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Hold what changed after an offset; `complete` unless too long ago."""

    offset: int
    outcomes: tuple[Outcome, ...]
    complete: bool


class Administration:
    """Check rights, then read and change the configuration."""

    def __init__(
        self,
        catalog: Catalog,
        publisher: Publisher,
        clock: Clock,
        *,
        operators: Sequence[OperatorSettings],
        check_ready: Callable[[], str],
        send_drain: SendDrain,
    ) -> None:
        self._catalog = catalog
        self._publisher = publisher
        self._clock = clock
        self._operators = tuple(operators)
        self._check_ready = check_ready
        self._send_drain = send_drain

    def identify(self, token_hash: str) -> Caller:
        """Return the owner of a token; raise UNAUTHENTICATED."""
        found = ''
        for operator in self._operators:
            if hmac.compare_digest(operator.token_hash, token_hash):
                found = operator.name
        if found:
            return Caller(found)
        team = self._catalog.find_administered_team(token_hash)
        if team is None:
            fault = 'a known bearer token is needed'
            raise OleanderError(ErrorKind.UNAUTHENTICATED, fault)
        return Caller(f'team/{team.name}', team.name)

    def list_objects(
        self,
        caller: Caller,
        kind: ObjectKind,
        selector: Labels,
        *,
        after: str = '',
        limit: int = PAGE_LIMIT,
    ) -> ObjectPage:
        """Look at a bounded number of objects after a name."""
        check_operator(caller)
        limit = max(1, min(limit, PAGE_LIMIT))
        return self._catalog.list_page(kind, selector, after=after, limit=limit)

    def get_object(
        self, caller: Caller, kind: ObjectKind, name: str
    ) -> StoredObject:
        """Return an object; raise NOT_FOUND."""
        _check_access(caller, kind, name)
        stored = self._catalog.get(kind, name)
        if stored is None:
            raise OleanderError(ErrorKind.NOT_FOUND, f'no {kind} {name!r}')
        return stored

    def history(
        self, caller: Caller, kind: ObjectKind, name: str
    ) -> tuple[Outcome, ...]:
        """Return the recent outcomes for one object, oldest first."""
        _check_access(caller, kind, name)
        return self._catalog.history(kind, name)

    async def publish(
        self, caller: Caller, inputs: Sequence[ChangeInput]
    ) -> tuple[Outcome, ...]:
        """Publish changes and return what became of each, in order.

        Each change stands for itself. Raise NOT_READY, LOG_UNAVAILABLE or
        OUTCOME_UNKNOWN.
        """
        self._check_publishable(caller, inputs)
        changes = [self._make_change(caller, item) for item in inputs]
        outcomes = await self._publisher.publish(changes)
        for change, outcome in zip(changes, outcomes, strict=True):
            _check_same_change(change, outcome)
        return outcomes

    async def find_outcome(
        self, caller: Caller, record_id: str, wait: Millis = 0.0
    ) -> Outcome:
        """Return what became of a record; raise OUTCOME_UNKNOWN."""
        wait = min(wait, WAIT_LIMIT)
        (outcome,) = await self._publisher.settle([record_id], wait)
        _check_access(caller, outcome.kind, outcome.name)
        return outcome

    async def watch(
        self, caller: Caller, after: int, wait: Millis
    ) -> WatchResult:
        """Wait until something has changed after an offset."""
        check_operator(caller)
        catalog = self._catalog
        await wait_until(
            lambda: (
                catalog.offset > after and bool(catalog.list_outcomes(after))
            ),
            min(wait, WAIT_LIMIT),
            self._clock,
            poll=_WATCH_POLL,
        )
        return WatchResult(
            catalog.offset,
            catalog.list_outcomes(after),
            catalog.difference(after) is not None,
        )

    async def drain(self, caller: Caller, agent: str) -> None:
        """Ask an agent to leave; raise NOT_FOUND without a link to it."""
        check_operator(caller)
        if not await self._send_drain(agent, caller.name):
            fault = f'this entry has no link to an agent {agent!r}'
            raise OleanderError(ErrorKind.NOT_FOUND, fault)

    def _check_publishable(
        self, caller: Caller, inputs: Sequence[ChangeInput]
    ) -> None:
        reason = self._check_ready()
        if reason:
            raise OleanderError(ErrorKind.NOT_READY, reason, ran=Ran.NO)
        if not 0 < len(inputs) <= CHANGE_LIMIT:
            fault = f'found {len(inputs)} changes; allowed: 1 to {CHANGE_LIMIT}'
            raise OleanderError(ErrorKind.BAD_REQUEST, fault)
        for item in inputs:
            if item.record_id and not _RECORD_ID.fullmatch(item.record_id):
                fault = 'record_id: allowed: 32 lower-case hex characters'
                raise OleanderError(ErrorKind.BAD_REQUEST, fault)
            _check_access(caller, item.kind, item.name)
            if caller.team:
                self._check_tokens_only(item)

    def _check_tokens_only(self, item: ChangeInput) -> None:
        stored = self._catalog.get(item.kind, item.name)
        if stored is None or stored.generation != item.expected:
            fault = 'the team has another generation; get it and try again'
            raise OleanderError(ErrorKind.CONFLICT, fault, ran=Ran.NO)
        if _without_tokens(item.spec) != _without_tokens(stored.spec):
            fault = 'a team may change its token hashes only'
            raise OleanderError(ErrorKind.FORBIDDEN, fault)

    def _make_change(self, caller: Caller, item: ChangeInput) -> Change:
        return Change(
            item.record_id or secrets.token_hex(_RECORD_ID_BYTES),
            caller.name,
            item.kind,
            item.name,
            item.expected,
            item.spec,
            self._clock.wall(),
        )


def check_operator(caller: Caller) -> None:
    """Raise FORBIDDEN for the administrator of a team."""
    if caller.team:
        raise OleanderError(ErrorKind.FORBIDDEN, 'this is for operators')


def make_conflict(rejected: Sequence[Rejected]) -> OleanderError:
    """Return the error that tells who won, or why the change is invalid."""
    invalid = any(item.reason is RejectionReason.INVALID for item in rejected)
    kind = ErrorKind.BAD_REQUEST if invalid else ErrorKind.CONFLICT
    return OleanderError(
        kind, '; '.join(map(_describe_rejection, rejected)), ran=Ran.NO
    )


def _describe_rejection(rejected: Rejected) -> str:
    winner = f', last changed by {rejected.winner}' if rejected.winner else ''
    return f'{rejected.kind} {rejected.name}: {rejected.detail}{winner}'


def _check_access(caller: Caller, kind: ObjectKind, name: str) -> None:
    if caller.team and (kind, name) != (ObjectKind.TEAM, caller.team):
        # The same answer whether or not there is such an object.
        raise OleanderError(ErrorKind.FORBIDDEN, 'this is for operators')


def _check_same_change(change: Change, outcome: Outcome) -> None:
    submitted = (change.operator, change.kind, change.name)
    if submitted != (outcome.operator, outcome.kind, outcome.name):
        fault = 'record_id: it belongs to another change'
        raise OleanderError(ErrorKind.BAD_REQUEST, fault)


def _without_tokens(spec: Spec | None) -> Spec | None:
    if not isinstance(spec, TeamSpec):
        return None
    return replace(spec, token_hashes=(), admin_token_hashes=())
