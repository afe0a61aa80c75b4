"""Check the guarantees about one request in a simulated deployment.

Unsafe variants defined here show that each violation is detected.
"""

from __future__ import annotations

import dataclasses
from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel.attempts import RequestStateMachine
from oleanderdyke.kernel.claim_records import make_key
from oleanderdyke.kernel.claims import ClaimTable, Free, Owned, _make_slot
from oleanderdyke.kernel.gate import Gate, Ignored
from oleanderdyke.links.messages import Failed
from oleanderdyke.links.messages.claims import Claim, ClaimState
from tests.safety_model import Variants, Violation, World
from tests.safety_walk import FORGETTING_STEPS, STEPS, Walk

WALKS = 1_000
WALK_STEPS = 80
RECOVERY_ROUNDS = 20


class Requests(RuleBasedStateMachine):
    """Apply the steps in any order."""

    @initialize()
    def begin(self):
        self.walk = Walk()

    @rule(step=st.sampled_from(STEPS), seed=st.integers(0, 1_000))
    def take(self, step, seed):
        self.walk.take(step, Random(seed))


def walk_until_violation(variants, walks, steps=STEPS) -> str:
    """Return the first promise violated on random walks with fixed seeds."""
    for seed in range(walks):
        try:
            Walk(variants).run(seed, WALK_STEPS, steps)
        except Violation as violation:
            return violation.promise
    return ''


