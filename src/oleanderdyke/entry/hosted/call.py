"""Authorize a caller's request and turn it into a call of a service."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import TYPE_CHECKING

from oleanderdyke.clock import Millis
from oleanderdyke.entry.edge import Head
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.context_stores import ContextStores, Salt
from oleanderdyke.kernel.deployment import (
    CallKind,
    Deployment,
    KeyOwner,
    Route,
    Share,
)
from oleanderdyke.kernel.scheduling.overload import (
    LATE_RANK,
    RequestAge,
    find_request_age,
)
from oleanderdyke.kernel.scheduling.placement import CallDemand
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.kernel.weight_versions import FIRST_TOKEN_MARGIN
from oleanderdyke.links.messages import Headers
from oleanderdyke.platform.requests import CallerRequest, decode_request

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.stream_pin import StreamPin

# A region name that matches no server, as an empty set would mean "anywhere".
_NO_REGIONS = frozenset({''})
_HIGHEST_PRIORITY = 0
_LOWEST_PRIORITY = 9
# The store answers within milliseconds, so an entry that has just started has
# read its configuration and server list by the time the caller retries.
_START_RETRY_DELAY: Millis = 400.0


@dataclass(frozen=True, slots=True)
class HostedCall:
    """A call of a service with its route and caller.

    `owner` is None if the route needs no API key. `started` and `deadline` are
    times on the entry's clock. `rank` is set where calls are scheduled.
    """

    request: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    parameters: CallerRequest
    route: Route
    service: str
    owner: KeyOwner | None
    started: Millis
    deadline: Millis
    rank: int | None = None

    @property
    def team(self) -> str:
        """Return the team that owns the API key, '' without a key."""
        return '' if self.owner is None else self.owner.team

    @property
    def priority(self) -> int:
        """Return the scheduling priority at the engine; 0 is the highest."""
        owner = self.owner
        rank = self.route.priority
        if owner is not None and owner.priority is not None:
            rank = owner.priority
        if self.rank is not None:
            rank = self.rank
        if self.age.is_late:
            rank = LATE_RANK
        return min(max(rank, _HIGHEST_PRIORITY), _LOWEST_PRIORITY)

    @property
    def goes_on(self) -> bool:
        """Return whether the caller has the beginning of a stream.

        Its route may have been resumable as the stream began, and not be now.
        """
        is_stream = self.route.kind is CallKind.STREAM
        return is_stream and bool(self.parameters.last_event)

    @property
    def regions(self) -> frozenset[str]:
        """Return the regions where the call may run; empty means any."""
        route = self.route.allowed_regions
        owner = (
            frozenset() if self.owner is None else self.owner.allowed_regions
        )
        if not route or not owner:
            return route or owner
        return route & owner or _NO_REGIONS

    @property
    def age(self) -> RequestAge:
        """Return how long the caller has waited across its retries."""
        route = self.route
        return find_request_age(
            self.parameters.wait, route.timeout, route.target
        )


@dataclass(frozen=True, slots=True)
class AuthorizedRequest:
    """The route and owner found for a request head, before its body."""

    parameters: CallerRequest
    route: Route
    owner: KeyOwner | None

    @property
    def team(self) -> str:
        """Return the team that owns the API key, '' without a key."""
        return '' if self.owner is None else self.owner.team

    def find_deadline(self, started: Millis) -> Millis:
        """Return when the request ends at the latest, answered or not."""
        wait = self.parameters.wait
        if wait is None:
            return started + self.route.timeout
        return started + min(wait, self.route.timeout)


def authorize_request(core: HostedCore, head: Head) -> AuthorizedRequest:
    """Find the route and the key's owner; raise OleanderError if denied.

    A route or key that may only be missing because the configuration is stale
    is refused with NOT_READY, which lets the caller retry safely.
    """
    deployment = core.deployment
    if deployment is None:
        raise make_not_ready_error('no configuration yet')
    parameters = decode_request(head.headers)
    host = (head.find('host') or '').lower()
    route = deployment.find_route(host, head.target)
    if route is None:
        raise _make_denial(
            core, ErrorKind.NOT_FOUND, 'no route matches host and path'
        )
    owner = _find_owner(core, deployment, route, parameters)
    return AuthorizedRequest(parameters, route, owner)


def make_call(
    core: HostedCore,
    head: Head,
    authorized: AuthorizedRequest,
    *,
    body: bytes,
    started: Millis,
) -> HostedCall:
    """Build the call of an authorized request, choosing its service."""
    parameters, route = authorized.parameters, authorized.route
    target = f'{head.target}?{head.query}' if head.query else head.target
    call = HostedCall(
        request=parameters.request,
        method=head.method,
        target=target,
        host=head.find('host') or '',
        headers=head.headers,
        body=body,
        parameters=parameters,
        route=route,
        service=_choose_service(core, authorized),
        owner=authorized.owner,
        started=started,
        deadline=authorized.find_deadline(started),
    )
    return replace(call, rank=core.scheduling.find_rank(call))


def make_demand(
    core: HostedCore,
    call: HostedCall,
    listed: Sequence[Backend],
    excluded: frozenset[ServerStart],
    pin: StreamPin | None,
) -> CallDemand:
    """Describe what a call requires of the listed servers."""
    demand = call.parameters.demand
    newest = (
        0 if demand is None else core.rollout.weights.find_newest(demand.model)
    )
    now = core.clock.now()
    turns = core.rollout.queue.find_turns(now)
    held = _list_held_versions(call, listed)
    return CallDemand(
        service=call.service,
        data_centre=core.settings.data_centre,
        model=demand,
        rank=call.priority,
        newest_version=newest or None,
        random_value=core.random.random(),
        outdated=_list_outdated_versions(core, call, held),
        fetchable=_count_fetchable_tokens(core, call, held),
        blocked=core.limits.find_blocked(listed, call.regions, now),
        excluded=excluded,
        loading=frozenset(turns.busy),
        draining=frozenset(turns.following),
        software=None if pin is None else pin.software,
        settling=frozenset() if pin is None else pin.find_settling(now),
        memory_tokens=_find_memory(core, call),
        costs=core.scheduling.find_costs(call),
    )


def _list_held_versions(
    call: HostedCall, listed: Iterable[Backend]
) -> frozenset[int | None]:
    """Return the weight versions engines hold; None for an unknown one."""
    demand = call.parameters.demand
    if demand is None:
        return frozenset()
    return frozenset(
        backend.record.versions.get(demand.model) for backend in listed
    )


def _list_outdated_versions(
    core: HostedCore, call: HostedCall, held: frozenset[int | None]
) -> frozenset[int | None]:
    """Return the held versions that requests may no longer start on."""
    demand = call.parameters.demand
    if demand is None:
        return frozenset()
    return frozenset(
        version
        for version in held
        if not core.may_serve(demand.model, version, FIRST_TOKEN_MARGIN)
    )


def _find_memory(core: HostedCore, call: HostedCall) -> int:
    deployment = core.deployment
    if deployment is None:
        return 0
    return deployment.find_memory_tokens(call.service) or 0


def _count_fetchable_tokens(
    core: HostedCore, call: HostedCall, held: frozenset[int | None]
) -> dict[int, int]:
    demand = call.parameters.demand
    if demand is None or not demand.parts:
        return {}
    now = core.clock.now()
    return {
        version: find_context_stores(core, call).count_available(
            make_salt(call, version), demand.parts[:-1], now
        )
        for version in held
        if version is not None
    }


def find_context_stores(core: HostedCore, call: HostedCall) -> ContextStores:
    """Return the context stores within the regions of a call."""
    if not call.regions:
        return core.contexts
    return core.contexts.restrict(core.limits.list_data_centres(call.regions))


def make_salt(call: HostedCall, version: int | None) -> str:
    """Return the cache salt, which limits with whom context is shared.

    The salt differs by model, weight version and, for isolated teams, by team,
    so engines and stores never match context across them. It is '' if no
    context may be shared.
    """
    owner, demand = call.owner, call.parameters.demand
    if demand is None or version is None:
        return ''
    team = owner.team if owner is not None and owner.is_isolated else ''
    return Salt(demand.model, version, team).encode()


def make_not_ready_error(reason: str) -> OleanderError:
    """Build the refusal of an entry whose state is missing or stale."""
    return OleanderError(
        ErrorKind.NOT_READY, reason, ran=Ran.NO, retry_after=_START_RETRY_DELAY
    )


def _find_owner(
    core: HostedCore,
    deployment: Deployment,
    route: Route,
    parameters: CallerRequest,
) -> KeyOwner | None:
    if not deployment.needs_key(route):
        return None
    owner = deployment.key_owners.get(parameters.api_key)
    if owner is None:
        raise _make_denial(core, ErrorKind.UNAUTHENTICATED, 'unknown API key')
    if not owner.team:
        raise make_not_ready_error('the name of the team cannot be sent')
    return owner


def _make_denial(
    core: HostedCore, kind: ErrorKind, reason: str
) -> OleanderError:
    if core.is_stale:
        return make_not_ready_error(
            f'{reason}, but the configuration may be stale'
        )
    return OleanderError(kind, reason, ran=Ran.NO)


def _choose_service(core: HostedCore, authorized: AuthorizedRequest) -> str:
    """Return the service of a call; a stream stays at that which began it."""
    shares = authorized.route.shares
    if authorized.route.is_resumable:
        origin = core.peers.find_origin(
            authorized.team, authorized.parameters.resumes
        )
        for share in shares:
            if origin and share.service == origin.service and share.weight > 0:
                return origin.service
    return _draw_service(shares, core.random)


def _draw_service(shares: tuple[Share, ...], random: Random) -> str:
    weights = [share.weight for share in shares]
    if len(shares) == 1 or not sum(weights):
        return shares[0].service
    return random.choices(shares, weights)[0].service
