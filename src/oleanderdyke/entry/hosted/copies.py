"""Ask for the copy of one call's run, and find it once the run is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderdyke.entry.hosted.events import EventSplitter
from oleanderdyke.events import EventName
from oleanderdyke.kernel.deployment import CallKind, EngineTraits
from oleanderdyke.kernel.scheduling.placement import is_usable
from oleanderdyke.kernel.scheduling.run_copies import (
    EntryShare,
    GrowingRun,
    RunCopies,
    RunCopy,
    find_copy_fault,
)
from oleanderdyke.kernel.servers import ModelDemand
from oleanderdyke.metrics import Count

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.call import HostedCall
    from oleanderdyke.entry.hosted.core import HostedCore
    from oleanderdyke.kernel.backend import Backend


class CallCopies:
    """Follow the copies of one call's runs.

    A run has at most one copy, and a call goes on from at most one: after a
    run with a copy that may have begun, no other is asked for.
    """

    def __init__(
        self,
        core: HostedCore,
        call: HostedCall,
        model: ModelDemand,
        traits: EngineTraits,
        copies: RunCopies,
    ) -> None:
        self._core = core
        self._call = call
        self._model = model
        self._traits = traits
        self._copies = copies
        self._copy: RunCopy | None = None
        self._attempt = ''
        # For routes whose streams go on from copies alone.
        self._splitter = EventSplitter(
            None, steps=core.find_steps(call.service)
        )
        self._source_address = ''
        self._is_ended = False
        self.source: RunCopy | None = None

    def find_splitter(
        self, splitter: EventSplitter | None
    ) -> EventSplitter | None:
        """Return the splitter of the next attempt, given that of the route."""
        if splitter is None or splitter.is_resumable or self._copy is None:
            return splitter
        return self._splitter

    def ask(self, source: Backend, version: int | None, attempt: str) -> str:
        """Return the address to copy a run at `source` to, or ''."""
        if version is None or self._copy is not None:
            return ''
        core, call = self._core, self._call
        now = core.clock.now()
        run = self._make_run(source, version)
        listed = core.backends.list_service(call.service, now)
        share = EntryShare(max(len(core.entries.list_known()), 1))
        copy = self._copies.choose(run, listed, self._may_hold, share, now)
        if copy is None:
            return ''
        self._copy, self._attempt = copy, attempt
        self._source_address = source.record.address
        self._copies.begin(attempt, run, copy, share, now)
        self._log(EventName.COPY_ASKED, copy)
        core.metrics.add(Count.COPIES_ASKED, label=call.service)
        return copy.address

    def end(self, attempt: str, *, is_not_run: bool = False) -> None:
        """Record that an attempt has ended; one that ran nothing has no copy.

        The copy of a lost run stays known, so that the call can go on from it.
        """
        self._copies.end(attempt)
        if is_not_run and attempt == self._attempt:
            self._copy = None

    def find_lost(
        self,
        attempt: str,
        splitter: EventSplitter | None,
        *,
        is_ended: bool,
    ) -> str:
        """Return the engine with a usable copy of a lost run, or ''.

        `splitter` has seen the events that the caller has. `is_ended` tells
        that the run has ended for certain, not only its connection.
        """
        self._is_ended = is_ended
        self._copies.record_loss(self._core.clock.now())
        copy = self._copy
        if copy is None or attempt != self._attempt:
            return ''
        if splitter is None or not splitter.is_resumable:
            return ''
        if self._call.route.is_resumable and not splitter.has_yielded:
            return ''
        if fault := self._find_fault(copy):
            self._record_missing(copy, fault)
            return ''
        return copy.start.server

    async def has_run_ended(self) -> bool:
        """Return whether the engine of a lost run can't work on it any more.

        A connection that was reset proves nothing: the engine or its machine
        may have reset it alone. An engine that has ended refuses new ones.
        """
        if self._is_ended:
            return True
        self._is_ended = await self._core.pool.is_refused(self._source_address)
        if self._copy is not None and not self._is_ended:
            self._record_missing(self._copy, 'its first engine still listens')
        return self._is_ended

    def take(self) -> Backend | None:
        """Return the engine to go on at; None if its copy can't be used."""
        copy = self._copy
        if copy is None:
            return None
        if fault := self._find_fault(copy):
            self._record_missing(copy, fault)
            return None
        self.source = copy
        return self._core.backends.find_start(copy.start)

    def leave(self) -> None:
        """Record that the next attempt is a run of its own.

        It may get the name of an earlier attempt, whose copy isn't its own.
        """
        self.source = None
        self._attempt = ''

    def record_refusal(self) -> None:
        """Record that an engine refused; if it was to go on, it has no copy."""
        if self.source is not None:
            self._record_missing(self.source, 'its engine has none')

    def record_stream(self) -> None:
        """Record that a stream has begun, or goes on from a copy."""
        if self.source is not None:
            self._log(EventName.COPY_USED, self.source)
            self._core.metrics.add(Count.COPIES_USED, label=self._call.service)

    def _make_run(self, source: Backend, version: int) -> GrowingRun:
        route = self._call.route
        return GrowingRun(
            self._model,
            source,
            version,
            self._traits,
            gap=route.gap,
            is_resumable=route.is_resumable,
        )

    def _may_hold(self, backend: Backend) -> bool:
        core, now = self._core, self._core.clock.now()
        if core.limits.find_obstacle(backend, self._call.regions, now):
            return False
        if core.limits.is_cold(backend, now) or not is_usable(backend, now):
            return False
        turns = core.rollout.queue.find_turns(now)
        return backend.record.server not in {*turns.busy, *turns.following}

    def _find_fault(self, copy: RunCopy) -> str:
        core = self._core
        backend = core.backends.find_start(copy.start)
        fault = find_copy_fault(copy, backend)
        if fault or backend is None:
            return fault
        if core.backends.is_leaving_or_gone(copy.start):
            return 'its engine is leaving or gone'
        obstacle = core.limits.find_obstacle(
            backend, self._call.regions, core.clock.now()
        )
        return '' if obstacle is None else obstacle.value

    def _record_missing(self, copy: RunCopy, reason: str) -> None:
        self._log(EventName.COPY_MISSING, copy, reason)
        self._core.metrics.add(Count.COPIES_MISSING, label=self._call.service)

    def _log(
        self, event: EventName, copy: RunCopy, reason: str | None = None
    ) -> None:
        self._core.log.write(
            event,
            request=self._call.request,
            peer=copy.start.server,
            incarnation=copy.start.born,
            address=copy.address,
            version=copy.version,
            tokens=copy.tokens,
            reason=reason,
        )


def make_call_copies(
    core: HostedCore, call: HostedCall, copies: RunCopies
) -> CallCopies | None:
    """Build the copies of a call; None if none of its runs may have one."""
    model, route = call.parameters.demand, call.route
    traits = None
    if core.deployment is not None:
        service = core.deployment.services.get(call.service)
        traits = None if service is None else service.engine
    if model is None or traits is None or not traits.backups:
        return None
    if route.kind is not CallKind.STREAM or not call.request:
        return None
    if call.parameters.last_event and not route.is_resumable:
        # Its events have numbers that this entry doesn't follow.
        return None
    return CallCopies(core, call, model, traits, copies)
