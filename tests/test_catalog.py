from __future__ import annotations

import dataclasses

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderdyke.kernel import catalog as catalog_module
from oleanderdyke.kernel import snapshots
from oleanderdyke.kernel.catalog import (
    Applied,
    Catalog,
    Rejected,
    RejectionReason,
)
from oleanderdyke.kernel.claim_records import decode_batch
from oleanderdyke.kernel.objects import (
    Change,
    Limits,
    ModelVersionSpec,
    ObjectKind,
    ServiceKind,
    ServiceSpec,
    Spec,
    StoreSpec,
    TeamSpec,
)
from oleanderdyke.kernel.records import (
    UnreadableRecord,
    decode_record,
    encode_change,
)
from oleanderdyke.kernel.specs import describe_spec, pack_spec, unpack_spec
from tests.processes import ROOT

HASH_A = 'a' * 64
HASH_B = 'b' * 64
TEAM = ObjectKind.TEAM


def make_change(
    record_id: str,
    *,
    name: str = 'owls',
    expected: int = 0,
    spec: Spec | None = TeamSpec(),  # noqa: B008  # frozen
    kind: ObjectKind = TEAM,
    operator: str = 'ana',
) -> Change:
    return Change(record_id, operator, kind, name, expected, spec, at=7.0)


def make_catalog(*changes: Change) -> Catalog:
    catalog = Catalog()
    for change in changes:
        catalog.apply(catalog.offset + 1, change)
    return catalog


def test_second_of_two_concurrent_changes_is_rejected_naming_the_first():
    catalog = make_catalog(make_change('1'))
    first = catalog.apply(1, make_change('2', expected=1, operator='bo'))
    second = catalog.apply(2, make_change('3', expected=1, operator='cy'))
    assert first == Applied('2', 'bo', TEAM, 'owls', 1, 7.0, 2)
    assert isinstance(second, Rejected)
    assert second.reason is RejectionReason.GENERATION
    assert (second.winner, second.generation) == ('bo', 2)


def test_change_after_a_deletion_is_rejected_naming_the_operator():
    catalog = make_catalog(
        make_change('1'), make_change('2', expected=1, spec=None, operator='bo')
    )
    rejected = catalog.apply(2, make_change('3', expected=1))
    assert isinstance(rejected, Rejected)
    assert (rejected.winner, rejected.generation) == ('bo', 0)


def test_generation_of_a_deleted_object_is_never_reused():
    catalog = make_catalog(
        make_change('1'),
        make_change('2', expected=1, spec=None),
        make_change('3'),
    )
    stale = catalog.apply(3, make_change('4', expected=1))
    assert isinstance(stale, Rejected)
    assert stale.generation == 3


def test_record_appended_twice_takes_effect_once():
    catalog = make_catalog(make_change('1'))
    catalog.apply(1, make_change('2', expected=1, spec=None))
    again = catalog.apply(2, make_change('1'))
    assert again == catalog.find_outcome('1')
    assert catalog.get(TEAM, 'owls') is None
    assert catalog.offset == 2


@pytest.mark.parametrize('place', ['token_hashes', 'admin_token_hashes'])
def test_token_hash_belongs_to_one_team_only(place):
    taken = TeamSpec(**{place: (HASH_A,)})
    catalog = make_catalog(make_change('1', spec=taken))
    rejected = catalog.apply(
        1, make_change('2', name='bats', spec=TeamSpec(token_hashes=(HASH_A,)))
    )
    assert isinstance(rejected, Rejected)
    assert rejected.reason is RejectionReason.TOKEN_TAKEN
    assert 'owls' not in rejected.detail
    found = catalog.find_team(HASH_A) or catalog.find_administered_team(HASH_A)
    assert found.name == 'owls'


def test_tokens_follow_changes_and_deletion():
    catalog = make_catalog(
        make_change('1', spec=TeamSpec(token_hashes=(HASH_A,))),
        make_change('2', expected=1, spec=TeamSpec(token_hashes=(HASH_B,))),
    )
    assert catalog.find_team(HASH_A) is None
    assert catalog.find_team(HASH_B).generation == 2
    catalog.apply(2, make_change('3', expected=2, spec=None))
    assert catalog.find_team(HASH_B) is None
    assert catalog.find_team('no hash') is None


