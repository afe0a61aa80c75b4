from __future__ import annotations

import hashlib
from dataclasses import replace

import cbor2
import pytest

from oleanderdyke.kernel.store_meta import (
    MAX_DEPTH,
    SealedMeta,
    decode_meta,
    encode_meta,
)
from oleanderdyke.kernel.store_outcomes import (
    ReadRefused,
)
from tests.store_spaces import (
    SIZE,
    SPACES,
    make_id,
    make_index,
    make_parts,
    make_write,
)


@pytest.mark.parametrize(
    ('depth', 'known'), [(-1, 0), (7, 7), (2**70, MAX_DEPTH)]
)
def test_the_depth_of_a_segment_survives_a_restart(depth, known):
    write = replace(make_write('w', 1, b'12345678'), depth=depth)
    index = make_index()
    index.begin(write, 0)
    for part in make_parts(write, b'12345678'):
        outcome = index.add_part(part, 0)
    later = make_index(incarnation='i2')
    assert later.restore(outcome.meta_name, outcome.meta, SIZE, 0)
    assert decode_meta(outcome.meta).depth == known


def make_record(index, number=1):
    write = make_write('w', number, b'12345678')
    name = index.begin(write, 0).object_name
    for part in make_parts(write, b'12345678'):
        outcome = index.add_part(part, 0)
    return name, outcome


def test_a_restart_restores_sealed_segments():
    name, record = make_record(make_index())
    index = make_index(incarnation='i2')
    assert index.restore(record.meta_name, record.meta, SIZE, 0)
    assert index.restore(record.meta_name, record.meta, SIZE, 0)
    assert index.drain_deletions() == ()
    pinned = index.pin(SPACES[0], make_id(1), 0)
    assert pinned.object_name == name
    assert index.used_bytes == SIZE


@pytest.mark.parametrize(
    ('cut', 'stored', 'name'),
    [
        (slice(0, -1), SIZE, None),
        (slice(0, 0), SIZE, None),
        (slice(1, None), SIZE, None),
        (slice(None), SIZE - 1, None),
        (slice(None), None, None),
        (slice(None), SIZE, 'other.meta'),
    ],
)
def test_a_restart_drops_objects_that_do_not_match_their_record(
    cut, stored, name
):
    _, record = make_record(make_index())
    index = make_index(incarnation='i2')
    meta_name = name or record.meta_name
    assert not index.restore(meta_name, record.meta[cut], stored, 0)
    assert meta_name in index.drain_deletions()
    assert isinstance(index.pin(SPACES[0], make_id(1), 0), ReadRefused)


def test_a_record_of_another_form_is_not_decoded():
    _, record = make_record(make_index())
    meta = decode_meta(record.meta)
    assert meta is not None
    assert decode_meta(encode_meta(replace(meta, length='8'))) is None
    assert decode_meta(encode_meta(replace(meta, depth=-1))) is None
    assert encode_meta(meta) == record.meta


def test_a_record_without_a_depth_is_decoded():
    fields = [1, 'o', SPACES[0], make_id(1), 8, make_id(2), 5.0]
    body = cbor2.dumps(fields)
    check = hashlib.blake2b(body, digest_size=32).digest()
    assert decode_meta(check + body) == SealedMeta(*fields[1:], depth=0)
