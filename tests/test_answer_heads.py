"""Decoding of the heads of backend servers' answers."""

from __future__ import annotations

import math

import pytest

from oleanderdyke.kernel.servers import AnswerField, ServerLoad
from oleanderdyke.platform import names
from oleanderdyke.platform.requests import decode_answer


def test_the_fields_of_an_answer_head_are_decoded():
    found = decode_answer(
        200,
        (
            (names.REQUEST_ID, 'r1'),
            (names.SEAL, 's'),
            (names.INSTANCE, 'i-1'),
            (names.LOAD, '3,1,8'),
            (names.WEIGHT_VERSION, '4'),
            ('keep-alive', 'timeout=7, max=3'),
        ),
    )
    assert found.is_sealed
    assert not found.is_not_executed
    assert found.load == ServerLoad(3, 1, 8)
    assert found.weight_version == 4
    assert found.idle_timeout == 7_000


# Servers on a shared machine send a fourth number. If that made their load
# malformed, they would look as idle as servers that send none.
def test_the_load_of_a_server_that_shares_its_machine_is_decoded():
    found = decode_answer(200, ((names.LOAD, '3,1,8,140'),))
    assert found.load == ServerLoad(3, 1, 8, slowdown=1.4)


@pytest.mark.parametrize('text', ['3,1,8,x', '3,1,8,', '3,1,8,0', '3,1,8,-5'])
def test_a_malformed_slowdown_counts_as_usual(text):
    found = decode_answer(200, ((names.LOAD, text),))
    assert found.load == ServerLoad(3, 1, 8, slowdown=1.0)


@pytest.mark.parametrize('text', ['3,1', '3,1,x', '3,1,8,2,9', ''])
def test_a_malformed_load_is_ignored(text):
    assert decode_answer(200, ((names.LOAD, text),)).load is None


@pytest.mark.parametrize(
    ('text', 'limit'), [('2.3', 2.3), ('0', 0.0), (' 12 ', 12.0)]
)
def test_the_rate_limit_of_a_server_is_decoded(text, limit):
    found = decode_answer(503, ((names.RATE_LIMIT, text),))
    assert (found.rate_limit, found.malformed) == (limit, ())


@pytest.mark.parametrize('text', ['', 'few', '-1', 'nan', 'inf', '9' * 400])
def test_a_malformed_rate_limit_differs_from_a_missing_one(text):
    found = decode_answer(200, ((names.RATE_LIMIT, text),))
    assert found.rate_limit is None
    (malformed,) = found.malformed
    assert malformed.field is AnswerField.RATE_LIMIT
    assert malformed.text == text[:40]
    none = decode_answer(200, ())
    assert (none.rate_limit, none.malformed) == (math.inf, ())


@pytest.mark.parametrize(
    ('text', 'is_leaving'), [('1', True), ('yes', True), ('0', False)]
)
def test_a_server_counts_as_leaving_on_any_value_but_zero(text, is_leaving):
    found = decode_answer(200, ((names.LEAVING, text),))
    assert found.is_leaving is is_leaving
    assert not decode_answer(200, ()).is_leaving


@pytest.mark.parametrize(
    ('status', 'pause'), [(503, 1_500.0), (429, 1_500.0), (500, None)]
)
def test_when_to_retry_a_refused_request_is_decoded(status, pause):
    found = decode_answer(status, (('retry-after', '1.5'),))
    assert (found.retry_after, found.malformed) == (pause, ())


def test_a_date_in_retry_after_is_malformed():
    text = 'Thu, 03 Dec 2026 12:00:00 GMT'
    found = decode_answer(503, (('retry-after', text),))
    assert found.retry_after is None
    assert [each.field for each in found.malformed] == [AnswerField.RETRY_AFTER]


@pytest.mark.parametrize(
    ('status', 'headers', 'is_not_executed'),
    [
        (503, ((names.NOT_RUN, '1'),), True),
        (429, ((names.NOT_RUN, '1'),), True),
        (421, (), True),
        (503, (), False),
        (429, (), False),
    ],
)
def test_only_a_guarantee_counts_as_not_run(status, headers, is_not_executed):
    assert decode_answer(status, headers).is_not_executed is is_not_executed
