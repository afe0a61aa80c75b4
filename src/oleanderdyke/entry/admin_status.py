"""Report the status of an entry, its agents and its services."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from oleanderdyke.clock import Millis
from oleanderdyke.entry.core import Core
from oleanderdyke.kernel.membership import AgentView, Condition
from oleanderdyke.kernel.objects import (
    ObjectKind,
    ServiceKind,
    ServiceSpec,
    StoredObject,
    Targets,
)
from oleanderdyke.kernel.targets import MissedTarget, TargetStatus
from oleanderdyke.links.messages import Load
from oleanderdyke.metrics import Count, Timing

_TIMINGS = (Timing.FIRST_TOKEN, Timing.BETWEEN_TOKENS)


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """Report the state of an agent in its latest heartbeat."""

    agent: str
    service: str
    backend: str
    data_centre: str
    address: str
    incarnation: str
    phase: str
    condition: str
    offset: int
    heard_ago: Millis
    model: str
    weight_version: str
    load: Load


@dataclass(frozen=True, slots=True)
class Reach:
    """Count the processes that applied an offset and name the others."""

    offset: int
    have: int
    total: int
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """Compare the targets of a service with the results at this entry.

    `standings` cover the last hour, all other values the lifetime of this
    process. `timings` are encoded histograms that can be merged with those
    of other entries; they and `missed_requests` are filled on request only.
    """

    service: str
    kind: str
    requests: int
    targets: Targets
    standings: tuple[TargetStatus, ...]
    prompt_tokens: int
    recomputed_tokens: int
    link_bytes: int
    refusals: Mapping[str, int]
    missed: int
    missed_requests: tuple[MissedTarget, ...]
    timings: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Report the state of one entry and its view of the agents."""

    process: str
    data_centre: str
    incarnation: str
    ready: bool
    reason: str
    offset: int
    skipped_records: int
    objects: Mapping[str, int]
    agents: tuple[AgentStatus, ...]
    services: tuple[ServiceStatus, ...]
    reach: Reach


def make_status(
    core: Core, offset: int | None = None, *, missed: int = 0
) -> EntryStatus:
    """Build the status; `reach` counts `offset`, by default the current one.

    `missed` is the number of requests to list for each missed target.
    """
    catalog, fault = core.catalog, core.find_fault()
    views = core.fleet.views()
    wanted = catalog.offset if offset is None else offset
    agents = (_make_agent(view, core.clock.now()) for view in views)
    services = catalog.list(ObjectKind.SERVICE)
    return EntryStatus(
        process=core.settings.process,
        data_centre=core.settings.data_centre,
        incarnation=core.incarnation,
        ready=not fault,
        reason=fault,
        offset=catalog.offset,
        skipped_records=catalog.skipped,
        objects={kind.value: catalog.count(kind) for kind in ObjectKind},
        agents=tuple(sorted(agents, key=lambda item: item.agent)),
        services=tuple(_measure_services(core, services, missed)),
        reach=_find_reach(core, views, wanted),
    )


def _find_reach(core: Core, views: Iterable[AgentView], offset: int) -> Reach:
    offsets = {core.settings.process: core.catalog.offset}
    for view in views:
        if view.condition is not Condition.DROPPED:
            offsets[view.replica.agent] = view.offset
    missing = sorted(name for name, known in offsets.items() if known < offset)
    have = len(offsets) - len(missing)
    return Reach(offset, have, len(offsets), tuple(missing))


def _make_agent(view: AgentView, now: Millis) -> AgentStatus:
    replica = view.replica
    return AgentStatus(
        agent=replica.agent,
        service=replica.service,
        backend=replica.backend.value,
        data_centre=replica.data_centre,
        address=replica.address,
        incarnation=replica.incarnation,
        phase=replica.phase.value,
        condition=view.condition.value,
        offset=view.offset,
        heard_ago=round(now - replica.heard),
        model=replica.model,
        weight_version=replica.weight_version,
        load=replica.load,
    )


def _measure_services(
    core: Core, services: Iterable[StoredObject], missed: int
) -> Iterable[ServiceStatus]:
    for stored in services:
        if isinstance(stored.spec, ServiceSpec):
            yield _measure_service(core, stored.name, stored.spec, missed)


def _measure_service(
    core: Core, name: str, spec: ServiceSpec, missed: int
) -> ServiceStatus:
    metrics, monitor = core.metrics, core.targets.get(name)
    model = spec.kind is ServiceKind.MODEL
    refusals = sorted((kind.value, n) for kind, n in monitor.refusals.items())
    timings = (
        (timing.value, metrics.encode_timing(timing, name))
        for timing in _TIMINGS
    )
    return ServiceStatus(
        service=name,
        kind=spec.kind.value,
        requests=int(metrics.read_count(Count.REQUESTS, name)),
        targets=spec.targets,
        standings=monitor.evaluate(spec.targets, core.clock.now())
        if model
        else (),
        prompt_tokens=int(metrics.read_count(Count.PROMPT_TOKENS, name)),
        recomputed_tokens=int(
            metrics.read_count(Count.RECOMPUTED_TOKENS, name)
        ),
        link_bytes=int(metrics.read_count(Count.LINK_BYTES, name)),
        refusals=dict(refusals),
        missed=int(metrics.read_count(Count.MISSED_TARGETS, name)),
        missed_requests=monitor.list_missed(missed) if missed else (),
        timings=dict(timings) if missed else {},
    )
