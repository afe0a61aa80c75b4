"""Decode records of operators and backend servers in the platform's store."""

from __future__ import annotations

import math
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
    show_value,
)

_CALL_KINDS = {
    'idempotent': CallKind.IDEMPOTENT,
    'non_idempotent': CallKind.ONCE,
    'streaming': CallKind.STREAM,
}
_READY = 'ready'
_LEAVING = 'draining'
# An id is sent as a header value. A key with a slash is not that of a server.
_SERVER_ID = re.compile('[!-.0-~]+')
# No call is kept waiting for longer, whatever the configuration allows.
_MAX_TIMEOUT: Millis = 24 * HOUR
_LIMITED = (1.0, _MAX_TIMEOUT)
_UP_TO_TIMEOUT = (0.0, _MAX_TIMEOUT)
_COUNTS = (0.0, 1e12)
_POSITIVE = (1.0, 1e12)
# The name of a team is sent as a header value.
_TEAM = re.compile('[!-~¡-ÿ]+(?: +[!-~¡-ÿ]+)*')
# A typical record has 250 bytes, and more with many models and adapters.
# Parsing larger ones would delay the requests of the reading process.
_MAX_SERVER_BYTES = 16_384
# Limits the lists and objects in a record, and with them its nesting depth:
# parsing 1000 levels takes as long as reading six valid records, counting the
# brackets less than reading one.
_MAX_SERVER_CONTAINERS = 256
# Operators number versions of weights from here on.
_FIRST_VERSION = 1
# Bounds error messages: they may quote text of an unknown writer.
_MAX_MESSAGE_LENGTH = 200
# How far a server's start time may be ahead of the local clock. The margin
# accepts servers whose clock is hours off, for example set to another time
# zone. A start time further ahead would rank above all later starts.
_MAX_BORN_SKEW: Millis = 24 * HOUR


class MalformedRecord(OleanderError):
    """A record of the platform's store is malformed."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.PROTOCOL, message[:_MAX_MESSAGE_LENGTH])


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """Hold the version of weights that operators have published for a model."""

    model: str
    version: int


def decode_configuration(data: bytes) -> Deployment:
    """Decode the operators' configuration; raise MalformedRecord."""
    try:
        return _make_deployment(load_object(data))
    except MALFORMED as error:
        raise MalformedRecord(f'configuration: {_describe(error)}') from error


def decode_server(server: str, data: bytes) -> ServerRecord:
    """Decode the record of a backend server; raise MalformedRecord."""
    try:
        _check_server(server, data)
        return _make_server(server, load_object(data))
    except MALFORMED as error:
        raise MalformedRecord(f'server: {_describe(error)}') from error


def decode_born(found: Mapping[str, Any]) -> int | None:
    """Return when a backend server started in Unix ms, None if unknown.

    Raise one of MALFORMED if the time is malformed or too far in the future.
    """
    if 'born' not in found:
        return None
    born = read_integer(found, 'born')
    if born > make_clock().wall() + _MAX_BORN_SKEW:
        raise FieldError(
            f'born: found {born}; '
            f'allowed: at most {_MAX_BORN_SKEW / HOUR:g} hours in the future'
        )
    return born


def decode_version(data: bytes) -> NamedVersion:
    """Decode a published version of weights; raise MalformedRecord."""
    try:
        found = load_object(data)
        version = read_integer(found, 'version', _FIRST_VERSION)
        return NamedVersion(read_text(found, 'model'), version)
    except MALFORMED as error:
        raise MalformedRecord(f'version: {_describe(error)}') from error


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'


def _make_deployment(found: Mapping[str, Any]) -> Deployment:
    faults: list[str] = []
    services = [
        _make_service(each, faults) for each in found.get('services', ())
    ]
    teams = found.get('tenants', ())
    return Deployment(
        version=read_integer(found, 'version'),
        routes=tuple(
            _make_route(each, faults) for each in found.get('routes', ())
        ),
        services={service.name: service for service in services},
        limits=_make_limits(found.get('limits', {})),
        key_owners=dict(_list_key_owners(teams, faults)),
        has_teams=bool(teams),
        faults=tuple(faults),
    )


