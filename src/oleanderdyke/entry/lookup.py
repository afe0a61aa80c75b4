"""Look up the team and the service of a request."""

from __future__ import annotations

from oleanderdyke.entry.calls import Target
from oleanderdyke.entry.core import Core
from oleanderdyke.entry.edge import (
    Head,
    hash_token,
    make_not_found,
    make_unauthenticated,
)
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.objects import (
    ModelVersionSpec,
    ObjectKind,
    ServiceKind,
    ServiceSpec,
    StoredObject,
    matches_selector,
)


def find_team(core: Core, head: Head) -> StoredObject:
    """Return the team that owns the bearer token; raise UNAUTHENTICATED."""
    found = core.catalog.find_team(hash_token(head))
    if found is None:
        raise make_unauthenticated()
    return found


def find_model_service(core: Core, team: StoredObject, name: str) -> Target:
    """Return a model service by service or model name; raise NOT_FOUND."""
    found = _find(core, team, name, ServiceKind.MODEL)
    if found is not None:
        return found
    for stored in core.catalog.list(ObjectKind.SERVICE):
        target = _match_service(stored, team, ServiceKind.MODEL)
        if target is not None and target.spec.model == name:
            return target
    raise make_not_found()


def find_plain_service(core: Core, team: StoredObject, name: str) -> Target:
    """Return a plain service by name; raise NOT_FOUND."""
    found = _find(core, team, name, ServiceKind.PLAIN)
    if found is None:
        raise make_not_found()
    return found


def find_weights(core: Core, target: Target) -> ModelVersionSpec:
    """Return the model version of a service; raise NO_REPLICA."""
    spec = target.spec
    for stored in core.catalog.list(ObjectKind.MODEL_VERSION):
        weights = stored.spec
        if not isinstance(weights, ModelVersionSpec):
            continue
        if (weights.model, weights.version) == (spec.model, spec.version):
            return weights
    raise OleanderError(
        ErrorKind.NO_REPLICA,
        'the model version of this service is not configured',
        ran=Ran.NO,
    )


def _find(
    core: Core, team: StoredObject, name: str, kind: ServiceKind
) -> Target | None:
    stored = core.catalog.get(ObjectKind.SERVICE, name)
    return None if stored is None else _match_service(stored, team, kind)


def _match_service(
    stored: StoredObject, team: StoredObject, kind: ServiceKind
) -> Target | None:
    spec = stored.spec
    if not isinstance(spec, ServiceSpec) or spec.kind is not kind:
        return None
    if not matches_selector(spec.teams, team.spec.labels):
        return None
    return Target(team.name, stored.name, spec)
