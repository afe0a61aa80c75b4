"""Turn a caller's request into a call of a service."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from oleanderdyke.clock import Millis
from oleanderdyke.entry.edge import Head
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.context_stores import ContextStores, Salt
from oleanderdyke.kernel.deployment import Deployment, KeyOwner, Route, Share
from oleanderdyke.kernel.overload import (
    LATE_RANK,
    RequestAge,
    find_request_age,
)
from oleanderdyke.kernel.placement import CallDemand
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.kernel.weight_versions import FIRST_TOKEN_MARGIN
from oleanderdyke.links.messages import Headers
from oleanderdyke.platform.requests import CallerRequest, decode_request

# No region has this name.
_NOWHERE = frozenset({''})
_MOST_URGENT = 0
_LEAST_URGENT = 9
# Long enough for a store that answers in milliseconds to have told the
# configuration or the list of servers to an entry that has just started.
_START_PAUSE: Millis = 400.0


@dataclass(frozen=True, slots=True)
class HostedCall:
    """Hold one call and what the configuration says of it.

    `owner` is None where the route needs no key. `deadline` is a moment on
    the entry's clock.
    """

    request: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    asked: CallerRequest
    route: Route
    service: str
    owner: KeyOwner | None
    started: Millis
    deadline: Millis

    @property
    def team(self) -> str:
        """Return the team that the caller's key belongs to."""
        return '' if self.owner is None else self.owner.team

    @property
    def priority(self) -> int:
        """Return the rank among the requests of an engine; 0 is first."""
        owner = self.owner
        rank = self.route.priority
        if owner is not None and owner.priority is not None:
            rank = owner.priority
        if self.age.is_late:
            rank = LATE_RANK
        return min(max(rank, _MOST_URGENT), _LEAST_URGENT)

    @property
    def homes(self) -> frozenset[str]:
        """Return the regions where the call may run; none means all."""
        route = self.route.allowed_regions
        owner = (
            frozenset() if self.owner is None else self.owner.allowed_regions
        )
        if not route or not owner:
            return route or owner
        return route & owner or _NOWHERE

    @property
    def age(self) -> RequestAge:
        """Return how long the caller has waited before this try."""
        route = self.route
        return find_request_age(self.asked.wait, route.timeout, route.target)


@dataclass(frozen=True, slots=True)
class Permit:
    """Hold what the head of a request is allowed."""

    asked: CallerRequest
    route: Route
    owner: KeyOwner | None


def find_permit(core: HostedCore, head: Head) -> Permit:
    """Find the route and the team; raise OleanderError.

    What may only be missing because this entry is behind is answered by
    NOT_READY, which promises that nothing ran.
    """
    deployment = core.deployment
    if deployment is None:
        raise make_not_ready('no configuration yet')
    asked = decode_request(head.headers)
    host = (head.find('host') or '').lower()
    route = deployment.find_route(host, head.target)
    if route is None:
        raise _deny(core, ErrorKind.NOT_FOUND, 'no route leads there')
    owner = _find_owner(core, deployment, route, asked)
    return Permit(asked, route, owner)


def make_call(
    core: HostedCore,
    head: Head,
    permit: Permit,
    *,
    body: bytes,
    started: Millis,
) -> HostedCall:
    """Build the call that a permitted request asks for."""
    asked, route = permit.asked, permit.route
    wait = route.timeout if asked.wait is None else asked.wait
    target = f'{head.target}?{head.query}' if head.query else head.target
    return HostedCall(
        request=asked.request,
        method=head.method,
        target=target,
        host=head.find('host') or '',
        headers=head.headers,
        body=body,
        asked=asked,
        route=route,
        service=_choose_service(route.shares, core.random),
        owner=permit.owner,
        started=started,
        deadline=started + min(wait, route.timeout),
    )


