from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import rule

from machines import CheckedMachine, assert_caught, assert_holds
from oleanderdyke.kernel.drain import (
    ENTRY_DRAIN,
    Announce,
    CutOff,
    Drain,
    DrainPhase,
    DrainSettings,
    Exit,
    HandOver,
    make_agent_drain,
)

SETTINGS = DrainSettings(accept=0, announce=10, drain=50, limit=100)


def make_drain(*running, resumable=()):
    drain = Drain(SETTINGS)
    for request in running:
        drain.start_work(request, 0, resumable=request in resumable)
    return drain


def test_idle_process_announces_its_stop_before_it_exits():
    drain = make_drain()
    assert drain.next_time() is None
    assert drain.signal(5) == (Announce(),)
    assert drain.phase is DrainPhase.ANNOUNCED
    assert drain.next_time() == 15
    assert drain.tick(14) == ()
    assert drain.tick(15) == (Exit(),)
    assert (drain.tick(16), drain.signal(17)) == ((), ())
    assert drain.interrupt(18) == ()


def test_running_work_ends_before_the_process_does():
    drain = make_drain('a', 'b')
    drain.signal(0)
    assert drain.end_work('a', 5) == ()
    assert drain.tick(10) == ()
    assert drain.phase is DrainPhase.DRAINING
    assert drain.next_time() == 50
    assert drain.end_work('b', 30) == (Exit(),)


def test_long_streams_are_handed_over_and_calls_may_finish():
    drain = make_drain('stream', 'call', resumable=('stream',))
    drain.signal(0)
    assert drain.tick(50) == (HandOver('stream'),)
    assert drain.phase is DrainPhase.HANDING_OVER
    assert drain.tick(51) == ()
    assert drain.mark_resumable('call', 52) == (HandOver('call'),)
    assert drain.mark_resumable('unknown', 52) == ()
    assert drain.end_work('stream', 53) == ()
    assert drain.end_work('call', 54) == (Exit(),)


def test_stream_marked_not_resumable_is_handed_over_once_resumable():
    drain = make_drain('stream', resumable=('stream',))
    drain.signal(0)
    assert drain.tick(50) == (HandOver('stream'),)
    drain.mark_not_resumable('stream')
    drain.mark_not_resumable('unknown')
    assert drain.tick(51) == ()
    assert drain.running == ('stream',)
    assert drain.mark_resumable('stream', 52) == (HandOver('stream'),)
    assert drain.tick(53) == ()


@pytest.mark.parametrize('by', ['interrupt', 'limit'])
def test_forced_stop_names_the_aborted_requests(by):
    drain = make_drain('a', 'b')
    drain.signal(0)
    drain.end_work('a', 1)
    actions = drain.interrupt(2) if by == 'interrupt' else drain.tick(100)
    assert actions == (CutOff(('b',)), Exit(('b',)))
    assert drain.running == ()


def test_forced_stop_without_requests_aborts_none():
    drain = make_drain()
    drain.signal(0)
    assert drain.interrupt(1) == (Exit(),)


# A repeated stop signal aborted what had time left to end.
def test_further_signals_neither_abort_requests_nor_prolong_the_stop():
    drain = make_drain('a')
    drain.signal(0)
    for at in (1, 20, 60):
        assert drain.signal(at) == ()
    assert drain.running == ('a',)
    assert drain.signal(100) == (CutOff(('a',)), Exit(('a',)))
    assert drain.signal(101) == ()


def test_entry_accepts_until_the_next_probe_and_an_agent_does_not():
    entry, agent = Drain(ENTRY_DRAIN), make_agent_drain()
    entry.signal(0)
    agent.signal(0)
    assert entry.start_work('a', 1_999)
    assert not entry.start_work('b', 2_000)
    assert not entry.start_work('b', 2_000, deadline=ENTRY_DRAIN.drain)
    assert entry.start_work('c', 2_000, deadline=2_100)
    assert not agent.start_work('a', 0)
    assert entry.is_leaving
    assert agent.is_leaving


