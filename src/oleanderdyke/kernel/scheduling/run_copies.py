"""Choose the streams whose memory is copied to a second engine, and where.

The load it answers: engines that crash while they run tens of streams, which
nothing can repeat or which are too long to be read again within a pause.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.deployment import EngineTraits
from oleanderdyke.kernel.scheduling.work import ServerWork, WorkView
from oleanderdyke.kernel.servers import ModelDemand, ServerStart

# Share of an engine's memory that copies may take.
_COPY_SHARE = 0.25
# Runs and copies together leave this much free, or runs would be preempted.
_FILL_LIMIT = 0.8
# Share of an engine's link that copies may take; prompts are fetched over it.
_LINK_SHARE = 0.25
# How far ahead of the permitted pace copies may begin.
_LINK_BURST: Millis = 1 * SECOND
# A transfer between data centres takes twice as long.
_DISTANCE_FACTOR = 2.0
# After a lost run, others are copied for this long: engines crash in series,
# and copies take memory from runs while none does.
_RISK_PERIOD: Millis = 30 * SECOND
# Candidates that are compared by their memory.
_CANDIDATES = 2
_BITS_PER_BYTE = 8
# Mbit/s are bits per microsecond.
_BITS_PER_MBIT_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class RunCopy:
    """The copy of a run's memory at one start of a second engine.

    `tokens` is the memory that it occupies at its end. The run and its copy
    are of the same `version` of the weights and of the same `software`.
    """

    start: ServerStart
    address: str
    model: str
    version: int
    tokens: int
    software: str = ''


@dataclass(frozen=True, slots=True)
class GrowingRun:
    """Describe a run that may be copied while it grows.

    `gap` is the longest pause that its caller accepts, 0 for any. Only a
    `resumable` run may be run again.
    """

    model: ModelDemand
    source: Backend
    version: int
    traits: EngineTraits
    gap: Millis = 0.0
    is_resumable: bool = False

    @property
    def tokens(self) -> int:
        """Return the memory that the run occupies at its end, in tokens.

        A copy shares no parts of the prompt with other runs.
        """
        return self.model.prompt_tokens + self.model.output_tokens // 2


@dataclass(frozen=True, slots=True)
class EntryShare:
    """How much of the traffic one entry sees: one of `entries`."""

    entries: float = 1.0


class CopyAccount(Protocol):
    """Account for the memory that copies take at their engines."""

    def begin_copy(self, start: ServerStart, copy: str, *, memory: int) -> None:
        """Add the copy of a run."""

    def end(self, name: str) -> None:
        """Remove a copy; unknown names are ignored."""


class NoCopyAccount:
    """Account for nothing."""

    def begin_copy(
        self, _start: ServerStart, _copy: str, *, memory: int
    ) -> None:
        """Do nothing."""

    def end(self, _name: str) -> None:
        """Do nothing."""


@dataclass
class RunCopies:
    """Choose copies, and keep those that this entry has asked for."""

    random: Random
    view: Callable[[], WorkView]
    account: CopyAccount = field(default_factory=NoCopyAccount)
    _lost_at: Millis = -math.inf
    _copies: dict[str, RunCopy] = field(default_factory=dict)
    # Until when the permitted share of each server's link is used.
    _paces: dict[ServerStart, Millis] = field(default_factory=dict)

    def choose(
        self,
        run: GrowingRun,
        listed: Sequence[Backend],
        may_hold: Callable[[Backend], bool],
        share: EntryShare,
        now: Millis,
    ) -> RunCopy | None:
        """Return where a run is to be copied, None if it is not worth it.

        `may_hold` tells whether a server may get work of this caller now.
        """
        if now - self._lost_at > _RISK_PERIOD:
            return None
        if not is_worth_copying(run) or not self._has_link(run.source, now):
            return None
        fills = self._make_fills(run, listed, share, now)
        candidates = (
            each
            for each in self._list_candidates(run, listed)
            if may_hold(each)
            and self._has_link(each, now)
            and fills.has_room(each)
        )
        best = min(
            _take_nearest_kind(candidates, run), key=fills.find, default=None
        )
        return None if best is None else _make_copy(run, best)

    def record_loss(self, now: Millis) -> None:
        """Record that an engine lost a run."""
        self._lost_at = now

    def begin(
        self,
        attempt: str,
        run: GrowingRun,
        copy: RunCopy,
        share: EntryShare,
        now: Millis,
    ) -> None:
        """Record that an attempt was sent with a copy."""
        self._copies[attempt] = copy
        self.account.begin_copy(
            copy.start, _name_copy(attempt), memory=copy.tokens
        )
        used = find_copy_time(run) * share.entries / _LINK_SHARE
        for start in (run.source.record.start, copy.start):
            self._paces[start] = max(self._paces.get(start, now), now) + used
        self._forget_paces(now)

    def end(self, attempt: str) -> None:
        """Record that an attempt has ended, and its copy with it."""
        if self._copies.pop(attempt, None) is not None:
            self.account.end(_name_copy(attempt))

    def _forget_paces(self, now: Millis) -> None:
        ended = [start for start, until in self._paces.items() if until <= now]
        for start in ended:
            del self._paces[start]

    def _has_link(self, backend: Backend, now: Millis) -> bool:
        until = self._paces.get(backend.record.start, now)
        return until - now <= _LINK_BURST

    def _list_candidates(
        self, run: GrowingRun, listed: Sequence[Backend]
    ) -> Iterator[Backend]:
        """Yield possible engines in random order, the farther ones first."""
        shuffled = self.random.sample(listed, len(listed))
        shuffled.sort(key=lambda each: _is_near(each, run))
        return (each for each in shuffled if _is_alike(each, run))

    def _make_fills(
        self,
        run: GrowingRun,
        listed: Sequence[Backend],
        share: EntryShare,
        now: Millis,
    ) -> _Fills:
        running = sum(each.running for each in listed)
        tokens = sum(each.running_tokens for each in listed)
        own = sum(copy.tokens for copy in self._copies.values())
        return _Fills(
            view=self.view(),
            now=now,
            memory=run.traits.memory_tokens,
            added=run.tokens,
            mean_run=tokens / running if running else 0.0,
            mean_copies=own * share.entries / max(len(listed), 1),
        )


@dataclass(frozen=True, slots=True)
class _Fills:
    """Estimate the memory in use at engines.

    While the account knows no other entries, these are taken to do the same as
    this one: `mean_copies` tokens of copies at each engine.
    """

    view: WorkView
    now: Millis
    memory: int
    added: int
    mean_run: float
    mean_copies: float

    def find(self, backend: Backend) -> float:
        """Return the tokens in use by runs and copies."""
        work = self._find_work(backend)
        active = backend.count_active(self.now) * self.mean_run
        return max(work.memory, active) + self._find_copies(work)

    def has_room(self, backend: Backend) -> bool:
        """Return whether one more copy leaves enough memory to runs."""
        copies = self._find_copies(self._find_work(backend)) + self.added
        if copies > self.memory * _COPY_SHARE:
            return False
        return self.find(backend) + self.added <= self.memory * _FILL_LIMIT

    def _find_work(self, backend: Backend) -> ServerWork:
        return self.view.find_work(backend.record.start, self.now)

    def _find_copies(self, work: ServerWork) -> float:
        return max(work.copies, self.mean_copies)


def is_worth_copying(run: GrowingRun) -> bool:
    """Return whether the loss of a run costs its caller more than the copy.

    A run that may not be repeated is lost as a whole. Any other has to be read
    again, without the parts that others share and engines or stores keep, which
    matters if the pause is longer than its caller accepts.
    """
    estimate_time = run.source.reading.estimate_time
    if find_copy_time(run) >= estimate_time(run.tokens):
        return False
    pause = estimate_time(run.model.memory_tokens)
    return not run.is_resumable or 0 < run.gap < pause


def find_copy_time(run: GrowingRun) -> Millis:
    """Return how long the transfers of a copy take; 0 if links are unknown."""
    traits = run.traits
    if not traits.link_mbps:
        return 0.0
    bits = run.tokens * traits.token_bytes * _BITS_PER_BYTE
    return bits / traits.link_mbps / _BITS_PER_MBIT_MS * _DISTANCE_FACTOR


def find_copy_fault(copy: RunCopy, backend: Backend | None) -> str:
    """Return why a copy may not be used, or ''.

    `backend` is the current state of its engine, None if that start has ended.
    """
    if backend is None or backend.record.start != copy.start:
        return 'its engine has ended'
    if backend.record.address != copy.address:
        return 'its engine has moved'
    if backend.record.software != copy.software:
        return 'its engine has another version of the software'
    if backend.record.versions.get(copy.model) != copy.version:
        return 'its engine holds other weights'
    return ''


def _name_copy(attempt: str) -> str:
    return f'{attempt}/copy'


def _make_copy(run: GrowingRun, backend: Backend) -> RunCopy:
    return RunCopy(
        start=backend.record.start,
        address=backend.record.address,
        model=run.model.model,
        version=run.version,
        tokens=run.tokens,
        software=run.source.record.software,
    )


def _take_nearest_kind(
    candidates: Iterable[Backend], run: GrowingRun
) -> list[Backend]:
    """Return the first candidates, of other data centres only if any is."""
    taken: list[Backend] = []
    for each in candidates:
        if taken and _is_near(each, run) != _is_near(taken[0], run):
            break
        taken.append(each)
        if len(taken) == _CANDIDATES:
            break
    return taken


def _is_near(backend: Backend, run: GrowingRun) -> bool:
    return backend.record.data_centre == run.source.record.data_centre


def _is_alike(backend: Backend, run: GrowingRun) -> bool:
    """Return whether another engine can go on with the run."""
    record, source = backend.record, run.source.record
    if record.server == source.server or record.address == source.address:
        return False
    return (
        record.service == source.service
        and record.software == source.software
        and record.versions.get(run.model.model) == run.version
    )
