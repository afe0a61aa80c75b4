"""Simulate agents, which fetch and export cached segments."""

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

# How often a running fetch is compared with recomputing its segments.
_CHECK_INTERVAL: Millis = 100.0


@dataclass(slots=True)
class StoreNode:
    """A store server, its link and whether it is reachable."""

    name: str
    cache: StoreCache
    link: Link
    up: bool = True


@dataclass(slots=True)
class _Fetch:
    """A running fetch and the callbacks of the jobs that wait for it."""

    segments: Sequence[SegmentHint]
    store: StoreNode
    waiters: list[Callable[[], None]] = field(default_factory=list)
    transfer: Transfer | None = None


class EngineAgent:
    """Fetch each segment once for all waiting jobs, and export new segments."""

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
        self._fetches: dict[SegmentHint, _Fetch] = {}
        self._exports: deque[tuple[StoreNode, Sequence[SegmentHint]]] = deque()
        self._exporting = False
        self.engine = engine
        self.fetched_bytes = 0.0
        self.exported_bytes = 0.0

    @property
    def link_bytes(self) -> float:
        """Return the bytes fetched and exported so far."""
        return self.fetched_bytes + self.exported_bytes

    def run(
        self, job: Job, store: StoreNode | None, wanted: Sequence[SegmentHint]
    ) -> None:
        """Fetch the wanted segments not yet cached, then submit the job."""
        missing = [each for each in wanted if each not in self.engine.cache]
        fetches: list[_Fetch] = []
        if store is not None and store.up and missing:
            fetches = self._start_or_join(store, missing)
        waits = {id(fetch): fetch for fetch in fetches}
        if not waits:
            self.engine.submit(job)
            return
        self._wait_for(job, list(waits.values()))

    def _wait_for(self, job: Job, fetches: Sequence[_Fetch]) -> None:
        life = self.engine.life
        remaining = len(fetches)

        def on_fetch_end() -> None:
            nonlocal remaining
            remaining -= 1
            if not remaining and life == self.engine.life:
                self._lower_priority(job)
                self.engine.submit(job)

        for fetch in fetches:
            fetch.waiters.append(on_fetch_end)

    def _lower_priority(self, job: Job) -> None:
        """Queue a job behind short ones if an incomplete fetch made it long."""
        cached_count = self.engine.cache.count_leading(job.segments)
        missing = job.tokens - cached_count * SEGMENT_TOKENS
        if self._costs is not None and missing > self._costs.short_tokens:
            job.priority = max(job.priority, LONG)

    def count_fetching(self, segments: Sequence[SegmentHint]) -> float:
        """Return the bytes still to be fetched for the given segments."""
        fetches = {
            id(self._fetches[each]): self._fetches[each]
            for each in segments
            if each in self._fetches
        }
        return sum(
            each.store.link.count_left(each.transfer)
            for each in fetches.values()
            if each.transfer is not None
        )

    def is_coming(self, segment: SegmentHint) -> bool:
        """Return whether a segment is being fetched."""
        return segment in self._fetches

    def offer(self, store: StoreNode, segments: Sequence[SegmentHint]) -> None:
        """Queue segments for export to a store."""
        self._exports.append((store, segments))
        self._export()

    def drop_all(self) -> None:
        """Cancel all fetches and queued exports after an engine crash."""
        for fetch in list(self._fetches.values()):
            self._cancel(fetch)
        self._exports.clear()

    def _start_or_join(
        self, store: StoreNode, missing: Sequence[SegmentHint]
    ) -> list[_Fetch]:
        joined = [
            self._fetches[each] for each in missing if each in self._fetches
        ]
        not_fetching = [each for each in missing if each not in self._fetches]
        available: list[SegmentHint] = []
        for segment in not_fetching:
            if segment not in store.cache:
                break
            available.append(segment)
        if available:
            joined.append(self._start(store, available))
        return joined

    def _start(self, store: StoreNode, available: list[SegmentHint]) -> _Fetch:
        store.cache.record_use(available, self._events.now)
        fetch = _Fetch(available, store)
        byte_count = len(available) * self._segment_bytes
        for segment in available:
            self._fetches[segment] = fetch

        def on_done() -> None:
            self._finish(fetch, len(available), byte_count)

        fetch.transfer = store.link.start(byte_count, on_done)
        if self._costs is not None:
            self._events.add(_CHECK_INTERVAL, self._check, fetch)
        return fetch

    def _finish(
        self, fetch: _Fetch, complete: int, carried_bytes: float
    ) -> None:
        self.fetched_bytes += carried_bytes
        for segment in fetch.segments:
            if self._fetches.get(segment) is fetch:
                del self._fetches[segment]
        if self.engine.up and complete:
            self.engine.cache.use(fetch.segments[:complete])
        for waiter in fetch.waiters:
            waiter()
        self._export()

    def _check(self, fetch: _Fetch) -> None:
        transfer = fetch.transfer
        if transfer is None or not transfer.open or self._costs is None:
            return
        link = fetch.store.link
        remaining = link.count_left(transfer)
        tokens = remaining / self._costs.kv_bytes_per_token
        if should_drop_fetch(
            self._costs,
            missing_tokens=int(tokens),
            bytes_per_second=link.active_share,
            tokens_per_second=self._rate,
            wait=self.engine.count_tokens(LONG) * SECOND / self._rate,
        ):
            self._cancel(fetch)
            return
        self._events.add(_CHECK_INTERVAL, self._check, fetch)

    def _cancel(self, fetch: _Fetch) -> None:
        if fetch.transfer is None or not fetch.transfer.open:
            return
        carried_bytes = fetch.store.link.cancel(fetch.transfer)
        complete = int(carried_bytes // self._segment_bytes)
        self._finish(fetch, complete, carried_bytes)

    def lose_store(self, store: StoreNode) -> None:
        """Cancel the fetches from a store that has become unreachable."""
        for fetch in list(self._fetches.values()):
            if fetch.store is store:
                self._cancel(fetch)

    def _export(self) -> None:
        if self._exporting or self._fetches or not self._exports:
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
        written = store.cache.write(wanted, self._events.now)
        if not written:
            self._export()
            return
        self._exporting = True
        byte_count = len(written) * self._segment_bytes

        def on_done() -> None:
            self._exporting = False
            self.exported_bytes += byte_count
            self._export()

        store.link.start(byte_count, on_done)