class DrainWorld(CheckedMachine):
    """Stop a process at any time while requests run.

    Checks `late`, a request that starts after the stop; `lost`, a request that
    neither ended nor is named as aborted at the exit; `unknown`, the handover
    of a request that does not run; `stuck`, a stop that never ends; `cut`, the
    abort of a request that started after the stop. Requests end by their
    deadlines, and else at any time.
    """

    make_drain = Drain

    def __init__(self):
        super().__init__()
        self.drain = self.make_drain(SETTINGS)
        self.now = 0.0
        self.started = 0
        # Deadlines of the running requests, None for those without one.
        self.running = {}
        self.begun_late = set()
        self.stopped_at = None

    @rule(chance=st.integers(0, 5))
    def interrupt(self, chance):
        if chance == 0:
            if self.stopped_at is None:
                self.stopped_at = self.now
            else:
                # Whoever interrupts a stop wants what runs to be aborted.
                self.begun_late.clear()
            self.act(self.drain.interrupt(self.now))

    @rule(
        resumable=st.booleans(),
        wait=st.one_of(st.none(), st.sampled_from([5.0, 30.0, 200.0])),
    )
    def start(self, resumable, wait):
        request = f'r{self.started}'
        self.started += 1
        deadline = None if wait is None else self.now + wait
        if self.drain.start_work(
            request, self.now, resumable=resumable, deadline=deadline
        ):
            self.running[request] = deadline
            if self.stopped_at is not None:
                self.begun_late.add(request)
                self.check(wait is not None, 'late')

    @rule(pick=st.integers(0, 9))
    def end(self, pick):
        if self.running:
            self.finish(sorted(self.running)[pick % len(self.running)])

    @rule(chance=st.integers(0, 3))
    def signal(self, chance):
        if chance == 0:
            if self.stopped_at is None:
                self.stopped_at = self.now
            self.act(self.drain.signal(self.now))

    @rule(by=st.sampled_from([1.0, 20.0, 60.0]))
    def wait(self, by):
        self.advance(self.now + by)

    def advance(self, until):
        due = [each for each in self.running.items() if each[1] is not None]
        for request, deadline in sorted(due, key=lambda each: each[1]):
            if deadline <= until and request in self.running:
                self.now = max(self.now, deadline)
                self.act(self.drain.tick(self.now))
                if request in self.running:
                    self.finish(request)
        self.now = until
        self.act(self.drain.tick(self.now))

    def finish(self, request):
        del self.running[request]
        self.act(self.drain.end_work(request, self.now))

    def act(self, actions):
        for action in actions:
            if isinstance(action, HandOver):
                self.check(action.request in self.running, 'unknown')
            if isinstance(action, Exit):
                self.check(self.running.keys() == set(action.cut), 'lost')
                self.check(not self.begun_late & set(action.cut), 'cut')
                self.running.clear()

    def teardown(self):
        if self.stopped_at is not None and not self.is_broken:
            self.advance(max(self.now, self.stopped_at + SETTINGS.limit))
            self.check(self.drain.phase is DrainPhase.DONE, 'stuck')


class AcceptsAfterStop(Drain):
    def accepts(self, now, deadline=None):
        return self.phase is not DrainPhase.DONE


class ExitsEarly(Drain):
    def _drain(self, elapsed):
        return self._exit()


class ForgetsAborted(Drain):
    def _stop_now(self):
        return self._exit()


class AbortsOnEachSignal(Drain):
    def signal(self, now):
        return self.interrupt(now) if self.is_leaving else super().signal(now)


class AcceptsOnTrust(Drain):
    def accepts(self, now, deadline=None):
        return super().accepts(now, None if deadline is None else now + 1)


def test_stop_accepts_no_new_request_and_loses_none():
    assert_holds(DrainWorld)


@pytest.mark.parametrize(
    ('kind', 'check'),
    [
        (AcceptsAfterStop, 'late'),
        (ExitsEarly, 'lost'),
        (ForgetsAborted, 'lost'),
        (AcceptsOnTrust, 'cut'),
        (AbortsOnEachSignal, 'cut'),
    ],
)
def test_drain_checks_catch_an_unsafe_drain(kind, check):
    world = type('UnsafeWorld', (DrainWorld,), {'make_drain': kind})
    assert_caught(world, check)
