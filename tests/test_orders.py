from __future__ import annotations

from dataclasses import dataclass, replace

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import rule

from machines import CheckedMachine, assert_caught, assert_holds
from oleanderdyke.kernel.objects import (
    ModelVersionSpec,
    ServiceKind,
    ServiceSpec,
)
from oleanderdyke.kernel.orders import (
    ORDER_TIMEOUT,
    RECHECK_INTERVAL,
    VALIDITY_PERIOD,
    ConfirmValidity,
    Converged,
    DesiredState,
    Fence,
    ObservedState,
    Order,
    ReadState,
    StaleReason,
    StopOrdering,
    Validity,
    find_desired,
    reconcile,
)

WANTED = DesiredState('m', 'v2', 'd2')
FENCE = Fence(7, 'me')
VALID = Validity('me', 7, ended=False, read_at=0)
OLD = ObservedState('m', 'v1', 'd1', '', 'serve', None, 0)
DONE = ObservedState('m', 'v2', 'd2', '', 'serve', FENCE, 0)


@pytest.mark.parametrize(
    ('observed', 'validity', 'now', 'step'),
    [
        (None, VALID, 0, ReadState()),
        (OLD, VALID, RECHECK_INTERVAL, ReadState()),
        (DONE, VALID, 10, Converged(RECHECK_INTERVAL)),
        (DONE, VALID, RECHECK_INTERVAL, ReadState()),
        (OLD, VALID, 10, Order(WANTED, FENCE, VALIDITY_PERIOD)),
        (OLD, VALID, VALIDITY_PERIOD, ConfirmValidity()),
        (replace(OLD, adapter='x'), VALID, 0, Order(WANTED, FENCE, 250)),
        (replace(DONE, role='x'), VALID, 0, Order(WANTED, FENCE, 250)),
        (replace(DONE, digest='x'), VALID, 0, Order(WANTED, FENCE, 250)),
        (OLD, replace(VALID, ended=True), 0, StopOrdering(StaleReason.ENDED)),
        (
            OLD,
            replace(VALID, incarnation='x'),
            0,
            StopOrdering(StaleReason.ENDED),
        ),
        (
            OLD,
            replace(VALID, offset=8),
            0,
            StopOrdering(StaleReason.OLD_OFFSET),
        ),
        (
            replace(OLD, fence=Fence(8, 'x')),
            VALID,
            0,
            StopOrdering(StaleReason.NEWER_ORDER),
        ),
        (
            replace(DONE, fence=Fence(7, 'x')),
            VALID,
            0,
            Converged(RECHECK_INTERVAL),
        ),
    ],
)
def test_the_next_step_for_a_server_without_a_check(
    observed, validity, now, step
):
    for _ in range(2):
        assert reconcile(WANTED, observed, FENCE, validity, now) == step


@pytest.mark.parametrize(
    ('took', 'due_at'),
    [
        (0, 1_000),
        (500, 1_000),
        (1_000, 1_500),
        (3_000, 3_500),
    ],
)
def test_state_that_was_slow_to_read_allows_one_order(took, due_at):
    valid = replace(VALID, read_at=took)
    old, done = replace(OLD, took=took), replace(DONE, took=took)
    order = Order(WANTED, FENCE, took + VALIDITY_PERIOD)
    assert reconcile(WANTED, old, FENCE, valid, took) == order
    assert reconcile(WANTED, done, FENCE, valid, took) == Converged(due_at)
    assert reconcile(WANTED, old, FENCE, valid, due_at) == ReadState()


@pytest.mark.parametrize(
    ('observed', 'changed_at', 'is_settled'),
    [
        (DONE, 7, True),
        (replace(DONE, fence=Fence(5, 'x')), 5, True),
        (replace(DONE, fence=Fence(5, 'x')), 6, False),
        (replace(DONE, fence=None), 6, False),
        (OLD, 0, False),
    ],
)
def test_a_checking_server_must_have_seen_the_last_change(
    observed, changed_at, is_settled
):
    step = reconcile(
        WANTED,
        observed,
        FENCE,
        replace(VALID, read_at=-1e9),
        5,
        checks_fencing=True,
        changed_at=changed_at,
    )
    order = Order(WANTED, FENCE, 5 + ORDER_TIMEOUT)
    assert step == (Converged(RECHECK_INTERVAL) if is_settled else order)


