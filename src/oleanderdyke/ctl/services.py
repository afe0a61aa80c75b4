"""Aggregation of the service statistics of several entries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.targets import (
    MAX_KEPT_MISSES,
    Target,
    TargetCounts,
    is_met,
)
from oleanderdyke.metrics import MergedTiming, Timing

Status: TypeAlias = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Hold the 50th, 95th and 99th percentile of a time."""

    half: Millis
    most: Millis
    nearly_all: Millis


@dataclass(frozen=True, slots=True)
class TargetSummary:
    """Hold the result of one target over the last hour."""

    target: str
    limit: float
    counts: TargetCounts
    met: bool


@dataclass(frozen=True, slots=True)
class MissedRequest:
    """Hold a request that missed a target, and the entry that served it."""

    entry: str
    request: str
    target: str
    value: float
    limit: float
    at: Millis
    refused: str


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """Hold the merged statistics of one service."""

    service: str
    kind: str
    requests: int
    first_token: Quantiles
    between_tokens: Quantiles
    recomputed_share: float
    link_bytes: int
    refusals: Mapping[str, int]
    targets: tuple[TargetSummary, ...]
    missed: int
    missed_requests: tuple[MissedRequest, ...]


def summarise(
    statuses: Iterable[Status], missed: int = MAX_KEPT_MISSES
) -> list[ServiceSummary]:
    """Merge the services of several entries by name.

    For each target, the last `missed` requests that missed it are included.
    """
    parts: dict[str, list[Status]] = {}
    for status in statuses:
        for service in status['services']:
            part = {**service, 'entry': status['process']}
            parts.setdefault(service['service'], []).append(part)
    return [_merge_service(name, parts[name], missed) for name in sorted(parts)]


def _merge_service(
    name: str, parts: Sequence[Status], count: int
) -> ServiceSummary:
    refusals: Counter[str] = Counter()
    for part in parts:
        refusals.update(part['refusals'])
    prompt, recomputed = _sum_fields(
        parts, 'prompt_tokens', 'recomputed_tokens'
    )
    requests, link_bytes, missed = _sum_fields(
        parts, 'requests', 'link_bytes', 'missed'
    )
    return ServiceSummary(
        service=name,
        kind=parts[0]['kind'],
        requests=requests,
        first_token=_read_quantiles(parts, Timing.FIRST_TOKEN),
        between_tokens=_read_quantiles(parts, Timing.BETWEEN_TOKENS),
        recomputed_share=recomputed / prompt if prompt else 0.0,
        link_bytes=link_bytes,
        refusals=dict(sorted(refusals.items())),
        targets=tuple(_merge_standings(parts)),
        missed=missed,
        missed_requests=tuple(_list_missed(parts, count)),
    )


def _sum_fields(parts: Iterable[Status], *names: str) -> tuple[int, ...]:
    listed = tuple(parts)
    return tuple(sum(part[name] for part in listed) for name in names)


def _read_quantiles(parts: Iterable[Status], timing: Timing) -> Quantiles:
    merged = MergedTiming(
        part['timings'].get(timing.value, '') for part in parts
    )
    return Quantiles(*map(merged.read_quantile, (50, 95, 99)))


def _merge_standings(parts: Sequence[Status]) -> Iterable[TargetSummary]:
    groups: dict[str, list[Status]] = {}
    for part in parts:
        for standing in part['standings']:
            groups.setdefault(standing['target'], []).append(standing)
    for target, group in groups.items():
        yield _merge_target(target, group)


def _merge_target(name: str, group: Sequence[Status]) -> TargetSummary:
    counts = TargetCounts(
        *_sum_fields(
            [standing['counts'] for standing in group],
            'judged',
            'missed',
            'prompt_tokens',
            'recomputed_tokens',
        )
    )
    # Entries that lag behind may report an older limit; the first one is shown.
    limit = group[0]['limit']
    met = is_met(Target(name), limit, counts)
    return TargetSummary(name, limit, counts, met)


def _list_missed(
    parts: Iterable[Status], count: int
) -> Iterator[MissedRequest]:
    found: dict[str, list[MissedRequest]] = {target: [] for target in Target}
    for part in parts:
        for missed in part['missed_requests']:
            item = MissedRequest(entry=part['entry'], **missed)
            found[item.target].append(item)
    for items in found.values():
        items.sort(key=lambda item: item.at)
        yield from items[max(len(items) - count, 0) :]
