"""Define the objects that operators configure, and changes to them."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from oleanderdyke.clock import HOUR, SECOND, Millis

Labels: TypeAlias = Mapping[str, str]
_BODY_LIMIT = 8 * 1024 * 1024


class ObjectKind(enum.StrEnum):
    """List the kinds of configured objects."""

    SERVICE = 'service'
    TEAM = 'team'
    MODEL_VERSION = 'model_version'
    STORE = 'store'


class ServiceKind(enum.StrEnum):
    """Distinguish services of model engines from plain HTTP services."""

    MODEL = 'model'
    PLAIN = 'plain'


@dataclass(frozen=True, slots=True)
class Targets:
    """Hold the service-level targets of a service.

    95 in 100 requests must stay within `first_token` and `between_tokens`.
    `recomputed_share` bounds the share of all prompt tokens that engines
    compute rather than take from cached context.
    """

    first_token: Millis = 600.0
    between_tokens: Millis = 37.0
    recomputed_share: float = 0.5


@dataclass(frozen=True, slots=True)
class Limits:
    """Limit the use by one team; zero means no limit."""

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    concurrency: int = 0


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Describe a service and the objects it selects by label.

    An empty selector selects every object.
    """

    kind: ServiceKind
    labels: Labels = field(default_factory=dict)
    teams: Labels = field(default_factory=dict)
    stores: Labels = field(default_factory=dict)
    model: str = ''
    version: str = ''
    adapter: str = ''
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
    methods: tuple[str, ...] = (
        'GET',
        'HEAD',
        'OPTIONS',
        'POST',
        'PUT',
        'PATCH',
        'DELETE',
    )
    body_limit: int = _BODY_LIMIT
    deadline: Millis = 30 * SECOND
    horizon: Millis = 24 * HOUR
    checks_fencing: bool = False
    targets: Targets = field(default_factory=Targets)


@dataclass(frozen=True, slots=True)
class TeamSpec:
    """Describe a team, whose tokens are stored as hex SHA-256 digests only."""

    labels: Labels = field(default_factory=dict)
    token_hashes: tuple[str, ...] = ()
    admin_token_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True, slots=True)
class ModelVersionSpec:
    """Describe one set of weights, whose content the digest identifies."""

    model: str
    version: str
    digest: str
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StoreSpec:
    """Describe a store of KV cache segments."""

    labels: Labels = field(default_factory=dict)
    capacity_bytes: int = 0
    link_bytes_per_second: float = 0.0


Spec: TypeAlias = ServiceSpec | TeamSpec | ModelVersionSpec | StoreSpec

SPEC_TYPES: Mapping[ObjectKind, type[Spec]] = {
    ObjectKind.SERVICE: ServiceSpec,
    ObjectKind.TEAM: TeamSpec,
    ObjectKind.MODEL_VERSION: ModelVersionSpec,
    ObjectKind.STORE: StoreSpec,
}


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold a spec with its name and generation.

    A new object's generation is one above the highest generation of any
    deleted object, or 1 if nothing was ever deleted.
    """

    kind: ObjectKind
    name: str
    generation: int
    spec: Spec


@dataclass(frozen=True, slots=True)
class Change:
    """Request that one object be set, or deleted if `spec` is None.

    The change applies only if the object's generation equals `expected`; 0
    means that the object must not exist. `at` is the publisher's wall time.
    """

    record_id: str
    operator: str
    kind: ObjectKind
    name: str
    expected: int
    spec: Spec | None
    at: Millis = 0.0


def matches_selector(selector: Labels, labels: Labels) -> bool:
    """Return whether labels contain every pair of the selector."""
    return all(labels.get(key) == value for key, value in selector.items())
