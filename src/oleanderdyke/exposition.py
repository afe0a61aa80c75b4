"""Metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.core import (
    CollectorRegistry,
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from oleanderdyke.metrics import Count, Gauge, Metrics, Timing

_QUANTILES = (50.0, 95.0, 99.0)


def render_metrics(metrics: Metrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Families(metrics))
    return generate_latest(registry)


class _Families(Collector):
    """Collector that converts metrics to Prometheus families."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield the families of all timings, counters and gauges."""
        for timing in Timing:
            yield from self._collect_timing(timing)
        for count in Count:
            yield self._collect_count(count)
        for gauge in Gauge:
            yield self._collect_gauge(gauge)

    def _collect_timing(self, timing: Timing) -> Iterator[Metric]:
        name = f'oleander_{timing}_milliseconds'
        quantiles = GaugeMetricFamily(
            f'{name}_quantile',
            f'Quantiles of {timing}.',
            labels=['label', 'quantile'],
        )
        summary = SummaryMetricFamily(
            name, f'Durations of {timing}.', labels=['label']
        )
        for taken in self._metrics.list_timings(timing):
            label = taken.label
            summary.add_metric([label], taken.count, taken.total)
            for quantile in _QUANTILES:
                found = self._metrics.read_quantile(timing, quantile, label)
                quantiles.add_metric([label, str(quantile / 100)], found)
        yield summary
        yield quantiles

    def _collect_count(self, count: Count) -> Metric:
        family = CounterMetricFamily(
            f'oleander_{count}', f'Count of {count}.', labels=['label']
        )
        for label, total in self._metrics.list_counts(count):
            family.add_metric([label], total)
        return family

    def _collect_gauge(self, gauge: Gauge) -> Metric:
        family = GaugeMetricFamily(
            f'oleander_{gauge}', f'Level of {gauge}.', labels=['label']
        )
        for label, level in self._metrics.list_gauges(gauge):
            family.add_metric([label], level)
        return family
