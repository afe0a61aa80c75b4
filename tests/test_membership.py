from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from oleanderdyke.kernel import membership
from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.kernel.membership import (
    Condition,
    FleetSettings,
    FleetState,
    choose_vms,
)
from oleanderdyke.kernel.objects import (
    Change,
    ObjectKind,
    ServiceKind,
    ServiceSpec,
    StoreSpec,
)
from oleanderdyke.links.messages import (
    AgentPhase,
    BackendKind,
    Heartbeat,
    Hello,
    Load,
    Role,
)
from oleanderdyke.links.messages.segments import SegmentEvents

SERVING = AgentPhase.SERVING
LEAVING = AgentPhase.LEAVING
HINT = b'12345678'


def make_hello(
    agent: str = 'a',
    incarnation: str = 'i1',
    *,
    service: str = 'desk',
    backend: BackendKind = BackendKind.PLAIN,
) -> Hello:
    return Hello(
        1, Role.AGENT, agent, incarnation, 'quito', 4, backend, service
    )


def make_beat(
    sequence: int = 0,
    incarnation: str = 'i1',
    phase: AgentPhase = SERVING,
    running: int = 0,
) -> Heartbeat:
    load = Load(running=running)
    return Heartbeat(incarnation, sequence, 5, phase, load)


def make_fleet(*, silent: bool = False) -> FleetState:
    fleet = FleetState(Catalog(), FleetSettings(3_000, 6_000, 60_000))
    fleet.on_hello(make_hello(), 'x:1', 0)
    if not silent:
        fleet.on_heartbeat('a', make_beat(), 0)
    return fleet


def list_agents(fleet: FleetState, service: str = 'desk') -> list[str]:
    return [item.agent for item in fleet.replicas(service)]


def test_agent_serves_only_after_its_first_serving_heartbeat():
    fleet = make_fleet(silent=True)
    assert not list_agents(fleet)
    fleet.on_heartbeat('a', make_beat(phase=AgentPhase.STARTING), 1)
    assert not list_agents(fleet)
    fleet.on_heartbeat('a', make_beat(1), 2)
    assert list_agents(fleet) == ['a']
    assert fleet.find_view('a').offset == 5


def test_replicas_are_sorted_by_name_in_any_order_of_heartbeats():
    fleet = make_fleet(silent=True)
    for name in 'cab':
        fleet.on_hello(make_hello(name, name), f'{name}:1', 0)
        fleet.on_heartbeat(name, make_beat(0, name), 1)
    assert list_agents(fleet) == ['a', 'b', 'c']
    for sequence, name in enumerate('abca', start=1):
        fleet.on_heartbeat(name, make_beat(sequence, name, running=7), 2)
        assert list_agents(fleet) == ['a', 'b', 'c']
    assert [each.load.running for each in fleet.replicas('desk')] == [7] * 3
    fleet.on_link_down('b', 'b')
    assert list_agents(fleet) == ['a', 'c']
    fleet.on_heartbeat('b', make_beat(9, 'b'), 3)
    assert list_agents(fleet) == ['a', 'b', 'c']


def test_late_and_repeated_heartbeats_are_ignored():
    fleet = make_fleet()
    assert fleet.on_heartbeat('a', make_beat(5, running=5), 1)
    for sequence in (5, 4, 0):
        assert not fleet.on_heartbeat('a', make_beat(sequence, running=9), 2)
    assert fleet.find('a').load.running == 5
    assert fleet.find('a').heard == 1


def test_leaving_is_final_for_an_incarnation():
    fleet = make_fleet()
    fleet.on_heartbeat('a', make_beat(1, phase=LEAVING), 1)
    fleet.on_heartbeat('a', make_beat(2, phase=SERVING), 2)
    assert not list_agents(fleet)
    fleet.on_hello(make_hello(incarnation='i2'), 'x:1', 3)
    fleet.on_heartbeat('a', make_beat(0, 'i2'), 3)
    assert list_agents(fleet) == ['a']


@pytest.mark.parametrize('name', ['a', 'b'])
def test_new_incarnation_at_the_name_or_address_ends_the_old(name):
    fleet = make_fleet()
    assert fleet.on_hello(make_hello(name, 'i2'), 'x:1', 1)
    assert not fleet.on_heartbeat('a', make_beat(7), 2)
    assert not fleet.on_hello(make_hello(), 'x:1', 3)
    fleet.on_heartbeat(name, make_beat(0, 'i2'), 4)
    assert list_agents(fleet) == [name]
    assert fleet.find(name).incarnation == 'i2'


def test_same_incarnation_may_reconnect_from_another_address():
    fleet = make_fleet()
    fleet.on_link_down('a', 'i1')
    assert not list_agents(fleet)
    assert fleet.on_hello(make_hello(), 'x:2', 1)
    assert fleet.find('a').address == 'x:2'
    assert list_agents(fleet) == ['a']
    assert fleet.on_hello(make_hello('b', 'i2'), 'x:1', 2)
    assert fleet.find('a') is not None


