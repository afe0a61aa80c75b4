"""Track the claims that ran, were barred or were answered at an agent."""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass
from typing import TypeAlias

from oleanderdyke.links.messages import Headers
from oleanderdyke.links.messages.claims import (
    Claim,
    ClaimAnswer,
    ClaimQuery,
    ClaimState,
)


@dataclass(frozen=True, slots=True)
class RunAnswer:
    """Hold the complete answer of a run."""

    status: int
    headers: Headers
    body: bytes


class RunState(enum.Enum):
    """Identify the state of a claim at its agent."""

    BARRED = enum.auto()
    RUNNING = enum.auto()
    FINISHED = enum.auto()
    LOST = enum.auto()


@dataclass(slots=True)
class _Run:
    beat: int
    team: str
    state: RunState
    answer: RunAnswer | None = None


_RunKey: TypeAlias = tuple[int, int, str]


class ClaimRuns:
    """Track claims in bounded memory.

    A claim may start only within `max_age` heartbeats; claims are not evicted
    before that. Older claims are evicted oldest first. Queries for an unknown
    claim that is no newer than an evicted one are answered with UNKNOWN.
    """

    def __init__(
        self, *, max_age: int, capacity: int, answer_bytes: int
    ) -> None:
        self._max_age = max_age
        self._capacity = capacity
        self._free_answer_bytes = answer_bytes
        self._runs: OrderedDict[_RunKey, _Run] = OrderedDict()
        self._answered: OrderedDict[_RunKey, int] = OrderedDict()
        self._complete_from = 0
        self._beat = 0

    def __len__(self) -> int:
        return len(self._runs)

    def record_heartbeat(self, sequence: int) -> None:
        """Record the sequence number of the agent's latest heartbeat."""
        self._beat = max(self._beat, sequence)

    def is_known(self, claim: Claim) -> bool:
        """Return whether a claim has started or was barred."""
        return _make_key(claim) in self._runs

    def make_room(self) -> bool:
        """Evict the oldest claim if needed; return whether one more fits."""
        if len(self._runs) < self._capacity:
            return True
        key, run = next(iter(self._runs.items()))
        if run.state is RunState.RUNNING or not self.is_too_old(run.beat):
            return False
        self._drop_answer(key)
        del self._runs[key]
        self._complete_from = max(self._complete_from, run.beat + 1)
        return True

    def is_too_old(self, beat: int) -> bool:
        """Return whether a claim made at this heartbeat may no longer start."""
        return beat < self._beat - self._max_age

    def add(self, claim: Claim, team: str, state: RunState) -> None:
        """Add a claim; call `make_room` first."""
        self._runs[_make_key(claim)] = _Run(claim.beat, team, state)

    def finish(self, claim: Claim, answer: RunAnswer | None) -> None:
        """Store the answer of a run; None if the answer is incomplete."""
        key = _make_key(claim)
        run = self._runs.get(key)
        if run is None or run.state is not RunState.RUNNING:
            return
        if answer is None:
            run.state = RunState.LOST
            return
        run.state = RunState.FINISHED
        self._keep_answer(key, run, answer)

    def bar(self, claim: Claim) -> None:
        """Bar an admitted claim that never reached the backend server."""
        run = self._runs.get(_make_key(claim))
        if run is not None and run.state is RunState.RUNNING:
            run.state = RunState.BARRED

    def answer(self, query: ClaimQuery) -> ClaimAnswer:
        """Return the state of a claim, and bar it if it never started."""
        run = self._runs.get(_make_key(query.claim))
        if run is None:
            return ClaimAnswer(query.request, query.claim, self._bar(query))
        if run.state is RunState.BARRED:
            return ClaimAnswer(query.request, query.claim, ClaimState.BARRED)
        if run.team != query.team or run.state is RunState.LOST:
            return ClaimAnswer(query.request, query.claim, ClaimState.UNKNOWN)
        if run.state is RunState.RUNNING:
            return ClaimAnswer(query.request, query.claim, ClaimState.RUNNING)
        return _make_finished(query, run.answer)

    def _bar(self, query: ClaimQuery) -> ClaimState:
        claim = query.claim
        if claim.beat < self._complete_from:
            return ClaimState.UNKNOWN
        if self.is_too_old(claim.beat):
            return ClaimState.BARRED
        if not self.make_room():
            return ClaimState.UNKNOWN
        self.add(claim, query.team, RunState.BARRED)
        return ClaimState.BARRED

    def _keep_answer(self, key: _RunKey, run: _Run, answer: RunAnswer) -> None:
        size = _measure_bytes(answer)
        while self._free_answer_bytes < size and self._answered:
            self._drop_answer(next(iter(self._answered)))
        if self._free_answer_bytes < size:
            return
        run.answer = answer
        self._answered[key] = size
        self._free_answer_bytes -= size

    def _drop_answer(self, key: _RunKey) -> None:
        size = self._answered.pop(key, None)
        if size is not None:
            self._free_answer_bytes += size
            self._runs[key].answer = None


def _make_key(claim: Claim) -> _RunKey:
    return claim.offset, claim.index, claim.key


def _measure_bytes(answer: RunAnswer) -> int:
    names = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + names


def _make_finished(query: ClaimQuery, answer: RunAnswer | None) -> ClaimAnswer:
    """Return a finished run's answer; status 0 if it is no longer stored."""
    if answer is None:
        return ClaimAnswer(query.request, query.claim, ClaimState.FINISHED)
    return ClaimAnswer(
        query.request,
        query.claim,
        ClaimState.FINISHED,
        answer.status,
        answer.headers,
        answer.body,
    )