def test_promises_hold_in_any_order_of_steps():
    run_state_machine_as_test(
        Requests,
        settings=settings(
            max_examples=60,
            stateful_step_count=60,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.mark.parametrize('steps', [STEPS, FORGETTING_STEPS])
def test_promises_hold_on_long_random_walks(steps):
    assert walk_until_violation(Variants(), WALKS, steps) == ''


def find_unanswered(variants: Variants) -> set[str]:
    """Return calls that stay unanswered after the faults have ended."""
    unanswered = set()
    for seed in range(WALKS // 5):
        walk = Walk(variants)
        walk.run(seed, WALK_STEPS, STEPS)
        unanswered |= walk.calm_down(RECOVERY_ROUNDS)
    return unanswered


def test_every_call_is_answered_once_the_faults_are_over():
    assert find_unanswered(Variants()) == set()


class DeafMachine(RequestStateMachine):
    """Never give up waiting for an agent's answer."""

    def _give_up_querying(self):
        return ()


def test_open_calls_catch_a_machine_that_waits_for_ever():
    assert find_unanswered(Variants(machine=DeafMachine))


class ForgivingGate(Gate):
    """Admit every claim without checking it."""

    def _check_claim(self, _dispatch, _now):
        return None


class TalkativeGate(Gate):
    """Refuse a repeated dispatch as not run, though the first one ran."""

    def admit(self, dispatch, now):
        result = super().admit(dispatch, now)
        if isinstance(result, Ignored):
            return Failed(
                dispatch.request, dispatch.attempt, ErrorKind.LEAVING, Ran.NO
            )
        return result


class ForgetfulGate(Gate):
    """Report an unknown claim as barred without barring it."""

    def answer_query(self, query):
        answer = super().answer_query(query)
        if answer.state is ClaimState.BARRED:
            claim = query.claim
            key = (claim.offset, claim.index, claim.key)
            self._claims._runs.pop(key, None)
        return answer


class AgelessGate(Gate):
    """Evict old attempts, but still start them."""

    def _check_age(self, _dispatch, _now):
        return None


class LastWinsTable(ClaimTable):
    """Give a key to the last claim instead of the first."""

    def _apply_claim(self, record, place, at):
        self._put(_make_slot(record, place, at))


class ForgetfulTable(ClaimTable):
    """Ignore renewals of claims whose own records expire."""

    def _apply_renewal(self, _append_outcome, _at):
        return None


class EagerTable(ClaimTable):
    """Treat a claim as owned before it is read back from the log."""

    def get_claim_verdict(self, claim_id, key, digest):
        if isinstance(self.get_verdict(key, digest), Free):
            return Owned(Claim(self._next, 0, key, 'agent-1', '1', 1))
        return super().get_claim_verdict(claim_id, key, digest)


class CarelessTable(ClaimTable):
    """Accept every renewal record."""

    def _has_read_since(self, _append_outcome):
        return True


class StubbornMachine(RequestStateMachine):
    """Retry an attempt that may have run."""

    def _after_lost_attempt(self):
        return self._retry(ErrorKind.BACKEND_LOST)

    def _after_claimed_failure(self, failed):
        self._mark_not_run()
        return self._retry(failed.kind)


class ImpatientMachine(RequestStateMachine):
    """Treat an agent's silence as an expired lease and release the claim."""

    def _give_up_querying(self):
        self._queries = 0
        return self._reclaim()


class HopefulMachine(RequestStateMachine):
    """Report a lost attempt as not run."""

    @property
    def ran(self):
        return self._known_ran

    def _record_ran(self, _ran):
        self._in_doubt = False


class SplicingMachine(RequestStateMachine):
    """Continue with another run where the first one broke off."""

    def _on_failed(self, failed):
        self._record_ran(failed.ran)
        return self._retry(failed.kind)


class MixingMachine(RequestStateMachine):
    """Give later callers a different answer than the first."""

    def _load_outcome(self, outcome):
        body = outcome.body[len(outcome.body) // 2 :]
        super()._load_outcome(dataclasses.replace(outcome, body=body))


def ignore_team(_team: str, service: str, key: str) -> str:
    return make_key('', service, key)


class OpenGate(Gate):
    """Answer queries about a claim from any team."""

    def answer_query(self, query):
        runs = self._claims._runs
        run = runs.get((query.claim.offset, query.claim.index, query.claim.key))
        team = run.team if run else query.team
        return super().answer_query(dataclasses.replace(query, team=team))


def name_variant(value) -> str:
    if isinstance(value, str):
        return value.replace(' ', '_')
    parts = (value.gate, value.table, value.machine, value.make_key)
    return '-'.join(p.__name__ for p in parts if p.__module__ == __name__)


@pytest.mark.parametrize(
    ('variants', 'promise'),
    [
        (Variants(gate=ForgivingGate), 'at most once'),
        (Variants(gate=ForgetfulGate), 'at most once'),
        (Variants(gate=AgelessGate), 'at most once'),
        (Variants(gate=TalkativeGate), 'not run'),
        (Variants(table=LastWinsTable), 'at most once'),
        (Variants(table=EagerTable), 'at most once'),
        (Variants(machine=StubbornMachine), 'at most once'),
        (Variants(machine=ImpatientMachine), 'at most once'),
        (Variants(machine=HopefulMachine), 'not run'),
        (Variants(machine=MixingMachine), 'same answer'),
        (Variants(machine=SplicingMachine), 'whole answer'),
        (Variants(make_key=ignore_team, gate=OpenGate), 'teams apart'),
    ],
    ids=name_variant,
)
def test_checker_catches_unsafe_variant(variants, promise):
    assert walk_until_violation(variants, WALKS) == promise


def test_checker_catches_table_that_ignores_renewals():
    variants = Variants(table=ForgetfulTable)
    found = walk_until_violation(variants, WALKS, FORGETTING_STEPS)
    assert found == 'at most once'


def deliver_all(world: World) -> None:
    while world.network:
        world.deliver(0)


def append_all(world: World) -> None:
    while world.appends:
        world.take_effect(0, answer=True)


def read_all(world: World) -> None:
    for entry in world.entries.values():
        entry.read(limit=100)


def run_with_late_renewal(variants: Variants) -> World:
    """Renew a claim twice; the renewal from before its release comes last."""
    world = World(variants)
    world.call('entry-1', 'team-1', 'key')
    append_all(world)
    read_all(world)
    never_sent = world.network.pop()
    world.carry('entry-3')
    late = world.appends.pop()
    world.call('entry-2', 'team-1', 'key')
    deliver_all(world)
    append_all(world)
    read_all(world)
    deliver_all(world)
    world.carry('entry-2')
    append_all(world)
    world.appends.append(late)
    append_all(world)
    world.network.append(never_sent)
    world.forget()
    world.replace_entry('entry-3')
    world.call('entry-3', 'team-1', 'key')
    deliver_all(world)
    append_all(world)
    read_all(world)
    deliver_all(world)
    return world


def test_late_renewal_does_not_restore_a_released_claim():
    world = run_with_late_renewal(Variants())
    world.check()
    assert len(world.runs) == 1


def test_checker_catches_table_that_accepts_late_renewals():
    world = run_with_late_renewal(Variants(table=CarelessTable))
    with pytest.raises(Violation, match='at most once'):
        world.check()
