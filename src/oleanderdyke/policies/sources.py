"""Sources of context: pending prefixes, stores and their links."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import (
    SEGMENT_TOKENS,
    Demand,
    Fleet,
    Plan,
    Replica,
    SegmentHint,
)
from oleanderdyke.kernel.routing import LinkView
from oleanderdyke.policies.settings import PolicySettings

_READY_RETENTION = 5 * SECOND
_OVERDUE_RETENTION = 30 * SECOND


@dataclass(slots=True)
class _PendingPrefix:
    """Segments that one dispatch brings to an agent.

    The segments up to depth `fetched` come from a store.
    """

    agent: str
    segments: Sequence[SegmentHint]
    fetched: int
    ready: Millis
    expires_at: Millis
    done: bool = False


@dataclass(frozen=True, slots=True)
class Reach:
    """The length of the prefix that an agent holds or will soon hold.

    It is available in `ready` milliseconds. `joined` segments after those held
    arrive with a fetch under way.
    """

    cached: int
    ready: Millis = 0.0
    joined: int = 0


class PendingPrefixes:
    """Track prefixes on the way to an agent until its events show them."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._pending: OrderedDict[str, _PendingPrefix] = OrderedDict()
        self._agents: dict[SegmentHint, dict[str, str]] = {}
        self._agents_with_gaps: set[str] = set()

    def record_sent(self, demand: Demand, plan: Plan, now: Millis) -> None:
        """Expect the missing segments of a prompt at the plan's agent."""
        segments = demand.segments[plan.cached + plan.joined :]
        if not segments:
            return
        self._drop_expired(now)
        if demand.request in self._pending:
            self._drop(demand.request)
        ready = now + plan.predicted
        depth = plan.cached + plan.fetched
        expires_at = ready + _OVERDUE_RETENTION
        pending = _PendingPrefix(plan.agent, segments, depth, ready, expires_at)
        self._pending[demand.request] = pending
        for segment in segments:
            agents = self._agents.setdefault(segment, {})
            agents[plan.agent] = demand.request

    def mark_ready(self, request: str, now: Millis) -> None:
        """Count the segments as held, before events of the agent show them."""
        pending = self._pending.get(request)
        if pending is None:
            return
        pending.ready = now
        pending.done = True
        pending.expires_at = now + _READY_RETENTION

    def record_finished(self, request: str) -> None:
        """Drop the segments of a request that ended before they were ready."""
        pending = self._pending.get(request)
        if pending is not None and not pending.done:
            self._drop(request)

    def record_segments_removed(
        self, agent: str, segments: Iterable[SegmentHint]
    ) -> None:
        """Drop segments that an agent reports as removed."""
        for segment in segments:
            agents = self._agents.get(segment, {})
            if agents.pop(agent, None) is None:
                continue
            self._agents_with_gaps.add(agent)
            if not agents:
                del self._agents[segment]

    def record_segments_listed(
        self, agent: str, segments: Iterable[SegmentHint]
    ) -> None:
        """Drop ready segments that an agent's full list lacks.

        Segments that are still on their way are kept.
        """
        listed = set(segments)
        missing = [
            segment
            for request, pending in self._pending.items()
            if pending.done and pending.agent == agent
            for segment in pending.segments
            if segment not in listed
            and self._is_expected(segment, agent, request)
        ]
        self.record_segments_removed(agent, missing)

    def holders(self, segment: SegmentHint) -> Iterable[str]:
        """Return the agents that will soon hold a segment."""
        return self._agents.get(segment, ())

    def extend(
        self,
        agent: str,
        segments: Sequence[SegmentHint],
        held: int,
        now: Millis,
    ) -> Reach:
        """Return how far the prefix that an agent holds will reach."""
        low, high = held, len(segments)
        ready = 0.0
        joined = 0
        # Where segments were removed, a later segment does not imply that the
        # earlier ones are held, so a binary search is not possible.
        can_bisect = agent not in self._agents_with_gaps
        while low < high:
            middle = (low + high) // 2 if can_bisect and low > held else low
            request = self._agents.get(segments[middle], {}).get(agent)
            if request is None or self._pending[request].expires_at <= now:
                high = middle
                continue
            pending = self._pending[request]
            low = middle + 1
            ready = max(ready, pending.ready - now)
            if not pending.done:
                joined = max(joined, min(pending.fetched, low) - held)
        return Reach(held + joined if joined else low, ready, joined)

    def _drop_expired(self, now: Millis) -> None:
        while self._pending:
            request, pending = next(iter(self._pending.items()))
            if pending.expires_at > now and len(self._agents) < self._limit:
                return
            self._drop(request)
        self._agents_with_gaps.clear()

    def _is_expected(
        self, segment: SegmentHint, agent: str, request: str
    ) -> bool:
        return self._agents.get(segment, {}).get(agent) == request

    def _drop(self, request: str) -> None:
        pending = self._pending.pop(request)
        for segment in pending.segments:
            agents = self._agents.get(segment)
            if agents is None or agents.get(pending.agent) != request:
                continue
            del agents[pending.agent]
            if not agents:
                del self._agents[segment]


