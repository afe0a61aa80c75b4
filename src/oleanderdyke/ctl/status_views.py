"""Tables of processes, services and missed targets."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, TypeAlias

from oleanderdyke.ctl.output import show, show_table, show_time
from oleanderdyke.ctl.services import (
    MissedRequest,
    Quantiles,
    ServiceSummary,
    TargetSummary,
)
from oleanderdyke.kernel.targets import REQUIRED_SHARE, Target

JsonObject: TypeAlias = Mapping[str, Any]

_DASH = '-'
_MODEL = 'model'


def show_processes(statuses: Sequence[JsonObject]) -> None:
    """Print entries and their agents."""
    reached = [item for item in statuses if item['reached']]
    show_table(
        ('ENTRY', 'PROCESS', 'READY', 'OFFSET', 'AGENTS', 'REASON'),
        [tuple(_make_entry_row(item)) for item in statuses],
    )
    show()
    show_table(
        (
            'AGENT',
            'SERVICE',
            'PHASE',
            'CONDITION',
            'OFFSET',
            'RUNNING',
            'WAITING',
            'HEARD',
            'WEIGHTS',
        ),
        [_make_agent_row(item) for item in _merge_agents(reached)],
    )


def show_services(services: Sequence[ServiceSummary]) -> None:
    """Print the statistics, targets and missed requests of services."""
    show_table(
        (
            'SERVICE',
            'REQUESTS',
            'FIRST TOKEN 50/95/99',
            'BETWEEN 95',
            'RECOMPUTED',
            'LINK BYTES',
            'REFUSALS',
        ),
        [_make_service_row(item) for item in services],
    )
    targets = [
        _make_target_row(item.service, target)
        for item in services
        for target in item.targets
    ]
    if targets:
        show()
        show_table(
            ('SERVICE', 'TARGET', 'OWED', 'LAST HOUR', 'MISSED BY', 'STATE'),
            targets,
        )
    _show_missed(services)


def _show_missed(services: Iterable[ServiceSummary]) -> None:
    rows = [
        _make_missed_row(item.service, missed)
        for item in services
        for missed in item.missed_requests
    ]
    if rows:
        show()
        show_table(
            ('SERVICE', 'MISSED', 'REQUEST', 'GOT', 'OWED', 'AT', 'ENTRY'),
            rows,
        )


def _make_entry_row(item: JsonObject) -> Iterator[object]:
    yield item['entry']
    if not item['reached']:
        yield from (_DASH, 'unreachable', _DASH, _DASH, item['reason'])
        return
    yield item['process']
    yield 'yes' if item['ready'] else 'no'
    yield item['offset']
    yield len(item['agents'])
    yield item['reason']


def _merge_agents(statuses: Iterable[JsonObject]) -> list[JsonObject]:
    """Return each agent once, from the entry with the latest heartbeat."""
    latest: dict[str, JsonObject] = {}
    for item in statuses:
        for agent in item['agents']:
            known = latest.get(agent['agent'], agent)
            if agent['heard_ago'] <= known['heard_ago']:
                latest[agent['agent']] = agent
    return [latest[name] for name in sorted(latest)]


def _make_agent_row(agent: JsonObject) -> tuple[object, ...]:
    weights = f'{agent["model"]} {agent["weight_version"]}'.strip()
    return (
        agent['agent'],
        agent['service'],
        agent['phase'],
        agent['condition'],
        agent['offset'],
        agent['load']['running'],
        agent['load']['waiting'],
        f'{agent["heard_ago"]:.0f} ms',
        weights or _DASH,
    )


def _make_service_row(item: ServiceSummary) -> tuple[object, ...]:
    model = item.kind == _MODEL
    return (
        item.service,
        item.requests,
        _show_quantiles(item.first_token) if model else _DASH,
        _show_millis(item.between_tokens.most) if model else _DASH,
        f'{item.recomputed_share:.1%}' if model else _DASH,
        item.link_bytes,
        item.refusals or _DASH,
    )


def _make_target_row(service: str, item: TargetSummary) -> tuple[object, ...]:
    counts = item.counts
    limit = _show_amount(item.target, item.limit)
    if item.target == Target.RECOMPUTED_SHARE:
        share = counts.recomputed_tokens / max(counts.prompt_tokens, 1)
        measured, limit = f'{share:.1%} of tokens', f'{limit} of tokens'
    else:
        share = (counts.judged - counts.missed) / max(counts.judged, 1)
        measured = f'{share:.1%} in target' if counts.judged else _DASH
        limit = f'{limit} for {REQUIRED_SHARE:.0%}'
    by = f'{counts.missed} of {counts.judged}'
    return (
        service,
        item.target,
        limit,
        measured,
        by,
        'met' if item.met else 'MISSED',
    )


def _make_missed_row(service: str, item: MissedRequest) -> tuple[object, ...]:
    value = _show_amount(item.target, item.value)
    return (
        service,
        item.target,
        item.request,
        f'{item.refused} after {value}' if item.refused else value,
        _show_amount(item.target, item.limit),
        show_time(item.at),
        item.entry,
    )


def _show_amount(target: str, amount: float) -> str:
    if target == Target.RECOMPUTED_SHARE:
        return f'{amount:.1%}'
    return _show_millis(amount)


def _show_quantiles(found: Quantiles) -> str:
    times = (found.half, found.most, found.nearly_all)
    return '/'.join(f'{time:.0f}' for time in times) + ' ms'


def _show_millis(time: float) -> str:
    return f'{time:.1f} ms'
