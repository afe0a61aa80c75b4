"""Count and time what a process does, with bounded label sets."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import TypeVar

from hdrh.histogram import HdrHistogram

from oleanderdyke.clock import Millis

# What `render` returns.
RENDERED_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
_MICROS_PER_MILLI = 1_000
_LOWEST_MICROS = 1
_HIGHEST_MICROS = 3_600_000_000
_DIGITS = 2
_LABEL_BOUND = 200
_OTHER = 'other'


_NameT = TypeVar('_NameT')


class Timing(enum.StrEnum):
    """Name a measured duration; all are in milliseconds."""

    FIRST_TOKEN = 'first_token'
    BETWEEN_TOKENS = 'between_tokens'
    QUEUE_WAIT = 'queue_wait'
    DECISION = 'decision'
    REQUEST = 'request'
    CLAIM = 'claim'
    ORDER = 'order'
    LOAD = 'load'


class Count(enum.StrEnum):
    """Name something counted."""

    REQUESTS = 'requests'
    PROMPT_TOKENS = 'prompt_tokens'
    RECOMPUTED_TOKENS = 'recomputed_tokens'
    LINK_BYTES = 'link_bytes'
    REFUSALS = 'refusals'
    RETRIES = 'retries'
    CLAIMS = 'claims'
    CONTROL_BYTES = 'control_bytes'
    DATA_BYTES = 'data_bytes'
    MISSED_TARGETS = 'missed_targets'
    DEPENDENCY_FAULTS = 'dependency_faults'
    ORDERS = 'orders'
    LINES_DROPPED = 'lines_dropped'


class Gauge(enum.StrEnum):
    """Name a level that rises and falls."""

    RUNNING = 'running'
    LINKS = 'links'
    CONFIGURATION_OFFSET = 'configuration_offset'
    READY = 'ready'
    WEIGHTS_NAMED = 'weights_named'
    WEIGHTS_HELD = 'weights_held'


_SERVICE = 'service'
_MODEL = 'model'
_NONE = '-'
# What the label of each metric names; `tools.reference` shows it.
LABELS: Mapping[Timing | Count | Gauge, str] = {
    Timing.FIRST_TOKEN: _SERVICE,
    Timing.BETWEEN_TOKENS: _SERVICE,
    Timing.QUEUE_WAIT: 'service; model at an agent of the platform',
    Timing.DECISION: _SERVICE,
    Timing.REQUEST: _SERVICE,
    Timing.CLAIM: _NONE,
    Timing.ORDER: 'what became of it',
    Timing.LOAD: _MODEL,
    Count.REQUESTS: _SERVICE,
    Count.PROMPT_TOKENS: _SERVICE,
    Count.RECOMPUTED_TOKENS: _SERVICE,
    Count.LINK_BYTES: _SERVICE,
    Count.REFUSALS: 'error kind',
    Count.RETRIES: _SERVICE,
    Count.CLAIMS: _NONE,
    Count.CONTROL_BYTES: _NONE,
    Count.DATA_BYTES: _NONE,
    Count.MISSED_TARGETS: _SERVICE,
    Count.DEPENDENCY_FAULTS: 'what was called',
    Count.ORDERS: 'what became of it',
    Count.LINES_DROPPED: _NONE,
    Gauge.RUNNING: _NONE,
    Gauge.LINKS: _NONE,
    Gauge.CONFIGURATION_OFFSET: _NONE,
    Gauge.READY: _NONE,
    Gauge.WEIGHTS_NAMED: _MODEL,
    Gauge.WEIGHTS_HELD: _MODEL,
}


@dataclass(frozen=True, slots=True)
class TimingSummary:
    """Sum up the durations of one timing under one label."""

    label: str
    count: int
    total: Millis


class Metrics:
    """Hold the histograms, counters and gauges of one process.

    Labels are services, models, dependencies, outcomes or error kinds, never
    teams; past a bound they are counted as `other`.
    """

    def __init__(self) -> None:
        self._timings: dict[tuple[Timing, str], HdrHistogram] = {}
        self._sums: dict[tuple[Timing, str], float] = {}
        self._counts: dict[tuple[Count, str], float] = {}
        self._gauges: dict[tuple[Gauge, str], float] = {}

    def time(self, timing: Timing, duration: Millis, label: str = '') -> None:
        """Record one duration."""
        key = (timing, _bound(self._timings, timing, label))
        histogram = self._timings.get(key)
        if histogram is None:
            histogram = _make_histogram()
            self._timings[key] = histogram
        micros = int(duration * _MICROS_PER_MILLI)
        histogram.record_value(
            min(max(micros, _LOWEST_MICROS), _HIGHEST_MICROS)
        )
        self._sums[key] = self._sums.get(key, 0.0) + duration

    def add(self, count: Count, amount: float = 1, label: str = '') -> None:
        """Raise a counter."""
        key = (count, _bound(self._counts, count, label))
        self._counts[key] = self._counts.get(key, 0.0) + amount

    def set_gauge(self, gauge: Gauge, level: float, label: str = '') -> None:
        """Set a gauge."""
        self._gauges[gauge, _bound(self._gauges, gauge, label)] = level

    def set_count(self, count: Count, total: float, label: str = '') -> None:
        """Take the total of something that is counted elsewhere."""
        self._counts[count, _bound(self._counts, count, label)] = total

    def read_count(self, count: Count, label: str = '') -> float:
        """Return a counter."""
        return self._counts.get((count, label), 0.0)

    def read_quantile(
        self, timing: Timing, quantile: float, label: str = ''
    ) -> Millis:
        """Return a quantile (0 to 100) of a timing, 0 where none was taken."""
        histogram = self._timings.get((timing, label))
        if histogram is None:
            return 0.0
        micros = float(histogram.get_value_at_percentile(quantile))
        return micros / _MICROS_PER_MILLI

    def encode_timing(self, timing: Timing, label: str = '') -> str:
        """Return a timing for `MergedTiming`, empty where none was taken."""
        histogram = self._timings.get((timing, label))
        return '' if histogram is None else str(histogram.encode(), 'ascii')

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # The client library costs 2 MiB, which an idle process does without.
        from oleanderdyke import exposition  # noqa: PLC0415 - see above

        return exposition.render_metrics(self)

    def list_timings(self, timing: Timing) -> Iterator[TimingSummary]:
        """Yield what was taken of a timing."""
        for (known, label), histogram in self._timings.items():
            if known is timing:
                yield TimingSummary(
                    label,
                    int(histogram.total_count),
                    self._sums[known, label],
                )

    def list_counts(self, count: Count) -> Iterator[tuple[str, float]]:
        """Yield the labels of a counter and their totals."""
        for (known, label), total in self._counts.items():
            if known is count:
                yield label, total

    def list_gauges(self, gauge: Gauge) -> Iterator[tuple[str, float]]:
        """Yield the labels of a gauge and their levels."""
        for (known, label), level in self._gauges.items():
            if known is gauge:
                yield label, level


class MergedTiming:
    """Answer the quantiles of one timing over several processes."""

    def __init__(self, encoded: Iterable[str]) -> None:
        self._histogram = _make_histogram()
        for text in encoded:
            if text:
                self._histogram.add(HdrHistogram.decode(text))

    @property
    def count(self) -> int:
        """Return how many durations were taken."""
        return int(self._histogram.total_count)

    def read_quantile(self, quantile: float) -> Millis:
        """Return a quantile (0 to 100), 0 where none was taken."""
        micros = float(self._histogram.get_value_at_percentile(quantile))
        return micros / _MICROS_PER_MILLI


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_MICROS, _HIGHEST_MICROS, _DIGITS)


def _bound(
    known: Mapping[tuple[_NameT, str], object], name: _NameT, label: str
) -> str:
    if len(known) < _LABEL_BOUND or (name, label) in known:
        return label
    return _OTHER
