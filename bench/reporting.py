"""Deliver reports and cache events to the entries with delays."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from bench.agent import EngineAgent, StoreNode
from bench.caches import EngineCache, StoreCache
from bench.events import Events
from bench.parts import SERVICE, STORE, Lags
from bench.views import LateFleet, TrueFleet
from bench.workload import Deployment
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.demand import Replica, SegmentHint
from oleanderdyke.links.messages import AgentPhase, BackendKind, Load

_SILENCE_LIMIT: Millis = 3 * SECOND
_PERFECT_INTERVAL: Millis = 50.0


class Reporter:
    """Deliver reports and cache events to the entries' view of the fleet."""

    def __init__(
        self,
        events: Events,
        deployment: Deployment,
        lags: Lags,
        *,
        perfect: bool,
        agents: Mapping[str, EngineAgent],
        store: StoreNode,
        record_segments_removed: Callable[[str, Sequence[SegmentHint]], None],
    ) -> None:
        self._events = events
        self._deployment = deployment
        self._lags = lags
        self._perfect = perfect
        self._agents = agents
        self._store = store
        self._record_removed = record_segments_removed
        self._sequence = 0
        self.fleet = TrueFleet() if perfect else LateFleet()
        self.versions = dict.fromkeys(agents, 0)
        self.leaving: set[str] = set()

    def publish(self, name: str, cache: EngineCache | StoreCache) -> None:
        """Publish a cache's segments now and its later events with a delay."""
        self.fleet.apply(name, cache.list_all(), ())

        def notify(
            added: Sequence[SegmentHint], removed: Sequence[SegmentHint]
        ) -> None:
            age = self._lags.events_age
            self._events.add(age, self._apply, name, added, removed)

        cache.notify = notify
        if isinstance(self.fleet, TrueFleet):
            self.fleet.caches[name] = cache

    def _apply(
        self,
        name: str,
        added: Sequence[SegmentHint],
        removed: Sequence[SegmentHint],
    ) -> None:
        self.fleet.apply(name, added, removed)
        if removed:
            self._record_removed(name, removed)

    def report_all(self) -> None:
        """Report all agents and the store now and at every interval."""
        self._sequence += 1
        for name in self._agents:
            self.report(name)
        self._report_store()
        interval = (
            _PERFECT_INTERVAL if self._perfect else self._lags.report_every
        )
        self._events.add(interval, self.report_all)

    def report(self, name: str) -> None:
        """Report one engine unless it is down or draining."""
        engine = self._agents[name].engine
        if not engine.up or name in self.leaving:
            return
        replica = self._make_replica(name, engine.measure(), engine.life)
        age = 0.0 if self._perfect else self._lags.report_age
        self._events.add(age, self._receive_report, replica, engine.life)

    def _report_store(self) -> None:
        if not self._store.up:
            return
        link = self._store.link
        load = Load(
            link_bytes_in_flight=int(link.count_waiting()),
            link_bytes_per_second=link.meter.estimate_rate(self._events.now),
        )
        replica = self._make_replica(STORE, load, 0)
        age = 0.0 if self._perfect else self._lags.report_age
        self._events.add(age, self._receive_store_report, replica)

    def _make_replica(self, name: str, load: Load, life: int) -> Replica:
        centres = self._deployment.data_centres
        store = name == STORE
        return Replica(
            agent=name,
            address=name,
            incarnation=str(life),
            backend=BackendKind.STORE if store else BackendKind.ENGINE,
            service='store' if store else SERVICE,
            data_centre=centres[int(name[-1]) % len(centres)],
            phase=AgentPhase.SERVING,
            load=load,
            beat=self._sequence,
            heard=self._events.now,
            weight_digest=f'w{self.versions.get(name, 0)}',
        )

    def _receive_report(self, replica: Replica, life: int) -> None:
        name = replica.agent
        if self._agents[name].engine.life != life or name in self.leaving:
            return
        self.fleet.hear(replace(replica, heard=self._events.now))

    def _receive_store_report(self, replica: Replica) -> None:
        if self._store.up:
            heard = replace(replica, heard=self._events.now)
            self.fleet.hear(heard, store=True)

    def schedule_removal(self, name: str) -> None:
        """Remove an engine after the silence limit, unless it restarted."""
        life = self._agents[name].engine.life
        self._events.add(_SILENCE_LIMIT, self._remove_if_silent, name, life)

    def schedule_store_removal(self) -> None:
        """Remove the store from the fleet after the silence limit."""
        self._events.add(_SILENCE_LIMIT, self.fleet.lose, STORE)

    def start_draining(self, name: str) -> None:
        """Remove an engine at once from the fleet; it takes no new requests."""
        self.leaving.add(name)
        self.fleet.lose(name)

    def finish_reload(self, name: str, version: int) -> None:
        """Report an engine that now serves another version of the weights."""
        self.versions[name] = version
        self.leaving.discard(name)
        self.report(name)

    def _remove_if_silent(self, name: str, life: int) -> None:
        if self._agents[name].engine.life == life:
            self.fleet.lose(name)
