"""Warm the simulated caches with days of visits, without queueing."""

from __future__ import annotations

import pickle
from collections.abc import Sequence
from functools import lru_cache
from random import Random

from bench.caches import EngineCache, StoreCache
from bench.system import System
from bench.workload import DEPLOYMENTS, Deployment, Trace, Visit, Workload
from oleanderdyke.clock import Millis
from oleanderdyke.kernel.demand import SEGMENT_TOKENS, RetentionPolicy
from oleanderdyke.policies.exports import ExportPolicy
from oleanderdyke.policies.registries import KEEPERS
from oleanderdyke.policies.settings import PRESETS, PolicySettings


@lru_cache(maxsize=8)
def make_trace(
    deployment: str, seed: int, rate: float, length: Millis, busy_team: str
) -> Trace:
    """Return the trace of a workload, cached for all systems."""
    workload = Workload(DEPLOYMENTS[deployment], seed)
    return workload.make_trace(rate, length, busy_team=busy_team)


def count_segments(deployment: Deployment, size: float) -> int:
    """Return the number of whole segments in `size` bytes."""
    return int(size // (SEGMENT_TOKENS * deployment.kv_bytes_per_token))


class History:
    """Replay visits on the caches alone, without queues or links."""

    def __init__(
        self,
        deployment: Deployment,
        system: System,
        retention: RetentionPolicy,
        seed: int,
    ) -> None:
        limit = count_segments(deployment, deployment.cache_bytes)
        length = SEGMENT_TOKENS * deployment.kv_bytes_per_token
        self._random = Random(f'history-{seed}')
        self._system = system
        settings = PRESETS[deployment.name]
        self.engines = [EngineCache(limit) for _ in range(deployment.engines)]
        self.store = StoreCache(
            count_segments(deployment, deployment.store_bytes),
            retention,
            self._random,
            length,
        )
        self.chooser = make_chooser(system, settings)

    def visit(self, visit: Visit) -> tuple[int, int, int]:
        """Replay a visit; count its cached, fetched and computed segments."""
        engine = self._choose_engine(visit)
        segments = visit.segments
        cached_count = engine.count_leading(segments)
        fetched_count = 0
        if self._system.exports != 'none':
            fetched_count = self.store.count_leading(segments, cached_count)
            self.store.record_use(
                segments[cached_count : cached_count + fetched_count], visit.at
            )
            self._export(segments, visit.at)
        engine.use(segments)
        return (
            cached_count,
            fetched_count,
            len(segments) - cached_count - fetched_count,
        )

    def _choose_engine(self, visit: Visit) -> EngineCache:
        if self._system.scattered:
            return self._random.choice(self.engines)
        best = max(each.count_leading(visit.segments) for each in self.engines)
        return self._random.choice(
            [
                each
                for each in self.engines
                if each.count_leading(visit.segments) == best
            ]
        )

    def _export(self, segments: Sequence[bytes], now: Millis) -> None:
        count = len(segments)
        if self.chooser is not None:
            self.chooser.record_use(segments)
            count = self.chooser.count_worth_exporting(segments)
        self.store.write(segments[:count], now)


def make_chooser(
    system: System, settings: PolicySettings
) -> ExportPolicy | None:
    """Return the export policy of a system that selects its exports."""
    return ExportPolicy(settings) if system.exports == 'returning' else None


@lru_cache(maxsize=32)
def _warm_pickled(deployment: str, system: System, seed: int) -> bytes:
    history = History(
        DEPLOYMENTS[deployment],
        system,
        KEEPERS.find(system.keeper)(PRESETS[deployment]),
        seed,
    )
    for visit in make_trace(deployment, seed, 1.0, 0.0, '').history:
        history.visit(visit)
    return pickle.dumps(history)


def warm(deployment: str, system: System, seed: int) -> History:
    """Return a fresh copy of the caches after the history of visits."""
    cache_key = System(
        'history',
        keeper=system.keeper,
        exports=system.exports,
        scattered=system.scattered,
    )
    data = _warm_pickled(deployment, cache_key, seed)
    history = pickle.loads(data)  # noqa: S301 - made by this process
    assert isinstance(history, History)
    return history
