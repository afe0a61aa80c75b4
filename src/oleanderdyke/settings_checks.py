"""Checks that apply to all settings."""

from __future__ import annotations

import dataclasses
import ipaddress
import math
import re
from collections.abc import Iterator, Mapping
from typing import Any

import yaml

_ADDRESS = re.compile(r'(\[[0-9a-fA-F:.]+\]|[^\s:/]+):([0-9]{1,5})')
_LAST_PORT = 65_535


def find_common_faults(settings: Any, prefix: str = '') -> Iterator[str]:
    """Yield a fault for each invalid number, port or address."""
    for item in dataclasses.fields(settings):
        found = getattr(settings, item.name)
        yield from _check(f'{prefix}{item.name}', item.name, found)


def find_repeated_keys(node: yaml.Node | None) -> Iterator[tuple[int, str]]:
    """Yield the line and name of each key repeated in its mapping."""
    waiting = [] if node is None else [node]
    # An alias may refer to a node that contains it.
    seen: set[int] = set()
    while waiting:
        current = waiting.pop()
        if id(current) in seen:
            continue
        seen.add(id(current))
        if isinstance(current, yaml.MappingNode):
            yield from _find_repeated(current)
            waiting += [inner for _, inner in current.value]
        elif isinstance(current, yaml.SequenceNode):
            waiting += current.value


def is_loopback(host: str) -> bool:
    """Return whether a host is a loopback address or `localhost`."""
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == 'localhost'


def _find_repeated(node: yaml.MappingNode) -> Iterator[tuple[int, str]]:
    known: set[str] = set()
    for key, _ in node.value:
        if not isinstance(key, yaml.ScalarNode):
            continue
        if key.value in known:
            yield key.start_mark.line + 1, key.value
        known.add(key.value)


def _check(key: str, name: str, found: Any) -> Iterator[str]:
    if isinstance(found, bool):
        return
    if isinstance(found, int | float):
        yield from _check_number(key, name, found)
    elif isinstance(found, str) and name == 'address':
        yield from _check_address(key, found)
    elif dataclasses.is_dataclass(found):
        yield from find_common_faults(found, f'{key}.')
    else:
        for place, inner in _list_inner(found):
            yield from _check(f'{key}.{place}', name, inner)


def _list_inner(found: Any) -> Iterator[tuple[object, Any]]:
    if isinstance(found, Mapping):
        yield from found.items()
    elif isinstance(found, tuple):
        yield from enumerate(found)


def _check_number(key: str, name: str, found: float) -> Iterator[str]:
    if not (math.isfinite(found) and found >= 0):
        yield f'{key}: found {found}; allowed: 0 or more'
    elif name == 'port' and found > _LAST_PORT:
        yield f'{key}: found {found}; allowed: 0 to {_LAST_PORT}'


def _check_address(key: str, found: str) -> Iterator[str]:
    match = _ADDRESS.fullmatch(found)
    if match is None or int(match[2]) > _LAST_PORT:
        yield f'{key}: found {found!r}; allowed: HOST:PORT'
