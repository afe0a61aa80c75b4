"""Decode what operators and backend servers write to the platform's store."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.kernel.deployment import (
    CallerLimits,
    CallKind,
    Deployment,
    EngineTraits,
    KeyOwner,
    Route,
    ServiceTraits,
    Share,
    StoreTraits,
)
from oleanderdyke.kernel.servers import ServerRecord

_KINDS = {
    'idempotent': CallKind.IDEMPOTENT,
    'non_idempotent': CallKind.ONCE,
    'streaming': CallKind.STREAM,
}
_LEAVING = 'draining'
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)


class MalformedRecord(OleanderError):
    """Tell that a record of the platform's store can't be read."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.PROTOCOL, message)


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """Hold the newest weights that operators have named for a model."""

    model: str
    version: int


def decode_configuration(data: bytes) -> Deployment:
    """Read the operators' whole configuration; raise MalformedRecord."""
    try:
        return _make_deployment(json.loads(data))
    except _MALFORMED as error:
        raise MalformedRecord(f'configuration: {error!r}') from error


def decode_server(server: str, data: bytes) -> ServerRecord:
    """Read what one backend server wrote; raise MalformedRecord."""
    try:
        return _make_server(server, json.loads(data))
    except _MALFORMED as error:
        raise MalformedRecord(f'server {server}: {error!r}') from error


def decode_version(data: bytes) -> NamedVersion:
    """Read which weights are named; raise MalformedRecord."""
    try:
        found = json.loads(data)
        return NamedVersion(str(found['model']), int(found['version']))
    except _MALFORMED as error:
        raise MalformedRecord(f'version: {error!r}') from error


def _make_deployment(found: Mapping[str, Any]) -> Deployment:
    services = [_make_service(each) for each in found.get('services', ())]
    return Deployment(
        version=int(found['version']),
        routes=tuple(_make_route(each) for each in found.get('routes', ())),
        services={service.name: service for service in services},
        limits=_make_limits(found.get('limits', {})),
        key_owners=dict(_list_keys(found.get('tenants', ()))),
    )


def _make_route(found: Mapping[str, Any]) -> Route:
    kind = _KINDS[found['kind']]
    return Route(
        name=str(found['name']),
        host=str(found['host']).lower(),
        prefix=str(found['pathPrefix']),
        kind=kind,
        shares=_make_shares(found),
        timeout=float(found['timeoutMs']),
        target=float(found.get('targetLatencyMs', found['timeoutMs'])),
        gap=float(found.get('gapTargetMs') or 0.0),
        priority=int(found.get('priority', 5)),
        attempts=int(found.get('maxAttempts', 1)),
        is_public=bool(found.get('authExempt', False)),
        is_resumable=(
            kind is CallKind.STREAM and bool(found.get('resumable', False))
        ),
    )


def _make_shares(found: Mapping[str, Any]) -> tuple[Share, ...]:
    split = found.get('trafficSplit') or ()
    if split:
        return tuple(
            Share(str(each['service']), float(each['weight'])) for each in split
        )
    return (Share(str(found['service'])),)


def _make_service(found: Mapping[str, Any]) -> ServiceTraits:
    engine = found.get('engine')
    return ServiceTraits(
        name=str(found['name']),
        engine=_make_engine(engine) if engine else None,
        store=_make_store(found) if found.get('kvStoreAddr') else None,
    )


def _make_engine(found: Mapping[str, Any]) -> EngineTraits:
    return EngineTraits(
        # Of an engine this is its memory, of a store its room; both in tokens.
        memory_tokens=int(found.get('kvCapacity', 0)),
    )


def _make_store(found: Mapping[str, Any]) -> StoreTraits:
    return StoreTraits(
        address=str(found['kvStoreAddr']),
        data_centre=str(found.get('zone', '')),
        capacity_tokens=int(found.get('kvCapacity', 0)),
        link_mbps=float(found.get('linkMbps', 0.0)),
        is_managed=bool(found.get('managed', False)),
    )


def _make_limits(found: Mapping[str, Any]) -> CallerLimits:
    standard = CallerLimits()
    return CallerLimits(
        body_bytes=int(found.get('maxBodyBytes', standard.body_bytes)),
        idle_timeout=float(found.get('idleTimeoutMs', standard.idle_timeout)),
    )


def _list_keys(
    teams: Iterable[Mapping[str, Any]],
) -> Iterable[tuple[str, KeyOwner]]:
    for team in teams:
        priority = team.get('priority')
        owner = KeyOwner(
            team=str(team['name']),
            is_isolated=bool(team.get('isolated', False)),
            priority=None if priority is None else int(priority),
        )
        for key in team.get('apiKeys', ()):
            yield str(key), owner


def _make_server(server: str, found: Mapping[str, Any]) -> ServerRecord:
    models = found.get('models') or ()
    return ServerRecord(
        server=server,
        service=str(found['service']),
        address=str(found['address']),
        data_centre=str(found.get('zone', '')),
        is_leaving=found.get('state') == _LEAVING,
        slots=int(found.get('slots', 0)),
        versions={str(each['name']): int(each['version']) for each in models},
        # The wire's `seq` counts what this start of a server has written.
        beat=int(found.get('seq', 0)),
    )
