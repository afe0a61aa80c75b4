"""Entries learn from each other how loaded engines are.

One of 68 entries gets one answer in 68. What it heard itself of an engine was
seconds old or nothing at all, and a few engines put aside what they had begun
while others were idle.
"""

from __future__ import annotations

import math

import pytest

from oleanderdyke.kernel.load_table import LoadTable, TimedLoad
from oleanderdyke.kernel.servers import ServerLoad, ServerStart
from oleanderdyke.links.codec import decode, encode
from oleanderdyke.links.messages.news import ContextAnswer
from oleanderdyke.links.news_server import decode_loads, encode_loads

A = ServerStart('a')


def make_told(at, *, start=A, running=1):
    return TimedLoad(start, ServerLoad(running, 0, 16), at)


def test_only_newer_loads_are_taken():
    board = LoadTable()
    assert board.update(make_told(100.0))
    assert not board.update(make_told(90.0, running=9))
    assert not board.update(make_told(100.0, running=9))
    assert [each.load.running for each in board.list_after(0, 110.0)] == [1]


def test_a_load_is_told_once_after_each_change():
    board = LoadTable()
    board.update(make_told(100.0))
    told = board.last_number
    assert list(board.list_after(told, 110.0)) == []
    board.update(make_told(120.0, running=2))
    assert [each.load.running for each in board.list_after(told, 130.0)] == [2]


def test_old_loads_are_dropped():
    board = LoadTable()
    board.update(make_told(100.0))
    assert list(board.list_after(0, 1_200.0)) == []
    assert board.update(make_told(50.0, running=3))


def test_starts_of_a_server_are_told_apart():
    board = LoadTable()
    board.update(make_told(100.0, start=ServerStart('a', 1)))
    board.update(make_told(101.0, start=ServerStart('a', 2)))
    assert len(list(board.list_after(0, 110.0))) == 2


@pytest.mark.parametrize('entries', [17, 68, 200])
def test_a_load_that_is_passed_on_is_never_told_younger(entries):
    """Each hop takes some ms, and the clocks of entries differ."""
    told, now = make_told(1_000.0), 1_010.0
    for hop in range(entries):
        news = encode_loads([told], now)
        answer = decode(encode(ContextAnswer(1, 0.0, (), news)))
        ahead, took = 1e6 * hop, 3.0
        sent_at = now + ahead
        (told,) = decode_loads(answer.loads, sent_at)
        now = sent_at + took
    age = now - told.at
    assert age == pytest.approx(10.0 + 3.0 * entries)


@pytest.mark.parametrize('rate', [None, 0.0, 2.3, math.inf])
def test_the_limit_of_a_server_is_passed_on_with_its_load(rate):
    told = TimedLoad(A, ServerLoad(1, 0, 16), 100.0, rate)
    news = decode(
        encode(ContextAnswer(1, 0.0, (), encode_loads([told], 150.0)))
    )
    (found,) = decode_loads(news.loads, 150.0)
    assert found == told


def test_a_limit_that_was_never_named_costs_no_bytes():
    told = TimedLoad(A, ServerLoad(1, 0, 16), 100.0)
    assert b'limit' not in encode(
        ContextAnswer(1, 0.0, (), encode_loads([told], 150.0))
    )
