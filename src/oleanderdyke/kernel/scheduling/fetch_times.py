"""How long an engine takes to fetch context from a store.

The load it answers: stores with links of different speed and prompts whose
context is small or large. Where a fetch takes longer than prefill, it delays a
request instead of saving time.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.deployment import EngineTraits, StoreTraits
from oleanderdyke.kernel.scheduling.aged_samples import AgedSamples

_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT_SECOND = 1_000
# How many times as long a transfer takes by distance.
_OTHER_DATA_CENTRE = 2.0
_OTHER_REGION = 10.0
# A longer fetch isn't started.
_MAX_FETCH: Millis = 10 * SECOND
_LIFETIME: Millis = 15 * SECOND
_SAMPLE_COUNT = 12
# Low, as the time that a request waits for other prompts is part of a sample.
_QUANTILE = 0.35
_PRIOR_WEIGHT = 2.0
# Jitter of a first byte, which hides shorter fetches.
_JITTER: Millis = 20.0
_MIN_RATIO = 0.5
_MAX_RATIO = 10.0


@dataclass(frozen=True, slots=True)
class FetchPath:
    """Describe the way of context from the store at an address to an engine.

    A fetch begins after `first_delay` and then takes `token_time` per token.
    """

    address: str
    first_delay: Millis
    token_time: Millis

    def find_nominal(self, tokens: float) -> Millis:
        """Return how long a fetch takes by the configuration."""
        transfer = max(tokens, 0.0) * self.token_time
        return min(self.first_delay + transfer, _MAX_FETCH)


class FetchTimes:
    """Estimate fetches by the configuration, corrected by first bytes."""

    def __init__(self, regions: Mapping[str, str]) -> None:
        self._regions = regions
        self._ratios: defaultdict[str, AgedSamples] = defaultdict(
            lambda: AgedSamples(_SAMPLE_COUNT, _LIFETIME)
        )

    def retain(self, addresses: Iterable[str]) -> None:
        """Forget the stores that are no longer configured."""
        for address in self._ratios.keys() - set(addresses):
            del self._ratios[address]

    def make_path(
        self, engine: EngineTraits, data_centre: str, store: StoreTraits
    ) -> FetchPath | None:
        """Return the way to an engine, None if its speed is unknown."""
        mbps = _find_link(engine, store)
        if not mbps:
            return None
        bits = engine.token_bytes * _BITS_PER_BYTE
        token_time = bits / (mbps * _BITS_PER_MEGABIT_SECOND)
        distance = self._find_distance(data_centre, store.data_centre)
        return FetchPath(
            store.address, store.first_delay, token_time * distance
        )

    def add_sample(
        self, path: FetchPath, tokens: float, duration: Millis, now: Millis
    ) -> None:
        """Add what a fetch added to the time of a first byte."""
        expected = path.find_nominal(tokens)
        ratio = (max(duration, 0.0) + _JITTER) / (expected + _JITTER)
        ratio = min(max(ratio, _MIN_RATIO), _MAX_RATIO)
        self._ratios[path.address].add(ratio, now)

    def estimate(self, path: FetchPath, tokens: float, now: Millis) -> Millis:
        """Return how long a fetch takes."""
        nominal = path.find_nominal(tokens)
        ratio = self._find_ratio(path.address, now)
        corrected = (nominal + _JITTER) * ratio - _JITTER
        lowest = nominal * _MIN_RATIO
        return min(max(corrected, lowest), _MAX_FETCH)

    def _find_ratio(self, address: str, now: Millis) -> float:
        samples = self._ratios.get(address)
        if samples is None:
            return 1.0
        found = samples.find_quantile(_QUANTILE, now)
        weight = samples.find_weight(now)
        share = weight / (weight + _PRIOR_WEIGHT)
        return 1.0 if found is None else math.pow(found, share)

    def _find_distance(self, one: str, other: str) -> float:
        if one == other:
            return 1.0
        regions = self._regions.get(one), self._regions.get(other)
        is_near = None in regions or regions[0] == regions[1]
        return _OTHER_DATA_CENTRE if is_near else _OTHER_REGION


def _find_link(engine: EngineTraits, store: StoreTraits) -> float:
    """Return the bandwidth between engine and store, 0 if unknown."""
    known = [mbps for mbps in (engine.link_mbps, store.link_mbps) if mbps > 0]
    return min(known, default=0.0) if engine.token_bytes else 0.0
