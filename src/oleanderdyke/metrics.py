"""Counters, gauges and timings with a bounded number of labels."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import TypeVar

from hdrh.histogram import HdrHistogram

from oleanderdyke.clock import Millis

# The content type of the text that `render` returns.
RENDERED_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
_MICROS_PER_MILLI = 1_000
_LOWEST_MICROS = 1
_HIGHEST_MICROS = 3_600_000_000
_DIGITS = 2
_MAX_LABELS = 200
_OTHER = 'other'


_NameT = TypeVar('_NameT')


class Timing(enum.StrEnum):
    """The name of a measured duration in milliseconds."""

    FIRST_TOKEN = 'first_token'
    BETWEEN_TOKENS = 'between_tokens'
    QUEUE_WAIT = 'queue_wait'
    DECISION = 'decision'
    REQUEST = 'request'
    CLAIM = 'claim'
    ORDER = 'order'
    LOAD = 'load'


class Count(enum.StrEnum):
    """The name of a counter."""

    REQUESTS = 'requests'
    PROMPT_TOKENS = 'prompt_tokens'
    RECOMPUTED_TOKENS = 'recomputed_tokens'
    LINK_BYTES = 'link_bytes'
    REFUSALS = 'refusals'
    ADMISSION_REFUSALS = 'admission_refusals'
    RETRIES = 'retries'
    RETRIES_DENIED = 'retries_denied'
    CLAIMS = 'claims'
    CONTROL_BYTES = 'control_bytes'
    DATA_BYTES = 'data_bytes'
    MISSED_TARGETS = 'missed_targets'
    DEPENDENCY_FAULTS = 'dependency_faults'
    ORDERS = 'orders'
    LINES_DROPPED = 'lines_dropped'
    WORK_REPORTS = 'work_reports'
    WORK_BYTES = 'work_bytes'
    COPIES_ASKED = 'copies_asked'
    COPIES_USED = 'copies_used'
    COPIES_MISSING = 'copies_missing'
    UNREAD_ENDED = 'unread_ended'
    ANSWERS_CLOSED = 'answers_closed'
    BACKEND_CRASHES = 'backend_crashes'
    BACKEND_LOSSES = 'backend_losses'
    SENDS_ENDED = 'sends_ended'
    CONTEXT_FREES = 'context_frees'
    TASK_FAILURES = 'task_failures'


class Gauge(enum.StrEnum):
    """The name of a gauge."""

    RUNNING = 'running'
    LINKS = 'links'
    CONFIGURATION_OFFSET = 'configuration_offset'
    READY = 'ready'
    WEIGHTS_NAMED = 'weights_named'
    WEIGHTS_HELD = 'weights_held'
    PREFILL_RATE = 'prefill_rate'
    WORK_AGE = 'work_age'
    POOL_SIZE = 'pool_size'
    RANK_USE = 'rank_use'
    ADMISSION_WAITING = 'admission_waiting'
    UNREAD_BYTES = 'unread_bytes'
    RETRY_TOKENS = 'retry_tokens'
    RETRY_BURST = 'retry_burst'
    RETRY_OUTSTANDING = 'retry_outstanding'
    RETRY_RESERVED = 'retry_reserved'
    RETRY_UNREAD = 'retry_unread'
    RETRY_EARLIER = 'retry_earlier'


_SERVICE = 'service'
_MODEL = 'model'
_NONE = '-'
# The meaning of the label of each metric, as shown by `tools.reference`.
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
    Count.ADMISSION_REFUSALS: 'reason and rank',
    Count.RETRIES: _SERVICE,
    Count.RETRIES_DENIED: _SERVICE,
    Count.CLAIMS: _NONE,
    Count.CONTROL_BYTES: _NONE,
    Count.DATA_BYTES: _NONE,
    Count.MISSED_TARGETS: _SERVICE,
    Count.DEPENDENCY_FAULTS: 'what was called',
    Count.ORDERS: 'what became of it',
    Count.LINES_DROPPED: _NONE,
    Count.WORK_REPORTS: 'sent or received',
    Count.WORK_BYTES: 'sent or received',
    Count.COPIES_ASKED: _SERVICE,
    Count.COPIES_USED: _SERVICE,
    Count.COPIES_MISSING: _SERVICE,
    Count.UNREAD_ENDED: _NONE,
    Count.ANSWERS_CLOSED: _SERVICE,
    Count.BACKEND_CRASHES: _NONE,
    Count.BACKEND_LOSSES: 'what new connections found',
    Count.SENDS_ENDED: 'service and what ended the wait',
    Count.CONTEXT_FREES: 'what became of it',
    Count.TASK_FAILURES: 'name of the task',
    Gauge.RUNNING: _NONE,
    Gauge.LINKS: _NONE,
    Gauge.CONFIGURATION_OFFSET: _NONE,
    Gauge.READY: _NONE,
    Gauge.WEIGHTS_NAMED: _MODEL,
    Gauge.WEIGHTS_HELD: _MODEL,
    Gauge.PREFILL_RATE: _SERVICE,
    Gauge.WORK_AGE: _NONE,
    Gauge.POOL_SIZE: 'service and side of its engines',
    Gauge.RANK_USE: 'service and rank',
    Gauge.ADMISSION_WAITING: _NONE,
    Gauge.UNREAD_BYTES: _NONE,
    Gauge.RETRY_TOKENS: _SERVICE,
    Gauge.RETRY_BURST: _SERVICE,
    Gauge.RETRY_OUTSTANDING: _SERVICE,
    Gauge.RETRY_RESERVED: _SERVICE,
    Gauge.RETRY_UNREAD: _SERVICE,
    Gauge.RETRY_EARLIER: _NONE,
}


@dataclass(frozen=True, slots=True)
class TimingSummary:
    """The number and sum of the durations of a timing with one label."""

    label: str
    count: int
    total: Millis


class Metrics:
    """The timings, counters and gauges of one process.

    Labels are services, models, dependencies, outcomes or error kinds, never
    teams. Above a limit, values of new labels are counted under `other`.
    """

    def __init__(self) -> None:
        self._timings: dict[tuple[Timing, str], HdrHistogram] = {}
        self._sums: dict[tuple[Timing, str], float] = {}
        self._counts: dict[tuple[Count, str], float] = {}
        self._gauges: dict[tuple[Gauge, str], float] = {}

    def time(self, timing: Timing, duration: Millis, label: str = '') -> None:
        """Record a duration of a timing."""
        key = (timing, _limit_label(self._timings, timing, label))
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
        """Increase a counter."""
        key = (count, _limit_label(self._counts, count, label))
        self._counts[key] = self._counts.get(key, 0.0) + amount

    def set_gauge(self, gauge: Gauge, level: float, label: str = '') -> None:
        """Set the value of a gauge."""
        self._gauges[gauge, _limit_label(self._gauges, gauge, label)] = level

    def set_count(self, count: Count, total: float, label: str = '') -> None:
        """Set a counter to a total that is counted elsewhere."""
        self._counts[count, _limit_label(self._counts, count, label)] = total

    def read_count(self, count: Count, label: str = '') -> float:
        """Return the total of a counter, 0 if nothing was counted."""
        return self._counts.get((count, label), 0.0)

    def read_quantile(
        self, timing: Timing, quantile: float, label: str = ''
    ) -> Millis:
        """Return a percentile (0 to 100) of a timing, 0 without durations."""
        histogram = self._timings.get((timing, label))
        if histogram is None:
            return 0.0
        micros = float(histogram.get_value_at_percentile(quantile))
        return micros / _MICROS_PER_MILLI

    def encode_timing(self, timing: Timing, label: str = '') -> str:
        """Return a timing encoded for `MergedTiming`, empty if unused."""
        histogram = self._timings.get((timing, label))
        return '' if histogram is None else str(histogram.encode(), 'ascii')

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # The client library takes 2 MiB, so it is imported on first use.
        from oleanderdyke import exposition  # noqa: PLC0415 - see above

        return exposition.render_metrics(self)

    def list_timings(self, timing: Timing) -> Iterator[TimingSummary]:
        """Yield a summary of a timing for each label."""
        for (known, label), histogram in self._timings.items():
            if known is timing:
                yield TimingSummary(
                    label,
                    int(histogram.total_count),
                    self._sums[known, label],
                )

    def list_counts(self, count: Count) -> Iterator[tuple[str, float]]:
        """Yield each label of a counter with its total."""
        for (known, label), total in self._counts.items():
            if known is count:
                yield label, total

    def list_gauges(self, gauge: Gauge) -> Iterator[tuple[str, float]]:
        """Yield each label of a gauge with its value."""
        for (known, label), level in self._gauges.items():
            if known is gauge:
                yield label, level


class MergedTiming:
    """One timing merged from several processes."""

    def __init__(self, encoded: Iterable[str]) -> None:
        self._histogram = _make_histogram()
        for text in encoded:
            if text:
                self._histogram.add(HdrHistogram.decode(text))

    @property
    def count(self) -> int:
        """Return the number of durations."""
        return int(self._histogram.total_count)

    def read_quantile(self, quantile: float) -> Millis:
        """Return a percentile (0 to 100), 0 without durations."""
        micros = float(self._histogram.get_value_at_percentile(quantile))
        return micros / _MICROS_PER_MILLI


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_MICROS, _HIGHEST_MICROS, _DIGITS)


def _limit_label(
    known: Mapping[tuple[_NameT, str], object], name: _NameT, label: str
) -> str:
    if len(known) < _MAX_LABELS or (name, label) in known:
        return label
    return _OTHER
