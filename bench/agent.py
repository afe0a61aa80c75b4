"""Fake the agents: fetch before a run, export after it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bench.caches import StoreCache
from bench.engine import LONG, Engine, Job
from bench.events import Events
from bench.link import Link, Transfer
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import SEGMENT_TOKENS, SegmentHint
from oleanderdyke.kernel.routing import Costs, should_drop_fetch

_CHECK: Millis = 100.0


@dataclass(slots=True)
class StoreNode:
    """Hold a store, its link and whether it answers."""

    name: str
    cache: StoreCache
    link: Link
    up: bool = True


@dataclass(slots=True)
class _Flight:
    """Hold one fetch and the jobs that wait for it."""

    segments: Sequence[SegmentHint]
    store: StoreNode
    waiters: list[Callable[[], None]] = field(default_factory=list)
    transfer: Transfer | None = None


class EngineAgent:
    """Bring segments in once for all who wait, and offer new ones."""

    def __init__(
        self,
        events: Events,
        engine: Engine,
        *,
        costs: Costs | None,
        rate: float,
        segment_bytes: float,
    ) -> None:
        self._events = events
        self._costs = costs
        self._rate = rate
        self._segment_bytes = segment_bytes
        self._flights: dict[SegmentHint, _Flight] = {}
        self._exports: deque[tuple[StoreNode, Sequence[SegmentHint]]] = deque()
        self._exporting = False
        self.engine = engine
        self.fetched_bytes = 0.0
        self.exported_bytes = 0.0

    @property
    def link_bytes(self) -> float:
        """Return the bytes carried both ways."""
        return self.fetched_bytes + self.exported_bytes

    def run(
        self, job: Job, store: StoreNode | None, wanted: Sequence[SegmentHint]
    ) -> None:
        """Fetch what is wanted and missing, then hand the job over."""
        missing = [each for each in wanted if each not in self.engine.cache]
        flights: list[_Flight] = []
        if store is not None and store.up and missing:
            flights = self._join(store, missing)
        waits = {id(flight): flight for flight in flights}
        if not waits:
            self.engine.submit(job)
            return
        self._wait_for(job, list(waits.values()))

    def _wait_for(self, job: Job, flights: Sequence[_Flight]) -> None:
        life = self.engine.life
        left = len(flights)

        def arrive() -> None:
            nonlocal left
            left -= 1
            if not left and life == self.engine.life:
                self._demote(job)
                self.engine.submit(job)

        for flight in flights:
            flight.waiters.append(arrive)

    def _demote(self, job: Job) -> None:
        """Let a job go behind short ones where its fetch was not whole."""
        held = self.engine.cache.count_leading(job.segments)
        missing = job.tokens - held * SEGMENT_TOKENS
        if self._costs is not None and missing > self._costs.short_tokens:
            job.priority = max(job.priority, LONG)

    def count_fetching(self, segments: Sequence[SegmentHint]) -> float:
        """Return the bytes under way of the given segments."""
        flights = {
            id(self._flights[each]): self._flights[each]
            for each in segments
            if each in self._flights
        }
        return sum(
            each.store.link.count_left(each.transfer)
            for each in flights.values()
            if each.transfer is not None
        )

    def is_coming(self, segment: SegmentHint) -> bool:
        """Tell whether a segment is being fetched."""
        return segment in self._flights

    def offer(self, store: StoreNode, segments: Sequence[SegmentHint]) -> None:
        """Export segments behind what else is to be exported."""
        self._exports.append((store, segments))
        self._export()

    def drop_all(self) -> None:
        """Lose the fetches and exports with the engine."""
        for flight in list(self._flights.values()):
            self._stop(flight)
        self._exports.clear()

    def _join(
        self, store: StoreNode, missing: Sequence[SegmentHint]
    ) -> list[_Flight]:
        joined = [
            self._flights[each] for each in missing if each in self._flights
        ]
        new = [each for each in missing if each not in self._flights]
        kept: list[SegmentHint] = []
        for segment in new:
            if segment not in store.cache:
                break
            kept.append(segment)
        if kept:
            joined.append(self._start(store, kept))
        return joined

    def _start(self, store: StoreNode, kept: list[SegmentHint]) -> _Flight:
        store.cache.record_use(kept, self._events.now)
        flight = _Flight(kept, store)
        count = len(kept) * self._segment_bytes
        for segment in kept:
            self._flights[segment] = flight

        def done() -> None:
            self._finish(flight, len(kept), count)

        flight.transfer = store.link.start(count, done)
        if self._costs is not None:
            self._events.add(_CHECK, self._check, flight)
        return flight

    def _finish(self, flight: _Flight, whole: int, carried: float) -> None:
        self.fetched_bytes += carried
        for segment in flight.segments:
            if self._flights.get(segment) is flight:
                del self._flights[segment]
        if self.engine.up and whole:
            self.engine.cache.use(flight.segments[:whole])
        for waiter in flight.waiters:
            waiter()
        self._export()

    def _check(self, flight: _Flight) -> None:
        transfer = flight.transfer
        if transfer is None or not transfer.open or self._costs is None:
            return
        link = flight.store.link
        left = link.count_left(transfer)
        tokens = left / self._costs.kv_bytes_per_token
        if should_drop_fetch(
            self._costs,
            missing_tokens=int(tokens),
            bytes_per_second=link.active_share,
            tokens_per_second=self._rate,
            wait=self.engine.count_tokens(LONG) * SECOND / self._rate,
        ):
            self._stop(flight)
            return
        self._events.add(_CHECK, self._check, flight)

    def _stop(self, flight: _Flight) -> None:
        if flight.transfer is None or not flight.transfer.open:
            return
        carried = flight.store.link.cancel(flight.transfer)
        whole = int(carried // self._segment_bytes)
        self._finish(flight, whole, carried)

    def lose_store(self, store: StoreNode) -> None:
        """End the fetches from a store that is lost."""
        for flight in list(self._flights.values()):
            if flight.store is store:
                self._stop(flight)

    def _export(self) -> None:
        if self._exporting or self._flights or not self._exports:
            return
        store, segments = self._exports.popleft()
        wanted = [
            each
            for each in segments
            if each not in store.cache and each in self.engine.cache
        ]
        if not wanted or not store.up or not store.cache.open:
            self._export()
            return
        taken = store.cache.write(wanted, self._events.now)
        if not taken:
            self._export()
            return
        self._exporting = True
        count = len(taken) * self._segment_bytes

        def done() -> None:
            self._exporting = False
            self.exported_bytes += count
            self._export()

        store.link.start(count, done)
