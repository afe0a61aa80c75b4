"""Show objects, changes and the state of processes as tables."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, TypeAlias

from oleanderdyke.ctl.output import (
    Format,
    make_yaml,
    show,
    show_table,
    show_time,
)

Shown: TypeAlias = Mapping[str, Any]

_DASH = '-'


def show_objects(objects: Iterable[Shown]) -> None:
    """Print objects as a table."""
    rows = [
        (
            f'{item["kind"]}/{item["name"]}',
            item['generation'],
            item['spec'].get('labels', {}),
            _summarise(item['spec']),
        )
        for item in objects
    ]
    show_table(('OBJECT', 'GENERATION', 'LABELS', 'SPEC'), rows)


def show_outcomes(outcomes: Sequence[Shown]) -> None:
    """Print changes and lost races as a table."""
    rows = [tuple(_make_cells(item)) for item in outcomes]
    show_table(
        ('AT', 'OFFSET', 'OBJECT', 'RESULT', 'GENERATION', 'OPERATOR', 'NOTE'),
        rows,
    )


def show_outcome_line(outcome: Shown, form: Format) -> None:
    """Print one change on one line, or as one document."""
    if form is Format.JSON:
        show(json.dumps(outcome, ensure_ascii=False))
    elif form is Format.YAML:
        show(make_yaml([outcome]).rstrip('\n'))
    else:
        show('  '.join(str(cell) for cell in _make_cells(outcome)).rstrip())


def show_statuses(statuses: Sequence[Shown]) -> None:
    """Print entries, the agents they know, and services."""
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
    show()
    show_table(
        (
            'ENTRY',
            'SERVICE',
            'REQUESTS',
            'FIRST TOKEN',
            'BETWEEN TOKENS',
            'RECOMPUTED',
            'LINK BYTES',
            'MISSED',
            'TARGETS MISSED',
        ),
        [
            _make_service_row(item['process'], service)
            for item in reached
            for service in item['services']
        ],
    )


def _summarise(spec: Shown) -> str:
    hidden = {'labels', 'token_hashes', 'admin_token_hashes'}
    parts = [
        f'{name}={_shorten(found)}'
        for name, found in spec.items()
        if name not in hidden
    ]
    tokens = len(spec.get('token_hashes', ()))
    if tokens:
        parts.append(f'tokens={tokens}')
    return ' '.join(parts)


def _shorten(found: object) -> str:
    if isinstance(found, dict):
        pairs = ','.join(f'{key}={inner}' for key, inner in found.items())
        return f'{{{pairs}}}'
    if isinstance(found, list):
        return ','.join(map(str, found))
    return str(found)


def _make_cells(outcome: Shown) -> Iterator[object]:
    lost = outcome['result'] == 'lost'
    yield show_time(outcome['at'])
    yield outcome['offset']
    yield f'{outcome["kind"]}/{outcome["name"]}'
    yield 'deleted' if outcome.get('deleted') else outcome['result']
    yield outcome['generation']
    yield outcome['operator']
    winner = outcome.get('winner', '')
    by = f'; last changed by {winner}' if winner else ''
    yield f'{outcome["detail"]}{by}' if lost else ''


def _make_entry_row(item: Shown) -> Iterator[object]:
    yield item['entry']
    if not item['reached']:
        yield from (_DASH, 'unreachable', _DASH, _DASH, item['reason'])
        return
    yield item['process']
    yield 'yes' if item['ready'] else 'no'
    yield item['offset']
    yield len(item['agents'])
    yield item['reason']


def _merge_agents(statuses: Iterable[Shown]) -> list[Shown]:
    """Return each agent once, as the entry that heard it last knows it."""
    latest: dict[str, Shown] = {}
    for item in statuses:
        for agent in item['agents']:
            known = latest.get(agent['agent'], agent)
            if agent['heard_ago'] <= known['heard_ago']:
                latest[agent['agent']] = agent
    return [latest[name] for name in sorted(latest)]


def _make_agent_row(agent: Shown) -> tuple[object, ...]:
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


def _make_service_row(process: str, item: Shown) -> tuple[object, ...]:
    targets, measured = item['targets'], item['measured']
    return (
        process,
        item['service'],
        item['requests'],
        f'{measured["first_token"]:.0f}/{targets["first_token"]:.0f} ms',
        f'{measured["between_tokens"]:.0f}/{targets["between_tokens"]:.0f} ms',
        f'{measured["recomputed_share"]:.1%}/{targets["recomputed_share"]:.0%}',
        item['link_bytes'],
        item['missed'],
        ','.join(item['missed_targets']) or _DASH,
    )