def _make_route(found: Mapping[str, Any], faults: list[str]) -> Route:
    kind = _CALL_KINDS[found['kind']]
    reader = _NumberReader(found, f'route {show_value(found["name"])}', faults)
    # Without a timeout that can be kept, callers' deadlines limit the calls.
    timeout = reader.read('timeoutMs', _MAX_TIMEOUT, _LIMITED)
    return Route(
        name=str(found['name']),
        host=str(found['host']).lower(),
        prefix=str(found['pathPrefix']),
        kind=kind,
        shares=_make_shares(found, faults),
        timeout=timeout,
        target=reader.read_optional('targetLatencyMs', timeout, _LIMITED),
        gap=reader.read_optional('gapTargetMs', 0.0, _UP_TO_TIMEOUT),
        priority=int(reader.read_optional('priority', 5, _COUNTS)),
        attempts=int(reader.read_optional('maxAttempts', 1, _POSITIVE)),
        is_public=bool(found.get('authExempt', False)),
        is_resumable=(
            kind is CallKind.STREAM and bool(found.get('resumable', False))
        ),
        allowed_regions=_read_allowed_regions(found),
    )


def _read_allowed_regions(found: Mapping[str, Any]) -> frozenset[str]:
    regions = found.get('allowedRegions') or ()
    if isinstance(regions, str):
        raise FieldError(
            f'allowedRegions: found {show_value(regions)}; allowed: a list'
        )
    return frozenset(map(str, regions))


class _NumberReader:
    """Read numbers of one object of the configuration.

    A number out of its range is a fault of that object alone, which gets the
    default in its place.
    """

    def __init__(
        self, found: Mapping[str, Any], name: str, faults: list[str]
    ) -> None:
        self._found = found
        self._name = name
        self._faults = faults

    def read(
        self, field: str, default: float, allowed: tuple[float, float]
    ) -> float:
        """Return a number; raise one of MALFORMED if it is missing."""
        given = self._found[field]
        least, most = allowed
        try:
            number = float(given)
        except OverflowError:
            number = math.inf
        if least <= number <= most:
            return number
        self._faults.append(
            f'{self._name}: {field}: found {show_value(given)}; '
            f'allowed: a number from {least:g} to {most:g}'
        )
        return default

    def read_optional(
        self, field: str, default: float, allowed: tuple[float, float]
    ) -> float:
        """Return a number, the default if it is missing or empty."""
        if self._found.get(field) is None:
            return default
        return self.read(field, default, allowed)


def _make_shares(
    found: Mapping[str, Any], faults: list[str]
) -> tuple[Share, ...]:
    split = found.get('trafficSplit') or ()
    name = f'route {show_value(found["name"])}'
    if split:
        return tuple(
            Share(
                str(each['service']),
                _NumberReader(each, name, faults).read('weight', 0.0, _COUNTS),
            )
            for each in split
        )
    return (Share(str(found['service'])),)


def _make_service(found: Mapping[str, Any], faults: list[str]) -> ServiceTraits:
    engine = found.get('engine')
    reader = _NumberReader(
        found, f'service {show_value(found["name"])}', faults
    )
    cold_seconds = reader.read_optional('coldStartS', 0.0, _COUNTS)
    return ServiceTraits(
        name=str(found['name']),
        cold_duration=cold_seconds * SECOND,
        cold_rate=reader.read_optional('coldPerS', 0.0, _COUNTS),
        engine=_make_engine(engine) if engine else None,
        store=_make_store(found, faults) if found.get('kvStoreAddr') else None,
    )


def _make_engine(found: Mapping[str, Any]) -> EngineTraits:
    return EngineTraits(
        # The wire's `kvCapacity` is the memory of an engine or the capacity of
        # a store, in tokens.
        memory_tokens=int(_read_hint(found, 'kvCapacity')),
        token_bytes=_read_hint(found, 'kvTokenBytes'),
        link_mbps=_read_hint(found, 'linkMbps'),
        slots=int(_read_hint(found, 'slots')),
        stride=max(int(_read_hint(found, 'stride')), 1),
        backups=bool(found.get('backups', False)),
    )


