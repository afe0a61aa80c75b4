"""Track the state of agents from their own heartbeats."""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Generic, NamedTuple, Protocol, TypeVar

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.kernel.demand import Replica, SegmentHint
from oleanderdyke.kernel.directory import Directory
from oleanderdyke.kernel.objects import (
    ObjectKind,
    ServiceSpec,
    matches_selector,
)
from oleanderdyke.links.messages import (
    AgentPhase,
    BackendKind,
    Heartbeat,
    Hello,
    Load,
)
from oleanderdyke.links.messages.segments import (
    SegmentEvents,
    SegmentListRequest,
)

# Bounds on memory: incarnations that have ended, and views of silent agents.
_ENDED_LIMIT = 4_096
_FORGOTTEN_LIMIT = 1_024
_NO_HEARTBEAT = -1


class VmView(Protocol):
    """Describe one row of the platform's VM list."""

    @property
    def address(self) -> str:
        """Return the `host:port` that the VM's process listens on."""

    @property
    def data_centre(self) -> str:
        """Return the name of the data centre that the VM runs in."""


class Condition(enum.StrEnum):
    """Classify an agent by the time since its last heartbeat."""

    HEARD = 'heard'
    SUSPECTED = 'suspected'
    DROPPED = 'dropped'


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Set the silence after which an agent is suspected, dropped, forgotten.

    Suspected agents get requests only if no other agent serves, dropped ones
    get none, and forgotten ones are removed from the fleet.
    """

    suspect_after: Millis = 3 * SECOND
    drop_after: Millis = 6 * SECOND
    forget_after: Millis = 60 * SECOND


@dataclass(frozen=True, slots=True)
class AgentView:
    """Hold an agent, the configuration offset it reported, its condition."""

    replica: Replica
    offset: int
    condition: Condition


VmT = TypeVar('VmT', bound=VmView)
ValueT = TypeVar('ValueT')


def choose_vms(vms: Iterable[VmT], data_centre: str) -> tuple[VmT, ...]:
    """Return the VMs to connect to, those of the own data centre first.

    The platform's list lags behind, so VMs that it shows as leaving are
    included: only the agent of a VM knows whether it is leaving.
    """
    unique = {vm.address: vm for vm in vms}
    return tuple(
        sorted(
            unique.values(),
            key=lambda vm: (vm.data_centre != data_centre, vm.address),
        )
    )


class _GroupKey(NamedTuple):
    service: str
    condition: Condition
    store: bool = False


class FleetState:
    """Hold the agents that an entry knows, grouped by service and condition."""

    def __init__(
        self,
        catalog: Catalog,
        settings: FleetSettings | None = None,
        directory: Directory | None = None,
    ) -> None:
        self._catalog = catalog
        self._settings = settings or FleetSettings()
        self._directory = Directory() if directory is None else directory
        self._agents: dict[str, AgentView] = {}
        self._addresses: dict[str, str] = {}
        self._groups: dict[_GroupKey, dict[str, Replica]] = {}
        self._last_tick_at: Millis = float('inf')
        self._ended_incarnations: _BoundedDict[None] = _BoundedDict(
            _ENDED_LIMIT
        )
        self._latest_incarnations: _BoundedDict[str] = _BoundedDict(
            _ENDED_LIMIT
        )
        self._forgotten: _BoundedDict[AgentView] = _BoundedDict(
            _FORGOTTEN_LIMIT
        )
        self._selected_stores: dict[str, tuple[str, ...]] = {}
        self._selected_at = catalog.offset

    def on_hello(self, hello: Hello, address: str, now: Millis) -> bool:
        """Register an agent at an address.

        Return False if a newer incarnation has replaced this one.
        """
        if (
            hello.backend is None
            or hello.incarnation in self._ended_incarnations
        ):
            return False
        known = self._agents.get(hello.process)
        self._end_older_incarnations(hello, address)
        if known is None or known.replica.incarnation != hello.incarnation:
            # The last reported state of a silent agent stays valid, so that
            # its return can't undo a LEAVING phase or accept old heartbeats.
            known = self._forgotten.pop(hello.incarnation) or _make_view(
                hello, hello.backend, address, now
            )
        self._addresses.pop(known.replica.address, None)
        self._addresses[address] = hello.process
        replica = replace(known.replica, address=address, heard=now)
        self._store_view(AgentView(replica, known.offset, Condition.HEARD))
        return True

    def on_heartbeat(self, agent: str, beat: Heartbeat, now: Millis) -> bool:
        """Apply a heartbeat.

        Return False if it is out of order, belongs to an incarnation that
        has ended, or omits values that were never received in full.
        """
        known = self._agents.get(agent) or self._find_forgotten(
            agent, beat.incarnation
        )
        if known is None or known.replica.incarnation != beat.incarnation:
            return False
        if beat.sequence <= known.replica.beat:
            return False
        omits_values = beat.same_load or beat.same_weights
        if omits_values and known.replica.beat == _NO_HEARTBEAT:
            # A short heartbeat omits unchanged values, but this process has
            # received no full heartbeat to take them from.
            return False
        replica = _apply_heartbeat(known.replica, beat, now)
        offset = max(known.offset, beat.offset)
        self._forgotten.pop(beat.incarnation)
        self._addresses[replica.address] = agent
        self._store_view(AgentView(replica, offset, Condition.HEARD))
        return True

    def on_segments(
        self, agent: str, incarnation: str, events: SegmentEvents, now: Millis
    ) -> SegmentListRequest | None:
        """Apply segment events; return the request to send back, if any."""
        known = self._agents.get(agent)
        if known is None or known.replica.incarnation != incarnation:
            return None
        return self._directory.apply_events(agent, events, now)

    def on_link_down(self, agent: str, incarnation: str) -> None:
        """Drop an agent until its next hello or heartbeat."""
        known = self._agents.get(agent)
        if known is not None and known.replica.incarnation == incarnation:
            self._store_view(replace(known, condition=Condition.DROPPED))

    def tick(self, now: Millis) -> None:
        """Suspect, drop and forget silent agents; call it regularly.

        The first call after a pause of this process changes no agent's
        condition, since heartbeats sent during the pause are still unread.
        """
        paused = now - self._last_tick_at > self._settings.suspect_after
        self._last_tick_at = now
        if not paused:
            for view in tuple(self._agents.values()):
                self._update_condition(view, now - view.replica.heard)
        self._directory.sweep()

    def replicas(self, service: str) -> Sequence[Replica]:
        """Return the serving agents of a service, sorted by name.

        Suspected agents are returned only if no other agent serves.
        """
        active = self._groups.get(_GroupKey(service, Condition.HEARD))
        if active:
            return tuple(active.values())
        suspected = self._groups.get(
            _GroupKey(service, Condition.SUSPECTED), {}
        )
        return tuple(suspected.values())

    def stores(self, service: str) -> Sequence[Replica]:
        """Return the serving agents of the stores that a service selects."""
        names = self._select_stores(service)
        for condition in (Condition.HEARD, Condition.SUSPECTED):
            keys = (_GroupKey(name, condition, store=True) for name in names)
            groups = (self._groups.get(key, {}) for key in keys)
            found = tuple(item for group in groups for item in group.values())
            if found:
                return found
        return ()

    def find(self, agent: str) -> Replica | None:
        """Return an agent by its process name."""
        view = self._agents.get(agent)
        return None if view is None else view.replica

    def find_view(self, agent: str) -> AgentView | None:
        """Return an agent with its configuration offset and condition."""
        return self._agents.get(agent)

    def views(self) -> tuple[AgentView, ...]:
        """Return every known agent, including silent and leaving ones."""
        return tuple(self._agents.values())

    def count_leading(
        self, agent: str, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the consecutive segments from `start` that an agent holds."""
        return self._directory.count_leading(agent, segments, start)

    def holders(self, segment: SegmentHint) -> Sequence[str]:
        """Return the process names of the agents that hold a segment."""
        return self._directory.holders(segment)

    def _store_view(self, view: AgentView) -> None:
        replica = view.replica
        serving = replica.phase is AgentPhase.SERVING
        key = _make_group_key(view)
        group = self._groups.get(key, {})
        if serving and replica.agent in group:
            # Update in place: heartbeats must not change the order.
            group[replica.agent] = replica
            self._agents[replica.agent] = view
            return
        self._remove_from_group(replica.agent)
        self._agents[replica.agent] = view
        if serving:
            members = self._groups.get(key, {}) | {replica.agent: replica}
            self._groups[key] = dict(sorted(members.items()))

    def _remove_from_group(self, agent: str) -> None:
        view = self._agents.get(agent)
        if view is None:
            return
        key = _make_group_key(view)
        group = self._groups.get(key, {})
        group.pop(agent, None)
        if not group:
            self._groups.pop(key, None)

    def _update_condition(self, view: AgentView, silence: Millis) -> None:
        if silence > self._settings.forget_after:
            self._forgotten.add(view.replica.incarnation, view)
            self._forget(view.replica.agent)
            return
        condition = self._find_condition(silence)
        if _is_later(condition, view.condition):
            self._store_view(replace(view, condition=condition))

    def _find_condition(self, silence: Millis) -> Condition:
        if silence > self._settings.drop_after:
            return Condition.DROPPED
        if silence > self._settings.suspect_after:
            return Condition.SUSPECTED
        return Condition.HEARD

    def _end_older_incarnations(self, hello: Hello, address: str) -> None:
        for agent in (hello.process, self._addresses.get(address, '')):
            view = self._agents.get(agent)
            if view and view.replica.incarnation != hello.incarnation:
                self._forget(agent)
        # These records are kept after the views of silent agents are removed,
        # so that an older incarnation can't register again.
        for key in (f'agent {hello.process}', f'address {address}'):
            old = self._latest_incarnations.get(key)
            if old is not None and old != hello.incarnation:
                self._ended_incarnations.add(old, None)
            self._latest_incarnations.add(key, hello.incarnation)

    def _find_forgotten(self, agent: str, incarnation: str) -> AgentView | None:
        """Return a forgotten agent that sends again on its old link."""
        view = self._forgotten.get(incarnation)
        if view is None or incarnation in self._ended_incarnations:
            return None
        return view if view.replica.agent == agent else None

    def _forget(self, agent: str) -> None:
        self._remove_from_group(agent)
        address = self._agents.pop(agent).replica.address
        if self._addresses.get(address) == agent:
            del self._addresses[address]
        self._directory.remove_agent(agent)

    def _select_stores(self, service: str) -> tuple[str, ...]:
        if self._selected_at != self._catalog.offset:
            self._selected_stores.clear()
            self._selected_at = self._catalog.offset
        if service not in self._selected_stores:
            self._selected_stores[service] = _find_stores(
                self._catalog, service
            )
        return self._selected_stores[service]


