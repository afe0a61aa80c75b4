"""Decode what operators and backend servers write to the platform's store."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from oleanderdyke.clock import HOUR, SECOND, Millis, make_clock
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
from oleanderdyke.platform.fields import (
    MALFORMED,
    FieldError,
    load_object,
    read_address,
    read_integer,
    read_number,
    read_objects,
    read_text,
)

_KINDS = {
    'idempotent': CallKind.IDEMPOTENT,
    'non_idempotent': CallKind.ONCE,
    'streaming': CallKind.STREAM,
}
_READY = 'ready'
_LEAVING = 'draining'
# A server's id is sent in a header, and a path would be another kind of key.
_SERVER_ID = re.compile('[!-.0-~]+')
# An entry has some 250 bytes, and more with many models and adapters. Larger
# ones would hold up the requests of whoever reads them.
_MOST_SERVER_BYTES = 16_384
# Lists and objects in an entry, which bound its depth too: parsing a thousand
# levels takes as long as reading six good entries, counting them less than one.
_MOST_SERVER_PARTS = 256
# Operators number the weights that they name from here on.
_FIRST_VERSION = 1
# A record of another writer may have any text in its place of a field.
_MOST_MESSAGE = 200
# A start lies in the past by any clock that is near right. The margin leaves
# room for clocks that are hours off, as one set to another time zone is: such a
# server is sound. What lies further ahead would outrank all later starts.
_BORN_AHEAD: Millis = 24 * HOUR


class MalformedRecord(OleanderError):
    """A record of the platform's store can't be read."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.PROTOCOL, message[:_MOST_MESSAGE])


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """Hold the newest weights that operators have named for a model."""

    model: str
    version: int


def decode_configuration(data: bytes) -> Deployment:
    """Read the operators' whole configuration; raise MalformedRecord."""
    try:
        return _make_deployment(load_object(data))
    except MALFORMED as error:
        raise MalformedRecord(f'configuration: {_describe(error)}') from error


def decode_server(server: str, data: bytes) -> ServerRecord:
    """Read what one backend server wrote; raise MalformedRecord."""
    try:
        _check_server(server, data)
        return _make_server(server, load_object(data))
    except MALFORMED as error:
        raise MalformedRecord(f'server: {_describe(error)}') from error


def decode_born(found: Mapping[str, Any]) -> int | None:
    """Return when a backend server started, None where it isn't told.

    Raise one of MALFORMED where it can't be a Unix millisecond of the past.
    """
    if 'born' not in found:
        return None
    born = read_integer(found, 'born')
    if born > make_clock().wall() + _BORN_AHEAD:
        raise FieldError('born: is far ahead of the clock')
    return born


def decode_version(data: bytes) -> NamedVersion:
    """Read which weights are named; raise MalformedRecord."""
    try:
        found = load_object(data)
        version = read_integer(found, 'version', _FIRST_VERSION)
        return NamedVersion(read_text(found, 'model'), version)
    except MALFORMED as error:
        raise MalformedRecord(f'version: {_describe(error)}') from error


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'


def _make_deployment(found: Mapping[str, Any]) -> Deployment:
    services = [_make_service(each) for each in found.get('services', ())]
    return Deployment(
        version=read_integer(found, 'version'),
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
        allowed_regions=_read_homes(found),
    )


def _read_homes(found: Mapping[str, Any]) -> frozenset[str]:
    homes = found.get('allowedRegions') or ()
    if isinstance(homes, str):
        raise FieldError('allowedRegions: is no list')
    return frozenset(map(str, homes))


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
        cold_duration=float(found.get('coldStartS') or 0.0) * SECOND,
        cold_rate=float(found.get('coldPerS') or 0.0),
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
            allowed_regions=_read_homes(team),
        )
        for key in team.get('apiKeys', ()):
            yield str(key), owner


def _check_server(server: str, data: bytes) -> None:
    if not _SERVER_ID.fullmatch(server):
        raise FieldError('the key is no id')
    if len(data) > _MOST_SERVER_BYTES:
        raise FieldError(f'{len(data)} bytes')
    if data.count(b'[') + data.count(b'{') > _MOST_SERVER_PARTS:
        raise FieldError('too many lists and objects')


def _make_server(server: str, found: Mapping[str, Any]) -> ServerRecord:
    """Read every field that an entry has, also those without use here.

    Who leaves one out, or writes another type, is no backend server.
    """
    read_text(found, 'version')
    return ServerRecord(
        server=server,
        service=read_text(found, 'service'),
        address=read_address(found, 'address'),
        data_centre=read_text(found, 'zone'),
        is_leaving=_read_leaving(found),
        slots=read_integer(found, 'slots'),
        versions=_read_versions(found),
        # The wire's `seq` counts what this start of a server has written.
        revision=read_integer(found, 'seq'),
        born=decode_born(found),
        cold_remaining=read_number(found, 'coldRemainingMs'),
    )


def _read_leaving(found: Mapping[str, Any]) -> bool:
    state = found['state']
    if state not in {_READY, _LEAVING}:
        raise FieldError('state: is not named')
    return bool(state == _LEAVING)


def _read_versions(found: Mapping[str, Any]) -> dict[str, int]:
    """Return the weights that an engine holds; other servers have none.

    An engine that told none would get requests for any weights.
    """
    if 'models' not in found and 'stage' not in found:
        return {}
    read_text(found, 'stage')
    return {
        read_text(each, 'name'): read_integer(each, 'version')
        for each in read_objects(found, 'models')
    }