def test_link_end_of_an_old_incarnation_drops_no_agent():
    fleet = make_fleet()
    fleet.on_link_down('a', 'i0')
    assert list_agents(fleet) == ['a']


def tick(fleet: FleetState, *times: float) -> None:
    for now in times:
        fleet.tick(now)


def test_silent_agent_is_suspected_dropped_and_forgotten():
    fleet = make_fleet()
    fleet.on_hello(make_hello('b', 'j1'), 'x:2', 0)
    fleet.on_heartbeat('b', make_beat(0, 'j1'), 3_000)
    tick(fleet, *range(0, 3_501, 500))
    assert fleet.find_view('a').condition is Condition.SUSPECTED
    assert list_agents(fleet) == ['b']
    fleet.on_heartbeat('a', make_beat(1), 3_600)
    assert set(list_agents(fleet)) == {'a', 'b'}
    tick(fleet, *range(4_000, 64_001, 500))
    assert not list_agents(fleet)
    assert fleet.find('a') is None


def test_returning_agent_keeps_its_last_reported_state():
    fleet = make_fleet()
    fleet.on_heartbeat('a', make_beat(5), 0)
    tick(fleet, *range(0, 62_000, 500))
    assert fleet.find('a') is None
    assert not fleet.on_heartbeat('a', make_beat(4), 62_000)
    assert fleet.on_heartbeat('a', make_beat(6, phase=LEAVING), 62_000)
    tick(fleet, *range(62_000, 124_000, 500))
    fleet.on_hello(make_hello(), 'x:1', 124_000)
    assert not fleet.on_heartbeat('a', make_beat(5), 124_000)
    assert not list_agents(fleet)


def test_suspected_agents_serve_if_no_other_agent_does():
    fleet = make_fleet()
    tick(fleet, *range(0, 4_001, 500))
    assert fleet.find_view('a').condition is Condition.SUSPECTED
    assert list_agents(fleet) == ['a']
    tick(fleet, *range(4_500, 6_501, 500))
    assert not list_agents(fleet)


def test_own_pause_drops_no_agent_before_unread_heartbeats_are_read():
    fleet = make_fleet()
    tick(fleet, 0, 500, 20_000)
    assert list_agents(fleet) == ['a']
    fleet.on_heartbeat('a', make_beat(1), 20_001)
    tick(fleet, 20_500)
    assert fleet.find_view('a').condition is Condition.HEARD


def test_stores_are_chosen_by_label_and_never_among_replicas():
    catalog = Catalog()
    stores = {'near': {'tier': 'memory'}, 'far': {'tier': 'disk'}}
    for name, labels in stores.items():
        spec = StoreSpec(labels=labels)
        change = Change(name, 'ana', ObjectKind.STORE, name, 0, spec)
        catalog.apply(catalog.offset + 1, change)
    fleet = FleetState(catalog)
    for name in stores:
        hello = make_hello(name, name, service=name, backend=BackendKind.STORE)
        fleet.on_hello(hello, f'{name}:1', 0)
        fleet.on_heartbeat(name, make_beat(0, name), 0)
    assert not fleet.stores('desk')
    for generation, selector in enumerate(({'tier': 'disk'}, {})):
        spec = ServiceSpec(ServiceKind.PLAIN, stores=selector)
        change = Change(
            f's{generation}', 'b', ObjectKind.SERVICE, 'desk', generation, spec
        )
        catalog.apply(catalog.offset + 1, change)
        chosen = {item.agent for item in fleet.stores('desk')}
        assert chosen == ({'far'} if selector else {'near', 'far'})
    assert not fleet.replicas('near')


def test_segments_of_an_ended_incarnation_are_forgotten():
    fleet = make_fleet()
    events = SegmentEvents(0, added=(HINT,))
    fleet.on_segments('a', 'i1', events, 0)
    assert fleet.holders(HINT) == ('a',)
    assert fleet.count_leading('a', (HINT,)) == 1
    fleet.on_hello(make_hello(incarnation='i2'), 'x:1', 1)
    assert fleet.on_segments('a', 'i1', events, 2) is None
    assert not fleet.holders(HINT)


@dataclass(frozen=True)
class Vm:
    address: str
    data_centre: str
    leaving: bool = False


def test_every_listed_vm_is_chosen_even_if_leaving():
    vms = [Vm('z', 'quito'), Vm('a', 'ibarra', leaving=True), Vm('b', 'quito')]
    chosen = choose_vms([*vms, replace(vms[0])], 'quito')
    assert [vm.address for vm in chosen] == ['b', 'z', 'a']


class InvariantViolation(AssertionError):
    """Raised if the fleet violates an invariant."""