def make_demand(
    core: HostedCore,
    call: HostedCall,
    listed: Sequence[Backend],
    excluded: frozenset[ServerStart],
) -> CallDemand:
    """Describe a call for the choice of one of the listed servers."""
    model = call.asked.demand
    newest = (
        0 if model is None else core.rollout.weights.find_newest(model.model)
    )
    now = core.clock.now()
    turns = core.rollout.queue.find_turns(now)
    held = _list_held(call, listed)
    return CallDemand(
        service=call.service,
        data_centre=core.settings.data_centre,
        model=model,
        rank=call.priority,
        newest_version=newest or None,
        random_value=core.random.random(),
        outdated=_list_outdated(core, call, held),
        fetchable=_count_fetchable(core, call, held),
        blocked=core.limits.find_blocked(listed, call.homes, now),
        excluded=excluded,
        loading=frozenset(turns.busy),
        draining=frozenset(turns.following),
        memory_tokens=_find_memory(core, call),
    )


def _list_held(
    call: HostedCall, listed: Iterable[Backend]
) -> frozenset[int | None]:
    """Return the versions that engines hold, None where one isn't told."""
    model = call.asked.demand
    if model is None:
        return frozenset()
    return frozenset(
        backend.record.versions.get(model.model) for backend in listed
    )


def _list_outdated(
    core: HostedCore, call: HostedCall, held: frozenset[int | None]
) -> frozenset[int | None]:
    """Return the versions that listed engines hold and none may begin on."""
    model = call.asked.demand
    if model is None:
        return frozenset()
    return frozenset(
        version
        for version in held
        if not core.may_serve(model.model, version, FIRST_TOKEN_MARGIN)
    )


def _find_memory(core: HostedCore, call: HostedCall) -> int:
    deployment = core.deployment
    if deployment is None:
        return 0
    return deployment.find_memory_tokens(call.service) or 0


def _count_fetchable(
    core: HostedCore, call: HostedCall, held: frozenset[int | None]
) -> dict[int, int]:
    model = call.asked.demand
    if model is None or not model.parts:
        return {}
    now = core.clock.now()
    return {
        version: find_contexts(core, call).count_available(
            make_salt(call, version), model.parts[:-1], now
        )
        for version in held
        if version is not None
    }


def find_contexts(core: HostedCore, call: HostedCall) -> ContextStores:
    """Return the stores where context of a call may be kept."""
    if not call.homes:
        return core.contexts
    return core.contexts.restrict(core.limits.list_data_centres(call.homes))


def make_salt(call: HostedCall, version: int | None) -> str:
    """Return the text under which kept context may be shared.

    Context of other weights, or of another team where one is isolated, is
    under another text, so that no engine or store can find it.
    """
    owner, demand = call.owner, call.asked.demand
    if demand is None or version is None:
        return ''
    team = owner.team if owner is not None and owner.is_isolated else ''
    return Salt(demand.model, version, team).encode()


def make_not_ready(reason: str) -> OleanderError:
    """Return the refusal of an entry that knows too little yet."""
    return OleanderError(
        ErrorKind.NOT_READY, reason, ran=Ran.NO, retry_after=_START_PAUSE
    )


def _find_owner(
    core: HostedCore,
    deployment: Deployment,
    route: Route,
    asked: CallerRequest,
) -> KeyOwner | None:
    if not deployment.needs_key(route):
        return None
    owner = deployment.key_owners.get(asked.api_key)
    if owner is None:
        raise _deny(core, ErrorKind.UNAUTHENTICATED, 'the key is not known')
    return owner


def _deny(core: HostedCore, kind: ErrorKind, reason: str) -> OleanderError:
    if core.is_stale:
        return make_not_ready(f'{reason}, but the configuration may be old')
    return OleanderError(kind, reason, ran=Ran.NO)


def _choose_service(shares: tuple[Share, ...], random: Random) -> str:
    weights = [share.weight for share in shares]
    if len(shares) == 1 or not sum(weights):
        return shares[0].service
    return random.choices(shares, weights)[0].service
