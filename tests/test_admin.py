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
    """Append to a catalog; `fault` is the error of the next appends."""

    catalog: Catalog
    fault: Ran | None = None
    loses_appends: bool = False
    appends: int = 0
    waiting: list[bytes] = field(default_factory=list)

    async def append(
        self, log: str, records: Sequence[bytes], *, timeout: float = 0
    ) -> int:
        assert log == 'configuration'
        self.appends += 1
        if self.fault is not Ran.NO and not self.loses_appends:
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
class Scene:
    admin: Administration
    log: FakeLog
    catalog: Catalog
    events: FakeEvents
    drained: list[str] = field(default_factory=list)
    not_ready: str = ''

    def publish(self, caller: Caller, *inputs: ChangeInput):
        return anyio.run(self.admin.publish, caller, inputs)


def make_scene() -> Scene:
    catalog = Catalog()
    log, events = FakeLog(catalog), FakeEvents()
    clock = make_clock()
    publisher = Publisher(catalog, log, clock, events, settle_wait=30)

    async def send_drain(agent: str, operator: str) -> bool:
        scene.drained.append(f'{operator}:{agent}')
        return agent != 'nobody'

    admin = Administration(
        catalog,
        publisher,
        clock,
        operators=[OperatorSettings('ana', make_hash('ana-token'))],
        check_ready=lambda: scene.not_ready,
        send_drain=send_drain,
    )
    scene = Scene(admin, log, catalog, events)
    scene.publish(OPERATOR, ChangeInput(TEAM, 'owls', 0, TEAM_SPEC))
    scene.publish(OPERATOR, ChangeInput(TEAM, 'bats', 0, TeamSpec()))
    return scene


def change_store(
    expected: int = 0, *, record_id: str = '', capacity: int = 1
) -> ChangeInput:
    spec = StoreSpec(capacity_bytes=capacity)
    return ChangeInput(ObjectKind.STORE, 's', expected, spec, record_id)


def catch_error(call) -> OleanderError:
    with pytest.raises(OleanderError) as caught:
        call()
    return caught.value


def test_change_counts_once_read_back_and_a_conflict_names_the_winner():
    scene = make_scene()
    (first,) = scene.publish(OPERATOR, change_store())
    (second,) = scene.publish(Caller('bo'), change_store(capacity=2))
    assert isinstance(first, Applied)
    assert isinstance(second, Rejected)
    error = make_conflict([second])
    assert error.kind is ErrorKind.CONFLICT
    assert error.ran is Ran.NO
    assert 'last changed by ana' in error.message
    assert scene.events.events[-1][1]['detail'] == 'lost'


def test_lost_append_answer_is_settled_by_reading_back():
    scene = make_scene()
    scene.log.fault = Ran.MAYBE
    (outcome,) = scene.publish(OPERATOR, change_store())
    assert isinstance(outcome, Applied)
    assert scene.log.appends == 3


@pytest.mark.parametrize('fault', [Ran.MAYBE, None])
def test_record_not_read_back_in_time_is_unknown_and_found_later(fault):
    scene = make_scene()
    scene.log.fault, scene.log.loses_appends = fault, True
    change = change_store(record_id=RECORD_ID)
    error = catch_error(lambda: scene.publish(OPERATOR, change))
    assert error.kind is ErrorKind.OUTCOME_UNKNOWN
    assert error.ran is Ran.MAYBE
    assert RECORD_ID in error.message
    scene.log.fault, scene.log.loses_appends = None, False
    scene.publish(OPERATOR, change)
    found = anyio.run(scene.admin.find_outcome, OPERATOR, RECORD_ID)
    assert isinstance(found, Applied)


def test_unavailable_log_changes_nothing_and_is_reported():
    scene = make_scene()
    scene.log.fault = Ran.NO
    error = catch_error(lambda: scene.publish(OPERATOR, change_store()))
    assert (error.kind, error.ran) == (ErrorKind.LOG_UNAVAILABLE, Ran.NO)
    assert scene.catalog.get(ObjectKind.STORE, 's') is None


def test_publishing_the_same_record_again_appends_nothing():
    scene = make_scene()
    change = change_store(record_id=RECORD_ID)
    first = scene.publish(OPERATOR, change)
    appends = scene.log.appends
    assert scene.publish(OPERATOR, change) == first
    assert scene.log.appends == appends
    other = replace(change, name='other')
    error = catch_error(lambda: scene.publish(OPERATOR, other))
    assert error.kind is ErrorKind.BAD_REQUEST


def test_entry_without_configuration_publishes_nothing():
    scene = make_scene()
    scene.not_ready = 'no configuration yet'
    error = catch_error(lambda: scene.publish(OPERATOR, change_store()))
    assert (error.kind, error.ran) == (ErrorKind.NOT_READY, Ran.NO)


def test_tokens_distinguish_operators_and_team_administrators():
    scene = make_scene()
    identify = scene.admin.identify
    assert identify(make_hash('ana-token')) == OPERATOR
    assert identify(make_hash('owl-admin')) == OWLS
    for token in ('owl', 'nobody', ''):
        error = catch_error(lambda token=token: identify(make_hash(token)))
        assert error.kind is ErrorKind.UNAUTHENTICATED


def test_team_administrator_changes_its_tokens():
    scene = make_scene()
    spec = replace(TEAM_SPEC, token_hashes=(make_hash('new'),))
    (outcome,) = scene.publish(OWLS, ChangeInput(TEAM, 'owls', 1, spec))
    assert isinstance(outcome, Applied)
    assert outcome.operator == 'team/owls'
    assert scene.catalog.find_team(make_hash('new')).name == 'owls'


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
def test_team_administrator_changes_nothing_else(change, kind):
    scene = make_scene()
    appends = scene.log.appends
    error = catch_error(lambda: scene.publish(OWLS, change))
    assert error.kind == kind
    assert scene.log.appends == appends


def test_team_administrator_cannot_read_other_objects():
    scene = make_scene()
    admin = scene.admin
    answers = {
        catch_error(call).message
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
    scene.publish(OPERATOR, ChangeInput(TEAM, 'bats', 1, bats))
    (lost,) = scene.publish(OWLS, ChangeInput(TEAM, 'owls', 1, taken))
    assert lost.reason is RejectionReason.TOKEN_TAKEN
    assert 'bats' not in str(lost)


def test_watch_returns_changes_and_reports_an_expired_offset():
    scene = make_scene()
    seen = anyio.run(scene.admin.watch, OPERATOR, 0, 1_000)
    assert [item.name for item in seen.outcomes] == ['bats']
    assert seen.complete
    assert not anyio.run(scene.admin.watch, OPERATOR, 1, 20).outcomes
    other = Catalog()
    other.restore(scene.catalog.snapshot())
    assert other.difference(0) is None


def test_drain_needs_a_link_to_the_agent():
    scene = make_scene()
    anyio.run(scene.admin.drain, OPERATOR, 'a')
    assert scene.drained == ['ana:a']
    error = catch_error(
        lambda: anyio.run(scene.admin.drain, OPERATOR, 'nobody')
    )
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
def test_malformed_change_is_refused_naming_its_field(body, fault):
    error = catch_error(lambda: parse_changes(body))
    assert error.kind is ErrorKind.BAD_REQUEST
    assert fault in error.message


def test_parses_a_selector():
    assert parse_selector('a=b,c=') == {'a': 'b', 'c': ''}
    assert (
        catch_error(lambda: parse_selector('a')).kind is ErrorKind.BAD_REQUEST
    )
