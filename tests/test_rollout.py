from __future__ import annotations

from oleanderdyke.kernel.rollout import (
    EngineState,
    LoadNotice,
    LoadQueue,
    LoadStep,
    Target,
    find_target,
)


def notice(queue, server, step=LoadStep.WAITS, now=0.0):
    queue.apply(LoadNotice(server, step), now)


def test_two_engines_load_at_once_in_the_order_of_the_log():
    queue = LoadQueue()
    for server in 'abcde':
        notice(queue, server)
    assert queue.list_loading() == ('a', 'b')
    assert queue.list_next() == ('c', 'd')
    notice(queue, 'b', LoadStep.ENDED)
    assert queue.list_loading() == ('a', 'c')
    assert queue.may_load('c')
    assert not queue.may_load('d')


def test_an_engine_that_asks_twice_keeps_its_place():
    queue = LoadQueue()
    for server in 'aba':
        notice(queue, server)
    assert queue.list_loading() == ('a', 'b')


def test_an_engine_that_is_stuck_is_passed_over():
    queue = LoadQueue()
    for server in 'abc':
        notice(queue, server)
    queue.tick(7_001.0)
    assert queue.list_loading() == ('c',)
    assert not queue.is_queued('a')


def test_only_newer_weights_of_a_model_that_is_held_are_a_target():
    state = EngineState({'m': 2}, is_busy=False, orders=0)
    assert find_target(state, [Target('m', 2)]) is None
    assert find_target(state, [Target('other', 5)]) is None
    newer = Target('m', 3)
    assert find_target(state, [newer]) is newer
