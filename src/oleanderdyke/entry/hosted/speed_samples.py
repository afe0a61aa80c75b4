"""Take samples of the speed of engines and stores from one entry's streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderdyke.clock import Millis
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.event_streams import count_events
from oleanderdyke.events import EventName
from oleanderdyke.kernel.backend import Backend, PendingAttempt
from oleanderdyke.kernel.context_stores import ContextPlan
from oleanderdyke.kernel.scheduling.learned_speeds import (
    FirstByte,
    LearnedSpeeds,
    PaceChange,
)
from oleanderdyke.kernel.scheduling.machine_slowdown import find_excess
from oleanderdyke.metrics import Gauge

if TYPE_CHECKING:
    from oleanderdyke.kernel.servers import ServerStart


class StreamSamples:
    """Take samples from the events of one attempt's stream."""

    def __init__(
        self,
        sampler: SpeedSampler,
        start: ServerStart,
        pending: PendingAttempt,
        contexts: ContextPlan,
        *,
        excess: float,
    ) -> None:
        self._sampler = sampler
        self._start = start
        self._pending = pending
        self._contexts = contexts
        self._excess = excess
        self._last_at: Millis | None = None

    def record_part(self, data: bytes, now: Millis) -> None:
        """Record a part of the stream that arrived now."""
        events = count_events(data)
        if not events:
            return
        last_at, self._last_at = self._last_at, now
        if last_at is None:
            first = self._describe_first(now)
            self._sampler.record_first_byte(self._start, first, now)
        else:
            self._sampler.record_pause(self._start, events, now - last_at, now)

    def _describe_first(self, now: Millis) -> FirstByte:
        sources = {each.address for each in self._contexts.sources if each}
        return FirstByte(
            duration=now - self._pending.since,
            tokens=self._pending.tokens,
            fetched=self._contexts.fetched_tokens,
            store=sources.pop() if len(sources) == 1 else '',
            is_alone=self._pending.is_alone,
            excess=self._excess,
        )


class SpeedSampler:
    """Pass samples on and report what they change."""

    def __init__(self, core: HostedCore, speeds: LearnedSpeeds) -> None:
        self._core = core
        self._speeds = speeds

    def watch(
        self, backend: Backend, pending: PendingAttempt, contexts: ContextPlan
    ) -> StreamSamples:
        """Take samples of a stream whose request is sent now."""
        return StreamSamples(
            self,
            backend.record.start,
            pending,
            contexts,
            excess=find_excess(backend, pending.since),
        )

    def record_first_byte(
        self, start: ServerStart, first: FirstByte, now: Millis
    ) -> None:
        """Record the first event of a stream."""
        backend = self._core.backends.find_start(start)
        if backend is None:
            return
        self._speeds.record_first_byte(backend, first, now)
        self._core.metrics.set_gauge(
            Gauge.PREFILL_RATE,
            self._speeds.find_read_rate(backend, now),
            backend.record.service,
        )
        for change in self._speeds.take_changes(now):
            self._log(change)

    def record_pause(
        self, start: ServerStart, events: int, pause: Millis, now: Millis
    ) -> None:
        """Record the pause before some events of a stream."""
        backend = self._core.backends.find_start(start)
        if backend is not None:
            self._speeds.record_pause(backend, events, pause, now)

    def _log(self, change: PaceChange) -> None:
        self._core.log.write(
            EventName.BACKEND_SLOW
            if change.is_slow
            else EventName.BACKEND_RECOVERED,
            peer=change.start.server,
            incarnation=change.start.born,
            service=change.service,
            value=round(change.ratio, 2),
        )
