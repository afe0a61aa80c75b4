from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderdyke.cbor import dump_cbor, load_cbor
from oleanderdyke.kernel.claim_records import (
    ClaimRecord,
    OutcomeRecord,
    ReleaseRecord,
    RenewalRecord,
    WithdrawRecord,
    decode_batch,
    encode_batch,
    make_key,
)
from oleanderdyke.kernel.claims import (
    EXPIRY_MARGIN,
    ClaimTable,
    Conflict,
    Finished,
    Free,
    Owned,
    OwnedByOther,
)

KEY = make_key('team-1', 'taquilla', 'k')
HORIZON = 1_000.0


def make_record(claim_id: str, **changes) -> ClaimRecord:
    record = ClaimRecord(
        key=KEY,
        digest='d',
        agent='agent-1',
        incarnation='i1',
        beat=3,
        appender='entry-1',
        claim_id=claim_id,
        horizon=HORIZON,
    )
    return dataclasses.replace(record, **changes)


def make_outcome(offset: int, index: int = 0) -> OutcomeRecord:
    return OutcomeRecord(KEY, offset, index, 201, (('a', 'b'),), b'booked')


def read_log(*batches, start: int = 0, step: float = 1.0) -> ClaimTable:
    """Return a table that has read batches, one at each step of time."""
    table = ClaimTable()
    for number, batch in enumerate(batches, start):
        table.apply(number, number * step, encode_batch(batch))
    table.set_catch_up_target(start + len(batches))
    return table


def find_owner(table: ClaimTable) -> str:
    for claim_id in 'abcd':
        verdict = table.get_claim_verdict(claim_id, KEY, 'd')
        if isinstance(verdict, Owned):
            return claim_id
    return ''


@pytest.mark.parametrize(
    'first', [('team', 's', 'k'), ('t', 'ams', 'k'), ('t', 'am', 'sk')]
)
def test_keys_of_different_parts_differ(first):
    assert make_key(*first) != make_key('t', 'eam', 'sk')
    assert make_key(*first) != make_key('te', 'am', 'sk')


def test_first_claim_in_log_order_owns_the_key():
    table = read_log([make_record('a'), make_record('b')], [make_record('c')])
    assert find_owner(table) == 'a'
    verdict = table.get_claim_verdict('b', KEY, 'd')
    assert isinstance(verdict, OwnedByOther)
    assert (verdict.claim.offset, verdict.claim.index) == (0, 0)


def test_another_request_under_the_key_conflicts():
    table = read_log([make_record('a')])
    assert table.get_verdict(KEY, 'other') == Conflict()


def test_claim_that_was_not_read_is_not_owned():
    assert read_log().get_claim_verdict('a', KEY, 'd') == Free()


def test_claim_is_not_settled_before_the_log_was_read_to_its_end():
    table = ClaimTable()
    table.set_catch_up_target(5)
    table.apply(0, 0.0, encode_batch([make_record('a')]))
    assert table.get_claim_verdict('a', KEY, 'd') == Free()


@pytest.mark.parametrize(
    ('records', 'owner'),
    [
        ([ReleaseRecord(KEY, 0, 0, 'i1')], 'b'),
        ([ReleaseRecord(KEY, 0, 0, 'i2')], 'a'),
        ([ReleaseRecord(KEY, 0, 1, 'i1')], 'a'),
        ([WithdrawRecord(KEY, 'a')], 'b'),
        ([WithdrawRecord(KEY, 'x')], 'a'),
        ([make_outcome(0), ReleaseRecord(KEY, 0, 0, 'i1')], ''),
        ([make_outcome(0), WithdrawRecord(KEY, 'a')], ''),
    ],
)
def test_key_is_freed_only_by_name_and_before_its_outcome(records, owner):
    table = read_log([make_record('a')], records, [make_record('b')])
    assert find_owner(table) == owner


def test_claim_withdrawn_before_it_reached_the_log_owns_nothing():
    table = read_log([WithdrawRecord(KEY, 'a')], [make_record('a')])
    assert table.get_verdict(KEY, 'd') == Free()


def test_first_outcome_of_the_owner_is_the_answer():
    other = dataclasses.replace(make_outcome(0), body=b'else')
    table = read_log(
        [make_record('a')], [make_outcome(7)], [make_outcome(0)], [other]
    )
    verdict = table.get_verdict(KEY, 'd')
    assert isinstance(verdict, Finished)
    assert verdict.outcome == make_outcome(0)


def test_key_expires_by_the_log_time_of_both_claims_alone():
    first, second = [make_record('a')], [make_record('b')]
    before = read_log(first, second, step=HORIZON - 1)
    after = read_log(first, second, step=HORIZON)
    assert (find_owner(before), find_owner(after)) == ('a', 'b')