@dataclass
class Checker:
    """Check a fleet against the incarnations that ended or are leaving."""

    current: dict[str, str] = field(default_factory=dict)
    ended: set[str] = field(default_factory=set)
    leaving: set[str] = field(default_factory=set)
    beats: dict[str, int] = field(default_factory=dict)

    def check(self, fleet: FleetState) -> None:
        for replica in fleet.replicas('desk'):
            if replica.incarnation in self.ended:
                raise InvariantViolation('an ended incarnation serves')
            if replica.incarnation in self.leaving:
                raise InvariantViolation('a leaving agent is offered work')
            if replica.beat < self.beats.get(replica.incarnation, -1):
                raise InvariantViolation(
                    'an old heartbeat replaced a newer one'
                )
            self.beats[replica.incarnation] = replica.beat


class Beating(RuleBasedStateMachine):
    """Start and end agents, delivering their messages late or reordered."""

    make_fleet = FleetState
    agents = st.sampled_from('ab')

    def __init__(self) -> None:
        super().__init__()
        self.fleet = type(self).make_fleet(Catalog())
        self.checker = Checker()
        self.sent: list[tuple[str, Hello | Heartbeat]] = []
        self.leaving: set[str] = set()
        self.sequence = 0
        self.now = 0.0
        for agent in 'ab':
            self.replace(agent)

    @rule(agent=agents, again=st.integers(0, 3))
    def start(self, agent, again):
        if not again:
            self.replace(agent)

    def replace(self, agent):
        self.sequence += 1
        incarnation = f'{agent}{self.sequence}'
        old = self.checker.current.get(agent)
        self.checker.current[agent] = incarnation
        hello = make_hello(agent, incarnation)
        self.take(agent, hello)
        self.checker.ended |= {old} - {None}

    @rule(agent=agents, stays=st.integers(0, 3), late=st.booleans())
    def beat(self, agent, stays, late):
        incarnation = self.checker.current[agent]
        self.sequence += 1
        self.leaving |= set() if stays else {incarnation}
        phase = LEAVING if incarnation in self.leaving else SERVING
        heartbeat = make_beat(self.sequence, incarnation, phase)
        self.sent.append((agent, heartbeat))
        if not late:
            self.take(agent, heartbeat)

    @rule(data=st.data())
    def deliver(self, data):
        if self.sent:
            self.take(*data.draw(st.sampled_from(self.sent[-8:])))

    @rule(agent=agents, data=st.data())
    def deliver_to(self, agent, data):
        waiting = [item for item in self.sent[-8:] if item[0] == agent]
        if waiting:
            self.take(*data.draw(st.sampled_from(waiting)))

    @rule(data=st.data())
    def repeat_all_of_the_ended(self, data):
        if self.checker.ended:
            ended = data.draw(st.sampled_from(sorted(self.checker.ended)))
            for agent, message in tuple(self.sent):
                if message.incarnation == ended:
                    self.take(agent, message)

    @rule(agent=agents)
    def cut(self, agent):
        self.fleet.on_link_down(agent, self.checker.current[agent])

    @rule(by=st.sampled_from([500.0] * 9 + [2_000.0, 70_000.0]))
    def wait(self, by):
        self.now += by
        self.fleet.tick(self.now)

    def take(self, agent, message):
        if isinstance(message, Hello):
            self.fleet.on_hello(message, f'{agent}:1', self.now)
            self.sent.append((agent, message))
            return
        self.fleet.on_heartbeat(agent, message, self.now)
        if message.phase is LEAVING:
            self.checker.leaving.add(message.incarnation)

    @invariant()
    def invariants_hold(self):
        self.checker.check(self.fleet)


class AcceptsEndedFleet(FleetState):
    """Accept incarnations that have ended."""

    def on_hello(self, hello, address, now):
        self._ended_incarnations = membership._BoundedDict(0)
        return super().on_hello(hello, address, now)


class AcceptsOldHeartbeatsFleet(FleetState):
    """Apply any heartbeat, however old."""

    def on_heartbeat(self, agent, beat, now):
        view = self._agents.get(agent)
        if view is not None:
            phase = AgentPhase.STARTING
            known = replace(view.replica, beat=-1, phase=phase)
            self._store_view(replace(view, replica=known))
        return super().on_heartbeat(agent, beat, now)


def run_machine(make_fleet: type[FleetState]) -> None:
    run_state_machine_as_test(
        type('Machine', (Beating,), {'make_fleet': make_fleet}),
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=200,
            stateful_step_count=40,
            phases=[Phase.generate],
        ),
    )


def test_fleet_holds_its_invariants_in_any_order_of_messages():
    run_machine(FleetState)


@pytest.mark.parametrize(
    'unsafe', [AcceptsEndedFleet, AcceptsOldHeartbeatsFleet]
)
def test_checker_catches_an_unsafe_fleet(unsafe):
    with pytest.raises(InvariantViolation):
        run_machine(unsafe)
