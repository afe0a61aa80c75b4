from __future__ import annotations

import dataclasses
import math
import pathlib
import typing
from dataclasses import dataclass

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderdyke.cbor import load_cbor
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.links.codec import MAX_MESSAGE, Codec, decode, encode
from oleanderdyke.links.messages import (
    AgentPhase,
    AnswerChunk,
    Cancel,
    Dispatch,
    Failed,
    FetchPlan,
    Heartbeat,
    Load,
    Message,
    Ping,
)
from oleanderdyke.links.messages.claims import Claim, ClaimQuery

CORPUS = sorted((pathlib.Path(__file__).parent / 'corpus/codec').glob('*.hex'))
CLASSES = typing.get_args(Message)
BOUNDED = settings(derandomize=True, max_examples=60, deadline=None)

st.register_type_strategy(int, st.integers(-(2**63), 2**64 - 1))
st.register_type_strategy(
    float, st.floats(allow_nan=False, allow_infinity=False)
)


def check_refused(data: bytes) -> str:
    with pytest.raises(OleanderError) as caught:
        decode(data)
    assert caught.value.kind is ErrorKind.PROTOCOL
    return caught.value.message


def decode_or_refuse(data: bytes) -> None:
    kind = ErrorKind.PROTOCOL
    try:
        decode(data)
    except OleanderError as error:
        kind = error.kind
    assert kind is ErrorKind.PROTOCOL


@pytest.mark.parametrize('cls', CLASSES, ids=lambda cls: cls.__name__)
@settings(BOUNDED, max_examples=15)
@given(data=st.data())
def test_every_message_survives_the_wire(cls, data):
    message = data.draw(st.from_type(cls))
    again = decode(encode(message))
    assert again == message
    for field in dataclasses.fields(message):
        value = getattr(message, field.name)
        assert type(getattr(again, field.name)) is type(value)


def test_a_field_at_its_default_is_left_out():
    load = Load()
    beat = Heartbeat('a', 1, 2, AgentPhase.SERVING, load)
    assert set(cbor2.loads(encode(beat))) == {
        *('type', 'incarnation', 'sequence', 'offset', 'phase', 'load')
    }


@BOUNDED
@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_refused(data):
    decode_or_refuse(data)


@BOUNDED
@given(st.sampled_from(CLASSES).flatmap(st.from_type), st.data())
def test_any_damaged_message_is_a_message_or_refused(message, data):
    damaged = bytearray(encode(message))
    for _ in range(data.draw(st.integers(1, 4))):
        place = data.draw(st.integers(0, len(damaged) - 1))
        damaged[place] = data.draw(st.integers(0, 255))
    decode_or_refuse(bytes(damaged))


PLAIN = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**64), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


@pytest.mark.parametrize('cls', CLASSES, ids=lambda cls: cls.__name__)
@settings(BOUNDED, max_examples=25)
@given(data=st.data())
def test_fields_of_any_type_are_taken_or_refused(cls, data):
    names = [field.name for field in dataclasses.fields(cls)]
    values = {name: data.draw(PLAIN) for name in names}
    decode_or_refuse(cbor2.dumps({'type': cls.__name__, **values}))


@pytest.mark.parametrize('path', CORPUS, ids=lambda path: path.stem)
def test_a_known_bad_message_is_refused(path):
    check_refused(bytes.fromhex(path.read_text()))


def test_no_tag_is_decoded():
    for tag in (*range(1200), 43000, 55799, 2**32):
        with pytest.raises(OleanderError):
            load_cbor(cbor2.dumps(cbor2.CBORTag(tag, 1)))


PING = {'type': 'Ping', 'nonce': 1}
CHUNK = {
    'type': 'AnswerChunk',
    'request': 'r',
    'attempt': 1,
    'sequence': 0,
    'data': b'',
}


@pytest.mark.parametrize(
    ('value', 'detail'),
    [
        ([], 'a message must be a map'),
        ({'nonce': 1}, 'of no name'),
        ({'type': 7}, 'of no name'),
        ({'type': 'Message'}, "unknown message kind 'Message'"),
        ({'type': 'a secret prompt'}, 'of no proper name'),
        ({'type': 'Ping'}, 'Ping.nonce: missing'),
        ({**PING, 'nonce': True}, 'Ping.nonce: expected int'),
        ({**PING, 'nonce': 1.0}, 'Ping.nonce: expected int'),
        ({**PING, 'nonce': None}, 'Ping.nonce: expected int'),
        ({**CHUNK, 'data': 'text'}, 'AnswerChunk.data: expected bytes'),
        ({**CHUNK, 'request': b'r'}, 'AnswerChunk.request: expected str'),
    ],
)
def test_the_refusal_names_the_fault_but_no_value(value, detail):
    message = check_refused(cbor2.dumps(value))
    assert message.endswith(detail)
    assert 'secret' not in message


