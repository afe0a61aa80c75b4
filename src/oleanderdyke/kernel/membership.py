"""Know the agents by their own heartbeats."""

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

_ENDED_COUNT = 4_096
_SILENT_COUNT = 1_024
_NO_BEAT = -1


class VmView(Protocol):
    """See one row of the platform's VM list."""

    @property
    def address(self) -> str:
        """Return where its process listens."""

    @property
    def data_centre(self) -> str:
        """Return where it stands."""


class Condition(enum.StrEnum):
    """Name what this process makes of an agent's silence."""

    HEARD = 'heard'
    SUSPECTED = 'suspected'
    DROPPED = 'dropped'


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Say when a silent agent is suspected, dropped and forgotten."""

    suspect_after: Millis = 3 * SECOND
    drop_after: Millis = 6 * SECOND
    forget_after: Millis = 60 * SECOND


@dataclass(frozen=True, slots=True)
class AgentView:
    """Show an agent, its configuration offset and its condition."""

    replica: Replica
    offset: int
    condition: Condition


VmT = TypeVar('VmT', bound=VmView)
ValueT = TypeVar('ValueT')


def choose_vms(vms: Iterable[VmT], data_centre: str) -> tuple[VmT, ...]:
    """Choose which VMs to connect to, those of one's own data centre first.

    The list is a hint and lags: leaving VMs are chosen too, as only their
    agents know whether they leave.
    """
    unique = {vm.address: vm for vm in vms}
    return tuple(
        sorted(
            unique.values(),
            key=lambda vm: (vm.data_centre != data_centre, vm.address),
        )
    )


class _Place(NamedTuple):
    service: str
    condition: Condition
    store: bool = False


class FleetState:
    """Answer what an entry knows about the agents."""

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
        self._placed: dict[_Place, dict[str, Replica]] = {}
        self._ticked_at: Millis = float('inf')
        self._ended: _Remembered[None] = _Remembered(_ENDED_COUNT)
        self._latest: _Remembered[str] = _Remembered(_ENDED_COUNT)
        self._silent: _Remembered[AgentView] = _Remembered(_SILENT_COUNT)
        self._selected: dict[str, tuple[str, ...]] = {}
        self._selected_at = catalog.offset

    def on_hello(self, hello: Hello, address: str, now: Millis) -> bool:
        """Take an agent's hello; False where its incarnation has ended."""
        if hello.backend is None or hello.incarnation in self._ended:
            return False
        known = self._agents.get(hello.process)
        self._end_others(hello, address)
        if known is None or known.replica.incarnation != hello.incarnation:
            # What a silent agent said last still holds when it is back.
            known = self._silent.pop(hello.incarnation) or _make_view(
                hello, hello.backend, address, now
            )
        self._addresses.pop(known.replica.address, None)
        self._addresses[address] = hello.process
        replica = replace(known.replica, address=address, heard=now)
        self._place(AgentView(replica, known.offset, Condition.HEARD))
        return True

    def on_heartbeat(self, agent: str, beat: Heartbeat, now: Millis) -> bool:
        """Take a heartbeat; False where it is old or of an ended one."""
        known = self._agents.get(agent) or self._recall(agent, beat.incarnation)
        if known is None or known.replica.incarnation != beat.incarnation:
            return False
        if beat.sequence <= known.replica.beat:
            return False
        short = beat.same_load or beat.same_weights
        if short and known.replica.beat == _NO_BEAT:
            # It leaves out what was told before, and nothing was told here.
            return False
        replica = _update(known.replica, beat, now)
        offset = max(known.offset, beat.offset)
        self._silent.pop(beat.incarnation)
        self._addresses[replica.address] = agent
        self._place(AgentView(replica, offset, Condition.HEARD))
        return True

    def on_segments(
        self, agent: str, incarnation: str, events: SegmentEvents, now: Millis
    ) -> SegmentListRequest | None:
        """Take segment events; return what to ask the agent, if anything."""
        known = self._agents.get(agent)
        if known is None or known.replica.incarnation != incarnation:
            return None
        return self._directory.apply_events(agent, events, now)

    def on_link_down(self, agent: str, incarnation: str) -> None:
        """Take an agent out until it says hello again."""
        known = self._agents.get(agent)
        if known is not None and known.replica.incarnation == incarnation:
            self._place(replace(known, condition=Condition.DROPPED))

    def tick(self, now: Millis) -> None:
        """Suspect, drop and forget silent agents; call it regularly.

        After a pause of this process itself nobody is judged: what the agents
        sent meanwhile has not been read yet.
        """
        paused = now - self._ticked_at > self._settings.suspect_after
        self._ticked_at = now
        if not paused:
            for view in tuple(self._agents.values()):
                self._judge(view, now - view.replica.heard)
        self._directory.sweep()

    def replicas(self, service: str) -> Sequence[Replica]:
        """Return the serving agents of a service, in the order of names.

        Suspected ones are only there where nobody else is.
        """
        heard = self._placed.get(_Place(service, Condition.HEARD))
        if heard:
            return tuple(heard.values())
        suspected = self._placed.get(_Place(service, Condition.SUSPECTED), {})
        return tuple(suspected.values())

    def stores(self, service: str) -> Sequence[Replica]:
        """Return the serving agents of the stores a service selects."""
        names = self._select_stores(service)
        for condition in (Condition.HEARD, Condition.SUSPECTED):
            places = (_Place(name, condition, store=True) for name in names)
            groups = (self._placed.get(place, {}) for place in places)
            found = tuple(item for group in groups for item in group.values())
            if found:
                return found
        return ()

    def find(self, agent: str) -> Replica | None:
        """Return an agent by its process name."""
        view = self._agents.get(agent)
        return None if view is None else view.replica

    def find_view(self, agent: str) -> AgentView | None:
        """Return an agent with its offset and condition."""
        return self._agents.get(agent)

    def views(self) -> tuple[AgentView, ...]:
        """Return every known agent, also silent and leaving ones."""
        return tuple(self._agents.values())

    def count_leading(
        self, agent: str, segments: Sequence[SegmentHint], start: int = 0
    ) -> int:
        """Count the segments from `start` on that an agent holds in a row."""
        return self._directory.count_leading(agent, segments, start)

    def holders(self, segment: SegmentHint) -> Sequence[str]:
        """Return the agents that hold a segment."""
        return self._directory.holders(segment)

    def _place(self, view: AgentView) -> None:
        replica = view.replica
        serving = replica.phase is AgentPhase.SERVING
        place = _find_place(view)
        group = self._placed.get(place, {})
        if serving and replica.agent in group:
            # It keeps its place, as heartbeats must not change the order.
            group[replica.agent] = replica
            self._agents[replica.agent] = view
            return
        self._unplace(replica.agent)
        self._agents[replica.agent] = view
        if serving:
            grown = self._placed.get(place, {}) | {replica.agent: replica}
            self._placed[place] = dict(sorted(grown.items()))

    def _unplace(self, agent: str) -> None:
        view = self._agents.get(agent)
        if view is None:
            return
        place = _find_place(view)
        group = self._placed.get(place, {})
        group.pop(agent, None)
        if not group:
            self._placed.pop(place, None)

    def _judge(self, view: AgentView, silence: Millis) -> None:
        if silence > self._settings.forget_after:
            self._silent.add(view.replica.incarnation, view)
            self._forget(view.replica.agent)
            return
        condition = self._find_condition(silence)
        if _is_worse(condition, view.condition):
            self._place(replace(view, condition=condition))

    def _find_condition(self, silence: Millis) -> Condition:
        if silence > self._settings.drop_after:
            return Condition.DROPPED
        if silence > self._settings.suspect_after:
            return Condition.SUSPECTED
        return Condition.HEARD

    def _end_others(self, hello: Hello, address: str) -> None:
        for agent in (hello.process, self._addresses.get(address, '')):
            view = self._agents.get(agent)
            if view and view.replica.incarnation != hello.incarnation:
                self._forget(agent)
        # These outlive the views of silent agents.
        for key in (f'agent {hello.process}', f'address {address}'):
            old = self._latest.get(key)
            if old is not None and old != hello.incarnation:
                self._ended.add(old, None)
            self._latest.add(key, hello.incarnation)

    def _recall(self, agent: str, incarnation: str) -> AgentView | None:
        """Return a forgotten agent that speaks again on its old link."""
        view = self._silent.get(incarnation)
        if view is None or incarnation in self._ended:
            return None
        return view if view.replica.agent == agent else None

    def _forget(self, agent: str) -> None:
        self._unplace(agent)
        address = self._agents.pop(agent).replica.address
        if self._addresses.get(address) == agent:
            del self._addresses[address]
        self._directory.remove_agent(agent)

    def _select_stores(self, service: str) -> tuple[str, ...]:
        if self._selected_at != self._catalog.offset:
            self._selected.clear()
            self._selected_at = self._catalog.offset
        if service not in self._selected:
            self._selected[service] = _find_stores(self._catalog, service)
        return self._selected[service]


class _Remembered(Generic[ValueT]):
    """Remember a bounded number of values by text, the newest ones."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._items: OrderedDict[str, ValueT] = OrderedDict()

    def __contains__(self, item: str) -> bool:
        return item in self._items

    def get(self, item: str) -> ValueT | None:
        """Return the value of a text."""
        return self._items.get(item)

    def pop(self, item: str) -> ValueT | None:
        """Forget a text and return its value."""
        return self._items.pop(item, None)

    def add(self, item: str, value: ValueT) -> None:
        """Remember one more."""
        self._items[item] = value
        self._items.move_to_end(item)
        while len(self._items) > self._limit:
            self._items.popitem(last=False)


def _find_place(view: AgentView) -> _Place:
    replica = view.replica
    store = replica.backend is BackendKind.STORE
    return _Place(replica.service, view.condition, store=store)


def _is_worse(condition: Condition, other: Condition) -> bool:
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
        beat=_NO_BEAT,
        heard=now,
    )
    return AgentView(replica, hello.offset, Condition.HEARD)


def _update(known: Replica, beat: Heartbeat, now: Millis) -> Replica:
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