@pytest.mark.parametrize(
    ('kind', 'name', 'spec'),
    [
        (TEAM, 'Not A Name', TeamSpec()),
        (TEAM, 'owls', TeamSpec(token_hashes=('secret-token',))),
        (TEAM, 'owls', TeamSpec(token_hashes=(HASH_A, HASH_A))),
        (TEAM, 'owls', TeamSpec(weight=float('nan'))),
        (TEAM, 'owls', TeamSpec(limits=Limits(concurrency=-1))),
        (TEAM, 'owls', TeamSpec(labels={'': 'x'})),
        (ObjectKind.SERVICE, 's', ServiceSpec(ServiceKind.MODEL)),
        (ObjectKind.SERVICE, 's', ServiceSpec(ServiceKind.PLAIN, deadline=0)),
        (ObjectKind.SERVICE, 's', TeamSpec()),
        (ObjectKind.MODEL_VERSION, 'm', ModelVersionSpec('m', 'v', '')),
        (ObjectKind.STORE, 's', StoreSpec(capacity_bytes=-1)),
        (ObjectKind.STORE, 's', StoreSpec(capacity_bytes=2**70)),
        (TEAM, 'owls', TeamSpec(labels={'k': 'v' * 20_000})),
    ],
)
def test_invalid_change_is_rejected_without_showing_a_token(kind, name, spec):
    catalog = Catalog()
    rejected = catalog.apply(
        0, make_change('1', kind=kind, name=name, spec=spec)
    )
    assert isinstance(rejected, Rejected)
    assert rejected.reason is RejectionReason.INVALID
    assert 'secret-token' not in rejected.detail
    assert catalog.get(kind, name) is None


def test_history_keeps_the_change_in_force_however_old():
    catalog = make_catalog(make_change('1'))
    for number in range(1, 1_200):
        catalog.apply(number, make_change(f'x{number}', name='bats'))
    (kept,) = catalog.history(TEAM, 'owls')
    assert (kept.offset, kept.generation) == (0, 1)
    assert len(catalog.history(TEAM, 'bats')) < 1_100


def test_list_pages_cover_every_object_once():
    names = [f'team-{number:02}' for number in range(25)]
    catalog = make_catalog(*(make_change(name, name=name) for name in names))
    seen, after = [], ''
    while True:
        page = catalog.list_page(TEAM, after=after, limit=10)
        seen += [item.name for item in page.objects]
        after = page.after
        if not after:
            break
    assert seen == names
    assert not catalog.list(TEAM, {'size': 'large'})


def fill(catalog: Catalog, count: int) -> None:
    for number in range(count):
        spec = TeamSpec(
            labels={'size': 'large'}, token_hashes=(f'{number:064x}',)
        )
        change = make_change(f'f{number}', name=f't{number}', spec=spec)
        catalog.apply(catalog.offset + 1, change)


def test_snapshot_restores_the_same_state_in_another_process(monkeypatch):
    monkeypatch.setattr(snapshots, '_CHUNK_BYTES', 500)
    catalog = make_catalog(make_change('1'), make_change('2', expected=9))
    fill(catalog, 30)
    chunks = catalog.snapshot()
    other = Catalog()
    assert len(chunks) > 3
    assert other.restore(chunks)
    assert (other.offset, other.digest()) == (catalog.offset, catalog.digest())
    assert other.snapshot() == chunks
    assert other.find_team(f'{29:064x}').name == 't29'
    assert other.find_outcome('2') == catalog.find_outcome('2')
    late = make_change('late', name='t3', expected=1, spec=None)
    assert other.apply(32, late) == catalog.apply(32, late)
    assert other.digest() == catalog.digest()


def test_snapshot_shows_the_state_at_the_call():
    catalog = make_catalog(make_change('1'))
    expected = catalog.snapshot()
    chunks = catalog.iterate_snapshot()
    catalog.apply(1, make_change('2', name='bats'))
    assert tuple(chunks) == expected


@pytest.mark.parametrize(
    'damage',
    [
        lambda chunks: chunks[1:],
        lambda chunks: chunks[:-1],
        lambda chunks: (chunks[0], *chunks[2:]),
        lambda chunks: (chunks[1], chunks[0], *chunks[2:]),
        lambda chunks: (*chunks[:-1], chunks[-1][:-9]),
        lambda chunks: (chunks[0].replace(b't1', b't9'), *chunks[1:]),
        lambda _: (),
    ],
)
def test_damaged_snapshot_changes_nothing(monkeypatch, damage):
    monkeypatch.setattr(snapshots, '_CHUNK_BYTES', 500)
    source = Catalog()
    fill(source, 20)
    chunks = damage(source.snapshot())
    assert chunks != source.snapshot()
    catalog = make_catalog(make_change('1'))
    before = catalog.digest()
    assert not catalog.restore(chunks)
    assert (catalog.offset, catalog.digest()) == (0, before)


