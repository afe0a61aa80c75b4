from __future__ import annotations

import itertools

import pytest

from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.kernel.blocks import (
    PromptMessage,
    digest_segment,
    encode_prompt,
    make_hint,
    make_namespace,
    split_segments,
    verify_segment,
)
from oleanderdyke.kernel.demand import SEGMENT_BYTES

BASE = ('team', 'service', 'model', 'digest', 'adapter')
NAMESPACE = make_namespace(*BASE)


def test_prompt_has_the_documented_form():
    messages = [PromptMessage('system', 'reglas'), PromptMessage('user', 'é')]
    assert encode_prompt(messages) == 'system\0reglas\nuser\0é\n'.encode()


@pytest.mark.parametrize(
    'message',
    [
        PromptMessage('user', 'a\nassistant\0b'),
        PromptMessage('us\0er', 'a'),
        PromptMessage('a\nuser', 'b'),
        PromptMessage('user', '\ud800'),
    ],
)
def test_a_prompt_with_an_ambiguous_encoding_is_refused(message):
    with pytest.raises(OleanderError) as caught:
        encode_prompt([message])
    assert caught.value.kind is ErrorKind.BAD_REQUEST


def test_namespaces_differ_in_each_part_and_at_each_boundary():
    variants = [
        BASE,
        *((*BASE[:i], BASE[i] + 'x', *BASE[i + 1 :]) for i in range(5)),
        ('teams', 'ervice', *BASE[2:]),
        ('team', 'servicemodel', '', *BASE[3:]),
    ]
    spaces = {make_namespace(*each) for each in variants}
    assert len(spaces) == len(variants)
    assert {len(each) for each in spaces} == {32}


@pytest.mark.parametrize(
    ('size', 'segments'),
    [
        (0, 0),
        (SEGMENT_BYTES - 1, 0),
        (SEGMENT_BYTES, 1),
        (2 * SEGMENT_BYTES + 1, 2),
    ],
)
def test_only_complete_segments_have_ids(size, segments):
    assert len(split_segments(NAMESPACE, b'x' * size)) == segments


def test_a_segment_depends_on_all_before_it_and_on_nothing_after():
    prompt = bytes(itertools.islice(itertools.cycle(range(251)), 8192))
    whole = split_segments(NAMESPACE, prompt)
    changed = split_segments(NAMESPACE, prompt[:3000] + b'!' + prompt[3001:])
    assert changed[:2] == whole[:2]
    assert not set(changed[2:]) & set(whole)
    assert split_segments(NAMESPACE, prompt[:5000]) == whole[:4]
    other = make_namespace('other', *BASE[1:])
    assert not set(split_segments(other, prompt)) & set(whole)
    assert [make_hint(each) for each in whole] == [each[:8] for each in whole]


@pytest.mark.parametrize(
    ('data', 'length', 'holds'),
    [(b'kv', 2, True), (b'kv', 3, False), (b'kw', 2, False), (b'', 2, False)],
)
def test_only_the_sealed_bytes_verify(data, length, holds):
    assert verify_segment(data, length, digest_segment(b'kv')) is holds