class _BoundedDict(Generic[ValueT]):
    """Map strings to values, evicting the oldest entry over the limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._items: OrderedDict[str, ValueT] = OrderedDict()

    def __contains__(self, key: str) -> bool:
        return key in self._items

    def get(self, key: str) -> ValueT | None:
        """Return the value of a key without changing its age."""
        return self._items.get(key)

    def pop(self, key: str) -> ValueT | None:
        """Remove a key and return its value, or None."""
        return self._items.pop(key, None)

    def add(self, key: str, value: ValueT) -> None:
        """Set a key as the newest entry, evicting the oldest if needed."""
        self._items[key] = value
        self._items.move_to_end(key)
        while len(self._items) > self._limit:
            self._items.popitem(last=False)


def _make_group_key(view: AgentView) -> _GroupKey:
    replica = view.replica
    store = replica.backend is BackendKind.STORE
    return _GroupKey(replica.service, view.condition, store=store)


def _is_later(condition: Condition, other: Condition) -> bool:
    order = list(Condition)
    return order.index(condition) > order.index(other)


def _make_view(
    hello: Hello, backend: BackendKind, address: str, now: Millis
) -> AgentView:
    replica = Replica(
        agent=hello.process,
        address=address,
        incarnation=hello.incarnation,
        backend=backend,
        service=hello.service,
        data_centre=hello.data_centre,
        phase=AgentPhase.STARTING,
        load=Load(),
        beat=_NO_HEARTBEAT,
        heard=now,
    )
    return AgentView(replica, hello.offset, Condition.HEARD)


def _apply_heartbeat(known: Replica, beat: Heartbeat, now: Millis) -> Replica:
    leaving = known.phase is AgentPhase.LEAVING
    updated = replace(
        known,
        phase=AgentPhase.LEAVING if leaving else beat.phase,
        load=known.load if beat.same_load else beat.load,
        beat=beat.sequence,
        heard=now,
    )
    if beat.same_weights:
        return updated
    return replace(
        updated,
        model=beat.model,
        weight_version=beat.weight_version,
        weight_digest=beat.weight_digest,
        adapter=beat.adapter,
    )


def _find_stores(catalog: Catalog, service: str) -> tuple[str, ...]:
    stored = catalog.get(ObjectKind.SERVICE, service)
    if stored is None or not isinstance(stored.spec, ServiceSpec):
        return ()
    selector = stored.spec.stores
    return tuple(
        store.name
        for store in catalog.list(ObjectKind.STORE)
        if matches_selector(selector, store.spec.labels)
    )