def _read_hint(found: Mapping[str, Any], name: str) -> float:
    """Return a non-negative number, 0 if it is absent or malformed."""
    try:
        return read_number(found, name)
    except MALFORMED:
        return 0.0


def _make_store(
    found: Mapping[str, Any], faults: list[str]
) -> StoreTraits | None:
    """Return the traits of a context store, None at an odd address.

    It is then as one that is away: all else of the configuration is applied.
    """
    try:
        address = read_address(found, 'kvStoreAddr')
    except MALFORMED as error:
        faults.append(f'service {show_value(found["name"])}: {error}')
        return None
    return StoreTraits(
        address=address,
        data_centre=str(found.get('zone', '')),
        capacity_tokens=int(_read_hint(found, 'kvCapacity')),
        link_mbps=_read_hint(found, 'linkMbps'),
        is_managed=bool(found.get('managed', False)),
        first_delay=_read_hint(found, 'first_ms'),
    )


def _make_limits(found: Mapping[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    given = {'idleTimeoutMs': defaults.idle_timeout, **found}
    return CallerLimits(
        body_bytes=int(found.get('maxBodyBytes', defaults.body_bytes)),
        idle_timeout=read_number(given, 'idleTimeoutMs'),
    )


def _list_key_owners(
    teams: Iterable[Mapping[str, Any]], faults: list[str]
) -> Iterable[tuple[str, KeyOwner]]:
    for team in teams:
        priority = team.get('priority')
        owner = KeyOwner(
            team=_read_team(team, faults),
            is_isolated=bool(team.get('isolated', False)),
            priority=None if priority is None else int(priority),
            allowed_regions=_read_allowed_regions(team),
        )
        for key in team.get('apiKeys', ()):
            yield str(key), owner


def _read_team(found: Mapping[str, Any], faults: list[str]) -> str:
    """Return the name of a team, '' if no header can carry it."""
    name = str(found['name'])
    if _TEAM.fullmatch(name):
        return name
    faults.append(
        f'tenants: name: found {show_value(name)}; allowed: printable Latin-1'
    )
    return ''


def _check_server(server: str, data: bytes) -> None:
    """Check the key, size and nesting before the record is parsed."""
    if not _SERVER_ID.fullmatch(server):
        raise FieldError(
            f'key: found {show_value(server)}; '
            'allowed: printable ASCII without spaces and slashes'
        )
    if len(data) > _MAX_SERVER_BYTES:
        raise FieldError(
            f'found {len(data)} bytes; allowed: at most {_MAX_SERVER_BYTES}'
        )
    containers = data.count(b'[') + data.count(b'{')
    if containers > _MAX_SERVER_CONTAINERS:
        raise FieldError(
            f'found {containers} lists and objects; '
            f'allowed: at most {_MAX_SERVER_CONTAINERS}'
        )


def _make_server(server: str, found: Mapping[str, Any]) -> ServerRecord:
    """Read every field of a server's record, also those not used here.

    A record with a missing or mistyped field was not written by a backend
    server.
    """
    return ServerRecord(
        server=server,
        service=read_text(found, 'service'),
        address=read_address(found, 'address'),
        data_centre=read_text(found, 'zone'),
        is_leaving=_read_leaving(found),
        slots=read_integer(found, 'slots'),
        versions=_read_versions(found),
        # The wire's `seq` counts the records written since the server's start.
        revision=read_integer(found, 'seq'),
        born=decode_born(found),
        cold_remaining=read_number(found, 'coldRemainingMs'),
        software=read_text(found, 'version'),
    )


def _read_leaving(found: Mapping[str, Any]) -> bool:
    state = found['state']
    if state not in {_READY, _LEAVING}:
        raise FieldError(
            f'state: found {show_value(state)}; '
            f'allowed: {_READY!r}, {_LEAVING!r}'
        )
    return bool(state == _LEAVING)


def _read_versions(found: Mapping[str, Any]) -> dict[str, int]:
    """Return the version of each model that an engine holds.

    Other servers hold none. For an engine the list is required: without it,
    the engine would get requests for any version.
    """
    if 'models' not in found and 'stage' not in found:
        return {}
    read_text(found, 'stage')
    return {
        read_text(each, 'name'): read_integer(each, 'version')
        for each in read_objects(found, 'models')
    }
