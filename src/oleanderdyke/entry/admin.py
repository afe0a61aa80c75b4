"""Serve the administration to operators and team administrators."""

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
_RECORD_ID_PATTERN = re.compile(r'[0-9a-f]{32}')
_RECORD_ID_BYTES = 16

SendDrain: TypeAlias = Callable[[str, str], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class Caller:
    """Identify the caller of an administration request.

    `team` is the name of the administered team, empty for an operator.
    """

    name: str
    team: str = ''


@dataclass(frozen=True, slots=True)
class ChangeInput:
    """Request to set one object, or to delete it if the spec is None.

    A caller that sets `record_id` can query the outcome at any entry.
    """

    kind: ObjectKind
    name: str
    expected: int
    spec: Spec | None
    record_id: str = ''


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Hold the outcomes after an offset.

    `complete` is false if older outcomes are no longer kept.
    """

    offset: int
    outcomes: tuple[Outcome, ...]
    complete: bool


class Administration:
    """Authorize callers, then read and change the configuration."""

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
        """Return the owner of a token; raise UNAUTHENTICATED if unknown."""
        found = ''
        for operator in self._operators:
            if hmac.compare_digest(operator.token_hash, token_hash):
                found = operator.name
        if found:
            return Caller(found)
        team = self._catalog.find_administered_team(token_hash)
        if team is None:
            fault = 'missing or unknown bearer token'
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
        """Return up to `limit` matching objects whose names follow `after`."""
        check_operator(caller)
        limit = max(1, min(limit, PAGE_LIMIT))
        return self._catalog.list_page(kind, selector, after=after, limit=limit)

    def get_object(
        self, caller: Caller, kind: ObjectKind, name: str
    ) -> StoredObject:
        """Return an object; raise NOT_FOUND or FORBIDDEN."""
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
        """Publish changes and return their outcomes in the same order.

        Each change is applied or rejected independently of the others. Raise
        BAD_REQUEST, FORBIDDEN, CONFLICT, NOT_READY, LOG_UNAVAILABLE or
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
        """Return the outcome of a change; raise OUTCOME_UNKNOWN."""
        wait = min(wait, WAIT_LIMIT)
        (outcome,) = await self._publisher.settle([record_id], wait)
        _check_access(caller, outcome.kind, outcome.name)
        return outcome

    async def watch(
        self, caller: Caller, after: int, wait: Millis
    ) -> WatchResult:
        """Return the outcomes after an offset, waiting for the first one."""
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
        """Ask an agent to drain; raise NOT_FOUND without a link to it."""
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
            fault = (
                f'changes: found {len(inputs)}; allowed: 1 to {CHANGE_LIMIT}'
            )
            raise OleanderError(ErrorKind.BAD_REQUEST, fault)
        for item in inputs:
            if item.record_id and not _RECORD_ID_PATTERN.fullmatch(
                item.record_id
            ):
                fault = 'record_id: allowed: 32 lower-case hex characters'
                raise OleanderError(ErrorKind.BAD_REQUEST, fault)
            _check_access(caller, item.kind, item.name)
            if caller.team:
                self._check_tokens_only(item)

    def _check_tokens_only(self, item: ChangeInput) -> None:
        stored = self._catalog.get(item.kind, item.name)
        if stored is None or stored.generation != item.expected:
            fault = 'expected: stale generation of the team; read it and retry'
            raise OleanderError(ErrorKind.CONFLICT, fault, ran=Ran.NO)
        if _without_tokens(item.spec) != _without_tokens(stored.spec):
            fault = 'spec: a team administrator may change only token hashes'
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
    """Raise FORBIDDEN unless the caller is an operator."""
    if caller.team:
        raise OleanderError(ErrorKind.FORBIDDEN, 'this is for operators')


def make_conflict(rejected: Sequence[Rejected]) -> OleanderError:
    """Return the error that names the conflicting or invalid changes."""
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
        # The same error whether or not the object exists, so that a team
        # administrator cannot probe for names.
        raise OleanderError(ErrorKind.FORBIDDEN, 'this is for operators')


def _check_same_change(change: Change, outcome: Outcome) -> None:
    submitted = (change.operator, change.kind, change.name)
    if submitted != (outcome.operator, outcome.kind, outcome.name):
        fault = 'record_id: already used by another change'
        raise OleanderError(ErrorKind.BAD_REQUEST, fault)


def _without_tokens(spec: Spec | None) -> Spec | None:
    if not isinstance(spec, TeamSpec):
        return None
    return replace(spec, token_hashes=(), admin_token_hashes=())
