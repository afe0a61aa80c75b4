"""Loads: 300 slow callers beside ten fast ones, and one huge answer."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from oleanderdyke.kernel.scheduling.unread_bytes import (
    READ_TIMEOUT,
    UnreadBytes,
    find_bound,
)

_PART = 64 * 1024
_MEGABYTE = 1024 * 1024


class _Callers:
    """Servers that send until paused, and callers who read on command."""

    def __init__(self, bound):
        self.ledger = UnreadBytes(bound)
        self.held = {}
        self.paused = set()
        self.ended = set()

    def send(self, name, now, size=_PART):
        if name in self.paused or name in self.ended:
            return
        self.held[name] = self.held.get(name, 0) + size
        if self.ledger.hold(name, self.held[name], now):
            self.paused.add(name)
            self._end_stalled(now)

    def read(self, name, now, size=_PART):
        if name in self.ended or name not in self.held:
            return
        self.held[name] = max(self.held[name] - size, 0)
        if self.ledger.read(name, self.held[name], now):
            self.paused.discard(name)

    def _end_stalled(self, now):
        while (name := self.ledger.find_stalled(now)) is not None:
            self.ledger.forget(name)
            self.ended.add(name)
            del self.held[name]


def test_300_slow_callers_leave_room_for_ten_who_read_at_once():
    callers = _Callers(16 * _MEGABYTE)
    slow, fast = range(300), range(300, 310)
    served = 0
    for second in range(30):
        for name in slow:
            callers.send(name, second * 1000.0)
            callers.read(name, second * 1000.0, 1)
        for name in fast:
            before = name in callers.paused
            callers.send(name, second * 1000.0)
            callers.read(name, second * 1000.0)
            served += not before
    assert served == 300
    assert not callers.ended
    assert callers.ledger.total <= 16 * _MEGABYTE + 310 * _PART


def test_a_huge_answer_is_paused_at_its_share_and_resumed_below_half():
    callers = _Callers(16 * _PART)
    for name in 'ab':
        callers.send(name, 0.0, 1)
    for _ in range(100):
        callers.send('a', 0.0)
    assert callers.held['a'] <= 5 * _PART + 1
    callers.read('a', 1.0, 2 * _PART)
    assert 'a' in callers.paused
    callers.read('a', 2.0, _PART)
    assert 'a' not in callers.paused


def test_above_the_bound_the_stalled_stream_that_held_most_longest_is_ended():
    callers = _Callers(8 * _PART)
    for _ in range(8):
        callers.send('old', 0.0)
    for _ in range(3):
        callers.send('new', READ_TIMEOUT - 1)
    assert not callers.ended
    callers.send('later', READ_TIMEOUT)
    assert callers.ended == {'old'}


def test_the_bound_is_a_share_of_the_memory_if_that_is_known():
    assert find_bound(400.0 * _MEGABYTE) == 100 * _MEGABYTE
    assert find_bound(math.inf) == find_bound(0.0) > 0


_STEPS = st.lists(
    st.tuples(
        st.booleans(),
        st.integers(0, 2),
        st.sampled_from((1, _PART)),
        st.sampled_from((0.0, 1.0, READ_TIMEOUT)),
    ),
    max_size=200,
)


@given(_STEPS, st.integers(1, 4 * _PART))
def test_the_sum_is_bounded_and_callers_who_read_are_not_ended(steps, bound):
    callers, read_at, now = _Callers(bound), {}, 0.0
    for is_read, name, size, gap in steps:
        now += gap
        ended = set(callers.ended)
        if is_read:
            callers.read(name, now, size)
            read_at[name] = now
        else:
            callers.send(name, now, size)
        assert callers.ledger.total == sum(callers.held.values())
        assert callers.ledger.total <= bound + 3 * _PART
        for cut in callers.ended - ended:
            assert now - read_at.get(cut, -READ_TIMEOUT) >= READ_TIMEOUT