def test_expired_keys_and_withdrawals_leave_memory():
    batches = [
        [make_record('a'), WithdrawRecord(KEY, 'x')],
        [WithdrawRecord(KEY, 'y')],
    ]
    table = read_log(*batches, step=HORIZON + EXPIRY_MARGIN)
    assert len(table) == 0
    assert table._revoked == {'y'}


@pytest.mark.parametrize(
    'damage',
    [
        b'',
        b'\xff',
        dump_cbor({'no': 'list'}),
        dump_cbor([[99, 1], 'x', [], [1], [1, b'short'], [True]]),
    ],
)
def test_undecodable_records_are_skipped_and_keep_their_places(damage):
    items = decode_batch(damage)
    assert set(items) <= {None}
    table = ClaimTable()
    table.apply(0, 0.0, damage)
    assert (table.next_offset, len(table)) == (1, 0)


def test_records_between_undecodable_ones_keep_their_index():
    items = load_cbor(encode_batch([make_record('a')]))
    assert isinstance(items, list)
    table = ClaimTable()
    table.apply(0, 0.0, dump_cbor(['junk', items[0]]))
    table.set_catch_up_target(1)
    verdict = table.get_claim_verdict('a', KEY, 'd')
    assert isinstance(verdict, Owned)
    assert verdict.claim.index == 1


def test_values_of_later_versions_are_ignored():
    items = load_cbor(encode_batch([make_record('a')]))
    assert isinstance(items, list)
    items[0].append('later')
    assert decode_batch(dump_cbor(items)) == (make_record('a'),)


def list_renewals(table: ClaimTable) -> list[RenewalRecord]:
    return list(table.list_due_renewals(float('inf'), 10))


def test_new_reader_restores_expired_claims_from_renewals():
    old = read_log([make_record('a')], [make_outcome(0)])
    new = read_log(list_renewals(old), start=2)
    assert isinstance(new.get_verdict(KEY, 'd'), Finished)
    assert new.get_verdict(KEY, 'd') == old.get_verdict(KEY, 'd')


def test_renewal_does_not_restore_a_released_claim():
    release = ReleaseRecord(KEY, 0, 0, 'i1')
    before = read_log([make_record('a')])
    late = list_renewals(before)
    table = read_log([make_record('a')], [release, make_record('b')], late)
    assert find_owner(table) == 'b'
    fresh = read_log([release, make_record('b')], late, start=1)
    assert find_owner(fresh) == 'b'


def test_unconfirmed_claim_is_neither_freed_nor_renewed():
    late = list_renewals(read_log([make_record('a')]))
    release = ReleaseRecord(KEY, 0, 0, 'i1')
    table = read_log(late, [release, make_record('b')], start=5)
    assert isinstance(table.get_claim_verdict('b', KEY, 'd'), OwnedByOther)
    assert list_renewals(table) == []


def test_gap_resets_the_table():
    table = read_log([make_record('a')])
    table.apply(9, 9.0, encode_batch([]))
    assert table.get_verdict(KEY, 'd') == Free()
    assert not table.caught_up


def test_only_claims_with_old_records_are_due_for_renewal():
    table = read_log(
        [make_record('a')], [make_record('b', key=make_key('t', 's', 'k2'))]
    )
    due = table.list_due_renewals(1.0, 10)
    assert [record.claim.claim_id for record in due] == ['a']
    table.apply(2, 2.0, encode_batch(due))
    assert list_renewals(table)[0].claim.claim_id == 'b'


texts = st.text(st.characters(exclude_categories=['Cs']), max_size=8)
claims = st.builds(
    make_record,
    texts,
    digest=texts,
    beat=st.integers(0, 9),
    horizon=st.floats(0, 1e9),
)
outcomes = st.builds(
    OutcomeRecord,
    st.just(KEY),
    st.integers(0, 9),
    st.integers(0, 9),
    st.integers(200, 599),
    st.lists(st.tuples(texts, texts), max_size=2).map(tuple),
    st.binary(max_size=8),
)
carried = st.builds(
    RenewalRecord,
    claims,
    st.integers(0, 9),
    st.integers(0, 9),
    st.floats(0, 1e9),
    st.integers(0, 9),
    st.none() | outcomes,
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(claims | outcomes | carried, max_size=4))
def test_batches_come_back_as_they_were_written(records):
    assert decode_batch(encode_batch(records)) == tuple(records)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=60))
def test_any_bytes_are_read_without_an_error(data):
    decode_batch(data)