def test_older_snapshot_changes_nothing():
    catalog = make_catalog(make_change('1'))
    old = catalog.snapshot()
    catalog.apply(1, make_change('2', name='bats'))
    assert not catalog.restore(old)
    assert catalog.offset == 1


def test_difference_is_bounded_and_none_after_eviction(monkeypatch):
    monkeypatch.setattr(catalog_module, '_RECENT_LIMIT', 5)
    catalog = Catalog()
    fill(catalog, 9)
    assert [offset for offset, _ in catalog.difference(5)] == [6, 7, 8]
    assert catalog.difference(8) == ()
    assert catalog.difference(2) is None


def test_offset_is_never_skipped_or_repeated():
    catalog = make_catalog(make_change('1'))
    for offset in (0, 2):
        with pytest.raises(ValueError, match='does not follow'):
            catalog.apply(offset, make_change('2'))


def test_unknown_fields_of_a_newer_version_are_kept_and_ignored():
    raw = cbor2.loads(encode_change(make_change('1')))
    packed = cbor2.dumps({'weight': 2.0, 'colour': 'red'})
    data = cbor2.dumps(raw | {'spec': packed, 'colour': 'blue'})
    catalog = Catalog()
    assert isinstance(catalog.apply_record(0, data), Applied)
    assert catalog.get(TEAM, 'owls').spec == TeamSpec(weight=2.0)
    assert any(b'colour' in chunk for chunk in catalog.snapshot())


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=80) | st.integers(0, 10_000))
def test_unreadable_record_is_counted_and_skipped(data):
    valid = encode_change(make_change('1', spec=TeamSpec(weight=3.0)))
    if isinstance(data, int):
        place, bit = data % len(valid), data % 8
        changed = valid[place] ^ (1 << bit)
        data = valid[:place] + bytes([changed]) + valid[place + 1 :]
    catalog = Catalog()
    outcome = catalog.apply_record(0, data)
    assert catalog.offset == 0
    unreadable = isinstance(decode_record(data), UnreadableRecord)
    assert catalog.skipped == int(unreadable)
    assert not unreadable or outcome is None


def test_corpus_of_malformed_records_is_skipped():
    for path in sorted((ROOT / 'tests/corpus/codec').iterdir()):
        data = bytes.fromhex(path.read_text())
        assert isinstance(decode_record(data), UnreadableRecord), path.name
        assert not any(decode_batch(data)), path.name


LABELS = st.dictionaries(
    st.sampled_from('abc'), st.sampled_from('xyz'), max_size=2
)
SPECS = st.one_of(
    st.builds(
        ServiceSpec,
        kind=st.sampled_from(ServiceKind),
        labels=LABELS,
        stores=LABELS,
        body_limit=st.integers(1, 2**40),
        deadline=st.floats(1, 1e9),
        checks_fencing=st.booleans(),
    ),
    st.builds(
        TeamSpec,
        labels=LABELS,
        token_hashes=st.sampled_from([(), (HASH_A,), (HASH_A, HASH_B)]),
        weight=st.floats(0.1, 100),
        limits=st.builds(Limits, concurrency=st.integers(0, 99)),
    ),
    st.builds(ModelVersionSpec, st.text(), st.text(), st.text(), LABELS),
    st.builds(StoreSpec, LABELS, st.integers(0, 2**50)),
)
KINDS = {
    ServiceSpec: ObjectKind.SERVICE,
    TeamSpec: ObjectKind.TEAM,
    ModelVersionSpec: ObjectKind.MODEL_VERSION,
    StoreSpec: ObjectKind.STORE,
}


@settings(derandomize=True, max_examples=150, deadline=None)
@given(SPECS)
def test_packed_spec_reads_back_the_same(spec):
    back = unpack_spec(KINDS[type(spec)], pack_spec(spec))
    assert back == spec
    assert dataclasses.astuple(back) == dataclasses.astuple(spec)
    assert set(describe_spec(spec)) <= {
        item.name for item in dataclasses.fields(spec)
    }
