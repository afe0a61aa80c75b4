"""Estimate how fast engines and stores are, by the answers of this entry.

The load it answers: engines that differ, turn slow or share their machines,
and stores whose links differ. Figures of one platform would send work to slow
engines and fetch what is read faster.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.deployment import (
    Deployment,
    EngineTraits,
    StoreTraits,
)
from oleanderdyke.kernel.scheduling.aged_samples import AgedSamples
from oleanderdyke.kernel.scheduling.fetch_times import (
    FetchPath,
    FetchTimes,
)
from oleanderdyke.kernel.scheduling.machine_slowdown import (
    SlowdownTrust,
    find_excess,
)
from oleanderdyke.kernel.scheduling.server_pace import ServerPace
from oleanderdyke.kernel.scheduling.step_model import StepModel
from oleanderdyke.kernel.servers import ServerStart

# Until first bytes of short prompts show the time of a first step and of the
# network.
_NEUTRAL_FIRST_BYTE: Millis = 40.0
# Where the configuration says nothing of links and sizes, a fetch is assumed to
# be this many times as fast as prefill.
_NEUTRAL_FETCH_GAIN = 8.0
# Shorter prompts show the time of a first step, longer ones that of prefill.
_SHORT_TOKENS = 256
_MIN_TOKENS = 1_000
# Tokens per ms, far from every engine.
_MIN_RATE = 0.5
_MAX_RATE = 2_000.0
_RATE_COUNT = 64
_RATE_LIFETIME: Millis = 2 * MINUTE
_MIN_SAMPLES = 3
# Low, as prompts of other entries that are read first are part of a sample.
_RATE_QUANTILE = 0.25
_BASE_COUNT = 32
_BASE_QUANTILE = 0.15
_MAX_BASE: Millis = 1 * SECOND
# At least half of the time to the first byte of a long prompt is prefill.
_MAX_OTHER_SHARE = 0.5
# A server is reported as slow above the first ratio, and as recovered below
# the second.
_SLOW_RATIO = 2.0
_RECOVERED_RATIO = 1.4
_CHECK_PERIOD: Millis = 1 * SECOND
# Which store is the fastest is found again after this.
_FASTEST_PERIOD: Millis = 250.0


@dataclass(frozen=True, slots=True)
class FirstByte:
    """Describe a first byte that arrived `duration` after the request.

    `tokens` were to be prefilled and `fetched` ones came from the store at the
    address `store`, '' for none or several. `is_alone` is set if no other
    request was known to wait at the server, where `excess` was the slowdown
    that it reported beyond 1.
    """

    duration: Millis
    tokens: int
    fetched: int = 0
    store: str = ''
    is_alone: bool = True
    excess: float = 0.0


@dataclass(frozen=True, slots=True)
class PaceChange:
    """Report that a server turned much slower than its service, or is back."""

    start: ServerStart
    service: str
    ratio: float
    is_slow: bool


class _Service:
    """Hold the usual times of a service's engines."""

    def __init__(self) -> None:
        self.units = AgedSamples(_RATE_COUNT, _RATE_LIFETIME)
        self.bases = AgedSamples(_BASE_COUNT, _RATE_LIFETIME)
        self.steps = StepModel()

    def find_unit(self, backend: Backend, now: Millis) -> Millis:
        """Return the usual prefill time of one token."""
        found = self.find_learned_unit(now)
        return backend.reading.estimate_time(1) if found is None else found

    def find_learned_unit(self, now: Millis) -> Millis | None:
        """Return the same as answers have shown it, None without enough."""
        found = self.units.find_quantile(_RATE_QUANTILE, now)
        return None if len(self.units) < _MIN_SAMPLES else found

    def find_base(self, now: Millis) -> Millis:
        """Return the time to a first byte without prefill."""
        found = self.bases.find_quantile(_BASE_QUANTILE, now)
        if found is None or len(self.bases) < _MIN_SAMPLES:
            return _NEUTRAL_FIRST_BYTE
        return found


