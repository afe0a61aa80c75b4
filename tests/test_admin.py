from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

import anyio
import pytest

from oleanderdyke.clients.log import LogUnavailable
from oleanderdyke.clock import make_clock
from oleanderdyke.entry.admin import (
    Administration,
    Caller,
    ChangeInput,
    make_conflict,
)
from oleanderdyke.entry.admin_documents import parse_changes, parse_selector
from oleanderdyke.entry.publishing import Publisher
from oleanderdyke.entry.settings import OperatorSettings
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.events import EventName
from oleanderdyke.kernel.catalog import (
    Applied,
    Catalog,
    Rejected,
    RejectionReason,
)
from oleanderdyke.kernel.objects import ObjectKind, StoreSpec, TeamSpec

TEAM = ObjectKind.TEAM
OPERATOR = Caller('ana')
OWLS = Caller('team/owls', 'owls')
RECORD_ID = 'ab' * 16


def make_hash(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


TEAM_SPEC = TeamSpec(
    token_hashes=(make_hash('owl'),),
    admin_token_hashes=(make_hash('owl-admin'),),
    weight=2.0,
)


@dataclass
class FakeLog:
    """Feed a catalog; `fault` says what the next appends answer."""

    catalog: Catalog
    fault: Ran | None = None
    loses: bool = False
    appends: int = 0
    waiting: list[bytes] = field(default_factory=list)

    async def append(
        self, log: str, records: Sequence[bytes], *, timeout: float = 0
    ) -> int:
        assert log == 'configuration'
        self.appends += 1
        if self.fault is not Ran.NO and not self.loses:
            self.waiting += records
            self.read_back()
        if self.fault is not None:
            raise LogUnavailable('the log is out', ran=self.fault)
        return self.catalog.offset

    def read_back(self) -> None:
        for data in self.waiting:
            self.catalog.apply_record(self.catalog.offset + 1, data)
        self.waiting.clear()


@dataclass
class FakeEvents:
    events: list[tuple[EventName, dict[str, object]]] = field(
        default_factory=list
    )

    def write(self, event: EventName, **keys: object) -> None:
        self.events.append((event, keys))


@dataclass
class Bench:
    admin: Administration
    log: FakeLog
    catalog: Catalog
    events: FakeEvents
    drained: list[str] = field(default_factory=list)
    not_ready: str = ''

    def publish(self, caller: Caller, *inputs: ChangeInput):
        return anyio.run(self.admin.publish, caller, inputs)


def make_bench() -> Bench:
    catalog = Catalog()
    log, events = FakeLog(catalog), FakeEvents()
    clock = make_clock()
    publisher = Publisher(catalog, log, clock, events, settle_wait=30)

    async def send_drain(agent: str, operator: str) -> bool:
        bench.drained.append(f'{operator}:{agent}')
        return agent != 'nobody'

    admin = Administration(
        catalog,
        publisher,
        clock,
        operators=[OperatorSettings('ana', make_hash('ana-token'))],
        check_ready=lambda: bench.not_ready,
        send_drain=send_drain,
    )
    bench = Bench(admin, log, catalog, events)
    bench.publish(OPERATOR, ChangeInput(TEAM, 'owls', 0, TEAM_SPEC))
    bench.publish(OPERATOR, ChangeInput(TEAM, 'bats', 0, TeamSpec()))
    return bench


def change_store(
    expected: int = 0, *, record_id: str = '', capacity: int = 1
) -> ChangeInput:
    spec = StoreSpec(capacity_bytes=capacity)
    return ChangeInput(ObjectKind.STORE, 's', expected, spec, record_id)


def fail(call) -> OleanderError:
    with pytest.raises(OleanderError) as caught:
        call()
    return caught.value


def test_change_is_accepted_once_read_back_and_the_loser_learns_who_won():
    bench = make_bench()
    (first,) = bench.publish(OPERATOR, change_store())
    (second,) = bench.publish(Caller('bo'), change_store(capacity=2))
    assert isinstance(first, Applied)
    assert isinstance(second, Rejected)
    error = make_conflict([second])
    assert error.kind is ErrorKind.CONFLICT
    assert error.ran is Ran.NO
    assert 'last changed by ana' in error.message
    assert bench.events.events[-1][1]['detail'] == 'lost'


def test_lost_append_answer_is_settled_by_reading_back():
    bench = make_bench()
    bench.log.fault = Ran.MAYBE
    (outcome,) = bench.publish(OPERATOR, change_store())
    assert isinstance(outcome, Applied)
    assert bench.log.appends == 3


@pytest.mark.parametrize('fault', [Ran.MAYBE, None])
def test_record_not_read_back_in_time_is_unknown_and_found_later(fault):
    bench = make_bench()
    bench.log.fault, bench.log.loses = fault, True
    change = change_store(record_id=RECORD_ID)
    error = fail(lambda: bench.publish(OPERATOR, change))
    assert error.kind is ErrorKind.OUTCOME_UNKNOWN
    assert error.ran is Ran.MAYBE
    assert RECORD_ID in error.message
    bench.log.fault, bench.log.loses = None, False
    bench.publish(OPERATOR, change)
    found = anyio.run(bench.admin.find_outcome, OPERATOR, RECORD_ID)
    assert isinstance(found, Applied)


def test_log_out_changes_nothing_and_says_so():
    bench = make_bench()
    bench.log.fault = Ran.NO
    error = fail(lambda: bench.publish(OPERATOR, change_store()))
    assert (error.kind, error.ran) == (ErrorKind.LOG_UNAVAILABLE, Ran.NO)
    assert bench.catalog.get(ObjectKind.STORE, 's') is None


def test_publishing_the_same_record_again_appends_nothing():
    bench = make_bench()
    change = change_store(record_id=RECORD_ID)
    first = bench.publish(OPERATOR, change)
    appends = bench.log.appends
    assert bench.publish(OPERATOR, change) == first
    assert bench.log.appends == appends
    other = replace(change, name='other')
    error = fail(lambda: bench.publish(OPERATOR, other))
    assert error.kind is ErrorKind.BAD_REQUEST


def test_entry_without_configuration_publishes_nothing():
    bench = make_bench()
    bench.not_ready = 'no configuration yet'
    error = fail(lambda: bench.publish(OPERATOR, change_store()))
    assert (error.kind, error.ran) == (ErrorKind.NOT_READY, Ran.NO)


def test_tokens_tell_operators_from_administrators_of_teams():
    bench = make_bench()
    identify = bench.admin.identify
    assert identify(make_hash('ana-token')) == OPERATOR
    assert identify(make_hash('owl-admin')) == OWLS
    for token in ('owl', 'nobody', ''):
        error = fail(lambda token=token: identify(make_hash(token)))
        assert error.kind is ErrorKind.UNAUTHENTICATED


def test_administrator_of_a_team_changes_its_tokens():
    bench = make_bench()
    spec = replace(TEAM_SPEC, token_hashes=(make_hash('new'),))
    (outcome,) = bench.publish(OWLS, ChangeInput(TEAM, 'owls', 1, spec))
    assert isinstance(outcome, Applied)
    assert outcome.operator == 'team/owls'
    assert bench.catalog.find_team(make_hash('new')).name == 'owls'


@pytest.mark.parametrize(
    ('change', 'kind'),
    [
        (ChangeInput(TEAM, 'owls', 1, TeamSpec(weight=9.0)), 'forbidden'),
        (ChangeInput(TEAM, 'owls', 1, None), 'forbidden'),
        (ChangeInput(TEAM, 'owls', 0, TEAM_SPEC), 'conflict'),
        (ChangeInput(TEAM, 'bats', 1, TeamSpec()), 'forbidden'),
        (ChangeInput(TEAM, 'new', 0, TeamSpec()), 'forbidden'),
        (change_store(), 'forbidden'),
    ],
)
def test_administrator_of_a_team_changes_nothing_else(change, kind):
    bench = make_bench()
    appends = bench.log.appends
    error = fail(lambda: bench.publish(OWLS, change))
    assert error.kind == kind
    assert bench.log.appends == appends


def test_administrator_of_a_team_learns_nothing_of_others():
    bench = make_bench()
    admin = bench.admin
    answers = {
        fail(call).message
        for call in (
            lambda: admin.get_object(OWLS, TEAM, 'bats'),
            lambda: admin.get_object(OWLS, TEAM, 'none'),
            lambda: admin.history(OWLS, TEAM, 'bats'),
            lambda: admin.list_objects(OWLS, TEAM, {}),
            lambda: anyio.run(admin.watch, OWLS, 0, 0),
            lambda: anyio.run(admin.drain, OWLS, 'a'),
        )
    }
    assert answers == {'this is for operators'}
    assert admin.get_object(OWLS, TEAM, 'owls').generation == 1
    taken = replace(TEAM_SPEC, token_hashes=(make_hash('bat'),))
    bats = TeamSpec(token_hashes=(make_hash('bat'),))
    bench.publish(OPERATOR, ChangeInput(TEAM, 'bats', 1, bats))
    (lost,) = bench.publish(OWLS, ChangeInput(TEAM, 'owls', 1, taken))
    assert lost.reason is RejectionReason.TOKEN_TAKEN
    assert 'bats' not in str(lost)


def test_watch_returns_what_changed_and_says_what_is_too_old():
    bench = make_bench()
    seen = anyio.run(bench.admin.watch, OPERATOR, 0, 1_000)
    assert [item.name for item in seen.outcomes] == ['bats']
    assert seen.complete
    assert not anyio.run(bench.admin.watch, OPERATOR, 1, 20).outcomes
    other = Catalog()
    other.restore(bench.catalog.snapshot())
    assert other.difference(0) is None


def test_drain_needs_a_link_to_the_agent():
    bench = make_bench()
    anyio.run(bench.admin.drain, OPERATOR, 'a')
    assert bench.drained == ['ana:a']
    error = fail(lambda: anyio.run(bench.admin.drain, OPERATOR, 'nobody'))
    assert error.kind is ErrorKind.NOT_FOUND


CHANGE = b'{"changes": [{"kind": "team", "name": "a", "expected": 0, %s}]}'


@pytest.mark.parametrize(
    ('body', 'fault'),
    [
        (b'{"changes": 3}', 'changes'),
        (b'{"changes": [3]}', 'changes.0'),
        (b'{"changes": [{"kind": "teem", "name": "a"}]}', 'changes.0.kind'),
        (CHANGE % b'"spec": 3', 'changes.0.spec'),
        (
            CHANGE % b'"spec": {"weigth": 2}',
            "changes.0.spec.weigth: unknown key 'weigth', did you mean",
        ),
    ],
)
def test_malformed_change_is_refused_with_its_place(body, fault):
    error = fail(lambda: parse_changes(body))
    assert error.kind is ErrorKind.BAD_REQUEST
    assert fault in error.message


def test_selector_text():
    assert parse_selector('a=b,c=') == {'a': 'b', 'c': ''}
    assert fail(lambda: parse_selector('a')).kind is ErrorKind.BAD_REQUEST