def make_dispatch(**fields):
    plain = {
        'request': 'r',
        'attempt': 1,
        'team': 't',
        'service': 's',
        'method': 'GET',
        'path': '/',
        'headers': [['a', 'b']],
        'digest': 'd',
        'deadline': 5,
        'idempotent': True,
        'offset': 0,
    }
    return cbor2.dumps({'type': 'Dispatch', **plain, **fields})


@pytest.mark.parametrize(
    ('fields', 'detail'),
    [
        ({'headers': [['a']]}, 'Dispatch.headers: expected an array of 2'),
        ({'headers': {}}, 'Dispatch.headers: expected an array'),
        ({'deadline': math.nan}, 'Dispatch.deadline: expected a finite number'),
        ({'deadline': math.inf}, 'Dispatch.deadline: expected a finite number'),
        ({'claim': {}}, 'Dispatch.claim: offset: missing'),
        ({'claim': []}, 'Dispatch.claim: expected a map'),
        ({'segments': [b'', '']}, 'Dispatch.segments: expected bytes'),
    ],
)
def test_nested_fields_are_checked(fields, detail):
    assert check_refused(make_dispatch(**fields)) == detail


def test_nested_messages_come_back_as_data_classes():
    message = decode(
        make_dispatch(
            claim={
                'offset': 1,
                'index': 0,
                'key': 'k',
                'agent': 'a',
                'incarnation': 'i',
                'beat': 3,
                'added_later': 1,
            },
            fetch={'store': 's', 'address': 'a', 'segments': [b'1']},
        )
    )
    assert isinstance(message, Dispatch)
    assert message.claim == Claim(1, 0, 'k', 'a', 'i', 3)
    assert message.fetch == FetchPlan('s', 'a', (b'1',))
    assert message.headers == (('a', 'b'),)
    assert isinstance(message.deadline, float)


def test_an_error_kind_of_a_newer_peer_counts_as_internal():
    failed = {'type': 'Failed', 'request': 'r', 'attempt': 1, 'ran': 'no'}
    message = decode(cbor2.dumps({**failed, 'kind': 'out_of_paper'}))
    assert message == Failed('r', 1, ErrorKind.INTERNAL, Ran.NO)


def test_any_other_unknown_value_is_refused():
    failed = {'type': 'Failed', 'request': 'r', 'attempt': 1, 'ran': 'half'}
    data = cbor2.dumps({**failed, 'kind': 'internal'})
    assert check_refused(data) == 'Failed.ran: unknown value of Ran'


def test_a_message_too_large_is_refused_at_both_ends():
    with pytest.raises(OleanderError):
        encode(AnswerChunk('r', 1, 0, bytes(MAX_MESSAGE)))
    check_refused(bytes(MAX_MESSAGE + 1))


def test_a_number_that_is_not_finite_is_not_sent():
    with pytest.raises(OleanderError):
        encode(
            Heartbeat('a', 1, 2, AgentPhase.SERVING, Load(1, 1, 1, math.nan))
        )


def test_a_message_with_a_field_named_like_its_type_is_refused():
    cls = dataclasses.make_dataclass('Bad', [('type', str)])
    with pytest.raises(TypeError):
        Codec([cls])


@dataclass(frozen=True)
class OldLoad:
    running: int = 0


@dataclass(frozen=True)
class OldBeat:
    sequence: int
    load: OldLoad


@dataclass(frozen=True)
class NewLoad:
    running: int = 0
    queued: int = 0


@dataclass(frozen=True)
class NewBeat:
    sequence: int
    load: NewLoad
    rack: str = 'none'
    spares: tuple[NewLoad, ...] = ()


def rename(cls: type) -> type:
    return type('Beat', (cls,), {'__doc__': cls.__doc__})


OLD, NEW = rename(OldBeat), rename(NewBeat)


def test_an_older_peer_ignores_what_a_newer_one_adds():
    beat = NEW(1, NewLoad(2, 3), 'r1', (NewLoad(1),))
    data = Codec([NEW]).encode(beat)
    assert Codec([OLD]).decode(data) == OLD(1, OldLoad(2))


def test_a_newer_peer_fills_in_what_an_older_one_lacks():
    data = Codec([OLD]).encode(OLD(1, OldLoad(2)))
    assert Codec([NEW]).decode(data) == NEW(1, NewLoad(2, 0), 'none', ())


def test_a_claim_query_and_a_cancel_do_not_mix():
    query = ClaimQuery('r', 't', Claim(1, 0, 'k', 'a', 'i', 3))
    assert decode(encode(query)) == query
    assert decode(encode(Cancel('r', 1))) != query
    assert decode(encode(Ping(1))) == Ping(1)