SERVICE = ServiceSpec(
    ServiceKind.MODEL, model='m', version='v2', adapter='legal'
)
VERSIONS = (
    ModelVersionSpec('m', 'v1', 'd1'),
    ModelVersionSpec('m', 'v2', 'd2'),
    ModelVersionSpec('n', 'v2', 'd3'),
)


@pytest.mark.parametrize(
    ('service', 'versions', 'desired'),
    [
        (SERVICE, VERSIONS, DesiredState('m', 'v2', 'd2', 'legal')),
        (SERVICE, VERSIONS[::-1], DesiredState('m', 'v2', 'd2', 'legal')),
        (SERVICE, VERSIONS[:1], None),
        (SERVICE, (*VERSIONS, ModelVersionSpec('m', 'v2', 'x')), None),
        (replace(SERVICE, kind=ServiceKind.PLAIN), VERSIONS, None),
    ],
)
def test_the_desired_state_names_exactly_one_digest(service, versions, desired):
    assert find_desired(service, versions) == desired


def make_desired(offset):
    version = offset % 3
    return DesiredState('m', f'v{version}', f'd{version}')


class Engine:
    """Hold a model, rejecting older fences if it checks them."""

    def __init__(self, *, checks):
        self.checks = checks
        self.desired = DesiredState('', '', '')
        self.fence = Fence(0, '')

    def apply(self, desired, fence):
        if self.checks and fence is not None:
            if fence.offset < self.fence.offset:
                return False
            self.fence = fence
        self.desired = desired
        return True

    def read(self, now):
        # A server that does not check fences reports none.
        fence = self.fence if self.checks else None
        state = self.desired
        return ObservedState(
            state.model,
            state.version,
            state.digest,
            state.adapter,
            state.role,
            fence,
            now,
        )


@dataclass(eq=False)
class Agent:
    """Execute the steps as the agent's order loop does."""

    incarnation: str
    offset: int
    checks: bool
    known_offset: int
    ended: bool = False
    confirmed: float = -1e9
    observed: ObservedState | None = None
    pending: Order | None = None

    def make_validity(self, now):
        return Validity(
            self.incarnation, self.known_offset, self.ended, self.confirmed
        )

    def decide(self, now):
        return reconcile(
            make_desired(self.offset),
            self.observed,
            Fence(self.offset, self.incarnation),
            self.make_validity(now),
            now,
            checks_fencing=self.checks,
            changed_at=self.offset,
        )

    def may_send(self, order, now):
        return now < order.not_after

    def get_fence(self, order):
        return order.fence


