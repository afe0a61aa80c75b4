"""Describe an entry, the agents it knows and what its services owe."""

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
from oleanderdyke.links.messages import Load
from oleanderdyke.metrics import Count, Timing

_SHARE = 95.0


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """Show an agent as this entry last heard of it; ages are in ms."""

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
    """Count the processes that have an offset, and name the others."""

    offset: int
    have: int
    total: int
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """Compare what a service owes with what this entry measured."""

    service: str
    requests: int
    targets: Targets
    measured: Targets
    link_bytes: int
    missed: int
    missed_targets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Show one entry and all that it knows."""

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


def make_status(core: Core, offset: int | None = None) -> EntryStatus:
    """Build the status; `reach` is for an offset, else for the present one."""
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
        services=tuple(_measure_services(core, services)),
        reach=_find_reach(core, views, wanted),
    )


def _find_reach(core: Core, views: Iterable[AgentView], offset: int) -> Reach:
    offsets = {core.settings.process: core.catalog.offset}
    for view in views:
        if view.condition is not Condition.DROPPED:
            offsets[view.replica.agent] = view.offset
    missing = sorted(name for name, has in offsets.items() if has < offset)
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
    core: Core, services: Iterable[StoredObject]
) -> Iterable[ServiceStatus]:
    for stored in services:
        if isinstance(stored.spec, ServiceSpec):
            yield _measure_service(core, stored.name, stored.spec)


def _measure_service(core: Core, name: str, spec: ServiceSpec) -> ServiceStatus:
    metrics = core.metrics
    prompt = metrics.read_count(Count.PROMPT_TOKENS, name)
    recomputed = metrics.read_count(Count.RECOMPUTED_TOKENS, name)
    measured = Targets(
        metrics.read_quantile(Timing.FIRST_TOKEN, _SHARE, name),
        metrics.read_quantile(Timing.BETWEEN_TOKENS, _SHARE, name),
        recomputed / prompt if prompt else 0.0,
    )
    return ServiceStatus(
        service=name,
        requests=int(metrics.read_count(Count.REQUESTS, name)),
        targets=spec.targets,
        measured=measured,
        link_bytes=int(metrics.read_count(Count.LINK_BYTES, name)),
        missed=int(metrics.read_count(Count.MISSED_TARGETS, name)),
        missed_targets=_find_missed(spec, measured),
    )


def _find_missed(spec: ServiceSpec, measured: Targets) -> tuple[str, ...]:
    if spec.kind is not ServiceKind.MODEL:
        return ()
    targets = spec.targets
    missed = {
        'first_token': measured.first_token > targets.first_token,
        'between_tokens': measured.between_tokens > targets.between_tokens,
        'recomputed_share': measured.recomputed_share
        > targets.recomputed_share,
    }
    return tuple(name for name, is_missed in missed.items() if is_missed)