@dataclass(slots=True)
class _Fetch:
    store: str
    byte_count: float
    sent_at: Millis


class LinkTracker:
    """Correct reports of link use by own fetches since then."""

    def __init__(self, settings: PolicySettings) -> None:
        self._settings = settings
        self._fetches: dict[str, _Fetch] = {}
        self._stores: dict[str, dict[str, _Fetch]] = {}

    def record_sent(self, request: str, plan: Plan, now: Millis) -> None:
        """Count the bytes of a plan that fetches."""
        self.remove(request)
        fetched = plan.fetched - plan.joined
        if not fetched:
            return
        per_segment = SEGMENT_TOKENS * self._settings.kv_bytes_per_token
        fetch = _Fetch(plan.store, fetched * per_segment, now)
        self._fetches[request] = fetch
        self._stores.setdefault(plan.store, {})[request] = fetch

    def remove(self, request: str) -> None:
        """Remove a fetch that has ended."""
        fetch = self._fetches.pop(request, None)
        if fetch is not None:
            del self._stores[fetch.store][request]

    def view(self, store: Replica, now: Millis) -> LinkView:
        """Estimate the current backlog of a store's link."""
        load = store.load
        rate = load.link_bytes_per_second
        rate = rate or self._settings.link_bytes_per_second
        reported_at = store.heard - self._settings.report_lag
        own = self._stores.get(store.agent, {})
        sent_bytes = sum(
            each.byte_count
            for each in own.values()
            if each.sent_at > reported_at
        )
        # Assume that the other entries have fetched as much since then.
        sent_bytes *= self._settings.entries
        drained = max(0.0, now - reported_at) * rate / SECOND
        left = max(0.0, load.link_bytes_in_flight + sent_bytes - drained)
        latency = self._settings.far_latency
        return LinkView(left, max(1.0, rate), latency)


@dataclass(frozen=True, slots=True)
class StoreView:
    """The store that holds most of what a replica lacks."""

    agent: str
    covered: int
    link: LinkView | None


_NO_STORE = StoreView('', 0, None)


class StoreViews:
    """Cache the best store for each depth during one decision."""

    def __init__(
        self, demand: Demand, fleet: Fleet, links: LinkTracker, now: Millis
    ) -> None:
        self._demand = demand
        self._fleet = fleet
        self._links = links
        self._now = now
        self._found: dict[int, StoreView] = {}
        self._stores = fleet.stores(demand.service) if demand.segments else ()

    def find(self, start: int) -> StoreView:
        """Return the store that holds most segments from `start` on."""
        if not self._stores or start >= len(self._demand.segments):
            return _NO_STORE
        if start not in self._found:
            self._found[start] = max(
                (self._view(store, start) for store in self._stores),
                key=_rank,
            )
        return self._found[start]

    def _view(self, store: Replica, start: int) -> StoreView:
        covered = self._fleet.count_leading(
            store.agent, self._demand.segments, start
        )
        if not covered:
            return _NO_STORE
        link = self._links.view(store, self._now)
        return StoreView(store.agent, covered, link)


def _rank(view: StoreView) -> tuple[int, float]:
    return view.covered, -view.link.backlog_bytes if view.link else 0.0