class UncheckedWorld(CheckedMachine):
    """Replace and pause the agents of one engine while operators publish.

    Checks `reverted`: the engine applies an order after a newer one, at any
    time if it checks fences, otherwise after the validity period; `stale`: an
    agent sends an order older than the offset that it knows; `unsettled`: the
    engine does not reach the desired state after the last change.
    """

    checks = False
    make_agent = Agent
    is_settling = True

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.offset = 1
        self.published = {1: 0.0}
        self.engine = Engine(checks=self.checks)
        self.newest = 0
        self.agents = []
        self.replace_agent()

    @rule(by=st.sampled_from([0.0, 10.0, 100.0, 300.0, RECHECK_INTERVAL]))
    def publish(self, by):
        self.now += by
        self.offset += 1
        self.published[self.offset] = self.now

    @rule()
    def replace_agent(self):
        name = f'i{len(self.agents)}'
        agent = self.make_agent(name, self.offset, self.checks, self.offset)
        self.agents.append(agent)

    @rule(by=st.sampled_from([100.0, 300.0]), pending=st.booleans())
    def succeed(self, by, pending):
        """Let an agent order, or pause before it, then replace the agent."""
        self.publish(by)
        self.receive_offset(self.agents[-1])
        for _ in range(6):
            is_paused = pending and self.agents[-1].pending is not None
            if not is_paused:
                self.step(self.agents[-1])
        self.publish(by)
        self.replace_agent()
        for _ in range(6):
            self.step(self.agents[-1])
        self.now += by

    @rule(
        back=st.integers(0, 1),
        steps=st.sampled_from([1, 3, 4]),
        has_heard=st.sampled_from([False, False, True]),
        pause=st.sampled_from([0.0, 0.0, 200.0, 300.0]),
    )
    def go_on(self, back, steps, has_heard, pause):
        self.now += pause
        agent = self.agents[-1 - back % len(self.agents)]
        if has_heard:
            self.receive_offset(agent)
        for _ in range(steps):
            self.step(agent)

    def receive_offset(self, agent):
        agent.known_offset = self.offset
        # The order loop reconciles again on any new offset.
        agent.pending = None

    def step(self, agent):
        if agent.pending is not None:
            self.send(agent, agent.pending)
            return
        step = agent.decide(self.now)
        if isinstance(step, ReadState):
            agent.observed = self.engine.read(self.now)
        if isinstance(step, Order):
            agent.pending = step
        if isinstance(step, ConfirmValidity | StopOrdering):
            agent.offset = agent.known_offset = self.offset
            agent.ended = agent is not self.agents[-1]
            agent.confirmed = self.now

    def send(self, agent, order):
        agent.pending = None
        agent.observed = None
        if not agent.may_send(order, self.now):
            return
        offset = order.fence.offset
        self.check(offset >= agent.known_offset, 'stale')
        self.check(not agent.ended, 'stale')
        if not self.engine.apply(order.desired, agent.get_fence(order)):
            return
        if offset < self.newest:
            late = self.now - self.published[offset + 1]
            self.check(not self.checks, 'reverted')
            self.check(late <= VALIDITY_PERIOD, 'reverted')
        self.newest = max(self.newest, offset)

    def teardown(self):
        if self.is_broken or not self.is_settling:
            return
        agent = self.agents[-1]
        self.receive_offset(agent)
        for _ in range(4):
            self.now += RECHECK_INTERVAL
            for _ in range(6):
                self.step(agent)
        is_settled = self.engine.desired == make_desired(self.offset)
        self.check(is_settled, 'unsettled')


class CheckedWorld(UncheckedWorld):
    checks = True


class IgnoresNewOffset(Agent):
    def make_validity(self, now):
        known = super().make_validity(now)
        return replace(known, offset=self.offset, ended=False)


class IgnoresTime(Agent):
    def may_send(self, order, now):
        return True


class NeverConfirms(Agent):
    def make_validity(self, now):
        return replace(super().make_validity(now), read_at=now)


class SendsNoFence(Agent):
    def get_fence(self, order):
        return None


@pytest.mark.parametrize('world', [UncheckedWorld, CheckedWorld])
def test_an_engine_never_reverts_beyond_the_window_and_settles(world):
    assert_holds(world)


@pytest.mark.parametrize(
    ('world', 'kind', 'check'),
    [
        (UncheckedWorld, IgnoresNewOffset, 'stale'),
        (UncheckedWorld, IgnoresTime, 'reverted'),
        (UncheckedWorld, NeverConfirms, 'reverted'),
        (CheckedWorld, IgnoresNewOffset, 'stale'),
        (CheckedWorld, SendsNoFence, 'reverted'),
    ],
)
def test_order_checks_catch_an_unsafe_agent(world, kind, check):
    changes = {'make_agent': kind, 'is_settling': False}
    unsafe = type('UnsafeWorld', (world,), changes)
    assert_caught(unsafe, check)