class LearnedSpeeds:
    """Estimate by what answers have shown of each server and store."""

    def __init__(self, regions: Mapping[str, str]) -> None:
        self._engines: dict[str, EngineTraits] = {}
        self._stores: dict[str, StoreTraits] = {}
        self._services: dict[str, _Service] = {}
        self._paces: dict[ServerStart, ServerPace] = {}
        self._service_names: dict[ServerStart, str] = {}
        self._slow: set[ServerStart] = set()
        self._suspected: set[ServerStart] = set()
        self._checked_at: Millis = 0.0
        self._fetches = FetchTimes(regions)
        # By service and data centre of the engines.
        self._paths: dict[tuple[str, str], Mapping[str, FetchPath]] = {}
        self._fastest: dict[tuple[str, str], tuple[Millis, FetchPath]] = {}
        self._slowdown = SlowdownTrust()

    def configure(self, deployment: Deployment) -> None:
        """Take sizes and bandwidths from a new configuration."""
        services = deployment.services.values()
        self._engines = {
            each.name: each.engine for each in services if each.engine
        }
        self._stores = {
            each.store.address: each.store for each in services if each.store
        }
        self._fetches.retain(self._stores)
        self._paths.clear()
        self._fastest.clear()

    def estimate_read(
        self, backend: Backend, tokens: float, now: Millis
    ) -> Millis:
        """Return how long an engine takes to prefill this many tokens."""
        usual = self._find_service(backend).find_unit(backend, now)
        factor = self._slowdown.find_factor(find_excess(backend, now))
        factor *= self._find_ratio(backend, now)
        return max(tokens, 0.0) * usual * factor

    def estimate_step(self, backend: Backend, now: Millis) -> Millis:
        """Return how long an engine takes per generated token."""
        steps = self._find_service(backend).steps
        pace = self._paces.get(backend.record.start)
        ratio = 1.0 if pace is None else pace.find_step_ratio(now)
        return steps.estimate_step(backend.count_active(now)) * ratio

    def estimate_fetch(
        self,
        backend: Backend,
        tokens: float,
        now: Millis,
        *,
        store: str | None = None,
    ) -> Millis:
        """Return how long an engine takes to fetch context.

        Without the address of a store, the fastest one counts.
        """
        path = (
            self._find_fastest(backend, tokens, now)
            if store is None
            else self._find_path(backend, store)
        )
        if path is None:
            usual = self._find_service(backend).find_unit(backend, now)
            return max(tokens, 0.0) * usual / _NEUTRAL_FETCH_GAIN
        return self._fetches.estimate(path, tokens, now)

    def find_read_rate(self, backend: Backend, now: Millis) -> float:
        """Return the usual tokens per ms that engines of a service prefill."""
        return 1 / self._find_service(backend).find_unit(backend, now)

    def find_read_time(self, service: str, now: Millis) -> Millis:
        """Return the learned time per prompt token, 0 while it is unknown."""
        known = self._services.get(service)
        return 0.0 if known is None else known.find_learned_unit(now) or 0.0

    def record_first_byte(
        self, backend: Backend, first: FirstByte, now: Millis
    ) -> None:
        """Record the first byte of an answer."""
        if not first.is_alone or first.duration <= 0:
            return
        if first.tokens >= _MIN_TOKENS:
            self._record_read(backend, first, now)
        elif first.tokens > _SHORT_TOKENS:
            return
        elif first.fetched >= _MIN_TOKENS:
            self._record_fetch(backend, first, now)
        else:
            self._record_base(backend, first, now)

    def record_pause(
        self, backend: Backend, events: int, pause: Millis, now: Millis
    ) -> None:
        """Record the pause before some events of a stream."""
        if events <= 0 or pause <= 0:
            return
        engine = self._engines.get(backend.record.service)
        stride = 1 if engine is None else engine.stride
        step = pause / (events * stride)
        runs = backend.count_active(now)
        steps = self._find_service(backend).steps
        factor = self._slowdown.find_factor(find_excess(backend, now))
        if steps.is_fitted:
            ratio = step / steps.estimate_step(runs)
            self._find_pace(backend).add_step(ratio, ratio / factor, now)
        steps.add_sample(runs, step / factor)

    def take_changes(self, now: Millis) -> list[PaceChange]:
        """Return which servers turned slow or recovered since the last call.

        Servers are checked once a second, and two checks must agree.
        """
        if now - self._checked_at < _CHECK_PERIOD:
            return []
        self._checked_at = now
        changes = [
            change
            for start, pace in self._paces.items()
            if (change := self._find_change(start, pace, now)) is not None
        ]
        confirmed = [each for each in changes if each.start in self._suspected]
        changed = {each.start for each in confirmed}
        self._suspected = {each.start for each in changes} - changed
        self._slow ^= changed
        self._forget_outdated(now)
        return confirmed

    def _find_change(
        self, start: ServerStart, pace: ServerPace, now: Millis
    ) -> PaceChange | None:
        ratio = pace.find_read_ratio(now)
        was_slow = start in self._slow
        is_slow = ratio >= (_RECOVERED_RATIO if was_slow else _SLOW_RATIO)
        if is_slow is was_slow:
            return None
        return PaceChange(start, self._service_names[start], ratio, is_slow)

    def _forget_outdated(self, now: Millis) -> None:
        for start, pace in tuple(self._paces.items()):
            if start not in self._slow and pace.is_outdated(now):
                del self._paces[start], self._service_names[start]

    def _record_base(
        self, backend: Backend, first: FirstByte, now: Millis
    ) -> None:
        reading = self.estimate_read(backend, first.tokens, now)
        base = first.duration - reading - self._find_fetch(backend, first, now)
        service = self._find_service(backend)
        service.bases.add(min(max(base, 0.0), _MAX_BASE), now)

    def _record_read(
        self, backend: Backend, first: FirstByte, now: Millis
    ) -> None:
        service = self._find_service(backend)
        other = service.find_base(now) + self._find_fetch(backend, first, now)
        other = min(other, first.duration * _MAX_OTHER_SHARE)
        reading = first.duration - other
        unit = min(max(reading / first.tokens, 1 / _MAX_RATE), 1 / _MIN_RATE)
        factor = self._slowdown.find_factor(first.excess)
        if len(service.units) >= _MIN_SAMPLES:
            expected = service.find_unit(backend, now)
            ratio = self._find_ratio(backend, now)
            self._slowdown.add_sample(first.excess, unit / expected / ratio)
            self._find_pace(backend).add_read(unit / expected / factor, now)
        service.units.add(unit / factor, now)

    def _record_fetch(
        self, backend: Backend, first: FirstByte, now: Millis
    ) -> None:
        path = self._find_path(backend, first.store)
        if path is None:
            return
        reading = self.estimate_read(backend, first.tokens, now)
        base = self._find_service(backend).find_base(now)
        fetching = first.duration - base - reading
        self._fetches.add_sample(path, first.fetched, fetching, now)

    def _find_fetch(
        self, backend: Backend, first: FirstByte, now: Millis
    ) -> Millis:
        if not first.fetched:
            return 0.0
        store = first.store or None
        return self.estimate_fetch(backend, first.fetched, now, store=store)

    def _find_fastest(
        self, backend: Backend, tokens: float, now: Millis
    ) -> FetchPath | None:
        """Return the way from the store that is the fastest at present."""
        paths = self._list_paths(backend)
        if not paths:
            return None
        key = (backend.record.service, backend.record.data_centre)
        chosen_at, fastest = self._fastest.get(key, (-math.inf, None))
        if fastest is None or now - chosen_at >= _FASTEST_PERIOD:
            fastest = min(
                paths.values(),
                key=lambda path: self._fetches.estimate(path, tokens, now),
            )
            self._fastest[key] = now, fastest
        return fastest

    def _list_paths(self, backend: Backend) -> Mapping[str, FetchPath]:
        """Return the ways from all stores of known speed, by address."""
        key = (backend.record.service, backend.record.data_centre)
        if key not in self._paths:
            self._paths[key] = dict(self._make_paths(*key))
        return self._paths[key]

    def _make_paths(
        self, service: str, data_centre: str
    ) -> Iterator[tuple[str, FetchPath]]:
        engine = self._engines.get(service)
        for address, store in self._stores.items():
            if engine is None:
                return
            path = self._fetches.make_path(engine, data_centre, store)
            if path is not None:
                yield address, path

    def _find_path(self, backend: Backend, address: str) -> FetchPath | None:
        """Return the way from a store, None if its speed is unknown."""
        return self._list_paths(backend).get(address)

    def _find_ratio(self, backend: Backend, now: Millis) -> float:
        pace = self._paces.get(backend.record.start)
        return 1.0 if pace is None else pace.find_read_ratio(now)

    def _find_service(self, backend: Backend) -> _Service:
        service = backend.record.service
        if service not in self._services:
            self._services[service] = _Service()
        return self._services[service]

    def _find_pace(self, backend: Backend) -> ServerPace:
        start = backend.record.start
        if start not in self._paces:
            self._paces[start] = ServerPace()
            self._service_names[start] = backend.record.service
        return self._paces[start]
